#include "model_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosabend {

namespace {

// Time constants of the demand rates in seconds.
constexpr double kRecentSeconds = 3;
constexpr double kLongSeconds = 30;
// A daemon's waiting requests count until its next report, or for this long.
constexpr milliseconds kWaitingLifetime{1500};
// Share of an engine's time that reading prompts may take, so that a prompt seldom finds others.
constexpr double kTargetShare = 0.25;
// Requests per second from which a model has a second engine, in case one fails.
constexpr double kSecondEngineRate = 0.8;
// A model that was used this recently keeps one engine if another can make room.
constexpr seconds kKeepTime{20};
// A replica is worth its model's rate times its reload time; a surplus one is worth this share.
constexpr double kSurplusShare = 0.05;

// One model that should have another engine.
struct Deficit {
  std::string model;
  // Larger goes first.
  double urgency = 0;
  // Requests wait and no engine holds or loads the model.
  bool cold = false;
  bool waiting = false;
};

bool Contains(const std::vector<std::string>& list, const std::string& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

// The state of one planning round.
class Round {
 public:
  Round(const EngineProfile& profile, const std::vector<PlannerEngine>& engines,
        const DemandRates& demand, std::uint32_t store_loads_allowed, MonotonicTime now)
      : profile_(profile),
        engines_(engines),
        demand_(demand),
        store_loads_allowed_(store_loads_allowed),
        now_(now),
        ordered_(engines.size(), false) {
    for (const PlannerEngine& engine : engines_) {
      for (const HeldModel& held : engine.holdings.models) ++replicas_[held.name];
      if (!engine.loading.empty() && engine.holdings.Find(engine.loading) == nullptr) {
        ++replicas_[engine.loading];
      }
    }
  }

  std::vector<PlannedOrder> Plan() {
    for (const Deficit& deficit : Deficits()) PlaceOne(deficit);
    return std::move(orders_);
  }

 private:
  const ModelDemandRate* DemandOf(const std::string& model) const {
    const auto it = demand_.find(model);
    return it == demand_.end() ? nullptr : &it->second;
  }

  std::uint32_t ReplicasOf(const std::string& model) const {
    const auto it = replicas_.find(model);
    return it == replicas_.end() ? 0 : it->second;
  }

  bool HasCopy(const std::string& model) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const PlannerEngine& engine) {
      return SourceOf(engine.holdings, model) != WeightSource::kStore;
    });
  }

  std::vector<Deficit> Deficits() const {
    std::vector<Deficit> deficits;
    for (const auto& [model, unused] : profile_.models) {
      const ModelDemandRate* demand = DemandOf(model);
      const std::uint32_t wanted = WantedReplicas(demand, engines_.size(), now_);
      const std::uint32_t replicas = ReplicasOf(model);
      Deficit deficit{model, 0, replicas == 0, false};
      if (demand != nullptr && demand->Waiting(now_) > 0 && replicas == 0) {
        deficit.waiting = true;
        deficit.urgency = 1000.0 - demand->waiting_priority();
      } else if (replicas < wanted) {
        deficit.urgency = 1.0 + demand->EngineShare(now_) / (replicas + 0.5);
      } else if (replicas == 0 && !HasCopy(model)) {
        deficit.urgency = 0.1;
      } else {
        continue;
      }
      deficits.push_back(std::move(deficit));
    }
    std::stable_sort(deficits.begin(), deficits.end(),
                     [](const Deficit& a, const Deficit& b) { return a.urgency > b.urgency; });
    return deficits;
  }

  // What is lost if an engine drops a model, in seconds of waiting per second.
  double ReplicaValue(const PlannerEngine& engine, const std::string& model) const {
    const ModelDemandRate* demand = DemandOf(model);
    if (demand == nullptr) return 0;
    if (demand->Waiting(now_) > 0) return std::numeric_limits<double>::infinity();
    const auto profile = profile_.models.find(model);
    if (profile == profile_.models.end()) return 0;
    const std::uint32_t wanted = WantedReplicas(demand, engines_.size(), now_);
    const double reload = ToSeconds(LoadTime(profile->second, WeightSource::kDisk));
    const double rate = std::max(demand->LongRate(now_), demand->RecentRate(now_));
    static_cast<void>(engine);
    const double value = rate * reload;
    return ReplicasOf(model) > wanted ? value * kSurplusShare : value;
  }

  // The model that an engine would drop to make room, and what that costs.
  std::optional<std::pair<std::string, double>> Victim(const PlannerEngine& engine) const {
    std::optional<std::pair<std::string, double>> victim;
    for (const HeldModel& held : engine.holdings.models) {
      const double value = ReplicaValue(engine, held.name);
      if (std::isinf(value)) continue;
      if (!victim || value < victim->second) victim = {held.name, value};
    }
    return victim;
  }

  // Orders one engine to load the model, or to make room for it.
  void PlaceOne(const Deficit& deficit) {
    const ModelProfile& model = profile_.models.at(deficit.model);
    std::size_t best = engines_.size();
    double best_cost = std::numeric_limits<double>::max();
    std::optional<std::string> best_victim;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      const PlannerEngine& engine = engines_[i];
      if (engine.blocked || ordered_[i]) continue;
      if (engine.holdings.Find(deficit.model) != nullptr) continue;
      const WeightSource source = SourceOf(engine.holdings, deficit.model);
      if (source == WeightSource::kStore && store_loads_allowed_ == 0) continue;
      // A copy elsewhere is read instead of the store, unless all engines that have it are blocked.
      double cost = ToSeconds(LoadTime(model, source)) + 0.001 * engine.requests;
      std::optional<std::string> victim;
      if (UsedMb(profile_, engine.holdings) + model.weights_mb > profile_.weights_mb) {
        const auto candidate = Victim(engine);
        if (!candidate) continue;
        // Requests that wait outweigh what others might lose; more engines for a busy model do not.
        if (!deficit.waiting && candidate->second >= Benefit(deficit)) continue;
        victim = candidate->first;
        cost += candidate->second;
      }
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = i;
      best_victim = victim;
    }
    if (best == engines_.size()) return;
    Order(best, deficit.model, best_victim);
  }

  // What another engine for the model gains, in seconds of waiting per second.
  double Benefit(const Deficit& deficit) const {
    const ModelDemandRate* demand = DemandOf(deficit.model);
    if (demand == nullptr) return 1e-6;
    const auto& profile = profile_.models.at(deficit.model);
    const double reload = ToSeconds(LoadTime(profile, WeightSource::kDisk));
    return std::max(demand->LongRate(now_), demand->RecentRate(now_)) * reload *
           (deficit.cold ? 1.0 : 0.5);
  }

  void Order(std::size_t index, const std::string& model,
             const std::optional<std::string>& victim) {
    const PlannerEngine& engine = engines_[index];
    ordered_[index] = true;
    if (victim) {
      orders_.push_back({engine.id, OrderKind::kUnload, *victim, false});
      --replicas_[*victim];
      return;
    }
    const bool from_store = SourceOf(engine.holdings, model) == WeightSource::kStore;
    if (from_store) --store_loads_allowed_;
    orders_.push_back({engine.id, OrderKind::kLoad, model, from_store});
    ++replicas_[model];
  }

  const EngineProfile& profile_;
  const std::vector<PlannerEngine>& engines_;
  const DemandRates& demand_;
  std::uint32_t store_loads_allowed_;
  MonotonicTime now_;
  std::vector<bool> ordered_;
  std::map<std::string, std::uint32_t> replicas_;
  std::vector<PlannedOrder> orders_;
};

}  // namespace

