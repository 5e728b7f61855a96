#ifndef MIMOSABEND_HEDGE_BUDGET_H_
#define MIMOSABEND_HEDGE_BUDGET_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "clock.h"

namespace mimosabend {

// Limits the work of second attempts to a share of this daemon's work at endpoints in any kWindow.
// Since each daemon keeps to its share, the fleet does so without messages. A daemon whose share is
// less than one second attempt in a window gets one with that probability, drawn by a hash of the
// window and the process, so that the sum over all daemons is right. Not thread-safe.
class HedgeBudget {
 public:
  static constexpr seconds kWindow{10};
  // Part of the share that is used. The draws of many daemons vary: 340 daemons with 0.3 second
  // attempts each draw more than 1.3 times their sum in one window of a thousand.
  static constexpr double kUsedShare = 0.85;

  // A second attempt whose work is charged but not known yet.
  struct Reservation {
    std::int64_t second = 0;
    double cost = 0;
  };

  // `process` identifies this process; processes draw independently.
  explicit HedgeBudget(std::uint64_t process) : process_(process) {}

  // Records the work of an attempt that is no second one, in seconds.
  void RecordWork(double work, MonotonicTime now);

  // Whether a second attempt may be sent. `share`: the limit; `mean`: the mean work of an attempt
  // in seconds. Precondition: both are positive.
  bool Allows(double share, double mean, MonotonicTime now);

  // Charges a second attempt that is sent. Precondition: as of Allows, which returned true.
  Reservation Reserve(double mean, MonotonicTime now);

  // Replaces the charge of a second attempt by its actual work in seconds.
  void Settle(const Reservation& reservation, double work, MonotonicTime now);

  // Work of second attempts and of all others within the last kWindow, in seconds.
  double extra_work(MonotonicTime now);
  double base_work(MonotonicTime now);

 private:
  // Work within one second.
  struct Bucket {
    std::int64_t second = 0;
    double base = 0;
    double extra = 0;
  };

  // Removes expired buckets and returns the bucket of the current second.
  Bucket* BucketAt(MonotonicTime now);
  double ExpectedCost(double mean) const;
  // Number from 0 to 1 for the window of `now`.
  double Draw(MonotonicTime now) const;

  std::uint64_t process_;
  // Moving average of the work of second attempts in seconds; 0 before the first.
  double average_cost_ = 0;
  // Oldest first.
  std::deque<Bucket> buckets_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HEDGE_BUDGET_H_
