#include "suspension.h"

#include <ctime>

namespace mimosabend {

milliseconds SuspendedTime() {
  timespec with_suspension{};
  timespec without{};
  ::clock_gettime(CLOCK_BOOTTIME, &with_suspension);
  ::clock_gettime(CLOCK_MONOTONIC, &without);
  const auto difference = seconds(with_suspension.tv_sec - without.tv_sec) +
                          std::chrono::nanoseconds(with_suspension.tv_nsec - without.tv_nsec);
  return std::chrono::duration_cast<milliseconds>(difference);
}

}  // namespace mimosabend
