#ifndef MIMOSABEND_RETRY_BUDGET_H_
#define MIMOSABEND_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

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
};

// Bounds the retries of a daemon, so that they can't multiply the load of a failing fleet.
// Not thread-safe.
class RetryBudget {
 public:
  static constexpr std::int64_t kWindowSeconds = 10;

  explicit RetryBudget(RetryLimits limits = {}) : limits_(limits) {}

  void set_limits(const RetryLimits& limits) { limits_ = limits; }

  // Notes a new request.
  void NoteRequest(MonotonicTime now);

  // True if a retry may start, which counts it. `expected` is the least time that the retry
  // needs; a retry that can't meet the deadline is not allowed.
  bool TryRetry(MonotonicTime now, MonotonicTime deadline,
                std::chrono::steady_clock::duration expected);

 private:
  // What happened in one second.
  struct Bucket {
    std::int64_t second = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  Bucket* BucketAt(MonotonicTime now);

  RetryLimits limits_;
  std::array<Bucket, kWindowSeconds> buckets_{};
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RETRY_BUDGET_H_
