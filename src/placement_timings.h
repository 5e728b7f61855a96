#ifndef MIMOSABEND_PLACEMENT_TIMINGS_H_
#define MIMOSABEND_PLACEMENT_TIMINGS_H_

#include "clock.h"
#include "idle_policy.h"

namespace mimosabend {

// Periods and timeouts of leases and placement. Tests use shorter values in the same proportions.
struct PlacementTimings {
  // The key-value service ends a lease that has not been renewed for this long.
  milliseconds lease_time_to_live{6000};
  milliseconds lease_renew_period{2000};
  // The holder stops relying on its lease this long after it sent the last successful renewal. The
  // rest of the time to live covers a pause of the process between the check and the action.
  milliseconds lease_safe_time{4000};
  milliseconds lease_retry_delay{500};
  milliseconds take_over_retry{500};
  milliseconds decide_period{500};
  milliseconds endpoint_period{500};
  // Replaces endpoint_period while loads or unloads are in progress.
  milliseconds loading_period{50};
  milliseconds order_repeat{1000};
  // Demand expires unless it is reported again within this time.
  milliseconds demand_lifetime{3000};
  milliseconds min_residence = kMinResidence;
  // A host counts as missing after it has been absent from the host list for this long, and as gone
  // after it has not answered for this long either. A list that omits a live host for a moment
  // during a network partition must not release what the host holds.
  milliseconds vanish_grace{5000};
  // Maximum delay after which an order of unknown outcome may still arrive at an engine that
  // ignores fencing tokens.
  milliseconds late_order_hold{60000};
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PLACEMENT_TIMINGS_H_
