#include "hedge_budget.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <string>

#include "digest.h"

namespace mimosabend {

namespace {

constexpr double kCostSmoothing = 0.1;

std::int64_t SecondOf(MonotonicTime now) {
  return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

}  // namespace

HedgeBudget::Bucket* HedgeBudget::BucketAt(MonotonicTime now) {
  const std::int64_t second = SecondOf(now);
  // One bucket more than the window: the charge of a second attempt must stay for all of it.
  while (!buckets_.empty() && buckets_.front().second < second - kWindow.count()) {
    buckets_.pop_front();
  }
  if (buckets_.empty() || buckets_.back().second < second) buckets_.push_back({second, 0, 0});
  return &buckets_.back();
}

void HedgeBudget::RecordWork(double work, MonotonicTime now) { BucketAt(now)->base += work; }

double HedgeBudget::extra_work(MonotonicTime now) {
  BucketAt(now);
  double sum = 0;
  for (const Bucket& bucket : buckets_) sum += bucket.extra;
  return sum;
}

double HedgeBudget::base_work(MonotonicTime now) {
  BucketAt(now);
  double sum = 0;
  for (const Bucket& bucket : buckets_) {
    if (bucket.second > SecondOf(now) - kWindow.count()) sum += bucket.base;
  }
  return sum;
}

double HedgeBudget::ExpectedCost(double mean) const { return std::max(mean, average_cost_); }

// Windows begin at a different time in each process, so that the daemons don't send their second
// attempts together.
double HedgeBudget::Draw(MonotonicTime now) const {
  const std::int64_t offset = static_cast<std::int64_t>(process_ % kWindow.count());
  const std::int64_t window = (SecondOf(now) + offset) / kWindow.count();
  constexpr double kScale = 1 << 20;
  return static_cast<double>(Hash64(std::to_string(window), process_) % (1 << 20)) / kScale;
}

bool HedgeBudget::Allows(double share, double mean, MonotonicTime now) {
  assert(share > 0 && mean > 0);
  const double cost = ExpectedCost(mean);
  const double entitled = share * kUsedShare * base_work(now) / cost;
  const double whole = std::floor(entitled);
  const double allowed = whole + (Draw(now) < entitled - whole ? 1 : 0);
  // Tolerates rounding of sums of charges.
  constexpr double kRounding = 1e-9;
  return extra_work(now) + cost <= allowed * cost + kRounding;
}

HedgeBudget::Reservation HedgeBudget::Reserve(double mean, MonotonicTime now) {
  const Reservation reservation{SecondOf(now), ExpectedCost(mean)};
  BucketAt(now)->extra += reservation.cost;
  return reservation;
}

void HedgeBudget::Settle(const Reservation& reservation, double work, MonotonicTime now) {
  average_cost_ = average_cost_ == 0 ? work : average_cost_;
  average_cost_ += kCostSmoothing * (work - average_cost_);
  Bucket* current = BucketAt(now);
  if (work > reservation.cost) {
    current->extra += work - reservation.cost;
    return;
  }
  const auto charged = std::find_if(buckets_.begin(), buckets_.end(), [&](const Bucket& bucket) {
    return bucket.second == reservation.second;
  });
  if (charged != buckets_.end()) charged->extra -= reservation.cost - work;
}

}  // namespace mimosabend
