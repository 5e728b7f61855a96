#include "permit_issuer.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// Longer than any bucket takes to fill, so that a dropped one would have been full at the lowest
// rate. A new one starts empty and thus issues less.
constexpr milliseconds kBucketLifetime{60000};

milliseconds Millis(double seconds) { return milliseconds(std::llround(seconds * 1000)); }

}  // namespace

PermitDecision PermitIssuer::Decide(const PermitDemand& demand, bool confirmed, MonotonicTime now) {
  assert(demand.rate > 0 && std::isfinite(demand.rate));
  const double rate = demand.rate * (confirmed ? 1 : kUnconfirmedShare);
  Bucket& bucket = buckets_.try_emplace(demand.endpoint, Bucket{0, rate, now, now}).first->second;
  const double capacity = kBurstTokens + demand.rate * kBurstSeconds;
  // When the rate changed since the last demand is not known.
  const double accrued = std::min(rate, bucket.rate) * ToSeconds(now - bucket.updated);
  bucket.tokens = std::min(capacity, bucket.tokens + accrued);
  bucket.rate = rate;
  bucket.updated = now;
  const double needed = 1 + (demand.priority == 0 ? 0 : demand.rate * kReserveSeconds);
  if (bucket.tokens >= needed) {
    bucket.tokens -= 1;
    return {true, milliseconds(0)};
  }
  // Those that are turned away ask again one after the other.
  const double interval = 1 / std::max(kDemandsPerPermit * rate, kMaxDemandsPerSecond);
  const MonotonicTime next = now + Millis((needed - bucket.tokens) / rate);
  bucket.last_retry =
      std::clamp(bucket.last_retry + Millis(interval), next, std::max(next, now + kMaxRetryAfter));
  const milliseconds wait = ToMillis(bucket.last_retry - now);
  return {false, std::clamp(wait, kMinRetryAfter, kMaxRetryAfter)};
}

void PermitIssuer::PruneExpired(MonotonicTime now) {
  std::erase_if(buckets_,
                [&](const auto& item) { return now - item.second.updated >= kBucketLifetime; });
}

}  // namespace mimosabend
