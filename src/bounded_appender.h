#ifndef MIMOSABEND_BOUNDED_APPENDER_H_
#define MIMOSABEND_BOUNDED_APPENDER_H_

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

#include "clock.h"

namespace mimosabend {

// Decides which log lines are written, so that their number stays bounded under load. Not
// thread-safe.
class LogBudget {
 public:
  // At most `lines_per_second` lines in the long run, and `burst` at once.
  LogBudget(double lines_per_second, double burst)
      : rate_(lines_per_second), burst_(burst), tokens_(burst) {}

  // Whether a line may be written; one that may not is counted. Warnings and errors may use what
  // other lines leave untouched.
  bool Take(bool important, MonotonicTime now);

  // Lines left out since the last call.
  std::uint64_t TakeLeftOut();

 private:
  double rate_;
  double burst_;
  double tokens_;
  MonotonicTime updated_;
  std::uint64_t left_out_ = 0;
};

// Writes log lines to standard output without ever waiting for its reader: what does not fit into
// the pipe waits in a bounded buffer, and lines beyond it are counted and left out.
class BoundedAppender : public log4cplus::Appender {
 public:
  BoundedAppender();
  ~BoundedAppender() override;
  BoundedAppender(const BoundedAppender&) = delete;
  BoundedAppender& operator=(const BoundedAppender&) = delete;

  void close() override { closed = true; }

  // Lines left out since the start of the process. Thread-safe.
  static std::uint64_t left_out_total();

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void Write(const std::string& line);
  void Flush();

  LogBudget budget_;
  std::string pending_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_BOUNDED_APPENDER_H_
