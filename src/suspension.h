#ifndef MIMOSABEND_SUSPENSION_H_
#define MIMOSABEND_SUSPENSION_H_

#include "clock.h"

namespace mimosabend {

// Total time that the host has been suspended since it started, which the monotonic clock does not
// count. Thread-safe.
milliseconds SuspendedTime();

}  // namespace mimosabend

#endif  // MIMOSABEND_SUSPENSION_H_
