#include "idle_policy.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// Idle timeouts at idle_weight 0 and 1; in between, the scale is logarithmic.
constexpr double kMaxTimeoutSeconds = 1800;
constexpr double kMinTimeoutSeconds = 20;

// Shorter gaps are not idle time, since daemons report use for up to 8 s after a request.
constexpr std::int64_t kMinGapMs = 8000;
// A new gap has this weight and reduces older ones by 1/64, so that about the last 64 gaps count.
// With 16, models in steady use were unloaded after a few short gaps in a row.
constexpr std::uint32_t kGapWeight = 1 << 16;
constexpr std::uint32_t kDecayDivisor = 64;

// Upper bounds of the buckets. Each is 1.5 times the previous one; the largest one in use
// is about 11 hours.
constexpr std::array<std::int64_t, UseHistory::kBuckets> MakeBounds() {
  std::array<std::int64_t, UseHistory::kBuckets> bounds{};
  std::int64_t bound = kMinGapMs;
  for (std::int64_t& item : bounds) {
    bound = bound * 3 / 2;
    item = bound;
  }
  return bounds;
}

constexpr auto kBoundsMs = MakeBounds();

}  // namespace

void UseHistory::RecordUse(MonotonicTime now) {
  const std::int64_t gap = ToMillis(now - last_use_).count();
  const bool was_idle = used_ && gap >= kMinGapMs;
  used_ = true;
  last_use_ = now;
  if (!was_idle) return;
  for (std::uint32_t& weight : weights_) weight -= weight / kDecayDivisor;
  const auto bucket = std::lower_bound(kBoundsMs.begin(), kBoundsMs.end() - 1, gap);
  weights_[static_cast<std::size_t>(bucket - kBoundsMs.begin())] += kGapWeight;
  gap_count_ = std::min(gap_count_ + 1, kMinGaps);
}

milliseconds UseHistory::BestTimeout(milliseconds load_cost) const {
  assert(has_enough_gaps());
  std::int64_t total = 0;
  for (const std::uint32_t weight : weights_) total += weight;
  // A gap shorter than the timeout costs its own length in idle time. A longer one costs the
  // timeout plus one load.
  std::int64_t best_timeout = kMinGapMs;
  std::int64_t best_cost = total * (kMinGapMs + load_cost.count());
  std::int64_t shorter_cost = 0;
  std::int64_t longer_weight = total;
  // Gaps in the last bucket have no upper bound, so no timeout covers them.
  for (std::size_t i = 0; i + 1 < kBuckets; ++i) {
    shorter_cost += weights_[i] * kBoundsMs[i];
    longer_weight -= weights_[i];
    const std::int64_t cost = shorter_cost + longer_weight * (kBoundsMs[i] + load_cost.count());
    if (cost < best_cost) {
      best_cost = cost;
      best_timeout = kBoundsMs[i];
    }
  }
  return milliseconds(best_timeout);
}

milliseconds IdleTimeout(double idle_weight) {
  assert(idle_weight >= 0 && idle_weight <= 1);
  const double seconds =
      kMaxTimeoutSeconds * std::pow(kMinTimeoutSeconds / kMaxTimeoutSeconds, idle_weight);
  return milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

milliseconds IdleTimeout(const UseHistory& history, double idle_weight) {
  const milliseconds load_cost = IdleTimeout(idle_weight);
  return history.has_enough_gaps() ? history.BestTimeout(load_cost) : load_cost;
}

}  // namespace mimosabend
