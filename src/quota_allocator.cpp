#include "quota_allocator.h"

#include <algorithm>
#include <cmath>

namespace mimosabend {

namespace {

// The level is steered towards this part of the burst, with this time constant, so that noise makes
// the bucket neither overflow nor run empty.
constexpr double kTargetLevel = 0.5;
constexpr double kLevelSeconds = 0.8;
// Part of the tolerance that is added to the burst. The rest covers what daemons admit before they
// receive a new share.
constexpr double kUsedTolerance = 0.5;
// Time constant of the average demand. Every daemon reports at least once within it.
constexpr double kDemandSeconds = 0.6;

}  // namespace

void QuotaAllocator::AddUsage(const std::vector<QuotaUsage>& uses, MonotonicTime now) {
  for (const QuotaUsage& use : uses) {
    TokenBucket& bucket =
        buckets_.try_emplace(use.customer, TokenBucket{0, true, now}).first->second;
    bucket.requested += use.requested;
    bucket.admitted += use.admitted;
  }
}

void QuotaAllocator::Reset(MonotonicTime now) {
  buckets_.clear();
  reset_at_ = now;
}

void QuotaAllocator::Update(double rate, double burst, TokenBucket* bucket, MonotonicTime now) {
  const double elapsed = ToSeconds(now - bucket->updated);
  if (elapsed <= 0) return;
  bucket->updated = now;
  const double decay = std::exp(-elapsed / kDemandSeconds);
  bucket->demand = bucket->demand * decay + bucket->requested / elapsed * (1 - decay);
  bucket->level = std::min(bucket->level + rate * elapsed - bucket->admitted, burst);
  if (bucket->level >= kTargetLevel * burst) bucket->filling = false;
  bucket->requested = 0;
  bucket->admitted = 0;
}

std::vector<QuotaShare> QuotaAllocator::Shares(const CustomerDirectory& customers, double tolerance,
                                               MonotonicTime now) {
  std::vector<QuotaShare> shares;
  for (const auto& [name, customer] : customers.customers()) {
    const QuotaLimit& limit = customer.quota;
    const std::uint32_t customer_number = CustomerNumber(name);
    const auto it = buckets_.find(customer_number);
    if (it == buckets_.end() || !limit.is_limited()) continue;
    TokenBucket& bucket = it->second;
    const double burst = limit.burst + kUsedTolerance * tolerance;
    Update(limit.rate, burst, &bucket, now);
    const double surplus =
        bucket.filling ? std::min(0.0, bucket.level) : bucket.level - kTargetLevel * burst;
    const double allowed = std::max(0.0, limit.rate + surplus / kLevelSeconds);
    // Corrects the bias of the average, which started at zero at the last reset.
    const auto averaged = std::max<MonotonicTime::duration>(now - reset_at_, kWarmUpTime);
    const double demand = bucket.demand / (1 - std::exp(-ToSeconds(averaged) / kDemandSeconds));
    if (demand <= allowed) continue;
    const double share = allowed / demand;
    shares.push_back({customer_number, static_cast<std::uint16_t>(share * QuotaShare::kWhole)});
  }
  return shares;
}

}  // namespace mimosabend
