#ifndef MIMOSABEND_DIRECTORY_LOG_H_
#define MIMOSABEND_DIRECTORY_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "codec.h"
#include "fleet_endpoint.h"

namespace mimosabend {

// Number that identifies one incarnation of an endpoint in messages between daemons. It is a hash,
// so that all daemons use the same number without having to agree on it. Thread-safe.
std::uint32_t EndpointNumber(const std::string& id, std::int64_t started_ms);

// An endpoint's entry as written at a revision of the store, without the holdings, or its deletion
// (`gone`).
struct EndpointRecord {
  std::string id;
  std::uint64_t revision = 0;
  bool gone = false;
  std::string service;
  Address address;
  std::string failure_domain;
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kReady;
  std::int64_t started_ms = 0;

  auto operator<=>(const EndpointRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, id);
    SerializeName(archive, service);
    SerializeName(archive, address.ip);
    SerializeName(archive, failure_domain);
    SerializeEnum(archive, state, 2);
    SerializeFlag(archive, gone);
    archive(revision, address.port, slots, started_ms);
  }
};

// Returns the endpoint that a change describes. Precondition: it is not gone. Thread-safe.
FleetEndpoint ToEndpoint(const EndpointRecord& change);

// Changes of the directory up to a revision of the store.
struct DirectoryChanges {
  std::uint64_t revision = 0;
  // Lists all endpoints (a snapshot instead of a delta): others are gone.
  bool is_snapshot = false;
  std::vector<EndpointRecord> changes;
  // In a snapshot: numbers of the registered endpoints that the receiver already has.
  std::vector<std::uint32_t> unchanged;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision);
    SerializeFlag(archive, is_snapshot);
    SerializeList(archive, changes);
    SerializeNumbers(archive, unchanged);
  }
};

// The registered endpoints with the revisions of the store at which they were last changed. Daemons
// exchange snapshots and deltas of it; older revisions never replace newer ones. Not thread-safe.
class DirectoryLog {
 public:
  // An entry was written at a revision. Ignored if a later change is known.
  void Put(const FleetEndpoint& endpoint, std::uint64_t revision);
  // An entry was found to be deleted at a revision. Ignored if a later change is known.
  void Remove(const std::string& id, std::uint64_t revision);
  // Exactly these entries exist at a revision.
  void KeepOnly(const std::set<std::string>& ids, std::uint64_t revision);
  // All changes up to a revision have been added.
  void Advance(std::uint64_t revision);

  // Merges the changes of another daemon. Returns those that were new.
  std::vector<EndpointRecord> Merge(const DirectoryChanges& changes);

  // All changes up to this revision are known; 0 if none.
  std::uint64_t revision() const { return revision_; }

  // The changes after `revision`, for a daemon that knows all changes up to it; a snapshot if it
  // is 0 or older than the last snapshot that this log was read from, since the log lacks deletions
  // before that one.
  DirectoryChanges Since(std::uint64_t revision) const;

  // Whether a number belongs to the latest known incarnation of an id, registered or gone.
  bool KnowsNumber(std::uint32_t number) const { return ids_.contains(number); }
  // The incarnation with a number; nullptr if it is not registered.
  const EndpointRecord* FindNumber(std::uint32_t number) const;
  // The number of a registered endpoint; std::nullopt if it is not registered.
  std::optional<std::uint32_t> NumberOf(const std::string& id) const;

 private:
  void SetEntry(EndpointRecord change);

  std::uint64_t revision_ = 0;
  // Revision of the last snapshot. All changes since then are in `entries_`.
  std::uint64_t snapshot_revision_ = 0;
  std::map<std::string, EndpointRecord> entries_;
  std::map<std::uint32_t, std::string> ids_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_DIRECTORY_LOG_H_
