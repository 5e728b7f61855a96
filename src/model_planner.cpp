#include "model_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosabend {

namespace {

// Time constants of the demand rates in seconds.
constexpr double kRecentSeconds = 3;
constexpr double kLongSeconds = 30;
// An adapter whose decayed count of requests is below this is no longer in use.
constexpr double kLeastAdapterCount = 0.05;
// Above this many times that count it has a claim to a place: one request in the last 30 s.
constexpr double kInUseFactor = 7;
// A daemon's waiting requests count until its next report, or for this long.
constexpr milliseconds kWaitingLifetime{1500};
// Share of an engine's time that reading prompts may take, so that a prompt seldom finds others.
constexpr double kTargetShare = 0.25;
// An engine is surplus only when the others would stay below this share without it.
constexpr double kSurplusShare = 0.15;
// From this share on requests queue up at an engine.
constexpr double kOverloadShare = 0.5;
// Requests that have waited for this part of their latency target can't wait for other loads.
constexpr double kPatientPart = 0.4;
// Requests per second from which a model has a second engine, in case one fails.
constexpr double kSecondEngineRate = 0.8;
// A model that was not used for this long has no claim to an engine.
constexpr seconds kKeepTime{20};
// A model whose requests may wait this many times longer than a load from disk takes can make
// room for others while it is idle, and be loaded again.
constexpr int kSwapFactor = 3;

// Why a model should have another engine, the most pressing first.
enum class Need : std::uint8_t {
  // Requests wait, no engine holds or loads the model, and they would be late soon.
  kWaiting,
  // Its engines can't keep up with requests that would be late soon.
  kOverload,
  // Requests wait that can wait for some loads.
  kPatientWaiting,
  // Its engines are too few for the load, or it has none although it is in use.
  kLoad,
  // No engine has a copy of its weights.
  kCopy
};

struct Deficit {
  std::string model;
  Need need = Need::kCopy;
  // Among those of the same need, lower goes first.
  std::uint32_t priority = 0;
  // Among those of the same need and priority, larger goes first.
  double urgency = 0;
};

// Seconds that dropping a replica costs by Hold, beside a second for each request a second.
constexpr double kCostOfHold[] = {0, 0.1, 0.3, 0.5, 100, 1000};
// Seconds that it costs beside, where others share the load, by how busy they become.
constexpr double kCostOfShare = 8;
// Time beside the load itself until a dropped model serves again: two orders and their reports.
constexpr double kSwapSeconds = 0.4;
// Added to how long requests have waited, so that their number counts from the start.
constexpr double kLeastWaitingSeconds = 0.1;
// An unload waits for the requests that run with the model: seconds for the first, and for each of
// the next ones, since the longest of them counts.
constexpr double kSecondsOfFirstRun = 1.0;
constexpr double kSecondsPerFurtherRun = 0.2;
constexpr std::uint32_t kMostFurtherRuns = 8;

// An engine takes no adapters during a load, so one that serves few adapters is better: seconds by
// which each makes a load from the store, or from a copy, dearer.
constexpr double kSecondsPerAdapter = 0.1;
constexpr double kSecondsPerAdapterOfCopy = 0.05;

// How much an engine's replica of a model is needed, the least first.
enum class Hold : std::uint8_t {
  // Others hold the model, and it is not in use or they are enough.
  kSurplus,
  // The only one of a model that is not in use.
  kUnused,
  // In use, but its requests can wait for another load.
  kSwappable,
  // In use with a tight target; others hold the model, too.
  kTightShared,
  // In use with a tight target, and the only one.
  kNeeded,
  // Requests wait for it.
  kAwaited
};

struct Victim {
  std::string model;
  Hold hold = Hold::kAwaited;
  // Requests per second.
  double rate = 0;
  // Share of their time that its other engines would be busy without this one.
  double share_without = 0;
  // How long an unload is likely to wait for running requests.
  double unload_seconds = 0;
};

double UnloadSeconds(const PlannerEngine& engine, const std::string& model) {
  const auto running = engine.running.find(model);
  if (running == engine.running.end() || running->second == 0) return 0;
  return kSecondsOfFirstRun +
         kSecondsPerFurtherRun * std::min(running->second - 1, kMostFurtherRuns);
}

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
        used_(engines.size(), false) {
    for (const PlannerEngine& engine : engines_) {
      for (const HeldModel& held : engine.holdings.models) ++replicas_[held.name];
      if (!engine.loading.empty() && engine.holdings.Find(engine.loading) == nullptr) {
        ++replicas_[engine.loading];
      }
    }
  }

