#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "caller_patience.h"
#include "log.h"
#include "notifier.h"
#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"
#include "supervisor.h"

namespace mimosabend {

namespace {

// A request waits this long at least, and half of its time, for a leader that orders a load of its
// model.
constexpr milliseconds kDecisionTime{1000};
// Typical time until another leader may order.
constexpr milliseconds kLeaderlessTime{2500};
// An engine that did not run a request is not tried again for this long.
constexpr milliseconds kNotRunPause{300};
// Pause after an engine said that it does not hold the model or adapter yet.
constexpr milliseconds kNotReadyDelay{20};
// A first event that takes this many times longer than expected is waited for elsewhere.
constexpr double kFirstEventPatience = 3;
constexpr milliseconds kFirstEventAllowance{400};
// A stream is taken for broken after a silence of this many times its longest pause.
constexpr int kSilenceFactor = 4;
constexpr milliseconds kLeastSilence{1000};
// An event that grows beyond this is none.
constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// How long the first event is waited for before another engine is tried.
milliseconds FirstEventLimit(const Route& route, const EndpointChoice& choice) {
  const auto patience = static_cast<std::int64_t>(choice.expected_ms * kFirstEventPatience);
  return std::max(route.target_latency, milliseconds(patience) + kFirstEventAllowance);
}

}  // namespace

struct RelayHandler::AdapterPlacement {
  explicit AdapterPlacement(boost::asio::any_io_executor executor) : done(std::move(executor)) {}

