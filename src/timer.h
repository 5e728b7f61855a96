#ifndef MIMOSABEND_TIMER_H_
#define MIMOSABEND_TIMER_H_

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>

#include "clock.h"

namespace mimosabend {

// Adapts the process's monotonic clock to the clock requirements of Asio's timers.
struct MonotonicClock {
  using duration = std::chrono::steady_clock::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = MonotonicTime;
  static constexpr bool is_steady = true;
  static time_point now() { return time_source.timers(); }
};

// Wait traits for Asio: how long the event loop may block for a timer. In simulated time it must
// not block, because only the program advances the clock; the loop checks its timers at each poll.
struct MonotonicWaitTraits {
  static MonotonicClock::duration to_wait_duration(const MonotonicClock::duration& duration) {
    return time_source.simulated ? MonotonicClock::duration::zero() : duration;
  }
  static MonotonicClock::duration to_wait_duration(const MonotonicTime& time) {
    return to_wait_duration(time - MonotonicClock::now());
  }
};

// A timer of the event loop. One object is not thread-safe; distinct objects are independent.
using Timer = boost::asio::basic_waitable_timer<MonotonicClock, MonotonicWaitTraits>;

}  // namespace mimosabend

#endif  // MIMOSABEND_TIMER_H_
