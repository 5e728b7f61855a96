#include "placement.h"

#include <algorithm>
#include <cassert>
#include <numeric>

#include "digest.h"

namespace mimosabend {

namespace {

constexpr char kUndecidedPrefix[] = "undecided-";

// Raises the fencing token above that of all load orders for the replica. An engine that honours
// fencing can then be made to reject late load orders before the replica is removed.
void MarkUnloading(PlacementRecord* record, PlacedReplica* replica) {
  replica->state = ReplicaState::kUnloading;
  replica->unload_fence = ++record->fence;
}

// A reservation is active until it expires, unless a replica with the same order id is charged.
bool IsActive(const PlacementRecord& record, const LateOrderReservation& reservation,
              WallTime now) {
  if (reservation.until_ms <= ToUnixMillis(now)) return false;
  return std::none_of(record.replicas.begin(), record.replicas.end(), [&](const auto& replica) {
    return replica.order_id == reservation.order_id;
  });
}

// Adds a reservation for the order of a replica, or extends the existing one.
void AddReservation(const PlacedReplica& replica, WallTime until, PlacementRecord* record) {
  for (LateOrderReservation& reservation : record->reservations) {
    if (reservation.order_id != replica.order_id) continue;
    reservation.until_ms = std::max(reservation.until_ms, ToUnixMillis(until));
    return;
  }
  record->reservations.push_back(
      {replica.endpoint, replica.model, replica.order_id, replica.memory_mib, ToUnixMillis(until)});
}

// Number of concurrent loads, over all groups, that the weight store serves at full speed.
constexpr std::uint32_t kMaxModelLoads = 4;
constexpr std::uint32_t kMaxAdapterLoads = 30;
// Minimum time between two model loads of one owner. Owners that see free capacity at the store at
// the same time then exceed its limit by one load each instead of four. The store starts 2 to 4
// loads per second, so a single owner can still saturate it.
constexpr milliseconds kMinModelLoadInterval{100};
// A load appears in the store's status within this time after its decision.
constexpr milliseconds kStoreReportDelay{250};
// A load counts as stuck after the load timeout divided by this.
constexpr int kStuckLoadDivisor = 4;
// A load at an endpoint that stopped responding counts as stuck after this time.
constexpr milliseconds kUnresponsiveLoadTimeout{2000};

// True if the endpoint has answered this owner before but did not answer the last query.
bool HasStoppedResponding(const EndpointView& view) {
  return !view.reachable && !view.state.incarnation.empty();
}

bool IsActiveReplicaOf(const PlacedReplica& replica, const std::string& model) {
  return replica.model == model && replica.state != ReplicaState::kUnloading;
}

const EngineReplica* FindReported(const EngineState& state, const PlacedReplica& replica) {
  for (const EngineReplica& reported : state.replicas) {
    if (reported.model == replica.model && reported.version == replica.version) return &reported;
  }
  return nullptr;
}

// The new state of a replica, or std::nullopt if it is known to be gone.
std::optional<ReplicaState> ObservedState(const PlacedReplica& replica, const EndpointView& view) {
  if (view.gone) return std::nullopt;
  if (!view.reachable || !view.fence_raised) return replica.state;
  const EngineReplica* reported = FindReported(view.state, replica);
  switch (replica.state) {
    case ReplicaState::kLoading:
      // If the engine does not report the replica, the order may still arrive, so the charge stays.
      return reported != nullptr && reported->state == ReplicaState::kReady ? ReplicaState::kReady
                                                                            : replica.state;
    case ReplicaState::kReady:
      // A duplicate of the load order may still arrive, so the replica has to pass through
      // kUnloading before it is removed.
      if (reported == nullptr) return ReplicaState::kUnloading;
      return reported->state;
    case ReplicaState::kUnloading: {
      const bool refuses_loads = !view.honours_fence || view.state.fence >= replica.unload_fence;
      if (reported == nullptr && view.is_current && refuses_loads) return std::nullopt;
      return replica.state;
    }
  }
  return replica.state;
}

bool IsDecided(const PlacementRecord& record, const std::string& endpoint,
               const EngineReplica& reported) {
  return std::any_of(record.replicas.begin(), record.replicas.end(), [&](const auto& replica) {
    return replica.endpoint == endpoint && replica.model == reported.model &&
           replica.version == reported.version;
  });
}

// Plans one group; created for each call of PlanGroup.
class Planner {
 public:
  Planner(const Environment& environment, const GroupId& group, const EndpointViews& views,
          const DemandTable& demand, const Now& now, const StoreLoad& store,
          milliseconds min_residence, PlacementRecord* record)
      : environment_(environment),
        pool_(*environment.FindPool(group.pool)),
        group_(group),
        views_(views),
        demand_(demand),
        now_(now),
        store_(store),
        record_(record),
        min_residence_(min_residence) {}

