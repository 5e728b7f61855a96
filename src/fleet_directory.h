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

// What the placement leader knows an engine to hold.
struct KnownHoldings {
  EngineHoldings holdings;
  // Start of the incarnation it holds for.
  std::int64_t started_ms = 0;
  MonotonicTime noted;
};

// How far an endpoint may be used.
enum class Usability : std::uint8_t {
  kUsable,
  // Its entry has vanished a moment ago; it may only have lapsed. Used if no other is there.
  kLastResort,
  kUnusable
};

struct DirectoryEntry {
  FleetEndpoint endpoint;
  // The endpoint has said itself that it leaves, which holds whatever the store says of it.
  bool said_leaving = false;
  // Set while the entry is missing in the store.
  std::optional<MonotonicTime> missing_since;
  std::optional<KnownHoldings> known;
  // When the entry was last read in the store, with what the engine had registered.
  MonotonicTime read_at;
  // Models and adapters ("MODEL/ADAPTER") that the engine refused since the last news of it, and
  // when.
  std::map<std::string, MonotonicTime> refused;

  // What the engine holds: as the leader knows it, else as the engine registered it.
  const EngineHoldings& holdings() const { return known ? known->holdings : endpoint.holdings; }

  bool Holds(const std::string& model) const {
    return !refused.contains(model) && holdings().Find(model) != nullptr;
  }
  bool HoldsAdapter(const std::string& model, const std::string& adapter) const;
};

// The configuration and the endpoints as this daemon knows them. Not thread-safe.
class FleetDirectory {
 public:
  // An engine that lacked a model or adapter is asked again after this time: it may only have been
  // fetching it, and then there is no further news of it.
  static constexpr milliseconds kRefusedLifetime{600};
  // News of the leader is used for this long without any further word from a leader, and then until
  // the entry has been read in the store.
  static constexpr milliseconds kNewsLifetime{6000};

  // `reappear_time`: how long an entry that vanished counts as lapsed rather than gone.
  explicit FleetDirectory(milliseconds reappear_time = milliseconds(2000))
      : reappear_time_(reappear_time) {}

  void set_reappear_time(milliseconds time) { reappear_time_ = time; }

  // Called when an incarnation has ended that had not said that it would leave.
  using EndListener = std::function<void(const FleetEndpoint&)>;
  void set_end_listener(EndListener listener) { end_listener_ = std::move(listener); }

  // Takes a configuration into force unless it is older than the one in force.
  bool Adopt(FleetConfig config);
  std::shared_ptr<const FleetConfig> config() const { return config_; }

  // Notes an entry. `read_at` is set if it comes from the store itself and tells what an engine
  // holds. Returns true if it is a new incarnation.
  bool Put(FleetEndpoint endpoint, MonotonicTime read_at = MonotonicTime());
  // Notes that an entry is missing.
  void Remove(const std::string& id, MonotonicTime now);
  // Notes that exactly these entries exist.
  void KeepOnly(const std::set<std::string>& ids, MonotonicTime now);
  // Forgets entries that have been missing for long enough, and old news.
  void Tick(MonotonicTime now);

  // Notes what the placement leader knows of an engine. No effect on other incarnations.
  void NoteKnown(const std::string& id, std::int64_t started_ms, const EngineHoldings& holdings,
                 MonotonicTime now);
  // Notes that the leader stood by its news at a point of time.
  void RefreshKnown(MonotonicTime at);
  // Notes that an engine said that it does not hold a model or adapter.
  void NoteRefused(const std::string& id, const std::string& held, MonotonicTime now);

  // Notes that an incarnation of an endpoint leaves. False if that is known, or the incarnation is
  // not.
  bool NoteLeaving(const std::string& id, std::int64_t started_ms);
  // Endpoints that have said that they leave.
  std::vector<std::string> Leaving() const;

  // Whether an incarnation is registered and has not said that it leaves.
  bool IsExpectedToStay(const std::string& id, std::int64_t started_ms) const;

  Usability UsabilityOf(const DirectoryEntry& entry, MonotonicTime now) const;

  const std::map<std::string, DirectoryEntry>& entries() const { return entries_; }
  const DirectoryEntry* Find(const std::string& id) const;
  // Endpoints of a service that may be used. Pointers are valid until the next change.
  std::vector<const DirectoryEntry*> OfService(const std::string& service, MonotonicTime now) const;

 private:
  void NoteEnd(const DirectoryEntry& entry) const;
  void EndOthersAt(const FleetEndpoint& endpoint) const;

  milliseconds reappear_time_;
  EndListener end_listener_ = [](const FleetEndpoint&) {};
  std::shared_ptr<const FleetConfig> config_;
  std::map<std::string, DirectoryEntry> entries_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_DIRECTORY_H_
