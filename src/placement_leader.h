#ifndef MIMOSABEND_PLACEMENT_LEADER_H_
#define MIMOSABEND_PLACEMENT_LEADER_H_

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "adapter_planner.h"
#include "engine_controller.h"
#include "engine_table.h"
#include "fleet_directory.h"
#include "fleet_order.h"
#include "fleet_state.h"
#include "fleet_store.h"
#include "fleet_usage.h"
#include "leader_record.h"
#include "lease_keeper.h"
#include "load_backlog.h"
#include "load_limiter.h"
#include "load_totals.h"
#include "log.h"
#include "model_planner.h"
#include "notifier.h"
#include "relay_plan.h"
#include "supervisor.h"

namespace mimosabend {

struct PlacementLeaderSettings {
  // Identifies the host. A restarted process on the same host need not wait for the orders of the
  // previous one.
  std::string host;
  // Address at which other daemons reach this one.
  Address peer_address;
  // Minimum time between the last order of one holder and the first order of the next.
  milliseconds holder_gap{3000};
  // Engines reject orders with a fencing token lower than the highest one they have seen.
  bool fencing_required = true;
  // Bounds on loads from the weight store, see LoadLimiter.
  seconds ceiling_window{5};
  double ceiling_over = 1.1;
};

// The last orders of a former leader, as it reported them when it resigned or stood down.
struct Handover {
  std::string holder;
  // Time of the last order to each engine, by endpoint id.
  std::map<std::string, MonotonicTime> last_orders;
};

// The placement leader: the only daemon that orders engines to load and unload models and adapters.
// It is elected by a key in the store that is bound to its lease; the fencing token of its orders
// follows from the key's revision. Not thread-safe.
template <FleetStore Store, FleetEngines Engines>
class PlacementLeader {
 public:
  // Precondition: all pointers outlive this object.
  PlacementLeader(boost::asio::any_io_executor executor, Store* store, Engines* engines,
                  LeaseKeeper<Store>* lease, FleetDirectory* directory, FleetState* state,
                  PlacementLeaderSettings settings)
      : store_(store),
        lease_(lease),
        directory_(directory),
        state_(state),
        settings_(std::move(settings)),
        wake_(executor),
        table_(&state->holdings()),
        controller_(executor, engines, &table_, &wake_, MakeAuthority()) {}

  // Whether this daemon leads at `now`.
  bool IsLeader(MonotonicTime now) const {
    if (!term_ || !lease_->Holds(term_->lease)) return false;
    // Engines that check tokens reject orders of a replaced leader, so the term goes on even if the
    // lease can't be renewed.
    return settings_.fencing_required || lease_->SafeLease(now) != nullptr;
  }

  // Whether this daemon leads at `now` and cannot have been replaced.
  bool LeadsAlone(MonotonicTime now) const {
    return IsLeader(now) && lease_->SafeLease(now) != nullptr;
  }

  // Fencing token of the current term; 0 if this daemon does not lead.
  std::uint64_t fence() const { return term_ ? term_->fence : 0; }

  const Address& peer_address() const { return settings_.peer_address; }

  // Becomes the leader if there is none. Returns true if this daemon leads afterwards.
  Task<bool> TryBecomeLeader() {
    const LeaseId* lease = lease_->SafeLease(MonotonicNow());
    if (stopping_ || lease == nullptr) co_return false;
    const LeaseId held = *lease;
    auto holder = co_await store_->Read(kLastHolderKey);
    if (!holder) co_return false;
    const std::uint32_t era = holder.value().era;
    const LeaderRecord record{settings_.peer_address, held};
    std::vector<KvItem> expected{{kLeaderKey, {"", 0}},
                                 {kLastHolderKey, {"", holder.value().version}}};
    std::vector<KvPut> puts{{kLeaderKey, ToString(record), held},
                            {kLastHolderKey, ToString(HolderRecord{settings_.host, era}), {}}};
    auto claimed = co_await store_->Claim(std::move(expected), std::move(puts));
    if (!claimed || !claimed.value().swapped || !lease_->Holds(held)) co_return false;
    // After a restore, the versions may stand for other values than those that were read. The next
    // search reads back what was written.
    if (claimed.value().era != era) co_return false;
    BeginTerm(held, claimed.value().revision(), holder.value());
    co_return true;
  }

