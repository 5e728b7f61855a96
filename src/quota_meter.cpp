#include "quota_meter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// Use beyond this part of a second's quota is reported at once.
constexpr double kUrgentPart = 0.02;
// A caller comes back once what is asked for beyond the quota within this time would have been
// served. Earlier returns would only take the places of others.
constexpr milliseconds kShareRetryAfter{2000};
constexpr double kLeastShare = 0.01;
constexpr milliseconds kLeastRetryAfter{250};
constexpr milliseconds kLongestRetryAfter{10000};
// A daemon makes up for use beyond its part, which the leader allowed, up to this many bursts. More
// would refuse too much at daemons that have more callers than others.
constexpr double kLargestDebt = 2;
constexpr double kLargestCost = 1e9;

milliseconds Bounded(double millis) {
  const double longest = static_cast<double>(kLongestRetryAfter.count());
  const milliseconds bounded(std::llround(std::min(millis, longest)));
  return std::max(kLeastRetryAfter, bounded);
}

// Whole units, as reports count them.
std::int32_t ToUnits(double cost) {
  return static_cast<std::int32_t>(std::lround(std::min(cost, kLargestCost)));
}

}  // namespace

std::optional<milliseconds> QuotaMeter::Admit(const Customer& customer, double cost, double draw,
                                              MonotonicTime now) {
  assert(informed_);
  Bucket& bucket = FilledBucket(customer, now);
  const bool led = IsLed(now);
  // A part is small beside a single request, so it gives only the chance of one.
  const double share = led ? ShareOf(CustomerNumber(customer.name)) : bucket.level / cost;
  const bool admitted = draw < share || share >= 1;
  if (admitted) {
    const std::uint32_t number = CustomerNumber(customer.name);
    AddQuotaUse(&uses_[number], {number, 0, ToUnits(cost)});
    bucket.level -= cost;
    return std::nullopt;
  }
  const double millis_to_fill =
      std::max(0.0, cost - bucket.level) * daemons_ / customer.quota.rate * 1000;
  const double millis_by_share =
      static_cast<double>(kShareRetryAfter.count()) * (1 - share) / std::max(share, kLeastShare);
  return Bounded(led ? millis_by_share : millis_to_fill);
}

QuotaMeter::Bucket& QuotaMeter::FilledBucket(const Customer& customer, MonotonicTime now) {
  const double rate = customer.quota.rate / daemons_;
  const double most = customer.quota.burst / daemons_;
  Bucket& bucket =
      buckets_.try_emplace(CustomerNumber(customer.name), Bucket{most, now}).first->second;
  const double filled = bucket.level + rate * ToSeconds(now - bucket.updated);
  bucket.level = std::clamp(filled, -kLargestDebt * most, most);
  bucket.updated = now;
  return bucket;
}

bool QuotaMeter::IsLed(MonotonicTime now) const {
  const bool unheard = urgent_since_ && now - *urgent_since_ >= kUrgentLifetime;
  return informed_ && !unheard && now - shares_at_ < kNewsLifetime;
}

void QuotaMeter::Ask(const Customer& customer, double cost, MonotonicTime now) {
  const std::uint32_t number = CustomerNumber(customer.name);
  QuotaUse& use = uses_[number];
  AddQuotaUse(&use, {number, static_cast<std::uint32_t>(ToUnits(cost)), 0});
  if (use.asked <= customer.quota.rate * kUrgentPart) return;
  if (!urgent_since_) urgent_since_ = now;
  on_urgent_();
}

void QuotaMeter::GiveBack(const Customer& customer, double cost) {
  const std::uint32_t number = CustomerNumber(customer.name);
  const std::int32_t units = ToUnits(cost);
  AddQuotaUse(&uses_[number], {number, 0, -units});
  const auto bucket = buckets_.find(number);
  if (bucket != buckets_.end()) bucket->second.level += cost;
}

std::vector<QuotaUse> QuotaMeter::Take() {
  std::vector<QuotaUse> taken;
  for (const auto& [number, use] : uses_) taken.push_back(use);
  uses_.clear();
  return taken;
}

void QuotaMeter::Return(const std::vector<QuotaUse>& uses) {
  for (const QuotaUse& use : uses) AddQuotaUse(&uses_[use.customer], use);
}

void QuotaMeter::SetShares(const std::vector<QuotaShare>& shares, std::uint32_t daemons,
                           MonotonicTime at) {
  daemons_ = std::max(1U, daemons);
  informed_ = true;
  if (at < shares_at_) return;
  shares_at_ = at;
  if (urgent_since_ && at >= *urgent_since_) urgent_since_.reset();
  shares_.clear();
  for (const QuotaShare& share : shares) shares_[share.customer] = share;
}

std::vector<QuotaShare> QuotaMeter::Shares() const {
  std::vector<QuotaShare> shares;
  for (const auto& [number, share] : shares_) shares.push_back(share);
  return shares;
}

double QuotaMeter::ShareOf(std::uint32_t customer) const {
  const auto it = shares_.find(customer);
  return it == shares_.end() ? 1 : it->second.fraction();
}

}  // namespace mimosabend
