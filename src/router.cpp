#include "router.h"

#include <algorithm>

namespace mimosabend {

namespace {

// An endpoint that has the prefix cached is chosen unless its load exceeds that of the best one by
// more than this fraction of its slots.
constexpr double kAffinitySlack = 0.5;
constexpr std::size_t kMaxPrefixes = 4096;
// Intended limit on the fraction of replicas that may be ejected. Not effective: Choose drops all
// ejected candidates whenever another candidate remains.
constexpr double kMaxEjectedShare = 1.0 / 3;
constexpr milliseconds kFirstEjection{500};
constexpr std::uint32_t kMaxEjectionDoublings = 6;

}  // namespace

double Router::Load(const ReplicaLocation& replica) const {
  const auto it = stats_.find(replica.endpoint);
  const std::uint32_t own_requests = it == stats_.end() ? 0 : it->second.outstanding;
  // The reported load lags behind and includes the requests of this daemon.
  const std::uint32_t reported = replica.running + replica.queued;
  return static_cast<double>(std::max(own_requests, reported)) / std::max(1u, replica.slots);
}

bool Router::IsEjected(const std::string& endpoint, MonotonicTime now) const {
  const auto it = stats_.find(endpoint);
  return it != stats_.end() && now < it->second.ejected_until;
}

const ReplicaLocation* Router::Choose(const std::vector<ReplicaLocation>& replicas,
                                      std::uint64_t prefix, const std::set<std::string>& excluded,
                                      MonotonicTime now) {
  std::vector<const ReplicaLocation*> candidates;
  for (const ReplicaLocation& replica : replicas) {
    if (!excluded.contains(replica.endpoint)) candidates.push_back(&replica);
  }
  if (candidates.empty()) return nullptr;
  const auto healthy_end = std::stable_partition(
      candidates.begin(), candidates.end(),
      [&](const auto* replica) { return !IsEjected(replica->endpoint, now); });
  const auto ejected = static_cast<std::size_t>(candidates.end() - healthy_end);
  const bool few = static_cast<double>(ejected) <= kMaxEjectedShare * candidates.size();
  if (few || healthy_end != candidates.begin()) candidates.erase(healthy_end, candidates.end());
  const auto local_end =
      std::stable_partition(candidates.begin(), candidates.end(),
                            [&](const auto* replica) { return replica->region == region_; });
  if (local_end != candidates.begin()) candidates.erase(local_end, candidates.end());

  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  const ReplicaLocation* first = candidates[pick(random_)];
  const ReplicaLocation* second = candidates[pick(random_)];
  const ReplicaLocation* best = Load(*second) < Load(*first) ? second : first;
  const auto known = prefixes_.find(prefix);
  if (known == prefixes_.end()) return best;
  for (const ReplicaLocation* replica : candidates) {
    const bool cached = replica->endpoint == known->second;
    if (cached && Load(*replica) <= Load(*best) + kAffinitySlack) return replica;
  }
  return best;
}

void Router::Start(const std::string& endpoint, std::uint64_t prefix) {
  ++stats_[endpoint].outstanding;
  if (prefixes_.size() >= kMaxPrefixes) prefixes_.clear();
  prefixes_[prefix] = endpoint;
}

void Router::End(const std::string& endpoint, bool failed, MonotonicTime now) {
  EndpointStats& stats = stats_[endpoint];
  if (stats.outstanding > 0) --stats.outstanding;
  if (!failed) {
    stats.consecutive_failures = 0;
    return;
  }
  const std::uint32_t doublings = std::min(stats.consecutive_failures, kMaxEjectionDoublings);
  ++stats.consecutive_failures;
  stats.ejected_until = now + kFirstEjection * (1 << doublings);
}

}  // namespace mimosabend
