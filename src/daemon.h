#ifndef MIMOSABEND_DAEMON_H_
#define MIMOSABEND_DAEMON_H_

#include "settings.h"

namespace mimosabend {

// Runs a daemon until it is told to stop, then ends the process; never returns. The first SIGTERM
// or SIGINT starts a drain. Exit codes: 0 after a drain, 1 if a listener could not be opened or a
// task failed too often, 2 after a second signal, which ends the process without finishing the
// drain.
int RunDaemon(const DaemonSettings& settings);

}  // namespace mimosabend

#endif  // MIMOSABEND_DAEMON_H_
