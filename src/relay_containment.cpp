#include <algorithm>

#include "digest.h"
#include "log.h"
#include "relay_context.h"
#include "relay_handler.h"

namespace mimosabend {

// Records that an endpoint that may have run a request sent no complete response. After a lost
// connection, waits until it is known whether the endpoint process has terminated, so that the next
// attempt takes that into account. If an engine has not, waits until it has ended the run.
Task<void> RelayHandler::HandleIncompleteResponse(ContextPtr context, FleetEndpoint endpoint,
                                                  HttpError error) {
  const MonotonicTime now = MonotonicNow();
  const CrashedRun run{context->fingerprint, context->response_started, context->sent_at,
                       context->parts};
  deps_.prober->RecordBreak(endpoint, run, now);
  if (context->caller_gone) co_return;
  deps_.metrics->endpoint_breaks_total->Increment();
  LOG4CPLUS_INFO(Log(), "incomplete response id="
                            << context->params.id << " content=" << Hex64(context->fingerprint)
                            << " parts=" << SharedPartsText(context->params.prompt)
                            << " started=" << context->response_started
                            << " endpoint=" << endpoint.id << " started_ms=" << endpoint.started_ms
                            << " error=\"" << kHttpErrorNames[error] << "\"");
  if (error == HttpError::kMalformed || error == HttpError::kTooLarge) {
    deps_.metrics->invalid_responses_total->Increment();
  }
  if (error == HttpError::kBroken || error == HttpError::kMalformed) {
    const bool ended = co_await deps_.prober->HasEnded(endpoint);
    if (ended) {
      ++context->terminated_runs;
      co_return;
    }
  }
  if (context->service->engine) co_await WaitForRunEnd(context, std::move(endpoint));
}

// Records that an endpoint ran the request to completion, which clears it and the parts of its
// prompt of suspicion.
void RelayHandler::RecordServed(Context* context) {
  const MonotonicTime now = MonotonicNow();
  context->trial.reset();
  deps_.evidence->RecordServed(context->fingerprint, now);
  const MonotonicTime started =
      context->response_started ? context->response_started_at : context->sent_at;
  deps_.part_evidence->RecordServed(context->parts, started, now);
}

// How the request is treated because of its content and the parts of its prompt.
CrashVerdict RelayHandler::Classify(const Context& context, MonotonicTime now) const {
  return std::max(deps_.evidence->Classify(context.fingerprint, now),
                  deps_.part_evidence->Classify(context.parts, now));
}

// When the request may be sent to an endpoint again; std::nullopt if it is not contained.
std::optional<MonotonicTime> RelayHandler::ContainedUntil(const Context& context,
                                                          MonotonicTime now) const {
  if (const auto until = deps_.part_evidence->ContainedUntil(context.parts, now)) return until;
  if (HeldUntil(context, now)) return std::nullopt;
  const CrashVerdict verdict = deps_.evidence->Classify(context.fingerprint, now);
  if (verdict != CrashVerdict::kContained) return std::nullopt;
  return deps_.evidence->ExpiresAt(context.fingerprint);
}

// Until when a request that may run is held back because it is not known yet whether it crashes
// endpoints; std::nullopt if it is not held back.
std::optional<MonotonicTime> RelayHandler::HeldUntil(const Context& context,
                                                     MonotonicTime now) const {
  if (!RouteAllowsAttempt(context)) return std::nullopt;
  return std::max(deps_.evidence->HeldUntil(context.fingerprint, now),
                  deps_.part_evidence->HeldUntil(context.parts, now));
}

// Waits for more evidence on which request crashed the endpoints. Returns false if `until` is later
// than the request may wait.
Task<bool> RelayHandler::WaitForEvidence(ContextPtr context, MonotonicTime until) {
  const MonotonicTime start = MonotonicNow();
  context->reason = "waiting for crash evidence from other daemons";
  context->ready_at = until;
  if (until >= WaitDeadline(*context)) co_return false;
  co_await deps_.usage->endpoints_changed().WaitUntil(std::min(until, start + kStatePollInterval));
  context->waited += ToMillis(MonotonicNow() - start);
  co_return true;
}

// Whether the request is a crash suspect that must not start at an endpoint together with another
// suspect.
bool RelayHandler::MustRunIsolated(const Context& context, MonotonicTime now) const {
  return Classify(context, now) == CrashVerdict::kLone;
}

// Endpoints that must not be chosen at `now`, plus those at which a suspect's response has not
// started.
std::set<std::string> RelayHandler::AvoidedWithTrials(const Context& context,
                                                      MonotonicTime now) const {
  std::set<std::string> avoided = ExcludedEndpoints(context, now);
  AvoidFullEndpoints(context, now, &avoided);
  avoided.insert(trials_.busy().begin(), trials_.busy().end());
  return avoided;
}

// Endpoints that must not be chosen at `now`, such as brittle ones without room. A suspect also
// avoids those reserved by other suspects.
std::set<std::string> RelayHandler::AvoidedEndpoints(const Context& context,
                                                     MonotonicTime now) const {
  if (MustRunIsolated(context, now)) return AvoidedWithTrials(context, now);
  std::set<std::string> avoided = ExcludedEndpoints(context, now);
  AvoidFullEndpoints(context, now, &avoided);
  return avoided;
}

// Whether a suspect finds endpoints that are unavailable only because other suspects reserve them.
bool RelayHandler::IsBusyWithTrials(const Context& context, MonotonicTime now) const {
  if (!MustRunIsolated(context, now)) return false;
  const std::string model = context.service->engine ? context.params.model : "";
  return deps_.selector->HasEngine(context.service_name, model, ExcludedEndpoints(context, now),
                                   now);
}

// Records an attempt that is about to be sent, and reserves the endpoint for a suspect.
void RelayHandler::BeginAttempt(Context* context, const EndpointChoice& choice) {
  const MonotonicTime now = MonotonicNow();
  ++context->attempts;
  deps_.metrics->tries_total->Increment();
  context->endpoint = choice.endpoint.id;
  context->expected_ms = choice.expected_ms;
  context->sent_at = now;
  // A second copy of the answer to an earlier attempt could arrive on its connection, with the same
  // request id.
  context->may_reuse_connection = context->attempted.insert(choice.endpoint.address).second;
  context->response_started = false;
  if (MustRunIsolated(*context, now)) context->trial = trials_.Begin(choice.endpoint.id);
  deps_.part_evidence->BeginTrial(context->parts, now);
}

// Waits until the fleet state changes, for example because another suspect releases its endpoint,
// but at most kStatePollInterval.
Task<void> RelayHandler::WaitForTrials(ContextPtr context) {
  const MonotonicTime start = MonotonicNow();
  context->reason = "all usable endpoints are running other crash suspects";
  co_await deps_.usage->endpoints_changed().WaitUntil(
      std::min(WaitDeadline(*context), start + kStatePollInterval));
  context->waited += ToMillis(MonotonicNow() - start);
}

// Refuses a request that is contained because endpoints crashed. Retry-After tells the caller when
// it may be tried again.
Task<void> RelayHandler::RefuseContained(ContextPtr context, MonotonicTime until) {
  context->outcome = RelayOutcome::kContained;
  context->reason = "contained: endpoints crashed while running this request";
  co_await SendRefusal(context, 503, ToMillis(until - MonotonicNow()),
                       R"({"error":"not run, since endpoints ended under this request"})");
}

}  // namespace mimosabend
