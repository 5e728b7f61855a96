#include <algorithm>
#include <cassert>

#include "directory_log.h"
#include "event_loop.h"
#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"
#include "scope_exit.h"

namespace mimosabend {

namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

// Whether and when a plain request gets a second attempt.
struct RelayHandler::HedgeWatch {
  PlainAttemptPtr first;
  // nullptr until one is sent.
  PlainAttemptPtr hedge;
  // Set once one is sent or will not be.
  bool closed = false;
  // Whether the first attempt was still open when a second could have been sent.
  bool late = false;
  // Why none has been sent.
  HedgeReason reason = HedgeReason::kTooEarly;
  MonotonicTime ask_at;
};

// Whether the first attempt of a plain request may be followed by a second while it is open.
bool RelayHandler::IsHedgeable(const Context& context) const {
  return hedging_.enabled() && context.route->kind == RouteKind::kIdempotent &&
         !context.service->engine && !context.trial && context.AttemptsLeft() > 1;
}

// Requests in flight at the endpoints of a service relative to what these run at a time.
double RelayHandler::Utilization(const std::string& service, MonotonicTime now) const {
  double requests = 0;
  double slots = 0;
  for (const DirectoryEntry* entry : deps_.directory->OfService(service, now)) {
    requests += deps_.stats->Work(entry->endpoint.id, now).requests;
    slots += entry->endpoint.slots;
  }
  return slots == 0 ? 1 : requests / slots;
}

HedgeCandidate RelayHandler::CandidateOf(const EndpointChoice& choice, MonotonicTime now) const {
  const FleetEndpoint& endpoint = choice.endpoint;
  HedgeCandidate candidate;
  candidate.expected_ms =
      response_times_.EndpointMedian(endpoint.id, now).value_or(choice.expected_ms);
  candidate.requests = choice.requests;
  candidate.slots = endpoint.slots;
  candidate.in_backoff = deps_.stats->BackoffUntil(endpoint.id, now).has_value();
  candidate.impaired = deps_.stats->IsEjected(endpoint.id, now) ||
                       !deps_.directory->IsExpectedToStay(endpoint.id, endpoint.started_ms);
  candidate.has_rate_limit =
      deps_.limits->Rate(EndpointNumber(endpoint.id, endpoint.started_ms)).has_value() ||
      IsBrittle(endpoint, now);
  return candidate;
}

// What DecideHedge needs to know, without the utilization and a candidate: they need a look at all
// endpoints of the service, for which most requests are answered too early.
HedgeQuestion RelayHandler::MakeHedgeQuestion(const Context& context, const PlainAttempt& first,
                                              MonotonicTime now) {
  HedgeQuestion question;
  question.sent_at = first.sent_at;
  question.deadline = std::min(context.deadline, stop_deadline_);
  question.repeatable = context.route->repeatable();
  question.verdict = Classify(context, now);
  // Attempts that no endpoint ran count, too: the limit is on the endpoints that a hedged request
  // is sent to.
  const std::uint32_t limit = context.route->max_attempts;
  const auto open = static_cast<std::uint32_t>(context.plain_attempts.size());
  const std::uint32_t left = context.AttemptsLeft();
  question.attempts_left =
      std::min(limit - std::min(limit, context.attempts), left - std::min(left, open));
  question.draining = IsShuttingDown();
  question.service = response_times_.Service(context.service_name, now);
  question.retry_budget_left = RetryBudgetFor(context.service_name).HasHalf(now);
  const double mean = question.service.mean / kMillisPerSecond;
  question.work_budget_left = mean > 0 && hedge_budget_.Allows(hedging_.extra_work, mean, now);
  return question;
}

// Decides whether the request gets a second attempt now, and begins it. Returns it and its call, or
// std::nullopt.
std::optional<RelayHandler::Hedge> RelayHandler::MaybeHedge(Context* context, HedgeWatch* watch) {
  const MonotonicTime now = MonotonicNow();
  if (watch->closed || watch->first->reply || now < watch->ask_at) return std::nullopt;
  // The settings may have changed meanwhile.
  watch->closed = !hedging_.enabled() || context->caller_gone;
  if (watch->closed) return std::nullopt;
  HedgeQuestion question = MakeHedgeQuestion(*context, *watch->first, now);
  HedgeDecision decision = DecideHedge(hedging_, question, now);
  std::optional<EndpointChoice> choice;
  if (decision.reason == HedgeReason::kNoCandidate) {
    question.utilization = Utilization(context->service_name, now);
    choice = ChoosePlain(*context, now);
    if (choice) question.candidate = CandidateOf(*choice, now);
    decision = DecideHedge(hedging_, question, now);
  }
  if (decision.late && !watch->late) response_times_.RecordLate(context->service_name, true);
  watch->late = watch->late || decision.late;
  watch->reason = decision.reason;
  watch->ask_at = decision.ask_at;
  watch->closed = decision.action != HedgeAction::kAskAgain;
  if (decision.action != HedgeAction::kSend) return std::nullopt;
  if (!ChargeHedge(context)) {
    watch->reason = HedgeReason::kQuota;
    return std::nullopt;
  }
  return BeginHedge(context, *watch->first, std::move(*choice), question.service.mean);
}

// Charges a second attempt to the quota that the request is charged to, since its endpoint runs the
// request once more. Returns false if the quota does not admit it.
bool RelayHandler::ChargeHedge(Context* context) {
  const double cost = context->quota_cost;
  if (cost == 0) return true;
  const Customer& customer = *context->customer;
  const MonotonicTime now = MonotonicNow();
  const std::uint8_t level = context->quota_level;
  deps_.quota->AddDemand(customer, level, cost, now);
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  if (deps_.quota->Admit(customer, level, cost, draw, now)) return false;
  context->quota_cost += cost;
  return true;
}

RelayHandler::Hedge RelayHandler::BeginHedge(Context* context, const PlainAttempt& first,
                                             EndpointChoice choice, double mean_ms) {
  const MonotonicTime now = MonotonicNow();
  const bool charged =
      RetryBudgetFor(context->service_name).TryRetry(now, context->deadline, milliseconds(0));
  assert(charged);
  static_cast<void>(charged);
  deps_.metrics->hedges_sent_total->Increment();
  context->hedged_endpoints = first.choice.endpoint.id + "," + choice.endpoint.id;
  // The endpoint has no rate limit, so no permit is needed.
  context->permit_until = MonotonicTime::max();
  Hedge hedge;
  hedge.attempt = std::make_shared<PlainAttempt>();
  hedge.attempt->choice = std::move(choice);
  hedge.attempt->is_hedge = true;
  hedge.attempt->reservation = hedge_budget_.Reserve(mean_ms / kMillisPerSecond, now);
  hedge.call = BeginPlain(context, hedge.attempt);
  return hedge;
}

// Runs an attempt, and a second one if the first is late, until one has a response that is passed
// on or both have ended.
Task<RelayHandler::NextStep> RelayHandler::AttemptHedged(ContextPtr context, PlainAttemptPtr first,
                                                         HttpCall call) {
  const auto& executor = deps_.client->executor();
  const auto ended = std::make_shared<Notifier>(executor);
  HedgeWatch watch;
  watch.first = first;
  const ScopeExit count(alive_, [this, &watch] {
    if (watch.hedge == nullptr) return;
    const RelayMetrics& metrics = *deps_.metrics;
    (watch.hedge->won ? metrics.hedges_won_total : metrics.hedges_lost_total)->Increment();
  });
  // A second attempt goes to another endpoint.
  context->excluded.insert(first->choice.endpoint.id);
  SpawnDetached(executor, "plain attempt", RunAttempt(first, std::move(call), ended));
  NextStep next_step = NextStep::kRetry;
  while (next_step == NextStep::kRetry && !context->plain_attempts.empty()) {
    const PlainAttemptPtr done = EndedAttempt(*context);
    if (done != nullptr) {
      if (done == first) RecordHedgeEnd(*context, watch);
      next_step = co_await FinishAttempt(context, done);
      continue;
    }
    auto hedge = MaybeHedge(context.get(), &watch);
    if (hedge) {
      watch.hedge = hedge->attempt;
      SpawnDetached(executor, "hedge", RunAttempt(hedge->attempt, std::move(hedge->call), ended));
    }
    const MonotonicTime wake = watch.closed ? context->deadline + seconds(1) : watch.ask_at;
    co_await ended->WaitUntil(wake);
  }
  co_return next_step;
}

// Counts a first attempt that has ended, and why it was not hedged if it was late.
void RelayHandler::RecordHedgeEnd(const Context& context, const HedgeWatch& watch) {
  if (!watch.late) {
    response_times_.RecordLate(context.service_name, false);
  } else if (watch.reason != HedgeReason::kNone) {
    deps_.metrics->CountDeniedHedge(watch.reason);
  }
}

// An attempt that has ended and is not accounted for, preferably one with a response that can be
// passed on; nullptr if there is none.
RelayHandler::PlainAttemptPtr RelayHandler::EndedAttempt(const Context& context) {
  PlainAttemptPtr ended;
  for (const PlainAttemptPtr& attempt : context.plain_attempts) {
    if (!attempt->reply) continue;
    const bool succeeded = *attempt->reply && attempt->reply->value().status < 500;
    if (ended == nullptr || succeeded) ended = attempt;
  }
  return ended;
}

// Runs the call of an attempt. `ended` is notified when it has ended.
Task<void> RelayHandler::RunAttempt(PlainAttemptPtr attempt, HttpCall call,
                                    std::shared_ptr<Notifier> ended) {
  const ScopeExit end(alive_, [&attempt, &ended] {
    // An exception has ended the call.
    if (!attempt->reply) attempt->reply = outcome::failure(HttpError::kBroken);
    ended->NotifyAll();
  });
  auto reply = co_await deps_.client->Call(std::move(call));
  attempt->reply = std::move(reply);
}

// Cancels the attempts that lose against a response that is passed on.
void RelayHandler::CancelOthers(Context* context) {
  const std::vector<PlainAttemptPtr> open = context->plain_attempts;
  for (const PlainAttemptPtr& attempt : open) CancelAttempt(context, attempt);
}

// Cancels an attempt and closes its connection. Its endpoint may continue to run the request, so it
// counts as a run, and as interrupted if the endpoint crashes.
void RelayHandler::CancelAttempt(Context* context, const PlainAttemptPtr& attempt) {
  SelectAttempt(context, *attempt);
  AttemptOutcome outcome = AttemptOutcome::kNeutral;
  bool ran = true;
  bool complete = false;
  if (attempt->reply) {
    // It has ended at the same time as the other one.
    const ResponseKind kind = ApplyReply(*context, *attempt);
    outcome = OutcomeOf(*context, *attempt, kind);
    complete = attempt->reply->has_value();
    ran = complete ? kind == ResponseKind::kRan || kind == ResponseKind::kWrongRequest
                   : attempt->reply->error() != HttpError::kNotSent;
    const bool wrong = complete && kind == ResponseKind::kWrongRequest;
    if (wrong) deps_.client->CloseIdle(attempt->choice.endpoint.address);
  } else {
    attempt->canceller->Cancel();
  }
  if (ran) ++context->runs;
  if (ran && !complete) {
    const CrashedRun run{context->fingerprint, false, attempt->sent_at, context->parts};
    deps_.prober->RecordBreak(attempt->choice.endpoint, run, MonotonicNow());
  }
  SettleAttempt(context, attempt, outcome);
}

// Accounts for the work of an attempt at a plain endpoint and for the time that it took. The
// endpoint may continue to run a cancelled one, so it counts with at least the mean time.
void RelayHandler::RecordWork(const Context& context, const PlainAttempt& attempt,
                              AttemptOutcome outcome, MonotonicTime now) {
  if (context.service->engine || (!hedging_.enabled() && !attempt.is_hedge)) return;
  const std::string& service = context.service_name;
  const bool failed = attempt.reply && !*attempt.reply;
  const bool sent = !failed || attempt.reply->error() != HttpError::kNotSent;
  const double millis = ToSeconds(now - attempt.sent_at) * kMillisPerSecond;
  const double mean = response_times_.Service(service, now).mean;
  const double work = sent ? std::max(millis, mean) / kMillisPerSecond : 0;
  if (attempt.is_hedge) {
    hedge_budget_.Settle(attempt.reservation, work, now);
  } else {
    hedge_budget_.RecordWork(work, now);
  }
  if (context.route->kind != RouteKind::kIdempotent) return;
  // The time of a late first attempt that was cancelled is a lower bound. A hedge is cancelled
  // early.
  const bool timed_out = failed && attempt.reply->error() == HttpError::kTimedOut;
  const bool cut = !attempt.is_hedge && !context.caller_gone && (!attempt.reply || timed_out);
  if (outcome == AttemptOutcome::kSucceeded || cut) {
    response_times_.Record(service, attempt.choice.endpoint.id, millis, now);
  }
}

}  // namespace mimosabend
