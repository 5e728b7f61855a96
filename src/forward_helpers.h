#ifndef MIMOSABEND_FORWARD_HELPERS_H_
#define MIMOSABEND_FORWARD_HELPERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "relay_plan.h"

namespace mimosabend {

// DaemonInfo::cut_off of a daemon that must not be named as a helper.
inline constexpr std::uint8_t kNoHelper = 255;

// Helpers that are named to a daemon, and to a relay for the daemons that report through it.
inline constexpr std::size_t kMaxHelpers = 6;
inline constexpr std::size_t kMaxRelayHelpers = 16;

// Chooses the daemons to which one that is cut off from endpoints may pass requests on: those that
// are cut off from fewer services. Its own failure domain comes first unless most of that is cut
// off, too. The choice differs from daemon to daemon, so that the load spreads. Thread-safe.
std::vector<Address> ChooseHelpers(const std::vector<DaemonInfo>& daemons,
                                   const DaemonInfo& requester, std::size_t limit);

// The helpers that this daemon knows. Not thread-safe.
class HelperList {
 public:
  // Sets the helpers that the leader or a relay has named. `complete`: there are no others.
  void SetNamed(std::vector<Address> helpers, bool complete, MonotonicTime now);

  // The next helper to try, in turn: one that is named, or if none is, one of `fallback`. Leaves
  // out those in `tried` and those that failed a moment ago.
  std::optional<Address> Next(const std::vector<Address>& fallback, const std::set<Address>& tried,
                              MonotonicTime now);

  // A request could not be passed on to a helper.
  void RecordFailure(const Address& helper, MonotonicTime now);

  // Whether it is known that no other daemon reaches more than this one: then endpoints are down,
  // and this daemon is not partitioned.
  bool NobodyReaches(MonotonicTime now) const;
  // Whether it is known that another daemon does.
  bool AnotherReaches(MonotonicTime now) const;

 private:
  bool IsCurrent(MonotonicTime now) const;

  std::vector<Address> named_;
  bool complete_ = false;
  MonotonicTime named_at_;
  std::size_t turn_ = 0;
  std::map<Address, MonotonicTime> failed_at_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FORWARD_HELPERS_H_
