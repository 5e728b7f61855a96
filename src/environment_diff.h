#ifndef MIMOSABEND_ENVIRONMENT_DIFF_H_
#define MIMOSABEND_ENVIRONMENT_DIFF_H_

#include <string>
#include <vector>

#include "environment.h"

namespace mimosabend {

// Lists the differences of two documents for operators and the audit trail, one line for each added
// or removed section and each changed key. Omits the hashes of caller keys. Thread-safe.
std::vector<std::string> DiffEnvironments(const Environment& before, const Environment& after);

// The reason why `after` must not replace `before`; empty if it may. The number of placement groups
// of a pool can't change, since memory reservations of loaded replicas aren't moved between the
// records of the groups. Thread-safe.
std::string FindForbiddenChange(const Environment& before, const Environment& after);

// Joins the lines and truncates them to a length that fits into a DocumentHead. Thread-safe.
std::string SummarizeDiff(const std::vector<std::string>& lines);

}  // namespace mimosabend

#endif  // MIMOSABEND_ENVIRONMENT_DIFF_H_
