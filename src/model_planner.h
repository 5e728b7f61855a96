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

// Demand for one model, summed over all daemons, as exponentially decaying rates. Not thread-safe.
class ModelDemandRate {
 public:
  // Adds the usage that `daemon` reported for the time since its last report.
  void Add(const ModelUsage& usage, const std::string& daemon, MonotonicTime now);

  // Records that a request waits for an adapter. Repeated calls for one waiting request count once.
  void AddAdapterDemand(const std::string& adapter, MonotonicTime now);

  // Requests per second, with decay time constants of 3 s and 30 s.
  double RecentRate(MonotonicTime now) const;
  double LongTermRate(MonotonicTime now) const;
  // Number of engines that prefill alone would keep fully busy.
  double PrefillEngines(MonotonicTime now) const;
  // Requests that wait for the model now, and the most urgent priority in the last report of any.
  std::uint32_t Waiting(MonotonicTime now) const;
  std::uint32_t waiting_priority() const { return waiting_priority_; }
  // Time for which at least one request has been waiting without interruption; 0 if none waits.
  MonotonicTime::duration WaitingTime(MonotonicTime now) const;
  // Number of recently used adapters.
  std::size_t AdaptersInUse(MonotonicTime now) const;
  // Requests per second for an adapter, with a decay time constant of 30 s.
  double AdapterRate(const std::string& adapter, MonotonicTime now) const;
  // The latency target that was reported last.
  milliseconds target() const { return target_; }
  std::optional<MonotonicTime> last_used() const { return last_used_; }

 private:
  struct WaitingReport {
    std::uint32_t count = 0;
    MonotonicTime reported_at;
  };

  void Decay(MonotonicTime now);

  double recent_requests_ = 0;
  double long_term_requests_ = 0;
  // Decayed request counts by adapter, with the time constant of long_term_requests_.
  std::map<std::string, double> adapter_requests_;
  double prefill_ms_ = 0;
  MonotonicTime decayed_at_;
  std::optional<MonotonicTime> last_used_;
  std::map<std::string, WaitingReport> waiting_;
  MonotonicTime waiting_since_;
  std::uint32_t waiting_priority_ = 0;
  milliseconds target_ = milliseconds::max();
};

using DemandRates = std::map<std::string, ModelDemandRate>;

struct PlannerEngine {
  std::string id;
  EngineHoldings holdings;
  // Accepts no orders at present: its holdings are unknown or an order is in progress.
  bool blocked = false;
  // The model that an order in progress loads; empty if none.
  std::string loading;
  // Requests of all daemons in flight at the engine, by model.
  std::map<std::string, std::uint32_t> running;
};

// A load of `model` by `engine`, which first unloads `victims` in this order.
struct PlannedLoad {
  std::string engine;
  std::vector<std::string> victims;
  std::string model;
  // The weights are read from the weight store.
  bool from_store = false;
};

// Where an engine reads a model's weights from: its host memory, its disk or the weight store.
enum class WeightSource : std::uint8_t { kMemory, kDisk, kStore };

// The fastest source that an engine has for a model's weights. Thread-safe.
WeightSource SourceOf(const EngineHoldings& holdings, const std::string& model);

// How long an engine takes to load a model at full speed. Thread-safe.
milliseconds LoadTime(const ModelProfile& model, WeightSource source);

// Memory in MB that an engine's models and adapters take; infinite if one of the models is no
// longer configured. Thread-safe.
double UsedMb(const EngineProfile& profile, const EngineHoldings& holdings);

// Number of replicas that a model should have for its load and its adapters in use, at most
// `engines`. Thread-safe.
std::uint32_t WantedReplicas(const EngineProfile& profile, const ModelDemandRate* demand,
                             std::size_t engines, MonotonicTime now);

// Plans the next loads, at most one per engine: first models with waiting requests, then models
// with too few replicas, then models whose weights are on no engine. Evicts the models that are
// needed least. At most `store_loads_allowed` loads read the weight store. Thread-safe.
std::vector<PlannedLoad> PlanLoads(const EngineProfile& profile,
                                   const std::vector<PlannerEngine>& engines,
                                   const DemandRates& demand, std::uint32_t store_loads_allowed,
                                   MonotonicTime now);

}  // namespace mimosabend

#endif  // MIMOSABEND_MODEL_PLANNER_H_
