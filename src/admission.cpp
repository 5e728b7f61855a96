#include "admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// Weight of a new sample in the moving averages of service and first-token times.
constexpr double kSampleWeight = 0.1;
// Time constant of the mean concurrency of a rank.
constexpr double kConcurrencyTimeConstantS = 10;
// Service time assumed for a request until one has been measured.
constexpr double kInitialServiceS = 0.1;
// Upper bound on the deficit of a rank with waiting requests: the slot time of its floor over this
// time.
constexpr double kMaxDeficitTimeS = 60;
// Upper bound on the deficit of a rank without waiting requests, as a number of requests.
constexpr double kMaxIdleDeficitRequests = 2;
// Endpoints are reported with each request; the replica directory refreshes every 2 s.
constexpr seconds kEndpointLifetime{10};
constexpr std::size_t kMaxIdleQueues = 2048;
// No slot is reserved for urgent requests while their mean concurrency is below this.
constexpr double kMinUrgentConcurrency = 0.02;

std::chrono::steady_clock::duration ToDuration(double value) {
  // Bounded so that the conversion cannot overflow.
  constexpr double kMaxSeconds = 86400;
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double>(std::min(value, kMaxSeconds)));
}

void AddSample(double sample, double* mean) {
  *mean = *mean == 0 ? sample : *mean + kSampleWeight * (sample - *mean);
}

}  // namespace

std::size_t AdmissionController::Queue::running() const {
  std::size_t sum = 0;
  for (const RankState& state : ranks) sum += state.running;
  return sum;
}

std::size_t AdmissionController::Queue::waiting() const {
  std::size_t sum = 0;
  for (const RankState& state : ranks) sum += state.waiting;
  return sum;
}

// Finds or creates a queue and advances its time-dependent values to `now`.
AdmissionController::Queue* AdmissionController::UpdateQueue(const std::string& name,
                                                             MonotonicTime now) {
  const auto [it, created] = queues_.try_emplace(name);
  Queue* queue = &it->second;
  if (created) queue->updated = now;
  const double elapsed = std::max(0.0, ToSeconds(now - queue->updated));
  queue->updated = std::max(queue->updated, now);
  const double decay = std::exp(-elapsed / kConcurrencyTimeConstantS);
  for (Rank rank : kAllRanks) {
    RankState& state = queue->ranks[Index(rank)];
    const auto running = static_cast<double>(state.running);
    state.concurrency = running + (state.concurrency - running) * decay;
    const double floor_slots = floors_[Index(rank)] * static_cast<double>(queue->limit);
    state.deficit_s += (floor_slots - running) * elapsed;
    // Slot time used above the floor counts only up to one request, since other ranks may not have
    // needed it.
    const double service = state.service_s > 0 ? state.service_s : kInitialServiceS;
    // A rank whose queue is empty at times keeps a deficit of a few requests; otherwise it would
    // stay below its floor.
    const double most =
        state.waiting > 0 ? floor_slots * kMaxDeficitTimeS : kMaxIdleDeficitRequests * service;
    state.deficit_s = std::clamp(state.deficit_s, -service, std::max(most, service));
  }
  return queue;
}

void AdmissionController::UpdateEndpoints(const std::string& name,
                                          const std::vector<EndpointShare>& endpoints,
                                          MonotonicTime now) {
  Queue* queue = UpdateQueue(name, now);
  for (const EndpointShare& share : endpoints)
    queue->endpoints[share.endpoint] = {share.slots, now};
  std::erase_if(queue->endpoints, [&](const auto& item) {
    return now - item.second.reported_at > kEndpointLifetime;
  });
  double slots = 0;
  for (const auto& [endpoint, known] : queue->endpoints) slots += known.slots;
  queue->limit = std::max<std::size_t>(1, static_cast<std::size_t>(std::llround(slots)));
}

AdmissionTicket AdmissionController::Submit(const AdmissionRequest& request, MonotonicTime now,
                                            AdmissionDecisions* decisions) {
  DropIdleQueues(now);
  Queue* queue = UpdateQueue(request.queue, now);
  const AdmissionTicket id = ++last_ticket_;
  Ticket& ticket = tickets_[id];
  ticket.request = request;
  ticket.arrived_at = now;
  RankState& rank = queue->ranks[Index(request.rank)];
  CallerState& caller = rank.callers[request.caller];
  caller.weight = request.weight;
  if (caller.waiting.empty() && caller.running == 0) {
    caller.used_slot_s = std::max(caller.used_slot_s, rank.virtual_time);
  }
  caller.waiting.push_back(id);
  ++rank.waiting;
  ++waiting_;
  waiting_bytes_ += request.bytes;
  Dispatch(queue, now, decisions);
  if (!tickets_.contains(id) || tickets_.at(id).running) return id;
  if (const auto refusal = CheckDeadlines(ticket, now)) {
    Refuse(id, *refusal, decisions);
    return id;
  }
  EnforceBounds(id, decisions);
  return id;
}

