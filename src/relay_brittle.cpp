#include <algorithm>
#include <limits>

#include "directory_log.h"
#include "log.h"
#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"
#include "scope_exit.h"

namespace mimosabend {

namespace {

// A brittle endpoint that has rejected a request gets none from this daemon for this long, since
// rejections are counted by the second.
constexpr milliseconds kRejectionBackoff{1000};
// A request waits for room for this part of its route's target latency, and of the time that it
// has left, at most.
constexpr int kTargetPerWait = 4;
constexpr int kTimeLeftPerWait = 3;
// Covers a request of a share from the leader in another region.
constexpr milliseconds kMinRoomWait{100};
// Time after which room is asked for at another endpoint.
constexpr milliseconds kRoomPollInterval{50};
// From the start of the process.
constexpr milliseconds kNoticeWait{200};
// Requests that may wait for each request that this daemon may have at the endpoints.
constexpr std::size_t kWaitersPerShare = 2;
constexpr std::size_t kMinWaiters = 4;

}  // namespace

bool RelayHandler::IsBrittle(const FleetEndpoint& endpoint, MonotonicTime now) const {
  if (deps_.brittle == nullptr || deps_.brittle->empty()) return false;
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  return deps_.brittle->RejectLimit(endpoint.service, number, now).has_value();
}

// How many further requests this daemon may send to a brittle endpoint.
std::uint32_t RelayHandler::RoomAt(const FleetEndpoint& endpoint, MonotonicTime now) const {
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  return deps_.brittle->Room(number, deps_.stats->OwnRequests(endpoint.id), now);
}

// Whether an endpoint isn't brittle or this daemon has room there.
bool RelayHandler::HasRoom(const FleetEndpoint& endpoint, MonotonicTime now) const {
  return !IsBrittle(endpoint, now) || RoomAt(endpoint, now) > 0;
}

// Adds the brittle endpoints of the request's service where this daemon has no room.
void RelayHandler::AvoidFullEndpoints(const Context& context, MonotonicTime now,
                                      std::set<std::string>* avoided) const {
  if (deps_.brittle == nullptr || deps_.brittle->empty()) return;
  for (const DirectoryEntry* entry : deps_.directory->OfService(context.service_name, now)) {
    if (!HasRoom(entry->endpoint, now)) avoided->insert(entry->endpoint.id);
  }
}

// Whether endpoints that could serve the request are avoided only because this daemon has no room
// there. Asks for room at one of them.
bool RelayHandler::LacksRoom(const Context& context, MonotonicTime now) {
  if (deps_.brittle == nullptr || deps_.brittle->empty()) return false;
  std::vector<std::uint32_t> full;
  for (const DirectoryEntry* entry : deps_.directory->OfService(context.service_name, now)) {
    const FleetEndpoint& endpoint = entry->endpoint;
    if (context.service->engine && !entry->Holds(context.params.model)) continue;
    if (context.excluded.contains(endpoint.id) || HasRoom(endpoint, now)) continue;
    full.push_back(EndpointNumber(endpoint.id, endpoint.started_ms));
  }
  if (full.empty()) return false;
  deps_.brittle->RecordMiss(full[random_() % full.size()], now);
  deps_.usage->shares_wanted().NotifyAll();
  return true;
}

// How many requests this daemon may send to the brittle endpoints that could serve the request.
std::uint32_t RelayHandler::UsableRoom(const Context& context, MonotonicTime now) const {
  const std::set<std::string> unusable = AvoidedEndpoints(context, now);
  std::uint32_t room = 0;
  for (const DirectoryEntry* entry : deps_.directory->OfService(context.service_name, now)) {
    const FleetEndpoint& endpoint = entry->endpoint;
    if (context.service->engine && !entry->Holds(context.params.model)) continue;
    const bool avoided =
        unusable.contains(endpoint.id) || deps_.stats->BackoffUntil(endpoint.id, now).has_value();
    if (avoided) continue;
    if (!IsBrittle(endpoint, now)) return std::numeric_limits<std::uint32_t>::max();
    room += RoomAt(endpoint, now);
  }
  return room;
}

// Waits for room at the brittle endpoints that could serve a request. Returns false if there is
// none in time, or if too many requests wait that are as urgent.
Task<bool> RelayHandler::WaitForRoom(ContextPtr context) {
  const MonotonicTime start = MonotonicNow();
  if (!context->room_wait_until) {
    const auto limit = std::max(kMinRoomWait, context->route->target_latency / kTargetPerWait);
    const auto time_left = ToMillis(WaitDeadline(*context) - start) / kTimeLeftPerWait;
    // A stream that has begun would break off.
    context->room_wait_until =
        context->runs > 0 ? WaitDeadline(*context) : start + std::min(limit, time_left);
  }
  std::size_t held = 0;
  for (const DirectoryEntry* entry : deps_.directory->OfService(context->service_name, start)) {
    held += RoomAt(entry->endpoint, start) + deps_.stats->OwnRequests(entry->endpoint.id);
  }
  ShareQueue& queue = share_queues_[{context->service_name, context->params.model}];
  const auto ticket =
      queue.Join(context->priority(), std::max(kMinWaiters, kWaitersPerShare * held));
  bool found = false;
  if (ticket) {
    deps_.metrics->brittle_waits_total->Increment();
    const ScopeExit leave(alive_, [&queue, &ticket] { queue.Leave(*ticket); });
    context->step = RelayStep::kPermit;
    MonotonicTime asked_at = start;
    while (!context->caller_gone) {
      const MonotonicTime now = MonotonicNow();
      const auto rank = queue.Rank(*ticket);
      found = rank && *rank < UsableRoom(*context, now);
      if (found || !rank || now >= *context->room_wait_until) break;
      // The endpoint where room was asked for may have none.
      if (now >= asked_at + kRoomPollInterval) {
        LacksRoom(*context, now);
        asked_at = now;
      }
      co_await deps_.usage->endpoints_changed().WaitUntil(
          std::min(*context->room_wait_until, asked_at + kRoomPollInterval));
    }
    context->step = RelayStep::kChoice;
    context->waited += ToMillis(MonotonicNow() - start);
  }
  if (!found) {
    context->reason = "brittle endpoints have no room";
    deps_.metrics->brittle_refusals_total->Increment();
  }
  co_return found;
}

// A process that has just been started doesn't know which endpoints are brittle, and would send its
// first requests beyond what these take. Waits until another daemon has told, for a short time.
Task<void> RelayHandler::WaitForNotices(ContextPtr context) {
  if (deps_.brittle == nullptr) co_return;
  const MonotonicTime until = started_ + kNoticeWait;
  while (!deps_.brittle->informed() && !context->caller_gone && MonotonicNow() < until) {
    co_await deps_.usage->endpoints_changed().WaitUntil(until);
  }
}

// Records what the response to the current attempt states on how many rejections its endpoint
// withstands, and whether it is a rejection. Precondition: the response belongs to the request.
void RelayHandler::RecordBrittleness(const Context& context, const FleetEndpoint& endpoint,
                                     ResponseKind kind, const HttpHeaders& headers) {
  if (deps_.brittle == nullptr) return;
  const auto limit = platform::RejectLimit(headers);
  const MonotonicTime now = MonotonicNow();
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  const bool changed =
      deps_.brittle->RecordResponse(endpoint.service, number, limit, context.sent_at, now);
  if (changed) {
    LOG4CPLUS_INFO(Log(), "endpoint " << endpoint.id << " is brittle, rejections_per_second="
                                      << limit.value_or(LimitNotice::kNoLimit)
                                      << " source=response id=" << context.params.id);
  }
  if (kind != ResponseKind::kNotRun || !IsBrittle(endpoint, now)) return;
  deps_.metrics->brittle_rejections_total->Increment();
  deps_.brittle->RecordRejection(number);
  deps_.stats->SetBackoff(endpoint.id, now + kRejectionBackoff);
  deps_.usage->shares_wanted().NotifyAll();
}

// Records an attempt that is about to be sent. Precondition: its work has been counted.
void RelayHandler::RecordStartAt(const FleetEndpoint& endpoint) {
  const MonotonicTime now = MonotonicNow();
  if (!IsBrittle(endpoint, now)) return;
  deps_.brittle->RecordStart(EndpointNumber(endpoint.id, endpoint.started_ms),
                             deps_.stats->OwnRequests(endpoint.id), now);
}

// Lets other requests take the room of an attempt that has ended.
void RelayHandler::RecordEndAt(const FleetEndpoint& endpoint) {
  if (IsBrittle(endpoint, MonotonicNow())) deps_.usage->endpoints_changed().NotifyAll();
}

}  // namespace mimosabend
