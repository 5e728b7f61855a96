#include "directory_log.h"

#include <algorithm>
#include <cassert>

#include "digest.h"

namespace mimosabend {

std::uint32_t EndpointNumber(const std::string& id, std::int64_t started_ms) {
  return static_cast<std::uint32_t>(Hash64(id, static_cast<std::uint64_t>(started_ms)));
}

FleetEndpoint ToEndpoint(const EndpointRecord& change) {
  assert(!change.gone);
  FleetEndpoint endpoint;
  endpoint.id = change.id;
  endpoint.service = change.service;
  endpoint.address = change.address;
  endpoint.failure_domain = change.failure_domain;
  endpoint.slots = change.slots;
  endpoint.state = change.state;
  endpoint.started_ms = change.started_ms;
  return endpoint;
}

void DirectoryLog::SetEntry(EndpointRecord change) {
  const auto known = entries_.find(change.id);
  if (known != entries_.end()) {
    ids_.erase(EndpointNumber(change.id, known->second.started_ms));
  }
  ids_[EndpointNumber(change.id, change.started_ms)] = change.id;
  entries_[change.id] = std::move(change);
}

void DirectoryLog::Put(const FleetEndpoint& endpoint, std::uint64_t revision) {
  const auto known = entries_.find(endpoint.id);
  if (known != entries_.end() && known->second.revision > revision) return;
  SetEntry({endpoint.id, revision, false, endpoint.service, endpoint.address,
            endpoint.failure_domain, endpoint.slots, endpoint.state, endpoint.started_ms});
}

void DirectoryLog::Remove(const std::string& id, std::uint64_t revision) {
  const auto known = entries_.find(id);
  if (known == entries_.end() || known->second.gone || known->second.revision > revision) return;
  EndpointRecord change = known->second;
  change.gone = true;
  change.revision = revision;
  SetEntry(std::move(change));
}

void DirectoryLog::KeepOnly(const std::set<std::string>& ids, std::uint64_t revision) {
  std::vector<std::string> missing;
  for (const auto& [id, change] : entries_) {
    if (!ids.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) Remove(id, revision);
  snapshot_revision_ = std::max(snapshot_revision_, revision);
}

void DirectoryLog::Advance(std::uint64_t revision) { revision_ = std::max(revision_, revision); }

std::vector<EndpointRecord> DirectoryLog::Merge(const DirectoryChanges& changes) {
  std::vector<EndpointRecord> merged;
  if (changes.revision <= revision_) return merged;
  std::set<std::string> listed;
  for (std::uint32_t number : changes.unchanged) {
    const auto known = ids_.find(number);
    if (known != ids_.end()) listed.insert(known->second);
  }
  for (const EndpointRecord& change : changes.changes) {
    listed.insert(change.id);
    const auto known = entries_.find(change.id);
    if (known != entries_.end() && known->second.revision >= change.revision) continue;
    SetEntry(change);
    merged.push_back(change);
  }
  if (changes.is_snapshot) {
    for (const auto& [id, entry] : entries_) {
      if (entry.gone || listed.contains(id) || entry.revision > changes.revision) continue;
      merged.push_back(entry);
      merged.back().gone = true;
      merged.back().revision = changes.revision;
    }
    for (const EndpointRecord& change : merged) {
      if (change.gone) SetEntry(change);
    }
    snapshot_revision_ = changes.revision;
  }
  revision_ = changes.revision;
  return merged;
}

DirectoryChanges DirectoryLog::Since(std::uint64_t revision) const {
  DirectoryChanges since{revision_, revision == 0 || revision < snapshot_revision_, {}, {}};
  if (revision >= revision_) return since;
  for (const auto& [id, change] : entries_) {
    const bool changed = change.revision > revision;
    if (changed && !(since.is_snapshot && change.gone)) since.changes.push_back(change);
    // The full record is needed only by a daemon that has none.
    if (since.is_snapshot && !changed && !change.gone) {
      since.unchanged.push_back(EndpointNumber(id, change.started_ms));
    }
  }
  return since;
}

const EndpointRecord* DirectoryLog::FindNumber(std::uint32_t number) const {
  const auto it = ids_.find(number);
  if (it == ids_.end()) return nullptr;
  const EndpointRecord& change = entries_.at(it->second);
  return change.gone ? nullptr : &change;
}

std::optional<std::uint32_t> DirectoryLog::NumberOf(const std::string& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.gone) return std::nullopt;
  return EndpointNumber(id, it->second.started_ms);
}

}  // namespace mimosabend
