#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

#include "digest.h"
#include "http_types.h"
#include "platform_fleet.h"

namespace mimosabend::testing {

namespace {

// The users' bounds: after a part of a prompt has crashed five endpoints and the contact time has
// passed, at most three more requests with it reach an endpoint, over all gateways. From twice the
// contact time on, other requests with the same first part start at the first attempt at least half
// as often as usual.
constexpr std::size_t kCrashesToLearnFrom = 5;
constexpr milliseconds kContactTime{3000};
constexpr int kMaxAttemptsAfterwards = 3;
constexpr double kMinFirstAttemptShare = 0.5;

constexpr char kSoundParts[] = "f1:200,5b1:100,";
constexpr char kDeadlyParts[] = "f1:200,5b1:100,dead1:50,";

// A stream whose body and last part are like those of no other one.
HttpCall MakeStream(PlatformFleet* fleet, int gateway, const std::string& parts) {
  static std::uint64_t last = 0;
  const std::string own = Hex64(++last);
  HttpCall call = fleet->MakeCall(gateway, "/chat/1", "request " + own);
  call.headers.emplace_back("Prompt-Prefix", parts + own + ":10");
  return call;
}

bool IsServed(const Result<HttpReply, HttpError>& reply) {
  return reply && reply.value().status == 200;
}

// Counts requests without the deadly part that were served at their first attempt.
struct SoundRequests {
  int sent = 0;
  int served = 0;
};

// Sends requests with a deadly part for `time`, through the gateways in turn, each together with
// three sound ones. All begin with the parts `common`. Returns the counts of the sound ones that
// were sent from `counted_from` on.
SoundRequests SendDeadly(PlatformFleet* fleet, const std::vector<int>& gateways, milliseconds time,
                         milliseconds counted_from, const std::string& common = "") {
  SoundRequests counts;
  const MonotonicTime start = MonotonicNow();
  for (std::size_t i = 0; MonotonicNow() < start + time; ++i) {
    const bool counted = MonotonicNow() >= start + counted_from;
    std::vector<HttpCall> calls;
    calls.push_back(MakeStream(fleet, gateways[i % gateways.size()], common + kDeadlyParts));
    for (int gateway : gateways) {
      calls.push_back(MakeStream(fleet, gateway, common + kSoundParts));
    }
    const auto replies = CallAll(std::move(calls));
    CHECK_FALSE(IsServed(replies.front()));
    if (!counted) continue;
    counts.sent += static_cast<int>(replies.size()) - 1;
    counts.served += static_cast<int>(std::count_if(replies.begin() + 1, replies.end(), IsServed));
  }
  return counts;
}

// Number of endpoints that ended later than the contact time after the fifth end.
int LateEnds(const std::vector<MonotonicTime>& ends) {
  if (ends.size() < kCrashesToLearnFrom) return 0;
  const MonotonicTime contact_end = ends[kCrashesToLearnFrom - 1] + kContactTime;
  return static_cast<int>(std::count_if(ends.begin(), ends.end(),
                                        [&](MonotonicTime end) { return end > contact_end; }));
}

}  // namespace

// Guards against new requests that crash endpoint after endpoint, since they share only one part of
// their prompts with the earlier ones.
TEST_CASE("requests with a part that crashes endpoints are contained by all gateways",
          "[containment]") {
  // The second case guards against a part that is not looked at since many precede it.
  const int common_parts = GENERATE(0, 600);
  CAPTURE(common_parts);
  std::string common;
  for (int i = 0; i < common_parts; ++i) common += "c" + Hex64(i).substr(8) + ":5,";
  PlatformFleet fleet;
  // Callers of other requests have used the first parts before.
  for (int gateway : {0, 1, 2}) {
    CHECK(IsServed(CallOne(MakeStream(&fleet, gateway, common + kSoundParts))));
  }
  const SoundRequests sound =
      SendDeadly(&fleet, {0, 1, 2}, milliseconds(12000), 2 * kContactTime, common);
  CAPTURE(fleet.ExitTimes().size(), sound.sent, sound.served);
  CHECK(LateEnds(fleet.ExitTimes()) <= kMaxAttemptsAfterwards);
  CHECK(sound.sent >= 20);
  CHECK(sound.served >= kMinFirstAttemptShare * sound.sent);
}

// Guards against containment of a part that ends with the gateway that saw the crashes, or that
// needs the store.
TEST_CASE("a part that crashed endpoints at one gateway is contained after that has died",
          "[containment]") {
  PlatformFleet fleet;
  const int leader = fleet.Leader();
  REQUIRE(leader >= 0);
  const int second = (leader + 1) % 3;
  const int third = (leader + 2) % 3;
  for (int gateway : {0, 1, 2}) {
    CHECK(IsServed(CallOne(MakeStream(&fleet, gateway, kSoundParts))));
  }
  fleet.RefuseStoreCalls(true);
  SendDeadly(&fleet, {leader}, kContactTime, kContactTime);
  std::this_thread::sleep_for(milliseconds(1000));
  fleet.gateway(leader).Signal(SIGKILL);
  std::this_thread::sleep_for(milliseconds(1000));
  fleet.RefuseStoreCalls(false);
  const std::size_t before = fleet.ExitTimes().size();
  CAPTURE(before);
  const SoundRequests sound = SendDeadly(&fleet, {second, third}, kContactTime, milliseconds(0));
  CHECK(fleet.ExitTimes().size() <= before + kMaxAttemptsAfterwards);
  CHECK(sound.served >= kMinFirstAttemptShare * sound.sent);
}

}  // namespace mimosabend::testing