  PlanResult Run() {
    UnloadUnneededReplicas();
    for (const Model* model : ModelsByUrgency()) PlaceModel(*model);
    CheckInvariants();
    return std::move(result_);
  }

 private:
  std::int64_t GroupBudget() const { return pool_.budget_mib / pool_.groups; }

  // Memory counted against the budget of the group, including reservations.
  std::int64_t ChargedGroupMemory() const {
    std::int64_t sum = 0;
    for (const PlacedReplica& replica : record_->replicas) sum += replica.memory_mib;
    for (const LateOrderReservation& reservation : record_->reservations) {
      if (IsActive(*record_, reservation, now_.wall)) sum += reservation.memory_mib;
    }
    return sum;
  }

  // The smaller of the configured memory and what the engine reports.
  std::int64_t Capacity(const EndpointView& view) const {
    return std::min(pool_.endpoint_memory_mib, view.state.memory_total_mib);
  }

  // Memory that the engine uses beyond the charges of the replicas it reports, for example for a KV
  // cache import.
  std::int64_t UnchargedMemory(const EndpointView& view) const {
    std::int64_t reported = 0;
    for (const PlacedReplica& replica : record_->replicas) {
      const bool here = replica.endpoint == view.host.id;
      if (here && FindReported(view.state, replica) != nullptr) reported += replica.memory_mib;
    }
    return std::max<std::int64_t>(0, view.state.memory_used_mib - reported);
  }

  std::int64_t FreeMemory(const EndpointView& view) const {
    const std::int64_t charged = ChargedMemory(*record_, view.host.id, now_.wall);
    return Capacity(view) - charged - UnchargedMemory(view);
  }

  WaitingByRank WaitingFor(const std::string& model) const {
    const auto it = demand_.find(model);
    return it == demand_.end() ? WaitingByRank{} : it->second.waiting(now_.monotonic);
  }

  std::uint32_t CountWaiting(const std::string& model) const {
    const WaitingByRank waiting = WaitingFor(model);
    return std::accumulate(waiting.begin(), waiting.end(), 0u);
  }

  MonotonicTime LastUsed(const std::string& model) const {
    const auto it = demand_.find(model);
    return it == demand_.end() ? MonotonicTime() : it->second.last_used;
  }

  bool IsWithinMinResidence(const PlacedReplica& replica) const {
    return ToUnixMillis(now_.wall) - replica.decided_at_ms < min_residence_.count();
  }

  // Marks a replica for unloading, and, if it is a base model, the adapters on the same endpoint
  // too.
  void Unload(PlacedReplica* replica) {
    for (PlacedReplica& other : record_->replicas) {
      const bool is_own_adapter =
          other.base == replica->model && other.endpoint == replica->endpoint;
      if (&other == replica || is_own_adapter) MarkUnloading(record_, &other);
    }
    result_.changed = true;
  }

