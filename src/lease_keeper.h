#ifndef MIMOSABEND_LEASE_KEEPER_H_
#define MIMOSABEND_LEASE_KEEPER_H_

#include <optional>

#include "clock.h"
#include "kv_store.h"
#include "log.h"
#include "supervisor.h"

namespace mimosabend {

// How long the key-value service keeps a lease that is not renewed.
inline constexpr milliseconds kLeaseTimeToLive{6000};
inline constexpr milliseconds kLeaseRenewPeriod{2000};
// The holder stops acting on its lease this long after it sent the last renewal that succeeded.
// What is left of the time to live covers a pause between the check and the act.
inline constexpr milliseconds kLeaseSafeTime{4000};

// Keeps the one lease of a daemon, to which it attaches all groups it owns. Not thread-safe.
template <KvStore Kv>
class LeaseKeeper {
 public:
  // Precondition: `kv` outlives this object.
  explicit LeaseKeeper(Kv* kv) : kv_(kv) {}

  // The lease, or nullptr if there is none or it may lapse before an act has ended.
  const LeaseId* SafeLease(MonotonicTime now) const {
    const bool safe = lease_ && now - renewed_at_ < kLeaseSafeTime;
    return safe ? &*lease_ : nullptr;
  }

  // False once the service has said that the lease lapsed.
  bool Holds(const LeaseId& lease) const { return lease_ == lease; }

  // Grants and renews the lease until Stop is called.
  Task<void> Run() {
    while (!stopping_) {
      const MonotonicTime sent_at = MonotonicNow();
      if (lease_) {
        co_await Renew(sent_at);
      } else {
        co_await Grant(sent_at);
      }
      co_await Sleep(lease_ ? kLeaseRenewPeriod : kRetryDelay);
    }
  }

  // Gives the lease up, so that others need not wait until it lapses.
  Task<void> Stop() {
    stopping_ = true;
    if (!lease_) co_return;
    const LeaseId lease = *lease_;
    lease_.reset();
    auto ignored = co_await kv_->RevokeLease(lease);
    static_cast<void>(ignored);
  }

 private:
  static constexpr milliseconds kRetryDelay{500};

  Task<void> Grant(MonotonicTime sent_at) {
    auto granted = co_await kv_->GrantLease(kLeaseTimeToLive);
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
  std::optional<LeaseId> lease_;
  MonotonicTime renewed_at_;
  bool stopping_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LEASE_KEEPER_H_
