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
// The same for the demand at each level while it rises. After a jump, the slower average alone lets
// levels that have become large pass as small ones, which are admitted whole.
constexpr double kRecentDemandSeconds = 0.2;
// More urgent requests are admitted while they demand at most this part of the rate, even if less
// is allowed because too much was used before. The rest of the rate makes up for that.
constexpr double kUrgentPart = 0.75;

// Appends the shares of a customer's levels where they change from one level to the next.
void AddShares(std::uint32_t customer, const ByLevel& by_level, std::vector<QuotaShare>* shares) {
  auto previous = static_cast<std::uint16_t>(QuotaShare::kWhole);
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    const auto share =
        static_cast<std::uint16_t>(std::lround(by_level[level] * QuotaShare::kWhole));
    if (share != previous) shares->push_back({customer, static_cast<std::uint8_t>(level), share});
    previous = share;
  }
}

}  // namespace

void QuotaAllocator::AddUsage(const std::vector<QuotaUsage>& uses, MonotonicTime now) {
  for (const QuotaUsage& use : uses) {
    TokenBucket& bucket =
        buckets_.try_emplace(use.customer, TokenBucket{0, true, now}).first->second;
    bucket.requested += use.requested;
    bucket.requested_by_level[PriorityLevel(use.level)] += use.requested;
    bucket.admitted += use.admitted;
  }
}

void QuotaAllocator::Reset(MonotonicTime now) {
  buckets_.clear();
  reset_at_ = now;
}

void QuotaAllocator::UpdateLevels(double elapsed, TokenBucket* bucket) {
  const double decay = std::exp(-elapsed / kDemandSeconds);
  const double recent_decay = std::exp(-elapsed / kRecentDemandSeconds);
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    const double requested = bucket->requested_by_level[level] / elapsed;
    double& demand = bucket->demand_by_level[level];
    double& recent = bucket->recent_by_level[level];
    demand = demand * decay + requested * (1 - decay);
    recent = recent * recent_decay + requested * (1 - recent_decay);
  }
  bucket->requested_by_level.fill(0);
}

// The larger average of each level. `averaged` is the time in seconds since the averages were zero.
ByLevel QuotaAllocator::DemandByLevel(const TokenBucket& bucket, double averaged) {
  const double weight = 1 - std::exp(-averaged / kDemandSeconds);
  const double recent_weight = 1 - std::exp(-averaged / kRecentDemandSeconds);
  ByLevel demand;
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    demand[level] = std::max(bucket.demand_by_level[level] / weight,
                             bucket.recent_by_level[level] / recent_weight);
  }
  return demand;
}

void QuotaAllocator::Update(double rate, double burst, TokenBucket* bucket, MonotonicTime now) {
  const double elapsed = ToSeconds(now - bucket->updated);
  if (elapsed <= 0) return;
  bucket->updated = now;
  const double decay = std::exp(-elapsed / kDemandSeconds);
  bucket->demand = bucket->demand * decay + bucket->requested / elapsed * (1 - decay);
  UpdateLevels(elapsed, bucket);
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
    if (order_ == QuotaOrder::kPriority) {
      const ByLevel by_level = DemandByLevel(bucket, ToSeconds(averaged));
      AddShares(customer_number, SharesByPriority(by_level, allowed, kUrgentPart * limit.rate),
                &shares);
      continue;
    }
    const double demand = bucket.demand / (1 - std::exp(-ToSeconds(averaged) / kDemandSeconds));
    if (demand <= allowed) continue;
    const double share = allowed / demand;
    shares.push_back({customer_number, 0, static_cast<std::uint16_t>(share * QuotaShare::kWhole)});
  }
  return shares;
}

}  // namespace mimosabend
