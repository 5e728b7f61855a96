#ifndef MIMOSABEND_CALLER_PATIENCE_H_
#define MIMOSABEND_CALLER_PATIENCE_H_

#include "clock.h"
#include "fleet_config.h"

namespace mimosabend {

// How long a caller waits for the first event of a stream before it leaves, less the time that a
// refusal needs on its way: a caller that is told to come back does so, one that has left does
// not. Thread-safe.
milliseconds FirstEventPatience(const Route& route);

}  // namespace mimosabend

#endif  // MIMOSABEND_CALLER_PATIENCE_H_