  std::vector<PlannedLoad> Plan() {
    for (const Deficit& deficit : Deficits()) PlaceOne(deficit);
    return std::move(loads_);
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
      return SourceOf(engine.holdings, model) != WeightSource::kStore || engine.loading == model;
    });
  }

  bool IsInUse(const ModelDemandRate* demand) const {
    return demand != nullptr && demand->last_used() && now_ - *demand->last_used() < kKeepTime;
  }

  // Whether requests for a model can wait for a load from disk without being late.
  bool IsSwappable(const ModelDemandRate& demand, const std::string& model) const {
    const auto profile = profile_.models.find(model);
    return profile != profile_.models.end() &&
           demand.target() > profile->second.load_from_disk * kSwapFactor;
  }

  // Whether the requests that wait for a model will be on time after some other loads, too.
  bool IsPatient(const ModelDemandRate& demand, const std::string& model) const {
    return IsSwappable(demand, model) &&
           demand.WaitingTime(now_) <
               std::chrono::duration_cast<MonotonicTime::duration>(demand.target() * kPatientPart);
  }

  // Requests that wait, times how long they have: few requests are not passed over for ever, and a
  // load serves many where it can.
  double WaitingUrgency(const ModelDemandRate& demand) const {
    return demand.Waiting(now_) * (ToSeconds(demand.WaitingTime(now_)) + kLeastWaitingSeconds);
  }

  std::vector<Deficit> Deficits() const {
    std::vector<Deficit> deficits;
    for (const auto& [model, unused] : profile_.models) {
      const ModelDemandRate* demand = DemandOf(model);
      const std::uint32_t wanted = WantedReplicas(profile_, demand, engines_.size(), now_);
      const std::uint32_t replicas = ReplicasOf(model);
      if (demand != nullptr && demand->Waiting(now_) > 0 && replicas == 0) {
        const Need need = IsPatient(*demand, model) ? Need::kPatientWaiting : Need::kWaiting;
        deficits.push_back({model, need, demand->waiting_priority(), WaitingUrgency(*demand)});
      } else if (replicas < wanted && (replicas > 0 || !IsSwappable(*demand, model))) {
        const double urgency =
            (demand->EngineShare(now_) + demand->RecentRate(now_) * 0.01) / (replicas + 0.1);
        for (std::uint32_t i = replicas; i < wanted; ++i) {
          const bool overload = !IsSwappable(*demand, model) &&
                                demand->EngineShare(now_) > kOverloadShare * std::max(1U, i);
          deficits.push_back(
              {model, overload ? Need::kOverload : Need::kLoad, 0, urgency / (i - replicas + 1)});
        }
      } else if (replicas == 0 && !HasCopy(model)) {
        const double rate = demand == nullptr ? 0 : demand->LongRate(now_);
        deficits.push_back({model, Need::kCopy, 0, rate});
      }
    }
    std::stable_sort(deficits.begin(), deficits.end(), [](const Deficit& a, const Deficit& b) {
      if (a.need != b.need) return a.need < b.need;
      return a.priority != b.priority ? a.priority < b.priority : a.urgency > b.urgency;
    });
    return deficits;
  }

  double ShareWithout(const std::string& model) const {
    const ModelDemandRate* demand = DemandOf(model);
    if (demand == nullptr) return 0;
    return demand->EngineShare(now_) / std::max(1.0, ReplicasOf(model) - 1.0);
  }

  Hold HoldOf(const std::string& model) const {
    const ModelDemandRate* demand = DemandOf(model);
    const std::uint32_t replicas = ReplicasOf(model);
    if (demand != nullptr && demand->Waiting(now_) > 0) return Hold::kAwaited;
    if (!IsInUse(demand)) return replicas > 1 ? Hold::kSurplus : Hold::kUnused;
    const std::uint32_t wanted = WantedReplicas(profile_, demand, engines_.size(), now_);
    const bool surplus = replicas > std::max(1U, wanted) && ShareWithout(model) < kSurplusShare;
    if (surplus) return Hold::kSurplus;
    if (IsSwappable(*demand, model)) return Hold::kSwappable;
    return replicas > 1 ? Hold::kTightShared : Hold::kNeeded;
  }

  // Whether the requests that wait for a model outweigh those that would wait for another one of
  // which it takes the only engine: the first of these, and those of the time of a load. Requests
  // that have waited for their latency target count twice, and so on, so that none waits for ever.
  bool Outweighs(const std::string& model, const std::string& needed) const {
    const ModelDemandRate& waiting = demand_.at(model);
    const ModelDemandRate& used = demand_.at(needed);
    const double targets = std::chrono::duration<double>(waiting.WaitingTime(now_)) /
                           std::chrono::duration<double>(waiting.target());
    const double reload_seconds =
        ToSeconds(profile_.models.at(needed).load_from_disk) + kSwapSeconds;
    return waiting.Waiting(now_) * (1 + targets) > 1 + used.RecentRate(now_) * reload_seconds;
  }

  bool MayTake(const Deficit& deficit, Hold hold, const std::string& held) const {
    switch (deficit.need) {
      case Need::kWaiting:
      case Need::kPatientWaiting:
        return hold < Hold::kNeeded || (hold == Hold::kNeeded && Outweighs(deficit.model, held));
      case Need::kOverload:
      case Need::kLoad:
        return hold <= Hold::kSwappable;
      case Need::kCopy:
        return hold == Hold::kSurplus;
    }
    return false;
  }

  // The models that an engine would drop to make room for another; std::nullopt if it can't.
  std::optional<std::vector<Victim>> Victims(const PlannerEngine& engine, const Deficit& deficit,
                                             double needed_mb) const {
    std::vector<Victim> obsolete;
    std::vector<Victim> candidates;
    for (const HeldModel& held : engine.holdings.models) {
      if (!profile_.models.contains(held.name)) {
        obsolete.push_back({held.name, Hold::kUnused, 0, 0, 0});
        continue;
      }
      const Hold hold = HoldOf(held.name);
      if (!MayTake(deficit, hold, held.name)) continue;
      const ModelDemandRate* demand = DemandOf(held.name);
      const double rate = demand == nullptr ? 0 : demand->LongRate(now_) + demand->RecentRate(now_);
      candidates.push_back(
          {held.name, hold, rate, ShareWithout(held.name), UnloadSeconds(engine, held.name)});
    }
    // Models that are no longer configured have an unknown size, so only they are dropped first.
    if (!obsolete.empty()) return obsolete;
    std::sort(candidates.begin(), candidates.end(), [](const Victim& a, const Victim& b) {
      if (a.hold != b.hold) return a.hold < b.hold;
      return a.rate + a.unload_seconds < b.rate + b.unload_seconds;
    });
    double free = profile_.weights_mb - UsedMb(profile_, engine.holdings);
    std::vector<Victim> victims;
    for (const Victim& candidate : candidates) {
      if (free >= needed_mb) break;
      EngineHoldings dropped;
      dropped.models.push_back(*engine.holdings.Find(candidate.model));
      free += UsedMb(profile_, dropped);
      victims.push_back(candidate);
    }
    if (free < needed_mb) return std::nullopt;
    return victims;
  }

  static double CountAdapters(const PlannerEngine& engine) {
    std::size_t count = 0;
    for (const HeldModel& held : engine.holdings.models) count += held.adapters.size();
    return static_cast<double>(count);
  }

  // Seconds that a choice costs: the load, and what the victims are worth.
  double CostOf(const PlannerEngine& engine, const ModelProfile& model, WeightSource source,
                const std::vector<Victim>& victims) const {
    double cost = ToSeconds(LoadTime(model, source));
    cost += CountAdapters(engine) *
            (source == WeightSource::kStore ? kSecondsPerAdapter : kSecondsPerAdapterOfCopy);
    for (const Victim& victim : victims) {
      cost +=
          kCostOfHold[static_cast<std::size_t>(victim.hold)] + victim.rate + victim.unload_seconds;
      if (victim.hold == Hold::kTightShared) cost += kCostOfShare * victim.share_without;
    }
    return cost;
  }

  // A blocked engine with a copy will soon be free, which beats a load from the store.
  bool CopyIsBlocked(const std::string& model) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const PlannerEngine& engine) {
      return engine.blocked && SourceOf(engine.holdings, model) != WeightSource::kStore;
    });
  }

  // Has one engine load the model, if there is one that can.
  void PlaceOne(const Deficit& deficit) {
    const ModelProfile& model = profile_.models.at(deficit.model);
    const bool store_allowed = store_loads_allowed_ > 0 && !CopyIsBlocked(deficit.model);
    std::size_t best = engines_.size();
    double best_cost = std::numeric_limits<double>::max();
    std::vector<Victim> best_victims;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      const PlannerEngine& engine = engines_[i];
      if (engine.blocked || used_[i] || engine.holdings.Find(deficit.model) != nullptr) continue;
      const WeightSource source = SourceOf(engine.holdings, deficit.model);
      if (source == WeightSource::kStore && !store_allowed) continue;
      const auto victims = Victims(engine, deficit, model.weights_mb);
      if (!victims) continue;
      const double cost = CostOf(engine, model, source, *victims);
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = i;
      best_victims = *victims;
    }
    if (best < engines_.size()) Take(best, deficit.model, best_victims);
  }

  void Take(std::size_t index, const std::string& model, const std::vector<Victim>& victims) {
    const PlannerEngine& engine = engines_[index];
    used_[index] = true;
    PlannedLoad load{engine.id, {}, model, false};
    for (const Victim& victim : victims) {
      load.victims.push_back(victim.model);
      --replicas_[victim.model];
    }
    load.from_store = SourceOf(engine.holdings, model) == WeightSource::kStore;
    if (load.from_store) --store_loads_allowed_;
    ++replicas_[model];
    loads_.push_back(std::move(load));
  }

  const EngineProfile& profile_;
  const std::vector<PlannerEngine>& engines_;
  const DemandRates& demand_;
  std::uint32_t store_loads_allowed_;
  MonotonicTime now_;
  // Engines that this round has given a load.
  std::vector<bool> used_;
  std::map<std::string, std::uint32_t> replicas_;
  std::vector<PlannedLoad> loads_;
};

}  // namespace

