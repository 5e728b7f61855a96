#ifndef MIMOSABEND_ADAPTER_PLANNER_H_
#define MIMOSABEND_ADAPTER_PLANNER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "clock.h"
#include "fleet_config.h"
#include "model_planner.h"

namespace mimosabend {

// An adapter that an engine is to fetch into a free place beside its model.
struct PlannedAdapter {
  std::string engine;
  std::string model;
  std::string adapter;
};

// Decides which adapters are placed ahead of requests, so that these need not wait for an order
// and are served while nobody may order: first adapters that no engine holds, those in use before
// others, then further copies of adapters in use. Only free places are filled, at most one for
// each engine and `limit` in all. Thread-safe.
std::vector<PlannedAdapter> PlanAdapters(const EngineProfile& profile,
                                         const std::vector<PlannerEngine>& engines,
                                         const DemandRates& demand, std::size_t limit,
                                         MonotonicTime now);

}  // namespace mimosabend

#endif  // MIMOSABEND_ADAPTER_PLANNER_H_
