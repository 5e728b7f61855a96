#ifndef MIMOSABEND_VIEW_AGE_H_
#define MIMOSABEND_VIEW_AGE_H_

#include "clock.h"
#include "gateway_settings.h"

namespace mimosabend {

// Limits on the age of a daemon's view of the store, derived from the configured bounds. All
// functions are thread-safe.

// The leader's view counts as fresh if the store has answered a call that was sent within this
// time. Lease renewals are more frequent.
inline constexpr milliseconds kStoreFreshness{1500};

// How long a view of the store received from the leader is valid without the store; 0 if the bounds
// are too tight for that.
milliseconds RelayedViewLifetime(const GatewayBounds& bounds);

// How long an endpoint whose entry has disappeared remains a fallback, since only its registration
// may have expired. Ends within the drain bound of endpoints.
milliseconds ReappearTime(const GatewayBounds& bounds);

}  // namespace mimosabend

#endif  // MIMOSABEND_VIEW_AGE_H_
