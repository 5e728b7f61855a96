#ifndef MIMOSABEND_LOG_H_
#define MIMOSABEND_LOG_H_

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>
#include <string_view>

#include "settings.h"

namespace mimosabend {

// Configures logging to standard error or standard output, with the format and level of `settings`.
// Must be called once, before other threads are started.
void SetUpLog(const LogSettings& settings, const std::string& process_name);

// Replaces control characters, so that text of others stays within its log line. Thread-safe.
std::string EscapeControlCharacters(std::string_view text);

// Returns the logger of the process. Thread-safe.
const log4cplus::Logger& Log();

}  // namespace mimosabend

#endif  // MIMOSABEND_LOG_H_