  bool IsIdle(const PlacedReplica& replica) const {
    if (CountWaiting(replica.model) > 0 || IsWithinMinResidence(replica)) return false;
    return now_.monotonic - LastUsed(replica.model) > IdleTimeoutOf(replica.model);
  }

  milliseconds IdleTimeoutOf(const std::string& model) const {
    const auto it = demand_.find(model);
    if (it == demand_.end()) return IdleTimeout(environment_.idle_weight);
    return IdleTimeout(it->second.history, environment_.idle_weight);
  }

  // True if the environment or the host list no longer allows the replica at its endpoint.
  bool IsUnwanted(const PlacedReplica& replica) const {
    const Model* model = environment_.FindModel(replica.model);
    if (model == nullptr || model->version != replica.version) return true;
    if (HomeGroup(environment_, *model, group_.region) != group_) return true;
    const auto view = views_.find(replica.endpoint);
    if (view == views_.end()) return false;
    return view->second.missing || view->second.host.state == HostState::kLeaving;
  }

  void UnloadUnneededReplicas() {
    for (PlacedReplica& replica : record_->replicas) {
      if (replica.state == ReplicaState::kUnloading) continue;
      const Model* model = environment_.FindModel(replica.model);
      const std::uint32_t kept = model == nullptr ? 0 : model->min_replicas;
      const bool idle = replica.state == ReplicaState::kReady && IsIdle(replica) &&
                        CountActive(replica.model) > kept;
      const bool surplus = model != nullptr && CountActive(replica.model) > model->max_replicas;
      if (IsUnwanted(replica) || idle || surplus || HasLoadTimedOut(replica)) Unload(&replica);
    }
    while (ChargedGroupMemory() - UnloadingMemory("") > GroupBudget()) {
      PlacedReplica* victim = FindEvictionVictim("");
      if (victim == nullptr) break;
      Unload(victim);
    }
    for (const auto& [id, view] : views_) {
      while (view.reachable && FreeMemory(view) + UnloadingMemory(id) < 0) {
        PlacedReplica* victim = FindEvictionVictim(id);
        if (victim == nullptr) break;
        Unload(victim);
      }
    }
  }

  bool HasLoadTimedOut(const PlacedReplica& replica) const {
    return replica.state == ReplicaState::kLoading &&
           ToUnixMillis(now_.wall) - replica.decided_at_ms > environment_.load_timeout.count();
  }

  std::uint32_t CountActive(const std::string& model) const {
    return std::count_if(
        record_->replicas.begin(), record_->replicas.end(),
        [&](const PlacedReplica& replica) { return IsActiveReplicaOf(replica, model); });
  }

  // Models that need a replica, ordered by the number of waiting requests at the most urgent rank,
  // then at the next rank.
  std::vector<const Model*> ModelsByUrgency() const {
    std::vector<const Model*> models;
    for (const auto& [name, model] : environment_.models) {
      const bool wanted = CountWaiting(name) > 0 || CountActive(name) < model.min_replicas;
      if (wanted && HomeGroup(environment_, model, group_.region) == group_) {
        models.push_back(&model);
      }
    }
    std::stable_sort(models.begin(), models.end(), [&](const Model* a, const Model* b) {
      return WaitingFor(a->name) > WaitingFor(b->name);
    });
    return models;
  }

