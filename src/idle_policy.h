#ifndef MIMOSABEND_IDLE_POLICY_H_
#define MIMOSABEND_IDLE_POLICY_H_

#include <array>
#include <cstdint>

#include "clock.h"

namespace mimosabend {

// A replica is not unloaded sooner than this after it was decided, which bounds thrashing.
inline constexpr milliseconds kMinResidence{5000};

// Times without use of one model, as a histogram in which old ones fade. Its size is fixed. Not
// thread-safe.
class UseHistory {
 public:
  static constexpr std::size_t kBuckets = 22;

  // Notes a use. Daemons report use for a few seconds after each request, so that shorter gaps
  // count as one use.
  void NoteUse(MonotonicTime now);

  // False until enough gaps are known to decide by them.
  bool is_known() const { return gaps_ >= kMinGaps; }

  // The idle time after which unloading costs least on average, where a load costs as much as
  // `load_price` of idle time. Precondition: is_known().
  milliseconds BestTimeout(milliseconds load_price) const;

 private:
  static constexpr std::uint32_t kMinGaps = 2;

  MonotonicTime last_use_;
  bool used_ = false;
  std::uint32_t gaps_ = 0;
  // Fixed-point weights, so that decisions are the same on all machines.
  std::array<std::uint32_t, kBuckets> weights_{};
};

// Idle time that costs as much as one load. `idle_weight` runs from 0, shortest cold starts, to 1,
// fewest idle accelerator hours. It is also how long a replica of unknown demand stays loaded after
// its last use, which costs at most twice what the best choice would have. Thread-safe.
milliseconds IdleTimeout(double idle_weight);

// How long a replica stays loaded after its last use. Thread-safe.
milliseconds IdleTimeout(const UseHistory& history, double idle_weight);

}  // namespace mimosabend

#endif  // MIMOSABEND_IDLE_POLICY_H_
