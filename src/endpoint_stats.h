#ifndef MIMOSABEND_ENDPOINT_STATS_H_
#define MIMOSABEND_ENDPOINT_STATS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"

namespace mimosabend {

// Work at one endpoint.
struct EndpointWork {
  // Requests that have not ended.
  std::uint32_t requests = 0;
  // Prompt tokens that are not yet read, of requests without a first event.
  std::uint64_t unread_tokens = 0;
  // Tokens in memory of running requests.
  std::uint64_t memory_tokens = 0;
};

// How one try at an endpoint ended, as far as it tells of the endpoint.
enum class TryVerdict : std::uint8_t { kGood, kFull, kFailed, kUnreachable, kNeutral };

// What this daemon has observed of the endpoints: its own work there, that of other daemons, how
// fast engines read, and which endpoints fail. Not thread-safe.
class EndpointStats {
 public:
  void Start(const std::string& endpoint, const EndpointWork& work);
  // The prompt of a request has been read.
  void NoteFirstEvent(const std::string& endpoint, std::uint64_t unread_tokens);
  void End(const std::string& endpoint, const EndpointWork& work, TryVerdict verdict,
           MonotonicTime now);

  // Replaces what other daemons have at the endpoints. Counts until a point of time.
  void SetOthers(std::map<std::string, EndpointWork> others, MonotonicTime until);

  // Work of all daemons at an endpoint.
  EndpointWork Work(const std::string& endpoint, MonotonicTime now) const;
  // Own work at all endpoints.
  const std::map<std::string, EndpointWork>& own() const { return own_; }

  // The endpoint wants no requests of this daemon until then.
  void HoldOff(const std::string& endpoint, MonotonicTime until);
  // Until when an endpoint wants no requests of this daemon; std::nullopt if it takes them.
  std::optional<MonotonicTime> HeldOffUntil(const std::string& endpoint, MonotonicTime now) const;

  // Whether an endpoint is left out for its failures.
  bool IsEjected(const std::string& endpoint, MonotonicTime now) const;
  // Endpoints that are left out because they could not be reached.
  std::vector<std::string> Unreachable(MonotonicTime now) const;
  // Share of recent requests that failed, 0 to 1.
  double FailureRate(const std::string& endpoint) const;

  // Notes how long an engine took to read a prompt while it had nothing else to read.
  void NoteReading(const std::string& endpoint, const std::string& model, std::uint64_t tokens,
                   std::chrono::steady_clock::duration time);
  // Expected milliseconds to read one prompt token.
  double MillisPerToken(const std::string& endpoint, const std::string& model) const;

  void Forget(const std::string& endpoint);

 private:
  struct Health {
    std::uint32_t failures_in_row = 0;
    double failure_rate = 0;
    MonotonicTime ejected_until;
    MonotonicTime held_off_until;
    // The last failure was that the endpoint could not be reached.
    bool unreachable = false;
  };

  std::map<std::string, EndpointWork> own_;
  std::map<std::string, EndpointWork> others_;
  MonotonicTime others_until_;
  std::map<std::string, Health> health_;
  // Milliseconds per token by model, and the factor of an endpoint on top of it.
  std::map<std::string, double> model_pace_;
  std::map<std::string, double> endpoint_factor_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENDPOINT_STATS_H_
