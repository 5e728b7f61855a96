#ifndef MIMOSABEND_ENGINE_LEDGER_H_
#define MIMOSABEND_ENGINE_LEDGER_H_

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

// What the leader knows of one incarnation of an engine.
struct LedgerEngine {
  std::string id;
  std::string service;
  Address address;
  std::int64_t started_ms = 0;
  // As the engine registered it.
  EngineHoldings registered;
  // As it reported it, with the orders that it has accepted since.
  EngineHoldings holdings;
  // The holdings were read in this term.
  bool known = false;
  // An order or a report is on its way.
  bool busy = false;
  // The model that is being loaded, from the decision on; empty for none.
  std::string loading;
  MonotonicTime ready_at;
  MonotonicTime read_at;
  MonotonicTime ordered_at;
  // Since when the engine waits for running requests before it drops a model; empty if it doesn't.
  std::optional<MonotonicTime> unloading_since;
  // The last order was sent then, whatever came of it.
  MonotonicTime sent_at;
  // Nothing is sent to the engine before.
  MonotonicTime retry_at;
  // When adapters ("MODEL/ADAPTER") were last in use.
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

// Memory of an engine that its holdings and the model that it loads take. Thread-safe.
double CommittedMb(const EngineProfile& profile, const LedgerEngine& engine);

// The engines of all services as the leader knows them. Not thread-safe.
class EngineLedger {
 public:
  // Precondition: `published` outlives this object. What engines hold is published there.
  explicit EngineLedger(HoldingsLog* published) : published_(published) {}

  // Forgets all engines. What is published from now on has versions above `versions_after`.
  void BeginTerm(std::uint64_t versions_after) {
    engines_.clear();
    versions_after_ = versions_after;
    published_->SetGap(published_->version(), versions_after);
  }

  // Brings the ledger in line with the directory. Returns the engines whose holdings have to be
  // read.
  std::vector<std::string> Follow(const FleetDirectory& directory, MonotonicTime now);

  // nullptr if the engine is not in the ledger.
  LedgerEngine* Find(const std::string& id);
  // nullptr unless the engine is still in the incarnation.
  LedgerEngine* Find(const std::string& id, std::int64_t started_ms);

  // Takes in a report. False if it is from before the last order.
  bool NoteReport(LedgerEngine* engine, const EngineReport& report, MonotonicTime now);
  // Notes that an engine has accepted an order, and what it holds by it.
  void NoteLoadAccepted(LedgerEngine* engine, MonotonicTime now);
  void NoteUnloadAccepted(LedgerEngine* engine, const std::string& model, MonotonicTime now);
  void NoteAdapterLoaded(LedgerEngine* engine, const ModelAdapter& adapter, MonotonicTime now);
  void NoteAdapterDropped(LedgerEngine* engine, const ModelAdapter& adapter, MonotonicTime now);
  // Notes the adapters that a daemon's requests use.
  void NoteAdapterUse(const std::vector<EngineRuns>& runs, MonotonicTime now);

  // The adapter that an engine should drop for another one: one that was not in use lately, rather
  // one that other engines hold, the least recently used first. std::nullopt if it holds none.
  std::optional<ModelAdapter> AdapterToDrop(const LedgerEngine& engine, MonotonicTime now) const;

  // The engines to which an order was sent within a time.
  std::vector<RecentOrder> RecentOrders(milliseconds within, MonotonicTime now) const;

  // The loads in progress.
  std::vector<PendingLoad> PendingLoads(MonotonicTime now) const;

  const std::map<std::string, LedgerEngine>& engines() const { return engines_; }

 private:
  bool IsHeldElsewhere(const LedgerEngine& engine, const ModelAdapter& adapter) const;
  static void CountOrder(LedgerEngine* engine, MonotonicTime now);
  void Publish(const LedgerEngine& engine);

  HoldingsLog* published_;
  std::map<std::string, LedgerEngine> engines_;
  std::uint64_t versions_after_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENGINE_LEDGER_H_
