#ifndef MIMOSABEND_RETRY_BUDGET_H_
#define MIMOSABEND_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "clock.h"

namespace mimosabend {

// Limits of a RetryBudget.
struct RetryLimits {
  // Retries allowed per request within the window.
  double share = 0.1;
  // Retries allowed in addition to that share or, if `extra_is_minimum` is set, the minimum that is
  // allowed when the share is smaller. A daemon with little traffic must still be able to move the
  // batch of one engine (8 requests by default) to another.
  double extra = 10;
  bool extra_is_minimum = true;
  // Requests and retries are counted over this time, in steps of one second.
  seconds window{10};
};

// Limits retries to a share of the requests in a sliding window, so that retries can't multiply the
// load of a failing fleet. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryLimits limits = {}) : limits_(limits) {}

  void set_limits(const RetryLimits& limits) { limits_ = limits; }

  // Counts a new request, not its retries.
  void RecordRequest(MonotonicTime now);

  // Whether the budget allows a retry now.
  bool HasRetry(MonotonicTime now);

  // Whether more than half of the budget is left, so that a second attempt of a request that has
  // not failed may be charged to it.
  bool HasHalf(MonotonicTime now);

  // Takes a retry from the budget. False if none is left or if the retry can't meet the deadline;
  // `expected` is the minimum time that it needs.
  bool TryRetry(MonotonicTime now, MonotonicTime deadline,
                std::chrono::steady_clock::duration expected);

 private:
  // Requests and retries within one second.
  struct Bucket {
    std::int64_t second = 0;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  // Whether `share` of the budget, 0 to 1, allows a retry now.
  bool HasRetry(double share, MonotonicTime now);

  // Removes buckets older than the window and returns the bucket of the current second.
  Bucket* BucketAt(MonotonicTime now);

  RetryLimits limits_;
  // Oldest first.
  std::deque<Bucket> buckets_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RETRY_BUDGET_H_
