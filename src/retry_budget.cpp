#include "retry_budget.h"

#include <algorithm>
#include <cmath>

namespace mimosabend {

namespace {

std::int64_t SecondOf(MonotonicTime now) {
  return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

}  // namespace

RetryBudget::Bucket* RetryBudget::BucketAt(MonotonicTime now) {
  const std::int64_t second = SecondOf(now);
  while (!buckets_.empty() && buckets_.front().second <= second - limits_.window.count()) {
    buckets_.pop_front();
  }
  if (buckets_.empty() || buckets_.back().second != second) buckets_.push_back({second, 0, 0});
  return &buckets_.back();
}

void RetryBudget::RecordRequest(MonotonicTime now) { ++BucketAt(now)->requests; }

bool RetryBudget::HasRetry(MonotonicTime now) { return HasRetry(1, now); }

bool RetryBudget::HasHalf(MonotonicTime now) { return HasRetry(0.5, now); }

bool RetryBudget::HasRetry(double share, MonotonicTime now) {
  // Removes buckets older than the window.
  BucketAt(now);
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  for (const Bucket& bucket : buckets_) {
    requests += bucket.requests;
    retries += bucket.retries;
  }
  const double per_request = limits_.share * requests;
  const double allowed = limits_.extra_is_minimum ? std::max(std::floor(per_request), limits_.extra)
                                                  : per_request + limits_.extra;
  return retries + 1 <= share * allowed;
}

bool RetryBudget::TryRetry(MonotonicTime now, MonotonicTime deadline,
                           std::chrono::steady_clock::duration expected) {
  if (now + expected >= deadline || !HasRetry(now)) return false;
  ++BucketAt(now)->retries;
  return true;
}

}  // namespace mimosabend
