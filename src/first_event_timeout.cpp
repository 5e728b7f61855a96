#include "first_event_timeout.h"

#include <algorithm>

namespace mimosabend {

namespace {

// Callers of the platform disconnect if they get no event for the longest of: this minimum, a
// multiple of the route's target latency, and a multiple of its target event gap.
constexpr milliseconds kMinTimeout{2000};
constexpr int kTimeoutInTargets = 4;
constexpr int kTimeoutInEventGaps = 8;
// Time for a refusal to reach the caller.
constexpr milliseconds kRefusalTime{120};

}  // namespace

milliseconds FirstEventTimeout(const Route& route) {
  return std::max({kMinTimeout, route.target_latency * kTimeoutInTargets,
                   route.target_event_gap * kTimeoutInEventGaps}) -
         kRefusalTime;
}

}  // namespace mimosabend
