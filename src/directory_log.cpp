#include "directory_log.h"

#include <algorithm>
#include <cassert>
#include <iterator>

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
  endpoint.software = change.software;
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

void DirectoryLog::SetRevision(StoreRevision revision) {
  if (revision.era > revision_.era) era_start_ = revision;
  revision_ = revision;
}

// Whether the entry at a revision may have been written before the store was restored.
bool DirectoryLog::MayBeRestored(StoreRevision revision) const {
  if (revision.era == 0) return false;
  return revision.era > revision_.era || revision <= era_start_;
}

// Returns a change with what is known of its endpoint from before the store was restored.
EndpointRecord DirectoryLog::Reconcile(EndpointRecord change) const {
  const auto it = entries_.find(change.id);
  if (it == entries_.end() || change.gone) return change;
  const EndpointRecord& known = it->second;
  // The copy is a part of the former era's history, which has no later write of the entry than the
  // known one. A later revision can only be a write in the new era.
  if (change.revision.era == known.written.era + 1 &&
      change.revision.revision > known.written.revision) {
    change.restored = false;
  }
  const bool ended =
      change.started_ms < known.started_ms || (change.started_ms == known.started_ms && known.gone);
  if (change.restored && ended) {
    change.gone = true;
    return change;
  }
  const bool drains = change.started_ms == known.started_ms && !known.gone &&
                      known.state == EndpointState::kDraining;
  const bool carried = change.restored || change.revision.era > known.revision.era;
  if (drains && carried) change.state = EndpointState::kDraining;
  return change;
}

std::optional<EndpointState> DirectoryLog::Put(const FleetEndpoint& endpoint,
                                               StoreRevision revision) {
  const auto known = entries_.find(endpoint.id);
  if (known != entries_.end() && known->second.revision > revision) return endpoint.state;
  const EndpointRecord entry =
      Reconcile({endpoint.id, revision, false, endpoint.service, endpoint.address,
                 endpoint.failure_domain, endpoint.slots, endpoint.state, endpoint.started_ms,
                 MayBeRestored(revision), revision, endpoint.software});
  SetEntry(entry);
  return entry.gone ? std::nullopt : std::optional(entry.state);
}

void DirectoryLog::Remove(const std::string& id, StoreRevision revision) {
  const auto known = entries_.find(id);
  if (known == entries_.end() || known->second.gone || known->second.revision > revision) return;
  EndpointRecord change = known->second;
  change.gone = true;
  change.restored = false;
  change.revision = revision;
  SetEntry(std::move(change));
}

void DirectoryLog::KeepOnly(const std::set<std::string>& ids, StoreRevision revision) {
  std::vector<std::string> missing;
  for (const auto& [id, change] : entries_) {
    if (!ids.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) Remove(id, revision);
  snapshot_revision_ = std::max(snapshot_revision_, revision);
}

void DirectoryLog::Advance(StoreRevision revision) { SetRevision(std::max(revision_, revision)); }

std::vector<EndpointRecord> DirectoryLog::Merge(const DirectoryChanges& changes) {
  std::vector<EndpointRecord> merged = MergeContents(changes);
  std::vector<EndpointRecord> left = MergeLeft(changes.left, changes.revision.era);
  std::move(left.begin(), left.end(), std::back_inserter(merged));
  return merged;
}

std::vector<EndpointRecord> DirectoryLog::MergeContents(const DirectoryChanges& changes) {
  std::vector<EndpointRecord> merged;
  if (changes.revision <= revision_) return merged;
  // A delta of a newer era would be based on contents that this log never had.
  if (changes.revision.era > revision_.era && !changes.is_snapshot) return merged;
  std::set<std::string> listed;
  for (std::uint32_t number : changes.unchanged) {
    const auto known = ids_.find(number);
    if (known != ids_.end()) listed.insert(known->second);
  }
  for (const EndpointRecord& change : changes.changes) {
    listed.insert(change.id);
    const auto known = entries_.find(change.id);
    if (known != entries_.end() && known->second.revision >= change.revision) continue;
    merged.push_back(Reconcile(change));
    SetEntry(merged.back());
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
  SetRevision(changes.revision);
  return merged;
}

std::vector<EndpointRecord> DirectoryLog::MergeLeft(const std::vector<std::uint32_t>& numbers,
                                                    std::uint32_t era) {
  std::vector<EndpointRecord> merged;
  if (era != revision_.era) return merged;
  for (std::uint32_t number : numbers) {
    const EndpointRecord* known = FindNumber(number);
    if (known == nullptr || !known->restored || known->state != EndpointState::kReady) continue;
    EndpointRecord change = *known;
    change.state = EndpointState::kDraining;
    merged.push_back(change);
    SetEntry(std::move(change));
  }
  return merged;
}

std::vector<std::uint32_t> DirectoryLog::Left() const {
  std::vector<std::uint32_t> numbers;
  for (const auto& [id, entry] : entries_) {
    const bool left = entry.gone || entry.state == EndpointState::kDraining;
    if (entry.restored && left) numbers.push_back(EndpointNumber(id, entry.started_ms));
  }
  return numbers;
}

DirectoryChanges DirectoryLog::Since(StoreRevision revision) const {
  const bool is_snapshot = !revision.exists() || revision < snapshot_revision_;
  DirectoryChanges since{revision_, is_snapshot, {}, {}, Left()};
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
