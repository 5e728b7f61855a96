#ifndef MIMOSABEND_LIBRARY_ASSERTIONS_H_
#define MIMOSABEND_LIBRARY_ASSERTIONS_H_

#include <cstdint>

namespace mimosabend {

// Assertions of the Boost libraries (BOOST_ASSERT) don't end the process. Some of them are stricter
// than the code behind them and fail on sound input from outside, which would end all requests of
// the process. As in a release build of Boost, execution continues; the failure is counted and
// logged. The assertions of this project (assert) do end the process, in every build.

// Number of failed assertions of Boost libraries since the process started. Thread-safe.
std::uint64_t FailedLibraryAssertions();

}  // namespace mimosabend

#endif  // MIMOSABEND_LIBRARY_ASSERTIONS_H_
