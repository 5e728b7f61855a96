#ifndef MIMOSABEND_ENDPOINT_STATS_H_
#define MIMOSABEND_ENDPOINT_STATS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"

namespace mimosabend {

// Requests at one endpoint and the tokens that they occupy there.
struct EndpointWork {
  // Requests in flight.
  std::uint32_t requests = 0;
  // Prompt tokens still to be processed, of requests that have not produced their first event.
  std::uint64_t prefill_tokens = 0;
  // KV cache tokens that the requests in flight may need: prompt and maximum output.
  std::uint64_t memory_tokens = 0;
};

// What an attempt shows about its endpoint. kNotRun: the endpoint did not run the request;
// kNeutral: nothing, for example since the caller disconnected. Neither affects the endpoint's
// health.
enum class AttemptOutcome : std::uint8_t { kSucceeded, kNotRun, kFailed, kUnreachable, kNeutral };

// Load, health and prefill speed of endpoints as this daemon observes them, including the load
// that other daemons report. Not thread-safe.
class EndpointStats {
 public:
  // Called at the end of each attempt.
  using OutcomeListener =
      std::function<void(const std::string& endpoint, AttemptOutcome, MonotonicTime now)>;
  void set_outcome_listener(OutcomeListener listener) { on_outcome_ = std::move(listener); }

  // An attempt is about to be sent.
  void Start(const std::string& endpoint, const EndpointWork& work);
  // The prompt of a request has been processed: its tokens no longer count as pending.
  void RecordFirstEvent(const std::string& endpoint, std::uint64_t prefill_tokens);
  // An attempt has ended. `work` is what Start was given, less what was already subtracted.
  void End(const std::string& endpoint, const EndpointWork& work, AttemptOutcome outcome,
           MonotonicTime now);

  // Replaces the work of other daemons, by endpoint. It counts until `until`.
  void SetRemoteWork(std::map<std::string, EndpointWork> remote, MonotonicTime until);

  // Work of all daemons at an endpoint.
  EndpointWork Work(const std::string& endpoint, MonotonicTime now) const;
  // Requests of this daemon at an endpoint.
  std::uint32_t OwnRequests(const std::string& endpoint) const;
  // Work of this daemon by endpoint.
  const std::map<std::string, EndpointWork>& own() const { return local_; }

  // Sends the endpoint no requests until `until`, as it has asked. Never shortens a backoff.
  void SetBackoff(const std::string& endpoint, MonotonicTime until);
  // End of the endpoint's backoff; std::nullopt if it accepts requests.
  std::optional<MonotonicTime> BackoffUntil(const std::string& endpoint, MonotonicTime now) const;

  // Whether an endpoint is temporarily avoided because of failures.
  bool IsEjected(const std::string& endpoint, MonotonicTime now) const;
  // Ejected endpoints whose last failure was that they could not be reached.
  std::vector<std::string> Unreachable(MonotonicTime now) const;
  // Moving average of the failures of attempts, 0 to 1.
  double FailureRate(const std::string& endpoint) const;

  // Updates the prefill speed. `time` is from sending the request to its first event.
  // Precondition: the engine ran no other request when this one was sent.
  void RecordPrefill(const std::string& endpoint, const std::string& model, std::uint64_t tokens,
                     std::chrono::steady_clock::duration time);
  // Expected milliseconds to process one prompt token.
  double PrefillMillisPerToken(const std::string& endpoint, const std::string& model) const;

  // Drops the health and speed of an endpoint, for example because a new process has its id.
  void Forget(const std::string& endpoint);

 private:
  struct Health {
    std::uint32_t failures_in_row = 0;
    double failure_rate = 0;
    MonotonicTime ejected_until;
    MonotonicTime backoff_until;
    // Whether the last failure was that the endpoint could not be reached.
    bool unreachable = false;
  };

  OutcomeListener on_outcome_ = [](const std::string&, AttemptOutcome, MonotonicTime) {};
  std::map<std::string, EndpointWork> local_;
  std::map<std::string, EndpointWork> remote_;
  MonotonicTime remote_until_;
  std::map<std::string, Health> health_;
  // Milliseconds per prompt token by model, and the factor by which an endpoint deviates from it.
  std::map<std::string, double> model_millis_per_token_;
  std::map<std::string, double> endpoint_factor_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENDPOINT_STATS_H_
