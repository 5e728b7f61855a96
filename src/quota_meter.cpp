#include "quota_meter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// Demand above this part of a second's quota is reported at once.
constexpr double kUrgentSeconds = 0.02;
// A refused caller is told to wait until the excess demand of this period would have been served.
// Earlier retries would only displace other requests.
constexpr milliseconds kExcessPeriod{2000};
constexpr double kMinShare = 0.01;
constexpr milliseconds kMinRetryAfter{250};
constexpr milliseconds kMaxRetryAfter{10000};
// Lower limit of a daemon's own bucket, in bursts. What a daemon used beyond its equal part while
// the leader allowed it is a debt that it pays back without a leader. A larger debt would refuse
// too many requests at daemons that receive more than others.
constexpr double kMaxDebtBursts = 2;
constexpr double kMaxCost = 1e9;

milliseconds ClampedRetryAfter(double millis) {
  const double longest = static_cast<double>(kMaxRetryAfter.count());
  const milliseconds bounded(std::llround(std::min(millis, longest)));
  return std::max(kMinRetryAfter, bounded);
}

// Reports count whole units.
std::int32_t ToUnits(double cost) {
  return static_cast<std::int32_t>(std::lround(std::min(cost, kMaxCost)));
}

}  // namespace

std::optional<milliseconds> QuotaMeter::Admit(const Customer& customer, double cost, double draw,
                                              MonotonicTime now) {
  assert(has_shares_);
  Bucket& bucket = FilledBucket(customer, now);
  const bool use_share = HasValidShares(now);
  // One request can cost more than the whole bucket holds, so it is admitted with a probability.
  const double probability =
      use_share ? ShareOf(CustomerNumber(customer.name)) : bucket.level / cost;
  const bool admitted = draw < probability || probability >= 1;
  if (admitted) {
    const std::uint32_t number = CustomerNumber(customer.name);
    AddQuotaUsage(&uses_[number], {number, 0, ToUnits(cost)});
    bucket.level -= cost;
    return std::nullopt;
  }
  const double millis_to_fill =
      std::max(0.0, cost - bucket.level) * daemons_ / customer.quota.rate * 1000;
  const double millis_by_probability = static_cast<double>(kExcessPeriod.count()) *
                                       (1 - probability) / std::max(probability, kMinShare);
  return ClampedRetryAfter(use_share ? millis_by_probability : millis_to_fill);
}

QuotaMeter::Bucket& QuotaMeter::FilledBucket(const Customer& customer, MonotonicTime now) {
  const double rate = customer.quota.rate / daemons_;
  const double capacity = customer.quota.burst / daemons_;
  Bucket& bucket =
      buckets_.try_emplace(CustomerNumber(customer.name), Bucket{capacity, now}).first->second;
  const double filled = bucket.level + rate * ToSeconds(now - bucket.updated);
  bucket.level = std::clamp(filled, -kMaxDebtBursts * capacity, capacity);
  bucket.updated = now;
  return bucket;
}

bool QuotaMeter::HasValidShares(MonotonicTime now) const {
  const bool unconfirmed = urgent_since_ && now - *urgent_since_ >= kUrgentTimeout;
  return has_shares_ && !unconfirmed && now - shares_at_ < kSharesLifetime;
}

void QuotaMeter::AddDemand(const Customer& customer, double cost, MonotonicTime now) {
  const std::uint32_t number = CustomerNumber(customer.name);
  QuotaUsage& use = uses_[number];
  AddQuotaUsage(&use, {number, static_cast<std::uint32_t>(ToUnits(cost)), 0});
  if (use.requested <= customer.quota.rate * kUrgentSeconds) return;
  if (!urgent_since_) urgent_since_ = now;
  on_urgent_();
}

void QuotaMeter::Refund(const Customer& customer, double cost) {
  const std::uint32_t number = CustomerNumber(customer.name);
  const std::int32_t units = ToUnits(cost);
  AddQuotaUsage(&uses_[number], {number, 0, -units});
  const auto bucket = buckets_.find(number);
  if (bucket != buckets_.end()) bucket->second.level += cost;
}

std::vector<QuotaUsage> QuotaMeter::TakeUsage() {
  std::vector<QuotaUsage> taken;
  for (const auto& [number, use] : uses_) taken.push_back(use);
  uses_.clear();
  return taken;
}

void QuotaMeter::RestoreUsage(const std::vector<QuotaUsage>& uses) {
  for (const QuotaUsage& use : uses) AddQuotaUsage(&uses_[use.customer], use);
}

void QuotaMeter::SetShares(const std::vector<QuotaShare>& shares, std::uint32_t daemons,
                           MonotonicTime at) {
  daemons_ = std::max(1U, daemons);
  has_shares_ = true;
  if (at < shares_at_) return;
  shares_at_ = at;
  if (urgent_since_ && at >= *urgent_since_) urgent_since_.reset();
  shares_.clear();
  for (const QuotaShare& probability : shares) shares_[probability.customer] = probability;
}

std::vector<QuotaShare> QuotaMeter::Shares() const {
  std::vector<QuotaShare> shares;
  for (const auto& [number, probability] : shares_) shares.push_back(probability);
  return shares;
}

double QuotaMeter::ShareOf(std::uint32_t customer) const {
  const auto it = shares_.find(customer);
  return it == shares_.end() ? 1 : it->second.fraction();
}

}  // namespace mimosabend
