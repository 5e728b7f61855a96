#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

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

}  // namespace mimosabend::testing
