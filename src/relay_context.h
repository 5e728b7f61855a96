#ifndef MIMOSABEND_RELAY_CONTEXT_H_
#define MIMOSABEND_RELAY_CONTEXT_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "caller_queue.h"
#include "endpoint_selector.h"
#include "event_pauses.h"
#include "fleet_config.h"
#include "hedge_budget.h"
#include "http_client.h"
#include "http_server.h"
#include "name_table.h"
#include "relay_metrics.h"
#include "relay_request.h"
#include "stall_watch.h"
#include "suspect_trials.h"

namespace mimosabend {

// Longest sleep of a waiting request before it rechecks the fleet state.
inline constexpr milliseconds kStatePollInterval{100};

// What a request is waiting for. Logged for requests that are unfinished at shutdown.
enum class RelayStep : std::uint8_t {
  kChoice,
  kModel,
  kAdapter,
  kPermit,
  kEndpoint,
  kEvents,
  kCaller
};

inline constexpr NameTable<RelayStep, 7> kRelayStepNames{
    {"choice", "model", "adapter", "permit", "endpoint", "events", "caller"}};

// One attempt of a plain request. While hedging, a request has two.
struct PlainAttempt {
  EndpointChoice choice;
  bool is_hedge = false;
  // Whether its response is passed on.
  bool won = false;
  MonotonicTime sent_at;
  MonotonicTime deadline;
  // As in RelayContext.
  MonotonicTime permit_until = MonotonicTime::max();
  std::shared_ptr<HttpCanceller> canceller;
  // What a hedge is charged.
  HedgeBudget::Reservation reservation;
  // Unset while the attempt is open.
  std::optional<Result<HttpReply, HttpError>> reply;
};

// State of one relayed request. Internal to RelayHandler's source files. Not thread-safe.
struct RelayContext {
  HttpExchange* exchange = nullptr;
  RelayRequest params;
  // See RequestFingerprint.
  std::uint64_t fingerprint = 0;
  // Ids of the shared parts of the prompt.
  std::vector<std::uint64_t> parts;
  // Owns `route`, `customer` and `service`.
  std::shared_ptr<const FleetConfig> config;
  const Route* route = nullptr;
  // nullptr if the request needs no API key.
  const Customer* customer = nullptr;
  // Quota units charged for the request, and the priority level at which they are.
  double quota_cost = 0;
  std::uint8_t quota_level = 0;
  const RoutedService* service = nullptr;
  std::string service_name;
  MonotonicTime arrival;
  MonotonicTime deadline;
  // The caller disconnects soon after this time if it has not received the first event of its
  // stream.
  MonotonicTime first_event_deadline = MonotonicTime::max();
  // Expected time at which the resource that the request waited for becomes available, if known.
  std::optional<MonotonicTime> ready_at;
  // Since when the request has been waiting for its model, if it waits.
  MonotonicTime waiting_since;
  bool caller_gone = false;
  // When the current attempt was sent.
  MonotonicTime sent_at;
  // Whether and when the first event of the current attempt has arrived.
  bool response_started = false;
  MonotonicTime response_started_at;
  // Reserves the endpoint for the current attempt of a suspect request until its response starts.
  std::optional<SuspectTrials::Trial> trial;
  // Cancels the current attempt.
  std::shared_ptr<HttpCanceller> canceller;
  // Attempts of a plain request that have not been accounted for, in the order of sending. The
  // members that describe the current attempt are those of the one that was sent or ended last.
  std::vector<std::shared_ptr<PlainAttempt>> plain_attempts;
  // Watches the current attempt of a stream for stalls.
  std::unique_ptr<StallWatch> stall_watch;
  // Addresses that earlier attempts were sent to.
  std::set<Address> attempted;
  // When the permit for the current attempt expires; max() if the endpoint needs none.
  MonotonicTime permit_until = MonotonicTime::max();
  // Until when the request may wait for room at brittle endpoints, once it has begun to.
  std::optional<MonotonicTime> room_wait_until;
  // Permits that were denied.
  std::uint32_t denied_permits = 0;
  // Whether the current attempt may use a kept-alive connection.
  bool may_reuse_connection = true;
  // Endpoints that are not used again for this request.
  std::set<std::string> excluded;
  // Endpoints that did not run the request, with the end of their backoff.
  std::map<std::string, MonotonicTime> backoff_until;
  // Attempts in which an endpoint may have run the request.
  std::uint32_t runs = 0;
  // The engine of an earlier attempt may still work on the request, so it goes on nowhere else.
  bool may_still_run = false;
  // Those of `runs` whose endpoint process has terminated since. They don't count against the
  // route's attempt limit.
  std::uint32_t terminated_runs = 0;
  // All attempts, including those that no endpoint ran.
  std::uint32_t attempts = 0;
  // Those of which the endpoint received no part.
  std::uint32_t unsent_attempts = 0;
  // The gateway that has passed the request on to this one; empty if it came from the caller.
  std::string forwarded_by;
  // The gateway that this one has passed the request on to; empty for none.
  std::string helper;
  // An endpoint's error response, returned to the caller if no retry succeeds.
  std::optional<HttpReply> error_response;
  // Hashes of the prompt's prefixes, for cache-aware endpoint selection.
  std::vector<std::uint64_t> prefix_hashes;

  // Events that the caller has not taken. Null unless there is a memory limit and an event.
  std::shared_ptr<CallerQueue> queue;
  // Size of the response that was sent whole.
  std::uint64_t response_bytes = 0;

  // Progress of the stream to the caller.
  bool stream_open = false;
  std::uint64_t last_event_id = 0;
  // The last attempt ended between two events together with its endpoint, so the stream may be
  // whole and a further attempt may have nothing to add.
  bool may_be_whole = false;
  // The software version that began the stream, once it is known. It goes on nowhere else.
  std::optional<std::string> stream_version;
  std::uint64_t events = 0;
  EventPauses pauses;

  RelayStep step = RelayStep::kChoice;

  // For the log line that ends the request.
  RelayOutcome outcome = RelayOutcome::kRefused;
  int status = 0;
  std::string reason;
  std::string endpoint;
  // The endpoints of the first attempt and of the hedge, if one was sent.
  std::string hedged_endpoints;
  double expected_ms = 0;
  milliseconds waited{0};
  std::optional<MonotonicTime> first_byte;

  // Endpoints that must not be chosen at `now`: excluded ones and those in backoff.
  std::set<std::string> AvoidedEndpoints(MonotonicTime now) const {
    std::set<std::string> avoided = excluded;
    for (const auto& [id, until] : backoff_until) {
      if (now < until) avoided.insert(id);
    }
    return avoided;
  }

  // Cancels all open attempts.
  void CancelAttempts() const {
    if (canceller != nullptr) canceller->Cancel();
    for (const auto& attempt : plain_attempts) attempt->canceller->Cancel();
  }

  // Remaining attempts under the route's limit.
  std::uint32_t AttemptsLeft() const {
    const std::uint32_t counted = runs - std::min(runs, terminated_runs);
    return route->max_attempts - std::min(route->max_attempts, counted);
  }

  // 0 is the most urgent. The customer's priority overrides the route's.
  std::uint32_t priority() const {
    return customer == nullptr ? route->priority : customer->priority.value_or(route->priority);
  }

  // Whether another gateway has passed the request on. It is not passed on again.
  bool is_forwarded() const { return !forwarded_by.empty(); }

  // Empty if the request needs no API key.
  std::string customer_name() const { return customer == nullptr ? "" : customer->name; }

  const HttpRequest& request() const { return exchange->request(); }
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RELAY_CONTEXT_H_
