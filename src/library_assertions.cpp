#include "library_assertions.h"

#include <atomic>
#include <bit>
#include <boost/assert.hpp>

#include "log.h"

namespace {

std::atomic<std::uint64_t> failed_assertions = 0;

// Logs the first failure and then ever fewer of them, since a peer may repeat its cause at will.
void CountFailure(const char* expression, const char* message, const char* file,
                  std::int64_t line) {
  const std::uint64_t count = ++failed_assertions;
  if (!std::has_single_bit(count)) return;
  LOG4CPLUS_WARN(mimosabend::Log(),
                 "library assertion failed, count=" << count << " expression=\"" << expression
                                                    << "\" message=\"" << message
                                                    << "\" at=" << file << ":" << line);
}

}  // namespace

namespace boost {

// The handlers that BOOST_ENABLE_ASSERT_HANDLER requires. Their line number is a long, which is
// std::int64_t on the platforms of this project.
void assertion_failed(const char* expression, const char* /*function*/, const char* file,
                      std::int64_t line) {
  CountFailure(expression, "", file, line);
}

void assertion_failed_msg(const char* expression, const char* message, const char* /*function*/,
                          const char* file, std::int64_t line) {
  CountFailure(expression, message, file, line);
}

}  // namespace boost

namespace mimosabend {

std::uint64_t FailedLibraryAssertions() { return failed_assertions; }

}  // namespace mimosabend
