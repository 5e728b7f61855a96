#include "idle_policy.h"

#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// Ends of the range that idle_weight spans on a logarithmic scale.
constexpr double kLongestIdleSeconds = 1800;
constexpr double kShortestIdleSeconds = 20;

}  // namespace

milliseconds IdleTimeout(double idle_weight) {
  assert(idle_weight >= 0 && idle_weight <= 1);
  const double seconds =
      kLongestIdleSeconds * std::pow(kShortestIdleSeconds / kLongestIdleSeconds, idle_weight);
  return milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

}  // namespace mimosabend
