#ifndef MIMOSABEND_STATUS_REPORT_H_
#define MIMOSABEND_STATUS_REPORT_H_

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "document_head.h"
#include "environment.h"

namespace mimosabend {

// What a daemon answered at /status, or nothing.
struct DaemonStatus {
  std::string address;
  std::optional<boost::json::value> status;
};

// The state of an environment for a person: what was accepted, where it is in force, which models
// are loaded against which budget, and how requests ended by rank. `head` is absent if the
// key-value service can't be reached. Thread-safe.
std::string FormatStatus(const std::optional<DocumentHead>& head, const Environment& environment,
                         const std::vector<DaemonStatus>& daemons);

// A time in UTC as RFC 3339. Thread-safe.
std::string FormatTime(std::int64_t unix_ms);

}  // namespace mimosabend

#endif  // MIMOSABEND_STATUS_REPORT_H_
