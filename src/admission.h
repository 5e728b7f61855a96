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

// Why a request was refused before it ran.
enum class AdmissionRefusal : std::uint8_t { kQueueFull, kDeadline, kFirstToken };
inline constexpr std::size_t kAdmissionRefusalCount = 3;
inline constexpr NameTable<AdmissionRefusal, kAdmissionRefusalCount> kAdmissionRefusalNames{
    {"queue_full", "deadline", "first_token"}};

// Bounds of what waits in a daemon.
struct AdmissionLimits {
  std::size_t waiting_per_rank = 256;
  std::size_t waiting = 4096;
  std::size_t waiting_bytes = 32 * 1024 * 1024;
};

struct AdmissionRequest {
  // Requests of one queue compete for the same replicas.
  std::string queue;
  Rank rank = Rank::kStandard;
  std::string caller;
  double weight = 1;
  std::size_t bytes = 0;
  MonotonicTime deadline;
  // Target of the time from the arrival in the queue to the first token.
  milliseconds first_token{0};
};

// This daemon's share of an endpoint's slots.
struct EndpointShare {
  std::string endpoint;
  double slots = 0;
};

using AdmissionTicket = std::uint64_t;

// A waiting request may start, or is refused.
struct AdmissionDecision {
  AdmissionTicket ticket = 0;
  std::optional<AdmissionRefusal> refusal;
};

using AdmissionDecisions = std::vector<AdmissionDecision>;

// Decides which request of a daemon runs next. Urgent requests go first; each other rank keeps
// its floor of the slot time while it has work waiting; callers share a rank by weight. Every
// ticket gets exactly one decision unless it is withdrawn before. Not thread-safe.
class Admission {
 public:
  explicit Admission(AdmissionLimits limits = {}) : limits_(limits) {}

  // Least shares of the slots by rank.
  void SetFloors(const std::array<double, kRankCount>& floors) { floors_ = floors; }

  // Endpoints that serve a queue. Those not named again for a while no longer count.
  void NoteEndpoints(const std::string& queue, const std::vector<EndpointShare>& endpoints,
                     MonotonicTime now);

  // Enters a request and appends what follows from it, often a decision on the request itself.
  AdmissionTicket Arrive(const AdmissionRequest& request, MonotonicTime now,
                         AdmissionDecisions* decisions);

  // When a waiting request has to be given up; the epoch if the ticket does not wait.
  MonotonicTime Expiry(AdmissionTicket ticket) const;

  // Refuses a waiting request whose expiry has passed. No effect on others.
  void Expire(AdmissionTicket ticket, MonotonicTime now, AdmissionDecisions* decisions);

  // Notes the first token of a running request. No effect after the first call.
  void NoteFirstToken(AdmissionTicket ticket, MonotonicTime now);

  // Ends a running request, or withdraws a waiting one. No effect on refused tickets.
  void End(AdmissionTicket ticket, MonotonicTime now, AdmissionDecisions* decisions);

  // Expected time until a request of the rank that arrived now would start.
  std::chrono::steady_clock::duration EstimatedWait(const std::string& queue, Rank rank) const;
  // Expected time from the start of a request to its first token.
  std::chrono::steady_clock::duration FirstTokenTime(const std::string& queue, Rank rank) const;

  std::size_t waiting() const { return waiting_; }
  std::size_t waiting_bytes() const { return waiting_bytes_; }
  // Requests that may run at once in a queue.
  std::size_t Limit(const std::string& queue) const;

 private:
  struct Ticket {
    AdmissionRequest request;
    MonotonicTime entered;
    MonotonicTime started;
    double charged = 0;
    bool running = false;
    bool first_token_seen = false;
  };

  struct CallerState {
    std::deque<AdmissionTicket> waiting;
    double weight = 1;
    // Weighted slot time in seconds that the caller was given.
    double used = 0;
    std::size_t running = 0;
  };

  struct RankState {
    std::map<std::string, CallerState> callers;
    std::size_t waiting = 0;
    std::size_t running = 0;
    // Slot seconds that the rank is owed below its floor.
    double owed = 0;
    // Mean number of running requests in the recent past.
    double concurrency = 0;
    // Weighted slot time of the caller served last; callers that return start from here.
    double virtual_time = 0;
    double service_s = 0;
    double first_token_s = 0;
  };

  struct KnownEndpoint {
    double slots = 0;
    MonotonicTime seen;
  };

  struct Queue {
    std::array<RankState, kRankCount> ranks;
    std::map<std::string, KnownEndpoint> endpoints;
    std::size_t limit = 1;
    MonotonicTime updated;

    std::size_t running() const;
    std::size_t waiting() const;
  };

  Queue* Update(const std::string& name, MonotonicTime now);
  void Dispatch(Queue* queue, MonotonicTime now, AdmissionDecisions* decisions);
  std::optional<Rank> NextRank(const Queue& queue) const;
  std::size_t Headroom(const Queue& queue) const;
  void StartNext(Queue* queue, Rank rank, MonotonicTime now, AdmissionDecisions* decisions);
  void Refuse(AdmissionTicket id, AdmissionRefusal reason, AdmissionDecisions* decisions);
  void RemoveWaiting(AdmissionTicket id);
  void MakeRoom(AdmissionTicket arrival, AdmissionDecisions* decisions);
  std::optional<AdmissionTicket> LongestBacklog(const RankState& state) const;
  std::optional<AdmissionTicket> LeastUrgentWaiting() const;
  double WaitSeconds(const Queue& queue, Rank rank, const std::string& caller, double weight) const;
  std::optional<AdmissionRefusal> CheckTimes(const Ticket& ticket, MonotonicTime now) const;
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
