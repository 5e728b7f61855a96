#ifndef MIMOSABEND_SUSPENSION_H_
#define MIMOSABEND_SUSPENSION_H_

#include "clock.h"

namespace mimosabend {

// How long the host has been suspended since it started. The monotonic clock does not count that
// time. Thread-safe.
milliseconds SuspendedTime();

}  // namespace mimosabend

#endif  // MIMOSABEND_SUSPENSION_H_
