#include "placement.h"

#include <algorithm>
#include <cassert>
#include <numeric>

#include "digest.h"

namespace mimosabend {

namespace {

constexpr char kUndecidedPrefix[] = "undecided-";

// Raises the fence above that of all load orders of the replica, so that an engine that honours
// fences can be made to refuse late ones before the replica is dropped.
void MarkUnloading(PlacementRecord* record, PlacedReplica* replica) {
  replica->state = ReplicaState::kUnloading;
  replica->unload_fence = ++record->fence;
}

// A reservation counts while its time runs and no replica of the same order is charged.
bool Counts(const PlacementRecord& record, const LateOrderReservation& reservation, WallTime now) {
  if (reservation.until_ms <= ToUnixMillis(now)) return false;
  return std::none_of(record.replicas.begin(), record.replicas.end(), [&](const auto& replica) {
    return replica.order_id == reservation.order_id;
  });
}

// Adds a reservation for the order of a replica, or prolongs the one that exists.
void Reserve(const PlacedReplica& replica, WallTime until, PlacementRecord* record) {
  for (LateOrderReservation& reservation : record->reservations) {
    if (reservation.order_id != replica.order_id) continue;
    reservation.until_ms = std::max(reservation.until_ms, ToUnixMillis(until));
    return;
  }
  record->reservations.push_back(
      {replica.endpoint, replica.model, replica.order_id, replica.memory_mib, ToUnixMillis(until)});
}

// Concurrent loads that the weight store serves at full speed, over all groups.
constexpr std::uint32_t kMaxModelLoads = 4;
constexpr std::uint32_t kMaxAdapterLoads = 30;
// An owner decides at most one model load in this time. Owners that see the store free at the same
// moment then exceed its limit by one load each, not by four. The store starts 2 to 4 loads a
// second, so that a single owner still keeps it busy.
constexpr milliseconds kModelLoadSpacing{100};
// A load shows in the store's status within this time of its decision.
constexpr milliseconds kLoadVisible{250};
// A load counts as stuck after this part of its time-out.
constexpr int kStuckDivisor = 4;
// A load at an endpoint that is silent counts as stuck after this time.
constexpr milliseconds kSilentLoad{2000};

// True if the endpoint has answered this owner before and does not now.
bool HasFallenSilent(const EndpointView& view) {
  return !view.reachable && !view.state.incarnation.empty();
}

bool Holds(const PlacedReplica& replica, const std::string& model) {
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
      // An order that the engine does not know of may still arrive, so the charge stays.
      return reported != nullptr && reported->state == ReplicaState::kReady ? ReplicaState::kReady
                                                                            : replica.state;
    case ReplicaState::kReady:
      // A copy of the load order may still arrive, so the replica is dropped only by way of
      // kUnloading.
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

// Decides for one group. Lives for one call of PlanGroup.
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
    UnloadWhatIsNotWanted();
    for (const Model* model : ModelsByUrgency()) Place(*model);
    CheckInvariants();
    return std::move(result_);
  }

 private:
  std::int64_t GroupBudget() const { return pool_.budget_mib / pool_.groups; }

  // All that counts against the budget of the group, reservations included.
  std::int64_t GroupCharge() const {
    std::int64_t sum = 0;
    for (const PlacedReplica& replica : record_->replicas) sum += replica.memory_mib;
    for (const LateOrderReservation& reservation : record_->reservations) {
      if (Counts(*record_, reservation, now_.wall)) sum += reservation.memory_mib;
    }
    return sum;
  }

  // An engine that has less memory than the document says is believed.
  std::int64_t Capacity(const EndpointView& view) const {
    return std::min(pool_.endpoint_memory_mib, view.state.memory_total_mib);
  }

  // What the engine uses beyond the charge of the replicas it reports, a KV cache import for
  // example.
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

  std::uint32_t Waiting(const std::string& model) const {
    const WaitingByRank waiting = WaitingFor(model);
    return std::accumulate(waiting.begin(), waiting.end(), 0u);
  }

  MonotonicTime LastUsed(const std::string& model) const {
    const auto it = demand_.find(model);
    return it == demand_.end() ? MonotonicTime() : it->second.last_used;
  }

