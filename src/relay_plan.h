#ifndef MIMOSABEND_RELAY_PLAN_H_
#define MIMOSABEND_RELAY_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "codec.h"
#include "settings.h"

namespace mimosabend {

// What a daemon reports about itself.
struct DaemonInfo {
  Address address;
  std::string failure_domain;
  // Capacity of its host for work besides requests; see HostCapacity.
  std::uint32_t capacity = 0;
  // Number of services whose endpoints it does not reach, see EndpointReach; kNoHelper if it stops.
  std::uint8_t cut_off = 0;

  bool operator==(const DaemonInfo&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, address.ip);
    SerializeName(archive, failure_domain);
    archive(address.port, capacity, cut_off);
  }
};

// The relays of one failure domain, in the order in which daemons try them.
struct DomainRelays {
  std::string failure_domain;
  std::vector<Address> relays;

  bool operator==(const DomainRelays&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, failure_domain);
    auto count = static_cast<std::uint8_t>(relays.size());
    archive(count);
    if constexpr (Archive::is_loading::value) relays.resize(count);
    for (Address& relay : relays) {
      SerializeName(archive, relay.ip);
      archive(relay.port);
    }
  }
};

// The daemons that relay the fleet's state to the others of their failure domain. In a large fleet,
// they also relay reports to the placement leader, which makes the plan.
struct RelayPlan {
  // Increases with each change, also across a change of the leader; 0 for no plan.
  std::uint64_t version = 0;
  // Whether daemons report to relays; false if all report directly to the leader.
  bool relaying = false;
  std::vector<DomainRelays> domains;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version);
    SerializeFlag(archive, relaying);
    SerializeList(archive, domains);
  }

  // The relays of a failure domain; nullptr if it has none. Thread-safe.
  const std::vector<Address>* Find(const std::string& failure_domain) const;
  // Whether a daemon is a relay. Thread-safe.
  bool Contains(const Address& daemon) const;
};

// Capacity of a host as a relay in Mbit/s: its link or what its cores can serve, whichever is less.
// Thread-safe.
std::uint32_t HostCapacity(double cores, double link_mbps);

// Tracks the daemons that report to the placement leader and chooses relays among them. Not
// thread-safe.
class RelayPlanner {
 public:
  // Continues the plan of the previous leader. New versions are greater than `versions_after`.
  // Precondition: `versions_after` is at least the version of `plan`.
  RelayPlanner(Address leader, RelayPlan plan, std::uint64_t versions_after);

  // Records a report of a daemon, received directly or through a relay.
  void RecordReport(const DaemonInfo& daemon, MonotonicTime now);

  // Replaces relays that no longer report and adds missing ones. Live relays are kept, so that
  // daemons don't have to switch.
  void Update(MonotonicTime now);

  const RelayPlan& plan() const { return plan_; }

  // The daemons that have reported recently.
  std::vector<DaemonInfo> LiveDaemons(MonotonicTime now) const;

  // Number of daemons that had reported recently at the last Update.
  std::size_t live_daemons() const { return live_daemons_; }

 private:
  struct Daemon {
    DaemonInfo info;
    MonotonicTime last_report;
  };

  std::vector<Address> Choose(const std::string& domain, const std::vector<Address>& current,
                              bool relaying, MonotonicTime now) const;
  bool IsLive(const Daemon& daemon, MonotonicTime now) const;

  Address leader_;
  std::map<Address, Daemon> daemons_;
  RelayPlan plan_;
  std::size_t live_daemons_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RELAY_PLAN_H_