  void PlaceModel(const Model& model) {
    const std::uint32_t target = std::max(1u, model.min_replicas) + CountStuckReplicas(model.name);
    if (CountActive(model.name) >= target) return;
    // Replicas that are being unloaded still count against the bound.
    if (CountReplicas(*record_, model.name, now_.wall) >= model.max_replicas) {
      // Reported as unplaced, so that another region can serve the requests.
      if (IsOnlyAtUnresponsiveEndpoints(model.name)) result_.unplaced.push_back(model.name);
      return;
    }
    const Model* base = model.is_adapter() ? environment_.FindModel(model.base) : nullptr;
    if (base != nullptr && CountActive(base->name) <= CountStuckReplicas(base->name)) {
      const std::size_t before = result_.unplaced.size();
      PlaceModel(*base);
      if (result_.unplaced.size() > before) result_.unplaced.push_back(model.name);
      return;
    }
    const bool over_budget = ChargedGroupMemory() + model.memory_mib > GroupBudget();
    const EndpointView* view = over_budget ? nullptr : ChooseEndpoint(model);
    if (view != nullptr) {
      if (CanStartLoad(model, *view)) AddReplica(model, *view);
    } else if (!MakeRoom(model, over_budget)) {
      result_.unplaced.push_back(model.name);
    }
  }

  bool HasReadyBase(const Model& model, const std::string& endpoint) const {
    return std::any_of(record_->replicas.begin(), record_->replicas.end(),
                       [&](const PlacedReplica& replica) {
                         return replica.endpoint == endpoint && replica.model == model.base &&
                                replica.state == ReplicaState::kReady;
                       });
  }

  bool HasReplica(const std::string& endpoint, const std::string& model) const {
    return std::any_of(record_->replicas.begin(), record_->replicas.end(),
                       [&](const PlacedReplica& replica) {
                         return replica.endpoint == endpoint && replica.model == model;
                       });
  }

  std::int64_t Age(const PlacedReplica& replica) const {
    return ToUnixMillis(now_.wall) - replica.decided_at_ms;
  }

  bool IsStuck(const PlacedReplica& replica) const {
    const auto view = views_.find(replica.endpoint);
    const bool unresponsive = view != views_.end() && HasStoppedResponding(view->second);
    if (replica.state != ReplicaState::kLoading) return unresponsive;
    if (Age(replica) > environment_.load_timeout.count() / kStuckLoadDivisor) return true;
    return unresponsive && Age(replica) > kUnresponsiveLoadTimeout.count();
  }

  // Number of replicas that need a substitute because their load is stuck or their endpoint stopped
  // responding. A ready replica at such an endpoint stays charged but serves no requests. 0 if no
  // request waits for the model.
  std::uint32_t CountStuckReplicas(const std::string& model) const {
    if (CountWaiting(model) == 0 && !HasWaitingAdapter(model)) return 0;
    return std::count_if(record_->replicas.begin(), record_->replicas.end(),
                         [&](const PlacedReplica& replica) {
                           return IsActiveReplicaOf(replica, model) && IsStuck(replica);
                         });
  }

  bool IsOnlyAtUnresponsiveEndpoints(const std::string& model) const {
    return std::all_of(record_->replicas.begin(), record_->replicas.end(),
                       [&](const PlacedReplica& replica) {
                         const auto view = views_.find(replica.endpoint);
                         return !IsActiveReplicaOf(replica, model) ||
                                (view != views_.end() && HasStoppedResponding(view->second));
                       }) &&
           CountActive(model) > 0;
  }

  static bool IsOnDisk(const EndpointView& view, const std::string& model,
                       const std::string& version) {
    return view.state.checkpoints_on_disk.contains(model + "@" + version);
  }

  // True if this owner has to assume that the replica is being read from the weight store.
  bool ReadsFromStore(const PlacedReplica& replica) const {
    if (replica.state != ReplicaState::kLoading) return false;
    const auto view = views_.find(replica.endpoint);
    return view == views_.end() || !IsOnDisk(view->second, replica.model, replica.version);
  }

  // Loads of models or of adapters that the store is serving: those it reports, plus the loads of
  // this group that it cannot report yet.
  std::uint32_t CountLoadsInFlight(bool adapters) const {
    const std::uint32_t own = std::count_if(
        record_->replicas.begin(), record_->replicas.end(), [&](const PlacedReplica& replica) {
          const bool visible = store_.known && Age(replica) > kStoreReportDelay.count();
          return replica.base.empty() != adapters && !visible && ReadsFromStore(replica);
        });
    if (!store_.known) return own;
    return own + (adapters ? store_.adapter_loads : store_.model_loads);
  }

