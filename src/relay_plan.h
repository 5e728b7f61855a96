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

// A daemon as its reports describe it.
struct DaemonInfo {
  Address address;
  std::string failure_domain;
  // How much work beside requests its host can carry; see HostCapacity.
  std::uint32_t capacity = 0;

  bool operator==(const DaemonInfo&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, address.ip);
    SerializeName(archive, failure_domain);
    archive(address.port, capacity);
  }
};

// The relays of one failure domain, in the order in which its daemons try them.
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

// Which daemons pass the fleet's state on. In a large fleet they also pass reports on to the
// placement leader.
struct RelayPlan {
  // Rises with each change, also from one leader to the next; 0 for no plan.
  std::uint64_t version = 0;
  // Daemons report to the relays; false if all report to the leader itself.
  bool relaying = false;
  std::vector<DomainRelays> domains;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version);
    SerializeFlag(archive, relaying);
    SerializeList(archive, domains);
  }

  // The daemons of a failure domain; nullptr if it has none. Thread-safe.
  const std::vector<Address>* Find(const std::string& failure_domain) const;
  // Whether a daemon is in the plan. Thread-safe.
  bool Contains(const Address& daemon) const;
};

// A capacity that is larger where both the processor share and the link are. Thread-safe.
std::uint32_t HostCapacity(double cores, double link_mbps);

// The daemons that a placement leader has heard of, and the relays that it has chosen among them.
// Not thread-safe.
class RelayPlanner {
 public:
  // Goes on from the plan of a former leader. Precondition: `versions_after` is not below its
  // version.
  RelayPlanner(Address leader, RelayPlan plan, std::uint64_t versions_after);

  // A daemon has reported, itself or through a relay.
  void Note(const DaemonInfo& daemon, MonotonicTime now);

  // Chooses the relays anew where one fell silent or there is none. Relays that report are kept, so
  // that the daemons of their domains need not move.
  void Update(MonotonicTime now);

  const RelayPlan& plan() const { return plan_; }

  // Daemons that have reported lately.
  std::size_t live_daemons() const { return live_daemons_; }

 private:
  struct Daemon {
    DaemonInfo info;
    MonotonicTime noted;
  };

  std::vector<Address> Choose(const std::string& domain, const std::vector<Address>& present,
                              bool relaying, MonotonicTime now) const;
  bool IsLive(const Daemon& daemon, MonotonicTime now) const;

  Address leader_;
  std::map<Address, Daemon> daemons_;
  RelayPlan plan_;
  std::size_t live_daemons_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RELAY_PLAN_H_
