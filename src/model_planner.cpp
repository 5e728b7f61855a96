#include "model_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosabend {

namespace {

// Time constants of the decaying demand rates.
constexpr double kRecentSeconds = 3;
constexpr double kLongTermSeconds = 30;
// Adapters whose decayed request count falls below this are forgotten.
constexpr double kMinAdapterCount = 0.05;
// An adapter counts as in use from this multiple of kMinAdapterCount, which is the decayed count
// about 30 s after a single request.
constexpr double kInUseFactor = 7;
// A daemon's waiting requests expire after this time unless it reports again.
constexpr milliseconds kWaitingLifetime{1500};
// Target share of an engine's time spent on prefill, low enough that a prompt seldom queues behind
// others.
constexpr double kTargetPrefillShare = 0.25;
// A replica is surplus only if the remaining ones would stay below this prefill share. Lower than
// kTargetPrefillShare for hysteresis.
constexpr double kSurplusPrefillShare = 0.15;
// Requests queue up at an engine above this prefill share.
constexpr double kOverloadPrefillShare = 0.5;
// Requests that have waited for this fraction of their latency target can't wait for other loads.
constexpr double kPatientTargetFraction = 0.4;
// Models with at least this many requests per second get a second replica, in case an engine fails.
constexpr double kSecondReplicaRate = 0.8;
// A model that has not been used for this long needs no replica.
constexpr seconds kInUseTime{20};
// A model whose latency target exceeds this multiple of its load time from disk can be evicted for
// another one and reloaded in time.
constexpr int kReloadableFactor = 3;

// Why a model needs another replica, the most urgent reason first.
enum class LoadReason : std::uint8_t {
  // Requests wait that will soon miss their target, and no engine holds or loads the model.
  kWaiting,
  // Its engines are overloaded, and its latency target is too tight to wait for other loads.
  kOverload,
  // Requests wait, but will meet their target even after some other loads.
  kPatientWaiting,
  // It has fewer replicas than its load calls for, or none although it is in use.
  kTooFewReplicas,
  // No engine has its weights in host memory or on disk.
  kNoLocalWeights
};

struct Deficit {
  std::string model;
  LoadReason reason = LoadReason::kNoLocalWeights;
  // Orders deficits with the same reason; lower goes first.
  std::uint32_t priority = 0;
  // Orders deficits with the same reason and priority; higher goes first.
  double urgency = 0;
};

// Eviction cost in seconds by ReplicaNeed. A second per request/s is added.
constexpr double kEvictionSeconds[] = {0, 0.1, 0.3, 0.5, 100, 1000};
// Further eviction cost of a replica whose load moves to others, in seconds per prefill share that
// these would have.
constexpr double kShareSeconds = 8;
// Time in addition to the load itself until an evicted model serves again: two orders and their
// reports.
constexpr double kReloadOverheadSeconds = 0.4;
// Added to the waiting time, so that the number of waiting requests matters from the start.
constexpr double kMinWaitingSeconds = 0.1;
// Expected time until an unload begins, since it waits for the model's requests in flight. Further
// requests add less than the first, since the longest one decides.
constexpr double kSecondsOfFirstRequest = 1.0;
constexpr double kSecondsPerFurtherRequest = 0.2;
constexpr std::uint32_t kMaxFurtherRequests = 8;

// Cost of a load per adapter that the engine holds. An engine accepts no adapters during a load, so
// engines that serve few adapters are preferred. Lower for loads from host memory or disk, which
// are shorter.
constexpr double kSecondsPerAdapter = 0.1;
constexpr double kSecondsPerAdapterLocal = 0.05;

// How much a replica is needed, the least first.
enum class ReplicaNeed : std::uint8_t {
  // Other replicas exist, and the model is not in use or they can carry its load.
  kSurplus,
  // The only replica of a model that is not in use.
  kUnused,
  // In use, but its requests can wait for a reload.
  kReloadable,
  // In use with a tight latency target; other replicas exist.
  kTightShared,
  // In use with a tight latency target; the only replica.
  kNeeded,
  // Requests wait for the model.
  kAwaited
};

struct Victim {
  std::string model;
  ReplicaNeed need = ReplicaNeed::kAwaited;
  // Requests per second.
  double rate = 0;
  // Prefill share of the remaining engines if this replica is evicted.
  double share_without = 0;
  // Expected time until requests in flight have ended and the unload begins.
  double unload_seconds = 0;
};

double UnloadSeconds(const PlannerEngine& engine, const std::string& model) {
  const auto running = engine.running.find(model);
  if (running == engine.running.end() || running->second == 0) return 0;
  return kSecondsOfFirstRequest +
         kSecondsPerFurtherRequest * std::min(running->second - 1, kMaxFurtherRequests);
}

bool Contains(const std::vector<std::string>& list, const std::string& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

// State of one call of PlanLoads.
class LoadPlanner {
 public:
  LoadPlanner(const EngineProfile& profile, const std::vector<PlannerEngine>& engines,
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
    for (const Deficit& deficit : Deficits()) PlanLoad(deficit);
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

  bool HasLocalWeights(const std::string& model) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const PlannerEngine& engine) {
      return SourceOf(engine.holdings, model) != WeightSource::kStore || engine.loading == model;
    });
  }

