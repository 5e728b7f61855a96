#ifndef MIMOSABEND_FLEET_STATE_H_
#define MIMOSABEND_FLEET_STATE_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "clock.h"
#include "directory_log.h"
#include "fleet_usage.h"
#include "holdings_log.h"
#include "multipart_document.h"
#include "relay_plan.h"

namespace mimosabend {

// The part of a daemon's state that it shares with other daemons: the operator's configuration and
// the registered endpoints, with the time at which the store held them; what the engines hold; the
// leader; and the relay plan. Versions never decrease. Not thread-safe.
class FleetState {
 public:
  DirectoryLog& directory() { return directory_; }
  const DirectoryLog& directory() const { return directory_; }
  HoldingsLog& holdings() { return holdings_; }
  const HoldingsLog& holdings() const { return holdings_; }
  const MultipartDocument& config() const { return config_; }
  const RelayPlan& plan() const { return plan_; }

  // Replaces the configuration. Precondition: it is in force.
  void SetConfig(MultipartDocument config) { config_ = std::move(config); }

  // Adopts a plan. Returns false if its version is not newer than the known one.
  bool AdoptPlan(const RelayPlan& plan) {
    if (plan.version <= plan_.version) return false;
    plan_ = plan;
    return true;
  }

  // The store held the known configuration and endpoints at the time `at`.
  void Confirm(MonotonicTime at) { confirmed_ = std::max(confirmed_, at); }
  MonotonicTime confirmed() const { return confirmed_; }

  // Updates the leader from the notice of a daemon that was asked at `asked_at`. Returns false
  // if its fence is lower than the known one.
  bool UpdateLeader(const LeaderNotice& notice, MonotonicTime asked_at) {
    if (notice.fence == 0 || notice.fence < leader_.fence) return false;
    const MonotonicTime heard_at = asked_at - milliseconds(notice.age_ms);
    if (notice.fence > leader_.fence) leader_heard_ = MonotonicTime();
    leader_ = notice;
    leader_heard_ = std::max(leader_heard_, heard_at);
    return true;
  }
  // The known leader leads no longer; it counts as not heard of, so that it is looked up again.
  void ForgetLeader() { leader_heard_ = MonotonicTime(); }

  // The leader last known; std::nullopt if there was none.
  std::optional<Address> leader() const {
    return leader_.fence == 0 ? std::nullopt : std::optional(leader_.address);
  }
  std::uint64_t leader_fence() const { return leader_.fence; }
  MonotonicTime leader_heard() const { return leader_heard_; }

  LeaderNotice MakeLeaderNotice(MonotonicTime now) const {
    LeaderNotice notice = leader_;
    notice.age_ms = AgeMillis(leader_heard_, now);
    return notice;
  }

  // The view of the store, with the directory's changes after a revision.
  StoreView ViewSince(StoreRevision directory_revision, MonotonicTime now) const {
    return {AgeMillis(confirmed_, now), config_.version(), directory_.Since(directory_revision)};
  }

 private:
  // Larger ages are cut to this one.
  static constexpr milliseconds kMaxAge{600000};

  static std::uint32_t AgeMillis(MonotonicTime since, MonotonicTime now) {
    if (now - since > kMaxAge) return static_cast<std::uint32_t>(kMaxAge.count());
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, ToMillis(now - since).count()));
  }

  DirectoryLog directory_;
  HoldingsLog holdings_;
  MultipartDocument config_;
  RelayPlan plan_;
  MonotonicTime confirmed_;
  LeaderNotice leader_;
  MonotonicTime leader_heard_;
};

// Adds the state that a daemon does not know yet to the answer to its report. Thread-safe.
void AddState(const FleetState& state, const KnownVersions& known, MonotonicTime now,
              UsageAnswer* answer);

// Whether a load is too small to affect the choice of an endpoint. Most endpoints of a large fleet
// have such a load; leaving them out keeps the answers small. Thread-safe.
bool IsNegligibleLoad(const DirectoryLog& directory, const EndpointLoad& load);

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_STATE_H_