  // True if the load does not read from the weight store or the store can serve it at full speed.
  bool CanStartLoad(const Model& model, const EndpointView& view) const {
    if (!store_.limited || IsOnDisk(view, model.name, model.version)) return true;
    if (model.is_adapter()) return CountLoadsInFlight(true) < kMaxAdapterLoads;
    const bool spaced = std::none_of(record_->replicas.begin(), record_->replicas.end(),
                                     [&](const PlacedReplica& replica) {
                                       return replica.base.empty() && ReadsFromStore(replica) &&
                                              Age(replica) < kMinModelLoadInterval.count();
                                     });
    return spaced && CountLoadsInFlight(false) < kMaxModelLoads;
  }

  // Free memory plus the memory of ready replicas whose models have no waiting requests.
  std::int64_t ReclaimableMemory(const EndpointView& view) const {
    std::int64_t sum = FreeMemory(view);
    for (const PlacedReplica& replica : record_->replicas) {
      const bool unused = replica.state == ReplicaState::kReady && CountWaiting(replica.model) == 0;
      if (replica.endpoint == view.host.id && unused) sum += replica.memory_mib;
    }
    return sum;
  }

  // Prefers an endpoint that has the checkpoint on disk, then the one with the most reclaimable
  // memory, then the one with the most free memory.
  bool IsBetter(const EndpointView& a, const EndpointView& b, const Model& model) const {
    const bool a_on_disk = IsOnDisk(a, model.name, model.version);
    const bool b_on_disk = IsOnDisk(b, model.name, model.version);
    if (a_on_disk != b_on_disk) return a_on_disk;
    const std::int64_t a_memory = ReclaimableMemory(a);
    const std::int64_t b_memory = ReclaimableMemory(b);
    return a_memory != b_memory ? a_memory > b_memory : FreeMemory(a) > FreeMemory(b);
  }

  // The best endpoint that can load the model now; nullptr if there is none.
  const EndpointView* ChooseEndpoint(const Model& model) const {
    const EndpointView* best = nullptr;
    for (const auto& [id, view] : views_) {
      if (!view.can_accept_loads() || HasReplica(id, model.name)) continue;
      if (model.is_adapter() && !HasReadyBase(model, id)) continue;
      if (FreeMemory(view) < model.memory_mib) continue;
      if (best == nullptr || IsBetter(view, *best, model)) best = &view;
    }
    return best;
  }

  // The ready replica of the least recently used model that may be evicted, on `endpoint` or, if
  // that is empty, on any endpoint. Models with waiting requests, base models of adapters with
  // waiting requests and replicas within their minimum residence time are not evicted.
  PlacedReplica* FindEvictionVictim(const std::string& endpoint) {
    PlacedReplica* victim = nullptr;
    for (PlacedReplica& replica : record_->replicas) {
      if (replica.state != ReplicaState::kReady || CountWaiting(replica.model) > 0) continue;
      if (!endpoint.empty() && replica.endpoint != endpoint) continue;
      if (IsWithinMinResidence(replica) || HasWaitingAdapter(replica.model)) continue;
      if (victim == nullptr || LastUsed(replica.model) < LastUsed(victim->model)) {
        victim = &replica;
      }
    }
    return victim;
  }

  // True if an adapter of `base` has waiting requests.
  bool HasWaitingAdapter(const std::string& base) const {
    for (const auto& [name, demand] : demand_) {
      const Model* model = environment_.FindModel(name);
      if (model != nullptr && model->base == base && CountWaiting(name) > 0) return true;
    }
    return false;
  }