MonotonicTime AdmissionController::Expiry(AdmissionTicket id) const {
  const auto it = tickets_.find(id);
  if (it == tickets_.end() || it->second.running) return MonotonicTime();
  const AdmissionRequest& request = it->second.request;
  const RankState& state = queues_.at(request.queue).ranks[Index(request.rank)];
  return std::min(it->second.arrived_at + request.first_token - ToDuration(state.first_token_s),
                  request.deadline - ToDuration(state.service_s));
}

void AdmissionController::Expire(AdmissionTicket id, MonotonicTime now,
                                 AdmissionDecisions* decisions) {
  const auto it = tickets_.find(id);
  if (it == tickets_.end() || it->second.running || now < Expiry(id)) return;
  const AdmissionRequest& request = it->second.request;
  const RankState& state = queues_.at(request.queue).ranks[Index(request.rank)];
  const bool late = now + ToDuration(state.service_s) >= request.deadline;
  Refuse(id, late ? AdmissionRefusal::kDeadline : AdmissionRefusal::kFirstToken, decisions);
}

void AdmissionController::RecordFirstToken(AdmissionTicket id, MonotonicTime now) {
  const auto it = tickets_.find(id);
  if (it == tickets_.end() || !it->second.running || it->second.first_token_seen) return;
  it->second.first_token_seen = true;
  const AdmissionRequest& request = it->second.request;
  AddSample(ToSeconds(now - it->second.started_at),
            &queues_.at(request.queue).ranks[Index(request.rank)].first_token_s);
}

void AdmissionController::End(AdmissionTicket id, MonotonicTime now,
                              AdmissionDecisions* decisions) {
  const auto it = tickets_.find(id);
  if (it == tickets_.end()) return;
  const std::string name = it->second.request.queue;
  Queue* queue = UpdateQueue(name, now);
  if (!it->second.running) {
    RemoveWaiting(id);
    return;
  }
  const Ticket& ticket = it->second;
  RankState& rank = queue->ranks[Index(ticket.request.rank)];
  const double service = std::max(0.0, ToSeconds(now - ticket.started_at));
  AddSample(service, &rank.service_s);
  CallerState& caller = rank.callers[ticket.request.caller];
  caller.used_slot_s += (service - ticket.charged_s) / caller.weight;
  assert(rank.running > 0 && caller.running > 0);
  --rank.running;
  --caller.running;
  tickets_.erase(it);
  Dispatch(queue, now, decisions);
  // An idle caller at or below the virtual time would restart at it anyway, so its state is
  // dropped.
  std::erase_if(rank.callers, [&](const auto& item) {
    const CallerState& state = item.second;
    return state.waiting.empty() && state.running == 0 && state.used_slot_s <= rank.virtual_time;
  });
}

void AdmissionController::Dispatch(Queue* queue, MonotonicTime now, AdmissionDecisions* decisions) {
  while (queue->running() < queue->limit) {
    const std::optional<Rank> rank = NextRank(*queue);
    if (!rank) return;
    StartNext(queue, *rank, now, decisions);
  }
}

// The rank that gets the next free slot: the one furthest behind its floor, then the most urgent
// one. std::nullopt if nothing waits or the free slots are reserved for urgent requests.
std::optional<Rank> AdmissionController::NextRank(const Queue& queue) const {
  std::optional<Rank> furthest;
  for (Rank rank : kAllRanks) {
    const RankState& state = queue.ranks[Index(rank)];
    if (rank == Rank::kUrgent || state.waiting == 0 || state.deficit_s <= 0) continue;
    if (!furthest || state.deficit_s > queue.ranks[Index(*furthest)].deficit_s) furthest = rank;
  }
  if (furthest) return furthest;
  if (queue.ranks[Index(Rank::kUrgent)].waiting > 0) return Rank::kUrgent;
  if (queue.running() + UrgentHeadroom(queue) >= queue.limit) return std::nullopt;
  for (Rank rank : kAllRanks) {
    if (queue.ranks[Index(rank)].waiting > 0) return rank;
  }
  return std::nullopt;
}

