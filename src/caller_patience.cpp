#include "caller_patience.h"

#include <algorithm>

namespace mimosabend {

namespace {

// Callers of the platform leave after the longest of these.
constexpr milliseconds kLeastPatience{2000};
constexpr int kPatienceInTargets = 4;
constexpr int kPatienceInEventGaps = 8;
constexpr milliseconds kRefusalTime{120};

}  // namespace

milliseconds FirstEventPatience(const Route& route) {
  return std::max({kLeastPatience, route.target_latency * kPatienceInTargets,
                   route.target_event_gap * kPatienceInEventGaps}) -
         kRefusalTime;
}

}  // namespace mimosabend
