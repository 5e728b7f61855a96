#include "relay_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace mimosabend {

namespace {

// In a smaller fleet, all daemons report directly to the leader.
constexpr std::size_t kMinFleetToRelay = 24;
// While daemons report through relays, a domain with fewer than this minus one live daemons, not
// counting the leader, has no relay.
constexpr std::size_t kMinDomainToRelay = 4;
// The second relay takes over if the first one fails.
constexpr std::size_t kRelaysPerDomain = 2;
// A daemon that has not reported for this long is considered gone.
constexpr milliseconds kReportTimeout{2500};
// Link capacity that a relay can use per core.
constexpr double kMbpsPerCore = 400;

}  // namespace

const std::vector<Address>* RelayPlan::Find(const std::string& failure_domain) const {
  for (const DomainRelays& domain : domains) {
    if (domain.failure_domain == failure_domain) return &domain.relays;
  }
  return nullptr;
}

bool RelayPlan::Contains(const Address& daemon) const {
  return std::any_of(domains.begin(), domains.end(), [&](const DomainRelays& domain) {
    return std::find(domain.relays.begin(), domain.relays.end(), daemon) != domain.relays.end();
  });
}

std::uint32_t HostCapacity(double cores, double link_mbps) {
  const double capacity = std::min(cores * kMbpsPerCore, link_mbps);
  return static_cast<std::uint32_t>(std::clamp(std::lround(capacity), 1L, 1000000L));
}

RelayPlanner::RelayPlanner(Address leader, RelayPlan plan, std::uint64_t versions_after)
    : leader_(std::move(leader)), plan_(std::move(plan)) {
  plan_.version = std::max(plan_.version, versions_after);
}

void RelayPlanner::RecordReport(const DaemonInfo& daemon, MonotonicTime now) {
  daemons_[daemon.address] = {daemon, now};
}

bool RelayPlanner::IsLive(const Daemon& daemon, MonotonicTime now) const {
  return now - daemon.last_report < kReportTimeout;
}

std::vector<DaemonInfo> RelayPlanner::LiveDaemons(MonotonicTime now) const {
  std::vector<DaemonInfo> live;
  for (const auto& [address, daemon] : daemons_) {
    if (IsLive(daemon, now)) live.push_back(daemon.info);
  }
  return live;
}

std::vector<Address> RelayPlanner::Choose(const std::string& domain,
                                          const std::vector<Address>& current, bool relaying,
                                          MonotonicTime now) const {
  std::vector<const Daemon*> candidates;
  for (const auto& [address, daemon] : daemons_) {
    if (daemon.info.failure_domain != domain || !IsLive(daemon, now)) continue;
    if (address != leader_) candidates.push_back(&daemon);
  }
  if (relaying && candidates.size() + 1 < kMinDomainToRelay) return {};
  const auto rank = [&](const Daemon* daemon) {
    return std::find(current.begin(), current.end(), daemon->info.address) - current.begin();
  };
  std::stable_sort(candidates.begin(), candidates.end(), [&](const Daemon* a, const Daemon* b) {
    if (rank(a) != rank(b)) return rank(a) < rank(b);
    return a->info.capacity > b->info.capacity;
  });
  std::vector<Address> chosen;
  for (const Daemon* daemon : candidates) {
    if (chosen.size() < kRelaysPerDomain) chosen.push_back(daemon->info.address);
  }
  return chosen;
}

void RelayPlanner::Update(MonotonicTime now) {
  std::set<std::string> names;
  live_daemons_ = 0;
  for (const auto& [address, daemon] : daemons_) {
    if (!IsLive(daemon, now)) continue;
    ++live_daemons_;
    names.insert(daemon.info.failure_domain);
  }
  const bool relaying = live_daemons_ >= kMinFleetToRelay;
  std::vector<DomainRelays> domains;
  for (const std::string& name : names) {
    const std::vector<Address>* current = plan_.Find(name);
    std::vector<Address> relays =
        Choose(name, current == nullptr ? std::vector<Address>() : *current, relaying, now);
    if (!relays.empty()) domains.push_back({name, std::move(relays)});
  }
  if (domains == plan_.domains && relaying == plan_.relaying) return;
  plan_.domains = std::move(domains);
  plan_.relaying = relaying;
  ++plan_.version;
}

}  // namespace mimosabend
