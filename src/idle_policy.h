#ifndef MIMOSABEND_IDLE_POLICY_H_
#define MIMOSABEND_IDLE_POLICY_H_

#include <array>
#include <cstdint>

#include "clock.h"

namespace mimosabend {

// A replica stays for at least this long after the decision to load it, which limits thrashing.
inline constexpr milliseconds kMinResidence{5000};

// Histogram of the idle gaps between uses of one model. Older gaps decay. Fixed size. Not
// thread-safe.
class UseHistory {
 public:
  static constexpr std::size_t kBuckets = 22;

  // Records a use. Daemons report use for a few seconds after each request, so shorter gaps are
  // ignored.
  void RecordUse(MonotonicTime now);

  // Whether enough gaps have been recorded for a decision.
  bool has_enough_gaps() const { return gap_count_ >= kMinGaps; }

  // The idle timeout with the lowest expected cost over the recorded gaps, where a load costs as
  // much as `load_cost` of idle time. Precondition: has_enough_gaps().
  milliseconds BestTimeout(milliseconds load_cost) const;

 private:
  static constexpr std::uint32_t kMinGaps = 2;

  MonotonicTime last_use_;
  bool used_ = false;
  std::uint32_t gap_count_ = 0;
  // Fixed-point, so that all machines make the same decisions.
  std::array<std::uint32_t, kBuckets> weights_{};
};

// Idle time that costs as much as one load. `idle_weight` ranges from 0 (fewest cold starts) to 1
// (fewest idle accelerator hours). Also the idle timeout of a replica with too little history: a
// timeout equal to the cost of a load costs at most twice the optimum. Thread-safe.
milliseconds IdleTimeout(double idle_weight);

// How long a replica stays loaded after its last use, given its history. Thread-safe.
milliseconds IdleTimeout(const UseHistory& history, double idle_weight);

}  // namespace mimosabend

#endif  // MIMOSABEND_IDLE_POLICY_H_
