#ifndef MIMOSABEND_FIRST_EVENT_TIMEOUT_H_
#define MIMOSABEND_FIRST_EVENT_TIMEOUT_H_

#include "clock.h"
#include "fleet_config.h"

namespace mimosabend {

// Returns how long after its arrival a request of `route` may wait for the first event of its
// stream. Callers disconnect at a timeout of their own and don't retry then, but they do retry if
// they are refused with Retry-After. So this is that timeout, less the time a refusal takes to
// reach them. Thread-safe.
milliseconds FirstEventTimeout(const Route& route);

}  // namespace mimosabend

#endif  // MIMOSABEND_FIRST_EVENT_TIMEOUT_H_
