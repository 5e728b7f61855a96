#ifndef MIMOSABEND_RETRY_BUDGET_H_
#define MIMOSABEND_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "clock.h"

namespace mimosabend {

// Bounds the retries of a daemon, so that they can't multiply the load of a failing fleet: 10% of
// the requests of the last 10 s, and at least 10. Not thread-safe.
class RetryBudget {
 public:
  static constexpr std::int64_t kWindowSeconds = 10;
  static constexpr double kShare = 0.1;
  // A daemon with little traffic must still be able to move one engine's batch (8 by default).
  static constexpr std::uint32_t kLeastRetries = 10;

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

  std::array<Bucket, kWindowSeconds> buckets_{};
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RETRY_BUDGET_H_