// Slots kept free for urgent requests, since running requests are not preempted: the recent urgent
// concurrency plus one standard deviation of a Poisson distribution, less the urgent requests that
// run.
std::size_t AdmissionController::UrgentHeadroom(const Queue& queue) const {
  const RankState& urgent = queue.ranks[Index(Rank::kUrgent)];
  if (urgent.concurrency < kMinUrgentConcurrency) return 0;
  double floors = 0;
  for (double floor : floors_) floors += floor;
  const double wanted = std::ceil(urgent.concurrency + std::sqrt(urgent.concurrency));
  // One slot is left to the other ranks; otherwise they would wait even if nothing runs.
  const auto limit = static_cast<double>(queue.limit);
  const double most = std::min(std::floor((1 - floors) * limit), limit - 1);
  const auto slots = static_cast<std::size_t>(std::max(0.0, std::min(wanted, most)));
  return slots > urgent.running ? slots - urgent.running : 0;
}

// Starts the oldest request of the waiting caller with the least weighted slot time.
void AdmissionController::StartNext(Queue* queue, Rank rank, MonotonicTime now,
                                    AdmissionDecisions* decisions) {
  RankState& state = queue->ranks[Index(rank)];
  CallerState* next = nullptr;
  for (auto& [name, caller] : state.callers) {
    if (caller.waiting.empty()) continue;
    if (next == nullptr || caller.used_slot_s < next->used_slot_s) next = &caller;
  }
  assert(next != nullptr);
  const AdmissionTicket id = next->waiting.front();
  next->waiting.pop_front();
  Ticket& ticket = tickets_.at(id);
  ticket.running = true;
  ticket.started_at = now;
  ticket.charged_s = state.service_s > 0 ? state.service_s : kInitialServiceS;
  state.virtual_time = std::max(state.virtual_time, next->used_slot_s);
  next->used_slot_s += ticket.charged_s / next->weight;
  ++next->running;
  --state.waiting;
  ++state.running;
  --waiting_;
  waiting_bytes_ -= ticket.request.bytes;
  decisions->push_back({id, std::nullopt});
}

void AdmissionController::Refuse(AdmissionTicket id, AdmissionRefusal reason,
                                 AdmissionDecisions* decisions) {
  RemoveWaiting(id);
  decisions->push_back({id, reason});
}

void AdmissionController::RemoveWaiting(AdmissionTicket id) {
  const auto it = tickets_.find(id);
  assert(it != tickets_.end() && !it->second.running);
  const AdmissionRequest& request = it->second.request;
  RankState& rank = queues_.at(request.queue).ranks[Index(request.rank)];
  CallerState& caller = rank.callers.at(request.caller);
  std::erase(caller.waiting, id);
  const bool idle = caller.waiting.empty() && caller.running == 0;
  if (idle && caller.used_slot_s <= rank.virtual_time) rank.callers.erase(request.caller);
  --rank.waiting;
  --waiting_;
  waiting_bytes_ -= request.bytes;
  tickets_.erase(it);
}

// Enforces the limits on waiting requests. The least urgent requests are rejected first, and within
// a rank the newest request of the caller with the longest backlog relative to its weight.
void AdmissionController::EnforceBounds(AdmissionTicket arrival, AdmissionDecisions* decisions) {
  const AdmissionRequest& request = tickets_.at(arrival).request;
  const RankState& rank = queues_.at(request.queue).ranks[Index(request.rank)];
  if (rank.waiting > limits_.waiting_per_rank) {
    Refuse(*NewestOfLongestBacklog(rank), AdmissionRefusal::kQueueFull, decisions);
  }
  while (waiting_ > limits_.waiting || waiting_bytes_ > limits_.waiting_bytes) {
    Refuse(*LeastUrgentWaiting(), AdmissionRefusal::kQueueFull, decisions);
  }
}

std::optional<AdmissionTicket> AdmissionController::NewestOfLongestBacklog(
    const RankState& state) const {
  const CallerState* longest = nullptr;
  const auto backlog = [](const CallerState& caller) {
    return static_cast<double>(caller.waiting.size()) / caller.weight;
  };
  for (const auto& [name, caller] : state.callers) {
    if (caller.waiting.empty()) continue;
    if (longest == nullptr || backlog(caller) > backlog(*longest)) longest = &caller;
  }
  if (longest == nullptr) return std::nullopt;
  return longest->waiting.back();
}