void ModelDemandRate::Decay(MonotonicTime now) {
  if (decayed_ != MonotonicTime()) {
    const double passed = std::max(0.0, ToSeconds(now - decayed_));
    recent_ *= std::exp(-passed / kRecentSeconds);
    reading_ms_ *= std::exp(-passed / kRecentSeconds);
    long_ *= std::exp(-passed / kLongSeconds);
  }
  decayed_ = now;
}

void ModelDemandRate::Add(const ModelUsage& usage, const std::string& daemon, MonotonicTime now) {
  Decay(now);
  recent_ += usage.requests;
  long_ += usage.requests;
  reading_ms_ += usage.reading_ms;
  if (usage.requests > 0 || usage.waiting > 0) last_used_ = now;
  waiting_[daemon] = {usage.waiting, now};
  if (usage.waiting > 0) waiting_priority_ = usage.waiting_priority;
}

double ModelDemandRate::RecentRate(MonotonicTime now) const {
  return recent_ * std::exp(-ToSeconds(now - decayed_) / kRecentSeconds) / kRecentSeconds;
}

double ModelDemandRate::LongRate(MonotonicTime now) const {
  return long_ * std::exp(-ToSeconds(now - decayed_) / kLongSeconds) / kLongSeconds;
}

double ModelDemandRate::EngineShare(MonotonicTime now) const {
  return reading_ms_ * std::exp(-ToSeconds(now - decayed_) / kRecentSeconds) / kRecentSeconds /
         1000;
}

std::uint32_t ModelDemandRate::Waiting(MonotonicTime now) const {
  std::uint32_t waiting = 0;
  for (const auto& [daemon, note] : waiting_) {
    if (now - note.noted < kWaitingLifetime) waiting += note.count;
  }
  return waiting;
}

WeightSource SourceOf(const EngineHoldings& holdings, const std::string& model) {
  if (Contains(holdings.in_memory, model)) return WeightSource::kMemory;
  if (Contains(holdings.on_disk, model)) return WeightSource::kDisk;
  return holdings.Find(model) != nullptr ? WeightSource::kDisk : WeightSource::kStore;
}

milliseconds LoadTime(const ModelProfile& model, WeightSource source) {
  switch (source) {
    case WeightSource::kMemory:
      return model.load_from_memory;
    case WeightSource::kDisk:
      return model.load_from_disk;
    case WeightSource::kStore:
      return model.load_from_store;
  }
  return model.load_from_store;
}

double UsedMb(const EngineProfile& profile, const EngineHoldings& holdings) {
  double used = 0;
  for (const HeldModel& held : holdings.models) {
    const auto model = profile.models.find(held.name);
    if (model == profile.models.end()) return std::numeric_limits<double>::infinity();
    used += model->second.weights_mb +
            model->second.adapter_mb * static_cast<double>(held.adapters.size());
  }
  return used;
}

std::uint32_t WantedReplicas(const ModelDemandRate* demand, std::size_t engines,
                             MonotonicTime now) {
  if (demand == nullptr || !demand->last_used()) return 0;
  std::uint32_t wanted = now - *demand->last_used() < kKeepTime ? 1 : 0;
  if (demand->RecentRate(now) >= kSecondEngineRate) wanted = 2;
  const double share = demand->EngineShare(now) / kTargetShare;
  wanted = std::max(wanted, static_cast<std::uint32_t>(std::ceil(share - 0.1)));
  return std::min<std::uint32_t>(wanted, static_cast<std::uint32_t>(engines));
}

std::vector<PlannedOrder> PlanOrders(const EngineProfile& profile,
                                     const std::vector<PlannerEngine>& engines,
                                     const DemandRates& demand, std::uint32_t store_loads_allowed,
                                     MonotonicTime now) {
  return Round(profile, engines, demand, store_loads_allowed, now).Plan();
}

}  // namespace mimosabend
