#ifndef MIMOSABEND_PLACEMENT_OWNER_H_
#define MIMOSABEND_PLACEMENT_OWNER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "environment.h"
#include "event_loop.h"
#include "kv_store.h"
#include "lease_keeper.h"
#include "log.h"
#include "metrics.h"
#include "notifier.h"
#include "peer_message.h"
#include "placement.h"
#include "placement_timings.h"
#include "supervisor.h"

namespace mimosabend {

// Inputs that an owner reads from the rest of the daemon.
struct OwnerContext {
  std::string daemon_name;
  // Prefix of all keys of the environment in the key-value service.
  std::string key_prefix;
  std::function<std::shared_ptr<const Environment>()> environment;
  // Engine endpoints on the host list.
  std::function<std::vector<Host>()> hosts;
  // Load of the weight store; `in_use` requests that its status is kept fresh. May be empty.
  std::function<StoreLoad(bool in_use)> store_load;
};

// The decision functions of an owner. Tests pass variants in which one safety mechanism is
// disabled.
struct PlacementDecisions {
  static ObservationResult ApplyObservations(const EndpointViews& views, const Now& now,
                                             PlacementRecord* record) {
    return mimosabend::ApplyObservations(views, now, record);
  }
  static PlanResult PlanGroup(const Environment& environment, const GroupId& group,
                              const EndpointViews& views, const DemandTable& demand, const Now& now,
                              PlacementRecord* record, const StoreLoad& store,
                              milliseconds min_residence) {
    return mimosabend::PlanGroup(environment, group, views, demand, now, record, store,
                                 min_residence);
  }
  static void ReserveForLateOrders(WallTime now, milliseconds load_timeout, milliseconds hold,
                                   PlacementRecord* record) {
    mimosabend::ReserveForLateOrders(now, load_timeout, hold, record);
  }
};

// Owns one placement group: acquires it, decides its loads and unloads, stores each decision before
// the order for it is sent, and sends the orders with one coroutine per endpoint. Not thread-safe.
template <KvStore Kv, EngineControl Engine, class Decisions = PlacementDecisions>
class PlacementOwner : public std::enable_shared_from_this<PlacementOwner<Kv, Engine, Decisions>> {
 public:
  // Precondition: all pointers outlive this object.
  PlacementOwner(boost::asio::any_io_executor executor, GroupId group, OwnerContext context, Kv* kv,
                 LeaseKeeper<Kv>* lease, Engine* engine, Metrics* metrics,
                 PlacementTimings timings = {})
      : executor_(executor),
        group_(std::move(group)),
        context_(std::move(context)),
        kv_(kv),
        lease_(lease),
        engine_(engine),
        metrics_(metrics),
        timings_(timings),
        wake_notifier_(executor),
        demand_notifier_(executor),
        order_notifier_(executor) {}

  const GroupId& group() const { return group_; }
  bool is_owner() const { return is_owner_; }
  // The daemon that owned the group when this one last failed to acquire it; empty if unknown.
  const std::string& holder() const { return holder_; }
  const PlacementRecord& record() const { return record_; }

  // Acquires the group when it is free and places its replicas until the group is lost; then tries
  // again. Returns after Stop is called.
  Task<void> Run() {
    const auto self = this->shared_from_this();
    while (!stopping_) {
      const bool taken = co_await AcquireGroup();
      if (taken) {
        co_await RunDecisionLoop();
        co_await ReleaseGroup();
      } else {
        co_await Sleep(timings_.take_over_retry);
      }
    }
    finished_ = true;
  }

  // Makes Run release the group and return.
  void Stop() {
    stopping_ = true;
    WakeDecisionLoop();
  }
  bool finished() const { return finished_; }

