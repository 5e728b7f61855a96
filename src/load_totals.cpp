#include "load_totals.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <set>

namespace mimosabend {

namespace {

constexpr milliseconds kDaemonLifetime{5000};

std::uint16_t Clamp(std::int64_t value) {
  constexpr std::int64_t kMax = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::clamp<std::int64_t>(value, 0, kMax));
}

}  // namespace

void LoadTotals::SetLoads(const std::string& daemon, std::vector<EndpointLoad> loads,
                          std::vector<EngineRuns> runs, MonotonicTime now) {
  DaemonLoads& entry = daemons_[daemon];
  Add(entry, -1);
  entry = {std::move(loads), std::move(runs), now};
  Add(entry, 1);
}

void LoadTotals::Add(const DaemonLoads& loads, int sign) {
  for (const EndpointLoad& load : loads.loads) {
    Sum& sum = sums_[load.number];
    sum.requests += sign * load.requests;
    sum.prefill_units += sign * load.prefill_units;
    sum.memory_units += sign * load.memory_units;
    if (sum.requests <= 0) sums_.erase(load.number);
  }
  for (const EngineRuns& engine : loads.runs) {
    for (const ModelRuns& model : engine.models) {
      const auto key = std::pair(engine.number, model.model);
      if ((runs_[key] += sign * model.requests) <= 0) runs_.erase(key);
    }
  }
}

void LoadTotals::PruneExpired(MonotonicTime now) {
  for (auto it = daemons_.begin(); it != daemons_.end();) {
    const bool expired = now - it->second.reported_at >= kDaemonLifetime;
    if (expired) Add(it->second, -1);
    it = expired ? daemons_.erase(it) : std::next(it);
  }
}

std::vector<EndpointLoad> LoadTotals::Totals() const {
  std::vector<EndpointLoad> totals;
  for (const auto& [number, sum] : sums_) {
    EndpointLoad load;
    load.number = number;
    load.requests = Clamp(sum.requests);
    load.prefill_units = Clamp(sum.prefill_units);
    load.memory_units = Clamp(sum.memory_units);
    totals.push_back(load);
  }
  return totals;
}

std::vector<EngineRuns> LoadTotals::TotalRuns() const {
  std::map<std::uint32_t, std::map<std::string, std::set<std::string>>> adapters;
  for (const auto& [name, daemon] : daemons_) {
    for (const EngineRuns& engine : daemon.runs) {
      for (const ModelRuns& model : engine.models) {
        adapters[engine.number][model.model].insert(model.adapters.begin(), model.adapters.end());
      }
    }
  }
  std::vector<EngineRuns> totals;
  for (const auto& [number, models] : adapters) {
    EngineRuns engine{number, {}};
    for (const auto& [model, names] : models) {
      engine.models.push_back(
          {model, static_cast<std::uint16_t>(RunsAt(number, model)), {names.begin(), names.end()}});
    }
    totals.push_back(std::move(engine));
  }
  return totals;
}

std::uint32_t LoadTotals::RequestsAt(std::uint32_t number) const {
  const auto it = sums_.find(number);
  return it == sums_.end() ? 0 : Clamp(it->second.requests);
}

std::uint32_t LoadTotals::RunsAt(std::uint32_t number, const std::string& model) const {
  const auto it = runs_.find({number, model});
  return it == runs_.end() ? 0 : Clamp(it->second);
}

std::vector<EndpointLoad> LoadTotals::LoadsExcept(const std::string& daemon) const {
  assert(daemons_.contains(daemon));
  std::map<std::uint32_t, EndpointLoad> own_loads;
  for (const EndpointLoad& load : daemons_.at(daemon).loads) own_loads[load.number] = load;
  std::vector<EndpointLoad> others;
  for (const auto& [number, sum] : sums_) {
    const auto own = own_loads.find(number);
    const EndpointLoad own_load = own == own_loads.end() ? EndpointLoad() : own->second;
    EndpointLoad load;
    load.number = number;
    load.requests = Clamp(sum.requests - own_load.requests);
    load.prefill_units = Clamp(sum.prefill_units - own_load.prefill_units);
    load.memory_units = Clamp(sum.memory_units - own_load.memory_units);
    if (load.requests > 0) others.push_back(load);
  }
  return others;
}

}  // namespace mimosabend
