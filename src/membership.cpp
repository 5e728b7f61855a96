#include "membership.h"

#include <algorithm>
#include <bit>
#include <cassert>

#include "digest.h"

namespace mimosabend {

namespace {

// Time in which a suspect can refute the suspicion before it is declared dead.
constexpr milliseconds kSuspicionTimeout{2000};
// Dead members are kept for a while so that late updates do not add them again.
constexpr seconds kDeadRetention{60};
constexpr std::size_t kMaxUpdatesPerMessage = 8;
// SWIM sends each update a multiple of log(n) times to reach all members with high probability.
constexpr int kTransmissionFactor = 3;

// Whether `update` is newer than `known` by the precedence rules of SWIM.
bool Supersedes(const MemberUpdate& update, const MemberUpdate& known) {
  if (update.incarnation != known.incarnation) return update.incarnation > known.incarnation;
  return update.state > known.state;
}

}  // namespace

Membership::Membership(MemberUpdate self, MonotonicTime now, std::uint64_t seed)
    : self_name_(self.name), random_(seed) {
  assert(!self_name_.empty());
  Member member{std::move(self), now, 0};
  QueueTransmission(&members_.emplace(self_name_, std::move(member)).first->second);
}

void Membership::QueueTransmission(Member* member) {
  const int log_members = std::bit_width(members_.size() + 1);
  member->transmissions_left = kTransmissionFactor * log_members;
}

void Membership::SetState(Member* member, MemberState state, MonotonicTime now) {
  member->update.state = state;
  member->state_since = now;
  QueueTransmission(member);
  ++view_version_;
}

void Membership::Apply(const MemberUpdate& update, MonotonicTime now) {
  if (update.name.empty()) return;
  const auto it = members_.find(update.name);
  if (it == members_.end()) {
    if (update.state == MemberState::kDead) return;
    Member member{update, now, 0};
    QueueTransmission(&members_.emplace(update.name, std::move(member)).first->second);
    ++view_version_;
    return;
  }
  Member& known = it->second;
  if (!Supersedes(update, known.update)) return;
  if (update.name == self_name_) {
    known.update.incarnation = update.incarnation + 1;
    QueueTransmission(&known);
    return;
  }
  const bool changed = known.update.state != update.state;
  known.update = update;
  if (changed) known.state_since = now;
  QueueTransmission(&known);
  ++view_version_;
}

void Membership::Suspect(const std::string& name, MonotonicTime now) {
  const auto it = members_.find(name);
  if (it == members_.end() || name == self_name_) return;
  if (it->second.update.state == MemberState::kAlive) {
    SetState(&it->second, MemberState::kSuspect, now);
  } else if (it->second.update.state == MemberState::kLeaving) {
    SetState(&it->second, MemberState::kDead, now);
  }
}

void Membership::Leave(MonotonicTime now) {
  SetState(&members_.at(self_name_), MemberState::kLeaving, now);
}

void Membership::Tick(MonotonicTime now) {
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    const auto age = now - member.state_since;
    if (member.update.state == MemberState::kSuspect && age > kSuspicionTimeout) {
      SetState(&member, MemberState::kDead, now);
    }
    const bool expired = member.update.state == MemberState::kDead && age > kDeadRetention;
    it = expired ? members_.erase(it) : std::next(it);
  }
}

std::vector<MemberUpdate> Membership::TakeUpdates() {
  std::vector<Member*> pending;
  for (auto& [name, member] : members_) {
    if (member.transmissions_left > 0) pending.push_back(&member);
  }
  const std::size_t count = std::min(pending.size(), kMaxUpdatesPerMessage);
  std::partial_sort(pending.begin(), pending.begin() + count, pending.end(),
                    [](const Member* a, const Member* b) {
                      return a->transmissions_left > b->transmissions_left;
                    });
  std::vector<MemberUpdate> updates;
  for (std::size_t i = 0; i < count; ++i) {
    --pending[i]->transmissions_left;
    updates.push_back(pending[i]->update);
  }
  return updates;
}

std::vector<MemberUpdate> Membership::AllUpdates() const {
  std::vector<MemberUpdate> updates;
  for (const auto& [name, member] : members_) updates.push_back(member.update);
  return updates;
}

const Member* Membership::NextPingTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!ping_round_.empty()) {
      const auto it = members_.find(ping_round_.back());
      ping_round_.pop_back();
      if (it != members_.end() && it->second.update.state != MemberState::kDead) {
        return &it->second;
      }
    }
    for (const auto& [name, member] : members_) {
      if (name != self_name_ && member.update.state != MemberState::kDead) {
        ping_round_.push_back(name);
      }
    }
    std::shuffle(ping_round_.begin(), ping_round_.end(), random_);
  }
  return nullptr;
}

std::vector<Address> Membership::LiveAddresses() const {
  std::vector<Address> addresses;
  for (const auto& [name, member] : members_) {
    if (member.can_own_groups()) addresses.push_back(member.update.address);
  }
  return addresses;
}

std::vector<Address> Membership::RandomPeers(std::size_t count, const std::string& excluded) {
  std::vector<Address> peers;
  for (const auto& [name, member] : members_) {
    if (name != self_name_ && name != excluded && member.update.state == MemberState::kAlive) {
      peers.push_back(member.update.address);
    }
  }
  // If no other member is alive, members declared dead may still be reachable.
  for (const auto& [name, member] : members_) {
    if (!peers.empty()) break;
    if (name != self_name_ && name != excluded) peers.push_back(member.update.address);
  }
  std::shuffle(peers.begin(), peers.end(), random_);
  if (peers.size() > count) peers.resize(count);
  return peers;
}

const Member* Membership::PreferredOwner(std::string_view key, std::string_view region) const {
  const Member* best = nullptr;
  bool best_in_region = false;
  std::uint64_t best_score = 0;
  for (const auto& [name, member] : members_) {
    if (!member.can_own_groups()) continue;
    const bool in_region = member.update.region == region;
    const std::uint64_t score = Hash64(key, Hash64(name));
    const bool better = in_region != best_in_region ? in_region : score > best_score;
    if (best == nullptr || better) {
      best = &member;
      best_in_region = in_region;
      best_score = score;
    }
  }
  return best != nullptr ? best : &members_.at(self_name_);
}

bool Membership::IsPreferredInRegion(std::string_view key, std::size_t count) const {
  const Member& self = members_.at(self_name_);
  if (!self.can_own_groups()) return false;
  const std::uint64_t own_score = Hash64(key, Hash64(self_name_));
  std::size_t higher = 0;
  for (const auto& [name, member] : members_) {
    const bool competes = member.can_own_groups() && member.update.region == self.update.region;
    if (competes && Hash64(key, Hash64(name)) > own_score) ++higher;
  }
  return higher < count;
}

}  // namespace mimosabend
