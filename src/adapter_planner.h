#ifndef MIMOSABEND_ADAPTER_PLANNER_H_
#define MIMOSABEND_ADAPTER_PLANNER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "clock.h"
#include "fleet_config.h"
#include "model_planner.h"

namespace mimosabend {

// An adapter to load into a free adapter slot of an engine that already holds the base model.
struct PlannedAdapter {
  std::string engine;
  std::string model;
  std::string adapter;
};

// Decides which adapters to load before a request asks for them, so that requests don't wait for a
// load and adapters are served while no leader may send orders. Adapters without a replica come
// first, those in use before others; further replicas of adapters in use come next. Fills free
// slots only: at most one adapter per engine and `limit` in total. Thread-safe.
std::vector<PlannedAdapter> PlanAdapters(const EngineProfile& profile,
                                         const std::vector<PlannerEngine>& engines,
                                         const DemandRates& demand, std::size_t limit,
                                         MonotonicTime now);

}  // namespace mimosabend

#endif  // MIMOSABEND_ADAPTER_PLANNER_H_
