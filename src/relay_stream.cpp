#include <algorithm>
#include <boost/asio/this_coro.hpp>

#include "event_loop.h"
#include "first_event_timeout.h"
#include "log.h"
#include "notifier.h"
#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"
#include "scope_exit.h"
#include "stall_watch.h"
#include "supervisor.h"

namespace mimosabend {

namespace {

// An engine that did not run a request is not chosen for it again for this long.
constexpr milliseconds kNotRunBackoff{300};
// Pause before another engine is chosen after an adapter could not be placed.
constexpr milliseconds kAdapterRetryDelay{20};
// Another engine is tried if the first event takes longer than the expected time multiplied by this
// factor plus the margin, and longer than the route's target latency.
constexpr double kFirstEventLatencyFactor = 3;
constexpr milliseconds kFirstEventMargin{400};
// A stream counts as stalled after this many times the route's target gap between events.
constexpr int kStallGapFactor = 4;
constexpr milliseconds kMinStallTimeout{1000};
// Pause between questions for a run whose connection has closed.
constexpr milliseconds kRunPollInterval{150};
// Limit for one event.
constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// How long to wait for the first event before another engine is tried.
milliseconds FailoverTimeout(const Route& route, const EndpointChoice& choice) {
  const auto latency_limit =
      static_cast<std::int64_t>(choice.expected_ms * kFirstEventLatencyFactor);
  return std::max(route.target_latency, milliseconds(latency_limit) + kFirstEventMargin);
}

}  // namespace

struct RelayHandler::AdapterPlacement {
  explicit AdapterPlacement(boost::asio::any_io_executor executor) : done(std::move(executor)) {}