  bool IsInUse(const ModelDemandRate* demand) const {
    return demand != nullptr && demand->last_used() && now_ - *demand->last_used() < kInUseTime;
  }

  // Whether requests for a model can wait for a load from disk and still meet their target.
  bool IsReloadable(const ModelDemandRate& demand, const std::string& model) const {
    const auto profile = profile_.models.find(model);
    return profile != profile_.models.end() &&
           demand.target() > profile->second.load_from_disk * kReloadableFactor;
  }

  // Whether the waiting requests for a model will meet their target even after some other loads.
  bool IsPatient(const ModelDemandRate& demand, const std::string& model) const {
    return IsReloadable(demand, model) &&
           demand.WaitingTime(now_) < std::chrono::duration_cast<MonotonicTime::duration>(
                                          demand.target() * kPatientTargetFraction);
  }

  // Number of waiting requests times their waiting time: prefers loads that serve many requests
  // without starving models with few.
  double WaitingUrgency(const ModelDemandRate& demand) const {
    return demand.Waiting(now_) * (ToSeconds(demand.WaitingTime(now_)) + kMinWaitingSeconds);
  }

  std::vector<Deficit> Deficits() const {
    std::vector<Deficit> deficits;
    for (const auto& [model, unused] : profile_.models) {
      const ModelDemandRate* demand = DemandOf(model);
      const std::uint32_t wanted = WantedReplicas(profile_, demand, engines_.size(), now_);
      const std::uint32_t replicas = ReplicasOf(model);
      if (demand != nullptr && demand->Waiting(now_) > 0 && replicas == 0) {
        const LoadReason reason =
            IsPatient(*demand, model) ? LoadReason::kPatientWaiting : LoadReason::kWaiting;
        deficits.push_back({model, reason, demand->waiting_priority(), WaitingUrgency(*demand)});
      } else if (replicas < wanted && (replicas > 0 || !IsReloadable(*demand, model))) {
        const double urgency =
            (demand->PrefillEngines(now_) + demand->RecentRate(now_) * 0.01) / (replicas + 0.1);
        for (std::uint32_t i = replicas; i < wanted; ++i) {
          const bool overload =
              !IsReloadable(*demand, model) &&
              demand->PrefillEngines(now_) > kOverloadPrefillShare * std::max(1U, i);
          deficits.push_back({model, overload ? LoadReason::kOverload : LoadReason::kTooFewReplicas,
                              0, urgency / (i - replicas + 1)});
        }
      } else if (replicas == 0 && !HasLocalWeights(model)) {
        const double rate = demand == nullptr ? 0 : demand->LongTermRate(now_);
        deficits.push_back({model, LoadReason::kNoLocalWeights, 0, rate});
      }
    }
    std::stable_sort(deficits.begin(), deficits.end(), [](const Deficit& a, const Deficit& b) {
      if (a.reason != b.reason) return a.reason < b.reason;
      return a.priority != b.priority ? a.priority < b.priority : a.urgency > b.urgency;
    });
    return deficits;
  }

  double PrefillShareWithout(const std::string& model) const {
    const ModelDemandRate* demand = DemandOf(model);
    if (demand == nullptr) return 0;
    return demand->PrefillEngines(now_) / std::max(1.0, ReplicasOf(model) - 1.0);
  }

