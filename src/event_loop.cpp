#include "event_loop.h"

#include <atomic>

#include "log.h"

namespace mimosabend {

namespace {

std::atomic<std::uint64_t> reported_exceptions = 0;

}  // namespace

bool ExceptionLimit::Record(MonotonicTime now) {
  recent_.push_back(now);
  while (now - recent_.front() > kWindow) recent_.pop_front();
  return recent_.size() > kMaxExceptions;
}

bool RunEventLoop(boost::asio::io_context* io) {
  ExceptionLimit limit;
  for (;;) {
    try {
      io->run();
      return true;
    } catch (const std::exception& error) {
      ReportException("event loop", error);
      if (!limit.Record(MonotonicNow())) continue;
      LOG4CPLUS_ERROR(Log(), "too many exceptions, the process ends");
      return false;
    }
  }
}

void ReportException(std::string_view name, const std::exception& error) {
  ++reported_exceptions;
  LOG4CPLUS_ERROR(Log(), "task ended by an exception, task=\"" << name << "\" error=\""
                                                               << error.what() << "\"");
}

void ReportIfThrown(std::string_view name, const std::exception_ptr& thrown) {
  if (thrown == nullptr) return;
  try {
    std::rethrow_exception(thrown);
  } catch (const std::exception& error) {
    ReportException(name, error);
  }
}

std::uint64_t ReportedExceptions() { return reported_exceptions; }

}  // namespace mimosabend
