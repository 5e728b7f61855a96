#ifndef MIMOSABEND_TESTS_SIMULATED_TIME_H_
#define MIMOSABEND_TESTS_SIMULATED_TIME_H_

#include <boost/asio/io_context.hpp>

#include "clock.h"
#include "timer.h"

namespace mimosabend::testing {

// Replaces the clocks of the process with simulated ones that advance only while Run waits for
// timers, so that the outcome of a test does not depend on the speed of the machine. Computation
// takes no simulated time. Not thread-safe. Only one object may exist at a time, and no timer may
// be pending when it is created or destroyed.
class SimulatedTime {
 public:
  // Time passes in steps of `tick`, which is the maximum delay of a timer.
  explicit SimulatedTime(milliseconds tick = milliseconds(1)) : real_(time_source) {
    elapsed_ = milliseconds(0);
    tick_ = tick;
    time_source = {Monotonic, Wall, TimerClock, true};
  }
  ~SimulatedTime() { time_source = real_; }
  SimulatedTime(const SimulatedTime&) = delete;
  SimulatedTime& operator=(const SimulatedTime&) = delete;

  // Runs `io` until it has no more work.
  void Run(boost::asio::io_context* io) { RunUntil(io, MonotonicTime::max()); }

  // Runs `io` until it has no more work or `time` has passed.
  void RunFor(boost::asio::io_context* io, milliseconds time) {
    RunUntil(io, MonotonicNow() + time);
  }

 private:
  // 2026-01-01 UTC, in milliseconds since 1970.
  static constexpr milliseconds kStartTime{1767225600000};

  static MonotonicTime Monotonic() { return MonotonicTime(kStartTime + elapsed_); }
  static WallTime Wall() { return WallTime(kStartTime + elapsed_); }

  // While handlers run, the timer clock is one tick behind so that no timer is due. Otherwise the
  // order of handlers would depend on when the kernel reports the event loop's timer descriptor.
  static MonotonicTime TimerClock() {
    return Monotonic() - (timers_may_fire_ ? milliseconds(0) : tick_);
  }

  void RunUntil(boost::asio::io_context* io, MonotonicTime end) {
    while (MonotonicNow() < end) {
      while (FireTimers(io)) continue;
      if (io->stopped()) break;
      elapsed_ += tick_;
    }
    io->restart();
  }

  // Fires the timers that are due and runs all handlers. True if any handler ran, since it may have
  // set a timer that is due immediately.
  static bool FireTimers(boost::asio::io_context* io) {
    std::size_t handlers = io->poll();
    // Completes once the event loop has checked its timers.
    Timer sentinel(*io, MonotonicNow());
    sentinel.async_wait([](const boost::system::error_code&) {});
    if (io->stopped()) io->restart();
    timers_may_fire_ = true;
    // One call to poll_one dequeues all due timers and runs the handler of the first.
    while (io->poll_one() == 0) continue;
    timers_may_fire_ = false;
    handlers += io->poll();
    return handlers > 0 && !io->stopped();
  }

  static inline milliseconds elapsed_{0};
  static inline milliseconds tick_{1};
  static inline bool timers_may_fire_ = false;
  TimeSource real_;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_SIMULATED_TIME_H_
