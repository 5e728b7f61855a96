#include "quota_order.h"

#include <cassert>
#include <numeric>

namespace mimosabend {

namespace {

// Part of its share under equal treatment that each level gets, so that none starves.
constexpr double kMinPart = 0.25;

// The least urgent level with demand; 0 if there is none.
std::size_t LastLevel(const ByLevel& demand) {
  std::size_t last = 0;
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    if (demand[level] > 0) last = level;
  }
  return last;
}

}  // namespace

ByLevel SharesByPriority(const ByLevel& demand, double allowed, double reserved) {
  const double total = std::accumulate(demand.begin(), demand.end(), 0.0);
  assert(allowed >= 0 && reserved >= 0 && total >= 0);
  ByLevel shares;
  shares.fill(1);
  if (total <= allowed) return shares;
  const double least = kMinPart * allowed / total;
  const std::size_t last = LastLevel(demand);
  double left = allowed - least * total;
  double reserved_left = reserved;
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    const double available = std::max(0.0, left);
    const double wanted = (1 - least) * demand[level];
    reserved_left -= demand[level];
    const bool is_reserved = level < last && reserved_left >= 0;
    double more = available > 0 || is_reserved ? 1 - least : 0;
    if (wanted > available && !is_reserved) more = available / demand[level];
    shares[level] = least + more;
    left -= more * demand[level];
  }
  return shares;
}

}  // namespace mimosabend
