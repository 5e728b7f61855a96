#ifndef MIMOSABEND_LEADER_FINDER_H_
#define MIMOSABEND_LEADER_FINDER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "clock.h"
#include "fleet_state.h"
#include "fleet_store.h"
#include "log.h"
#include "peer_transport.h"
#include "placement_leader.h"
#include "supervisor.h"

namespace mimosabend {

// Finds the placement leader in the store, or claims leadership if there is none. Not thread-safe.
template <FleetStore Store, FleetEngines Engines, class Peers = PeerClient>
class LeaderFinder {
 public:
  using Leader = PlacementLeader<Store, Engines>;

  // Precondition: all pointers outlive this object. `capacity` is the HostCapacity of this daemon.
  LeaderFinder(Store* store, LeaseKeeper<Store>* lease, Peers* peers, Leader* leader,
               FleetState* state, std::uint32_t capacity, std::uint64_t seed)
      : store_(store),
        lease_(lease),
        peers_(peers),
        leader_(leader),
        state_(state),
        capacity_(capacity),
        random_(seed) {}

  // From now on this daemon doesn't claim leadership.
  void StopClaiming() { may_claim_ = false; }

  // Leadership is claimed only while `guard` returns true.
  void set_claim_guard(std::function<bool()> guard) { claim_guard_ = std::move(guard); }

  // Reads the leader from the store, and claims leadership if there is none.
  Task<void> Search() {
    const LookupResult first = co_await LookUpLeader();
    if (first != LookupResult::kNone || !MayClaim()) co_return;
    // After the delay, most daemons find the claim of another one and don't write.
    co_await Sleep(ClaimDelay());
    const LookupResult second = co_await LookUpLeader();
    if (second == LookupResult::kNone && MayClaim()) co_await ClaimLeadership();
  }

 private:
  // Spread the claims of the daemons that find no leader, so that few of them write to the store,
  // and let large hosts claim first.
  static constexpr milliseconds kMaxClaimJitter{200};
  static constexpr milliseconds kSmallestHostDelay{500};
  // A host of this capacity doesn't wait for larger ones.
  static constexpr std::uint32_t kLargeCapacity = 100;
  static constexpr milliseconds kLeaseWait{300};
  static constexpr milliseconds kLeasePoll{20};
  static constexpr milliseconds kStandDownTimeout{400};
  // Age of the last message of a leader that is known only from the store.
  static constexpr std::uint32_t kUnheardAgeMillis = 600000;

  enum class LookupResult : std::uint8_t { kLeader, kNone, kUnknown };

  bool MayClaim() const { return may_claim_ && claim_guard_(); }

  Task<LookupResult> LookUpLeader() {
    auto entry = co_await store_->Read(kLeaderKey);
    if (!entry) co_return LookupResult::kUnknown;
    const auto record = ParseLeaderRecord(entry.value().value);
    if (!entry.value().exists() || !record) co_return LookupResult::kNone;
    // May be a claim of this process whose answer was lost.
    if (leader_->AdoptClaim(*record, entry.value().revision())) co_return LookupResult::kLeader;
    if (record->address == leader_->peer_address()) {
      co_await EndFormerLease(*record);
      co_return LookupResult::kLeader;
    }
    leader_->OnOtherLeader();
    state_->UpdateLeader(
        {FencingToken(entry.value().revision()), record->address, kUnheardAgeMillis},
        MonotonicNow());
    // Only a leader or a daemon that claims leadership needs a lease.
    lease_->SetWanted(false);
    co_return LookupResult::kLeader;
  }

  // Revokes the lease of a former process of this host and claims leadership without delay. The
  // former process has ended, since this one listens on its address.
  Task<void> EndFormerLease(LeaderRecord record) {
    LOG4CPLUS_INFO(Log(), "revoking the lease " << record.lease << " of a former process");
    auto revoked = co_await store_->RevokeLease(record.lease);
    if (!revoked) co_return;
    co_await ClaimLeadership();
  }

  milliseconds ClaimDelay() {
    const std::uint32_t shortfall = kLargeCapacity - std::min(capacity_, kLargeCapacity);
    const std::int64_t jitter = kMaxClaimJitter.count();
    return kSmallestHostDelay * shortfall / kLargeCapacity +
           milliseconds(std::uniform_int_distribution<std::int64_t>(0, jitter)(random_));
  }

  Task<void> ClaimLeadership() {
    lease_->SetWanted(true);
    const MonotonicTime deadline = MonotonicNow() + kLeaseWait;
    while (lease_->SafeLease(MonotonicNow()) == nullptr && MonotonicNow() < deadline) {
      co_await Sleep(kLeasePoll);
    }
    const std::optional<Address> predecessor = state_->leader();
    const bool leads = co_await leader_->TryBecomeLeader();
    if (leads) co_await ReplacePredecessor(predecessor);
  }

  // Makes the former leader stop sending orders, so that this one need not wait until its
  // lease is no longer safe.
  Task<void> ReplacePredecessor(std::optional<Address> predecessor) {
    if (!leader_->WaitsForPredecessor(MonotonicNow())) co_return;
    std::optional<Handover> handover;
    if (predecessor && *predecessor != leader_->peer_address()) {
      const StandDownRequest request{leader_->fence()};
      auto answer =
          co_await peers_->template Call<StandDownAnswer>(*predecessor, request, kStandDownTimeout);
      if (answer) handover = ToHandover(answer.value());
    }
    leader_->EndPredecessorWait(handover);
  }

  // Counts the ages from now, so that no order appears older than it is.
  Handover ToHandover(const StandDownAnswer& answer) const {
    Handover handover;
    handover.holder = answer.holder;
    const MonotonicTime now = MonotonicNow();
    for (const RecentOrder& order : answer.recent_orders) {
      const EndpointRecord* endpoint = state_->directory().FindNumber(order.number);
      if (endpoint == nullptr) continue;
      handover.last_orders[endpoint->id] = now - milliseconds(order.age_ms);
    }
    return handover;
  }

  Store* store_;
  LeaseKeeper<Store>* lease_;
  Peers* peers_;
  Leader* leader_;
  FleetState* state_;
  std::uint32_t capacity_;
  std::mt19937_64 random_;
  bool may_claim_ = true;
  std::function<bool()> claim_guard_ = [] { return true; };
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LEADER_FINDER_H_