  ReplicaNeed ReplicaNeedOf(const std::string& model) const {
    const ModelDemandRate* demand = DemandOf(model);
    const std::uint32_t replicas = ReplicasOf(model);
    if (demand != nullptr && demand->Waiting(now_) > 0) return ReplicaNeed::kAwaited;
    if (!IsInUse(demand)) return replicas > 1 ? ReplicaNeed::kSurplus : ReplicaNeed::kUnused;
    const std::uint32_t wanted = WantedReplicas(profile_, demand, engines_.size(), now_);
    const bool surplus =
        replicas > std::max(1U, wanted) && PrefillShareWithout(model) < kSurplusPrefillShare;
    if (surplus) return ReplicaNeed::kSurplus;
    if (IsReloadable(*demand, model)) return ReplicaNeed::kReloadable;
    return replicas > 1 ? ReplicaNeed::kTightShared : ReplicaNeed::kNeeded;
  }

  // Whether the requests that wait for `model` outweigh those that would wait for `needed` if its
  // only replica were evicted: one request, plus those that arrive during the reload. The weight of
  // a waiting request grows by 1 per latency target that it has waited, which prevents starvation.
  bool Outweighs(const std::string& model, const std::string& needed) const {
    const ModelDemandRate& waiting = demand_.at(model);
    const ModelDemandRate& used = demand_.at(needed);
    const double targets = std::chrono::duration<double>(waiting.WaitingTime(now_)) /
                           std::chrono::duration<double>(waiting.target());
    const double reload_seconds =
        ToSeconds(profile_.models.at(needed).load_from_disk) + kReloadOverheadSeconds;
    return waiting.Waiting(now_) * (1 + targets) > 1 + used.RecentRate(now_) * reload_seconds;
  }

  bool MayEvict(const Deficit& deficit, ReplicaNeed need, const std::string& held) const {
    switch (deficit.reason) {
      case LoadReason::kWaiting:
      case LoadReason::kPatientWaiting:
        return need < ReplicaNeed::kNeeded ||
               (need == ReplicaNeed::kNeeded && Outweighs(deficit.model, held));
      case LoadReason::kOverload:
      case LoadReason::kTooFewReplicas:
        return need <= ReplicaNeed::kReloadable;
      case LoadReason::kNoLocalWeights:
        return need == ReplicaNeed::kSurplus;
    }
    return false;
  }