  // Begins a term if the leader record in the store was written by this process, for example by a
  // claim whose answer was lost. Returns whether it was.
  bool AdoptClaim(const LeaderRecord& record, StoreRevision revision) {
    const bool own = record.address == settings_.peer_address && lease_->Holds(record.lease);
    // The former holder is unknown, so orders wait as after a change of holder.
    if (own && !term_) BeginTerm(record.lease, revision, KvEntry{"unknown", 1, revision.era});
    return own;
  }

  // The store was restored from an older copy: ends the term, whose key is lost or may belong to
  // another lease. Returns whether this daemon led until then.
  bool BeginEra(std::uint32_t era) {
    if (!term_) return false;
    // If other eras lie between, other daemons may have led in them.
    if (era == term_->era + 1) led_until_era_ = era;
    EndTerm("the store was restored");
    return true;
  }

  // Ends this daemon's term if the request has a higher fencing token. Returns the orders that were
  // sent within the holder gap, unless this daemon still leads.
  StandDownAnswer StandDown(const StandDownRequest& request, MonotonicTime now) {
    StandDownAnswer answer;
    answer.holder = settings_.host;
    if (term_ && request.fence > term_->fence) EndTerm("another daemon leads");
    // The engine states outlive the term, and no order is sent outside of a term.
    if (!term_) answer.recent_orders = table_.RecentOrders(settings_.holder_gap, now);
    return answer;
  }

  // Whether this daemon leads but sends no orders yet, because its predecessor may have sent some
  // within the holder gap.
  bool WaitsForPredecessor(MonotonicTime now) const {
    return IsLeader(now) && now < term_->orders_from;
  }

  // Ends the wait for the predecessor. `handover` has its last orders, after which it sends none;
  // std::nullopt if it could not be reached, in which case the wait ends only if fencing is
  // required. No effect unless WaitsForPredecessor, if the handover is from another host, or if the
  // record of the last holder was restored with the store.
  void EndPredecessorWait(const std::optional<Handover>& handover) {
    const MonotonicTime now = MonotonicNow();
    if (!WaitsForPredecessor(now) || !holder_is_known_) return;
    const bool stood_down = handover && handover->holder == last_holder_;
    if (stood_down) DelayOrders(*handover);
    // Engines that check fencing tokens reject orders of a predecessor that can't be reached.
    if (!stood_down && (handover || !settings_.fencing_required)) return;
    term_->orders_from = now;
    LOG4CPLUS_INFO(Log(), "sending orders before the holder gap ends fence="
                              << term_->fence
                              << " predecessor=" << (stood_down ? "stood down" : "unreachable"));
    wake_.NotifyAll();
  }

  // Stores the handover of a leader that resigns, in case this daemon succeeds it.
  void StoreHandover(Handover handover) { handover_ = std::move(handover); }

  // Sends no more orders and announces that in answers to reports, but stays the leader until Stop.
  void Resign() {
    if (!term_ || resigning_) return;
    resigning_ = true;
    LOG4CPLUS_INFO(Log(), "resigning placement leadership fence=" << term_->fence);
  }

  // Ends the term because the store names another leader.
  void OnOtherLeader() { EndTerm("the store names another leader"); }

  // Ends the term, so that a daemon that reaches the engines can lead. No effect if this one
  // doesn't lead.
  void StepDown() { EndTerm("cut off from the engines"); }

  // Ends the term for good: this daemon does not become the leader again.
  void Stop() {
    stopping_ = true;
    EndTerm("shutting down");
  }

