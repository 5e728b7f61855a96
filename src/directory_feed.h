#ifndef MIMOSABEND_DIRECTORY_FEED_H_
#define MIMOSABEND_DIRECTORY_FEED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "codec.h"
#include "fleet_directory.h"

namespace mimosabend {

// An endpoint that came, changed or went, without what it holds.
struct EndpointChange {
  // Stands for this incarnation of the endpoint in the other messages of the leader's term.
  std::uint32_t number = 0;
  std::string id;
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
    archive(number);
    SerializeFlag(archive, gone);
    archive(address.port, slots, started_ms);
  }
};

// The endpoint that a change describes. Precondition: it is not gone. Thread-safe.
FleetEndpoint ToEndpoint(const EndpointChange& change);

// The leader's directory as a log of changes for the other daemons, so that these need not read
// the store themselves. Not thread-safe.
class DirectoryFeed {
 public:
  // Takes in what has changed in the directory.
  void Update(const FleetDirectory& directory);

  std::uint64_t version() const { return version_; }

  // The number of an endpoint that is in the directory; std::nullopt if it is not.
  std::optional<std::uint32_t> NumberOf(const std::string& id) const;

  // Requests that the endpoint with a number runs at once; 1 if there is none.
  std::uint32_t SlotsOf(std::uint32_t number) const;

  // What has changed after a version; after 0 everything there is.
  std::vector<EndpointChange> Since(std::uint64_t version) const;

 private:
  struct Record {
    EndpointChange change;
    std::uint64_t version = 0;
  };

  std::uint64_t version_ = 0;
  std::uint32_t last_number_ = 0;
  std::map<std::string, Record> records_;
  std::map<std::uint32_t, std::uint32_t> slots_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_DIRECTORY_FEED_H_
