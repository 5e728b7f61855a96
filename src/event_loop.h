#ifndef MIMOSABEND_EVENT_LOOP_H_
#define MIMOSABEND_EVENT_LOOP_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include "clock.h"
#include "result.h"

namespace mimosabend {

// Decides when a process that keeps failing ends. Not thread-safe.
class ExceptionLimit {
 public:
  static constexpr std::size_t kMaxExceptions = 10;
  static constexpr seconds kWindow{60};

  // Records an exception. Returns whether there were more than kMaxExceptions within kWindow.
  // Precondition: `now` does not decrease.
  bool Record(MonotonicTime now);

 private:
  std::deque<MonotonicTime> recent_;
};

// Runs the handlers of `io` until it is stopped or has no more work. An exception that leaves a
// handler ends the coroutine that the handler belongs to and not the process, which holds requests
// of many callers. Returns false if it gave up by ExceptionLimit. Precondition: no other thread
// runs `io`.
bool RunEventLoop(boost::asio::io_context* io);

// Logs and counts an exception that ended the task `name`.
void ReportException(std::string_view name, const std::exception& error);
// The same, unless `thrown` is null.
void ReportIfThrown(std::string_view name, const std::exception_ptr& thrown);

// Starts a coroutine that nobody waits for. An exception ends it; `name` says in the log which one.
template <class T>
void SpawnDetached(const boost::asio::any_io_executor& executor, std::string name, Task<T> task) {
  boost::asio::co_spawn(
      executor, std::move(task),
      [name = std::move(name)](const std::exception_ptr& thrown, const auto&... /*result*/) {
        ReportIfThrown(name, thrown);
      });
}

// Number of exceptions that were reported since the process started. Thread-safe.
std::uint64_t ReportedExceptions();

}  // namespace mimosabend

#endif  // MIMOSABEND_EVENT_LOOP_H_