  // Processes a daemon's usage report. The answer has the state that the daemon does not know yet;
  // it is not `accepted` unless this daemon leads.
  UsageAnswer HandleReport(const std::string& sender, const UsageReport& report,
                           MonotonicTime now) {
    UsageAnswer answer;
    if (!IsLeader(now)) return answer;
    loads_.SetLoads(sender, report.loads, report.runs, now);
    table_.RecordAdapterUse(report.runs, now);
    for (std::uint32_t number : report.unreachable) unreachable_[number] = now;
    RecordDemand(sender, report, now);
    relays_->RecordReport(report.sender, now);
    for (const DaemonInfo& daemon : report.relayed) relays_->RecordReport(daemon, now);
    state_->UpdateLeader({fence(), settings_.peer_address, 0}, now);
    answer.accepted = true;
    answer.leader = state_->MakeLeaderNotice(now);
    answer.daemons = static_cast<std::uint32_t>(std::max<std::size_t>(1, relays_->live_daemons()));
    answer.next_report_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(kReportPeriod.count(), loads_.daemons() * kReportMillisPerDaemon));
    AddState(*state_, report.known, now, &answer);
    answer.others = loads_.LoadsExcept(sender);
    std::erase_if(answer.others, [this](const EndpointLoad& load) {
      return IsNegligibleLoad(state_->directory(), load);
    });
    answer.loads = table_.PendingLoads(now);
    // Without planning rounds, the queue is not counted.
    if (MayOrder(now)) answer.backlogs = backlogs_;
    if (resigning_) {
      answer.resigning = true;
      answer.holder = settings_.host;
      answer.recent_orders = table_.RecentOrders(settings_.holder_gap, now);
    }
    return answer;
  }

  // The daemons that have reported recently; empty unless this daemon leads.
  std::vector<DaemonInfo> LiveDaemons(MonotonicTime now) const {
    return IsLeader(now) ? relays_->LiveDaemons(now) : std::vector<DaemonInfo>();
  }

  // Orders an engine that holds the model to load an adapter. Completes once the engine has
  // accepted the order or the attempt has failed.
  Task<AdapterAnswer> PlaceAdapter(AdapterRequest request) {
    AdapterAnswer answer;
    const EngineRecord* engine = table_.Find(request.endpoint);
    const EngineProfilePtr profile = engine == nullptr ? nullptr : ProfileOf(engine->service);
    const bool known = profile != nullptr && profile->models.contains(request.model);
    if (!known || request.adapter.size() > kMaxEncodedNameBytes) co_return answer;
    demand_[engine->service][request.model].AddAdapterDemand(request.adapter, MonotonicNow());
    const ModelAdapter adapter{request.model, request.adapter};
    answer.placed = co_await controller_.PlaceAdapter(request.endpoint, adapter, profile);
    co_return answer;
  }

  // Plans and sends orders while this daemon leads. Returns after Stop.
  Task<void> Run() {
    while (!stopping_) {
      const MonotonicTime now = MonotonicNow();
      if (IsLeader(now)) {
        loads_.PruneExpired(now);
        UpdateRelays(now);
        for (const std::string& id : table_.Sync(*directory_, now)) controller_.StartRefresh(id);
        if (MayOrder(now) && HoldingsKnown(now)) PlanAll(now);
      } else if (term_) {
        EndTerm("lease lost");
      }
      co_await wake_.WaitUntil(MonotonicNow() + kPlanPeriod);
      // Batches reports that arrive together into one planning round.
      co_await Sleep(kBatchDelay);
    }
  }

 private:
  // For this long after a daemon reported an engine as unreachable, the engine is left out of
  // planning, so that its models are loaded elsewhere if requests wait for them.
  static constexpr milliseconds kUnreachableLifetime{1500};
  static constexpr milliseconds kPlanPeriod{150};
  static constexpr milliseconds kBatchDelay{5};
  static constexpr milliseconds kReportPeriod{250};
  // Limits the leader's load to 170 reports per second.
  static constexpr std::int64_t kReportMillisPerDaemon = 6;
  // A new leader starts to plan after this time even if it could not read all engines' holdings.
  static constexpr milliseconds kMaxHoldingsWait{700};
  // Difference between the network delays of two orders.
  static constexpr milliseconds kGapMargin{100};
  // Versions published in a term begin at its fencing token shifted by this many bits, so that they
  // exceed those of earlier terms.
  static constexpr int kVersionBits = 20;
  // A new leader keeps the relay plan for this long, until the fleet has reported to it.
  static constexpr milliseconds kFirstPlanDelay{1000};
  // An engine whose unload has waited this long for requests in flight is no longer counted as a
  // future replica of the model that it is to load next.
  static constexpr milliseconds kUnloadWaitLimit{500};
  // Limit of concurrent adapter loads ahead of demand, well below the number that slows them down.
  static constexpr std::size_t kMaxAdapterLoads = 8;
  // Loads from the weight store that may begin in a window in addition to the rate.
  static constexpr double kCeilingBurst = 3;

