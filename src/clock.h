#ifndef MIMOSABEND_CLOCK_H_
#define MIMOSABEND_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace mimosabend {

using std::chrono::milliseconds;
using std::chrono::seconds;

// For durations and timeouts within one process.
using MonotonicTime = std::chrono::steady_clock::time_point;
// For timestamps that are compared across hosts; may jump.
using WallTime = std::chrono::system_clock::time_point;

// The clocks of a process: the system's by default, replaced in tests and simulations.
struct TimeSource {
  MonotonicTime (*monotonic)() = std::chrono::steady_clock::now;
  WallTime (*wall)() = std::chrono::system_clock::now;
  // Clock that decides which timers have expired.
  MonotonicTime (*timers)() = std::chrono::steady_clock::now;
  // If true, only the program advances time, and timers never block for real time.
  bool simulated = false;
};

// Not thread-safe: replace it only while the process has no other thread and no pending timer.
inline TimeSource time_source;

inline MonotonicTime MonotonicNow() { return time_source.monotonic(); }
inline WallTime WallNow() { return time_source.wall(); }

// Milliseconds since 1970-01-01 UTC.
inline std::int64_t ToUnixMillis(WallTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

// Whole milliseconds, rounded towards zero.
inline milliseconds ToMillis(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

inline double ToSeconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace mimosabend

#endif  // MIMOSABEND_CLOCK_H_
