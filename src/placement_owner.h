#ifndef MIMOSABEND_PLACEMENT_OWNER_H_
#define MIMOSABEND_PLACEMENT_OWNER_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "environment.h"
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

// What an owner reads of the rest of the daemon.
struct OwnerContext {
  std::string daemon_name;
  // Prefix of all keys of the environment.
  std::string key_prefix;
  std::function<std::shared_ptr<const Environment>()> environment;
  // Engine endpoints on the host list.
  std::function<std::vector<Host>()> hosts;
  // Load of the weight store; `in_use` tells that the next answer should be fresh. May be empty.
  std::function<StoreLoad(bool in_use)> store_load;
};

// The deciding functions of an owner. Tests pass others, in which one mechanism is switched off.
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

// Owns one placement group: takes it over, decides its loads and unloads, writes each decision
// before it is ordered, and carries the orders out with one coroutine for each endpoint. Not
// thread-safe.
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
        work_(executor),
        answers_(executor),
        orders_(executor) {}

  const GroupId& group() const { return group_; }
  bool is_owner() const { return owning_; }
  // The daemon that held the group when this one last tried to take it; empty if unknown.
  const std::string& holder() const { return holder_; }
  const PlacementRecord& record() const { return record_; }

  // Takes the group over when it is free and decides for it until Stop is called or the lease is
  // lost; then tries again.
  Task<void> Run() {
    const auto self = this->shared_from_this();
    while (!stopping_) {
      const bool taken = co_await TakeOver();
      if (taken) {
        co_await Decide();
        co_await Release();
      } else {
        co_await Sleep(timings_.take_over_retry);
      }
    }
    finished_ = true;
  }

  // Makes Run return once it has given the group up.
  void Stop() {
    stopping_ = true;
    Wake();
  }
  bool finished() const { return finished_; }

  // Notes that requests wait for a model, and waits for a ready replica.
  Task<DemandAnswer> Demand(std::string daemon, DemandRequest request) {
    const auto self = this->shared_from_this();
    const MonotonicTime deadline = MonotonicNow() + milliseconds(request.wait_ms);
    const bool known = NoteDemand(daemon, request);
    for (;;) {
      // The deciding coroutine may be held up by a write.
      if (owning_) RefreshHosts();
      DemandAnswer answer = known || !owning_ ? AnswerNow(request.model) : DemandAnswer{};
      const bool final = answer.status != DemandStatus::kLoading;
      if (final || MonotonicNow() >= deadline || stopping_) co_return answer;
      co_await answers_.WaitUntil(deadline);
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

  // Lets the deciding coroutine run at once.
  void Wake() {
    work_pending_ = true;
    work_.NotifyAll();
  }

  // True while the lease by which this daemon acquired the group is safe. A lease that was granted
  // since then does not hold the group.
  bool HoldsGroup() const {
    const LeaseId* lease = lease_->SafeLease(MonotonicNow());
    return lease != nullptr && *lease == owning_lease_;
  }

  bool MayAct() const { return owning_ && HoldsGroup(); }

  Fencing PoolFencing() const {
    const Pool* pool = context_.environment()->FindPool(group_.pool);
    return pool == nullptr ? Fencing::kIgnored : pool->fencing;
  }

  // Acquires the owner key, then raises the fence in the record. Only then may it decide.
  Task<bool> TakeOver() {
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
    // Also when this daemon was the last owner: it may have orders under way that it no longer
    // knows of.
    ++record.fence;
    record.owner = OwnerTag(lease);
    if (PoolFencing() == Fencing::kIgnored) {
      Decisions::ReserveForLateOrders(WallNow(), context_.environment()->load_timeout,
                                      timings_.late_order_hold, &record);
    }
    const WriteResult result = co_await Write(std::move(record));
    if (result != WriteResult::kWritten || !lease_->Holds(lease)) co_return false;
    owning_lease_ = lease;
    owned_fence_ = record_.fence;
    fence_refused_ = false;
    owning_ = true;
    demand_.clear();
    for (const PlacedReplica& replica : record_.replicas) NoteUsed(replica.model);
    metrics_->ownership_changes_total->Increment();
    LOG4CPLUS_INFO(Log(), "owns " << group_.ToString() << " with fence " << record_.fence);
    co_return true;
  }

  // Each lease of each process counts as another owner.
  std::string OwnerTag(const LeaseId& lease) const { return context_.daemon_name + "/" + lease; }

  Task<void> Release() {
    owning_ = false;
    views_.clear();
    contacts_.clear();
    hosts_read_at_ = {};
    answers_.NotifyAll();
    orders_.NotifyAll();
    while (endpoint_tasks_ > 0) co_await Sleep(timings_.loading_period);
    metrics_->ownership_changes_total->Increment();
    LOG4CPLUS_INFO(Log(), "gives up " << group_.ToString());
    if (!stopping_) co_return;
    auto entry = co_await kv_->Read(OwnerKey());
    const bool still_owner = entry && entry.value().value == context_.daemon_name;
    if (!still_owner || lease_->SafeLease(MonotonicNow()) == nullptr) co_return;
    auto ignored = co_await kv_->Delete(OwnerKey(), entry.value().version);
    static_cast<void>(ignored);
  }

  // Decides until the group is lost. While the service can't be reached nothing is decided, but
  // the ready replicas are still named to daemons that ask.
  Task<void> Decide() {
    while (!stopping_ && !fence_refused_ && lease_->Holds(owning_lease_)) {
      work_pending_ = false;
      RefreshHosts();
      if (HoldsGroup()) {
        const bool kept = co_await DecideOnce();
        if (!kept) co_return;
      }
      answers_.NotifyAll();
      if (!work_pending_) co_await work_.WaitUntil(MonotonicNow() + timings_.decide_period);
    }
  }

  // False if another daemon has written the record.
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
      orders_.NotifyAll();
    }
    co_return result != WriteResult::kConflict;
  }

  // The store is watched only while requests wait or replicas load.
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

  // Writes the record. After kUnavailable the write may have taken effect; the next one then
  // conflicts and the group is taken over anew.
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

  // Brings the views in line with the host list and starts a coroutine for each new endpoint.
  void RefreshHosts() {
    if (MonotonicNow() - hosts_read_at_ < timings_.loading_period) return;
    hosts_read_at_ = MonotonicNow();
    const Pool* pool = context_.environment()->FindPool(group_.pool);
    const std::vector<Host> hosts = context_.hosts();
    // An empty list was not read yet, and says nothing of any host.
    if (pool == nullptr || hosts.empty()) return;
    for (auto& [id, view] : views_) view.listed = false;
    for (const Host& host : hosts) {
      if (host.serves != group_.pool || GroupOfEndpoint(*pool, host) != group_) continue;
      EndpointView& view = views_[host.id];
      view.host = host;
      view.listed = true;
      view.honours_fence = pool->fencing == Fencing::kHonoured;
      if (contacts_[host.id].attended) continue;
      contacts_[host.id].attended = true;
      boost::asio::co_spawn(executor_, Attend(this->shared_from_this(), host.id),
                            boost::asio::detached);
    }
    NoteUnlistedHosts();
    NoteMissingHosts();
  }

  // Hosts of the record that were off the list before this owner took over.
  void NoteUnlistedHosts() {
    for (const PlacedReplica& replica : record_.replicas) {
      const auto [it, inserted] = views_.try_emplace(replica.endpoint);
      if (!inserted) continue;
      it->second.host.id = replica.endpoint;
      it->second.listed = false;
      contacts_[replica.endpoint].answered_at = MonotonicNow();
      contacts_[replica.endpoint].listed_at = MonotonicNow();
    }
  }

  void NoteMissingHosts() {
    const MonotonicTime now = MonotonicNow();
    for (auto& [id, view] : views_) {
      Contact& contact = contacts_[id];
      if (view.listed) contact.listed_at = now;
      if (view.reachable) contact.answered_at = now;
      view.missing = now - contact.listed_at > timings_.vanish_grace;
      view.gone = view.missing && now - contact.answered_at > timings_.vanish_grace;
    }
    std::erase_if(views_, [&](const auto& item) {
      const bool attended = contacts_[item.first].attended;
      return item.second.gone && !attended && !HasReplicas(item.first);
    });
  }

  // Watches one endpoint and sends it its orders, one after another.
  static Task<void> Attend(std::shared_ptr<PlacementOwner> self, std::string endpoint) {
    ++self->endpoint_tasks_;
    std::map<std::string, MonotonicTime> sent;
    while (self->owning_) {
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
      const auto period = self->HasTransitions(endpoint) ? self->timings_.loading_period
                                                         : self->timings_.endpoint_period;
      co_await self->orders_.WaitUntil(MonotonicNow() + period);
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

  bool HasTransitions(const std::string& endpoint) const {
    for (const PlacedReplica& replica : record_.replicas) {
      if (replica.endpoint == endpoint && replica.state != ReplicaState::kReady) return true;
    }
    return false;
  }

  // The fence that an engine must have before the owner may decide for it and drop what it has
  // unloaded there.
  std::uint64_t RequiredFence(const std::string& endpoint) const {
    std::uint64_t fence = owned_fence_;
    for (const PlacedReplica& replica : record_.replicas) {
      if (replica.endpoint == endpoint) fence = std::max(fence, replica.unload_fence);
    }
    return fence;
  }

  Task<void> Observe(std::string endpoint) {
    const EndpointView& known = views_.at(endpoint);
    const Address address = known.host.address;
    if (known.honours_fence && known.state.fence < RequiredFence(endpoint)) {
      auto raised = co_await engine_->RaiseFence(address, record_.fence);
      if (!raised) NoteEngineError(raised.error());
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
      // An engine that restarts forgets its fence.
      view.fence_raised = !view.honours_fence || view.state.fence >= owned_fence_;
      std::erase_if(view.late_loads, [](const auto& load) { return load.second <= WallNow(); });
    } else {
      metrics_->engine_errors_total->Increment();
    }
    if (was_reachable != view.reachable) {
      LOG4CPLUS_INFO(Log(),
                     "endpoint " << endpoint << (view.reachable ? " answers" : " is silent"));
    }
    if (HasTransitions(endpoint) || was_reachable != view.reachable) Wake();
  }

  // Sends the orders that the record holds for an endpoint and the engine has not carried out.
  Task<void> SendOrders(std::string endpoint, std::map<std::string, MonotonicTime>* sent) {
    for (;;) {
      // The record may have changed while the last order was under way.
      std::optional<EngineOrder> order = NextOrder(endpoint, sent);
      if (!order) co_return;
      const bool load = order->kind == OrderKind::kLoad;
      (load ? metrics_->load_orders_total : metrics_->unload_orders_total)->Increment();
      const Address address = views_.at(endpoint).host.address;
      if (!load) {
        auto result = co_await engine_->Order(address, std::move(*order));
        if (!result) NoteEngineError(result.error());
        continue;
      }
      views_.at(endpoint).is_current = false;
      const std::string order_id = order->order_id;
      auto result = co_await engine_->Order(address, std::move(*order));
      if (result) continue;
      NoteEngineError(result.error());
      const auto view = views_.find(endpoint);
      if (view == views_.end()) co_return;
      if (MayArriveLate(result.error())) {
        view->second.late_loads[order_id] = WallNow() + timings_.late_order_hold;
      }
    }
  }

  // A refused fence means that another daemon has written the record since, so the group is taken
  // over anew.
  void NoteEngineError(EngineError error) {
    metrics_->engine_errors_total->Increment();
    if (error != EngineError::kStaleFence) return;
    fence_refused_ = true;
    Wake();
  }

  static bool MayArriveLate(EngineError error) {
    return error == EngineError::kTimedOut || error == EngineError::kBroken ||
           error == EngineError::kBadAnswer;
  }

  // The next order for an endpoint that is due now.
  std::optional<EngineOrder> NextOrder(const std::string& endpoint,
                                       std::map<std::string, MonotonicTime>* sent) const {
    const auto view = views_.find(endpoint);
    if (view == views_.end() || !view->second.reachable || !view->second.fence_raised) return {};
    if (!MayAct()) return {};
    for (const PlacedReplica& replica : record_.replicas) {
      if (replica.endpoint != endpoint || replica.state == ReplicaState::kReady) continue;
      const bool load = replica.state == ReplicaState::kLoading;
      if (load && !view->second.may_take_loads()) continue;
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

  void NoteUsed(const std::string& model) {
    demand_[model].NoteUse(MonotonicNow());
    const Model* found = context_.environment()->FindModel(model);
    if (found != nullptr && found->is_adapter()) {
      demand_[found->base].NoteUse(MonotonicNow());
    }
  }

  // False if the model is not one of this group or this daemon does not own it.
  bool NoteDemand(const std::string& daemon, const DemandRequest& request) {
    const Model* model = context_.environment()->FindModel(request.model);
    if (!owning_ || model == nullptr) return false;
    NoteUsed(request.model);
    demand_[request.model].reports[daemon] = {request.waiting,
                                              MonotonicNow() + timings_.demand_lifetime};
    if (request.waiting != WaitingByRank{}) Wake();
    return true;
  }

  DemandAnswer AnswerNow(const std::string& model) const {
    DemandAnswer answer;
    if (!owning_) {
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
  // Wakes the deciding coroutine, the waiting demands, and the endpoints' coroutines.
  Notifier work_;
  Notifier answers_;
  Notifier orders_;
  PlacementRecord record_;
  std::uint64_t version_ = 0;
  LeaseId owning_lease_;
  std::string holder_;
  // The fence of the take-over.
  std::uint64_t owned_fence_ = 0;
  // An engine has a higher fence than the record that this daemon knows.
  bool fence_refused_ = false;
  // When an endpoint was last on the host list and last answered.
  struct Contact {
    MonotonicTime listed_at;
    MonotonicTime answered_at;
    // A coroutine watches the endpoint.
    bool attended = false;
  };

  EndpointViews views_;
  std::map<std::string, Contact> contacts_;
  MonotonicTime hosts_read_at_;
  DemandTable demand_;
  std::set<std::string> unplaced_;
  int endpoint_tasks_ = 0;
  bool work_pending_ = false;
  bool owning_ = false;
  bool stopping_ = false;
  bool finished_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PLACEMENT_OWNER_H_