  struct Term {
    LeaseId lease;
    std::uint32_t era = 0;
    std::uint64_t fence = 0;
    MonotonicTime began;
    // From this time on the former holder's orders lie at least the holder gap back.
    MonotonicTime orders_from;
  };

  OrderAuthority MakeAuthority() {
    OrderAuthority authority;
    authority.holder = settings_.host;
    authority.fence = [this] { return fence(); };
    authority.may_order = [this](MonotonicTime now) { return MayOrder(now); };
    authority.end_term = [this] { EndTerm("an engine has seen a higher fencing token"); };
    return authority;
  }

  bool MayOrder(MonotonicTime now) const {
    return IsLeader(now) && !resigning_ && now >= term_->orders_from;
  }

  // Whether the holder record names the daemon that led last. A restored one may name an earlier
  // holder, unless it names this daemon and that led until it learned of the restore.
  bool IsLastHolder(const HolderRecord& holder, std::uint32_t era) const {
    if (holder.era == era) return true;
    return holder.host == settings_.host && era > 0 && led_until_era_ == era;
  }

  void BeginTerm(const LeaseId& lease, StoreRevision claimed, const KvEntry& last_holder) {
    const std::uint64_t fence = FencingToken(claimed);
    const HolderRecord holder = ParseHolderRecord(last_holder.value);
    holder_is_known_ = IsLastHolder(holder, claimed.era);
    const bool other = last_holder.exists() && holder.host != settings_.host;
    const bool handed_over =
        holder_is_known_ && other && handover_ && handover_->holder == holder.host;
    const bool wait = !holder_is_known_ || (other && !handed_over);
    const MonotonicTime now = MonotonicNow();
    last_holder_ = holder.host;
    // A predecessor whose lease was revoked may send orders until its safe time has passed.
    const milliseconds gap = settings_.holder_gap + lease_->safe_time();
    term_ = Term{lease, claimed.era, fence, now, now + (wait ? gap : milliseconds(0))};
    resigning_ = false;
    table_.BeginTerm(fence << kVersionBits);
    table_.Sync(*directory_, now);
    if (handed_over) DelayOrders(*handover_);
    handover_.reset();
    load_limiters_.clear();
    loads_ = LoadTotals();
    relays_.emplace(settings_.peer_address, state_->plan(), fence << kVersionBits);
    plan_relays_from_ = now + kFirstPlanDelay;
    state_->UpdateLeader({fence, settings_.peer_address, 0}, now);
    unreachable_.clear();
    backlogs_.clear();
    no_previous_holder_ = !last_holder.exists() && holder_is_known_;
    LOG4CPLUS_INFO(Log(), "leads placement fence="
                              << fence << " last_holder=\"" << holder.host << "\""
                              << (holder_is_known_ ? "" : " restored, waiting for the holder gap"));
    wake_.NotifyAll();
  }

  // Whether the holdings of all engines have been read, or the wait for them has timed out because
  // one can't be reached.
  bool HoldingsKnown(MonotonicTime now) const {
    if (now >= term_->began + kMaxHoldingsWait) return true;
    const auto& engines = table_.engines();
    return std::all_of(engines.begin(), engines.end(),
                       [](const auto& item) { return item.second.known; });
  }

  // Delays orders to the engines of the handover until the holder gap has passed.
  void DelayOrders(const Handover& handover) {
    for (const auto& [id, ordered] : handover.last_orders) {
      EngineRecord* engine = table_.Find(id);
      if (engine != nullptr) engine->retry_at = ordered + settings_.holder_gap + kGapMargin;
    }
  }

  void EndTerm(const std::string& reason) {
    if (!term_) return;
    LOG4CPLUS_INFO(Log(), "no longer leads placement fence=" << term_->fence << " reason=\""
                                                             << reason << "\"");
    term_.reset();
  }

