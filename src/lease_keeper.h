#ifndef MIMOSABEND_LEASE_KEEPER_H_
#define MIMOSABEND_LEASE_KEEPER_H_

#include <optional>

#include "clock.h"
#include "kv_store.h"
#include "log.h"
#include "placement_timings.h"
#include "supervisor.h"

namespace mimosabend {

// Keeps the one lease of a daemon, to which it attaches all groups it owns. Not thread-safe.
template <KvStore Kv>
class LeaseKeeper {
 public:
  // Precondition: `kv` outlives this object.
  explicit LeaseKeeper(Kv* kv, PlacementTimings timings = {}) : kv_(kv), timings_(timings) {}

  // The lease, or nullptr if there is none or it may lapse before an act has ended.
  const LeaseId* SafeLease(MonotonicTime now) const {
    const bool safe = lease_ && now - renewed_at_ < timings_.lease_safe_time;
    return safe ? &*lease_ : nullptr;
  }

  // How long a lease is safe after it was renewed.
  milliseconds safe_time() const { return timings_.lease_safe_time; }

  // False once the service has said that the lease lapsed.
  bool Holds(const LeaseId& lease) const { return lease_ == lease; }

  // The lease is not safe before its next renewal: the host has stood still for a time that the
  // monotonic clock does not count.
  void Distrust() { renewed_at_ = MonotonicTime(); }

  // Whether the daemon runs an owner that needs the lease. Without one it is given up, since each
  // renewal is a write of the service and most daemons of a large fleet own nothing.
  void SetWanted(bool wanted) { wanted_ = wanted; }

  // Grants and renews the lease while it is wanted, until Stop is called.
  Task<void> Run() {
    while (!stopping_) {
      if (!wanted_) {
        co_await GiveUp();
        co_await Sleep(kWantedPoll);
        continue;
      }
      const MonotonicTime sent_at = MonotonicNow();
      if (lease_) {
        co_await Renew(sent_at);
      } else {
        co_await Grant(sent_at);
      }
      co_await Sleep(lease_ ? timings_.lease_renew_period : timings_.lease_retry_delay);
    }
  }

  // Gives the lease up, so that others need not wait until it lapses.
  Task<void> Stop() {
    stopping_ = true;
    co_await GiveUp();
  }

 private:
  static constexpr milliseconds kWantedPoll{100};

  Task<void> GiveUp() {
    if (!lease_) co_return;
    const LeaseId lease = *lease_;
    lease_.reset();
    auto ignored = co_await kv_->RevokeLease(lease);
    static_cast<void>(ignored);
  }

  Task<void> Grant(MonotonicTime sent_at) {
    auto granted = co_await kv_->GrantLease(timings_.lease_time_to_live);
    if (!granted || stopping_) co_return;
    lease_ = granted.value();
    renewed_at_ = sent_at;
  }

  Task<void> Renew(MonotonicTime sent_at) {
    auto renewed = co_await kv_->RenewLease(*lease_);
    if (stopping_ || !lease_) co_return;
    if (renewed && renewed.value()) {
      renewed_at_ = sent_at;
    } else if (renewed) {
      LOG4CPLUS_WARN(Log(), "lease lapsed, all groups are given up");
      lease_.reset();
    }
  }

  Kv* kv_;
  PlacementTimings timings_;
  std::optional<LeaseId> lease_;
  MonotonicTime renewed_at_;
  bool wanted_ = true;
  bool stopping_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LEASE_KEEPER_H_