  // Records that requests wait for a model, and waits up to `request.wait_ms` for a ready replica.
  Task<DemandAnswer> Demand(std::string daemon, DemandRequest request) {
    const auto self = this->shared_from_this();
    const MonotonicTime deadline = MonotonicNow() + milliseconds(request.wait_ms);
    const bool known = RecordDemand(daemon, request);
    for (;;) {
      // The decision loop may be blocked by a write to the key-value service.
      if (is_owner_) RefreshHosts();
      DemandAnswer answer = known || !is_owner_ ? MakeDemandAnswer(request.model) : DemandAnswer{};
      const bool final = answer.status != DemandStatus::kLoading;
      if (final || MonotonicNow() >= deadline || stopping_) co_return answer;
      co_await demand_notifier_.WaitUntil(deadline);
    }
  }

 private:
  static constexpr std::uint32_t kLoadEstimateMs = 2000;

  std::string RecordKey() const {
    return context_.key_prefix + "place/" + group_.ToString() + "/record";
  }
  std::string OwnerKey() const {
    return context_.key_prefix + "place/" + group_.ToString() + "/owner";
  }

  // Makes the decision loop run now instead of after its period.
  void WakeDecisionLoop() {
    wake_pending_ = true;
    wake_notifier_.NotifyAll();
  }

  // True while the lease with which this daemon acquired the group is safe to act on. A lease
  // granted later does not cover the group.
  bool HoldsGroup() const {
    const LeaseId* lease = lease_->SafeLease(MonotonicNow());
    return lease != nullptr && *lease == owner_lease_;
  }

  bool MaySendOrders() const { return is_owner_ && HoldsGroup(); }

  Fencing PoolFencing() const {
    const Pool* pool = context_.environment()->FindPool(group_.pool);
    return pool == nullptr ? Fencing::kIgnored : pool->fencing;
  }

  // Acquires the owner key, then raises the fencing token in the record. Returns true only if both
  // succeeded; no decision may be made before.
  Task<bool> AcquireGroup() {
    const LeaseId* safe_lease = lease_->SafeLease(MonotonicNow());
    if (safe_lease == nullptr) co_return false;
    const LeaseId lease = *safe_lease;
    auto acquired = co_await kv_->Acquire(OwnerKey(), context_.daemon_name, lease);
    if (!acquired) co_return false;
    if (!acquired.value()) {
      auto held = co_await kv_->Read(OwnerKey());
      if (held) holder_ = held.value().value;
      co_return false;
    }
    auto entry = co_await kv_->Read(RecordKey());
    if (!entry) co_return false;
    PlacementRecord record;
    if (entry.value().exists()) {
      std::optional<PlacementRecord> stored = Decode<PlacementRecord>(entry.value().value);
      if (!stored) throw std::runtime_error("placement record of " + RecordKey() + " is malformed");
      record = std::move(*stored);
    }
    version_ = entry.value().version;
    // Also if this daemon was the last owner, because orders that it no longer knows of may still
    // be in flight.
    ++record.fence;
    record.owner = OwnerTag(lease);
    if (PoolFencing() == Fencing::kIgnored) {
      Decisions::ReserveForLateOrders(WallNow(), context_.environment()->load_timeout,
                                      timings_.late_order_hold, &record);
    }
    const WriteResult result = co_await Write(std::move(record));
    if (result != WriteResult::kWritten || !lease_->Holds(lease)) co_return false;
    owner_lease_ = lease;
    takeover_fence_ = record_.fence;
    fence_rejected_ = false;
    is_owner_ = true;
    demand_.clear();
    for (const PlacedReplica& replica : record_.replicas) RecordUse(replica.model);
    metrics_->ownership_changes_total->Increment();
    LOG4CPLUS_INFO(Log(),
                   "acquired placement group " << group_.ToString() << ", fence " << record_.fence);
    co_return true;
  }

  // Unique for each lease, so that a daemon that reacquires a group counts as a new owner.
  std::string OwnerTag(const LeaseId& lease) const { return context_.daemon_name + "/" + lease; }

