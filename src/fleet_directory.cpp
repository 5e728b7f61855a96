#include "fleet_directory.h"

#include <algorithm>

namespace mimosabend {

bool DirectoryEntry::HoldsAdapter(const std::string& model, const std::string& adapter) const {
  if (refused.contains(model + "/" + adapter)) return false;
  const HeldModel* held = holdings().Find(model);
  return held != nullptr &&
         std::find(held->adapters.begin(), held->adapters.end(), adapter) != held->adapters.end();
}

bool FleetDirectory::Adopt(FleetConfig config) {
  if (config_ != nullptr && config.version < config_->version) return false;
  config_ = std::make_shared<const FleetConfig>(std::move(config));
  return true;
}

void FleetDirectory::NotifyUnannouncedEnd(const DirectoryEntry& entry) const {
  const bool announced =
      entry.endpoint.state == EndpointState::kDraining || entry.announced_leaving;
  if (!announced) end_listener_(entry.endpoint);
}

// An endpoint at the address of others implies that these have ended.
void FleetDirectory::NotifyEndsAtAddress(const FleetEndpoint& endpoint) const {
  for (const auto& [id, entry] : entries_) {
    if (id != endpoint.id && entry.endpoint.address == endpoint.address)
      NotifyUnannouncedEnd(entry);
  }
}

bool FleetDirectory::Put(FleetEndpoint endpoint, MonotonicTime read_at) {
  const auto it = entries_.find(endpoint.id);
  const bool restarted =
      it != entries_.end() && (it->second.endpoint.started_ms != endpoint.started_ms ||
                               it->second.endpoint.address != endpoint.address);
  if (it == entries_.end() || restarted) {
    if (restarted) NotifyUnannouncedEnd(it->second);
    NotifyEndsAtAddress(endpoint);
    DirectoryEntry entry;
    entry.endpoint = std::move(endpoint);
    entry.read_at = read_at;
    entries_[entry.endpoint.id] = std::move(entry);
    return true;
  }
  it->second.endpoint = std::move(endpoint);
  it->second.read_at = std::max(it->second.read_at, read_at);
  it->second.missing_since.reset();
  it->second.refused.clear();
  return false;
}

void FleetDirectory::Remove(const std::string& id, MonotonicTime now, MissingCause cause) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return;
  // A draining endpoint has left as announced.
  if (it->second.endpoint.state == EndpointState::kDraining) {
    entries_.erase(it);
  } else if (!it->second.missing_since) {
    it->second.missing_since = now;
    it->second.missing_cause = cause;
  }
}

void FleetDirectory::KeepOnly(const std::set<std::string>& ids, MonotonicTime now,
                              MissingCause cause) {
  std::vector<std::string> missing;
  for (const auto& [id, entry] : entries_) {
    if (!ids.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) Remove(id, now, cause);
}

void FleetDirectory::PruneExpired(MonotonicTime now) {
  std::erase_if(entries_, [&](const auto& item) {
    const auto& since = item.second.missing_since;
    const bool gone = since && now - *since >= reappear_time_;
    const bool ended = item.second.missing_cause == MissingCause::kDeleted;
    if (gone && ended) NotifyUnannouncedEnd(item.second);
    return gone;
  });
  for (auto& [id, entry] : entries_) {
    std::erase_if(entry.refused,
                  [&](const auto& item) { return now - item.second >= kRefusedLifetime; });
    const bool old = entry.leader_holdings &&
                     now - entry.leader_holdings->confirmed_at > kLeaderHoldingsLifetime;
    if (old && entry.read_at > entry.leader_holdings->confirmed_at) entry.leader_holdings.reset();
  }
}

void FleetDirectory::SetLeaderHoldings(const std::string& id, std::int64_t started_ms,
                                       const EngineHoldings& holdings, MonotonicTime now) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.endpoint.started_ms != started_ms) return;
  it->second.leader_holdings = LeaderHoldings{holdings, started_ms, now};
  it->second.refused.clear();
}

void FleetDirectory::ConfirmLeaderHoldings(MonotonicTime at) {
  for (auto& [id, entry] : entries_) {
    if (entry.leader_holdings)
      entry.leader_holdings->confirmed_at = std::max(entry.leader_holdings->confirmed_at, at);
  }
}

void FleetDirectory::RecordRefusal(const std::string& id, const std::string& held,
                                   MonotonicTime now) {
  const auto it = entries_.find(id);
  if (it != entries_.end()) it->second.refused[held] = now;
}

bool FleetDirectory::MarkLeaving(const std::string& id, std::int64_t started_ms) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.endpoint.started_ms != started_ms) return false;
  if (it->second.announced_leaving) return false;
  it->second.announced_leaving = true;
  return true;
}

std::vector<std::string> FleetDirectory::Leaving() const {
  std::vector<std::string> leaving;
  for (const auto& [id, entry] : entries_) {
    if (entry.announced_leaving) leaving.push_back(id);
  }
  return leaving;
}

bool FleetDirectory::IsExpectedToStay(const std::string& id, std::int64_t started_ms) const {
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.endpoint.started_ms != started_ms) return false;
  const DirectoryEntry& entry = it->second;
  return entry.endpoint.state == EndpointState::kReady && !entry.announced_leaving &&
         !entry.missing_since;
}

Usability FleetDirectory::UsabilityOf(const DirectoryEntry& entry, MonotonicTime now) const {
  if (entry.endpoint.state == EndpointState::kDraining || entry.announced_leaving) {
    return Usability::kUnusable;
  }
  if (!entry.missing_since) return Usability::kUsable;
  return now - *entry.missing_since < reappear_time_ ? Usability::kLastResort
                                                     : Usability::kUnusable;
}

const DirectoryEntry* FleetDirectory::Find(const std::string& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<const DirectoryEntry*> FleetDirectory::OfService(const std::string& service,
                                                             MonotonicTime now) const {
  std::vector<const DirectoryEntry*> found;
  for (const auto& [id, entry] : entries_) {
    if (entry.endpoint.service != service) continue;
    if (UsabilityOf(entry, now) != Usability::kUnusable) found.push_back(&entry);
  }
  return found;
}

}  // namespace mimosabend
