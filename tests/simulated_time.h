#ifndef MIMOSABEND_TESTS_SIMULATED_TIME_H_
#define MIMOSABEND_TESTS_SIMULATED_TIME_H_

#include <boost/asio/io_context.hpp>

#include "clock.h"
#include "timer.h"

namespace mimosabend::testing {

// Replaces the clocks of the process by ones that move only while Run waits for timers, so that a
// test's outcome does not depend on the speed of the machine. Computing takes no time. Not
// thread-safe; one object at a time, and no timer may wait when it is made or dies.
class SimulatedTime {
 public:
  SimulatedTime() : real_(time_source) {
    elapsed_ = milliseconds(0);
    time_source = {Monotonic, Wall, TimerClock, true};
  }
  ~SimulatedTime() { time_source = real_; }
  SimulatedTime(const SimulatedTime&) = delete;
  SimulatedTime& operator=(const SimulatedTime&) = delete;

  // Runs `io` until nothing is left to do.
  void Run(boost::asio::io_context* io) { RunUntil(io, MonotonicTime::max()); }

  // Runs `io` until nothing is left to do or the time is over.
  void RunFor(boost::asio::io_context* io, milliseconds time) {
    RunUntil(io, MonotonicNow() + time);
  }

 private:
  // Timers fire this late at most.
  static constexpr milliseconds kTick{1};
  // 2026-01-01 UTC, in milliseconds since 1970.
  static constexpr milliseconds kStart{1767225600000};

  static MonotonicTime Monotonic() { return MonotonicTime(kStart + elapsed_); }
  static WallTime Wall() { return WallTime(kStart + elapsed_); }

  // While handlers run no timer is due, so that their order does not depend on when the kernel
  // reports the event loop's timer descriptor.
  static MonotonicTime TimerClock() {
    return Monotonic() - (timers_may_fire_ ? milliseconds(0) : kTick);
  }

  void RunUntil(boost::asio::io_context* io, MonotonicTime end) {
    while (MonotonicNow() < end) {
      while (FireTimers(io)) continue;
      if (io->stopped()) break;
      elapsed_ += kTick;
    }
    io->restart();
  }

  // Fires the timers that are due and runs all handlers. True if there were any, which may have
  // set timers that are due at once.
  static bool FireTimers(boost::asio::io_context* io) {
    std::size_t handlers = io->poll();
    // Shows that the event loop has looked at its timers.
    Timer look(*io, MonotonicNow());
    look.async_wait([](const boost::system::error_code&) {});
    if (io->stopped()) io->restart();
    timers_may_fire_ = true;
    // One call takes all due timers from the queue and runs the first of them.
    while (io->poll_one() == 0) continue;
    timers_may_fire_ = false;
    handlers += io->poll();
    return handlers > 0 && !io->stopped();
  }

  static inline milliseconds elapsed_{0};
  static inline bool timers_may_fire_ = false;
  TimeSource real_;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_SIMULATED_TIME_H_
