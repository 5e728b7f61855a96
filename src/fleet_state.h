#ifndef MIMOSABEND_FLEET_STATE_H_
#define MIMOSABEND_FLEET_STATE_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "clock.h"
#include "directory_log.h"
#include "fleet_usage.h"
#include "holdings_log.h"
#include "parted_document.h"
#include "relay_plan.h"

namespace mimosabend {

// What a daemon knows of the fleet, kept so that it can pass it on: the operator's configuration
// and the registered endpoints with the time at which the store held them, what the engines hold,
// who leads, and who relays. Nothing of it ever goes back. Not thread-safe.
class FleetState {
 public:
  DirectoryLog& directory() { return directory_; }
  const DirectoryLog& directory() const { return directory_; }
  HoldingsLog& holdings() { return holdings_; }
  const HoldingsLog& holdings() const { return holdings_; }
  const PartedDocument& config() const { return config_; }
  const RelayPlan& plan() const { return plan_; }

  // The configuration in force was replaced by this one.
  void SetConfig(PartedDocument config) { config_ = std::move(config); }

  // Adopts a plan unless the one that is known is as new.
  bool AdoptPlan(const RelayPlan& plan) {
    if (plan.version <= plan_.version) return false;
    plan_ = plan;
    return true;
  }

  // The store held the known configuration and endpoints at a point of time.
  void Confirm(MonotonicTime at) { confirmed_ = std::max(confirmed_, at); }
  MonotonicTime confirmed() const { return confirmed_; }

  // Notes who leads, as known by a daemon that was asked at `asked`. False if it is old news.
  bool NoteLeader(const LeaderNotice& notice, MonotonicTime asked) {
    if (notice.fence == 0 || notice.fence < leader_.fence) return false;
    const MonotonicTime heard = asked - milliseconds(notice.age_ms);
    if (notice.fence > leader_.fence) leader_heard_ = MonotonicTime();
    leader_ = notice;
    leader_heard_ = std::max(leader_heard_, heard);
    return true;
  }
  // The leader is another one than the known; what it is will be looked up.
  void ForgetLeader() { leader_heard_ = MonotonicTime(); }

  // Who leads; std::nullopt if that was never known.
  std::optional<Address> leader() const {
    return leader_.fence == 0 ? std::nullopt : std::optional(leader_.address);
  }
  std::uint64_t leader_fence() const { return leader_.fence; }
  MonotonicTime leader_heard() const { return leader_heard_; }

  LeaderNotice Notice(MonotonicTime now) const {
    LeaderNotice notice = leader_;
    notice.age_ms = AgeMillis(leader_heard_, now);
    return notice;
  }

  // The view for a daemon that knows the directory up to a revision.
  StoreView ViewSince(std::uint64_t directory_revision, MonotonicTime now) const {
    return {AgeMillis(confirmed_, now), config_.version(), directory_.Since(directory_revision)};
  }

 private:
  // Larger ages tell nothing more.
  static constexpr milliseconds kLargestAge{600000};

  static std::uint32_t AgeMillis(MonotonicTime since, MonotonicTime now) {
    if (now - since > kLargestAge) return static_cast<std::uint32_t>(kLargestAge.count());
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, ToMillis(now - since).count()));
  }

  DirectoryLog directory_;
  HoldingsLog holdings_;
  PartedDocument config_;
  RelayPlan plan_;
  MonotonicTime confirmed_;
  LeaderNotice leader_;
  MonotonicTime leader_heard_;
};

// Adds what a daemon does not know yet to the answer to its report. Thread-safe.
void AddState(const FleetState& state, const KnownState& known, MonotonicTime now,
              UsageAnswer* answer);

// Whether a load is too small to change a choice. Most endpoints of a large fleet have such a load,
// and each answer would name them all. Thread-safe.
bool IsLight(const DirectoryLog& directory, const EndpointLoad& load);

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_STATE_H_
