#ifndef MIMOSABEND_IDLE_POLICY_H_
#define MIMOSABEND_IDLE_POLICY_H_

#include "clock.h"

namespace mimosabend {

// How long a replica stays loaded after its last use. `idle_weight` runs from 0, shortest cold
// starts, to 1, fewest idle accelerator hours. Thread-safe.
milliseconds IdleTimeout(double idle_weight);

// A replica is not unloaded sooner than this after it was decided, which bounds thrashing.
inline constexpr milliseconds kMinResidence{5000};

}  // namespace mimosabend

#endif  // MIMOSABEND_IDLE_POLICY_H_
