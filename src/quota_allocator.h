#ifndef MIMOSABEND_QUOTA_ALLOCATOR_H_
#define MIMOSABEND_QUOTA_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <vector>

#include "clock.h"
#include "customer.h"
#include "quota_order.h"
#include "quota_usage.h"

namespace mimosabend {

// Keeps a token bucket per customer at the placement leader, from what all daemons report that they
// use, and computes the share of each customer's requests that daemons may admit. The sum over all
// daemons thus follows the quota, whichever daemons receive the requests. Not thread-safe.
class QuotaAllocator {
 public:
  // After a change of the leader, all daemons normally find the new one and report to it within
  // this time.
  static constexpr milliseconds kWarmUpTime{400};

  // How a customer's quota is divided among requests of different priorities.
  void set_order(QuotaOrder order) { order_ = order; }

  // Adds what daemons report that they have used.
  void AddUsage(const std::vector<QuotaUsage>& uses, MonotonicTime now);

  // Updates the buckets and returns the shares of the customers that request more than they may
  // use. `tolerance` is in units: how far the operator lets a customer exceed its quota. It keeps
  // single large requests of a small customer from being refused.
  std::vector<QuotaShare> Shares(const CustomerDirectory& customers, double tolerance,
                                 MonotonicTime now);

  // Drops all state when this daemon becomes leader. Earlier use is unknown, so buckets start
  // empty; customers may use their rate while the buckets fill. Demand is unknown at first, too:
  // see HasValidDemand.
  void Reset(MonotonicTime now);

  // Whether the daemons have had time to report since the last reset, so that shares are valid.
  bool HasValidDemand(MonotonicTime now) const { return now - reset_at_ >= kWarmUpTime; }

 private:
  struct TokenBucket {
    // Units available now; negative if more were used.
    double level = 0;
    // The level has not reached its target since the last reset.
    bool filling = true;
    MonotonicTime updated;
    // Units requested and admitted since the last update.
    double requested = 0;
    double admitted = 0;
    // Moving average of the units requested per second.
    double demand = 0;
    // The same by priority level, with a slower and a faster moving average.
    ByLevel requested_by_level{};
    ByLevel demand_by_level{};
    ByLevel recent_by_level{};
  };

  static void UpdateLevels(double elapsed, TokenBucket* bucket);
  static ByLevel DemandByLevel(const TokenBucket& bucket, double averaged);
  void Update(double rate, double burst, TokenBucket* bucket, MonotonicTime now);

  QuotaOrder order_ = QuotaOrder::kEqual;
  std::map<std::uint32_t, TokenBucket> buckets_;
  MonotonicTime reset_at_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_QUOTA_ALLOCATOR_H_
