#ifndef MIMOSABEND_FLEET_DIRECTORY_H_
#define MIMOSABEND_FLEET_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "fleet_config.h"
#include "fleet_endpoint.h"

namespace mimosabend {

// What an engine holds according to the placement leader.
struct LeaderHoldings {
  EngineHoldings holdings;
  // Start of the incarnation that this is true of.
  std::int64_t started_ms = 0;
  MonotonicTime confirmed_at;
};

// Whether an endpoint may get requests.
enum class Usability : std::uint8_t {
  kUsable,
  // Its entry was deleted a moment ago, possibly only because it expired. Used if there is no other
  // endpoint.
  kLastResort,
  kUnusable
};

// Why an entry is missing from the store.
enum class MissingCause : std::uint8_t {
  // It was deleted or has expired.
  kDeleted,
  // The store was restored from a copy that was made before the entry was written. The endpoint may
  // go on running.
  kRestored
};

struct DirectoryEntry {
  FleetEndpoint endpoint;
  // The endpoint itself has announced that it leaves. Takes precedence over its entry in the store.
  bool announced_leaving = false;
  // Set while the entry is missing from the store.
  std::optional<MonotonicTime> missing_since;
  // Valid while missing_since is set.
  MissingCause missing_cause = MissingCause::kDeleted;
  std::optional<LeaderHoldings> leader_holdings;
  // When the entry, with the registered holdings, was last read from the store.
  MonotonicTime read_at;
  // Models and adapters ("MODEL/ADAPTER") that the engine has refused since its holdings were last
  // updated, with the time of the refusal.
  std::map<std::string, MonotonicTime> refused;

  // What the engine holds: according to the leader, else as the engine registered it.
  const EngineHoldings& holdings() const {
    return leader_holdings ? leader_holdings->holdings : endpoint.holdings;
  }

  bool Holds(const std::string& model) const {
    return !refused.contains(model) && holdings().Find(model) != nullptr;
  }
  bool HoldsAdapter(const std::string& model, const std::string& adapter) const;
};

// This daemon's view of the configuration and the endpoints. Not thread-safe.
class FleetDirectory {
 public:
  // An engine that lacked a model or adapter is tried again after this time: it may only have been
  // fetching it, and the end of that is not reported.
  static constexpr milliseconds kRefusedLifetime{600};
  // The leader's holdings are used for this long after a leader has last confirmed them, and then
  // until the entry has been read from the store again.
  static constexpr milliseconds kLeaderHoldingsLifetime{6000};

  // `reappear_time`: how long an endpoint is kept after its entry was deleted, since the entry may
  // only have expired.
  explicit FleetDirectory(milliseconds reappear_time = milliseconds(2000))
      : reappear_time_(reappear_time) {}

  void set_reappear_time(milliseconds time) { reappear_time_ = time; }

  // Called when an incarnation has ended without having announced it. An endpoint that is missing
  // because the store was restored is not known to have ended.
  using EndListener = std::function<void(const FleetEndpoint&)>;
  void set_end_listener(EndListener listener) { end_listener_ = std::move(listener); }

  // Applies a configuration. Returns false if it is older than the one in force.
  bool Adopt(FleetConfig config);
  std::shared_ptr<const FleetConfig> config() const { return config_; }

  // Adds or updates an entry. `read_at` is set if the entry was read from the store itself,
  // including the registered holdings. Returns true if it is a new incarnation.
  bool Put(FleetEndpoint endpoint, MonotonicTime read_at = MonotonicTime());
  // The entry is missing from the store.
  void Remove(const std::string& id, MonotonicTime now,
              MissingCause cause = MissingCause::kDeleted);
  // All other entries are missing from the store.
  void KeepOnly(const std::set<std::string>& ids, MonotonicTime now,
                MissingCause cause = MissingCause::kDeleted);
  // Removes entries that have been missing for long enough, and expired holdings and refusals.
  void PruneExpired(MonotonicTime now);

  // Sets what an engine holds according to the placement leader. No effect if `started_ms` is not
  // the start of the known incarnation.
  void SetLeaderHoldings(const std::string& id, std::int64_t started_ms,
                         const EngineHoldings& holdings, MonotonicTime now);
  // The leader confirmed the holdings that it has reported, at the time `at`.
  void ConfirmLeaderHoldings(MonotonicTime at);
  // An engine answered that it does not hold a model, or an adapter ("MODEL/ADAPTER").
  void RecordRefusal(const std::string& id, const std::string& held, MonotonicTime now);

  // An incarnation of an endpoint has announced that it leaves. Returns false if that was known, or
  // if the incarnation is unknown.
  bool MarkLeaving(const std::string& id, std::int64_t started_ms);
  // Ids of the endpoints that have announced that they leave.
  std::vector<std::string> Leaving() const;

  // Whether an incarnation is registered as ready and has not announced that it leaves.
  bool IsExpectedToStay(const std::string& id, std::int64_t started_ms) const;

  Usability UsabilityOf(const DirectoryEntry& entry, MonotonicTime now) const;

  const std::map<std::string, DirectoryEntry>& entries() const { return entries_; }
  const DirectoryEntry* Find(const std::string& id) const;
  // Endpoints of a service that are usable, also as a last resort. The pointers are valid until the
  // next change.
  std::vector<const DirectoryEntry*> OfService(const std::string& service, MonotonicTime now) const;

 private:
  void NotifyUnannouncedEnd(const DirectoryEntry& entry) const;
  void NotifyEndsAtAddress(const FleetEndpoint& endpoint) const;

  milliseconds reappear_time_;
  EndListener end_listener_ = [](const FleetEndpoint&) {};
  std::shared_ptr<const FleetConfig> config_;
  std::map<std::string, DirectoryEntry> entries_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_DIRECTORY_H_
