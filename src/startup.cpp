#include "startup.h"

#include <csignal>

namespace mimosabend {

void IgnoreFatalSignals() {
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace mimosabend
