#include "endpoint_stats.h"

#include <algorithm>
#include <cmath>

namespace mimosabend {

namespace {

// Milliseconds per prompt token until the first observation.
constexpr double kInitialPace = 0.03;
constexpr double kLearningRate = 0.2;
// Short prompts say little of the reading speed, since the fixed cost of a step dominates.
constexpr std::uint64_t kLeastObservedTokens = 1000;
// Fixed time of a request in milliseconds: connections, a step of the batch, and links.
constexpr double kFixedMillis = 15;
// An endpoint that can't be reached is left out at once, one that fails after some failures.
constexpr std::uint32_t kFailuresToEject = 3;
constexpr milliseconds kFirstEjection{400};
constexpr milliseconds kLongestEjection{3000};
constexpr double kFailureLearningRate = 0.1;

template <class Number>
void Reduce(Number* value, Number by) {
  *value -= std::min(*value, by);
}

void Add(EndpointWork* sum, const EndpointWork& work) {
  sum->requests += work.requests;
  sum->unread_tokens += work.unread_tokens;
  sum->memory_tokens += work.memory_tokens;
}

}  // namespace

void EndpointStats::Start(const std::string& endpoint, const EndpointWork& work) {
  Add(&own_[endpoint], work);
}

void EndpointStats::NoteFirstEvent(const std::string& endpoint, std::uint64_t unread_tokens) {
  const auto it = own_.find(endpoint);
  if (it != own_.end()) Reduce(&it->second.unread_tokens, unread_tokens);
}

void EndpointStats::End(const std::string& endpoint, const EndpointWork& work, TryVerdict verdict,
                        MonotonicTime now) {
  const auto it = own_.find(endpoint);
  if (it != own_.end()) {
    Reduce(&it->second.requests, work.requests);
    Reduce(&it->second.unread_tokens, work.unread_tokens);
    Reduce(&it->second.memory_tokens, work.memory_tokens);
  }
  if (verdict == TryVerdict::kNeutral || verdict == TryVerdict::kFull) return;
  Health& health = health_[endpoint];
  const bool failed = verdict != TryVerdict::kGood;
  health.failure_rate += kFailureLearningRate * ((failed ? 1.0 : 0.0) - health.failure_rate);
  if (!failed) {
    health.failures_in_row = 0;
    return;
  }
  ++health.failures_in_row;
  const bool unreachable = verdict == TryVerdict::kUnreachable;
  health.unreachable = unreachable;
  if (!unreachable && health.failures_in_row < kFailuresToEject) return;
  const std::uint32_t doublings =
      std::min(8U, health.failures_in_row - (unreachable ? 1 : kFailuresToEject));
  health.ejected_until = now + std::min(kFirstEjection * (1 << doublings), kLongestEjection);
}

void EndpointStats::SetOthers(std::map<std::string, EndpointWork> others, MonotonicTime until) {
  others_ = std::move(others);
  others_until_ = until;
}

EndpointWork EndpointStats::Work(const std::string& endpoint, MonotonicTime now) const {
  EndpointWork work;
  const auto own = own_.find(endpoint);
  if (own != own_.end()) Add(&work, own->second);
  const auto others = others_.find(endpoint);
  if (others != others_.end() && now < others_until_) Add(&work, others->second);
  return work;
}

void EndpointStats::HoldOff(const std::string& endpoint, MonotonicTime until) {
  MonotonicTime& known = health_[endpoint].held_off_until;
  known = std::max(known, until);
}

std::optional<MonotonicTime> EndpointStats::HeldOffUntil(const std::string& endpoint,
                                                         MonotonicTime now) const {
  const auto it = health_.find(endpoint);
  if (it == health_.end() || now >= it->second.held_off_until) return std::nullopt;
  return it->second.held_off_until;
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

void EndpointStats::NoteReading(const std::string& endpoint, const std::string& model,
                                std::uint64_t tokens, std::chrono::steady_clock::duration time) {
  if (tokens < kLeastObservedTokens) return;
  const double millis = std::max(1.0, ToSeconds(time) * 1000 - kFixedMillis);
  const double pace = millis / static_cast<double>(tokens);
  const auto factor_it = endpoint_factor_.find(endpoint);
  const double factor = factor_it == endpoint_factor_.end() ? 1 : factor_it->second;
  auto [model_it, first] = model_pace_.try_emplace(model, pace / factor);
  const double ratio = std::clamp(pace / model_it->second, 0.1, 10.0);
  if (!first) model_it->second += kLearningRate * (pace / factor - model_it->second);
  endpoint_factor_[endpoint] = factor + kLearningRate * (ratio - factor);
}

double EndpointStats::MillisPerToken(const std::string& endpoint, const std::string& model) const {
  const auto pace = model_pace_.find(model);
  const auto factor = endpoint_factor_.find(endpoint);
  return (pace == model_pace_.end() ? kInitialPace : pace->second) *
         (factor == endpoint_factor_.end() ? 1 : factor->second);
}

void EndpointStats::Forget(const std::string& endpoint) {
  health_.erase(endpoint);
  endpoint_factor_.erase(endpoint);
}

}  // namespace mimosabend
