#include <catch2/catch.hpp>
#include <random>

#include "wait_simulation.h"

namespace mimosabend::testing {

namespace {

MonotonicTime At(int ms) { return MonotonicTime(seconds(100) + milliseconds(ms)); }

struct Numbers {
  explicit Numbers(std::uint64_t seed) : random(seed) {}
  int Below(int bound) { return static_cast<int>(random() % static_cast<std::uint64_t>(bound)); }
  bool Chance(int percent) { return Below(100) < percent; }
  std::optional<MonotonicTime> Time(int percent) {
    return Chance(percent) ? std::optional(At(Below(8000) - 1000)) : std::nullopt;
  }
  std::mt19937_64 random;
};

WaitingRequest RandomRequest(Numbers* numbers) {
  WaitingRequest request;
  request.priority = static_cast<std::uint32_t>(numbers->Below(3));
  request.arrival = At(-numbers->Below(4000));
  request.waiting_since = request.arrival + milliseconds(numbers->Below(500));
  request.deadline = At(numbers->Below(8000) - 100);
  if (numbers->Chance(80)) request.first_event_by = At(numbers->Below(5000) - 100);
  request.target = milliseconds(numbers->Below(2000));
  request.has_run = numbers->Chance(20);
  request.first_event_time = milliseconds(numbers->Below(3000));
  request.stream_time = milliseconds(numbers->Below(6000));
  request.work = milliseconds(numbers->Below(400));
  request.queued_load_end = numbers->Time(50);
  request.ready_at = numbers->Time(50);
  return request;
}

ModelOutlook RandomOutlook(Numbers* numbers) {
  ModelOutlook outlook;
  outlook.has_engine = numbers->Chance(30);
  outlook.engines = static_cast<std::uint32_t>(1 + numbers->Below(3));
  outlook.load_end = numbers->Time(40);
  outlook.backoff_until = numbers->Time(50);
  outlook.all_limited = numbers->Chance(50);
  outlook.has_leader = numbers->Chance(60);
  return outlook;
}

// The conditions that RelayHandler had before the policy. Returns whether the request is sent, or
// why it is refused; an empty text if it waits.
std::string FormerRules(const WaitingRequest& request, const ModelOutlook& outlook,
                        MonotonicTime now, std::optional<MonotonicTime>* ready_at) {
  if (outlook.has_engine) return "send";
  const MonotonicTime limit = std::min(request.deadline, request.first_event_by);
  if (!(now + milliseconds(10) < limit)) return "no engine loaded the model in time";
  *ready_at = outlook.load_end;
  if (outlook.load_end) return *outlook.load_end < limit ? "" : "model load ends too late";
  *ready_at = outlook.backoff_until;
  if (!request.has_run && now - request.arrival >= request.target / 8 && outlook.all_limited) {
    return "all engines of the model have a rate limit";
  }
  if (outlook.has_leader) return "";
  *ready_at = std::max(ready_at->value_or(now), now + milliseconds(2500));
  const auto longest = std::max(milliseconds(1000), ToMillis(limit - request.waiting_since) / 2);
  return now - request.waiting_since <= longest ? "" : "no placement leader to load the model";
}

}  // namespace

// Guards against decisions that change although no setting asks for that.
TEST_CASE("without forecasts, decisions equal the former ones", "[wait]") {
  Numbers numbers(7);
  std::array<int, kWaitReasonNames.names.size()> seen{};
  for (int i = 0; i < 100000; ++i) {
    const WaitingRequest request = RandomRequest(&numbers);
    const ModelOutlook outlook = RandomOutlook(&numbers);
    auto ready_at = request.ready_at;
    const std::string former = FormerRules(request, outlook, At(0), &ready_at);
    const WaitDecision decision = DecideWait(request, outlook, {false}, At(0));
    const std::string text = decision.action == WaitAction::kSend
                                 ? "send"
                                 : std::string(kWaitReasonNames[decision.reason]);
    ++seen[static_cast<std::size_t>(decision.reason)];
    if (text == former && decision.ready_at == ready_at) continue;
    CAPTURE(i, former, text);
    FAIL_CHECK();
  }
  for (int reason = 0; reason <= static_cast<int>(WaitReason::kNoLeader); ++reason) {
    CHECK(seen[static_cast<std::size_t>(reason)] > 100);
  }
}

// Guards against a refusal of a request that has run, a Retry-After at which the same request would
// be refused again, and requests that overtake more urgent ones.
TEST_CASE("forecasts refuse requests that can't be served in their time", "[wait]") {
  Numbers numbers(11);
  int refused = 0;
  int repeated = 0;
  for (int round = 0; round < 300; ++round) {
    std::vector<ModelOutlook> outlooks;
    for (int i = 0; i < 5; ++i) outlooks.push_back(RandomOutlook(&numbers));
    std::vector<WaitingRequest> requests;
    for (int i = 0; i < 40; ++i) {
      requests.push_back(RandomRequest(&numbers));
      requests.back().model = static_cast<std::size_t>(numbers.Below(5));
    }
    const auto decisions = DecideWaits(requests, outlooks, {true}, At(0));
    for (std::size_t i = 0; i < requests.size(); ++i) {
      const WaitingRequest& request = requests[i];
      const ModelOutlook& outlook = outlooks[request.model];
      const WaitDecision former = DecideWait(request, outlook, {false}, At(0));
      const bool by_forecast = IsForecast(decisions[i].reason);
      if (request.has_run) CHECK(decisions[i].action == former.action);
      if (former.action == WaitAction::kRefuse) CHECK(decisions[i].reason == former.reason);
      if (!by_forecast) continue;
      ++refused;
      CHECK(*decisions[i].ready_at >= At(0));
      // The same request at that time. Its first event has to be possible at all, and the queue of
      // an engine, which has shrunk by then, is not modelled here.
      const auto timeout = request.first_event_by - request.arrival;
      if (decisions[i].reason != WaitReason::kFirstEventTooLate || outlook.has_engine) continue;
      if (request.first_event_time > timeout) continue;
      WaitingRequest again = request;
      again.arrival = *decisions[i].ready_at;
      again.first_event_by = again.arrival + timeout;
      again.deadline = MonotonicTime::max();
      const WaitDecision then = DecideWait(again, outlook, {true}, again.arrival);
      CHECK(then.reason != WaitReason::kFirstEventTooLate);
      ++repeated;
    }
    for (std::size_t i = 0; i < requests.size(); ++i) {
      for (std::size_t j = 0; j < requests.size(); ++j) {
        if (decisions[i].action == WaitAction::kRefuse ||
            decisions[j].action == WaitAction::kRefuse)
          continue;
        if (requests[i].priority < requests[j].priority)
          CHECK(decisions[i].order < decisions[j].order);
      }
    }
  }
  CHECK(refused > 500);
  CHECK(repeated > 100);
}

// Guards against requests that wait although they can't be served, and against forecasts from old
// information that refuse requests which the former rules serve.
TEST_CASE("forecasts serve as many requests of a burst on rare models", "[wait]") {
  const Disturbance disturbance = GENERATE(Disturbance::kNone, Disturbance::kLeaderLost,
                                           Disturbance::kLeaderPaused, Disturbance::kStale);
  BurstResult former;
  BurstResult forecast;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    former.Add(WaitSimulation(seed, disturbance, {false}).Run());
    forecast.Add(WaitSimulation(seed, disturbance, {true}).Run());
  }
  INFO(kDisturbanceNames[disturbance]
       << ": served " << former.served << " and " << forecast.served << " of " << former.requests
       << ", waited in vain " << former.vain_wait_ms << " and " << forecast.vain_wait_ms << " ms, "
       << "refused at once " << former.refused_at_once << " and " << forecast.refused_at_once
       << ", impossible waits " << former.impossible << " and " << forecast.impossible);
  CHECK(forecast.served >= former.served);
  CHECK(forecast.impossible == 0);
  // Else the simulation would not show whether forecasts keep such requests from waiting.
  if (disturbance == Disturbance::kNone) CHECK(former.impossible > 0);
}

}  // namespace mimosabend::testing
