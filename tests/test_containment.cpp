#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

#include "http_types.h"
#include "platform_fleet.h"

namespace mimosabend::testing {

namespace {

// The users' bound: after a request has crashed three endpoints and the contact time has passed, at
// most three more attempts of it reach an endpoint, over all gateways.
constexpr std::size_t kCrashesToLearnFrom = 3;
constexpr milliseconds kContactTime{3000};
constexpr int kMaxAttemptsAfterwards = 3;

constexpr milliseconds kRepeatPause{100};

// Number of endpoints that ended later than the contact time after the third end.
int LateEnds(const std::vector<MonotonicTime>& ends) {
  if (ends.size() < kCrashesToLearnFrom) return 0;
  const MonotonicTime contact_end = ends[kCrashesToLearnFrom - 1] + kContactTime;
  return static_cast<int>(std::count_if(ends.begin(), ends.end(),
                                        [&](MonotonicTime end) { return end > contact_end; }));
}

// Repeats a request that crashes its endpoint for `time`, through the gateways in turn.
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

// Guards against a request that crashes further endpoints with each repeat by its caller.
TEST_CASE("a request that crashes endpoints is contained by all gateways", "[containment]") {
  const std::string target = GENERATE("/chat/1", "/read/1", "/order/1");
  CAPTURE(target);
  PlatformFleet fleet;
  Repeat(&fleet, {0, 1, 2}, target, milliseconds(9000));
  const std::vector<MonotonicTime> ends = fleet.ExitTimes();
  CAPTURE(ends.size());
  CHECK(ends.size() >= kCrashesToLearnFrom);
  CHECK(LateEnds(ends) <= kMaxAttemptsAfterwards);
}

// Guards against containment that works only if all repeats reach the gateway that saw the crashes,
// or only while that gateway runs.
TEST_CASE("crashes seen by one gateway count at the others, and after it has died",
          "[containment]") {
  const bool store_refuses = GENERATE(false, true);
  CAPTURE(store_refuses);
  PlatformFleet fleet;
  const int leader = fleet.Leader();
  REQUIRE(leader >= 0);
  const int second = (leader + 1) % 3;
  const int third = (leader + 2) % 3;
  fleet.RefuseStoreCalls(store_refuses);
  // Each gateway sees one crash. The first is the leader, which is then killed.
  const auto crash_one = [&](int gateway) {
    const std::size_t before = fleet.ExitTimes().size();
    const auto reply = CallOne(fleet.MakeCall(gateway, "/order/1", "please crash"));
    REQUIRE(reply);
    CHECK(reply.value().status == 502);
    CHECK(WaitFor(seconds(2), [&] { return fleet.ExitTimes().size() == before + 1; }));
    std::this_thread::sleep_for(milliseconds(1000));
  };
  crash_one(leader);
  fleet.gateway(leader).Signal(SIGKILL);
  crash_one(second);
  crash_one(third);
  std::this_thread::sleep_for(kContactTime);
  fleet.RefuseStoreCalls(false);
  fleet.StartGateway(leader);
  fleet.RefuseStoreCalls(store_refuses);
  Repeat(&fleet, {leader, second, third}, "/order/1", milliseconds(4000));
  CHECK(static_cast<int>(fleet.ExitTimes().size()) <=
        static_cast<int>(kCrashesToLearnFrom) + kMaxAttemptsAfterwards);
  // The refusal has the right status and says when to retry.
  const auto reply = CallOne(fleet.MakeCall(second, "/order/1", "please crash"));
  REQUIRE(reply);
  CHECK(reply.value().status == 503);
  CHECK(std::stod(std::string(FindHeader(reply.value().headers, "Retry-After"))) > 3000);
  // Other requests are served as before.
  CHECK(CallOne(fleet.MakeCall(second, "/order/1", "an order")).value().status == 200);
}

// Guards against innocent requests that are refused or wait forever because they ran beside one
// that crashes its endpoints.
TEST_CASE("requests that run beside one that crashes its endpoints are served", "[containment]") {
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
    // Callers repeat a failed request once.
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
  CHECK(fleet.ExitTimes().size() <= kCrashesToLearnFrom + kMaxAttemptsAfterwards);
}

}  // namespace mimosabend::testing
