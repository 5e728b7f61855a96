#include "retry_budget.h"

#include <algorithm>

namespace mimosabend {

namespace {

std::int64_t SecondOf(MonotonicTime now) {
  return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

}  // namespace

RetryBudget::Bucket* RetryBudget::BucketAt(MonotonicTime now) {
  const std::int64_t second = SecondOf(now);
  Bucket* bucket = &buckets_[static_cast<std::size_t>(second % kWindowSeconds)];
  if (bucket->second != second) *bucket = {second, 0, 0};
  return bucket;
}

void RetryBudget::NoteRequest(MonotonicTime now) { ++BucketAt(now)->requests; }

bool RetryBudget::TryRetry(MonotonicTime now, MonotonicTime deadline,
                           std::chrono::steady_clock::duration expected) {
  if (now + expected >= deadline) return false;
  const std::int64_t oldest = SecondOf(now) - kWindowSeconds;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.second <= oldest) continue;
    requests += bucket.requests;
    retries += bucket.retries;
  }
  const auto share = static_cast<std::uint32_t>(kShare * requests);
  if (retries >= std::max(share, kLeastRetries)) return false;
  ++BucketAt(now)->retries;
  return true;
}

}  // namespace mimosabend
