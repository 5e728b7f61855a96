#ifndef MIMOSABEND_LOAD_LIMITER_H_
#define MIMOSABEND_LOAD_LIMITER_H_

#include <cstdint>

#include "clock.h"

namespace mimosabend {

// Limits the loads from the weight store with a token bucket, which bounds the rate in each sliding
// window, and an adaptive limit on concurrent loads, which follows their duration. Not thread-safe.
class LoadLimiter {
 public:
  // At most `rate` * `window` * `over` + `burst` loads may begin in any window; `rate` is in loads
  // per second. Pass `empty` if a former leader may have used up the current window.
  LoadLimiter(double rate, seconds window, double over, double burst, bool empty,
              MonotonicTime now);

  void SetRate(double rate) { rate_ = rate; }

  bool MayStart(MonotonicTime now) const;
  // Records the start of a load. Precondition: MayStart(now).
  void Start(MonotonicTime now);
  // Records the end of a load and adapts the limit. `nominal` is the duration at full speed.
  // Precondition: a load is in progress.
  void End(milliseconds duration, milliseconds nominal);

  std::uint32_t in_progress() const { return in_progress_; }
  std::uint32_t limit() const { return limit_; }

 private:
  double Tokens(MonotonicTime now) const;

  double rate_;
  double capacity_;
  double tokens_;
  MonotonicTime updated_;
  std::uint32_t in_progress_ = 0;
  std::uint32_t limit_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LOAD_LIMITER_H_
