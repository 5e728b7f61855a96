#include "endpoint_reach.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "digest.h"

namespace mimosabend {

namespace {

// One service is probed when no endpoint of any service has responded for this long. Leaves time
// for a confirmation within the users' contact time of 3 s.
constexpr milliseconds kQuietTime{1500};
// A failed attempt is no suspicion if another one was answered this recently.
constexpr milliseconds kRecentResponse{300};
// Shortest time between two rounds of probes at suspicion.
constexpr milliseconds kSuspicionPeriod{300};
constexpr milliseconds kReturnPeriod{250};
constexpr std::size_t kHeartbeatTargets = 1;
constexpr std::size_t kSuspicionTargets = 2;
constexpr std::size_t kConfirmationTargets = 8;
constexpr std::size_t kReturnTargets = 2;
// Rounds in a row that must reach an endpoint before requests are sent again.
constexpr int kRoundsToReturn = 2;
// Silent endpoints that make a partition.
constexpr std::size_t kMinSilentEndpoints = 2;

std::size_t Targets(ProbeKind kind) {
  switch (kind) {
    case ProbeKind::kHeartbeat:
      return kHeartbeatTargets;
    case ProbeKind::kSuspicion:
      return kSuspicionTargets;
    case ProbeKind::kConfirmation:
      return kConfirmationTargets;
    case ProbeKind::kReturn:
      return kReturnTargets;
  }
  return 0;
}

}  // namespace

void EndpointReach::SetServices(const std::map<std::string, std::size_t>& endpoints,
                                MonotonicTime now) {
  if (services_.empty()) heard_at_ = now;
  std::erase_if(services_, [&](const auto& item) { return !endpoints.contains(item.first); });
  for (const auto& [name, count] : endpoints) {
    const auto [it, added] = services_.try_emplace(name);
    it->second.endpoints = count;
    if (added) it->second.heard_at = now;
  }
}

void EndpointReach::RecordResponse(const std::string& service, MonotonicTime now) {
  const auto it = services_.find(service);
  if (it == services_.end()) return;
  it->second.heard_at = now;
  heard_at_ = now;
}

bool EndpointReach::RecordFailure(const std::string& service, bool unreachable, MonotonicTime now) {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  Service& found = it->second;
  if (found.silent > 0 || found.suspected) return false;
  if (!unreachable && now - found.heard_at < kRecentResponse) return false;
  found.suspected = true;
  return !found.probing;
}

ProbeRound EndpointReach::Begin(const std::string& name, Service* service, ProbeKind kind) {
  service->probing = true;
  return {name, kind, std::min(service->endpoints, Targets(kind))};
}

std::vector<ProbeRound> EndpointReach::BeginProbes(MonotonicTime now) {
  std::vector<ProbeRound> rounds;
  std::pair<const std::string, Service>* quietest = nullptr;
  for (auto& item : services_) {
    auto& [name, service] = item;
    if (service.probing || service.endpoints == 0) continue;
    const auto since_probe = now - service.probed_at;
    if (service.silent > 0) {
      if (since_probe < kReturnPeriod) continue;
      rounds.push_back(Begin(name, &service, ProbeKind::kReturn));
    } else if (service.confirming) {
      rounds.push_back(Begin(name, &service, ProbeKind::kConfirmation));
    } else if (service.suspected) {
      if (since_probe < kSuspicionPeriod) continue;
      rounds.push_back(Begin(name, &service, ProbeKind::kSuspicion));
    } else {
      const bool quieter = quietest == nullptr || service.heard_at < quietest->second.heard_at;
      if (quieter) quietest = &item;
    }
  }
  if (quietest != nullptr && now - std::max(heard_at_, heartbeat_at_) >= kQuietTime) {
    heartbeat_at_ = now;
    rounds.push_back(Begin(quietest->first, &quietest->second, ProbeKind::kHeartbeat));
  }
  return rounds;
}

void EndpointReach::RecordProbes(const ProbeRound& round, std::size_t probed, std::size_t reached,
                                 MonotonicTime now) {
  assert(reached <= probed);
  const auto it = services_.find(round.service);
  if (it == services_.end()) return;
  Service& service = it->second;
  service.probing = false;
  service.probed_at = now;
  if (reached > 0) {
    service.heard_at = now;
    heard_at_ = now;
    service.suspected = false;
    service.confirming = false;
    if (service.silent > 0 && ++service.returns >= kRoundsToReturn) service.silent = 0;
    return;
  }
  service.returns = 0;
  if (probed == 0 || service.silent > 0) return;
  if (round.kind == ProbeKind::kHeartbeat) {
    // A second look, without delay.
    service.suspected = true;
    service.probed_at = now - kSuspicionPeriod;
    return;
  }
  const bool all = round.kind == ProbeKind::kConfirmation || probed >= service.endpoints;
  service.confirming = !all;
  if (!all) return;
  service.suspected = false;
  service.silent = probed;
  // The others are probably silent, too.
  for (auto& [name, other] : services_) {
    if (other.silent == 0) other.confirming = true;
  }
}

std::size_t EndpointReach::SilentServices() const {
  return static_cast<std::size_t>(std::count_if(
      services_.begin(), services_.end(), [](const auto& item) { return item.second.silent > 0; }));
}

bool EndpointReach::IsCutOff(const Service& service) const {
  if (service.silent == 0) return false;
  return service.silent >= kMinSilentEndpoints || SilentServices() >= kMinSilentEndpoints;
}

bool EndpointReach::IsCutOff(const std::string& service) const {
  const auto it = services_.find(service);
  return it != services_.end() && IsCutOff(it->second);
}

bool EndpointReach::MayBeCutOff(const std::string& service) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  return it->second.suspected || it->second.confirming || IsCutOff(it->second);
}

std::vector<std::string> EndpointReach::CutOffServices() const {
  std::vector<std::string> names;
  for (const auto& [name, service] : services_) {
    if (IsCutOff(service)) names.push_back(name);
  }
  return names;
}

bool EndpointReach::IsCutOffFromAll() const {
  return !services_.empty() &&
         std::all_of(services_.begin(), services_.end(),
                     [this](const auto& item) { return IsCutOff(item.second); });
}

std::vector<FleetEndpoint> ChooseProbeTargets(std::vector<FleetEndpoint> endpoints,
                                              std::size_t count, std::uint64_t seed) {
  struct Candidate {
    std::size_t place_in_domain = 0;
    std::uint64_t hash = 0;
    FleetEndpoint endpoint;
  };
  std::vector<Candidate> candidates;
  for (FleetEndpoint& endpoint : endpoints) {
    const std::uint64_t hash = Hash64(endpoint.id, seed);
    candidates.push_back({0, hash, std::move(endpoint)});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.hash < b.hash; });
  std::map<std::string, std::size_t> in_domain;
  for (Candidate& candidate : candidates) {
    candidate.place_in_domain = in_domain[candidate.endpoint.failure_domain]++;
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.place_in_domain < b.place_in_domain; });
  std::vector<FleetEndpoint> targets;
  for (std::size_t i = 0; i < std::min(count, candidates.size()); ++i) {
    targets.push_back(std::move(candidates[i].endpoint));
  }
  return targets;
}

}  // namespace mimosabend
