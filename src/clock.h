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

inline MonotonicTime MonotonicNow() { return std::chrono::steady_clock::now(); }
inline WallTime WallNow() { return std::chrono::system_clock::now(); }

// Milliseconds since 1970-01-01 UTC.
inline std::int64_t ToUnixMillis(WallTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

inline double ToSeconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace mimosabend

#endif  // MIMOSABEND_CLOCK_H_
