#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"
#include "scope_exit.h"

namespace mimosabend {

namespace {

// An attempt of a retryable plain request gets half of the remaining time, so that there is time
// for a retry.
constexpr int kAttemptsPerDeadline = 2;

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
    if (ContainedUntil(*context, now)) break;
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
    if (!ReserveAttempt(context.get())) break;
    const NextStep next_step = co_await AttemptPlain(context, *choice);
    if (next_step == NextStep::kDone) co_return;
  }
  co_await FinishUnserved(context);
}

Task<RelayHandler::NextStep> RelayHandler::AttemptPlain(ContextPtr context, EndpointChoice choice) {
  const MonotonicTime now = MonotonicNow();
  MonotonicTime deadline = context->deadline;
  const bool may_retry = context->route->repeatable() && context->AttemptsLeft() > 1;
  if (may_retry) {
    deadline = now + (context->deadline - now) / kAttemptsPerDeadline;
  }
  BeginAttempt(context.get(), choice);
  const EndpointWork work{1, 0, 0};
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  deps_.stats->Start(choice.endpoint.id, work);
  ScopeExit end(alive_,
                [&] { deps_.stats->End(choice.endpoint.id, work, outcome, MonotonicNow()); });
  context->step = RelayStep::kEndpoint;
  auto reply = co_await deps_.client->Call(MakeCall(context.get(), choice, deadline));
  context->step = RelayStep::kChoice;
  context->trial.reset();
  context->excluded.insert(choice.endpoint.id);
  ResponseKind kind = ResponseKind::kWrongRequest;
  if (reply) {
    ApplyEndpointHeaders(choice, reply.value().status, reply.value().headers);
    kind =
        platform::ClassifyResponse(reply.value().status, reply.value().headers, context->params.id);
    if (kind != ResponseKind::kWrongRequest) {
      RecordRateLimit(*context, choice.endpoint, reply.value().headers);
    }
    const bool ran = kind == ResponseKind::kRan;
    const bool failed = kind == ResponseKind::kWrongRequest || (ran && reply.value().status >= 500);
    outcome = failed ? AttemptOutcome::kFailed
              : ran  ? AttemptOutcome::kSucceeded
                     : AttemptOutcome::kNotRun;
  } else {
    const bool unreachable = reply.error() == HttpError::kNotSent;
    outcome = unreachable ? AttemptOutcome::kUnreachable : AttemptOutcome::kFailed;
    if (unreachable && MonotonicNow() >= context->permit_until) outcome = AttemptOutcome::kNeutral;
  }
  if (context->caller_gone) outcome = AttemptOutcome::kNeutral;
  end.Run();
  if (!reply) {
    co_await HandleFailedAttempt(context, choice.endpoint, reply.error());
    co_return NextStep::kRetry;
  }
  if (kind == ResponseKind::kNotRun || kind == ResponseKind::kMisdirected) {
    context->reason =
        "endpoint did not run the request, status " + std::to_string(reply.value().status);
    co_return NextStep::kRetry;
  }
  ++context->runs;
  if (kind == ResponseKind::kWrongRequest) {
    context->reason = "response does not belong to this request";
    // The response to this request may still follow on that connection.
    deps_.client->CloseIdle(choice.endpoint.address);
    co_return NextStep::kRetry;
  }
  RecordServed(context.get());
  co_return co_await RelayResponse(context, std::move(reply).value());
}

}  // namespace mimosabend
