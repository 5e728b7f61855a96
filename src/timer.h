#ifndef MIMOSABEND_TIMER_H_
#define MIMOSABEND_TIMER_H_

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>

#include "clock.h"

namespace mimosabend {

// The process's monotonic clock in the form that Asio's timers ask for.
struct MonotonicClock {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = MonotonicTime;
  static constexpr bool is_steady = true;
  static time_point now() { return time_source.timers(); }
};

// How long the event loop may sleep for a timer. In simulated time it must not: only the program
// moves the clock, so the loop checks its timers each time it is polled.
struct MonotonicWait {
  static MonotonicClock::duration to_wait_duration(const MonotonicClock::duration& duration) {
    return time_source.simulated ? MonotonicClock::duration::zero() : duration;
  }
  static MonotonicClock::duration to_wait_duration(const MonotonicTime& time) {
    return to_wait_duration(time - MonotonicClock::now());
  }
};

// A timer of the event loop. Distinct objects are independent; one object is not thread-safe.
using Timer = boost::asio::basic_waitable_timer<MonotonicClock, MonotonicWait>;

}  // namespace mimosabend

#endif  // MIMOSABEND_TIMER_H_