  Task<void> ReleaseGroup() {
    is_owner_ = false;
    views_.clear();
    contacts_.clear();
    hosts_read_at_ = {};
    demand_notifier_.NotifyAll();
    order_notifier_.NotifyAll();
    while (endpoint_tasks_ > 0) co_await Sleep(timings_.loading_period);
    metrics_->ownership_changes_total->Increment();
    LOG4CPLUS_INFO(Log(), "releasing placement group " << group_.ToString());
    if (!stopping_) co_return;
    auto entry = co_await kv_->Read(OwnerKey());
    const bool still_owner = entry && entry.value().value == context_.daemon_name;
    if (!still_owner || lease_->SafeLease(MonotonicNow()) == nullptr) co_return;
    auto ignored = co_await kv_->Delete(OwnerKey(), entry.value().version);
    static_cast<void>(ignored);
  }

  // Decides until the group is lost. While the lease is not safe, because the key-value service is
  // unreachable for example, no decision is made, but Demand still returns the ready replicas.
  Task<void> RunDecisionLoop() {
    while (!stopping_ && !fence_rejected_ && lease_->Holds(owner_lease_)) {
      wake_pending_ = false;
      RefreshHosts();
      if (HoldsGroup()) {
        const bool kept = co_await DecideOnce();
        if (!kept) co_return;
      }
      demand_notifier_.NotifyAll();
      if (!wake_pending_)
        co_await wake_notifier_.WaitUntil(MonotonicNow() + timings_.decide_period);
    }
  }

  // False if the write conflicted, which means that another daemon may have written the record.
  Task<bool> DecideOnce() {
    PlacementRecord next = record_;
    const Now now{MonotonicNow(), WallNow()};
    const ObservationResult observed = Decisions::ApplyObservations(views_, now, &next);
    const auto environment = context_.environment();
    PlanResult plan;
    if (environment->FindPool(group_.pool) != nullptr) {
      plan = Decisions::PlanGroup(*environment, group_, views_, demand_, now, &next,
                                  ReadStoreLoad(now), timings_.min_residence);
    }
    unplaced_ = std::set<std::string>(plan.unplaced.begin(), plan.unplaced.end());
    if (!observed.changed && !plan.changed) co_return true;
    const WriteResult result = co_await Write(std::move(next));
    if (result == WriteResult::kWritten) {
      metrics_->undecided_replicas_total->Increment(observed.undecided);
      metrics_->load_decisions_total->Increment(plan.loads);
      order_notifier_.NotifyAll();
    }
    co_return result != WriteResult::kConflict;
  }

  // The store is reported to be in use only while requests wait or replicas load.
  StoreLoad ReadStoreLoad(const Now& now) const {
    if (!context_.store_load) return {};
    bool in_use = false;
    for (const auto& [model, demand] : demand_) {
      in_use |= demand.waiting(now.monotonic) != WaitingByRank{};
    }
    for (const PlacedReplica& replica : record_.replicas) {
      in_use |= replica.state == ReplicaState::kLoading;
    }
    return context_.store_load(in_use);
  }

  enum class WriteResult : std::uint8_t { kWritten, kConflict, kUnavailable };

  // Writes the record. After kUnavailable the write may have taken effect; then the next write
  // conflicts and the group is acquired again.
  Task<WriteResult> Write(PlacementRecord record) {
    const std::string bytes = Encode(record);
    auto swap = co_await kv_->CompareAndSwap(RecordKey(), bytes, version_);
    metrics_->placement_writes_total->Increment();
    if (!swap && swap.error() == KvError::kOutcomeUnknown) {
      auto entry = co_await kv_->Read(RecordKey());
      if (entry && entry.value().value == bytes && entry.value().version != version_) {
        swap = KvSwap{true, entry.value().version};
      }
    }
    if (!swap) co_return WriteResult::kUnavailable;
    if (!swap.value().swapped) {
      metrics_->placement_conflicts_total->Increment();
      co_return WriteResult::kConflict;
    }
    version_ = swap.value().version;
    record_ = std::move(record);
    co_return WriteResult::kWritten;
  }

