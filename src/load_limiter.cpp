#include "load_limiter.h"

#include <algorithm>
#include <cassert>

namespace mimosabend {

namespace {

// Limit on concurrent loads until the first one has ended.
constexpr std::uint32_t kInitialLimit = 3;
constexpr std::uint32_t kMaxLimit = 64;
// A load that takes longer than this multiple of its nominal duration lowers the limit.
constexpr double kSlowFactor = 1.25;
// Tokens kept in reserve for a load that begins later than it was ordered.
constexpr double kReservedTokens = 1;

}  // namespace

LoadLimiter::LoadLimiter(double rate, seconds window, double over, double burst, bool empty,
                         MonotonicTime now)
    : rate_(rate),
      capacity_(std::max(
          1.0, rate * static_cast<double>(window.count()) * (over - 1) + burst - kReservedTokens)),
      tokens_(empty ? 0 : capacity_),
      updated_(now),
      limit_(kInitialLimit) {}

double LoadLimiter::Tokens(MonotonicTime now) const {
  return std::min(capacity_, tokens_ + rate_ * ToSeconds(now - updated_));
}

bool LoadLimiter::MayStart(MonotonicTime now) const {
  return in_progress_ < limit_ && Tokens(now) >= 1;
}

void LoadLimiter::Start(MonotonicTime now) {
  assert(MayStart(now));
  tokens_ = Tokens(now) - 1;
  updated_ = now;
  ++in_progress_;
}

void LoadLimiter::End(milliseconds duration, milliseconds nominal) {
  assert(in_progress_ > 0);
  const std::uint32_t concurrent = in_progress_--;
  const bool slow =
      static_cast<double>(duration.count()) > kSlowFactor * static_cast<double>(nominal.count());
  if (slow) {
    limit_ = std::max(1U, std::min(limit_, concurrent) - 1);
  } else if (concurrent >= limit_) {
    limit_ = std::min(kMaxLimit, limit_ + 1);
  }
}

}  // namespace mimosabend