  void RecordDemand(const std::string& sender, const UsageReport& report, MonotonicTime now) {
    bool waiting = false;
    for (const ModelUsage& usage : report.models) {
      demand_[usage.service][usage.model].Add(usage, sender, now);
      waiting = waiting || usage.waiting > 0;
    }
    if (waiting) wake_.NotifyAll();
  }

  void UpdateRelays(MonotonicTime now) {
    if (now < plan_relays_from_) return;
    relays_->Update(now);
    if (state_->AdoptPlan(relays_->plan())) {
      LOG4CPLUS_INFO(Log(), "relay plan updated failure_domains="
                                << relays_->plan().domains.size() << " daemons="
                                << relays_->live_daemons() << " plan=" << relays_->plan().version);
    }
  }

  // nullptr if the service is not configured or has no engines.
  EngineProfilePtr ProfileOf(const std::string& name) const {
    const auto config = directory_->config();
    const RoutedService* service = config == nullptr ? nullptr : config->FindService(name);
    if (service == nullptr || !service->engine) return nullptr;
    return EngineProfilePtr(config, &*service->engine);
  }

  void PlanAll(MonotonicTime now) {
    const auto config = directory_->config();
    if (config == nullptr) return;
    backlogs_.clear();
    for (const auto& [name, service] : config->services) {
      if (!service.engine) continue;
      PlanService(name, ProfileOf(name), now);
      auto backlog = BacklogOf(name, *service.engine, now);
      if (backlog) backlogs_.push_back(std::move(*backlog));
    }
  }

  std::vector<PlannerEngine> EnginesOf(const std::string& service, MonotonicTime now) const {
    std::vector<PlannerEngine> engines;
    for (const auto& [id, engine] : table_.engines()) {
      const DirectoryEntry* entry = directory_->Find(id);
      if (engine.service != service || entry == nullptr) continue;
      if (directory_->UsabilityOf(*entry, now) != Usability::kUsable) continue;
      const bool blocked = !engine.known || !engine.loading.empty() || !engine.IsIdle(now);
      const std::uint32_t number = engine.number();
      const auto unreachable = unreachable_.find(number);
      if (unreachable != unreachable_.end() && now - unreachable->second < kUnreachableLifetime) {
        continue;
      }
      PlannerEngine planned{id, engine.holdings, blocked, engine.loading, {}};
      // Another engine may finish earlier than one that waits for long streams to end.
      if (engine.unloading_since && now - *engine.unloading_since >= kUnloadWaitLimit) {
        planned.loading.clear();
      }
      for (const HeldModel& held : engine.holdings.models) {
        planned.running[held.name] = loads_.RunsAt(number, held.name);
      }
      engines.push_back(std::move(planned));
    }
    return engines;
  }

  // Whether `engine` should still load a model for which a load was planned.
  bool IsStillNeeded(const std::string& service, const EngineProfile& profile,
                     const std::string& engine, const std::string& model, MonotonicTime now) {
    std::uint32_t others = 0;
    for (const auto& [id, other] : table_.engines()) {
      if (id == engine || other.service != service) continue;
      if (other.holdings.Find(model) != nullptr || other.loading == model) ++others;
    }
    const ModelDemandRate& demand = demand_[service][model];
    return others < std::max(1U, WantedReplicas(profile, &demand, table_.engines().size(), now));
  }

  LoadLimiter* LimiterOf(const std::string& service, double rate, MonotonicTime now) {
    const auto it =
        load_limiters_
            .try_emplace(service, rate, settings_.ceiling_window, settings_.ceiling_over,
                         kCeilingBurst, !no_previous_holder_, now)
            .first;
    it->second.SetRate(rate);
    return &it->second;
  }

