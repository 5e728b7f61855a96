#ifndef MIMOSABEND_QUOTA_METER_H_
#define MIMOSABEND_QUOTA_METER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "clock.h"
#include "customer.h"
#include "quota_order.h"
#include "quota_usage.h"

namespace mimosabend {

// Admits requests of this daemon within their customers' quotas, which apply to all daemons
// together. With recent data from the placement leader, it admits the share of each customer's
// requests that the leader computed (see QuotaAllocator). Otherwise it limits each customer to an
// equal part of the quota per daemon, so that daemons that are cut off from the leader don't exceed
// the quota together. Levels are those of PriorityLevel. Not thread-safe.
class QuotaMeter {
 public:
  // The leader's shares are valid for this long behind a relay, and for kDirectSharesLifetime if
  // the leader itself sends them. With 1.5 s for all, 25 of 1,200 simulated rounds exceeded the
  // quota because the leader was lost as the demand jumped.
  static constexpr milliseconds kSharesLifetime{1500};
  static constexpr milliseconds kDirectSharesLifetime{800};
  // The shares become invalid earlier if the leader has not confirmed an urgent report within this
  // time. Two report periods behind a relay fit into the first, two calls to the leader into the
  // second.
  static constexpr milliseconds kUrgentTimeout{800};
  static constexpr milliseconds kDirectUrgentTimeout{300};

  // `on_urgent` is called when a customer has requested so much since the last report that the
  // leader should get a report at once.
  explicit QuotaMeter(std::function<void()> on_urgent) : on_urgent_(std::move(on_urgent)) {}

  // Whether more urgent requests come first in this daemon's equal part. The leader decides on the
  // order in its shares.
  void set_order(QuotaOrder order) { order_ = order; }

  // Whether shares were ever received from the leader. Before that, this daemon knows neither what
  // others use nor what its previous process used, so nothing may be admitted.
  bool has_shares() const { return has_shares_; }

  // Whether the leader's shares are still valid.
  bool HasValidShares(MonotonicTime now) const;

  // Counts a request of `cost` units as demand. Call it once per request, before `Admit`.
  void AddDemand(const Customer& customer, std::uint8_t level, double cost, MonotonicTime now);

  // Admits or refuses a request that `AddDemand` has counted. `draw` is a random number from 0
  // to 1. Returns std::nullopt if the request is admitted, else the time after which a request of
  // this level is likely to be admitted. Preconditions: the customer's quota is limited;
  // `has_shares`().
  std::optional<milliseconds> Admit(const Customer& customer, std::uint8_t level, double cost,
                                    double draw, MonotonicTime now);

  // Refunds an admitted request that did not run.
  void Refund(const Customer& customer, std::uint8_t level, double cost);

  // Returns the use since the last call, for a report, and resets it.
  std::vector<QuotaUsage> TakeUsage();
  // Adds back use that could not be reported.
  void RestoreUsage(const std::vector<QuotaUsage>& uses);

  // Sets the number of daemons and the shares that the leader had computed at `at`. Shares that are
  // older than the current ones are ignored. `is_direct` says whether the leader itself sends them,
  // at least twice within kDirectSharesLifetime.
  void SetShares(const std::vector<QuotaShare>& shares, std::uint32_t daemons, MonotonicTime at,
                 bool is_direct);
  // The current shares. A relay passes them on to its daemons.
  std::vector<QuotaShare> Shares() const;

 private:
  // Token bucket with this daemon's equal part of a quota. It limits while the shares are invalid.
  struct Bucket {
    double level = 0;
    // Units that more urgent requests may use even if `level` is lower. They are charged to both.
    double urgent_level = 0;
    MonotonicTime updated;
  };

  // Moving average of the units that this daemon was asked for per second, by level.
  struct LocalDemand {
    ByLevel units{};
    MonotonicTime updated;
  };

  double ShareOf(std::uint32_t customer, std::uint8_t level) const;
  void AddLocalDemand(const Customer& customer, std::uint8_t level, double cost, MonotonicTime now);
  bool IsUrgent(const Customer& customer, std::uint8_t level, double cost, MonotonicTime now) const;
  Bucket& FilledBucket(const Customer& customer, MonotonicTime now);

  std::function<void()> on_urgent_;
  QuotaOrder order_ = QuotaOrder::kEqual;
  QuotaUsageSums uses_;
  // By customer and level.
  std::map<std::pair<std::uint32_t, std::uint8_t>, QuotaShare> shares_;
  // Empty unless the order is kPriority.
  std::map<std::uint32_t, LocalDemand> local_demand_;
  std::map<std::uint32_t, Bucket> buckets_;
  std::uint32_t daemons_ = 1;
  bool has_shares_ = false;
  bool is_direct_ = false;
  // When the oldest urgent report was triggered that the leader has not confirmed yet.
  std::optional<MonotonicTime> urgent_since_;
  MonotonicTime shares_at_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_QUOTA_METER_H_
