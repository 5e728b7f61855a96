#include "bounded_appender.h"

#include <fcntl.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <sstream>
#include <utility>

namespace mimosabend {

namespace {

// A daemon is designed for about 10 requests per second, each of which logs one line when it ends.
constexpr double kLinesPerSecond = 200;
constexpr double kBurst = 600;
// Share of the burst that is reserved for warnings and errors.
constexpr double kReservedShare = 0.2;
// Buffer for a slow reader.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;

std::atomic<std::uint64_t> dropped_lines{0};

}  // namespace

bool LogRateLimiter::Allow(bool important, MonotonicTime now) {
  if (last_refill_ != MonotonicTime()) {
    tokens_ = std::min(burst_, tokens_ + rate_ * ToSeconds(now - last_refill_));
  }
  last_refill_ = now;
  const double reserved = important ? 0 : burst_ * kReservedShare;
  if (tokens_ - 1 < reserved) {
    ++dropped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

std::uint64_t LogRateLimiter::TakeDropped() { return std::exchange(dropped_, 0); }

BoundedAppender::BoundedAppender() : limiter_(kLinesPerSecond, kBurst) {
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

std::uint64_t BoundedAppender::dropped_lines_total() { return dropped_lines.load(); }

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  const bool important = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
  if (!limiter_.Allow(important, MonotonicNow())) {
    ++dropped_lines;
    return;
  }
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  if (const std::uint64_t dropped = limiter_.TakeDropped(); dropped > 0) {
    line << "log lines_left_out=" << dropped << "\n";
  }
  Write(line.str());
}

void BoundedAppender::Write(const std::string& line) {
  if (pending_.size() + line.size() > kMaxPendingBytes) {
    ++dropped_lines;
  } else {
    pending_ += line;
  }
  Flush();
}

// Writes as much as the pipe accepts without blocking.
void BoundedAppender::Flush() {
  while (!pending_.empty()) {
    const ssize_t written = ::write(STDOUT_FILENO, pending_.data(), pending_.size());
    if (written <= 0) return;
    pending_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace mimosabend
