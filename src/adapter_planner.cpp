#include "adapter_planner.h"

#include <algorithm>
#include <map>

namespace mimosabend {

namespace {

// Slots per engine that further replicas leave free, so that an adapter that a request waits for
// can be loaded without an eviction first.
constexpr std::size_t kReservedSlots = 1;

struct Candidate {
  std::string model;
  std::string adapter;
  std::size_t replicas = 0;
  // Requests per second.
  double rate = 0;
};

// Orders candidates: adapters without a replica first, then by request rate per replica.
bool ComesBefore(const Candidate& a, const Candidate& b) {
  if ((a.replicas == 0) != (b.replicas == 0)) return a.replicas == 0;
  return a.rate * static_cast<double>(b.replicas + 1) >
         b.rate * static_cast<double>(a.replicas + 1);
}

bool Holds(const PlannerEngine& engine, const Candidate& candidate) {
  const HeldModel* held = engine.holdings.Find(candidate.model);
  return held != nullptr && std::find(held->adapters.begin(), held->adapters.end(),
                                      candidate.adapter) != held->adapters.end();
}

class AdapterPlanner {
 public:
  AdapterPlanner(const EngineProfile& profile, const std::vector<PlannerEngine>& engines,
                 const DemandRates& demand, MonotonicTime now)
      : profile_(profile), engines_(engines), demand_(demand), now_(now) {
    for (const PlannerEngine& engine : engines_) {
      std::size_t count = 0;
      for (const HeldModel& held : engine.holdings.models) {
        count += held.adapters.size();
        ++holders_[held.name];
        for (const std::string& adapter : held.adapters) ++replicas_[held.name + "/" + adapter];
      }
      const std::size_t slots = profile_.adapter_slots;
      free_slots_.push_back(
          engine.blocked || !engine.loading.empty() || count >= slots ? 0 : slots - count);
      free_mb_.push_back(profile_.weights_mb - UsedMb(profile_, engine.holdings));
    }
  }

  std::vector<PlannedAdapter> Plan(std::size_t limit) {
    std::vector<PlannedAdapter> planned;
    for (const Candidate& candidate : Candidates()) {
      if (planned.size() >= limit) break;
      const std::size_t best = BestEngine(candidate);
      if (best == engines_.size()) continue;
      free_slots_[best] = 0;
      planned.push_back({engines_[best].id, candidate.model, candidate.adapter});
    }
    return planned;
  }

 private:
  std::vector<Candidate> Candidates() const {
    std::vector<Candidate> candidates;
    for (const auto& [model, holders] : holders_) {
      const auto profile = profile_.models.find(model);
      if (profile == profile_.models.end()) continue;
      const auto demand = demand_.find(model);
      for (const std::string& adapter : profile->second.adapter_names) {
        const auto replicas = replicas_.find(model + "/" + adapter);
        Candidate candidate{model, adapter, replicas == replicas_.end() ? 0 : replicas->second, 0};
        if (demand != demand_.end()) candidate.rate = demand->second.AdapterRate(adapter, now_);
        const bool useful = candidate.replicas == 0 || candidate.rate > 0;
        if (useful && candidate.replicas < holders) candidates.push_back(std::move(candidate));
      }
    }
    std::stable_sort(candidates.begin(), candidates.end(), ComesBefore);
    return candidates;
  }

  // Returns the index of the eligible engine with the most free slots, or the number of engines if
  // no engine is eligible.
  std::size_t BestEngine(const Candidate& candidate) const {
    const std::size_t reserved = candidate.replicas == 0 ? 0 : kReservedSlots;
    const double needed_mb = profile_.models.at(candidate.model).adapter_mb;
    std::size_t best = engines_.size();
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (free_slots_[i] <= reserved || free_mb_[i] < needed_mb) continue;
      if (engines_[i].holdings.Find(candidate.model) == nullptr) continue;
      if (Holds(engines_[i], candidate)) continue;
      if (best == engines_.size() || free_slots_[i] > free_slots_[best]) best = i;
    }
    return best;
  }

  const EngineProfile& profile_;
  const std::vector<PlannerEngine>& engines_;
  const DemandRates& demand_;
  MonotonicTime now_;
  // Number of engines that hold each model.
  std::map<std::string, std::size_t> holders_;
  // Replicas of each adapter, keyed by "MODEL/ADAPTER".
  std::map<std::string, std::size_t> replicas_;
  // Free slots and memory, by engine index; 0 slots if the engine accepts no orders at present.
  std::vector<std::size_t> free_slots_;
  std::vector<double> free_mb_;
};

}  // namespace

std::vector<PlannedAdapter> PlanAdapters(const EngineProfile& profile,
                                         const std::vector<PlannerEngine>& engines,
                                         const DemandRates& demand, std::size_t limit,
                                         MonotonicTime now) {
  return AdapterPlanner(profile, engines, demand, now).Plan(limit);
}

}  // namespace mimosabend
