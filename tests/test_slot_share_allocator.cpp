#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>

#include "brittle_endpoints.h"
#include "platform/request_headers.h"
#include "slot_share_allocator.h"

namespace mimosabend {

namespace {

const MonotonicTime kStart = MonotonicTime() + seconds(100000);

SlotShareDemand Demand(std::uint32_t wanted, std::uint32_t held, std::uint32_t rejections = 0) {
  SlotShareDemand demand;
  demand.number = 7;
  demand.slots = 8;
  demand.reject_limit = 2;
  demand.needed = wanted;
  demand.wanted = wanted;
  demand.held = held;
  demand.in_flight = held;
  demand.rejections = rejections;
  return demand;
}

}  // namespace

// Guards against shares whose sum exceeds the slots while answers are lost, and against a share
// that is given to others before its daemon has confirmed that it is smaller.
TEST_CASE("shares never exceed the slots of an endpoint together", "[brittle]") {
  std::mt19937_64 random(1);
  SlotShareAllocator allocator;
  std::map<std::string, std::uint32_t> held;
  MonotonicTime now = kStart;
  for (int i = 0; i < 20000; ++i) {
    now += milliseconds(random() % 20);
    const std::string daemon = std::to_string(random() % 12);
    const std::uint32_t share =
        allocator.Decide(daemon, Demand(random() % 6, held[daemon]), true, now);
    // A lost answer.
    if (random() % 4 != 0) held[daemon] = share;
    std::uint32_t sum = 0;
    for (const auto& [name, size] : held) sum += size;
    REQUIRE(sum <= 8);
  }
}

// Guards against a new leader that grants what the former one has granted to others.
TEST_CASE("a new leader grants nothing beyond what daemons hold", "[brittle]") {
  SlotShareAllocator allocator;
  allocator.Reset(kStart);
  CHECK(allocator.Decide("a", Demand(8, 3), true, kStart) == 3);
  CHECK(allocator.Decide("b", Demand(8, 0), true, kStart) == 0);
  const MonotonicTime known = kStart + SlotShareAllocator::kClaimLifetime;
  CHECK(allocator.Decide("b", Demand(8, 0), true, known) > 0);
  CHECK(allocator.Decide("c", Demand(8, 0), false, known) == 0);
}

// Guards against an endpoint that goes on getting requests while it rejects them.
TEST_CASE("an endpoint that rejects requests gets fewer", "[brittle]") {
  SlotShareAllocator allocator;
  CHECK(allocator.Decide("a", Demand(8, 0), true, kStart) == 8);
  const MonotonicTime rejected = kStart + seconds(1);
  CHECK(allocator.Decide("a", Demand(8, 8, 1), true, rejected) == 0);
  const MonotonicTime paused_until = rejected + SlotShareAllocator::kPauseTime;
  const std::uint32_t after = allocator.Decide("a", Demand(8, 0), true, paused_until);
  CHECK(after > 0);
  CHECK(after < 8);
  CHECK(allocator.Decide("a", Demand(8, after), true, paused_until + seconds(5)) == 8);
}

// Guards against a herd of requests at an endpoint that fell over and is back.
TEST_CASE("an endpoint that has not answered yet is taken for brittle", "[brittle]") {
  BrittleEndpoints brittle;
  CHECK_FALSE(brittle.RejectLimit("s", 1, kStart));
  CHECK(brittle.RecordResponse("s", 1, 3, kStart, kStart));
  CHECK(brittle.RejectLimit("s", 2, kStart) == 3.0);
  CHECK_FALSE(brittle.RejectLimit("other", 2, kStart));
  brittle.RecordMiss(2, kStart);
  const auto demand = brittle.TakeDemand("s", 2, 8, 0, kStart);
  REQUIRE(demand);
  CHECK(demand->is_new);
  SlotShareAllocator allocator;
  CHECK(allocator.Decide("a", *demand, true, kStart) == 1);
  CHECK_FALSE(brittle.RejectLimit("s", 2, kStart + BrittleEndpoints::kServiceMemory));
  brittle.RecordResponse("s", 2, std::nullopt, kStart, kStart + seconds(1));
  CHECK_FALSE(brittle.RejectLimit("s", 2, kStart + seconds(1)));
}

// Guards against a service that stays bounded after its endpoints have recovered.
TEST_CASE("an endpoint that no longer states it is not brittle", "[brittle]") {
  BrittleEndpoints brittle;
  brittle.RecordResponse("s", 1, 3, kStart, kStart);
  CHECK(brittle.RecordResponse("s", 1, std::nullopt, kStart + seconds(1), kStart + seconds(2)));
  CHECK_FALSE(brittle.RejectLimit("s", 1, kStart + seconds(2)));
  CHECK(brittle.empty());
}

// Guards against an unreadable header that is taken for none.
TEST_CASE("the number of rejections is read from the header", "[brittle]") {
  CHECK_FALSE(platform::RejectLimit({}));
  CHECK(platform::RejectLimit({{"server-brittle", " 4 "}}) == 4.0);
  CHECK(platform::RejectLimit({{"Server-Brittle", "many"}}) == 0.0);
  CHECK(platform::RejectLimit({{"Server-Brittle", "4"}, {"Server-Brittle", "2"}}) == 2.0);
}

}  // namespace mimosabend
