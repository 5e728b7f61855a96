#include "endpoint_stats.h"

#include <algorithm>
#include <cmath>

namespace mimosabend {

namespace {

// Used for a model until its first measurement.
constexpr double kInitialMillisPerToken = 0.03;
constexpr double kPrefillSmoothing = 0.2;
// With shorter prompts, the fixed cost of a batch step dominates the prefill time.
constexpr std::uint64_t kMinMeasuredTokens = 1000;
// Part of the time to the first event that isn't prefill: connection, batch step and network.
constexpr double kFixedOverheadMillis = 15;
// Failures in a row that eject an endpoint. One that can't be reached is ejected at once.
constexpr std::uint32_t kFailuresToEject = 3;
constexpr milliseconds kMinEjection{400};
constexpr milliseconds kMaxEjection{3000};
constexpr double kFailureSmoothing = 0.1;

template <class Number>
void Reduce(Number* value, Number by) {
  *value -= std::min(*value, by);
}

void Add(EndpointWork* sum, const EndpointWork& work) {
  sum->requests += work.requests;
  sum->prefill_tokens += work.prefill_tokens;
  sum->memory_tokens += work.memory_tokens;
}

}  // namespace

void EndpointStats::Start(const std::string& endpoint, const EndpointWork& work) {
  Add(&local_[endpoint], work);
}

void EndpointStats::RecordFirstEvent(const std::string& endpoint, std::uint64_t prefill_tokens) {
  const auto it = local_.find(endpoint);
  if (it != local_.end()) Reduce(&it->second.prefill_tokens, prefill_tokens);
}

void EndpointStats::End(const std::string& endpoint, const EndpointWork& work,
                        AttemptOutcome outcome, MonotonicTime now) {
  on_outcome_(endpoint, outcome, now);
  const auto it = local_.find(endpoint);
  if (it != local_.end()) {
    Reduce(&it->second.requests, work.requests);
    Reduce(&it->second.prefill_tokens, work.prefill_tokens);
    Reduce(&it->second.memory_tokens, work.memory_tokens);
  }
  if (outcome == AttemptOutcome::kNeutral || outcome == AttemptOutcome::kNotRun) return;
  Health& health = health_[endpoint];
  const bool failed = outcome != AttemptOutcome::kSucceeded;
  health.failure_rate += kFailureSmoothing * ((failed ? 1.0 : 0.0) - health.failure_rate);
  if (!failed) {
    health.failures_in_row = 0;
    return;
  }
  ++health.failures_in_row;
  const bool unreachable = outcome == AttemptOutcome::kUnreachable;
  health.unreachable = unreachable;
  if (!unreachable && health.failures_in_row < kFailuresToEject) return;
  const std::uint32_t doublings =
      std::min(8U, health.failures_in_row - (unreachable ? 1 : kFailuresToEject));
  health.ejected_until = now + std::min(kMinEjection * (1 << doublings), kMaxEjection);
}

void EndpointStats::SetRemoteWork(std::map<std::string, EndpointWork> remote, MonotonicTime until) {
  remote_ = std::move(remote);
  remote_until_ = until;
}

EndpointWork EndpointStats::Work(const std::string& endpoint, MonotonicTime now) const {
  EndpointWork work;
  const auto local = local_.find(endpoint);
  if (local != local_.end()) Add(&work, local->second);
  const auto remote = remote_.find(endpoint);
  if (remote != remote_.end() && now < remote_until_) Add(&work, remote->second);
  return work;
}

std::uint32_t EndpointStats::OwnRequests(const std::string& endpoint) const {
  const auto local = local_.find(endpoint);
  return local == local_.end() ? 0 : local->second.requests;
}

void EndpointStats::SetBackoff(const std::string& endpoint, MonotonicTime until) {
  MonotonicTime& known = health_[endpoint].backoff_until;
  known = std::max(known, until);
}

std::optional<MonotonicTime> EndpointStats::BackoffUntil(const std::string& endpoint,
                                                         MonotonicTime now) const {
  const auto it = health_.find(endpoint);
  if (it == health_.end() || now >= it->second.backoff_until) return std::nullopt;
  return it->second.backoff_until;
}

bool EndpointStats::IsEjected(const std::string& endpoint, MonotonicTime now) const {
  const auto it = health_.find(endpoint);
  return it != health_.end() && now < it->second.ejected_until;
}

std::vector<std::string> EndpointStats::Unreachable(MonotonicTime now) const {
  std::vector<std::string> unreachable;
  for (const auto& [endpoint, health] : health_) {
    if (health.unreachable && now < health.ejected_until) unreachable.push_back(endpoint);
  }
  return unreachable;
}

double EndpointStats::FailureRate(const std::string& endpoint) const {
  const auto it = health_.find(endpoint);
  return it == health_.end() ? 0 : it->second.failure_rate;
}

void EndpointStats::RecordPrefill(const std::string& endpoint, const std::string& model,
                                  std::uint64_t tokens, std::chrono::steady_clock::duration time) {
  if (tokens < kMinMeasuredTokens) return;
  const double millis = std::max(1.0, ToSeconds(time) * 1000 - kFixedOverheadMillis);
  const double millis_per_token = millis / static_cast<double>(tokens);
  const auto factor_it = endpoint_factor_.find(endpoint);
  const double factor = factor_it == endpoint_factor_.end() ? 1 : factor_it->second;
  auto [model_it, first] = model_millis_per_token_.try_emplace(model, millis_per_token / factor);
  const double ratio = std::clamp(millis_per_token / model_it->second, 0.1, 10.0);
  if (!first)
    model_it->second += kPrefillSmoothing * (millis_per_token / factor - model_it->second);
  endpoint_factor_[endpoint] = factor + kPrefillSmoothing * (ratio - factor);
}

double EndpointStats::PrefillMillisPerToken(const std::string& endpoint,
                                            const std::string& model) const {
  const auto millis_per_token = model_millis_per_token_.find(model);
  const auto factor = endpoint_factor_.find(endpoint);
  return (millis_per_token == model_millis_per_token_.end() ? kInitialMillisPerToken
                                                            : millis_per_token->second) *
         (factor == endpoint_factor_.end() ? 1 : factor->second);
}

void EndpointStats::Forget(const std::string& endpoint) {
  health_.erase(endpoint);
  endpoint_factor_.erase(endpoint);
}

}  // namespace mimosabend
