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

// Owns one placement group: takes it over, decides its loads and unloads, writes each decision
// before it is ordered, and carries the orders out with one coroutine for each endpoint. Not
// thread-safe.
template <KvStore Kv, EngineControl Engine>
class PlacementOwner : public std::enable_shared_from_this<PlacementOwner<Kv, Engine>> {
 public:
  // Precondition: all pointers outlive this object.
  PlacementOwner(boost::asio::any_io_executor executor, GroupId group, OwnerContext context, Kv* kv,
                 LeaseKeeper<Kv>* lease, Engine* engine, Metrics* metrics)
      : executor_(executor),
        group_(std::move(group)),
        context_(std::move(context)),
        kv_(kv),
        lease_(lease),
        engine_(engine),
        metrics_(metrics),
        work_(executor),
        answers_(executor),
        orders_(executor) {}

  const GroupId& group() const { return group_; }
  bool is_owner() const { return owning_; }
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
        co_await Sleep(kTakeOverRetry);
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
      DemandAnswer answer = known || !owning_ ? AnswerNow(request.model) : DemandAnswer{};
      const bool final = answer.status != DemandStatus::kLoading;
      if (final || MonotonicNow() >= deadline || stopping_) co_return answer;
      co_await answers_.WaitUntil(deadline);
    }
  }

 private:
  static constexpr milliseconds kTakeOverRetry{500};
  static constexpr milliseconds kDecidePeriod{500};
  static constexpr milliseconds kEndpointPeriod{500};
  static constexpr milliseconds kLoadingPeriod{50};
  static constexpr milliseconds kOrderRepeat{1000};
  // Demand that is not repeated within this time counts no more.
  static constexpr milliseconds kDemandLifetime{3000};
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

  bool MayAct() const { return owning_ && lease_->SafeLease(MonotonicNow()) != nullptr; }

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
    if (!acquired || !acquired.value()) co_return false;
    auto entry = co_await kv_->Read(RecordKey());
    if (!entry) co_return false;
    PlacementRecord record;
    if (entry.value().exists()) {
      std::optional<PlacementRecord> stored = Decode<PlacementRecord>(entry.value().value);
      if (!stored) throw std::runtime_error("placement record of " + RecordKey() + " is malformed");
      record = std::move(*stored);
    }
    version_ = entry.value().version;
    const bool new_owner = record.owner != OwnerTag(lease);
    if (new_owner) {
      ++record.fence;
      record.owner = OwnerTag(lease);
      if (PoolFencing() == Fencing::kIgnored) ReserveForLateOrders(WallNow(), &record);
    }
    const WriteResult result = co_await Write(std::move(record));
    if (result != WriteResult::kWritten) co_return false;
    owning_lease_ = lease;
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
    answers_.NotifyAll();
    orders_.NotifyAll();
    while (endpoint_tasks_ > 0) co_await Sleep(kLoadingPeriod);
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
    while (!stopping_ && lease_->Holds(owning_lease_)) {
      work_pending_ = false;
      RefreshHosts();
      if (lease_->SafeLease(MonotonicNow()) != nullptr) {
        const bool kept = co_await DecideOnce();
        if (!kept) co_return;
      }
      answers_.NotifyAll();
      if (!work_pending_) co_await work_.WaitUntil(MonotonicNow() + kDecidePeriod);
    }
  }

  // False if another daemon has written the record.
  Task<bool> DecideOnce() {
    PlacementRecord next = record_;
    const Now now{MonotonicNow(), WallNow()};
    const ObservationResult observed = ApplyObservations(views_, now, &next);
    const auto environment = context_.environment();
    PlanResult plan;
    if (environment->FindPool(group_.pool) != nullptr) {
      plan = PlanGroup(*environment, group_, views_, demand_, now, &next, ReadStoreLoad(now));
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

  // Starts a coroutine for each endpoint that is new on the host list.
  void RefreshHosts() {
    const Pool* pool = context_.environment()->FindPool(group_.pool);
    if (pool == nullptr) return;
    for (auto& [id, view] : views_) view.listed = false;
    for (const Host& host : context_.hosts()) {
      if (host.serves != group_.pool || GroupOfEndpoint(*pool, host) != group_) continue;
      const auto [it, inserted] = views_.try_emplace(host.id);
      it->second.host = host;
      it->second.listed = true;
      if (inserted) {
        boost::asio::co_spawn(executor_, Attend(this->shared_from_this(), host.id),
                              boost::asio::detached);
      }
    }
  }

  // Watches one endpoint and sends it its orders, one after another.
  static Task<void> Attend(std::shared_ptr<PlacementOwner> self, std::string endpoint) {
    ++self->endpoint_tasks_;
    std::map<std::string, MonotonicTime> sent;
    while (self->owning_ && self->views_.contains(endpoint)) {
      co_await self->Observe(endpoint);
      co_await self->SendOrders(endpoint, &sent);
      const auto view = self->views_.find(endpoint);
      if (view == self->views_.end()) break;
      if (!view->second.listed && !view->second.reachable) {
        if (!self->HasReplicas(endpoint)) {
          self->views_.erase(view);
          break;
        }
      }
      const auto period = self->HasTransitions(endpoint) ? kLoadingPeriod : kEndpointPeriod;
      co_await self->orders_.WaitUntil(MonotonicNow() + period);
    }
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

  Task<void> Observe(std::string endpoint) {
    const Address address = views_.at(endpoint).host.address;
    if (PoolFencing() == Fencing::kHonoured && !views_.at(endpoint).fence_raised) {
      auto raised = co_await engine_->RaiseFence(address, record_.fence);
      const auto view = views_.find(endpoint);
      if (view == views_.end()) co_return;
      view->second.fence_raised = static_cast<bool>(raised);
    }
    auto state = co_await engine_->State(address);
    const auto it = views_.find(endpoint);
    if (it == views_.end()) co_return;
    EndpointView& view = it->second;
    const bool was_reachable = view.reachable;
    view.reachable = static_cast<bool>(state);
    if (state) {
      // A restarted engine has forgotten its fence.
      if (view.state.incarnation != state.value().incarnation) view.fence_raised = false;
      view.state = std::move(state).value();
      if (PoolFencing() == Fencing::kIgnored) view.fence_raised = true;
      if (view.state.fence >= record_.fence) view.fence_raised = true;
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
    std::vector<EngineOrder> orders;
    for (const PlacedReplica& replica : record_.replicas) {
      if (replica.endpoint != endpoint || replica.state == ReplicaState::kReady) continue;
      EngineOrder order;
      order.order_id = replica.order_id;
      order.fence = record_.fence;
      order.kind = replica.state == ReplicaState::kLoading ? OrderKind::kLoad : OrderKind::kUnload;
      order.model = replica.model;
      order.base = replica.base;
      order.version = replica.version;
      order.memory_mib = replica.memory_mib;
      orders.push_back(std::move(order));
    }
    for (EngineOrder& order : orders) {
      const auto view = views_.find(endpoint);
      if (view == views_.end() || !view->second.reachable || !view->second.fence_raised) co_return;
      const std::string attempt = order.order_id + std::string(kOrderKindNames[order.kind]);
      MonotonicTime& last = (*sent)[attempt];
      if (MonotonicNow() - last < kOrderRepeat) continue;
      if (!MayAct()) co_return;
      last = MonotonicNow();
      const bool load = order.kind == OrderKind::kLoad;
      (load ? metrics_->load_orders_total : metrics_->unload_orders_total)->Increment();
      const Address address = view->second.host.address;
      auto result = co_await engine_->Order(address, std::move(order));
      if (!result) metrics_->engine_errors_total->Increment();
    }
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
    demand_[request.model].reports[daemon] = {request.waiting, MonotonicNow() + kDemandLifetime};
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
      if (view == views_.end() || view->second.host.state != HostState::kLive) continue;
      const EndpointView& endpoint = view->second;
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
  // Wakes the deciding coroutine, the waiting demands, and the endpoints' coroutines.
  Notifier work_;
  Notifier answers_;
  Notifier orders_;
  PlacementRecord record_;
  std::uint64_t version_ = 0;
  LeaseId owning_lease_;
  EndpointViews views_;
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
