#ifndef MIMOSABEND_WAIT_POLICY_H_
#define MIMOSABEND_WAIT_POLICY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "clock.h"
#include "name_table.h"

// Decides whether requests for models are sent, wait or are refused.

namespace mimosabend {

// No attempt starts, and no request waits, with less time than this before the deadline.
inline constexpr milliseconds kMinAttemptTime{10};

struct WaitRules {
  // Refuse requests that are predicted to be served too late.
  bool forecast = false;
};

// What a daemon knows of the engines for one model.
struct ModelOutlook {
  // An engine that holds the model can be sent a request now.
  bool has_engine = false;
  // Engines that share the requests that wait for the model; at least 1.
  std::uint32_t engines = 1;
  // Expected end of a load that has been ordered.
  std::optional<MonotonicTime> load_end;
  // The earliest end of a backoff among the engines that hold the model.
  std::optional<MonotonicTime> backoff_until;
  // All engines that hold the model state rate limits. Read only if MayRefuseEarly.
  bool all_limited = false;
  // There is a placement leader that decides on loads.
  bool has_leader = true;
};

// The models that wait for a load from the weight store and have not been ordered yet.
struct QueuedLoads {
  // Their number by priority, 0 first; the last entry includes all less urgent ones.
  std::vector<std::uint32_t> queued;
  // How long one load takes, and the time between the starts of two.
  milliseconds load_time{0};
  milliseconds interval{0};
};

// Expected end of a load that has not been ordered, for a request of this priority. `known_at` is
// the time at which `loads` was true; std::nullopt if that is too long ago. Thread-safe.
std::optional<MonotonicTime> QueuedLoadEnd(const QueuedLoads& loads, std::uint32_t priority,
                                           MonotonicTime known_at, MonotonicTime now);

struct WaitingRequest {
  // Index of its model's outlook.
  std::size_t model = 0;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  MonotonicTime arrival;
  // Since when the request has been waiting for its model; the present time if it has not.
  MonotonicTime waiting_since;
  // Latest time for the first event; max() once the stream has begun.
  MonotonicTime first_event_by = MonotonicTime::max();
  MonotonicTime deadline = MonotonicTime::max();
  // The route's target latency.
  milliseconds target{0};
  // An endpoint may have run the request, or its stream has begun: no forecast refuses it.
  bool has_run = false;
  // Expected time from sending the request to the first event, at the best engine.
  milliseconds first_event_time{0};
  // Least expected time from the first event to the last.
  milliseconds stream_time{0};
  // Engine time that delays the first events of requests that are sent after this one.
  milliseconds work{0};
  // Expected end of a load of the model that has not been ordered; std::nullopt if unknown.
  std::optional<MonotonicTime> queued_load_end;
  // When its model was last expected to be available.
  std::optional<MonotonicTime> ready_at;
};

enum class WaitAction : std::uint8_t { kSend, kWait, kRefuse };

enum class WaitReason : std::uint8_t {
  kNone,
  kOutOfTime,
  kLoadTooLate,
  kAllLimited,
  kNoLeader,
  kFirstEventTooLate,
  kEndTooLate
};

// The reasons of refusals as the request's log line states them.
inline constexpr NameTable<WaitReason, 7> kWaitReasonNames{
    {"", "no engine loaded the model in time", "model load ends too late",
     "all engines of the model have a rate limit", "no placement leader to load the model",
     "first event is predicted too late", "end is predicted too late"}};

// Whether a request is refused by a forecast. Thread-safe.
constexpr bool IsForecast(WaitReason reason) {
  return reason == WaitReason::kFirstEventTooLate || reason == WaitReason::kEndTooLate;
}

struct WaitDecision {
  WaitAction action = WaitAction::kWait;
  WaitReason reason = WaitReason::kNone;
  // Waiting: the decision has to be made again at this time at the latest.
  MonotonicTime until;
  // When the model or, for a refusal, an engine for a new request is expected to be available.
  std::optional<MonotonicTime> ready_at;
  // Position among the requests that are not refused, 0 first.
  std::size_t order = 0;
};

// Whether a request that waits may be refused because all engines of its model state rate limits.
// Thread-safe.
bool MayRefuseEarly(const WaitingRequest& request, MonotonicTime now);

// Decides on one request regardless of others. Thread-safe.
WaitDecision DecideWait(const WaitingRequest& request, const ModelOutlook& outlook,
                        const WaitRules& rules, MonotonicTime now);

// Decides on all waiting and arriving requests of a daemon; the result has their order. With
// forecasts, a request counts the work of those that go before it to the engines of the same model.
// Order: priority, then the time left to the target if it can be met, then arrival.
// Precondition: each `model` is an index of `outlooks`. Thread-safe.
std::vector<WaitDecision> DecideWaits(const std::vector<WaitingRequest>& requests,
                                      const std::vector<ModelOutlook>& outlooks,
                                      const WaitRules& rules, MonotonicTime now);

}  // namespace mimosabend

#endif  // MIMOSABEND_WAIT_POLICY_H_
