#include "adapter_planner.h"

#include <algorithm>
#include <map>

namespace mimosabend {

namespace {

// Places of an engine that further copies leave free, so that an adapter which a request waits for
// need not wait until another one has been dropped.
constexpr std::size_t kReservedPlaces = 1;

struct Candidate {
  std::string model;
  std::string adapter;
  std::size_t copies = 0;
  // Requests per second.
  double rate = 0;
};

// Whether `a` is to be placed before `b`.
bool GoesFirst(const Candidate& a, const Candidate& b) {
  if ((a.copies == 0) != (b.copies == 0)) return a.copies == 0;
  return a.rate * static_cast<double>(b.copies + 1) > b.rate * static_cast<double>(a.copies + 1);
}

bool Holds(const PlannerEngine& engine, const Candidate& candidate) {
  const HeldModel* held = engine.holdings.Find(candidate.model);
  return held != nullptr && std::find(held->adapters.begin(), held->adapters.end(),
                                      candidate.adapter) != held->adapters.end();
}

class Round {
 public:
  Round(const EngineProfile& profile, const std::vector<PlannerEngine>& engines,
        const DemandRates& demand, MonotonicTime now)
      : profile_(profile), engines_(engines), demand_(demand), now_(now) {
    for (const PlannerEngine& engine : engines_) {
      std::size_t count = 0;
      for (const HeldModel& held : engine.holdings.models) {
        count += held.adapters.size();
        ++replicas_[held.name];
        for (const std::string& adapter : held.adapters) ++copies_[held.name + "/" + adapter];
      }
      const std::size_t places = profile_.adapter_slots;
      free_.push_back(
          engine.blocked || !engine.loading.empty() || count >= places ? 0 : places - count);
      free_mb_.push_back(profile_.weights_mb - UsedMb(profile_, engine.holdings));
    }
  }

  std::vector<PlannedAdapter> Plan(std::size_t limit) {
    std::vector<PlannedAdapter> planned;
    for (const Candidate& candidate : Candidates()) {
      if (planned.size() >= limit) break;
      const std::size_t best = BestEngine(candidate);
      if (best == engines_.size()) continue;
      free_[best] = 0;
      planned.push_back({engines_[best].id, candidate.model, candidate.adapter});
    }
    return planned;
  }

 private:
  std::vector<Candidate> Candidates() const {
    std::vector<Candidate> candidates;
    for (const auto& [model, replicas] : replicas_) {
      const auto profile = profile_.models.find(model);
      if (profile == profile_.models.end()) continue;
      const auto demand = demand_.find(model);
      for (const std::string& adapter : profile->second.adapter_names) {
        const auto copies = copies_.find(model + "/" + adapter);
        Candidate candidate{model, adapter, copies == copies_.end() ? 0 : copies->second, 0};
        if (demand != demand_.end()) candidate.rate = demand->second.AdapterRate(adapter, now_);
        const bool wanted = candidate.copies == 0 || candidate.rate > 0;
        if (wanted && candidate.copies < replicas) candidates.push_back(std::move(candidate));
      }
    }
    std::stable_sort(candidates.begin(), candidates.end(), GoesFirst);
    return candidates;
  }

  // The engine with the most free places that can take an adapter; the number of engines if there
  // is none.
  std::size_t BestEngine(const Candidate& candidate) const {
    const std::size_t reserved = candidate.copies == 0 ? 0 : kReservedPlaces;
    const double needed_mb = profile_.models.at(candidate.model).adapter_mb;
    std::size_t best = engines_.size();
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (free_[i] <= reserved || free_mb_[i] < needed_mb) continue;
      if (engines_[i].holdings.Find(candidate.model) == nullptr) continue;
      if (Holds(engines_[i], candidate)) continue;
      if (best == engines_.size() || free_[i] > free_[best]) best = i;
    }
    return best;
  }

  const EngineProfile& profile_;
  const std::vector<PlannerEngine>& engines_;
  const DemandRates& demand_;
  MonotonicTime now_;
  std::map<std::string, std::size_t> replicas_;
  // By "MODEL/ADAPTER".
  std::map<std::string, std::size_t> copies_;
  // Free places and memory by engine; no places where the engine takes no order now.
  std::vector<std::size_t> free_;
  std::vector<double> free_mb_;
};

}  // namespace

std::vector<PlannedAdapter> PlanAdapters(const EngineProfile& profile,
                                         const std::vector<PlannerEngine>& engines,
                                         const DemandRates& demand, std::size_t limit,
                                         MonotonicTime now) {
  return Round(profile, engines, demand, now).Plan(limit);
}

}  // namespace mimosabend