  bool IsResident(const PlacedReplica& replica) const {
    return ToUnixMillis(now_.wall) - replica.decided_at_ms < min_residence_.count();
  }

  // Marks a replica and, if it is a model, the adapters on top of it.
  void Unload(PlacedReplica* replica) {
    for (PlacedReplica& other : record_->replicas) {
      const bool on_top = other.base == replica->model && other.endpoint == replica->endpoint;
      if (&other == replica || on_top) MarkUnloading(record_, &other);
    }
    result_.changed = true;
  }

  bool IsIdle(const PlacedReplica& replica) const {
    if (Waiting(replica.model) > 0 || IsResident(replica)) return false;
    return now_.monotonic - LastUsed(replica.model) > AllowedIdle(replica.model);
  }

  milliseconds AllowedIdle(const std::string& model) const {
    const auto it = demand_.find(model);
    if (it == demand_.end()) return IdleTimeout(environment_.idle_weight);
    return IdleTimeout(it->second.history, environment_.idle_weight);
  }

  // True if the document no longer wants a replica where it is.
  bool IsUnwanted(const PlacedReplica& replica) const {
    const Model* model = environment_.FindModel(replica.model);
    if (model == nullptr || model->version != replica.version) return true;
    if (HomeGroup(environment_, *model, group_.region) != group_) return true;
    const auto view = views_.find(replica.endpoint);
    if (view == views_.end()) return false;
    return view->second.missing || view->second.host.state == HostState::kLeaving;
  }

  void UnloadWhatIsNotWanted() {
    for (PlacedReplica& replica : record_->replicas) {
      if (replica.state == ReplicaState::kUnloading) continue;
      const Model* model = environment_.FindModel(replica.model);
      const std::uint32_t kept = model == nullptr ? 0 : model->min_replicas;
      const bool idle =
          replica.state == ReplicaState::kReady && IsIdle(replica) && Active(replica.model) > kept;
      const bool surplus = model != nullptr && Active(replica.model) > model->max_replicas;
      if (IsUnwanted(replica) || idle || surplus || HasStalled(replica)) Unload(&replica);
    }
    while (GroupCharge() - UnloadingMemory("") > GroupBudget()) {
      PlacedReplica* victim = LeastRecentlyUsed("");
      if (victim == nullptr) break;
      Unload(victim);
    }
    for (const auto& [id, view] : views_) {
      while (view.reachable && FreeMemory(view) + UnloadingMemory(id) < 0) {
        PlacedReplica* victim = LeastRecentlyUsed(id);
        if (victim == nullptr) break;
        Unload(victim);
      }
    }
  }

  bool HasStalled(const PlacedReplica& replica) const {
    return replica.state == ReplicaState::kLoading &&
           ToUnixMillis(now_.wall) - replica.decided_at_ms > environment_.load_timeout.count();
  }

  std::uint32_t Active(const std::string& model) const {
    return std::count_if(record_->replicas.begin(), record_->replicas.end(),
                         [&](const PlacedReplica& replica) { return Holds(replica, model); });
  }

  // Models that need a replica: by their most urgent waiting rank, then by the number waiting.
  std::vector<const Model*> ModelsByUrgency() const {
    std::vector<const Model*> models;
    for (const auto& [name, model] : environment_.models) {
      const bool wanted = Waiting(name) > 0 || Active(name) < model.min_replicas;
      if (wanted && HomeGroup(environment_, model, group_.region) == group_) {
        models.push_back(&model);
      }
    }
    std::stable_sort(models.begin(), models.end(), [&](const Model* a, const Model* b) {
      return WaitingFor(a->name) > WaitingFor(b->name);
    });
    return models;
  }

