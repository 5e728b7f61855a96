#ifndef MIMOSABEND_ADMISSION_H_
#define MIMOSABEND_ADMISSION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "name_table.h"
#include "rank.h"

namespace mimosabend {

// Why a request was rejected before it ran.
enum class AdmissionRefusal : std::uint8_t { kQueueFull, kDeadline, kFirstToken };
inline constexpr std::size_t kAdmissionRefusalCount = 3;
inline constexpr NameTable<AdmissionRefusal, kAdmissionRefusalCount> kAdmissionRefusalNames{
    {"queue_full", "deadline", "first_token"}};

// Bounds on the requests that wait in a daemon.
struct AdmissionLimits {
  std::size_t waiting_per_rank = 256;
  std::size_t waiting = 4096;
  std::size_t waiting_bytes = 32 * 1024 * 1024;
};

struct AdmissionRequest {
  // Requests in the same queue compete for the same replicas.
  std::string queue;
  Rank rank = Rank::kStandard;
  std::string caller;
  double weight = 1;
  std::size_t bytes = 0;
  MonotonicTime deadline;
  // Target for the time from arrival to the first token.
  milliseconds first_token{0};
};

// This daemon's share of an endpoint's slots.
struct EndpointShare {
  std::string endpoint;
  double slots = 0;
};

using AdmissionTicket = std::uint64_t;

// A request may start, or is rejected if `refusal` is set.
struct AdmissionDecision {
  AdmissionTicket ticket = 0;
  std::optional<AdmissionRefusal> refusal;
};

using AdmissionDecisions = std::vector<AdmissionDecision>;

// Decides which request of a daemon runs next. Urgent requests go first; each other rank is
// guaranteed a minimum share of the slot time, its floor, while it has requests waiting; within a
// rank, callers share the slot time by weight (fair queuing). Every ticket gets exactly one
// decision unless it is withdrawn before. Not thread-safe.
class AdmissionController {
 public:
  explicit AdmissionController(AdmissionLimits limits = {}) : limits_(limits) {}

  // Sets the minimum share of the slot time of each rank, from 0 to 1.
  void SetFloors(const std::array<double, kRankCount>& floors) { floors_ = floors; }

  // Reports endpoints that serve a queue. An endpoint that is not reported again within 10 s no
  // longer counts.
  void UpdateEndpoints(const std::string& queue, const std::vector<EndpointShare>& endpoints,
                       MonotonicTime now);

  // Adds a request and appends the decisions that result, possibly one on the request itself.
  AdmissionTicket Submit(const AdmissionRequest& request, MonotonicTime now,
                         AdmissionDecisions* decisions);

  // When a waiting request can no longer be served in time; the epoch if the ticket does not wait.
  MonotonicTime Expiry(AdmissionTicket ticket) const;

  // Rejects a waiting request whose expiry has passed. No effect on other tickets.
  void Expire(AdmissionTicket ticket, MonotonicTime now, AdmissionDecisions* decisions);

  // Records when a running request produced its first token. Only the first call has an effect.
  void RecordFirstToken(AdmissionTicket ticket, MonotonicTime now);

  // Ends a running request, or withdraws a waiting one. No effect on rejected tickets.
  void End(AdmissionTicket ticket, MonotonicTime now, AdmissionDecisions* decisions);

  // Expected time until a request of the rank would start if it arrived now.
  std::chrono::steady_clock::duration EstimatedWait(const std::string& queue, Rank rank) const;
  // Expected time from the start of a request to its first token.
  std::chrono::steady_clock::duration FirstTokenTime(const std::string& queue, Rank rank) const;

  std::size_t waiting() const { return waiting_; }
  std::size_t waiting_bytes() const { return waiting_bytes_; }
  // Number of requests of a queue that may run concurrently.
  std::size_t Limit(const std::string& queue) const;

 private:
  struct Ticket {
    AdmissionRequest request;
    MonotonicTime arrived_at;
    MonotonicTime started_at;
    double charged_s = 0;
    bool running = false;
    bool first_token_seen = false;
  };

  struct CallerState {
    std::deque<AdmissionTicket> waiting;
    double weight = 1;
    // Slot time that the caller has used, in seconds divided by its weight.
    double used_slot_s = 0;
    std::size_t running = 0;
  };

  struct RankState {
    std::map<std::string, CallerState> callers;
    std::size_t waiting = 0;
    std::size_t running = 0;
    // Slot seconds that the rank is behind its floor; negative if it is ahead.
    double deficit_s = 0;
    // Exponentially weighted mean of the number of running requests.
    double concurrency = 0;
    // Largest `used_slot_s` of a caller at the time it was served (the virtual time of fair
    // queuing). A caller that returns from idle starts here, so that idle time earns no credit.
    double virtual_time = 0;
    // Exponentially weighted means of measured times; 0 until there is a sample.
    double service_s = 0;
    double first_token_s = 0;
  };

  struct ReportedEndpoint {
    double slots = 0;
    MonotonicTime reported_at;
  };

  struct Queue {
    std::array<RankState, kRankCount> ranks;
    std::map<std::string, ReportedEndpoint> endpoints;
    std::size_t limit = 1;
    MonotonicTime updated;

    std::size_t running() const;
    std::size_t waiting() const;
  };

  Queue* UpdateQueue(const std::string& name, MonotonicTime now);
  void Dispatch(Queue* queue, MonotonicTime now, AdmissionDecisions* decisions);
  std::optional<Rank> NextRank(const Queue& queue) const;
  std::size_t UrgentHeadroom(const Queue& queue) const;
  void StartNext(Queue* queue, Rank rank, MonotonicTime now, AdmissionDecisions* decisions);
  void Refuse(AdmissionTicket id, AdmissionRefusal reason, AdmissionDecisions* decisions);
  void RemoveWaiting(AdmissionTicket id);
  void EnforceBounds(AdmissionTicket arrival, AdmissionDecisions* decisions);
  std::optional<AdmissionTicket> NewestOfLongestBacklog(const RankState& state) const;
  std::optional<AdmissionTicket> LeastUrgentWaiting() const;
  double EstimateWaitSeconds(const Queue& queue, Rank rank, const std::string& caller,
                             double weight) const;
  std::optional<AdmissionRefusal> CheckDeadlines(const Ticket& ticket, MonotonicTime now) const;
  void DropIdleQueues(MonotonicTime now);

  AdmissionLimits limits_;
  std::array<double, kRankCount> floors_{0, 0.15, 0.05};
  std::map<std::string, Queue> queues_;
  std::map<AdmissionTicket, Ticket> tickets_;
  AdmissionTicket last_ticket_ = 0;
  std::size_t waiting_ = 0;
  std::size_t waiting_bytes_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ADMISSION_H_
