#ifndef MIMOSABEND_RETRY_BUDGET_H_
#define MIMOSABEND_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "clock.h"

namespace mimosabend {

// What a daemon may retry within a window of RetryBudget.
struct RetryLimits {
  // Share of the requests.
  double share = 0.1;
  // Retries beyond that share, or instead of it if `at_least` is set. A daemon with little traffic
  // must still be able to move one engine's batch (8 by default).
  double extra = 10;
  bool at_least = true;
  // Requests and retries are counted over this time.
  seconds window{10};
};

// Bounds the retries of a daemon, so that they can't multiply the load of a failing fleet.
// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryLimits limits = {}) : limits_(limits) {}

  void set_limits(const RetryLimits& limits) { limits_ = limits; }

  // Notes a new request.
  void NoteRequest(MonotonicTime now);

  // Whether the budget has a retry left.
  bool HasRetry(MonotonicTime now);

  // True if a retry may start, which counts it. `expected` is the least time that the retry
  // needs; a retry that can't meet the deadline is not allowed.
  bool TryRetry(MonotonicTime now, MonotonicTime deadline,
                std::chrono::steady_clock::duration expected);

 private:
  // What happened in one second.
  struct Bucket {
    std::int64_t second = 0;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  // The bucket of this second. Those that the window has left are dropped.
  Bucket* BucketAt(MonotonicTime now);

  RetryLimits limits_;
  // The oldest first.
  std::deque<Bucket> buckets_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RETRY_BUDGET_H_
