#ifndef MIMOSABEND_LEADER_FINDER_H_
#define MIMOSABEND_LEADER_FINDER_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "clock.h"
#include "fleet_state.h"
#include "fleet_store.h"
#include "log.h"
#include "peer_transport.h"
#include "placement_leader.h"
#include "supervisor.h"

namespace mimosabend {

// Finds the placement leader in the store, or takes the lead if there is none. Not thread-safe.
template <FleetStore Store, FleetEngines Engines>
class LeaderFinder {
 public:
  using Leader = PlacementLeader<Store, Engines>;

  // Precondition: all pointers outlive this object. `capacity` is that of this daemon's host.
  LeaderFinder(Store* store, LeaseKeeper<Store>* lease, PeerClient* peers, Leader* leader,
               FleetState* state, std::uint32_t capacity, std::uint64_t seed)
      : store_(store),
        lease_(lease),
        peers_(peers),
        leader_(leader),
        state_(state),
        capacity_(capacity),
        random_(seed) {}

  // Takes the lead no more.
  void StandBack() { may_lead_ = false; }

  // Looks the leader up in the store, and takes the lead if there is none.
  Task<void> Search() {
    const Found found = co_await Look();
    if (found != Found::kNone || !may_lead_) co_return;
    // Most daemons see another one's claim when they read the key a second time.
    co_await Sleep(ClaimDelay());
    const Found again = co_await Look();
    if (again == Found::kNone && may_lead_) co_await Take();
  }

 private:
  // Spreads the daemons that find no leader, so that few of them write to the store, and lets large
  // hosts go first.
  static constexpr milliseconds kClaimSpread{200};
  static constexpr milliseconds kSmallestHostDelay{500};
  // A host of this capacity does not wait for larger ones.
  static constexpr std::uint32_t kLargeCapacity = 100;
  static constexpr milliseconds kLeaseWait{300};
  static constexpr milliseconds kLeasePoll{20};
  static constexpr milliseconds kStandDownTimeout{400};
  // A leader that is only known from the store has not been heard of.
  static constexpr std::uint32_t kUnheardMillis = 600000;

  enum class Found : std::uint8_t { kLeader, kNone, kUnknown };

  Task<Found> Look() {
    auto entry = co_await store_->Read(kLeaderKey);
    if (!entry) co_return Found::kUnknown;
    const auto record = ParseLeaderRecord(entry.value().value);
    if (!entry.value().exists() || !record) co_return Found::kNone;
    // A claim of this process whose answer was lost.
    if (leader_->AdoptClaim(*record, entry.value().version)) co_return Found::kLeader;
    if (record->address == leader_->peer_address()) {
      co_await EndFormerLease(*record);
      co_return Found::kLeader;
    }
    leader_->NoteOtherLeader();
    state_->NoteLeader({entry.value().version, record->address, kUnheardMillis}, MonotonicNow());
    // Only a daemon that leads, or is about to, needs a lease.
    lease_->SetWanted(false);
    co_return Found::kLeader;
  }

  // Ends the lease of a former process of this host, which can't lead any more since this one
  // listens at its address, and claims the lead without waiting for others to do so.
  Task<void> EndFormerLease(LeaderRecord record) {
    LOG4CPLUS_INFO(Log(), "ends the lease " << record.lease << " of a former process");
    auto revoked = co_await store_->RevokeLease(record.lease);
    if (!revoked) co_return;
    co_await Take();
  }

  milliseconds ClaimDelay() {
    const std::uint32_t missing = kLargeCapacity - std::min(capacity_, kLargeCapacity);
    const std::int64_t spread = kClaimSpread.count();
    return kSmallestHostDelay * missing / kLargeCapacity +
           milliseconds(std::uniform_int_distribution<std::int64_t>(0, spread)(random_));
  }

  Task<void> Take() {
    lease_->SetWanted(true);
    const MonotonicTime give_up = MonotonicNow() + kLeaseWait;
    while (lease_->SafeLease(MonotonicNow()) == nullptr && MonotonicNow() < give_up) {
      co_await Sleep(kLeasePoll);
    }
    const std::optional<Address> predecessor = state_->leader();
    const bool leads = co_await leader_->TryTakeLead();
    if (leads) co_await ReplacePredecessor(predecessor);
  }

  // Has the former leader send no more orders, so that this one need not wait until it can't.
  Task<void> ReplacePredecessor(std::optional<Address> predecessor) {
    if (!leader_->WaitsForPredecessor(MonotonicNow())) co_return;
    std::optional<Handover> handover;
    if (predecessor && *predecessor != leader_->peer_address()) {
      const StandDownRequest request{leader_->fence()};
      auto answer =
          co_await peers_->Call<StandDownAnswer>(*predecessor, request, kStandDownTimeout);
      if (answer) handover = ToHandover(answer.value());
    }
    leader_->NotePredecessor(handover);
  }

  // Ages count from now, so that no order seems older than it is.
  Handover ToHandover(const StandDownAnswer& answer) const {
    Handover handover;
    handover.holder = answer.holder;
    const MonotonicTime now = MonotonicNow();
    for (const RecentOrder& order : answer.recent_orders) {
      const EndpointChange* endpoint = state_->directory().FindNumber(order.number);
      if (endpoint == nullptr) continue;
      handover.last_orders[endpoint->id] = now - milliseconds(order.age_ms);
    }
    return handover;
  }

  Store* store_;
  LeaseKeeper<Store>* lease_;
  PeerClient* peers_;
  Leader* leader_;
  FleetState* state_;
  std::uint32_t capacity_;
  std::mt19937_64 random_;
  bool may_lead_ = true;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LEADER_FINDER_H_
