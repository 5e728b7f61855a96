#include "idle_policy.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// Ends of the range that idle_weight spans on a logarithmic scale.
constexpr double kLongestIdleSeconds = 1800;
constexpr double kShortestIdleSeconds = 20;

// Shorter gaps are no idle time: daemons report use for up to 8 s after a request.
constexpr std::int64_t kShortestGapMs = 8000;
// A new gap has this weight and takes 1/64 from the older ones, so that about the last 64 count.
// With 16, models in steady use were unloaded after a few short gaps in a row.
constexpr std::uint32_t kGapWeight = 1 << 16;
constexpr std::uint32_t kFadeDivisor = 64;

// Upper bounds of the gaps in each bucket, growing by half to about 11 hours.
constexpr std::array<std::int64_t, UseHistory::kBuckets> MakeBounds() {
  std::array<std::int64_t, UseHistory::kBuckets> bounds{};
  std::int64_t bound = kShortestGapMs;
  for (std::int64_t& item : bounds) {
    bound = bound * 3 / 2;
    item = bound;
  }
  return bounds;
}

constexpr auto kBoundsMs = MakeBounds();

}  // namespace

void UseHistory::NoteUse(MonotonicTime now) {
  const std::int64_t gap = ToMillis(now - last_use_).count();
  const bool was_idle = used_ && gap >= kShortestGapMs;
  used_ = true;
  last_use_ = now;
  if (!was_idle) return;
  for (std::uint32_t& weight : weights_) weight -= weight / kFadeDivisor;
  const auto bucket = std::lower_bound(kBoundsMs.begin(), kBoundsMs.end() - 1, gap);
  weights_[static_cast<std::size_t>(bucket - kBoundsMs.begin())] += kGapWeight;
  gaps_ = std::min(gaps_ + 1, kMinGaps);
}

milliseconds UseHistory::BestTimeout(milliseconds load_price) const {
  assert(is_known());
  std::int64_t total = 0;
  for (const std::uint32_t weight : weights_) total += weight;
  // Unloading at once costs one load for each gap; waiting costs idle time and saves the loads of
  // the gaps that end before.
  std::int64_t best_timeout = kShortestGapMs;
  std::int64_t best_cost = total * (kShortestGapMs + load_price.count());
  std::int64_t kept_cost = 0;
  std::int64_t longer = total;
  // Gaps in the last bucket have no upper bound, so that no timeout covers them.
  for (std::size_t i = 0; i + 1 < kBuckets; ++i) {
    kept_cost += weights_[i] * kBoundsMs[i];
    longer -= weights_[i];
    const std::int64_t cost = kept_cost + longer * (kBoundsMs[i] + load_price.count());
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
      kLongestIdleSeconds * std::pow(kShortestIdleSeconds / kLongestIdleSeconds, idle_weight);
  return milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

milliseconds IdleTimeout(const UseHistory& history, double idle_weight) {
  const milliseconds price = IdleTimeout(idle_weight);
  return history.is_known() ? history.BestTimeout(price) : price;
}

}  // namespace mimosabend
