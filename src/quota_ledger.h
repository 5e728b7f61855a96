#ifndef MIMOSABEND_QUOTA_LEDGER_H_
#define MIMOSABEND_QUOTA_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "clock.h"
#include "customer.h"
#include "quota_usage.h"

namespace mimosabend {

// The placement leader's account of what all daemons use of the customers' quotas. It decides the
// share of each customer's requests that may be admitted, so that the sum follows the quota
// wherever the requests arrive. Not thread-safe.
class QuotaLedger {
 public:
  // All daemons find a new leader and report to it within this time, as a rule.
  static constexpr milliseconds kMeasureTime{400};

  // Takes in what daemons have used.
  void Note(const std::vector<QuotaUse>& uses, MonotonicTime now);

  // The shares of all customers that ask for more than their quotas. `tolerance`: units beyond a
  // quota that the operator lets pass, which keeps single large requests of a small customer from
  // being refused.
  std::vector<QuotaShare> Shares(const CustomerDirectory& customers, double tolerance,
                                 MonotonicTime now);

  // Forgets everything, for a new leader: what was used before is not known, so accounts begin
  // empty. The rate is allowed while they fill. What is asked for is not known either for a while.
  void Reset(MonotonicTime now);

  // Whether enough daemons have reported since the last reset for shares to be named.
  bool IsKnown(MonotonicTime now) const { return now - reset_at_ >= kMeasureTime; }

 private:
  struct Account {
    // Units that may be used at once; below zero if more were used.
    double level = 0;
    // The account has not yet reached the level to which it is led.
    bool filling = true;
    MonotonicTime updated;
    // Used since the last update.
    double asked = 0;
    double spent = 0;
    // Units a second that are asked for, on average over the last reports.
    double demand = 0;
  };

  void Update(double rate, double burst, Account* account, MonotonicTime now);

  std::map<std::uint32_t, Account> accounts_;
  MonotonicTime reset_at_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_QUOTA_LEDGER_H_
