#ifndef MIMOSABEND_MODEL_PLANNER_H_
#define MIMOSABEND_MODEL_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "engine.h"
#include "fleet_config.h"
#include "fleet_endpoint.h"
#include "fleet_usage.h"

namespace mimosabend {

// Demand for one model over all daemons, with rates that decay. Not thread-safe.
class ModelDemandRate {
 public:
  // Adds what one daemon reported for the time since its last report.
  void Add(const ModelUsage& usage, const std::string& daemon, MonotonicTime now);

  // Notes that a request waits for an adapter.
  void WantAdapter(const std::string& adapter, MonotonicTime now);

  // Requests per second of the last seconds, and of the last half minute.
  double RecentRate(MonotonicTime now) const;
  double LongRate(MonotonicTime now) const;
  // Engines that would be busy all the time with reading prompts.
  double EngineShare(MonotonicTime now) const;
  // Requests that wait now, and the most urgent priority among them.
  std::uint32_t Waiting(MonotonicTime now) const;
  std::uint32_t waiting_priority() const { return waiting_priority_; }
  // How long requests have waited without a moment in which none did.
  MonotonicTime::duration WaitingTime(MonotonicTime now) const;
  // Adapters that were used lately.
  std::size_t AdaptersInUse(MonotonicTime now) const;
  // Requests per second for an adapter in the last half minute.
  double AdapterRate(const std::string& adapter, MonotonicTime now) const;
  // The tightest latency target of the recent requests.
  milliseconds target() const { return target_; }
  std::optional<MonotonicTime> last_used() const { return last_used_; }

 private:
  struct WaitingNote {
    std::uint32_t count = 0;
    MonotonicTime noted;
  };

  void Decay(MonotonicTime now);

  double recent_ = 0;
  double long_ = 0;
  // As long_, by adapter.
  std::map<std::string, double> adapters_;
  double reading_ms_ = 0;
  MonotonicTime decayed_;
  std::optional<MonotonicTime> last_used_;
  std::map<std::string, WaitingNote> waiting_;
  MonotonicTime waiting_since_;
  std::uint32_t waiting_priority_ = 0;
  milliseconds target_ = milliseconds::max();
};

using DemandRates = std::map<std::string, ModelDemandRate>;

struct PlannerEngine {
  std::string id;
  EngineHoldings holdings;
  // Takes no order now: what it holds is not known, or an order is in progress.
  bool blocked = false;
  // The model that an order in progress loads; empty for none.
  std::string loading;
  // Requests of all daemons that run here, by model.
  std::map<std::string, std::uint32_t> running;
};

// One engine is to drop some models, in this order, and then to load another.
struct PlannedLoad {
  std::string engine;
  std::vector<std::string> victims;
  std::string model;
  // The load reads the weight store.
  bool from_store = false;
};

// Where weights come from when an engine loads a model.
enum class WeightSource : std::uint8_t { kMemory, kDisk, kStore };

// Thread-safe.
WeightSource SourceOf(const EngineHoldings& holdings, const std::string& model);

// How long an engine takes to load a model at full speed. Thread-safe.
milliseconds LoadTime(const ModelProfile& model, WeightSource source);

// Memory that the models and adapters of an engine take. Thread-safe.
double UsedMb(const EngineProfile& profile, const EngineHoldings& holdings);

// Engines that a model should have: enough for its load and for its adapters in use. Thread-safe.
std::uint32_t WantedReplicas(const EngineProfile& profile, const ModelDemandRate* demand,
                             std::size_t engines, MonotonicTime now);

// Decides the next loads, at most one for each engine: models with waiting requests first, then
// models whose engines are too few, then models that no engine has a copy of. Models that are
// needed least make room. Up to `store_loads_allowed` loads read the weight store. Thread-safe.
std::vector<PlannedLoad> PlanLoads(const EngineProfile& profile,
                                   const std::vector<PlannerEngine>& engines,
                                   const DemandRates& demand, std::uint32_t store_loads_allowed,
                                   MonotonicTime now);

}  // namespace mimosabend

#endif  // MIMOSABEND_MODEL_PLANNER_H_
