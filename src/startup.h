#ifndef MIMOSABEND_STARTUP_H_
#define MIMOSABEND_STARTUP_H_

#include <thread>

#include "clock.h"

namespace mimosabend {

// How long a start waits for what another process may be about to change: settings that are being
// written, or an address that a former process is about to release.
inline constexpr milliseconds kSettingsRetryTime{3000};
// Longer than idle connections are kept, one of which may have the port.
inline constexpr milliseconds kAddressRetryTime{35000};
inline constexpr milliseconds kStartRetryPeriod{100};

// Makes the signals harmless that end a process that has no handler for them: SIGHUP, which may
// arrive before the handler for reloads is installed, and SIGPIPE, which a write to the log raises
// once its reader has gone. Call it first in the main function of a server process.
void IgnoreFatalSignals();

// Calls `attempt` until its result converts to true or `time` has passed, and returns the last
// result. Blocks the thread.
template <class Attempt>
auto RetryAtStart(milliseconds time, Attempt attempt) {
  const MonotonicTime deadline = MonotonicNow() + time;
  auto result = attempt();
  while (!result && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kStartRetryPeriod);
    result = attempt();
  }
  return result;
}

}  // namespace mimosabend

#endif  // MIMOSABEND_STARTUP_H_
