#ifndef MIMOSABEND_ENVIRONMENT_DIFF_H_
#define MIMOSABEND_ENVIRONMENT_DIFF_H_

#include <string>
#include <vector>

#include "environment.h"

namespace mimosabend {

// What differs between two documents, one line for each section or key, for operators and the
// audit trail. Hashes of caller keys are not shown. Thread-safe.
std::vector<std::string> DiffEnvironments(const Environment& before, const Environment& after);

// Why a document must not replace another one; empty if it may. The number of placement groups of
// a pool is fixed, since charges of loaded replicas do not move between records. Thread-safe.
std::string FindForbiddenChange(const Environment& before, const Environment& after);

// The lines joined, cut at a length that fits a head of the document store. Thread-safe.
std::string SummarizeDiff(const std::vector<std::string>& lines);

}  // namespace mimosabend

#endif  // MIMOSABEND_ENVIRONMENT_DIFF_H_
