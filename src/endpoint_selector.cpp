#include "endpoint_selector.h"

#include <algorithm>
#include <limits>

#include "digest.h"

namespace mimosabend {

namespace {

// Round trip to another region.
constexpr double kCrossRegionMillis = 16;
// Duration of a batch step of an idle engine, and what each running request adds.
constexpr double kBatchStepMillis = 5;
constexpr double kBatchStepMillisPerRequest = 0.4;
// Time to load an adapter that the engine lacks.
constexpr double kAdapterLoadMillis = 60;
// Penalty if the engine lacks the slots or the cache for one more request: it would have to preempt
// running ones.
constexpr double kPreemptionMillis = 2000;
// Part of a shared prompt prefix that is assumed to be cached at the engine preferred for it. All
// daemons prefer the same engine, so it has probably processed the prefix for another daemon.
constexpr double kPreferredCachedPart = 0.5;
// Assumed service time of a request without a model.
constexpr double kPlainServiceMillis = 20;
// Random delay added to each estimate, so that daemons with the same data don't all choose the same
// endpoint.
constexpr double kMaxJitterMillis = 4;

// The endpoint with the highest rendezvous hash for a key, which is the same for all daemons;
// nullptr if `entries` is empty.
const DirectoryEntry* Preferred(const std::vector<const DirectoryEntry*>& entries,
                                std::uint64_t key) {
  const auto score = [&](const DirectoryEntry* entry) { return Hash64(entry->endpoint.id, key); };
  const auto best =
      std::max_element(entries.begin(), entries.end(),
                       [&](const auto* a, const auto* b) { return score(a) < score(b); });
  return best == entries.end() ? nullptr : *best;
}

}  // namespace

bool EndpointSelector::IsCandidate(const DirectoryEntry& entry,
                                   const std::set<std::string>& excluded, const std::string& model,
                                   MonotonicTime now) const {
  const std::string& id = entry.endpoint.id;
  if (excluded.contains(id) || stats_->BackoffUntil(id, now)) return false;
  if (model.empty()) return true;
  // The model can be loaded on another engine, so an ejected engine isn't used even as the last
  // one.
  return entry.Holds(model) && !stats_->IsEjected(id, now);
}

std::vector<const DirectoryEntry*> EndpointSelector::Candidates(
    const std::string& service, const std::set<std::string>& excluded, const std::string& model,
    MonotonicTime now, std::uint64_t spread_key) const {
  std::vector<const DirectoryEntry*> healthy;
  std::vector<const DirectoryEntry*> others;
  for (const DirectoryEntry* entry : directory_->OfService(service, now)) {
    if (!IsCandidate(*entry, excluded, model, now)) continue;
    const bool usable = directory_->UsabilityOf(*entry, now) == Usability::kUsable;
    const bool ejected = stats_->IsEjected(entry->endpoint.id, now);
    (usable && !ejected ? healthy : others).push_back(entry);
  }
  std::vector<const DirectoryEntry*>& found = healthy.empty() ? others : healthy;
  if (spread_key != 0 && found.size() > 1) found = {Preferred(found, spread_key)};
  return std::move(found);
}

double EndpointSelector::NetworkMillis(const FleetEndpoint& endpoint) const {
  const auto region = locality_.regions.find(endpoint.failure_domain);
  const bool same_region = region != locality_.regions.end() && region->second == locality_.region;
  return same_region ? 0 : kCrossRegionMillis;
}

double EndpointSelector::Jitter(double millis) {
  return std::uniform_real_distribution<double>(0, millis)(random_);
}

bool EndpointSelector::HasEngine(const std::string& service, const std::string& model,
                                 const std::set<std::string>& excluded, MonotonicTime now) const {
  const auto& entries = directory_->entries();
  return std::any_of(entries.begin(), entries.end(), [&](const auto& item) {
    const DirectoryEntry& entry = item.second;
    return entry.endpoint.service == service && IsCandidate(entry, excluded, model, now) &&
           directory_->UsabilityOf(entry, now) != Usability::kUnusable;
  });
}

std::optional<MonotonicTime> EndpointSelector::BackoffUntil(const std::string& service,
                                                            const std::string& model,
                                                            MonotonicTime now) const {
  std::optional<MonotonicTime> earliest;
  for (const DirectoryEntry* entry : directory_->OfService(service, now)) {
    if (!model.empty() && !entry->Holds(model)) continue;
    const auto until = stats_->BackoffUntil(entry->endpoint.id, now);
    if (until && (!earliest || *until < *earliest)) earliest = until;
  }
  return earliest;
}

std::optional<EndpointChoice> EndpointSelector::ChoosePlain(const std::string& service,
                                                            const std::set<std::string>& excluded,
                                                            MonotonicTime now,
                                                            std::uint64_t spread_key) {
  std::optional<EndpointChoice> best;
  for (const DirectoryEntry* entry : Candidates(service, excluded, "", now, spread_key)) {
    const FleetEndpoint& endpoint = entry->endpoint;
    const EndpointWork work = stats_->Work(endpoint.id, now);
    const double utilization = static_cast<double>(work.requests) / endpoint.slots;
    const double failure_penalty = stats_->FailureRate(endpoint.id) * kPlainServiceMillis;
    const double millis = NetworkMillis(endpoint) +
                          kPlainServiceMillis * (1 + utilization * utilization) + failure_penalty +
                          Jitter(kMaxJitterMillis);
    if (best && best->expected_ms <= millis) continue;
    best = EndpointChoice{endpoint, millis, 0, true, work.requests};
  }
  return best;
}

std::optional<EndpointChoice> EndpointSelector::ChooseEngine(
    const std::string& service, const EngineProfile& profile, const RelayRequest& request,
    const std::vector<std::uint64_t>& hashes, const std::set<std::string>& excluded,
    MonotonicTime now, std::uint64_t spread_key) {
  const auto candidates = Candidates(service, excluded, request.model, now, spread_key);
  // The last part of a prompt is specific to the request; all parts before it form the longest
  // prefix that other requests can share.
  const std::size_t shared_parts = hashes.empty() ? 0 : hashes.size() - 1;
  const std::uint64_t key = shared_parts == 0 ? Hash64(request.adapter) : hashes[shared_parts - 1];
  std::uint32_t shared_tokens = 0;
  for (std::size_t i = 0; i < shared_parts; ++i) shared_tokens += request.prompt[i].tokens;
  const DirectoryEntry* preferred = Preferred(candidates, key);
  std::optional<EndpointChoice> best;
  double best_millis = std::numeric_limits<double>::max();
  for (const DirectoryEntry* entry : candidates) {
    const FleetEndpoint& endpoint = entry->endpoint;
    const EndpointWork work = stats_->Work(endpoint.id, now);
    const double millis_per_token = stats_->PrefillMillisPerToken(endpoint.id, request.model);
    const std::uint32_t cached = prefixes_->CachedTokens(endpoint.id, hashes, request.prompt);
    const std::uint32_t prefill = request.prompt_tokens - std::min(request.prompt_tokens, cached);
    EndpointChoice choice{endpoint, 0, prefill, true, work.requests};
    choice.has_adapter =
        request.adapter.empty() || entry->HoldsAdapter(request.model, request.adapter);
    const double batch = 1 + static_cast<double>(work.requests) / profile.slots;
    choice.expected_ms =
        NetworkMillis(endpoint) + kBatchStepMillis + kBatchStepMillisPerRequest * work.requests +
        millis_per_token * batch * static_cast<double>(work.prefill_tokens + prefill) +
        (choice.has_adapter ? 0 : kAdapterLoadMillis);
    double millis = choice.expected_ms + Jitter(kMaxJitterMillis);
    const bool overcommitted =
        work.requests >= endpoint.slots ||
        work.memory_tokens + request.prompt_tokens + request.max_output_tokens >
            profile.cache_tokens;
    if (overcommitted) millis += kPreemptionMillis;
    if (entry == preferred && cached < shared_tokens) {
      millis -= kPreferredCachedPart * millis_per_token * (shared_tokens - cached);
    }
    if (millis >= best_millis) continue;
    best_millis = millis;
    best = std::move(choice);
  }
  return best;
}

}  // namespace mimosabend
