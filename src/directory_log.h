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
#include "store_era.h"

namespace mimosabend {

// Number that identifies one incarnation of an endpoint in messages between daemons. It is a hash,
// so that all daemons use the same number without having to agree on it. Thread-safe.
std::uint32_t EndpointNumber(const std::string& id, std::int64_t started_ms);

// An endpoint's entry as written at a revision of the store, without the holdings, or its deletion
// (`gone`).
struct EndpointRecord {
  std::string id;
  StoreRevision revision;
  bool gone = false;
  std::string service;
  Address address;
  std::string failure_domain;
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kReady;
  std::int64_t started_ms = 0;
  // The entry may stem from the copy that the store was restored from, and not from a write in the
  // era of `revision`.
  bool restored = false;
  // The last known write of the entry; differs from `revision` if that is the deletion.
  StoreRevision written{};
  std::string software{};

  auto operator<=>(const EndpointRecord&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, id);
    SerializeName(archive, service);
    SerializeName(archive, address.ip);
    SerializeName(archive, failure_domain);
    SerializeEnum(archive, state, 2);
    SerializeFlag(archive, gone);
    SerializeFlag(archive, restored);
    revision.serialize(archive);
    written.serialize(archive);
    archive(address.port, slots, started_ms);
    SerializeName(archive, software);
  }
};

// Returns the endpoint that a change describes. Precondition: it is not gone. Thread-safe.
FleetEndpoint ToEndpoint(const EndpointRecord& change);

// Changes of the directory up to a revision of the store.
struct DirectoryChanges {
  StoreRevision revision;
  // Lists all endpoints (a snapshot instead of a delta): others are gone.
  bool is_snapshot = false;
  std::vector<EndpointRecord> changes;
  // In a snapshot: numbers of the registered endpoints that the receiver already has.
  std::vector<std::uint32_t> unchanged;
  // See DirectoryLog::Left. Complete in deltas, too.
  std::vector<std::uint32_t> left;

  template <class Archive>
  void serialize(Archive& archive) {
    revision.serialize(archive);
    SerializeFlag(archive, is_snapshot);
    SerializeList(archive, changes);
    SerializeNumbers(archive, unchanged);
    SerializeNumbers(archive, left);
  }
};

// The registered endpoints with the revisions of the store at which they were last changed. Daemons
// exchange snapshots and deltas of it; older revisions never replace newer ones. When the store was
// restored from an older copy, its entries replace the known ones, but an incarnation that is known
// to be draining or gone does not become ready because the copy shows it so. Not thread-safe.
class DirectoryLog {
 public:
  // An entry was written at a revision. Ignored if a later change is known. Returns the state in
  // which the endpoint is to be used; std::nullopt if it is known to have left before the store was
  // restored.
  std::optional<EndpointState> Put(const FleetEndpoint& endpoint, StoreRevision revision);
  // An entry was found to be deleted at a revision. Ignored if a later change is known.
  void Remove(const std::string& id, StoreRevision revision);
  // Exactly these entries exist at a revision.
  void KeepOnly(const std::set<std::string>& ids, StoreRevision revision);
  // All changes up to a revision have been added.
  void Advance(StoreRevision revision);

  // Merges the changes of another daemon. Returns those that were new, as they are to be used.
  // Changes of an older era are ignored; those of a newer one are merged if they are a snapshot.
  std::vector<EndpointRecord> Merge(const DirectoryChanges& changes);

  // Numbers of the endpoints that are in the store only because it was restored from an older copy:
  // they are known to be draining or gone.
  std::vector<std::uint32_t> Left() const;
  // Adopts what Left returned at another daemon, whose directory has an era. This daemon may have
  // missed that the endpoints left, for example because it was started later. Returns the entries
  // that are to be used as draining.
  std::vector<EndpointRecord> MergeLeft(const std::vector<std::uint32_t>& numbers,
                                        std::uint32_t era);

  // All changes up to this revision are known; the default value if none.
  StoreRevision revision() const { return revision_; }

  // The changes after `revision`, for a daemon that knows all changes up to it; a snapshot if it
  // is the default value or older than the last snapshot that this log was read from, since the log
  // lacks deletions before that one.
  DirectoryChanges Since(StoreRevision revision) const;

  // Whether a number belongs to the latest known incarnation of an id, registered or gone.
  bool KnowsNumber(std::uint32_t number) const { return ids_.contains(number); }
  // The incarnation with a number; nullptr if it is not registered.
  const EndpointRecord* FindNumber(std::uint32_t number) const;
  // The number of a registered endpoint; std::nullopt if it is not registered.
  std::optional<std::uint32_t> NumberOf(const std::string& id) const;

 private:
  void SetEntry(EndpointRecord change);
  void SetRevision(StoreRevision revision);
  bool MayBeRestored(StoreRevision revision) const;
  EndpointRecord Reconcile(EndpointRecord change) const;
  std::vector<EndpointRecord> MergeContents(const DirectoryChanges& changes);

  StoreRevision revision_;
  // The first revision of the present era up to which all changes were known. Later entries were
  // written in this era.
  StoreRevision era_start_;
  // Revision of the last snapshot. All changes since then are in `entries_`.
  StoreRevision snapshot_revision_;
  std::map<std::string, EndpointRecord> entries_;
  std::map<std::uint32_t, std::string> ids_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_DIRECTORY_LOG_H_
