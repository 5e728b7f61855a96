#ifndef MIMOSABEND_CLOCK_H_
#define MIMOSABEND_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace mimosabend {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for durations and time-outs inside one process.
using MonotonicTime = std::chrono::steady_clock::time_point;
// Time that different hosts compare; it can jump.
using WallTime = std::chrono::system_clock::time_point;

// Both clocks of a process. Programs use the system's; an experiment or a test replaces it.
struct TimeSource {
  MonotonicTime (*monotonic)() = std::chrono::steady_clock::now;
  WallTime (*wall)() = std::chrono::system_clock::now;
  // Decides which timers are due.
  MonotonicTime (*timers)() = std::chrono::steady_clock::now;
  // Time passes only when the program says so. Timers then never wait for real time.
  bool simulated = false;
};

// Not thread-safe: replaced only while no other thread of the process runs and no timer waits.
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
