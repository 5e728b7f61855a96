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

// Later states win over earlier ones of the same incarnation.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };
inline constexpr std::uint8_t kMemberStateCount = 4;
inline constexpr NameTable<MemberState, kMemberStateCount> kMemberStateNames{
    {"alive", "suspect", "leaving", "dead"}};

// What daemons tell each other of a daemon.
struct MemberUpdate {
  std::string name;
  std::string region;
  std::string failure_domain;
  Address address;
  // Starts at the Unix time of the start in milliseconds; raised to refute a suspicion.
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
  // How often the update is still to be sent along.
  int transmissions_left = 0;

  bool can_own() const {
    return update.state == MemberState::kAlive || update.state == MemberState::kSuspect;
  }
};

// The daemons of an environment as one of them sees them, by the SWIM protocol. It is a hint:
// a wrong view costs time, never safety. Not thread-safe.
class Membership {
 public:
  Membership(MemberUpdate self, MonotonicTime now, std::uint64_t seed);

  const MemberUpdate& self() const { return members_.at(self_name_).update; }
  const std::map<std::string, Member>& members() const { return members_; }
  // Grows with each change of a member.
  std::uint64_t view_version() const { return view_version_; }

  // Takes in what a peer says. Refutes what it says wrongly of this daemon.
  void Apply(const MemberUpdate& update, MonotonicTime now);

  // Marks a member that did not answer. No effect on members that are not alive.
  void Suspect(const std::string& name, MonotonicTime now);

  // Announces that this daemon is about to stop.
  void Leave(MonotonicTime now);

  // Declares suspects dead and forgets the dead after a while.
  void Tick(MonotonicTime now);

  // Updates to send along with the next message, the least often sent first.
  std::vector<MemberUpdate> TakeUpdates();

  // All updates, for a full exchange.
  std::vector<MemberUpdate> AllUpdates() const;

  // The next member to ping, in a shuffled round; nullptr if there is no other.
  const Member* NextPingTarget();

  // Addresses of all members that are alive or suspected, this one included.
  std::vector<Address> LiveAddresses() const;

  // Up to `count` random live members other than this one and `excluded`.
  std::vector<Address> RandomPeers(std::size_t count, const std::string& excluded);

  // The member with the highest rendezvous score for a key; members of `region` go first.
  // Never nullptr, since this daemon counts unless it is leaving and others are there.
  const Member* PreferredOwner(std::string_view key, std::string_view region) const;

  // Whether this daemon has one of the `count` highest rendezvous scores for a key among the
  // members of its region. False if it is leaving.
  bool IsPreferredInRegion(std::string_view key, std::size_t count) const;

 private:
  void SetState(Member* member, MemberState state, MonotonicTime now);
  void QueueTransmission(Member* member);

  std::string self_name_;
  std::map<std::string, Member> members_;
  std::vector<std::string> ping_round_;
  std::uint64_t view_version_ = 1;
  std::mt19937_64 random_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_MEMBERSHIP_H_