  Notifier done;
  // Empty until the leader has decided.
  std::optional<bool> placed;
};

bool RelayHandler::HasEngine(const Context& context, MonotonicTime now) const {
  return parts_.selector->HasEngine(context.service_name, context.relay.model,
                                    Avoided(context, now), now);
}

// Whether a try at an endpoint that has run the request could be broken off for one elsewhere. An
// engine that is only slow is not left where nothing better is at hand.
bool RelayHandler::MayMove(const Context& context, const std::string& endpoint) {
  const MonotonicTime now = MonotonicNow();
  if (!context.route->repeatable() || !BudgetOf(context.service_name).HasRetry(now)) return false;
  std::set<std::string> avoided = Avoided(context, now);
  avoided.insert(endpoint);
  return parts_.selector->HasEngine(context.service_name, context.relay.model, avoided, now);
}

// An engine for a stream, one without a trial if there is one.
std::optional<EndpointChoice> RelayHandler::ChooseEngine(const Context& context,
                                                         MonotonicTime now) {
  const std::uint64_t spread_key = MustRunAlone(context, now) ? context.fingerprint : 0;
  const auto choose = [&](const std::set<std::string>& avoided) {
    return parts_.selector->ChooseEngine(context.service_name, *context.service->engine,
                                         context.relay, context.hashes, avoided, now, spread_key);
  };
  auto choice = trials_.busy().empty() ? std::nullopt : choose(WithoutTrials(context, now));
  return choice ? choice : choose(Avoided(context, now));
}

Task<void> RelayHandler::ServeStream(ContextPtr context) {
  const RelayRequest& relay = context->relay;
  context->hashes = PrefixHashes(relay.model, relay.adapter, relay.prompt);
  context->last_event_id = relay.last_event_id;
  context->patience_end = context->arrival + FirstEventPatience(*context->route);
  // A request that may not run again does not wait for another engine.
  while (!context->caller_gone && MayWait(*context, MonotonicNow()) && MayRunAgain(*context)) {
    const MonotonicTime now = MonotonicNow();
    if (const auto until = HeldUntil(*context, now)) {
      const bool waited = co_await WaitForEvidence(context, *until);
      if (!waited) break;
      continue;
    }
    if (IsContained(*context, now)) break;
    auto choice = ChooseEngine(*context, now);
    if (!choice && IsBusyWithTrials(*context, now)) {
      co_await WaitForTrials(context);
      continue;
    }
    if (!choice) {
      const bool found = co_await WaitForModel(context);
      if (!found) break;
      continue;
    }
    if (!choice->has_adapter) {
      const bool placed = co_await PlaceAdapter(context, &*choice);
      if (!placed) continue;
    }
    if (!MayTryAgain(context.get())) break;
    const Next next = co_await TryStream(context, *choice);
    if (next == Next::kDone) co_return;
  }
  if (context->reason.empty()) context->reason = "no engine in time";
  co_await GiveUp(context);
}

// Waits until an engine holds the model. False if none will in time.
Task<bool> RelayHandler::WaitForModel(ContextPtr context) {
  const MonotonicTime began = MonotonicNow();
  const std::string& model = context->relay.model;
  const std::uint32_t priority = context->priority();
  if (!context->service->engine->models.contains(model)) {
    context->reason = "unknown model";
    co_return false;
  }
  parts_.metrics->model_waits_total->Increment();
  parts_.board->BeginWaiting(context->service_name, model, context->route->target_latency,
                             priority);
  context->step = RelayStep::kModel;
  bool found = false;
  while (!context->caller_gone) {
    const MonotonicTime now = MonotonicNow();
    found = HasEngine(*context, now);
    if (found) break;
    if (auto reason = ReasonNotToWait(context.get(), began, now)) {
      context->reason = std::move(*reason);
      break;
    }
    co_await parts_.board->changed().WaitUntil(std::min(WaitLimit(*context), now + kWaitStep));
  }
  context->step = RelayStep::kChoice;
  parts_.board->EndWaiting(context->service_name, model, priority);
  context->waited += ToMillis(MonotonicNow() - began);
  co_return found;
}

// Why a request that waits for its model since `began` should be refused now; std::nullopt if it
// should wait on.
std::optional<std::string> RelayHandler::ReasonNotToWait(Context* context, MonotonicTime began,
                                                         MonotonicTime now) const {
  if (!MayWait(*context, now)) return "no engine got the model in time";
  const MonotonicTime limit = WaitLimit(*context);
  const auto load_end = parts_.placement.load_end(context->relay.model);
  context->ready_at = load_end;
  if (load_end) {
    if (*load_end < limit) return std::nullopt;
    return "the model's load ends too late";
  }
  context->ready_at =
      parts_.selector->HeldOffUntil(context->service_name, context->relay.model, now);
  if (parts_.placement.has_leader(now)) return std::nullopt;
  context->ready_at = std::max(context->ready_at.value_or(now), now + kLeaderlessTime);
  if (now - began <= std::max(kDecisionTime, ToMillis(limit - began) / 2)) return std::nullopt;
  return "nobody decides on loads now";
}

// Has the adapter placed at the chosen engine. If that fails, the engine is not chosen again.
Task<bool> RelayHandler::PlaceAdapter(ContextPtr context, EndpointChoice* choice) {
  const MonotonicTime began = MonotonicNow();
  parts_.metrics->adapter_waits_total->Increment();
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto placement = std::make_shared<AdapterPlacement>(executor);
  AdapterRequest request{choice->endpoint.id, context->relay.model, context->relay.adapter};
  boost::asio::co_spawn(executor, AskForAdapter(placement, std::move(request)),
                        boost::asio::detached);
  context->step = RelayStep::kAdapter;
  // The leader may be silent, and the signal to stop may come meanwhile.
  while (!placement->placed && !context->caller_gone) {
    const MonotonicTime now = MonotonicNow();
    if (!MayWait(*context, now)) break;
    co_await placement->done.WaitUntil(std::min(WaitLimit(*context), now + kWaitStep));
  }
  context->step = RelayStep::kChoice;
  const bool placed = placement->placed.value_or(false);
  context->waited += ToMillis(MonotonicNow() - began);
  if (!placed) {
    context->reason = "the adapter could not be placed";
    context->paused[choice->endpoint.id] = MonotonicNow() + kNotRunPause;
    co_await Sleep(kNotReadyDelay);
  }
  co_return placed;
}

// Goes on when the request that asked has ended, so it refers to nothing of that request.
Task<void> RelayHandler::AskForAdapter(std::shared_ptr<AdapterPlacement> placement,
                                       AdapterRequest request) {
  const bool placed = co_await parts_.placement.place_adapter(std::move(request));
  placement->placed = placed;
  placement->done.NotifyAll();
}

Task<RelayHandler::Next> RelayHandler::TryStream(ContextPtr context, EndpointChoice choice) {
  const std::string id = choice.endpoint.id;
  const RelayRequest& relay = context->relay;
  BeginTry(context.get(), choice);
  if (context->stream_open) parts_.metrics->stream_resumes_total->Increment();
  const EndpointWork work{
      1, choice.unread_tokens,
      static_cast<std::uint64_t>(relay.prompt_tokens) + relay.max_output_tokens};
  parts_.stats->Start(id, work);
  parts_.board->BeginRun(id, relay.model, relay.adapter);
  parts_.board->NoteRequest(context->service_name, relay.model, relay.adapter,
                            context->route->target_latency,
                            parts_.stats->MillisPerToken(id, relay.model) * choice.unread_tokens);
  HttpCall call = MakeCall(context.get(), choice, context->deadline);
  // An engine that fell silent may leave the header or even the request waiting.
  if (context->AttemptsLeft() > 1 && MayMove(*context, id)) {
    call.deadline =
        std::min(call.deadline, context->sent_at + FirstEventLimit(*context->route, choice));
  }
  context->step = RelayStep::kEndpoint;
  auto stream = co_await parts_.client->Open(std::move(call));
  Next next = Next::kTryAgain;
  TryVerdict verdict = TryVerdict::kFailed;
  const std::uint64_t events_before = context->events;
  if (!stream) {
    co_await NoteFailure(context, choice.endpoint, stream.error());
    context->excluded.insert(id);
    if (stream.error() == HttpError::kNotSent) verdict = TryVerdict::kUnreachable;
  } else {
    const int status = stream.value()->status();
    const HttpHeaders headers = stream.value()->headers();
    NoteHeaders(choice, status, headers);
    const AnswerKind kind = platform::ClassifyAnswer(status, headers, relay.id);
    const bool success = status >= 200 && status < 300;
    if (kind == AnswerKind::kMisdirected) {
      context->reason = "engine does not hold the model or adapter";
      const std::string held =
          relay.adapter.empty() ? relay.model : relay.model + "/" + relay.adapter;
      parts_.directory->NoteRefused(id, held, MonotonicNow());
      verdict = TryVerdict::kNeutral;
    } else if (kind == AnswerKind::kNotRun) {
      context->reason = "engine did not run it, status " + std::to_string(status);
      // It is full, or drops or loads the model: the leader's news of that is on its way.
      context->paused[id] = MonotonicNow() + kNotRunPause;
      verdict = TryVerdict::kFull;
    } else if (kind == AnswerKind::kForeign) {
      ++context->runs;
      context->excluded.insert(id);
      context->reason = "the answer is not to this request";
    } else if (success) {
      ++context->runs;
      next = co_await Pump(context, choice, std::move(stream).value());
      verdict = next == Next::kDone ? TryVerdict::kGood : TryVerdict::kFailed;
      context->excluded.insert(id);
    } else {
      ++context->runs;
      context->excluded.insert(id);
      auto body = co_await stream.value()->ReadAll(context->deadline);
      if (body) NoteServed(context.get());
      if (!body) context->reason = std::string(kHttpErrorNames[body.error()]);
      if (body && !context->stream_open) {
        HttpReply reply{status, headers, std::move(body).value()};
        next = co_await PassWhole(context, std::move(reply));
      }
    }
  }
  context->trial.reset();
  if (context->caller_gone) verdict = TryVerdict::kNeutral;
  EndpointWork left = work;
  if (context->events > events_before) left.unread_tokens = 0;
  parts_.stats->End(id, left, verdict, MonotonicNow());
  parts_.board->EndRun(id, relay.model, relay.adapter);
  co_return next;
}

// Passes the events of one engine on until its stream ends or breaks.
Task<RelayHandler::Next> RelayHandler::Pump(ContextPtr context, const EndpointChoice& choice,
                                            std::unique_ptr<HttpStream> stream) {
  const RelayRequest& relay = context->relay;
  EventSplitter splitter;
  const milliseconds silence =
      std::max(kLeastSilence, context->route->target_event_gap * kSilenceFactor);
  const milliseconds first_limit = FirstEventLimit(*context->route, choice);
  const bool attempts_left = context->AttemptsLeft() > 0;
  bool first = true;
  // Only whole events count: a stalled engine may still send a byte now and then.
  MonotonicTime last_event = MonotonicNow();
  for (;;) {
    MonotonicTime limit = context->deadline;
    if (attempts_left && MayMove(*context, choice.endpoint.id)) {
      limit = std::min(limit, last_event + (first ? first_limit : silence));
    }
    context->step = RelayStep::kEvents;
    auto bytes = co_await stream->Read(limit);
    if (!bytes || context->caller_gone) {
      if (!bytes) {
        context->reason = "stream: " + std::string(kHttpErrorNames[bytes.error()]);
        co_await NoteBreak(context, choice.endpoint, bytes.error());
      }
      co_return Next::kTryAgain;
    }
    if (bytes.value().empty()) break;
    const std::string events = splitter.Add(bytes.value());
    if (splitter.partial_bytes() > kMaxEventBytes) {
      context->reason = "stream: an event without end";
      co_return Next::kTryAgain;
    }
    if (events.empty()) continue;
    const MonotonicTime now = MonotonicNow();
    last_event = now;
    if (first) {
      first = false;
      context->begun = true;
      context->trial.reset();
      parts_.stats->NoteFirstEvent(choice.endpoint.id, choice.unread_tokens);
      parts_.prefixes->Note(choice.endpoint.id, context->hashes, relay.prompt,
                            context->service->engine->cache_tokens);
      if (choice.requests == 0) {
        parts_.stats->NoteReading(choice.endpoint.id, relay.model, choice.unread_tokens,
                                  now - context->sent_at);
      }
    }
    if (!context->stream_open) {
      context->stream_open = true;
      context->first_byte = now;
      context->status = stream->status();
      parts_.metrics->ObserveFirstByte(context->route->kind, now - context->arrival);
      HttpHeaders headers = platform::ReturnedHeaders(stream->headers());
      const bool opened =
          co_await context->exchange->StartStream(stream->status(), std::move(headers));
      if (!opened) context->caller_gone = true;
    }
    context->step = RelayStep::kCaller;
    const bool sent = co_await context->exchange->Write(events);
    if (!sent) context->caller_gone = true;
    context->events += 1;
    if (splitter.last_id()) context->last_event_id = *splitter.last_id();
    if (context->caller_gone) co_return Next::kTryAgain;
  }
  if (splitter.has_partial() || first) {
    context->reason = "the stream ended within an event";
    co_return Next::kTryAgain;
  }
  NoteServed(context.get());
  context->outcome = RelayOutcome::kAnswered;
  co_await context->exchange->FinishStream();
  co_return Next::kDone;
}

}  // namespace mimosabend
