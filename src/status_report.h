#ifndef MIMOSABEND_STATUS_REPORT_H_
#define MIMOSABEND_STATUS_REPORT_H_

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "document_head.h"
#include "environment.h"

namespace mimosabend {

// Response of a daemon to /status; std::nullopt if it did not respond.
struct DaemonStatus {
  std::string address;
  std::optional<boost::json::value> status;
};

// Formats the state of an environment as text: the accepted document, the daemons that have it in
// force, loaded replicas and memory against each pool's budget, and request outcomes by rank.
// `head` is std::nullopt if the key-value service is unreachable. Thread-safe.
std::string FormatStatus(const std::optional<DocumentHead>& head, const Environment& environment,
                         const std::vector<DaemonStatus>& daemons);

// Formats a time in UTC as RFC 3339, with whole seconds. Thread-safe.
std::string FormatTime(std::int64_t unix_ms);

}  // namespace mimosabend

#endif  // MIMOSABEND_STATUS_REPORT_H_