  void PlanService(const std::string& service, const EngineProfilePtr& profile, MonotonicTime now) {
    LoadLimiter* limiter = LimiterOf(service, profile->loads_per_second, now);
    const std::uint32_t store_loads = limiter->MayStart(now) ? 1 : 0;
    std::vector<PlannerEngine> engines = EnginesOf(service, now);
    // Adapters first: an engine accepts none while it loads a model, which takes much longer than
    // an adapter.
    PreloadAdapters(profile, demand_[service], &engines, now);
    for (const PlannedLoad& load :
         PlanLoads(*profile, engines, demand_[service], store_loads, now)) {
      if (load.from_store) limiter->Start(now);
      EngineRecord* engine = table_.Find(load.engine);
      const ModelProfile& model = profile->models.at(load.model);
      const milliseconds nominal = model.load_from_store;
      engine->loading = load.model;
      engine->ready_at = now + LoadTime(model, SourceOf(engine->holdings, load.model));
      const std::uint64_t term = term_->fence;
      LoadHooks hooks;
      hooks.still_needed = [this, load, service, profile] {
        return IsStillNeeded(service, *profile, load.engine, load.model, MonotonicNow());
      };
      hooks.done = [this, load, service, nominal, term](milliseconds taken) {
        const auto known = load_limiters_.find(service);
        if (!load.from_store || fence() != term || known == load_limiters_.end()) return;
        known->second.End(taken, nominal);
      };
      controller_.StartLoad(load, profile, std::move(hooks));
    }
  }

  // The models for which requests wait and that no engine holds, loads or can load without the
  // weight store; std::nullopt if there are none.
  std::optional<LoadBacklog> BacklogOf(const std::string& service, const EngineProfile& profile,
                                       MonotonicTime now) {
    std::set<std::string> available;
    for (const auto& [id, engine] : table_.engines()) {
      if (engine.service != service) continue;
      for (const HeldModel& held : engine.holdings.models) available.insert(held.name);
      available.insert(engine.holdings.in_memory.begin(), engine.holdings.in_memory.end());
      available.insert(engine.holdings.on_disk.begin(), engine.holdings.on_disk.end());
      available.insert(engine.loading);
    }
    std::vector<QueuedModel> models;
    for (const auto& [name, demand] : demand_[service]) {
      const auto model = profile.models.find(name);
      const bool waits = demand.Waiting(now) > 0 && !available.contains(name);
      if (!waits || model == profile.models.end()) continue;
      models.push_back({demand.waiting_priority(), model->second.load_from_store});
    }
    const LoadLimiter& limiter = *LimiterOf(service, profile.loads_per_second, now);
    return MakeLoadBacklog(service, models, profile.loads_per_second, limiter.limit());
  }

  // Starts adapter loads into free slots, and marks these engines as blocked for model loads.
  void PreloadAdapters(const EngineProfilePtr& profile, const DemandRates& demand,
                       std::vector<PlannerEngine>* engines, MonotonicTime now) {
    const std::size_t running = controller_.adapter_loads_in_flight();
    if (running >= kMaxAdapterLoads) return;
    for (const PlannedAdapter& planned :
         PlanAdapters(*profile, *engines, demand, kMaxAdapterLoads - running, now)) {
      controller_.StartAdapterLoad(planned.engine, {planned.model, planned.adapter}, profile);
      const auto engine =
          std::find_if(engines->begin(), engines->end(),
                       [&](const PlannerEngine& item) { return item.id == planned.engine; });
      engine->blocked = true;
    }
  }

  Store* store_;
  LeaseKeeper<Store>* lease_;
  FleetDirectory* directory_;
  FleetState* state_;
  PlacementLeaderSettings settings_;
  Notifier wake_;
  EngineTable table_;
  EngineController<Engines> controller_;
  std::optional<Term> term_;
  std::optional<Handover> handover_;
  // The host that led before this term.
  std::string last_holder_;
  // False if the holder record was restored with the store, so that an unknown daemon may have led.
  bool holder_is_known_ = true;
  // The era whose begin ended a term of this daemon; 0 for none.
  std::uint32_t led_until_era_ = 0;
  bool resigning_ = false;
  // No leader preceded this term, so no load has been counted against the ceiling yet.
  bool no_previous_holder_ = false;
  bool stopping_ = false;
  LoadTotals loads_;
  // Set in a term.
  std::optional<RelayPlanner> relays_;
  MonotonicTime plan_relays_from_;
  // Time at which a daemon last reported an endpoint as unreachable, by endpoint number.
  std::map<std::uint32_t, MonotonicTime> unreachable_;
  // By service.
  std::map<std::string, LoadLimiter> load_limiters_;
  // By service and model.
  std::map<std::string, DemandRates> demand_;
  // As of the last planning round.
  std::vector<LoadBacklog> backlogs_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PLACEMENT_LEADER_H_
