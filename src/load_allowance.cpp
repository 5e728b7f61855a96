#include "load_allowance.h"

#include <algorithm>
#include <cassert>

namespace mimosabend {

namespace {

// Loads in progress that are tried before any has ended.
constexpr std::uint32_t kFirstLimit = 3;
constexpr std::uint32_t kLargestLimit = 64;
// A load that takes this much longer than at full speed shows that too many are in progress.
constexpr double kSlowFactor = 1.25;
// Kept free for a load that begins later than it was ordered.
constexpr double kReserve = 1;

}  // namespace

LoadAllowance::LoadAllowance(double rate, seconds window, double over, double extra, bool empty,
                             MonotonicTime now)
    : rate_(rate),
      capacity_(std::max(
          1.0, rate * static_cast<double>(window.count()) * (over - 1) + extra - kReserve)),
      tokens_(empty ? 0 : capacity_),
      updated_(now),
      limit_(kFirstLimit) {}

double LoadAllowance::Tokens(MonotonicTime now) const {
  return std::min(capacity_, tokens_ + rate_ * ToSeconds(now - updated_));
}

bool LoadAllowance::MayStart(MonotonicTime now) const {
  return in_progress_ < limit_ && Tokens(now) >= 1;
}

void LoadAllowance::Start(MonotonicTime now) {
  assert(MayStart(now));
  tokens_ = Tokens(now) - 1;
  updated_ = now;
  ++in_progress_;
}

void LoadAllowance::End(milliseconds taken, milliseconds nominal) {
  assert(in_progress_ > 0);
  const std::uint32_t together = in_progress_--;
  const bool slow =
      static_cast<double>(taken.count()) > kSlowFactor * static_cast<double>(nominal.count());
  if (slow) {
    limit_ = std::max(1U, std::min(limit_, together) - 1);
  } else if (together >= limit_) {
    limit_ = std::min(kLargestLimit, limit_ + 1);
  }
}

}  // namespace mimosabend