  // The models that an engine would evict to free `needed_mb`; std::nullopt if it can't free that
  // much.
  std::optional<std::vector<Victim>> Victims(const PlannerEngine& engine, const Deficit& deficit,
                                             double needed_mb) const {
    std::vector<Victim> obsolete;
    std::vector<Victim> candidates;
    for (const HeldModel& held : engine.holdings.models) {
      if (!profile_.models.contains(held.name)) {
        obsolete.push_back({held.name, ReplicaNeed::kUnused, 0, 0, 0});
        continue;
      }
      const ReplicaNeed need = ReplicaNeedOf(held.name);
      if (!MayEvict(deficit, need, held.name)) continue;
      const ModelDemandRate* demand = DemandOf(held.name);
      const double rate =
          demand == nullptr ? 0 : demand->LongTermRate(now_) + demand->RecentRate(now_);
      candidates.push_back({held.name, need, rate, PrefillShareWithout(held.name),
                            UnloadSeconds(engine, held.name)});
    }
    // The sizes of models that are no longer configured are unknown, so these are evicted first and
    // alone.
    if (!obsolete.empty()) return obsolete;
    std::sort(candidates.begin(), candidates.end(), [](const Victim& a, const Victim& b) {
      if (a.need != b.need) return a.need < b.need;
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

  // Cost in seconds of a load on this engine: load time, adapters held, and the victims' eviction.
  double CostOf(const PlannerEngine& engine, const ModelProfile& model, WeightSource source,
                const std::vector<Victim>& victims) const {
    double cost = ToSeconds(LoadTime(model, source));
    cost += CountAdapters(engine) *
            (source == WeightSource::kStore ? kSecondsPerAdapter : kSecondsPerAdapterLocal);
    for (const Victim& victim : victims) {
      cost += kEvictionSeconds[static_cast<std::size_t>(victim.need)] + victim.rate +
              victim.unload_seconds;
      if (victim.need == ReplicaNeed::kTightShared) cost += kShareSeconds * victim.share_without;
    }
    return cost;
  }

  // Whether a blocked engine has the weights locally. Waiting for it is faster than a load from the
  // store.
  bool LocalWeightsAreBlocked(const std::string& model) const {
    return std::any_of(engines_.begin(), engines_.end(), [&](const PlannerEngine& engine) {
      return engine.blocked && SourceOf(engine.holdings, model) != WeightSource::kStore;
    });
  }

  // Plans a load on the engine with the lowest cost, if an engine is eligible.
  void PlanLoad(const Deficit& deficit) {
    const ModelProfile& model = profile_.models.at(deficit.model);
    const bool store_allowed = store_loads_allowed_ > 0 && !LocalWeightsAreBlocked(deficit.model);
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
    if (best < engines_.size()) CommitLoad(best, deficit.model, best_victims);
  }

  void CommitLoad(std::size_t index, const std::string& model, const std::vector<Victim>& victims) {
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
  // Engines that have been given a load in this call.
  std::vector<bool> used_;
  std::map<std::string, std::uint32_t> replicas_;
  std::vector<PlannedLoad> loads_;
};

}  // namespace

void ModelDemandRate::Decay(MonotonicTime now) {
  if (decayed_at_ != MonotonicTime()) {
    const double passed = std::max(0.0, ToSeconds(now - decayed_at_));
    recent_requests_ *= std::exp(-passed / kRecentSeconds);
    prefill_ms_ *= std::exp(-passed / kRecentSeconds);
    long_term_requests_ *= std::exp(-passed / kLongTermSeconds);
    for (auto& [adapter, count] : adapter_requests_) count *= std::exp(-passed / kLongTermSeconds);
    std::erase_if(adapter_requests_,
                  [](const auto& item) { return item.second < kMinAdapterCount; });
  }
  decayed_at_ = now;
}

void ModelDemandRate::Add(const ModelUsage& usage, const std::string& daemon, MonotonicTime now) {
  Decay(now);
  if (usage.waiting > 0 && Waiting(now) == 0) waiting_since_ = now;
  recent_requests_ += usage.requests;
  long_term_requests_ += usage.requests;
  prefill_ms_ += usage.prefill_ms;
  for (const AdapterRequests& adapter : usage.adapters) {
    adapter_requests_[adapter.adapter] += adapter.requests;
  }
  if (usage.requests > 0 || usage.waiting > 0) last_used_ = now;
  waiting_[daemon] = {usage.waiting, now};
  if (usage.target_ms != UINT32_MAX) target_ = milliseconds(usage.target_ms);
  if (usage.waiting > 0) waiting_priority_ = usage.waiting_priority;
}

void ModelDemandRate::AddAdapterDemand(const std::string& adapter, MonotonicTime now) {
  Decay(now);
  // Called repeatedly while a request waits; the request counts once.
  double& count = adapter_requests_[adapter];
  count = std::max(count, 1.0);
}

double ModelDemandRate::RecentRate(MonotonicTime now) const {
  return recent_requests_ * std::exp(-ToSeconds(now - decayed_at_) / kRecentSeconds) /
         kRecentSeconds;
}

double ModelDemandRate::LongTermRate(MonotonicTime now) const {
  return long_term_requests_ * std::exp(-ToSeconds(now - decayed_at_) / kLongTermSeconds) /
         kLongTermSeconds;
}

std::size_t ModelDemandRate::AdaptersInUse(MonotonicTime now) const {
  const double decay = std::exp(-ToSeconds(now - decayed_at_) / kLongTermSeconds);
  return static_cast<std::size_t>(std::count_if(
      adapter_requests_.begin(), adapter_requests_.end(),
      [&](const auto& item) { return item.second * decay >= kMinAdapterCount * kInUseFactor; }));
}

double ModelDemandRate::AdapterRate(const std::string& adapter, MonotonicTime now) const {
  const auto it = adapter_requests_.find(adapter);
  if (it == adapter_requests_.end()) return 0;
  return it->second * std::exp(-ToSeconds(now - decayed_at_) / kLongTermSeconds) / kLongTermSeconds;
}

double ModelDemandRate::PrefillEngines(MonotonicTime now) const {
  return prefill_ms_ * std::exp(-ToSeconds(now - decayed_at_) / kRecentSeconds) / kRecentSeconds /
         1000;
}

std::uint32_t ModelDemandRate::Waiting(MonotonicTime now) const {
  std::uint32_t waiting = 0;
  for (const auto& [daemon, report] : waiting_) {
    if (now - report.reported_at < kWaitingLifetime) waiting += report.count;
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
  std::uint32_t wanted = now - *demand->last_used() < kInUseTime ? 1 : 0;
  if (demand->RecentRate(now) >= kSecondReplicaRate) wanted = 2;
  const double share = demand->PrefillEngines(now) / kTargetPrefillShare;
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
  return LoadPlanner(profile, engines, demand, store_loads_allowed, now).Plan();
}

}  // namespace mimosabend