  // Updates the views from the host list and starts a coroutine for each new endpoint. Does nothing
  // if it was called less than `loading_period` ago.
  void RefreshHosts() {
    if (MonotonicNow() - hosts_read_at_ < timings_.loading_period) return;
    hosts_read_at_ = MonotonicNow();
    const Pool* pool = context_.environment()->FindPool(group_.pool);
    const std::vector<Host> hosts = context_.hosts();
    // An empty list means that it has not been read yet, not that the hosts are gone.
    if (pool == nullptr || hosts.empty()) return;
    for (auto& [id, view] : views_) view.listed = false;
    for (const Host& host : hosts) {
      if (host.serves != group_.pool || GroupOfEndpoint(*pool, host) != group_) continue;
      EndpointView& view = views_[host.id];
      view.host = host;
      view.listed = true;
      view.honours_fence = pool->fencing == Fencing::kHonoured;
      if (contacts_[host.id].has_coroutine) continue;
      contacts_[host.id].has_coroutine = true;
      SpawnDetached(executor_, "contact with an endpoint",
                    RunEndpoint(this->shared_from_this(), host.id));
    }
    AddUnlistedHosts();
    UpdateMissingHosts();
  }

  // Adds views of hosts that the record names but that were missing from the host list when this
  // owner took over.
  void AddUnlistedHosts() {
    for (const PlacedReplica& replica : record_.replicas) {
      const auto [it, inserted] = views_.try_emplace(replica.endpoint);
      if (!inserted) continue;
      it->second.host.id = replica.endpoint;
      it->second.listed = false;
      contacts_[replica.endpoint].answered_at = MonotonicNow();
      contacts_[replica.endpoint].listed_at = MonotonicNow();
    }
  }

  void UpdateMissingHosts() {
    const MonotonicTime now = MonotonicNow();
    for (auto& [id, view] : views_) {
      Contact& contact = contacts_[id];
      if (view.listed) contact.listed_at = now;
      if (view.reachable) contact.answered_at = now;
      view.missing = now - contact.listed_at > timings_.vanish_grace;
      view.gone = view.missing && now - contact.answered_at > timings_.vanish_grace;
    }
    std::erase_if(views_, [&](const auto& item) {
      const bool has_coroutine = contacts_[item.first].has_coroutine;
      return item.second.gone && !has_coroutine && !HasReplicas(item.first);
    });
  }

  // Polls one endpoint and sends its orders, one at a time.
  static Task<void> RunEndpoint(std::shared_ptr<PlacementOwner> self, std::string endpoint) {
    ++self->endpoint_tasks_;
    std::map<std::string, MonotonicTime> sent;
    while (self->is_owner_) {
      self->RefreshHosts();
      if (!self->views_.contains(endpoint)) break;
      co_await self->Observe(endpoint);
      co_await self->SendOrders(endpoint, &sent);
      const auto view = self->views_.find(endpoint);
      if (view == self->views_.end()) break;
      if (view->second.gone && !self->HasReplicas(endpoint)) {
        self->views_.erase(view);
        break;
      }
      const auto period = self->HasPendingOrders(endpoint) ? self->timings_.loading_period
                                                           : self->timings_.endpoint_period;
      co_await self->order_notifier_.WaitUntil(MonotonicNow() + period);
    }
    self->contacts_.erase(endpoint);
    --self->endpoint_tasks_;
  }

  bool HasReplicas(const std::string& endpoint) const {
    for (const PlacedReplica& replica : record_.replicas) {
      if (replica.endpoint == endpoint) return true;
    }
    return false;
  }

  bool HasPendingOrders(const std::string& endpoint) const {
    for (const PlacedReplica& replica : record_.replicas) {
      if (replica.endpoint == endpoint && replica.state != ReplicaState::kReady) return true;
    }
    return false;
  }

  // The fencing token that an engine must have reached before this owner may decide for it and
  // remove unloaded replicas from the record.
  std::uint64_t RequiredFence(const std::string& endpoint) const {
    std::uint64_t fence = takeover_fence_;
    for (const PlacedReplica& replica : record_.replicas) {
      if (replica.endpoint == endpoint) fence = std::max(fence, replica.unload_fence);
    }
    return fence;
  }

