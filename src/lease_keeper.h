#ifndef MIMOSABEND_LEASE_KEEPER_H_
#define MIMOSABEND_LEASE_KEEPER_H_

#include <optional>

#include "clock.h"
#include "kv_store.h"
#include "log.h"
#include "placement_timings.h"
#include "supervisor.h"

namespace mimosabend {

// Grants and renews the daemon's lease in the key-value service. The keys that the daemon
// acquires are attached to this lease and are deleted when it expires. Not thread-safe.
template <KvStore Kv>
class LeaseKeeper {
 public:
  // Precondition: `kv` outlives this object.
  explicit LeaseKeeper(Kv* kv, PlacementTimings timings = {}) : kv_(kv), timings_(timings) {}

  // The lease if it is safe to act on, that is if the last successful renewal was sent less than
  // `lease_safe_time` ago; otherwise nullptr.
  const LeaseId* SafeLease(MonotonicTime now) const {
    const bool safe = lease_ && now - renewed_at_ < timings_.lease_safe_time;
    return safe ? &*lease_ : nullptr;
  }

  // How long a lease is safe to act on after its renewal was sent.
  milliseconds safe_time() const { return timings_.lease_safe_time; }

  // False once the lease was revoked or the service has reported that it expired.
  bool Holds(const LeaseId& lease) const { return lease_ == lease; }

  // Marks the lease unsafe until its next renewal. Called after the host was suspended for a time
  // that the monotonic clock does not count.
  void MarkUnsafe() { renewed_at_ = MonotonicTime(); }

  // Forgets the lease without revoking it. Called when the service was restored from an older copy,
  // since the id may belong to another daemon now.
  void Drop() {
    if (lease_) LOG4CPLUS_WARN(Log(), "dropped the lease " << *lease_);
    lease_.reset();
    renewed_at_ = MonotonicTime();
  }

  // Sets whether the daemon needs the lease. While it does not, the lease is revoked: each renewal
  // is a write to the service, and most daemons of a large fleet own nothing.
  void SetWanted(bool wanted) { wanted_ = wanted; }

  // Grants and renews the lease while it is wanted, until Stop is called.
  Task<void> Run() {
    while (!stopping_) {
      if (!wanted_) {
        co_await Revoke();
        co_await Sleep(kWantedPollPeriod);
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

  // Revokes the lease, so that other daemons need not wait until it expires.
  Task<void> Stop() {
    stopping_ = true;
    co_await Revoke();
  }

 private:
  static constexpr milliseconds kWantedPollPeriod{100};

  Task<void> Revoke() {
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
      LOG4CPLUS_WARN(Log(), "lease expired; releasing all placement groups");
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