  Notifier done;
  // Unset until the leader has decided.
  std::optional<bool> placed;
};

// Whether an attempt at `endpoint` could be abandoned for one elsewhere: the route allows that the
// request runs again, the retry budget is not exhausted, and another engine holds the model. A slow
// engine is kept if there is no alternative.
bool RelayHandler::CanFailOver(const Context& context, const std::string& endpoint) {
  const MonotonicTime now = MonotonicNow();
  if (!context.route->repeatable() || !RetryBudgetFor(context.service_name).HasRetry(now))
    return false;
  std::set<std::string> avoided = AvoidedEndpoints(context, now);
  avoided.insert(endpoint);
  return deps_.selector->HasEngine(context.service_name, context.params.model, avoided, now);
}

// Chooses an engine for a stream, preferably one that is not reserved by a crash suspect.
std::optional<EndpointChoice> RelayHandler::ChooseEngine(const Context& context,
                                                         MonotonicTime now) {
  const std::uint64_t spread_key = MustRunIsolated(context, now) ? context.fingerprint : 0;
  const auto choose = [&](const std::set<std::string>& avoided) {
    return deps_.selector->ChooseEngine(context.service_name, *context.service->engine,
                                        context.params, context.prefix_hashes, avoided, now,
                                        spread_key);
  };
  auto choice = trials_.busy().empty() ? std::nullopt : choose(AvoidedWithTrials(context, now));
  return choice ? choice : choose(AvoidedEndpoints(context, now));
}

Task<void> RelayHandler::ServeStream(ContextPtr context) {
  const RelayRequest& params = context->params;
  context->prefix_hashes = PrefixHashes(params.model, params.adapter, params.prompt);
  context->last_event_id = params.last_event_id;
  context->first_event_deadline = context->arrival + FirstEventTimeout(*context->route);
  if (params.last_event_id > 0) {
    const bool found = co_await FindStreamVersion(context);
    if (!found) {
      co_await FinishUnserved(context);
      co_return;
    }
  }
  // A request that must not run again does not wait for another engine.
  while (!context->caller_gone && MayWait(*context, MonotonicNow()) &&
         RouteAllowsAttempt(*context)) {
    const MonotonicTime now = MonotonicNow();
    if (ContainedUntil(*context, now) || MustLeave(*context, now)) break;
    if (LacksVersion(context.get(), now)) break;
    if (const auto until = HeldUntil(*context, now)) {
      const bool waited = co_await WaitForEvidence(context, *until);
      if (!waited) break;
      continue;
    }
    auto choice = ChooseEngine(*context, now);
    if (!choice && IsBusyWithTrials(*context, now)) {
      co_await WaitForTrials(context);
      continue;
    }
    if (!choice && LacksRoom(*context, now)) {
      const bool found = co_await WaitForRoom(context);
      if (found) continue;
      break;
    }
    if (!choice) {
      const bool found = co_await WaitForModel(context);
      if (!found) break;
      continue;
    }
    if (RefuseByForecast(context.get(), *choice, now)) break;
    if (!choice->has_adapter) {
      const bool placed = co_await PlaceAdapter(context, &*choice);
      if (!placed) continue;
      // More evidence may have arrived while the adapter was placed.
      if (Classify(*context, MonotonicNow()) == CrashVerdict::kContained) continue;
    }
    const bool permitted = co_await AcquirePermit(context, choice->endpoint);
    if (!permitted || !HasRoom(choice->endpoint, MonotonicNow())) continue;
    if (!ReserveAttempt(context.get())) break;
    const NextStep next_step = co_await AttemptStream(context, *choice);
    if (next_step == NextStep::kDone) co_return;
  }
  if (context->reason.empty()) context->reason = "no engine available before the deadline";
  co_await FinishUnserved(context);
}

// Has the adapter loaded on the chosen engine. If that fails, the engine is in backoff for
// kNotRunBackoff.
Task<bool> RelayHandler::PlaceAdapter(ContextPtr context, EndpointChoice* choice) {
  const MonotonicTime start = MonotonicNow();
  deps_.metrics->adapter_waits_total->Increment();
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto placement = std::make_shared<AdapterPlacement>(executor);
  AdapterRequest request{choice->endpoint.id, context->params.model, context->params.adapter};
  SpawnDetached(executor, "adapter request", RequestAdapter(placement, std::move(request)));
  context->step = RelayStep::kAdapter;
  // The leader may not respond, and a shutdown may begin meanwhile, so this polls.
  while (!placement->placed && !context->caller_gone) {
    const MonotonicTime now = MonotonicNow();
    if (!MayWait(*context, now)) break;
    co_await placement->done.WaitUntil(std::min(WaitDeadline(*context), now + kStatePollInterval));
  }
  context->step = RelayStep::kChoice;
  const bool placed = placement->placed.value_or(false);
  context->waited += ToMillis(MonotonicNow() - start);
  if (!placed) {
    context->reason = "adapter could not be loaded";
    context->backoff_until[choice->endpoint.id] = MonotonicNow() + kNotRunBackoff;
    co_await Sleep(kAdapterRetryDelay);
  }
  co_return placed;
}

// May outlive the request, so it must not refer to its context.
Task<void> RelayHandler::RequestAdapter(std::shared_ptr<AdapterPlacement> placement,
                                        AdapterRequest request) {
  const bool placed = co_await deps_.placement.place_adapter(std::move(request));
  placement->placed = placed;
  placement->done.NotifyAll();
}

Task<RelayHandler::NextStep> RelayHandler::AttemptStream(ContextPtr context,
                                                         EndpointChoice choice) {
  const std::string id = choice.endpoint.id;
  const RelayRequest& params = context->params;
  const auto executor = co_await boost::asio::this_coro::executor;
  BeginAttempt(context.get(), choice);
  if (context->stream_open) deps_.metrics->stream_resumes_total->Increment();
  const EndpointWork work{
      1, choice.prefill_tokens,
      static_cast<std::uint64_t>(params.prompt_tokens) + params.max_output_tokens};
  deps_.stats->Start(id, work);
  RecordStartAt(choice.endpoint);
  deps_.usage->BeginRun(id, params.model, params.adapter);
  EndpointWork left = work;
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  const ScopeExit end(alive_, [&] {
    deps_.stats->End(id, left, outcome, MonotonicNow());
    RecordEndAt(choice.endpoint);
    deps_.usage->EndRun(id, params.model, params.adapter);
  });
  deps_.usage->RecordRequest(
      context->service_name, params.model, params.adapter, context->route->target_latency,
      deps_.stats->PrefillMillisPerToken(id, params.model) * choice.prefill_tokens);
  HttpCall call = MakeCall(context.get(), choice, context->deadline);
  // A stalled engine may not send the response header, or not even read the request.
  WatchForStalls(context, choice.endpoint, executor);
  if (context->AttemptsLeft() > 1 && CanFailOver(*context, id)) {
    context->stall_watch->RecordProgress(context->sent_at,
                                         FailoverTimeout(*context->route, choice));
  }
  context->step = RelayStep::kEndpoint;
  auto stream = co_await deps_.client->Open(std::move(call));
  context->stall_watch->Pause();
  NextStep next_step = NextStep::kRetry;
  const std::uint64_t events_before = context->events;
  if (!stream) {
    const bool stalled = context->stall_watch->expired() && stream.error() != HttpError::kNotSent;
    const HttpError error = stalled ? HttpError::kTimedOut : stream.error();
    co_await HandleFailedAttempt(context, choice.endpoint, error);
    context->excluded.insert(id);
    if (stream.error() == HttpError::kNotSent) {
      const bool permit_expired = MonotonicNow() >= context->permit_until;
      outcome = permit_expired ? AttemptOutcome::kNeutral : AttemptOutcome::kUnreachable;
    }
  } else {
    const int status = stream.value()->status();
    const HttpHeaders headers = stream.value()->headers();
    ApplyEndpointHeaders(choice, status, headers);
    const ResponseKind kind = platform::ClassifyResponse(status, headers, params.id);
    if (kind != ResponseKind::kWrongRequest) {
      RecordRateLimit(*context, choice.endpoint, headers);
      RecordBrittleness(*context, choice.endpoint, kind, headers);
    }
    const bool success = status >= 200 && status < 300;
    if (kind == ResponseKind::kMisdirected) {
      context->reason = "engine does not hold the model or adapter";
      const std::string held =
          params.adapter.empty() ? params.model : params.model + "/" + params.adapter;
      deps_.directory->RecordRefusal(id, held, MonotonicNow());
      outcome = AttemptOutcome::kNeutral;
    } else if (kind == ResponseKind::kNotRun) {
      context->reason = "engine did not run the request, status " + std::to_string(status);
      // It is full, or unloads or loads the model; the leader's update on that has not arrived yet.
      context->backoff_until[id] = MonotonicNow() + kNotRunBackoff;
      outcome = AttemptOutcome::kNotRun;
    } else if (kind == ResponseKind::kWrongRequest) {
      ++context->runs;
      context->excluded.insert(id);
      context->reason = "response does not belong to this request";
      // The response to this request may still follow on that connection.
      context->canceller->Cancel();
      co_await WaitForRunEnd(context, choice.endpoint);
    } else if (success) {
      ++context->runs;
      next_step = co_await RelayEvents(context, choice, std::move(stream).value());
      outcome = next_step == NextStep::kDone ? AttemptOutcome::kSucceeded : AttemptOutcome::kFailed;
      context->excluded.insert(id);
    } else {
      ++context->runs;
      context->excluded.insert(id);
      auto body = co_await stream.value()->ReadAll(context->deadline);
      if (body) RecordServed(context.get());
      if (!body) {
        context->reason = std::string(kHttpErrorNames[body.error()]);
        co_await HandleIncompleteResponse(context, choice.endpoint, body.error());
      }
      if (body && !context->stream_open) {
        HttpReply reply{status, headers, std::move(body).value(), stream.value()->memory()};
        next_step = co_await RelayResponse(context, std::move(reply));
      }
    }
  }
  context->trial.reset();
  if (context->caller_gone) outcome = AttemptOutcome::kNeutral;
  if (context->events > events_before) left.prefill_tokens = 0;
  co_return next_step;
}

// Watches the attempt that has been prepared. A closed connection does not end a run at every
// engine, so a stall is a reason to ask the engine and not to close the connection.
void RelayHandler::WatchForStalls(const ContextPtr& context, const FleetEndpoint& endpoint,
                                  boost::asio::any_io_executor executor) {
  const std::weak_ptr<Context> weak = context;
  context->stall_watch =
      std::make_unique<StallWatch>(executor, context->canceller, [this, weak, endpoint, executor] {
        if (const ContextPtr watched = weak.lock()) {
          SpawnDetached(executor, "run check", CheckStalledRun(watched, endpoint));
        }
        return false;
      });
}

// Asks an engine whose response has stalled for the run, and gives the attempt up unless the engine
// still works on it. May outlive the attempt.
Task<void> RelayHandler::CheckStalledRun(ContextPtr context, FleetEndpoint endpoint) {
  const auto canceller = context->canceller;
  // During a shutdown, a silent run is kept: another engine may be full, and a run that was given
  // up cannot be taken up again.
  const auto is_kept = [&] { return IsShuttingDown() && context->step != RelayStep::kEndpoint; };
  if (is_kept()) co_return;
  const RunAnswer answer =
      co_await run_checker_.Ask(endpoint.address, context->params.id, context->deadline);
  deps_.metrics->CountRunCheck(answer.state);
  const MonotonicTime now = MonotonicNow();
  const bool ended = context->canceller != canceller || canceller->cancelled();
  if (ended || !context->stall_watch->IsStalled(now) || is_kept()) co_return;
  const bool leave = MayLeaveStalled(answer.state);
  LOG4CPLUS_INFO(Log(), "stalled stream "
                            << (leave ? "left" : "kept") << " id=" << context->params.id
                            << " endpoint=" << endpoint.id << " events=" << context->events
                            << " run=\"" << kRunStateNames[answer.state] << "\"");
  if (leave) {
    context->stall_watch->GiveUp();
  } else {
    context->stall_watch->RecordProgress(now, context->stall_watch->timeout());
  }
}

// Waits until an engine whose connection has closed no longer works on the request, if another
// attempt may follow.
Task<void> RelayHandler::WaitForRunEnd(ContextPtr context, FleetEndpoint endpoint) {
  if (!RouteAllowsAttempt(*context)) co_return;
  // After a malformed response, the connection may still be open.
  context->canceller->Cancel();
  const MonotonicTime begun =
      context->response_started ? context->response_started_at : context->sent_at;
  context->may_still_run = true;
  const MonotonicTime start = MonotonicNow();
  std::optional<RunState> state;
  while (!context->caller_gone && MayWait(*context, MonotonicNow()) &&
         RetryBudgetFor(context->service_name).HasRetry(MonotonicNow())) {
    const RunAnswer answer =
        co_await run_checker_.Ask(endpoint.address, context->params.id, WaitDeadline(*context));
    deps_.metrics->CountRunCheck(answer.state);
    state = answer.state;
    context->may_still_run = !MayGoOn(answer, begun);
    if (!context->may_still_run) break;
    const auto left = WaitDeadline(*context) - MonotonicNow();
    co_await Sleep(std::min<std::chrono::steady_clock::duration>(kRunPollInterval, left));
  }
  if (!state) co_return;
  LOG4CPLUS_INFO(
      Log(), "broken stream id=" << context->params.id << " endpoint=" << endpoint.id << " run=\""
                                 << kRunStateNames[*state]
                                 << "\" waited_ms=" << ToMillis(MonotonicNow() - start).count());
}

// Writes events to the caller, or queues them if a memory limit is set. Returns false if a write
// has failed.
Task<bool> RelayHandler::WriteEvents(ContextPtr context, std::string events) {
  const bool limited = deps_.memory != nullptr && deps_.memory->limit() > 0;
  // Once there is a queue, events stay behind those in it.
  if (!limited && context->queue == nullptr) {
    const bool sent = co_await context->exchange->Write(std::move(events));
    co_return sent;
  }
  if (context->queue == nullptr) {
    const auto executor = co_await boost::asio::this_coro::executor;
    context->queue = std::make_shared<CallerQueue>(
        executor, context->exchange,
        deps_.memory->Open(MemoryKind::kEvents, context->customer_name()));
  }
  const bool added = co_await context->queue->Add(std::move(events));
  co_return added;
}

// Waits until the caller has taken all events, or drops them if it has gone.
Task<void> RelayHandler::DrainCaller(ContextPtr context) {
  if (context->queue == nullptr) co_return;
  if (context->caller_gone) context->queue->Discard();
  const bool sent = co_await context->queue->Drain();
  if (!sent) context->caller_gone = true;
}

// Relays the events of one engine to the caller until the stream ends or breaks.
Task<RelayHandler::NextStep> RelayHandler::RelayEvents(ContextPtr context,
                                                       const EndpointChoice& choice,
                                                       std::unique_ptr<HttpStream> stream) {
  const RelayRequest& params = context->params;
  EventSplitter splitter;
  const milliseconds stall_timeout =
      std::max(kMinStallTimeout, context->route->target_event_gap * kStallGapFactor);
  const milliseconds failover_timeout = FailoverTimeout(*context->route, choice);
  const bool attempts_left = context->AttemptsLeft() > 0;
  bool first = true;
  StallWatch& watch = *context->stall_watch;
  // Whether the run could go on elsewhere is decided at each event: when many streams stall at once
  // the retry budget is used up, and a stalled stream that is held tells its caller nothing.
  const auto await_event = [&](milliseconds timeout) {
    watch.Pause();
    const bool can_fail_over = attempts_left && CanFailOver(*context, choice.endpoint.id);
    if (can_fail_over) watch.RecordProgress(MonotonicNow(), timeout);
  };
  await_event(failover_timeout);
  for (;;) {
    context->step = RelayStep::kEvents;
    auto bytes = co_await stream->Read(context->deadline);
    if (!bytes || context->caller_gone) {
      if (!bytes) {
        const HttpError error = watch.expired() ? HttpError::kTimedOut : bytes.error();
        context->reason = "stream: " + std::string(kHttpErrorNames[error]);
        co_await HandleIncompleteResponse(context, choice.endpoint, error);
      }
      co_return NextStep::kRetry;
    }
    if (bytes.value().empty()) break;
    context->may_be_whole = false;
    const std::string events = splitter.Add(bytes.value());
    if (splitter.partial_bytes() > kMaxEventBytes) {
      context->reason = "stream: event too large";
      co_await WaitForRunEnd(context, choice.endpoint);
      co_return NextStep::kRetry;
    }
    // Only complete events count as progress: a stalled engine may still send a byte now and then.
    if (events.empty()) continue;
    // A slow caller is no stall of the engine.
    watch.Pause();
    const MonotonicTime now = MonotonicNow();
    context->pauses.RecordEvent(now);
    if (first) {
      first = false;
      context->response_started = true;
      context->response_started_at = now;
      context->trial.reset();
      RecordStream(context.get(), choice.endpoint);
      deps_.stats->RecordFirstEvent(choice.endpoint.id, choice.prefill_tokens);
      deps_.prefixes->Insert(choice.endpoint.id, context->prefix_hashes, params.prompt,
                             context->service->engine->cache_tokens);
      if (choice.requests == 0) {
        deps_.stats->RecordPrefill(choice.endpoint.id, params.model, choice.prefill_tokens,
                                   now - context->sent_at);
      }
    }
    if (!context->stream_open) {
      context->stream_open = true;
      context->first_byte = now;
      context->status = stream->status();
      deps_.metrics->ObserveFirstByte(context->route->kind, now - context->arrival);
      HttpHeaders headers = platform::ReturnedHeaders(stream->headers());
      const bool opened =
          co_await context->exchange->StartStream(stream->status(), std::move(headers));
      if (!opened) context->caller_gone = true;
    }
    context->step = RelayStep::kCaller;
    const bool sent = co_await WriteEvents(context, events);
    if (!sent) context->caller_gone = true;
    context->events += 1;
    if (splitter.last_id()) context->last_event_id = *splitter.last_id();
    if (context->caller_gone) co_return NextStep::kRetry;
    context->pauses.BeginWait(MonotonicNow());
    await_event(stall_timeout);
  }
  const bool is_empty = first && !context->may_be_whole;
  if (splitter.has_partial() || is_empty) {
    context->reason = "stream ended before an event was complete";
    // A stream without a length ends with its connection, also when the engine crashes.
    co_await HandleIncompleteResponse(context, choice.endpoint, HttpError::kBroken);
    co_return NextStep::kRetry;
  }
  // The engine is done, the caller may not be.
  watch.Pause();
  const bool ends_with_connection = stream->ends_with_connection();
  stream.reset();
  bool endpoint_ended = false;
  if (ends_with_connection) {
    endpoint_ended = co_await deps_.prober->HasEndedWithResponse(choice.endpoint);
  }
  if (endpoint_ended) {
    context->reason = "stream ended together with its endpoint";
    context->may_be_whole = true;
    co_await HandleIncompleteResponse(context, choice.endpoint, HttpError::kBroken);
    co_return NextStep::kRetry;
  }
  RecordServed(context.get());
  context->outcome = RelayOutcome::kAnswered;
  context->step = RelayStep::kCaller;
  co_await DrainCaller(context);
  if (context->caller_gone) co_return NextStep::kRetry;
  co_await context->exchange->FinishStream();
  co_return NextStep::kDone;
}

}  // namespace mimosabend
