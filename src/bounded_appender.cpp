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

// A daemon of the size to design for ends about 10 requests a second, one line each.
constexpr double kLinesPerSecond = 200;
constexpr double kBurst = 600;
// Share of the burst that only warnings and errors may use.
constexpr double kReservedShare = 0.2;
// Bytes that wait for a slow reader.
constexpr std::size_t kMaxPending = 256 * 1024;

std::atomic<std::uint64_t> left_out_lines{0};

}  // namespace

bool LogBudget::Take(bool important, MonotonicTime now) {
  if (updated_ != MonotonicTime()) {
    tokens_ = std::min(burst_, tokens_ + rate_ * ToSeconds(now - updated_));
  }
  updated_ = now;
  const double reserved = important ? 0 : burst_ * kReservedShare;
  if (tokens_ - 1 < reserved) {
    ++left_out_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

std::uint64_t LogBudget::TakeLeftOut() { return std::exchange(left_out_, 0); }

BoundedAppender::BoundedAppender() : budget_(kLinesPerSecond, kBurst) {
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

std::uint64_t BoundedAppender::left_out_total() { return left_out_lines.load(); }

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
  const bool important = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
  if (!budget_.Take(important, MonotonicNow())) {
    ++left_out_lines;
    return;
  }
  std::ostringstream line;
  layout->formatAndAppend(line, event);
  if (const std::uint64_t left_out = budget_.TakeLeftOut(); left_out > 0) {
    line << "log lines_left_out=" << left_out << "\n";
  }
  Write(line.str());
}

void BoundedAppender::Write(const std::string& line) {
  if (pending_.size() + line.size() > kMaxPending) {
    ++left_out_lines;
  } else {
    pending_ += line;
  }
  Flush();
}

// Writes as much as the pipe takes now.
void BoundedAppender::Flush() {
  while (!pending_.empty()) {
    const ssize_t written = ::write(STDOUT_FILENO, pending_.data(), pending_.size());
    if (written <= 0) return;
    pending_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace mimosabend
