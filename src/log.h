#ifndef MIMOSABEND_LOG_H_
#define MIMOSABEND_LOG_H_

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>

#include "settings.h"

namespace mimosabend {

// Sends log lines to standard error or output in the format asked for. Call it once, before other
// threads start.
void SetUpLog(const LogSettings& settings, const std::string& process_name);

// The logger of the program. Thread-safe.
const log4cplus::Logger& Log();

}  // namespace mimosabend

#endif  // MIMOSABEND_LOG_H_
