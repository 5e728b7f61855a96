#include "hedge_policy.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// With fewer samples, a tail is not known well enough to call a request late.
constexpr std::size_t kMinSamples = 20;
// First attempts that count as late, relative to the share of extra work. A second attempt takes
// longer than the mean request, and part of the budget is kept as a margin. With a lower quantile,
// attempts that are a little late use up the budget for those that are very late.
constexpr double kLatePerExtraWork = 0.5;
// The retry budget allows about 7 hedges for 100 requests.
constexpr double kMinQuantile = 0.95;
constexpr double kMaxQuantile = 0.995;
// The service is slow if its recent median exceeds the usual one by this factor. A sixth of the
// endpoints that is 2.5 times slower moves the median by less than a fifth.
constexpr double kSlowFactor = 1.5;
// The service is slow if more of its recent first attempts are late. By the quantile it is a
// twentieth at most over half a minute. Shows that all endpoints have become slow before the median
// does, since requests count that are still open.
constexpr double kMaxLateShare = 0.25;
// Above this utilization, a second attempt delays other requests.
constexpr double kMaxUtilization = 0.7;
// A request that got no second attempt is considered again when it has been open for this much
// longer, so that the number of decisions for each request grows with the logarithm of its time.
constexpr double kAskAgainFactor = 1.5;

MonotonicTime::duration FromMillis(double millis) {
  return std::chrono::duration_cast<MonotonicTime::duration>(
      std::chrono::duration<double, std::milli>(millis));
}

// Why the request gets no second attempt, however long the first takes.
HedgeReason PermanentReason(const HedgeQuestion& question) {
  if (!question.repeatable) return HedgeReason::kNotRepeatable;
  if (question.attempts_left == 0) return HedgeReason::kAttempts;
  if (question.verdict != CrashVerdict::kClean) return HedgeReason::kSuspect;
  if (question.draining) return HedgeReason::kDraining;
  return HedgeReason::kNone;
}

HedgeReason CandidateReason(const HedgeQuestion& question, MonotonicTime now) {
  if (!question.candidate) return HedgeReason::kNoCandidate;
  const HedgeCandidate& candidate = *question.candidate;
  if (candidate.has_rate_limit) return HedgeReason::kRateLimit;
  const bool full = candidate.requests >= candidate.slots;
  if (candidate.in_backoff || candidate.impaired || full) return HedgeReason::kNoCandidate;
  const bool in_time = now + FromMillis(candidate.expected_ms) < question.deadline;
  return in_time ? HedgeReason::kNone : HedgeReason::kDeadline;
}

// Why a late request gets no second attempt now.
HedgeReason PresentReason(const HedgeQuestion& question, MonotonicTime now) {
  if (IsServiceSlow(question.service, question.utilization)) return HedgeReason::kAllSlow;
  if (const auto reason = CandidateReason(question, now); reason != HedgeReason::kNone) {
    return reason;
  }
  if (!question.retry_budget_left) return HedgeReason::kRetryBudget;
  return question.work_budget_left ? HedgeReason::kNone : HedgeReason::kWorkBudget;
}

}  // namespace

double HedgeQuantile(const HedgingSettings& settings) {
  return std::clamp(1 - settings.extra_work * kLatePerExtraWork, kMinQuantile, kMaxQuantile);
}

milliseconds HedgeDelay(const HedgingSettings& settings, const ServiceTimes& service) {
  const auto delay = milliseconds(std::llround(std::ceil(service.tail)));
  return std::clamp(delay, settings.min_delay, settings.max_delay);
}

bool IsServiceSlow(const ServiceTimes& service, double utilization) {
  return utilization > kMaxUtilization || service.late_share > kMaxLateShare ||
         service.median > service.usual_median * kSlowFactor;
}

HedgeDecision DecideHedge(const HedgingSettings& settings, const HedgeQuestion& question,
                          MonotonicTime now) {
  assert(settings.enabled());
  HedgeDecision decision;
  decision.reason = HedgeReason::kNoSamples;
  if (question.service.samples < kMinSamples) return decision;
  const milliseconds delay = HedgeDelay(settings, question.service);
  const MonotonicTime late_at = question.sent_at + delay;
  decision.reason = HedgeReason::kDeadline;
  if (late_at >= question.deadline) return decision;
  if (now < late_at) return {HedgeAction::kAskAgain, HedgeReason::kTooEarly, late_at, false};
  decision.late = true;
  decision.reason = PermanentReason(question);
  if (decision.reason != HedgeReason::kNone) return decision;
  decision.reason = PresentReason(question, now);
  if (decision.reason == HedgeReason::kNone) {
    decision.action = HedgeAction::kSend;
    return decision;
  }
  const double open_ms = ToSeconds(now - question.sent_at) * 1000;
  decision.ask_at = question.sent_at + FromMillis(open_ms * kAskAgainFactor);
  if (decision.ask_at < question.deadline) decision.action = HedgeAction::kAskAgain;
  return decision;
}

}  // namespace mimosabend
