#ifndef MIMOSABEND_ENGINE_TABLE_H_
#define MIMOSABEND_ENGINE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"
#include "fleet_config.h"
#include "fleet_directory.h"
#include "fleet_endpoint.h"
#include "fleet_usage.h"
#include "holdings_log.h"

namespace mimosabend {

// State of one incarnation of an engine, as the placement leader knows it.
struct EngineRecord {
  std::string id;
  std::string service;
  Address address;
  std::int64_t started_ms = 0;
  // The holdings in the engine's registration.
  EngineHoldings registered;
  // The holdings that the engine last reported, plus the effect of orders accepted since.
  EngineHoldings holdings;
  // Whether the holdings have been read in this term.
  bool known = false;
  // An order or a read of the holdings is in progress.
  bool busy = false;
  // The model that is being loaded, set from the decision on; empty if none.
  std::string loading;
  MonotonicTime ready_at;
  MonotonicTime read_at;
  MonotonicTime ordered_at;
  // Since when an unload has been waiting for requests in flight; empty if none is.
  std::optional<MonotonicTime> unloading_since;
  // Time at which the last order was sent, whatever its outcome.
  MonotonicTime sent_at;
  // Earliest time for the next order.
  MonotonicTime retry_at;
  // Time of last use by adapter ("MODEL/ADAPTER").
  std::map<std::string, MonotonicTime> adapter_use;

  std::uint32_t number() const { return EndpointNumber(id, started_ms); }

  bool IsIdle(MonotonicTime now) const { return !busy && now >= retry_at; }
};

// A model and one of its adapters.
using ModelAdapter = std::pair<std::string, std::string>;

// Thread-safe.
bool HasAdapter(const EngineHoldings& holdings, const std::string& model,
                const std::string& adapter);
std::size_t CountAdapters(const EngineHoldings& holdings);

// Memory in MB that an engine's holdings and the model it is loading take. Thread-safe.
double CommittedMb(const EngineProfile& profile, const EngineRecord& engine);

// The placement leader's table of the engines of all services, their holdings and orders. Not
// thread-safe.
class EngineTable {
 public:
  // Changes of holdings are published to `published`. Precondition: it outlives this object.
  explicit EngineTable(HoldingsLog* published) : published_(published) {}

  // Removes all engines. Holdings published from now on have versions above `versions_after`.
  void BeginTerm(std::uint64_t versions_after) {
    engines_.clear();
    versions_after_ = versions_after;
    published_->SetGap(published_->version(), versions_after);
  }

  // Adds and removes engines to match the directory. Returns the ids of engines whose holdings have
  // to be read: unknown, out of date, or different from the registration.
  std::vector<std::string> Sync(const FleetDirectory& directory, MonotonicTime now);

  // Returns nullptr if the engine is unknown.
  EngineRecord* Find(const std::string& id);
  // Returns nullptr unless the engine is known and its incarnation started at `started_ms`.
  EngineRecord* Find(const std::string& id, std::int64_t started_ms);

  // Replaces the holdings by those that the engine reports. Returns false and changes nothing if
  // the report predates the last order.
  bool RecordReport(EngineRecord* engine, const EngineReport& report, MonotonicTime now);
  // Record that an engine has accepted an order, and update its holdings accordingly.
  void RecordLoadAccepted(EngineRecord* engine, MonotonicTime now);
  void RecordUnloadAccepted(EngineRecord* engine, const std::string& model, MonotonicTime now);
  void RecordAdapterLoaded(EngineRecord* engine, const ModelAdapter& adapter, MonotonicTime now);
  void RecordAdapterEvicted(EngineRecord* engine, const ModelAdapter& adapter, MonotonicTime now);
  // Records the use of adapters by a daemon's requests in flight.
  void RecordAdapterUse(const std::vector<EngineRuns>& runs, MonotonicTime now);

  // Selects the adapter to evict from an engine: those not in use recently come first, then those
  // that other engines hold too, then the least recently used. std::nullopt if it holds none.
  std::optional<ModelAdapter> AdapterToEvict(const EngineRecord& engine, MonotonicTime now) const;

  // The engines to which an order was sent less than `within` ago.
  std::vector<RecentOrder> RecentOrders(milliseconds within, MonotonicTime now) const;

  // The loads in progress, with the time until they are expected to end.
  std::vector<PendingLoad> PendingLoads(MonotonicTime now) const;

  const std::map<std::string, EngineRecord>& engines() const { return engines_; }

 private:
  bool HasOtherReplica(const EngineRecord& engine, const ModelAdapter& adapter) const;
  static void IncrementSequence(EngineRecord* engine, MonotonicTime now);
  void Publish(const EngineRecord& engine);

  HoldingsLog* published_;
  std::map<std::string, EngineRecord> engines_;
  std::uint64_t versions_after_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENGINE_TABLE_H_
