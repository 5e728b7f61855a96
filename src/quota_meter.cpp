#include "quota_meter.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <numeric>

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
// Without a leader, more urgent requests may use this part of a daemon's rate even if its bucket is
// empty. The rest of the rate is left for less urgent ones.
constexpr double kUrgentPart = 0.75;
// Part of a daemon's burst that more urgent requests may use beyond that rate. It adds to what all
// daemons can use in a window without a leader.
constexpr double kUrgentBurstPart = 1.0;
// Levels with less than this part of the local demand don't make others urgent.
constexpr double kMinDemandPart = 0.01;
// Local demand counts as little even if it is above kUrgentPart by this many requests within the
// averaging time, since single requests are many times a daemon's part.
constexpr double kToleratedRequests = 2;
// Time constant of the average of the local demand. A daemon may get few requests of a customer.
constexpr double kLocalDemandSeconds = 3;

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

std::optional<milliseconds> QuotaMeter::Admit(const Customer& customer, std::uint8_t level,
                                              double cost, double draw, MonotonicTime now) {
  assert(has_shares_ && level < kPriorityLevels);
  Bucket& bucket = FilledBucket(customer, now);
  const bool use_share = HasValidShares(now);
  const bool use_urgent_level =
      !use_share && bucket.urgent_level > bucket.level && IsUrgent(customer, level, cost, now);
  const double available = use_urgent_level ? bucket.urgent_level : bucket.level;
  // One request can cost more than the whole bucket holds, so it is admitted with a probability.
  const double probability =
      use_share ? ShareOf(CustomerNumber(customer.name), level) : available / cost;
  const bool admitted = draw < probability || probability >= 1;
  if (admitted) {
    const std::uint32_t number = CustomerNumber(customer.name);
    uses_.Add(QuotaUsage{number, level, 0, ToUnits(cost)});
    bucket.level -= cost;
    if (use_urgent_level) bucket.urgent_level -= cost;
    return std::nullopt;
  }
  const double millis_to_fill =
      std::max(0.0, cost - available) * daemons_ / customer.quota.rate * 1000;
  const double millis_by_probability = static_cast<double>(kExcessPeriod.count()) *
                                       (1 - probability) / std::max(probability, kMinShare);
  return ClampedRetryAfter(use_share ? millis_by_probability : millis_to_fill);
}

QuotaMeter::Bucket& QuotaMeter::FilledBucket(const Customer& customer, MonotonicTime now) {
  const double rate = customer.quota.rate / daemons_;
  const double capacity = customer.quota.burst / daemons_;
  Bucket& bucket =
      buckets_.try_emplace(CustomerNumber(customer.name), Bucket{capacity, 0, now}).first->second;
  const double elapsed = ToSeconds(now - bucket.updated);
  bucket.level = std::clamp(bucket.level + rate * elapsed, -kMaxDebtBursts * capacity, capacity);
  bucket.urgent_level =
      std::min(bucket.urgent_level + kUrgentPart * rate * elapsed, kUrgentBurstPart * capacity);
  bucket.updated = now;
  return bucket;
}

bool QuotaMeter::HasValidShares(MonotonicTime now) const {
  const milliseconds lifetime = is_direct_ ? kDirectSharesLifetime : kSharesLifetime;
  const milliseconds timeout = is_direct_ ? kDirectUrgentTimeout : kUrgentTimeout;
  const bool unconfirmed = urgent_since_ && now - *urgent_since_ >= timeout;
  return has_shares_ && !unconfirmed && now - shares_at_ < lifetime;
}

void QuotaMeter::AddDemand(const Customer& customer, std::uint8_t level, double cost,
                           MonotonicTime now) {
  assert(level < kPriorityLevels);
  const std::uint32_t number = CustomerNumber(customer.name);
  uses_.Add(QuotaUsage{number, level, static_cast<std::uint32_t>(ToUnits(cost)), 0});
  if (order_ == QuotaOrder::kPriority) AddLocalDemand(customer, level, cost, now);
  const auto requested = static_cast<double>(uses_.Requested(number));
  if (requested <= customer.quota.rate * kUrgentSeconds) return;
  if (!urgent_since_) urgent_since_ = now;
  on_urgent_();
}

void QuotaMeter::AddLocalDemand(const Customer& customer, std::uint8_t level, double cost,
                                MonotonicTime now) {
  LocalDemand& demand =
      local_demand_.try_emplace(CustomerNumber(customer.name), LocalDemand{{}, now}).first->second;
  const double decay = std::exp(-ToSeconds(now - demand.updated) / kLocalDemandSeconds);
  for (double& units : demand.units) units *= decay;
  demand.units[level] += cost / kLocalDemandSeconds;
  demand.updated = now;
}

// Whether a request comes before others without a leader: less urgent ones are requested, and its
// level and those before it together demand little.
bool QuotaMeter::IsUrgent(const Customer& customer, std::uint8_t level, double cost,
                          MonotonicTime now) const {
  const auto it = local_demand_.find(CustomerNumber(customer.name));
  if (order_ != QuotaOrder::kPriority || it == local_demand_.end()) return false;
  const ByLevel& units = it->second.units;
  const double urgent = std::accumulate(units.begin(), units.begin() + level + 1, 0.0);
  const double others = std::accumulate(units.begin() + level + 1, units.end(), 0.0);
  if (others < kMinDemandPart * (urgent + others)) return false;
  const double decay = std::exp(-ToSeconds(now - it->second.updated) / kLocalDemandSeconds);
  const double little = kUrgentPart * customer.quota.rate / daemons_ +
                        kToleratedRequests * cost / kLocalDemandSeconds;
  return urgent * decay <= little;
}

void QuotaMeter::Refund(const Customer& customer, std::uint8_t level, double cost) {
  const std::uint32_t number = CustomerNumber(customer.name);
  const std::int32_t units = ToUnits(cost);
  uses_.Add(QuotaUsage{number, level, 0, -units});
  const auto bucket = buckets_.find(number);
  if (bucket != buckets_.end()) bucket->second.level += cost;
}

std::vector<QuotaUsage> QuotaMeter::TakeUsage() { return uses_.Take(); }

void QuotaMeter::RestoreUsage(const std::vector<QuotaUsage>& uses) { uses_.Add(uses); }

void QuotaMeter::SetShares(const std::vector<QuotaShare>& shares, std::uint32_t daemons,
                           MonotonicTime at, bool is_direct) {
  daemons_ = std::max(1U, daemons);
  has_shares_ = true;
  if (at < shares_at_) return;
  shares_at_ = at;
  is_direct_ = is_direct;
  if (urgent_since_ && at >= *urgent_since_) urgent_since_.reset();
  shares_.clear();
  for (const QuotaShare& share : shares) shares_[{share.customer, share.level}] = share;
}

std::vector<QuotaShare> QuotaMeter::Shares() const {
  std::vector<QuotaShare> shares;
  for (const auto& [key, share] : shares_) shares.push_back(share);
  return shares;
}

double QuotaMeter::ShareOf(std::uint32_t customer, std::uint8_t level) const {
  const auto next = shares_.upper_bound({customer, level});
  if (next == shares_.begin()) return 1;
  const QuotaShare& share = std::prev(next)->second;
  return share.customer == customer ? share.fraction() : 1;
}

}  // namespace mimosabend