  void Place(const Model& model) {
    const std::uint32_t target = std::max(1u, model.min_replicas) + StuckLoads(model.name);
    if (Active(model.name) >= target) return;
    // Unloading replicas still count against the bound.
    if (CountReplicas(*record_, model.name, now_.wall) >= model.max_replicas) {
      // Another region may serve the requests.
      if (IsOnlyAtSilentEndpoints(model.name)) result_.unplaced.push_back(model.name);
      return;
    }
    const Model* base = model.is_adapter() ? environment_.FindModel(model.base) : nullptr;
    if (base != nullptr && Active(base->name) <= StuckLoads(base->name)) {
      const std::size_t before = result_.unplaced.size();
      Place(*base);
      if (result_.unplaced.size() > before) result_.unplaced.push_back(model.name);
      return;
    }
    const bool over_budget = GroupCharge() + model.memory_mib > GroupBudget();
    const EndpointView* view = over_budget ? nullptr : ChooseEndpoint(model);
    if (view != nullptr) {
      if (MayLoad(model, *view)) Add(model, *view);
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

  bool HoldsModel(const std::string& endpoint, const std::string& model) const {
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
    const bool silent = view != views_.end() && HasFallenSilent(view->second);
    if (replica.state != ReplicaState::kLoading) return silent;
    if (Age(replica) > environment_.load_timeout.count() / kStuckDivisor) return true;
    return silent && Age(replica) > kSilentLoad.count();
  }

  // Replicas that requests should no longer wait for alone. A ready one at a silent endpoint stays
  // charged, but serves nobody.
  std::uint32_t StuckLoads(const std::string& model) const {
    if (Waiting(model) == 0 && !SupportsWaiting(model)) return 0;
    return std::count_if(
        record_->replicas.begin(), record_->replicas.end(),
        [&](const PlacedReplica& replica) { return Holds(replica, model) && IsStuck(replica); });
  }

  bool IsOnlyAtSilentEndpoints(const std::string& model) const {
    return std::all_of(record_->replicas.begin(), record_->replicas.end(),
                       [&](const PlacedReplica& replica) {
                         const auto view = views_.find(replica.endpoint);
                         return !Holds(replica, model) ||
                                (view != views_.end() && HasFallenSilent(view->second));
                       }) &&
           Active(model) > 0;
  }

  static bool IsOnDisk(const EndpointView& view, const std::string& model,
                       const std::string& version) {
    return view.state.checkpoints_on_disk.contains(model + "@" + version);
  }

  // True if the replica is being read from the weight store, as far as this owner knows.
  bool ReadsFromStore(const PlacedReplica& replica) const {
    if (replica.state != ReplicaState::kLoading) return false;
    const auto view = views_.find(replica.endpoint);
    return view == views_.end() || !IsOnDisk(view->second, replica.model, replica.version);
  }

  // Loads of one kind that the store serves: what it reports, and those of this group that it does
  // not report yet.
  std::uint32_t LoadsInFlight(bool adapters) const {
    const std::uint32_t own = std::count_if(
        record_->replicas.begin(), record_->replicas.end(), [&](const PlacedReplica& replica) {
          const bool visible = store_.known && Age(replica) > kLoadVisible.count();
          return replica.base.empty() != adapters && !visible && ReadsFromStore(replica);
        });
    if (!store_.known) return own;
    return own + (adapters ? store_.adapter_loads : store_.model_loads);
  }

  // True if the load needs no read from the weight store, or the store can serve it at full speed.
  bool MayLoad(const Model& model, const EndpointView& view) const {
    if (!store_.limited || IsOnDisk(view, model.name, model.version)) return true;
    if (model.is_adapter()) return LoadsInFlight(true) < kMaxAdapterLoads;
    const bool spaced = std::none_of(record_->replicas.begin(), record_->replicas.end(),
                                     [&](const PlacedReplica& replica) {
                                       return replica.base.empty() && ReadsFromStore(replica) &&
                                              Age(replica) < kModelLoadSpacing.count();
                                     });
    return spaced && LoadsInFlight(false) < kMaxModelLoads;
  }

  // Memory that is free or could be freed without taking a model from its waiting requests.
  std::int64_t ReclaimableMemory(const EndpointView& view) const {
    std::int64_t sum = FreeMemory(view);
    for (const PlacedReplica& replica : record_->replicas) {
      const bool unused = replica.state == ReplicaState::kReady && Waiting(replica.model) == 0;
      if (replica.endpoint == view.host.id && unused) sum += replica.memory_mib;
    }
    return sum;
  }

  // An endpoint that has the checkpoint on its disk goes first, then the one that can free the
  // most memory.
  bool IsBetter(const EndpointView& a, const EndpointView& b, const Model& model) const {
    const bool a_on_disk = IsOnDisk(a, model.name, model.version);
    const bool b_on_disk = IsOnDisk(b, model.name, model.version);
    if (a_on_disk != b_on_disk) return a_on_disk;
    const std::int64_t a_memory = ReclaimableMemory(a);
    const std::int64_t b_memory = ReclaimableMemory(b);
    return a_memory != b_memory ? a_memory > b_memory : FreeMemory(a) > FreeMemory(b);
  }

  // The best endpoint that can take the model now.
  const EndpointView* ChooseEndpoint(const Model& model) const {
    const EndpointView* best = nullptr;
    for (const auto& [id, view] : views_) {
      if (!view.may_take_loads() || HoldsModel(id, model.name)) continue;
      if (model.is_adapter() && !HasReadyBase(model, id)) continue;
      if (FreeMemory(view) < model.memory_mib) continue;
      if (best == nullptr || IsBetter(view, *best, model)) best = &view;
    }
    return best;
  }

  // The ready replica of the least recently used model that nobody waits for, on `endpoint` or
  // anywhere.
  PlacedReplica* LeastRecentlyUsed(const std::string& endpoint) {
    PlacedReplica* victim = nullptr;
    for (PlacedReplica& replica : record_->replicas) {
      if (replica.state != ReplicaState::kReady || Waiting(replica.model) > 0) continue;
      if (!endpoint.empty() && replica.endpoint != endpoint) continue;
      if (IsResident(replica) || SupportsWaiting(replica.model)) continue;
      if (victim == nullptr || LastUsed(replica.model) < LastUsed(victim->model)) {
        victim = &replica;
      }
    }
    return victim;
  }

  // True if an adapter of this model has waiting requests.
  bool SupportsWaiting(const std::string& base) const {
    for (const auto& [name, demand] : demand_) {
      const Model* model = environment_.FindModel(name);
      if (model != nullptr && model->base == base && Waiting(name) > 0) return true;
    }
    return false;
  }

  std::int64_t UnloadingMemory(const std::string& endpoint) const {
    std::int64_t sum = 0;
    for (const PlacedReplica& replica : record_->replicas) {
      const bool counted = endpoint.empty() || replica.endpoint == endpoint;
      if (counted && replica.state == ReplicaState::kUnloading) sum += replica.memory_mib;
    }
    return sum;
  }

  // Unloads one replica where that helps. True if room is being made.
  bool MakeRoom(const Model& model, bool over_budget) {
    if (over_budget && GroupCharge() - UnloadingMemory("") + model.memory_mib <= GroupBudget()) {
      return true;
    }
    for (const auto& [id, view] : views_) {
      if (!view.may_take_loads() || HoldsModel(id, model.name)) continue;
      if (FreeMemory(view) + UnloadingMemory(id) >= model.memory_mib && !over_budget) return true;
    }
    PlacedReplica* victim = LeastRecentlyUsed("");
    if (victim == nullptr) return AnyUnloading();
    Unload(victim);
    return true;
  }

  bool AnyUnloading() const { return UnloadingMemory("") > 0; }

  void Add(const Model& model, const EndpointView& view) {
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

  // An order id names one order for ever.
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

void ModelDemand::NoteUse(MonotonicTime now) {
  last_used = now;
  history.NoteUse(now);
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
    if (reservation.endpoint == endpoint && Counts(record, reservation, now)) {
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
      [&](const auto& item) { return item.model == model && Counts(record, item, now); });
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
      if (may_load && late != view->second.late_loads.end()) Reserve(replica, late->second, record);
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
    // No load was ordered for a replica that nobody decided.
    if (replica.order_id.starts_with(kUndecidedPrefix)) continue;
    const WallTime decided_at{milliseconds(replica.decided_at_ms)};
    const bool loading = replica.state == ReplicaState::kLoading;
    const WallTime last_order = loading ? now : std::min(now, decided_at + load_timeout);
    if (last_order + hold > now) Reserve(replica, last_order + hold, record);
  }
}

PlanResult PlanGroup(const Environment& environment, const GroupId& group,
                     const EndpointViews& views, const DemandTable& demand, const Now& now,
                     PlacementRecord* record, const StoreLoad& store, milliseconds min_residence) {
  return Planner(environment, group, views, demand, now, store, min_residence, record).Run();
}

}  // namespace mimosabend