  // Raises the engine's fencing token if required and reads the engine's state into the view.
  Task<void> Observe(std::string endpoint) {
    const EndpointView& known = views_.at(endpoint);
    const Address address = known.host.address;
    if (known.honours_fence && known.state.fence < RequiredFence(endpoint)) {
      auto raised = co_await engine_->RaiseFence(address, record_.fence);
      if (!raised) HandleEngineError(raised.error());
    }
    auto state = co_await engine_->State(address);
    const auto it = views_.find(endpoint);
    if (it == views_.end()) co_return;
    EndpointView& view = it->second;
    const bool was_reachable = view.reachable;
    view.reachable = static_cast<bool>(state);
    if (state) {
      view.state = std::move(state).value();
      view.is_current = true;
      // An engine loses its fencing token when it restarts.
      view.fence_raised = !view.honours_fence || view.state.fence >= takeover_fence_;
      std::erase_if(view.late_loads, [](const auto& load) { return load.second <= WallNow(); });
    } else {
      metrics_->engine_errors_total->Increment();
    }
    if (was_reachable != view.reachable) {
      LOG4CPLUS_INFO(
          Log(), "endpoint " << endpoint << (view.reachable ? " responds" : " stopped responding"));
    }
    if (HasPendingOrders(endpoint) || was_reachable != view.reachable) WakeDecisionLoop();
  }

  // Sends the orders for the endpoint's loading and unloading replicas that are due.
  Task<void> SendOrders(std::string endpoint, std::map<std::string, MonotonicTime>* sent) {
    for (;;) {
      // The record may have changed while the last order was in flight.
      std::optional<EngineOrder> order = NextOrder(endpoint, sent);
      if (!order) co_return;
      const bool load = order->kind == OrderKind::kLoad;
      (load ? metrics_->load_orders_total : metrics_->unload_orders_total)->Increment();
      const Address address = views_.at(endpoint).host.address;
      if (!load) {
        auto result = co_await engine_->Order(address, std::move(*order));
        if (!result) HandleEngineError(result.error());
        continue;
      }
      views_.at(endpoint).is_current = false;
      const std::string order_id = order->order_id;
      auto result = co_await engine_->Order(address, std::move(*order));
      if (result) continue;
      HandleEngineError(result.error());
      const auto view = views_.find(endpoint);
      if (view == views_.end()) co_return;
      if (MayArriveLate(result.error())) {
        view->second.late_loads[order_id] = WallNow() + timings_.late_order_hold;
      }
    }
  }

  // A stale fencing token means that another daemon has written the record since, so the group is
  // released and acquired again.
  void HandleEngineError(EngineError error) {
    metrics_->engine_errors_total->Increment();
    if (error != EngineError::kStaleFence) return;
    fence_rejected_ = true;
    WakeDecisionLoop();
  }

  // True if the order may still be executed although it failed.
  static bool MayArriveLate(EngineError error) {
    return error == EngineError::kTimedOut || error == EngineError::kBroken ||
           error == EngineError::kBadAnswer;
  }

  // The next order for an endpoint that is due now. `sent` has the time of the last order by order
  // id and kind.
  std::optional<EngineOrder> NextOrder(const std::string& endpoint,
                                       std::map<std::string, MonotonicTime>* sent) const {
    const auto view = views_.find(endpoint);
    if (view == views_.end() || !view->second.reachable || !view->second.fence_raised) return {};
    if (!MaySendOrders()) return {};
    for (const PlacedReplica& replica : record_.replicas) {
      if (replica.endpoint != endpoint || replica.state == ReplicaState::kReady) continue;
      const bool load = replica.state == ReplicaState::kLoading;
      if (load && !view->second.can_accept_loads()) continue;
      const OrderKind kind = load ? OrderKind::kLoad : OrderKind::kUnload;
      MonotonicTime& last = (*sent)[replica.order_id + std::string(kOrderKindNames[kind])];
      if (MonotonicNow() - last < timings_.order_repeat) continue;
      last = MonotonicNow();
      EngineOrder order;
      order.order_id = replica.order_id;
      order.fence = record_.fence;
      order.kind = kind;
      order.model = replica.model;
      order.base = replica.base;
      order.version = replica.version;
      order.memory_mib = replica.memory_mib;
      return order;
    }
    return {};
  }

