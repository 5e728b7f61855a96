#include <algorithm>

#include "digest.h"
#include "log.h"
#include "relay_context.h"
#include "relay_handler.h"

namespace mimosabend {

// Notes that an endpoint broke off a request that it may have run, and waits until it is known
// whether the endpoint has ended, so that the next try heeds that.
Task<void> RelayHandler::NoteBreak(ContextPtr context, FleetEndpoint endpoint, HttpError error) {
  const MonotonicTime now = MonotonicNow();
  const CrashedRun run{context->fingerprint, context->begun};
  parts_.breaks->NoteBreak(endpoint, run, context->sent_at, now);
  if (context->caller_gone) co_return;
  parts_.metrics->endpoint_breaks_total->Increment();
  LOG4CPLUS_INFO(Log(), "endpoint broke off id="
                            << context->relay.id << " content=" << Hex64(context->fingerprint)
                            << " endpoint=" << endpoint.id << " started_ms=" << endpoint.started_ms
                            << " error=\"" << kHttpErrorNames[error] << "\"");
  if (error != HttpError::kBroken) co_return;
  const bool ended = co_await parts_.breaks->HasEnded(std::move(endpoint));
  if (ended) ++context->runs_at_ended;
}

// A request that an endpoint has run to its end does not end endpoints.
void RelayHandler::NoteServed(Context* context) {
  context->trial.reset();
  parts_.evidence->NoteServed(context->fingerprint, MonotonicNow());
}

bool RelayHandler::IsContained(const Context& context, MonotonicTime now) const {
  return parts_.evidence->Judge(context.fingerprint, now) == CrashVerdict::kContained;
}

// Until when a request that could run is held back, since it is not clear whether it ends
// endpoints.
std::optional<MonotonicTime> RelayHandler::HeldUntil(const Context& context,
                                                     MonotonicTime now) const {
  if (!MayRunAgain(context)) return std::nullopt;
  return parts_.evidence->HeldUntil(context.fingerprint, now);
}

// Waits until more is known of what ended the endpoints of a request. False if that takes longer
// than the request may wait.
Task<bool> RelayHandler::WaitForEvidence(ContextPtr context, MonotonicTime until) {
  const MonotonicTime began = MonotonicNow();
  context->reason = "not known yet whether endpoints end under it";
  context->ready_at = until;
  if (until >= WaitLimit(*context)) co_return false;
  co_await parts_.board->changed().WaitUntil(std::min(until, began + kWaitStep));
  context->waited += ToMillis(MonotonicNow() - began);
  co_return true;
}

bool RelayHandler::MustRunAlone(const Context& context, MonotonicTime now) const {
  return parts_.evidence->Judge(context.fingerprint, now) == CrashVerdict::kLone;
}

// Endpoints that are not to be tried at `now`, and those at which a trial has not begun to answer.
std::set<std::string> RelayHandler::WithoutTrials(const Context& context, MonotonicTime now) const {
  std::set<std::string> avoided = context.Avoided(now);
  avoided.insert(trials_.busy().begin(), trials_.busy().end());
  return avoided;
}

// Endpoints that are not to be tried at `now`.
std::set<std::string> RelayHandler::Avoided(const Context& context, MonotonicTime now) const {
  return MustRunAlone(context, now) ? WithoutTrials(context, now) : context.Avoided(now);
}

// Whether the endpoints that the request could use are busy with other suspects only.
bool RelayHandler::IsBusyWithTrials(const Context& context, MonotonicTime now) const {
  if (!MustRunAlone(context, now)) return false;
  const std::string model = context.service->engine ? context.relay.model : "";
  return parts_.selector->HasEngine(context.service_name, model, context.Avoided(now), now);
}

// Counts a try that is about to be sent.
void RelayHandler::BeginTry(Context* context, const EndpointChoice& choice) {
  const MonotonicTime now = MonotonicNow();
  ++context->tries;
  parts_.metrics->tries_total->Increment();
  context->endpoint = choice.endpoint.id;
  context->expected_ms = choice.expected_ms;
  context->sent_at = now;
  context->begun = false;
  if (MustRunAlone(*context, now)) context->trial = trials_.Begin(choice.endpoint.id);
}

// Waits until a trial of another request has ended, or for a short time.
Task<void> RelayHandler::WaitForTrials(ContextPtr context) {
  const MonotonicTime began = MonotonicNow();
  context->reason = "endpoints are busy with requests under which others have ended";
  co_await parts_.board->changed().WaitUntil(std::min(WaitLimit(*context), began + kWaitStep));
  context->waited += ToMillis(MonotonicNow() - began);
}

// Tells the caller that its request is not run since endpoints ended under it, and when that will
// be forgotten.
Task<void> RelayHandler::RefuseContained(ContextPtr context) {
  context->outcome = RelayOutcome::kContained;
  context->reason = "endpoints ended under this request";
  const MonotonicTime forgotten = parts_.evidence->ForgottenAt(context->fingerprint);
  co_await DeliverRefusal(context, 503, ToMillis(forgotten - MonotonicNow()),
                          R"({"error":"not run, since endpoints ended under this request"})");
}

}  // namespace mimosabend
