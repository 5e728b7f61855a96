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

// Stands for one incarnation of an endpoint in messages between daemons: a hash, so that all
// daemons use the same number without having to agree on it. Thread-safe.
std::uint32_t EndpointNumber(const std::string& id, std::int64_t started_ms);

// An endpoint's entry as it was written at a revision of the store, or its end, without what the
// endpoint holds.
struct EndpointChange {
  std::string id;
  std::uint64_t revision = 0;
  bool gone = false;
  std::string service;
  Address address;
  std::string failure_domain;
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kReady;
  std::int64_t started_ms = 0;

  auto operator<=>(const EndpointChange&) const = default;

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

// The endpoint that a change describes. Precondition: it is not gone. Thread-safe.
FleetEndpoint ToEndpoint(const EndpointChange& change);

// Changes of the directory up to a revision of the store.
struct DirectoryChanges {
  std::uint64_t revision = 0;
  // All endpoints are listed, so that others are gone.
  bool whole = false;
  std::vector<EndpointChange> changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision);
    SerializeFlag(archive, whole);
    SerializeList(archive, changes);
  }
};

// The registered endpoints by the store's revisions, so that every daemon can pass on what it
// knows and none goes back. Not thread-safe.
class DirectoryLog {
 public:
  // An entry was written.
  void Put(const FleetEndpoint& endpoint, std::uint64_t revision);
  // An entry was found to be deleted at a revision.
  void Remove(const std::string& id, std::uint64_t revision);
  // Exactly these entries exist at a revision.
  void KeepOnly(const std::set<std::string>& ids, std::uint64_t revision);
  // Everything up to a revision has been noted.
  void Advance(std::uint64_t revision);

  // Takes in what another daemon knows. Returns the changes that were new.
  std::vector<EndpointChange> Merge(const DirectoryChanges& changes);

  // Everything up to this revision is known; 0 if nothing is.
  std::uint64_t revision() const { return revision_; }

  // What has changed after a revision that another daemon knows everything up to.
  DirectoryChanges Since(std::uint64_t revision) const;

  // Whether a number stands for an incarnation that is registered, or was the last of its id.
  bool KnowsNumber(std::uint32_t number) const { return ids_.contains(number); }
  // The incarnation that a number stands for; nullptr if it is not registered.
  const EndpointChange* FindNumber(std::uint32_t number) const;
  // The number of an endpoint that is registered; std::nullopt if it is not.
  std::optional<std::uint32_t> NumberOf(const std::string& id) const;

 private:
  void Set(EndpointChange change);

  std::uint64_t revision_ = 0;
  std::map<std::string, EndpointChange> entries_;
  std::map<std::uint32_t, std::string> ids_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_DIRECTORY_LOG_H_
