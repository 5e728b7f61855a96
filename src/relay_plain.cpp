#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"
#include "scope_exit.h"

namespace mimosabend {

namespace {

// An attempt of a retryable plain request gets half of the remaining time, so that there is time
// for a retry.
constexpr int kAttemptsPerDeadline = 2;
constexpr EndpointWork kPlainWork{1, 0, 0};

}  // namespace

// Chooses an endpoint for a plain request, preferably one that is not reserved by a crash suspect.
std::optional<EndpointChoice> RelayHandler::ChoosePlain(const Context& context, MonotonicTime now) {
  const std::uint64_t spread_key = MustRunIsolated(context, now) ? context.fingerprint : 0;
  const auto choose = [&](const std::set<std::string>& avoided) {
    return deps_.selector->ChoosePlain(context.service_name, avoided, now, spread_key);
  };
  auto choice = trials_.busy().empty() ? std::nullopt : choose(AvoidedWithTrials(context, now));
  return choice ? choice : choose(AvoidedEndpoints(context, now));
}

Task<void> RelayHandler::ServePlain(ContextPtr context) {
  while (!context->caller_gone && RouteAllowsAttempt(*context)) {
    const MonotonicTime now = MonotonicNow();
    if (ContainedUntil(*context, now) || MustLeave(*context, now)) break;
    if (const auto until = HeldUntil(*context, now)) {
      const bool waited = co_await WaitForEvidence(context, *until);
      if (!waited) break;
      continue;
    }
    const auto choice = ChoosePlain(*context, now);
    if (!choice && IsBusyWithTrials(*context, now) && MayWait(*context, now)) {
      co_await WaitForTrials(context);
      continue;
    }
    if (!choice && LacksRoom(*context, now)) {
      const bool found = co_await WaitForRoom(context);
      if (found) continue;
      break;
    }
    if (!choice) {
      if (context->reason.empty()) {
        context->reason = AreAllEndpointsLimited(*context, now)
                              ? "all endpoints of the service have a rate limit"
                              : "no endpoint available";
      }
      context->ready_at = deps_.selector->BackoffUntil(context->service_name, "", MonotonicNow());
      break;
    }
    const bool permitted = co_await AcquirePermit(context, choice->endpoint);
    if (!permitted) {
      // Asked for again, two limited endpoints could hold the request beyond its deadline.
      context->excluded.insert(choice->endpoint.id);
      continue;
    }
    // The permit took time, in which others may have taken the room.
    if (!HasRoom(choice->endpoint, MonotonicNow())) continue;
    if (!ReserveAttempt(context.get())) break;
    const NextStep next_step = co_await AttemptPlain(context, *choice);
    if (next_step == NextStep::kDone) co_return;
  }
  co_await FinishUnserved(context);
}

Task<RelayHandler::NextStep> RelayHandler::AttemptPlain(ContextPtr context, EndpointChoice choice) {
  const auto attempt = std::make_shared<PlainAttempt>();
  attempt->choice = std::move(choice);
  const ScopeExit end(alive_, [this, &context] { AbandonAttempts(context.get()); });
  HttpCall call = BeginPlain(context.get(), attempt);
  if (IsHedgeable(*context)) {
    const NextStep next_step = co_await AttemptHedged(context, attempt, std::move(call));
    co_return next_step;
  }
  auto reply = co_await deps_.client->Call(std::move(call));
  attempt->reply = std::move(reply);
  const NextStep next_step = co_await FinishAttempt(context, attempt);
  co_return next_step;
}

// Records an attempt that is about to be sent, and returns the call that sends it.
HttpCall RelayHandler::BeginPlain(Context* context, const PlainAttemptPtr& attempt) {
  const MonotonicTime now = MonotonicNow();
  attempt->deadline = context->deadline;
  const std::size_t others = context->plain_attempts.size();
  const bool may_retry = context->route->repeatable() && context->AttemptsLeft() > others + 1;
  if (may_retry) {
    attempt->deadline = now + (context->deadline - now) / kAttemptsPerDeadline;
  }
  BeginAttempt(context, attempt->choice);
  attempt->sent_at = context->sent_at;
  attempt->permit_until = context->permit_until;
  deps_.stats->Start(attempt->choice.endpoint.id, kPlainWork);
  RecordStartAt(attempt->choice.endpoint);
  context->step = RelayStep::kEndpoint;
  HttpCall call = MakeCall(context, attempt->choice, attempt->deadline);
  attempt->canceller = context->canceller;
  context->plain_attempts.push_back(attempt);
  return call;
}

// Makes the members of the context that describe the current attempt those of `attempt`.
void RelayHandler::SelectAttempt(Context* context, const PlainAttempt& attempt) {
  context->sent_at = attempt.sent_at;
  context->permit_until = attempt.permit_until;
  context->endpoint = attempt.choice.endpoint.id;
  context->expected_ms = attempt.choice.expected_ms;
}

// Processes the part of a response that does not depend on whether it is passed on. Returns
// kWrongRequest without a response. Precondition: the attempt is selected and has ended.
ResponseKind RelayHandler::ApplyReply(const Context& context, const PlainAttempt& attempt) {
  if (!*attempt.reply) return ResponseKind::kWrongRequest;
  const HttpReply& reply = attempt.reply->value();
  ApplyEndpointHeaders(attempt.choice, reply.status, reply.headers);
  const ResponseKind kind =
      platform::ClassifyResponse(reply.status, reply.headers, context.params.id);
  if (kind != ResponseKind::kWrongRequest) {
    RecordRateLimit(context, attempt.choice.endpoint, reply.headers);
    RecordBrittleness(context, attempt.choice.endpoint, kind, reply.headers);
  }
  return kind;
}

// What an attempt that has ended shows about its endpoint.
AttemptOutcome RelayHandler::OutcomeOf(const Context& context, const PlainAttempt& attempt,
                                       ResponseKind kind) {
  if (context.caller_gone) return AttemptOutcome::kNeutral;
  if (*attempt.reply) {
    if (kind == ResponseKind::kWrongRequest) return AttemptOutcome::kFailed;
    if (kind != ResponseKind::kRan) return AttemptOutcome::kNotRun;
    const bool failed = attempt.reply->value().status >= 500;
    return failed ? AttemptOutcome::kFailed : AttemptOutcome::kSucceeded;
  }
  if (attempt.reply->error() != HttpError::kNotSent) return AttemptOutcome::kFailed;
  const bool permit_expired = MonotonicNow() >= attempt.permit_until;
  return permit_expired ? AttemptOutcome::kNeutral : AttemptOutcome::kUnreachable;
}

// Accounts for an attempt that has ended or is no longer waited for.
void RelayHandler::SettleAttempt(Context* context, const PlainAttemptPtr& attempt,
                                 AttemptOutcome outcome) {
  std::erase(context->plain_attempts, attempt);
  const std::string& id = attempt->choice.endpoint.id;
  const MonotonicTime now = MonotonicNow();
  context->excluded.insert(id);
  deps_.stats->End(id, kPlainWork, outcome, now);
  RecordEndAt(attempt->choice.endpoint);
  RecordWork(*context, *attempt, outcome, now);
}

// Settles the attempts that an exception has left open.
void RelayHandler::AbandonAttempts(Context* context) {
  const std::vector<PlainAttemptPtr> open = context->plain_attempts;
  for (const PlainAttemptPtr& attempt : open) {
    attempt->canceller->Cancel();
    SettleAttempt(context, attempt, AttemptOutcome::kFailed);
  }
}

// Handles the end of an attempt. A response that is passed on ends the other one; an error response
// is kept back while the other one is open.
Task<RelayHandler::NextStep> RelayHandler::FinishAttempt(ContextPtr context,
                                                         PlainAttemptPtr attempt) {
  context->step = RelayStep::kChoice;
  context->trial.reset();
  SelectAttempt(context.get(), *attempt);
  const ResponseKind kind = ApplyReply(*context, *attempt);
  SettleAttempt(context.get(), attempt, OutcomeOf(*context, *attempt, kind));
  if (!*attempt->reply) {
    co_await HandleFailedAttempt(context, attempt->choice.endpoint, attempt->reply->error());
    co_return NextStep::kRetry;
  }
  HttpReply reply = std::move(*attempt->reply).value();
  if (kind == ResponseKind::kNotRun || kind == ResponseKind::kMisdirected) {
    context->reason = "endpoint did not run the request, status " + std::to_string(reply.status);
    co_return NextStep::kRetry;
  }
  ++context->runs;
  if (kind == ResponseKind::kWrongRequest) {
    context->reason = "response does not belong to this request";
    // The response to this request may still follow on that connection.
    deps_.client->CloseIdle(attempt->choice.endpoint.address);
    co_return NextStep::kRetry;
  }
  RecordServed(context.get());
  if (reply.status >= 500 && !context->plain_attempts.empty()) {
    context->error_response = std::move(reply);
    co_return NextStep::kRetry;
  }
  CancelOthers(context.get());
  SelectAttempt(context.get(), *attempt);
  if (attempt->is_hedge && reply.status < 500) attempt->won = true;
  const NextStep next_step = co_await RelayResponse(context, std::move(reply));
  co_return next_step;
}

}  // namespace mimosabend