std::optional<AdmissionTicket> AdmissionController::LeastUrgentWaiting() const {
  for (auto rank = kAllRanks.rbegin(); rank != kAllRanks.rend(); ++rank) {
    const RankState* largest = nullptr;
    for (const auto& [name, queue] : queues_) {
      const RankState& state = queue.ranks[Index(*rank)];
      if (state.waiting == 0) continue;
      if (largest == nullptr || state.waiting > largest->waiting) largest = &state;
    }
    if (largest != nullptr) return NewestOfLongestBacklog(*largest);
  }
  return std::nullopt;
}

// Expected time until a request of the caller would start if it joined the queue now.
double AdmissionController::EstimateWaitSeconds(const Queue& queue, Rank rank,
                                                const std::string& caller, double weight) const {
  const RankState& state = queue.ranks[Index(rank)];
  const auto limit = static_cast<double>(queue.limit);
  double weights = 0;
  double own_backlog = 1;
  for (const auto& [name, other] : state.callers) {
    if (other.waiting.empty() && name != caller) continue;
    weights += name == caller ? weight : other.weight;
    if (name == caller)
      own_backlog = static_cast<double>(std::max<std::size_t>(1, other.waiting.size()));
  }
  // Fair queuing lets a caller with a short backlog overtake callers with a long one.
  const double position = std::min(static_cast<double>(std::max<std::size_t>(1, state.waiting)),
                                   own_backlog * std::max(1.0, weights / weight));
  double left = limit;
  double more_urgent_s = 0;
  for (Rank other : kAllRanks) {
    const RankState& competing = queue.ranks[Index(other)];
    if (other < rank) {
      left -= competing.concurrency;
      more_urgent_s += static_cast<double>(competing.waiting) * competing.service_s / limit;
    } else if (other > rank && competing.waiting > 0) {
      left -= floors_[Index(other)] * limit;
    }
  }
  constexpr double kMinSlots = 1e-3;
  const double shared_s = position * state.service_s / std::max(left, kMinSlots) + more_urgent_s;
  const double floor_slots = floors_[Index(rank)] * limit;
  if (floor_slots <= 0) return shared_s;
  return std::min(shared_s, position * state.service_s / floor_slots);
}

// Whether a waiting request is expected to miss its deadline or first-token target.
std::optional<AdmissionRefusal> AdmissionController::CheckDeadlines(const Ticket& ticket,
                                                                    MonotonicTime now) const {
  const AdmissionRequest& request = ticket.request;
  const Queue& queue = queues_.at(request.queue);
  const RankState& state = queue.ranks[Index(request.rank)];
  const double wait = EstimateWaitSeconds(queue, request.rank, request.caller, request.weight);
  if (now + ToDuration(wait + state.service_s) > request.deadline) {
    return AdmissionRefusal::kDeadline;
  }
  if (ToDuration(wait + state.first_token_s) > request.first_token) {
    return AdmissionRefusal::kFirstToken;
  }
  return std::nullopt;
}

std::chrono::steady_clock::duration AdmissionController::EstimatedWait(const std::string& name,
                                                                       Rank rank) const {
  const auto it = queues_.find(name);
  if (it == queues_.end() || it->second.running() < it->second.limit) return {};
  return ToDuration(EstimateWaitSeconds(it->second, rank, "", 1));
}

std::chrono::steady_clock::duration AdmissionController::FirstTokenTime(const std::string& name,
                                                                        Rank rank) const {
  const auto it = queues_.find(name);
  if (it == queues_.end()) return {};
  return ToDuration(it->second.ranks[Index(rank)].first_token_s);
}

std::size_t AdmissionController::Limit(const std::string& name) const {
  const auto it = queues_.find(name);
  return it == queues_.end() ? 1 : it->second.limit;
}

// Removes idle queues once there are more than kMaxIdleQueues.
void AdmissionController::DropIdleQueues(MonotonicTime now) {
  if (queues_.size() <= kMaxIdleQueues) return;
  std::erase_if(queues_, [&](const auto& item) {
    const Queue& queue = item.second;
    const bool idle = queue.running() == 0 && queue.waiting() == 0;
    return idle && now - queue.updated > kEndpointLifetime;
  });
}

}  // namespace mimosabend
