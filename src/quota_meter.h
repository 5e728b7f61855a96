#ifndef MIMOSABEND_QUOTA_METER_H_
#define MIMOSABEND_QUOTA_METER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "clock.h"
#include "customer.h"
#include "quota_usage.h"

namespace mimosabend {

// Admits the requests of a daemon within the quotas of their customers, which hold for all daemons
// together. While the placement leader is heard of, the daemon admits the share of each customer's
// requests that the leader names. Without it, it keeps to an equal part of the quota, so that
// daemons that are cut off stay within it as well. Not thread-safe.
class QuotaMeter {
 public:
  // What the leader has said counts for this long.
  static constexpr milliseconds kNewsLifetime{1500};
  // It counts no more once the leader has not heard of much use for this long. Two reports behind a
  // relay fit into it.
  static constexpr milliseconds kUrgentLifetime{800};

  // `on_urgent` is called when a customer has used so much since the last report that the leader
  // should know at once.
  explicit QuotaMeter(std::function<void()> on_urgent) : on_urgent_(std::move(on_urgent)) {}

  // Whether the leader has ever been heard. Before, nothing is known of what other daemons use, nor
  // of what this one used before it started, so nothing may be admitted.
  bool informed() const { return informed_; }

  // Whether what the leader has said still counts.
  bool IsLed(MonotonicTime now) const;

  // Counts a request of `cost` units, whether it will be admitted or not.
  void Ask(const Customer& customer, double cost, MonotonicTime now);

  // Asks for a request that has been counted. `draw` is a random number from 0 to 1. std::nullopt
  // if the request is admitted; else when it may be asked for again. Preconditions: the customer's
  // quota is limited; informed().
  std::optional<milliseconds> Admit(const Customer& customer, double cost, double draw,
                                    MonotonicTime now);

  // An admitted request did not run.
  void GiveBack(const Customer& customer, double cost);

  // What is to be reported now; the counts start anew.
  std::vector<QuotaUse> Take();
  // Puts back what could not be reported.
  void Return(const std::vector<QuotaUse>& uses);

  // Takes in the leader's shares, as known at a point of time, and the number of daemons.
  void SetShares(const std::vector<QuotaShare>& shares, std::uint32_t daemons, MonotonicTime at);
  // The shares in force, to be passed on.
  std::vector<QuotaShare> Shares() const;

 private:
  // This daemon's equal part of a quota, which binds while nobody leads.
  struct Bucket {
    double level = 0;
    MonotonicTime updated;
  };

  double ShareOf(std::uint32_t customer) const;
  Bucket& FilledBucket(const Customer& customer, MonotonicTime now);

  std::function<void()> on_urgent_;
  std::map<std::uint32_t, QuotaUse> uses_;
  std::map<std::uint32_t, QuotaShare> shares_;
  std::map<std::uint32_t, Bucket> buckets_;
  std::uint32_t daemons_ = 1;
  bool informed_ = false;
  // Since when the leader should have heard of much use, and has not.
  std::optional<MonotonicTime> urgent_since_;
  MonotonicTime shares_at_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_QUOTA_METER_H_