void ModelDemandRate::Decay(MonotonicTime now) {
  if (decayed_ != MonotonicTime()) {
    const double passed = std::max(0.0, ToSeconds(now - decayed_));
    recent_ *= std::exp(-passed / kRecentSeconds);
    reading_ms_ *= std::exp(-passed / kRecentSeconds);
    long_ *= std::exp(-passed / kLongSeconds);
    for (auto& [adapter, count] : adapters_) count *= std::exp(-passed / kLongSeconds);
    std::erase_if(adapters_, [](const auto& item) { return item.second < kLeastAdapterCount; });
  }
  decayed_ = now;
}

void ModelDemandRate::Add(const ModelUsage& usage, const std::string& daemon, MonotonicTime now) {
  Decay(now);
  if (usage.waiting > 0 && Waiting(now) == 0) waiting_since_ = now;
  recent_ += usage.requests;
  long_ += usage.requests;
  reading_ms_ += usage.reading_ms;
  for (const AdapterRequests& adapter : usage.adapters) {
    adapters_[adapter.adapter] += adapter.requests;
  }
  if (usage.requests > 0 || usage.waiting > 0) last_used_ = now;
  waiting_[daemon] = {usage.waiting, now};
  if (usage.target_ms != UINT32_MAX) target_ = milliseconds(usage.target_ms);
  if (usage.waiting > 0) waiting_priority_ = usage.waiting_priority;
}

