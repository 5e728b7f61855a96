#include "relay_handler.h"

#include <algorithm>
#include <cmath>

#include "digest.h"
#include "log.h"
#include "platform/request_headers.h"
#include "relay_context.h"
#include "request_fingerprint.h"
#include "scope_exit.h"
#include "supervisor.h"

namespace mimosabend {

namespace {

// Time to open a connection to an endpoint.
constexpr milliseconds kConnectTimeout{300};
// A connection that was idle for longer is not used for a request that must not be retried, because
// the endpoint may close it while the request is in flight.
constexpr milliseconds kNoRetryMaxIdle{2000};
constexpr milliseconds kDefaultRouteTimeout{60000};
// Retry-After of a refusal is at least kMinRetryAfter plus jitter. If it is known when the request
// can be served, it is that time, at most kMaxReadyDelay, plus a smaller jitter.
constexpr milliseconds kMinRetryAfter{150};
constexpr milliseconds kRetryAfterJitter{1350};
constexpr milliseconds kReadyJitter{300};
constexpr milliseconds kMaxReadyDelay{10000};
constexpr milliseconds kMinConfigWait{2000};
constexpr milliseconds kMaxConfigWait{5000};

}  // namespace

void RelayHandler::SetRetryLimits(const RetryLimits& limits) {
  retry_limits_ = limits;
  for (auto& [service, budget] : budgets_) budget.set_limits(limits);
}

RetryBudget& RelayHandler::RetryBudgetFor(const std::string& service) {
  return budgets_.try_emplace(service, retry_limits_).first->second;
}

void RelayHandler::FailUnanswered() {
  for (Context* context : active_) {
    if (!context->stream_open) context->CancelAttempts();
  }
  deps_.usage->endpoints_changed().NotifyAll();
}

void RelayHandler::LogUnfinished() {
  for (Context* context : active_) {
    context->outcome = RelayOutcome::kBrokenOff;
    context->reason = "process shutdown";
    LOG4CPLUS_WARN(Log(), "request unfinished at shutdown id="
                              << context->params.id << " step=" << kRelayStepNames[context->step]
                              << " caller_gone=" << context->caller_gone);
    LogEnd(*context);
  }
}

// Estimates when a process without a configuration will have one. Clients reach such a process only
// if all daemons started at about the same time while the store was unavailable. The longer the
// store has been unavailable, the longer the outage is likely to last.
MonotonicTime RelayHandler::ExpectedConfigTime(MonotonicTime now) const {
  return now + std::min(kMinConfigWait + ToMillis(now - started_), kMaxConfigWait);
}

// Picks one of the services that share a route by their weights. Hashing the request id makes the
// choice stateless.
std::string RelayHandler::PickService(const Route& route, const std::string& request_id) const {
  double sum = 0;
  for (const RouteTarget& target : route.targets) sum += target.weight;
  constexpr double kScale = 1 << 20;
  double point = static_cast<double>(Hash64(request_id) % (1 << 20)) / kScale * sum;
  for (const RouteTarget& target : route.targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return route.targets.back().service;
}

Task<void> RelayHandler::Handle(HttpExchange& exchange) { co_await HandleFrom(exchange, ""); }

Task<void> RelayHandler::HandleFrom(HttpExchange& exchange, std::string forwarded_by) {
  deps_.metrics->requests_total->Increment();
  auto context = std::make_shared<Context>();
  context->exchange = &exchange;
  context->forwarded_by = std::move(forwarded_by);
  context->params = platform::ReadRelayRequest(exchange.request());
  context->arrival = exchange.request().arrival;
  context->config = deps_.directory->config();
  ++in_flight_;
  const std::weak_ptr<Context> weak = context;
  exchange.WatchCaller([this, weak] {
    const ContextPtr watched = weak.lock();
    if (watched == nullptr) return;
    watched->caller_gone = true;
    watched->CancelAttempts();
    deps_.usage->endpoints_changed().NotifyAll();
  });
  active_.insert(context.get());
  bool completed = false;
  const ScopeExit end(alive_, [this, &context, &completed] {
    if (!completed) context->outcome = RelayOutcome::kInternalError;
    EndRequest(context.get());
  });
  std::exception_ptr thrown;
  try {
    co_await Serve(context);
  } catch (...) {
    thrown = std::current_exception();
  }
  // Events that are being written refer to the exchange.
  co_await DrainCaller(context);
  if (thrown) std::rethrow_exception(thrown);
  completed = true;
}

// Releases what the request holds, and counts and logs its outcome.
void RelayHandler::EndRequest(Context* context) {
  if (context->quota_cost > 0 && context->runs == 0) {
    deps_.quota->Refund(*context->customer, context->quota_level, context->quota_cost);
  }
  if (deps_.memory != nullptr && context->outcome == RelayOutcome::kAnswered) {
    deps_.memory->RecordResponse(context->response_bytes);
  }
  active_.erase(context);
  context->exchange->StopWatchingCaller();
  --in_flight_;
  const RouteKind kind = context->route == nullptr ? RouteKind::kIdempotent : context->route->kind;
  deps_.metrics->CountOutcome(context->outcome, kind);
  if (const auto pause = context->pauses.longest()) {
    deps_.metrics->ObserveLongestPause(*context->route, *pause);
  }
  LogEnd(*context);
}

Task<void> RelayHandler::Serve(ContextPtr context) {
  if (context->config == nullptr) {
    context->ready_at = ExpectedConfigTime(MonotonicNow());
    co_await Refuse(context, "no configuration received yet");
    co_return;
  }
  const HttpRequest& request = context->request();
  context->route = context->config->FindRoute(request.header("Host"), request.target);
  if (context->route == nullptr && deps_.placement.config_may_be_stale(MonotonicNow())) {
    co_await Refuse(context, "route not found in a stale configuration");
    co_return;
  }
  if (context->route == nullptr) {
    context->outcome = RelayOutcome::kUnknownRoute;
    context->reason = "route not found";
    HttpHeaders headers{{"Content-Type", "application/json"}};
    co_await SendResponse(context, 404, std::move(headers), R"({"error":"no route"})");
    co_return;
  }
  const bool authenticated = co_await Authenticate(context);
  if (!authenticated) co_return;
  const bool has_memory = co_await AdmitByMemory(context);
  if (!has_memory) co_return;
  const std::string customer = context->customer_name();
  context->fingerprint = RequestFingerprint(request, customer);
  context->parts = SharedPartIds(context->params.prompt);
  const Route& route = *context->route;
  milliseconds limit = route.timeout.count() > 0 ? route.timeout : kDefaultRouteTimeout;
  if (context->params.time_limit) limit = std::min(limit, *context->params.time_limit);
  context->deadline = context->arrival + limit;
  context->service_name = PickService(route, StreamId(context->params));
  context->service = context->config->FindService(context->service_name);
  const bool forwarded = co_await ForwardIfPartitioned(context);
  if (!forwarded) co_await AdmitAndServe(context);
}

Task<void> RelayHandler::AdmitAndServe(ContextPtr context) {
  const Route& route = *context->route;
  const bool within_quota = co_await AdmitByQuota(context);
  if (!within_quota) co_return;
  RetryBudgetFor(context->service_name).RecordRequest(MonotonicNow());
  co_await WaitForNotices(context);
  if (context->service == nullptr) {
    co_await Refuse(context, "service of the route is not configured");
  } else if (context->arrival >= refuse_from_) {
    co_await Refuse(context, "daemon is shutting down");
  } else if (route.kind == RouteKind::kStreaming && context->service->engine) {
    co_await ServeStream(context);
  } else {
    co_await ServePlain(context);
  }
}

bool RelayHandler::HasTimeLeft(const Context& context, MonotonicTime now) const {
  return now + kMinAttemptTime < std::min(context.deadline, stop_deadline_);
}

// Latest time until which the request may wait. Before the first event of a stream, this includes
// the time after which the caller disconnects.
MonotonicTime RelayHandler::WaitDeadline(const Context& context) const {
  const MonotonicTime limit = std::min(context.deadline, stop_deadline_);
  return context.stream_open ? limit : std::min(limit, context.first_event_deadline);
}

bool RelayHandler::MayWait(const Context& context, MonotonicTime now) const {
  return now + kMinAttemptTime < WaitDeadline(context);
}

// Whether the route's retry policy and attempt limit allow a further attempt.
bool RelayHandler::RouteAllowsAttempt(const Context& context) {
  if (context.runs > 0 && !context.route->repeatable()) return false;
  if (context.may_still_run) return false;
  return context.AttemptsLeft() > 0;
}

// Whether the next attempt may start. Each attempt after the first is charged to the retry budget.
bool RelayHandler::ReserveAttempt(Context* context) {
  const MonotonicTime now = MonotonicNow();
  if (context->caller_gone || !HasTimeLeft(*context, now)) return false;
  if (context->attempts == 0) return true;
  if (!RouteAllowsAttempt(*context)) return false;
  const bool allowed =
      RetryBudgetFor(context->service_name).TryRetry(now, context->deadline, milliseconds(0));
  (allowed ? deps_.metrics->repeats_total : deps_.metrics->repeats_denied_total)->Increment();
  return allowed;
}

HttpCall RelayHandler::MakeCall(Context* context, const EndpointChoice& choice,
                                MonotonicTime deadline) const {
  const HttpRequest& request = context->request();
  const MonotonicTime now = MonotonicNow();
  context->canceller = std::make_shared<HttpCanceller>();
  HttpCall call;
  call.address = choice.endpoint.address;
  call.method = request.method;
  call.target = request.target;
  call.body = request.body;
  call.deadline = deadline;
  call.send_by = context->permit_until;
  call.connect_timeout = kConnectTimeout;
  call.reuse_connection = context->may_reuse_connection;
  if (!context->route->repeatable()) call.max_idle = kNoRetryMaxIdle;
  call.canceller = context->canceller;
  if (deps_.memory != nullptr) {
    call.memory = std::make_shared<MemoryHold>(
        deps_.memory->Open(MemoryKind::kResponses, context->customer_name()));
  }
  platform::ForwardOptions options;
  options.endpoint_id = choice.endpoint.id;
  options.time_left = std::max(milliseconds(1), ToMillis(deadline - now));
  if (context->service->engine) options.priority = std::min(9U, context->priority());
  if (context->customer != nullptr) options.customer = context->customer->name;
  options.last_event_id = context->last_event_id;
  call.headers = platform::ForwardedHeaders(request, options);
  RemoveForwardHeader(&call.headers);
  return call;
}

// Sends the response of an endpoint that ran the request to the caller. An error response is kept
// back if the request may be retried.
Task<RelayHandler::NextStep> RelayHandler::RelayResponse(ContextPtr context, HttpReply reply) {
  const bool may_retry = context->route->repeatable() && context->AttemptsLeft() > 0;
  if (reply.status >= 500 && may_retry) {
    context->error_response = std::move(reply);
    co_return NextStep::kRetry;
  }
  if (!context->route->repeatable() && platform::PromisesNotRun(reply.status)) {
    context->reason = "endpoint ran the request, status " + std::to_string(reply.status);
    co_await FailAfterRun(context, 502);
    co_return NextStep::kDone;
  }
  context->outcome = reply.status < 500 ? RelayOutcome::kAnswered : RelayOutcome::kEndpointFailed;
  co_await SendResponse(context, reply.status, platform::ReturnedHeaders(reply.headers),
                        std::move(reply.body));
  co_return NextStep::kDone;
}

// Processes the response headers that concern the endpoint rather than the request.
void RelayHandler::ApplyEndpointHeaders(const EndpointChoice& choice, int status,
                                        const HttpHeaders& headers) {
  const std::string& id = choice.endpoint.id;
  if (const auto wait = platform::RetryAfter(status, headers)) {
    deps_.stats->SetBackoff(id, MonotonicNow() + *wait);
  }
  if (!platform::AnnouncesShutdown(headers)) return;
  if (deps_.directory->MarkLeaving(id, choice.endpoint.started_ms)) {
    LOG4CPLUS_INFO(Log(), "endpoint " << id << " announced its shutdown in a response header");
  }
}

// Handles an attempt that failed without a response.
Task<void> RelayHandler::HandleFailedAttempt(ContextPtr context, FleetEndpoint endpoint,
                                             HttpError error) {
  context->reason = std::string(kHttpErrorNames[error]);
  if (error == HttpError::kNotSent) ++context->unsent_attempts;
  if (error != HttpError::kNotSent) {
    ++context->runs;
    co_await HandleIncompleteResponse(context, std::move(endpoint), error);
    co_return;
  }
  deps_.client->CloseIdle(endpoint.address);
}

// Ends a request that is not attempted again: returns the endpoint's error response if there is
// one, else an error of this daemon.
Task<void> RelayHandler::FinishUnserved(ContextPtr context) {
  if (context->caller_gone) {
    context->outcome = RelayOutcome::kCallerGone;
    co_return;
  }
  if (context->stream_open) {
    // The caller sees from the missing end of the response that it is incomplete.
    context->outcome = RelayOutcome::kBrokenOff;
    co_return;
  }
  if (context->error_response) {
    context->outcome = RelayOutcome::kEndpointFailed;
    const HttpReply reply = std::move(*context->error_response);
    co_await SendResponse(context, reply.status, platform::ReturnedHeaders(reply.headers),
                          reply.body);
    co_return;
  }
  const MonotonicTime now = MonotonicNow();
  if (context->runs == 0) {
    const auto contained_until = ContainedUntil(*context, now);
    if (contained_until) {
      co_await RefuseContained(context, *contained_until);
      co_return;
    }
    const bool forwarded = co_await ForwardUnsent(context);
    if (!forwarded) co_await Refuse(context, context->reason);
    co_return;
  }
  co_await FailAfterRun(context, HasTimeLeft(*context, now) ? 502 : 504);
}

// Ends a request that may have run with an error that promises nothing.
Task<void> RelayHandler::FailAfterRun(ContextPtr context, int status) {
  context->outcome = status == 504 ? RelayOutcome::kTimedOut : RelayOutcome::kEndpointFailed;
  HttpHeaders headers{{"Content-Type", "application/json"}};
  co_await SendResponse(context, status, std::move(headers),
                        R"({"error":"the endpoint gave no whole answer"})");
}

// Refuses a request that no endpoint has run, with a Retry-After header.
Task<void> RelayHandler::Refuse(ContextPtr context, std::string reason) {
  context->outcome = RelayOutcome::kRefused;
  context->reason = std::move(reason);
  const milliseconds retry_after = RetryAfter(*context);
  co_await SendRefusal(context, 503, retry_after, R"({"error":"not run, try again later"})");
}

Task<void> RelayHandler::SendRefusal(ContextPtr context, int status, milliseconds retry_after,
                                     std::string body) {
  HttpHeaders headers{{"Content-Type", "application/json"},
                      {"Retry-After", std::to_string(ToSeconds(retry_after))}};
  if (IsUnfitHelper(*context, MonotonicNow())) headers.emplace_back(kForwardHeader, kNotRunMark);
  co_await SendResponse(context, status, std::move(headers), std::move(body));
}

// Time for the Retry-After header: until the resource that the request waited for becomes
// available, if that is known. Jitter keeps callers that were refused together from returning
// together.
milliseconds RelayHandler::RetryAfter(const Context& context) {
  const MonotonicTime now = MonotonicNow();
  milliseconds earliest = kMinRetryAfter;
  if (context.ready_at) earliest = std::max(earliest, ToMillis(*context.ready_at - now));
  earliest = std::min(earliest, kMaxReadyDelay);
  const milliseconds spread = context.ready_at ? kReadyJitter : kRetryAfterJitter;
  return earliest +
         milliseconds(std::uniform_int_distribution<std::int64_t>(0, spread.count())(random_));
}

Task<void> RelayHandler::SendResponse(ContextPtr context, int status, HttpHeaders headers,
                                      std::string body) {
  context->status = status;
  context->first_byte = MonotonicNow();
  if (context->route != nullptr) {
    deps_.metrics->ObserveFirstByte(context->route->kind, *context->first_byte - context->arrival);
  }
  if (FindHeader(headers, platform::RequestIdHeader("").first).empty()) {
    headers.push_back(platform::RequestIdHeader(context->params.id));
  }
  context->step = RelayStep::kCaller;
  context->response_bytes = body.size();
  const bool sent = co_await context->exchange->Reply(status, std::move(headers), std::move(body));
  if (!sent) context->outcome = RelayOutcome::kCallerGone;
}

// Logs the decisions about a request, the figures behind them and the outcome in one line.
void RelayHandler::LogEnd(const Context& context) const {
  const MonotonicTime now = MonotonicNow();
  const std::string hedge =
      context.hedged_endpoints.empty() ? "" : " hedge=" + context.hedged_endpoints;
  const std::string helper = context.helper.empty() ? "" : " passed_on_to=" + context.helper;
  const std::string sender =
      context.is_forwarded() ? " passed_on_by=" + context.forwarded_by : std::string();
  const auto first = context.first_byte ? ToMillis(*context.first_byte - context.arrival).count()
                                        : std::int64_t{-1};
  const auto longest_pause = context.pauses.longest();
  LOG4CPLUS_INFO(
      Log(),
      "request id=" << context.params.id << " content=" << Hex64(context.fingerprint)
                    << " parts=" << SharedPartsText(context.params.prompt) << " outcome="
                    << kRelayOutcomeNames[context.outcome] << " status=" << context.status
                    << " route=" << (context.route == nullptr ? "-" : context.route->name)
                    << " customer=" << (context.customer == nullptr ? "-" : context.customer->name)
                    << " quota_cost=" << std::lround(context.quota_cost)
                    << " config=" << (context.config == nullptr ? 0 : context.config->version)
                    << " model=" << context.params.model << "/" << context.params.adapter
                    << " endpoint=" << context.endpoint << hedge << helper << sender
                    << " tries=" << context.attempts << " runs=" << context.runs
                    << " denied_permits=" << context.denied_permits
                    << " expected_ms=" << std::lround(context.expected_ms) << " first_ms=" << first
                    << " total_ms=" << ToMillis(now - context.arrival).count()
                    << " waited_ms=" << context.waited.count() << " events=" << context.events
                    << " longest_pause_ms="
                    << (longest_pause ? ToMillis(*longest_pause).count() : std::int64_t{-1})
                    << " reason=\"" << context.reason << "\"");
}

}  // namespace mimosabend