  // Memory of the replicas that are being unloaded, on `endpoint` or, if that is empty, on all.
  std::int64_t UnloadingMemory(const std::string& endpoint) const {
    std::int64_t sum = 0;
    for (const PlacedReplica& replica : record_->replicas) {
      const bool counted = endpoint.empty() || replica.endpoint == endpoint;
      if (counted && replica.state == ReplicaState::kUnloading) sum += replica.memory_mib;
    }
    return sum;
  }

  // Evicts one replica unless enough memory is already being freed. False if nothing can be evicted
  // and nothing is being unloaded.
  bool MakeRoom(const Model& model, bool over_budget) {
    if (over_budget &&
        ChargedGroupMemory() - UnloadingMemory("") + model.memory_mib <= GroupBudget()) {
      return true;
    }
    for (const auto& [id, view] : views_) {
      if (!view.can_accept_loads() || HasReplica(id, model.name)) continue;
      if (FreeMemory(view) + UnloadingMemory(id) >= model.memory_mib && !over_budget) return true;
    }
    PlacedReplica* victim = FindEvictionVictim("");
    if (victim == nullptr) return IsAnyUnloading();
    Unload(victim);
    return true;
  }

  bool IsAnyUnloading() const { return UnloadingMemory("") > 0; }

  void AddReplica(const Model& model, const EndpointView& view) {
    PlacedReplica replica;
    replica.model = model.name;
    replica.base = model.base;
    replica.version = model.version;
    replica.endpoint = view.host.id;
    replica.memory_mib = model.memory_mib;
    replica.order_id = group_.ToString() + "-" + std::to_string(++record_->last_order);
    replica.decided_at_ms = ToUnixMillis(now_.wall);
    record_->replicas.push_back(std::move(replica));
    result_.changed = true;
    ++result_.loads;
    assert(ChargedMemory(*record_, view.host.id, now_.wall) <= Capacity(view));
    assert(CountReplicas(*record_, model.name, now_.wall) <= model.max_replicas);
  }

  // Order ids are never reused, so each replica has its own.
  void CheckInvariants() const {
    for (std::size_t i = 1; i < record_->replicas.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        assert(record_->replicas[i].order_id != record_->replicas[j].order_id);
      }
    }
  }

  const Environment& environment_;
  const Pool& pool_;
  const GroupId& group_;
  const EndpointViews& views_;
  const DemandTable& demand_;
  const Now& now_;
  const StoreLoad& store_;
  PlacementRecord* record_;
  milliseconds min_residence_;
  PlanResult result_;
};

}  // namespace

std::string GroupId::ToString() const { return pool + "." + region + "." + std::to_string(index); }

GroupId GroupOfEndpoint(const Pool& pool, const Host& host) {
  return {pool.name, host.region, static_cast<std::uint32_t>(Hash64(host.id) % pool.groups)};
}

GroupId HomeGroup(const Environment& environment, const Model& model, const std::string& region) {
  const Pool* pool = environment.FindPool(model.pool);
  assert(pool != nullptr);
  const std::string& name = model.is_adapter() ? model.base : model.name;
  return {pool->name, region, static_cast<std::uint32_t>(Hash64(name) % pool->groups)};
}

std::vector<GroupId> AllGroups(const Environment& environment) {
  std::vector<GroupId> groups;
  for (const auto& [name, pool] : environment.pools) {
    for (const std::string& region : environment.regions) {
      for (std::uint32_t index = 0; index < pool.groups; ++index) {
        groups.push_back({name, region, index});
      }
    }
  }
  return groups;
}

void ModelDemand::RecordUse(MonotonicTime now) {
  last_used = now;
  history.RecordUse(now);
}

WaitingByRank ModelDemand::waiting(MonotonicTime now) const {
  WaitingByRank sum{};
  for (const auto& [daemon, report] : reports) {
    if (now >= report.until) continue;
    for (std::size_t i = 0; i < kRankCount; ++i) sum[i] += report.waiting[i];
  }
  return sum;
}

