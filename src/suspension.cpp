#include "suspension.h"

#include <ctime>

namespace mimosabend {

milliseconds SuspendedTime() {
  timespec with_suspension{};
  timespec without_suspension{};
  ::clock_gettime(CLOCK_BOOTTIME, &with_suspension);
  ::clock_gettime(CLOCK_MONOTONIC, &without_suspension);
  const auto difference =
      seconds(with_suspension.tv_sec - without_suspension.tv_sec) +
      std::chrono::nanoseconds(with_suspension.tv_nsec - without_suspension.tv_nsec);
  return std::chrono::duration_cast<milliseconds>(difference);
}

}  // namespace mimosabend
