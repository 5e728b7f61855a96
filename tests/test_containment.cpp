#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

#include "http_types.h"
#include "platform_fleet.h"

namespace mimosabend::testing {

namespace {

// The users' bound: once a request has ended three endpoints and the fleet has had the contact time
// to learn of it, at most three more tries of it reach an endpoint, over all gateways.
constexpr std::size_t kEndsToLearnFrom = 3;
constexpr milliseconds kContactTime{3000};
constexpr int kTriesAfterwards = 3;

constexpr milliseconds kRepeatPause{100};

// Ends of endpoints later than the contact time after the third.
int LateEnds(const std::vector<MonotonicTime>& ends) {
  if (ends.size() < kEndsToLearnFrom) return 0;
  const MonotonicTime learned = ends[kEndsToLearnFrom - 1] + kContactTime;
  return static_cast<int>(
      std::count_if(ends.begin(), ends.end(), [&](MonotonicTime end) { return end > learned; }));
}

// Sends a request that ends its endpoints again and again through gateways in turn.
void Repeat(PlatformFleet* fleet, const std::vector<int>& gateways, const std::string& target,
            milliseconds time) {
  const MonotonicTime end = MonotonicNow() + time;
  for (std::size_t i = 0; MonotonicNow() < end; ++i) {
    const auto reply =
        CallOne(fleet->MakeCall(gateways[i % gateways.size()], target, "please crash"));
    CHECK_FALSE((reply && reply.value().status == 200));
    std::this_thread::sleep_for(kRepeatPause);
  }
}

}  // namespace

// Guards against a fleet that learns nothing from endpoints that end under a request, so that each
// repeat of its caller ends further ones.
TEST_CASE("a request that ends its endpoints is contained by all gateways", "[containment]") {
  const std::string target = GENERATE("/chat/1", "/read/1", "/order/1");
  CAPTURE(target);
  PlatformFleet fleet;
  Repeat(&fleet, {0, 1, 2}, target, milliseconds(9000));
  const std::vector<MonotonicTime> ends = fleet.Ends();
  CAPTURE(ends.size());
  CHECK(ends.size() >= kEndsToLearnFrom);
  CHECK(LateEnds(ends) <= kTriesAfterwards);
}

// Guards against containment that works only if all repeats reach the daemon that saw the crashes.
TEST_CASE("what one gateway has seen holds at the others, and after it has died", "[containment]") {
  const bool store_refuses = GENERATE(false, true);
  CAPTURE(store_refuses);
  PlatformFleet fleet;
  const int leader = fleet.Leader();
  REQUIRE(leader >= 0);
  const int second = (leader + 1) % 3;
  const int third = (leader + 2) % 3;
  fleet.RefuseStoreCalls(store_refuses);
  // Each gateway sees one end; the first to see one is the leader, which dies then.
  const auto end_one = [&](int gateway) {
    const std::size_t before = fleet.Ends().size();
    const auto reply = CallOne(fleet.MakeCall(gateway, "/order/1", "please crash"));
    REQUIRE(reply);
    CHECK(reply.value().status == 502);
    CHECK(WaitFor(seconds(2), [&] { return fleet.Ends().size() == before + 1; }));
    std::this_thread::sleep_for(milliseconds(1000));
  };
  end_one(leader);
  fleet.gateway(leader).Signal(SIGKILL);
  end_one(second);
  end_one(third);
  std::this_thread::sleep_for(kContactTime);
  fleet.RefuseStoreCalls(false);
  fleet.StartGateway(leader);
  fleet.RefuseStoreCalls(store_refuses);
  Repeat(&fleet, {leader, second, third}, "/order/1", milliseconds(4000));
  CHECK(static_cast<int>(fleet.Ends().size()) <=
        static_cast<int>(kEndsToLearnFrom) + kTriesAfterwards);
  // The refusal is true and says when to come back.
  const auto reply = CallOne(fleet.MakeCall(second, "/order/1", "please crash"));
  REQUIRE(reply);
  CHECK(reply.value().status == 503);
  CHECK(std::stod(std::string(FindHeader(reply.value().headers, "Retry-After"))) > 3000);
  // Others are served as before.
  CHECK(CallOne(fleet.MakeCall(second, "/order/1", "an order")).value().status == 200);
}

// Guards against innocent requests that are refused, or wait for ever, because they ran beside one
// that ends its endpoints.
TEST_CASE("requests that run beside one that ends its endpoints are served", "[containment]") {
  constexpr int kPerEngine = 47;
  PlatformFleetOptions options;
  options.engine_flags = {"--events=20"};
  PlatformFleet fleet(options);
  for (int round = 0; round < 4; ++round) {
    CAPTURE(round);
    std::vector<std::string> waiting;
    for (int i = 0; i < kPerEngine * options.engines; ++i) {
      waiting.push_back("request " + std::to_string(round) + "/" + std::to_string(i));
    }
    // Callers on these sites repeat once.
    for (int attempt = 0; attempt < 2; ++attempt) {
      std::vector<HttpCall> calls;
      for (std::size_t i = 0; i < waiting.size(); ++i) {
        calls.push_back(fleet.MakeCall(static_cast<int>(i) % 3, "/chat/1", waiting[i]));
      }
      calls.push_back(fleet.MakeCall(attempt, "/chat/1", "please crash"));
      const auto replies = CallAll(std::move(calls));
      std::vector<std::string> again;
      for (std::size_t i = 0; i < waiting.size(); ++i) {
        const int status = replies[i] ? replies[i].value().status : 0;
        if (status == 200) continue;
        again.push_back(waiting[i]);
        if (attempt > 0) UNSCOPED_INFO(waiting[i] << " ends with status " << status);
      }
      waiting = std::move(again);
    }
    CHECK(waiting.empty());
  }
  CHECK(fleet.Ends().size() <= kEndsToLearnFrom + kTriesAfterwards);
}

}  // namespace mimosabend::testing