  void RecordUse(const std::string& model) {
    demand_[model].RecordUse(MonotonicNow());
    const Model* found = context_.environment()->FindModel(model);
    if (found != nullptr && found->is_adapter()) {
      demand_[found->base].RecordUse(MonotonicNow());
    }
  }

  // False if the model is unknown or this daemon does not own the group.
  bool RecordDemand(const std::string& daemon, const DemandRequest& request) {
    const Model* model = context_.environment()->FindModel(request.model);
    if (!is_owner_ || model == nullptr) return false;
    RecordUse(request.model);
    demand_[request.model].reports[daemon] = {request.waiting,
                                              MonotonicNow() + timings_.demand_lifetime};
    if (request.waiting != WaitingByRank{}) WakeDecisionLoop();
    return true;
  }

  DemandAnswer MakeDemandAnswer(const std::string& model) const {
    DemandAnswer answer;
    if (!is_owner_) {
      answer.status = DemandStatus::kNotOwner;
      return answer;
    }
    for (const PlacedReplica& replica : record_.replicas) {
      const auto view = views_.find(replica.endpoint);
      if (replica.model != model || replica.state != ReplicaState::kReady) continue;
      if (view == views_.end() || !view->second.listed) continue;
      const EndpointView& endpoint = view->second;
      if (endpoint.host.state != HostState::kLive) continue;
      ReplicaLocation location;
      location.endpoint = replica.endpoint;
      location.address = endpoint.host.address;
      location.region = endpoint.host.region;
      location.state = replica.state;
      location.slots = endpoint.state.slots;
      location.running = endpoint.state.running;
      location.queued = endpoint.state.queued;
      if (endpoint.reachable) answer.replicas.push_back(std::move(location));
    }
    answer.estimated_ms = kLoadEstimateMs;
    if (!answer.replicas.empty()) {
      answer.status = DemandStatus::kReady;
    } else if (unplaced_.contains(model)) {
      answer.status = DemandStatus::kNoCapacity;
    } else if (lease_->SafeLease(MonotonicNow()) == nullptr) {
      answer.status = DemandStatus::kUnavailable;
    } else {
      answer.status = DemandStatus::kLoading;
    }
    return answer;
  }

  boost::asio::any_io_executor executor_;
  GroupId group_;
  OwnerContext context_;
  Kv* kv_;
  LeaseKeeper<Kv>* lease_;
  Engine* engine_;
  Metrics* metrics_;
  PlacementTimings timings_;
  // Wake the decision loop, the waiting Demand calls and the endpoints' coroutines, respectively.
  Notifier wake_notifier_;
  Notifier demand_notifier_;
  Notifier order_notifier_;
  PlacementRecord record_;
  std::uint64_t version_ = 0;
  LeaseId owner_lease_;
  std::string holder_;
  // The fencing token of the takeover.
  std::uint64_t takeover_fence_ = 0;
  // An engine rejected an order because its fencing token is higher than that of `record_`.
  bool fence_rejected_ = false;
  // When an endpoint was last on the host list, and when it last answered.
  struct Contact {
    MonotonicTime listed_at;
    MonotonicTime answered_at;
    // A coroutine polls the endpoint.
    bool has_coroutine = false;
  };

  EndpointViews views_;
  std::map<std::string, Contact> contacts_;
  MonotonicTime hosts_read_at_;
  DemandTable demand_;
  std::set<std::string> unplaced_;
  int endpoint_tasks_ = 0;
  bool wake_pending_ = false;
  bool is_owner_ = false;
  bool stopping_ = false;
  bool finished_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PLACEMENT_OWNER_H_