std::int64_t ChargedMemory(const PlacementRecord& record, const std::string& endpoint,
                           WallTime now) {
  std::int64_t sum = 0;
  for (const PlacedReplica& replica : record.replicas) {
    if (replica.endpoint == endpoint) sum += replica.memory_mib;
  }
  for (const LateOrderReservation& reservation : record.reservations) {
    if (reservation.endpoint == endpoint && IsActive(record, reservation, now)) {
      sum += reservation.memory_mib;
    }
  }
  return sum;
}

std::uint32_t CountReplicas(const PlacementRecord& record, const std::string& model, WallTime now) {
  const auto replicas =
      std::count_if(record.replicas.begin(), record.replicas.end(),
                    [&](const PlacedReplica& replica) { return replica.model == model; });
  const auto reserved = std::count_if(
      record.reservations.begin(), record.reservations.end(),
      [&](const auto& item) { return item.model == model && IsActive(record, item, now); });
  return static_cast<std::uint32_t>(replicas + reserved);
}

ObservationResult ApplyObservations(const EndpointViews& views, const Now& now,
                                    PlacementRecord* record) {
  ObservationResult result;
  std::vector<PlacedReplica> kept;
  for (PlacedReplica& replica : record->replicas) {
    const auto view = views.find(replica.endpoint);
    const auto state =
        view == views.end() ? std::optional(replica.state) : ObservedState(replica, view->second);
    result.changed |= state != replica.state;
    if (!state) {
      const auto late = view->second.late_loads.find(replica.order_id);
      const bool may_load = !view->second.honours_fence && !view->second.gone;
      if (may_load && late != view->second.late_loads.end())
        AddReservation(replica, late->second, record);
      continue;
    }
    if (*state == ReplicaState::kUnloading && replica.state != *state) {
      MarkUnloading(record, &replica);
    }
    replica.state = *state;
    kept.push_back(std::move(replica));
  }
  record->replicas = std::move(kept);
  for (const auto& [id, view] : views) {
    if (!view.reachable || !view.fence_raised) continue;
    for (const EngineReplica& reported : view.state.replicas) {
      if (IsDecided(*record, id, reported)) continue;
      PlacedReplica replica;
      replica.model = reported.model;
      replica.version = reported.version;
      replica.endpoint = id;
      MarkUnloading(record, &replica);
      replica.memory_mib = reported.memory_mib;
      replica.order_id = kUndecidedPrefix + std::to_string(++record->last_order);
      replica.decided_at_ms = ToUnixMillis(now.wall);
      record->replicas.push_back(std::move(replica));
      result.changed = true;
      ++result.undecided;
    }
  }
  const std::size_t removed = std::erase_if(record->reservations, [&](const auto& reservation) {
    const auto view = views.find(reservation.endpoint);
    const bool gone = view != views.end() && view->second.gone;
    return gone || reservation.until_ms <= ToUnixMillis(now.wall);
  });
  result.changed |= removed > 0;
  return result;
}

void ReserveForLateOrders(WallTime now, milliseconds load_timeout, milliseconds hold,
                          PlacementRecord* record) {
  for (const PlacedReplica& replica : record->replicas) {
    // No load was ordered for a replica that was found on an engine without a decision.
    if (replica.order_id.starts_with(kUndecidedPrefix)) continue;
    const WallTime decided_at{milliseconds(replica.decided_at_ms)};
    const bool loading = replica.state == ReplicaState::kLoading;
    const WallTime last_order = loading ? now : std::min(now, decided_at + load_timeout);
    if (last_order + hold > now) AddReservation(replica, last_order + hold, record);
  }
}

PlanResult PlanGroup(const Environment& environment, const GroupId& group,
                     const EndpointViews& views, const DemandTable& demand, const Now& now,
                     PlacementRecord* record, const StoreLoad& store, milliseconds min_residence) {
  return Planner(environment, group, views, demand, now, store, min_residence, record).Run();
}

}  // namespace mimosabend
