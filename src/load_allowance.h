#ifndef MIMOSABEND_LOAD_ALLOWANCE_H_
#define MIMOSABEND_LOAD_ALLOWANCE_H_

#include <cstdint>

#include "clock.h"

namespace mimosabend {

// Bounds the loads from the weight store: a token bucket that keeps to a rate in each sliding
// window, and a limit of loads in progress that follows how long they take. Not thread-safe.
class LoadAllowance {
 public:
  // At most `rate` * `window` * `over` + `extra` loads may begin in any window. An empty bucket
  // takes into account that a former leader may have used the whole window.
  LoadAllowance(double rate, seconds window, double over, double extra, bool empty,
                MonotonicTime now);

  void SetRate(double rate) { rate_ = rate; }

  bool MayStart(MonotonicTime now) const;
  // Notes a load that begins. Precondition: MayStart.
  void Start(MonotonicTime now);
  // Notes the end of a load. `nominal` is how long it takes at full speed.
  void End(milliseconds taken, milliseconds nominal);

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

#endif  // MIMOSABEND_LOAD_ALLOWANCE_H_
