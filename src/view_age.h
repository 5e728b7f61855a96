#ifndef MIMOSABEND_VIEW_AGE_H_
#define MIMOSABEND_VIEW_AGE_H_

#include "clock.h"
#include "gateway_settings.h"

namespace mimosabend {

// How old a daemon's view of the store may be, derived from the operator's bounds. All functions
// are thread-safe.

// The leader's view counts as fresh if the store has answered a call that was sent within this
// time. The lease is renewed more often.
inline constexpr milliseconds kStoreFreshness{1500};

// How long what the leader tells of the store stands in for the store; 0 if the bounds leave no
// time for that.
milliseconds RelayedLifetime(const GatewayBounds& bounds);

// How long an endpoint whose entry has vanished is still a last resort, since its entry may only
// have lapsed. Ends within the bound for endpoints that leave.
milliseconds ReappearTime(const GatewayBounds& bounds);

}  // namespace mimosabend

#endif  // MIMOSABEND_VIEW_AGE_H_
