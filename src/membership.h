#ifndef MIMOSABEND_MEMBERSHIP_H_
#define MIMOSABEND_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "codec.h"
#include "name_table.h"
#include "settings.h"

namespace mimosabend {

// At the same incarnation, an update with a later state overrides one with an earlier state.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };
inline constexpr std::uint8_t kMemberStateCount = 4;
inline constexpr NameTable<MemberState, kMemberStateCount> kMemberStateNames{
    {"alive", "suspect", "leaving", "dead"}};

// The state of one daemon as gossiped between daemons.
struct MemberUpdate {
  std::string name;
  std::string region;
  std::string failure_domain;
  Address address;
  // Initially the Unix time of the daemon's start in milliseconds; raised to refute a suspicion.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, name);
    SerializeText(archive, region);
    SerializeText(archive, failure_domain);
    SerializeText(archive, address.ip);
    archive(address.port, incarnation);
    SerializeEnum(archive, state, kMemberStateCount);
  }
};

struct Member {
  MemberUpdate update;
  MonotonicTime state_since;
  // How many more messages the update is piggybacked on.
  int transmissions_left = 0;

  // Whether the member may own groups.
  bool can_own_groups() const {
    return update.state == MemberState::kAlive || update.state == MemberState::kSuspect;
  }
};

// One daemon's view of the daemons of its environment, maintained by the SWIM protocol. The view is
// a hint: if it is wrong, requests take longer, but safety does not depend on it. Not thread-safe.
class Membership {
 public:
  Membership(MemberUpdate self, MonotonicTime now, std::uint64_t seed);

  const MemberUpdate& self() const { return members_.at(self_name_).update; }
  const std::map<std::string, Member>& members() const { return members_; }
  // Incremented whenever a member is added or changes, except for a refutation by this daemon.
  std::uint64_t view_version() const { return view_version_; }

  // Merges an update received from a peer. If it is about this daemon and newer than its own state,
  // raises this daemon's incarnation to refute it.
  void Apply(const MemberUpdate& update, MonotonicTime now);

  // Called for a member that did not answer a probe: an alive member becomes suspect, a leaving one
  // dead. No effect on other members or on this daemon.
  void Suspect(const std::string& name, MonotonicTime now);

  // Announces that this daemon is shutting down.
  void Leave(MonotonicTime now);

  // Declares members dead that did not refute a suspicion in time, and removes members that have
  // been dead for long. Call periodically.
  void Tick(MonotonicTime now);

  // The updates to piggyback on the next message, least often sent first. Counts as a transmission.
  std::vector<MemberUpdate> TakeUpdates();

  // The updates of all members, for an exchange of the whole membership.
  std::vector<MemberUpdate> AllUpdates() const;

  // The next member to ping. Each round visits all other members that are not dead in a random
  // order; nullptr if there are none.
  const Member* NextPingTarget();

  // Addresses of all members that are alive or suspect, including this daemon.
  std::vector<Address> LiveAddresses() const;

  // Addresses of up to `count` random alive members other than this daemon and `excluded`. If there
  // are none, members in any state are used.
  std::vector<Address> RandomPeers(std::size_t count, const std::string& excluded);

  // The member that can own groups and has the highest rendezvous hash for `key`, among members of
  // `region` if there are any. This daemon if no member can own groups; never nullptr.
  const Member* PreferredOwner(std::string_view key, std::string_view region) const;

  // Whether this daemon has one of the `count` highest rendezvous hashes for `key` among the
  // members of its region that can own groups. False if it is leaving.
  bool IsPreferredInRegion(std::string_view key, std::size_t count) const;

 private:
  void SetState(Member* member, MemberState state, MonotonicTime now);
  // Schedules the member's update for piggybacking.
  void QueueTransmission(Member* member);
  std::string self_name_;
  std::map<std::string, Member> members_;
  // Names of the members still to ping in this round.
  std::vector<std::string> ping_round_;
  std::uint64_t view_version_ = 1;
  std::mt19937_64 random_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_MEMBERSHIP_H_