void ModelDemandRate::WantAdapter(const std::string& adapter, MonotonicTime now) {
  Decay(now);
  // Asked for anew while the request waits, so it counts once.
  double& count = adapters_[adapter];
  count = std::max(count, 1.0);
}

double ModelDemandRate::RecentRate(MonotonicTime now) const {
  return recent_ * std::exp(-ToSeconds(now - decayed_) / kRecentSeconds) / kRecentSeconds;
}

double ModelDemandRate::LongRate(MonotonicTime now) const {
  return long_ * std::exp(-ToSeconds(now - decayed_) / kLongSeconds) / kLongSeconds;
}

std::size_t ModelDemandRate::AdaptersInUse(MonotonicTime now) const {
  const double decay = std::exp(-ToSeconds(now - decayed_) / kLongSeconds);
  return static_cast<std::size_t>(std::count_if(
      adapters_.begin(), adapters_.end(),
      [&](const auto& item) { return item.second * decay >= kLeastAdapterCount * kInUseFactor; }));
}

double ModelDemandRate::AdapterRate(const std::string& adapter, MonotonicTime now) const {
  const auto it = adapters_.find(adapter);
  if (it == adapters_.end()) return 0;
  return it->second * std::exp(-ToSeconds(now - decayed_) / kLongSeconds) / kLongSeconds;
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

MonotonicTime::duration ModelDemandRate::WaitingTime(MonotonicTime now) const {
  return Waiting(now) > 0 ? now - waiting_since_ : MonotonicTime::duration::zero();
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

std::uint32_t WantedReplicas(const EngineProfile& profile, const ModelDemandRate* demand,
                             std::size_t engines, MonotonicTime now) {
  if (demand == nullptr || !demand->last_used()) return 0;
  std::uint32_t wanted = now - *demand->last_used() < kKeepTime ? 1 : 0;
  if (demand->RecentRate(now) >= kSecondEngineRate) wanted = 2;
  const double share = demand->EngineShare(now) / kTargetShare;
  wanted = std::max(wanted, static_cast<std::uint32_t>(std::ceil(share - 0.1)));
  if (wanted > 0 && profile.adapter_slots > 0) {
    const std::size_t adapters = demand->AdaptersInUse(now) + profile.adapter_slots - 1;
    wanted = std::max(wanted, static_cast<std::uint32_t>(adapters / profile.adapter_slots));
  }
  return std::min<std::uint32_t>(wanted, static_cast<std::uint32_t>(engines));
}

std::vector<PlannedLoad> PlanLoads(const EngineProfile& profile,
                                   const std::vector<PlannerEngine>& engines,
                                   const DemandRates& demand, std::uint32_t store_loads_allowed,
                                   MonotonicTime now) {
  return Round(profile, engines, demand, store_loads_allowed, now).Plan();
}

}  // namespace mimosabend
