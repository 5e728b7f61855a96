#ifndef MIMOSABEND_PLACEMENT_TIMINGS_H_
#define MIMOSABEND_PLACEMENT_TIMINGS_H_

#include "clock.h"
#include "idle_policy.h"

namespace mimosabend {

// Periods and time-outs of leases and placement. Tests pass shorter ones in the same proportions.
struct PlacementTimings {
  // How long the key-value service keeps a lease that is not renewed.
  milliseconds lease_time_to_live{6000};
  milliseconds lease_renew_period{2000};
  // The holder stops acting on its lease this long after it sent the last renewal that succeeded.
  // What is left of the time to live covers a pause between the check and the act.
  milliseconds lease_safe_time{4000};
  milliseconds lease_retry_delay{500};
  milliseconds take_over_retry{500};
  milliseconds decide_period{500};
  milliseconds endpoint_period{500};
  // Period of an endpoint with loads or unloads in progress.
  milliseconds loading_period{50};
  milliseconds order_repeat{1000};
  // Demand that is not repeated within this time counts no more.
  milliseconds demand_lifetime{3000};
  milliseconds min_residence = kMinResidence;
  // A host is held to be missing once the host list has not named it, and gone once it has not
  // answered either, for this long: a list that lacks a live host for a moment while a link is cut
  // must not free what the host holds.
  milliseconds vanish_grace{5000};
  // Longest time after which an order of unknown outcome may still arrive at an engine that
  // ignores fences.
  milliseconds late_order_hold{60000};
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PLACEMENT_TIMINGS_H_
