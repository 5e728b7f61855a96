#ifndef MIMOSABEND_BOUNDED_APPENDER_H_
#define MIMOSABEND_BOUNDED_APPENDER_H_

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

#include "clock.h"

namespace mimosabend {

// Token bucket that limits the rate of log lines under load. Not thread-safe.
class LogRateLimiter {
 public:
  // Allows `lines_per_second` lines on average and bursts of up to `burst` lines.
  LogRateLimiter(double lines_per_second, double burst)
      : rate_(lines_per_second), burst_(burst), tokens_(burst) {}

  // Returns whether a line may be written, and counts it as dropped if not. A share of the burst is
  // reserved for important lines (warnings and errors).
  bool Allow(bool important, MonotonicTime now);

  // Returns the number of lines dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  double rate_;
  double burst_;
  double tokens_;
  MonotonicTime last_refill_;
  std::uint64_t dropped_ = 0;
};

// Writes log lines to standard output without blocking on a slow reader. Lines that do not fit into
// the pipe wait in a bounded buffer; when it is full, lines are dropped and counted.
class BoundedAppender : public log4cplus::Appender {
 public:
  BoundedAppender();
  ~BoundedAppender() override;
  BoundedAppender(const BoundedAppender&) = delete;
  BoundedAppender& operator=(const BoundedAppender&) = delete;

  void close() override { closed = true; }

  // Number of lines dropped since the start of the process. Thread-safe.
  static std::uint64_t dropped_lines_total();

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  void Write(const std::string& line);
  void Flush();

  LogRateLimiter limiter_;
  std::string pending_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_BOUNDED_APPENDER_H_
