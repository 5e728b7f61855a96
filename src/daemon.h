#ifndef MIMOSABEND_DAEMON_H_
#define MIMOSABEND_DAEMON_H_

#include "settings.h"

namespace mimosabend {

// Runs a daemon until it is told to stop: the first SIGTERM or SIGINT drains it, a second one
// ends it at once. Returns the exit code of the process: 0 after a drain, 1 if it could not start
// or a part failed for good.
int RunDaemon(const DaemonSettings& settings);

}  // namespace mimosabend

#endif  // MIMOSABEND_DAEMON_H_
