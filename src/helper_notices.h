#ifndef MIMOSABEND_HELPER_NOTICES_H_
#define MIMOSABEND_HELPER_NOTICES_H_

#include <vector>

#include "clock.h"
#include "fleet_usage.h"

namespace mimosabend {

// Names daemons to which the sender of a report may pass requests on, if it or a daemon that
// reports through it is cut off from services. `complete`: no others than `daemons` are known to
// the leader. Thread-safe.
void AddHelpers(const UsageReport& report, const std::vector<DaemonInfo>& daemons, bool complete,
                UsageAnswer* answer);

// The helpers that the leader or a relay has named to this daemon, which it passes on to those that
// report through it. Not thread-safe.
class HelperNotices {
 public:
  // Adopts the helpers of an answer. Returns false if it says nothing of helpers.
  bool Adopt(const UsageAnswer& answer, MonotonicTime now);

  // The helpers as last named, however long ago.
  const std::vector<Address>& helpers() const { return helpers_; }
  // Whether there were no others.
  bool complete() const { return complete_; }

  // Whether the leader has said that no daemon reaches more than those that report through this
  // one.
  bool NobodyHelps(MonotonicTime now) const;

  // `daemons`, and the named ones that are not among them.
  std::vector<DaemonInfo> AddNamed(std::vector<DaemonInfo> daemons, MonotonicTime now) const;

 private:
  bool IsCurrent(MonotonicTime now) const;

  std::vector<Address> helpers_;
  bool complete_ = false;
  MonotonicTime named_at_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HELPER_NOTICES_H_
