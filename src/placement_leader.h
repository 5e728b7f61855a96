#ifndef MIMOSABEND_PLACEMENT_LEADER_H_
#define MIMOSABEND_PLACEMENT_LEADER_H_

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "adapter_planner.h"
#include "engine_controller.h"
#include "engine_ledger.h"
#include "fleet_directory.h"
#include "fleet_order.h"
#include "fleet_state.h"
#include "fleet_store.h"
#include "fleet_usage.h"
#include "leader_record.h"
#include "lease_keeper.h"
#include "load_allowance.h"
#include "load_sums.h"
#include "log.h"
#include "model_planner.h"
#include "notifier.h"
#include "relay_plan.h"
#include "supervisor.h"

namespace mimosabend {

struct PlacementLeaderSettings {
  // Identifies the host: a restarted process of it need not wait for its former orders.
  std::string host;
  // Where other daemons reach this one.
  Address peer_address;
  // Time between the last order of one holder and the first of another.
  milliseconds holder_gap{3000};
  // Engines refuse orders with a lower fencing token than one they have seen.
  bool fencing_required = true;
  seconds ceiling_window{5};
  double ceiling_over = 1.1;
};

// What a leader that resigned told of its last orders.
struct Handover {
  std::string holder;
  // When engines had their last order, by id.
  std::map<std::string, MonotonicTime> last_orders;
};

// The one daemon that orders loads and unloads. It is elected by a key in the store that is bound
// to its lease; the key's revision is the fencing token of its orders. Not thread-safe.
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
        ledger_(&state->holdings()),
        controller_(executor, engines, &ledger_, &wake_, MakeAuthority()) {}

  // Whether this daemon leads at `now`.
  bool IsLeader(MonotonicTime now) const {
    if (!term_ || !lease_->Holds(term_->lease)) return false;
    // Engines that check tokens refuse a leader that has been replaced, so a lease that can't be
    // renewed does not end its term.
    return settings_.fencing_required || lease_->SafeLease(now) != nullptr;
  }

  // Fencing token of the term in force; 0 outside of a term.
  std::uint64_t fence() const { return term_ ? term_->fence : 0; }

  const Address& peer_address() const { return settings_.peer_address; }

  // Takes the lead if nobody has it. Returns true if this daemon leads afterwards.
  Task<bool> TryTakeLead() {
    const LeaseId* lease = lease_->SafeLease(MonotonicNow());
    if (stopping_ || lease == nullptr) co_return false;
    const LeaseId held = *lease;
    auto holder = co_await store_->Read(kLastHolderKey);
    if (!holder) co_return false;
    const LeaderRecord record{settings_.peer_address, held};
    std::vector<KvItem> expected{{kLeaderKey, {"", 0}},
                                 {kLastHolderKey, {"", holder.value().version}}};
    std::vector<KvPut> puts{{kLeaderKey, ToString(record), held},
                            {kLastHolderKey, settings_.host, {}}};
    auto claimed = co_await store_->Claim(std::move(expected), std::move(puts));
    if (!claimed || !claimed.value().swapped || !lease_->Holds(held)) co_return false;
    BeginTerm(held, claimed.value().version, holder.value());
    co_return true;
  }

  // Takes the lead if a record in the store is a claim of this process. Returns true if it is.
  bool AdoptClaim(const LeaderRecord& record, std::uint64_t version) {
    const bool own = record.address == settings_.peer_address && lease_->Holds(record.lease);
    // The former holder is not known, so any order waits as after a change of the holder.
    if (own && !term_) BeginTerm(record.lease, version, KvEntry{"unknown", 1});
    return own;
  }

  // Ends the term for another leader's, and tells which orders were sent lately.
  StandDownAnswer StandDown(const StandDownRequest& request, MonotonicTime now) {
    StandDownAnswer answer;
    answer.holder = settings_.host;
    if (term_ && request.fence > term_->fence) EndTerm("another daemon leads");
    // The ledger outlives the term, and no order is sent without one.
    if (!term_) answer.recent_orders = ledger_.RecentOrders(settings_.holder_gap, now);
    return answer;
  }

  // Whether this daemon leads, but leaves the time between two holders to its predecessor's orders.
  bool WaitsForPredecessor(MonotonicTime now) const {
    return IsLeader(now) && now < term_->orders_from;
  }

  // Notes what the predecessor has told of its last orders, after which it sends none;
  // std::nullopt if it could not be reached.
  void NotePredecessor(const std::optional<Handover>& handover) {
    const MonotonicTime now = MonotonicNow();
    if (!WaitsForPredecessor(now)) return;
    const bool told = handover && handover->holder == last_holder_;
    if (told) KeepGaps(*handover);
    // Engines that check fences refuse what a predecessor sends that is cut off.
    if (!told && (handover || !settings_.fencing_required)) return;
    term_->orders_from = now;
    LOG4CPLUS_INFO(Log(), "orders at once fence=" << term_->fence << " predecessor="
                                                  << (told ? "stood down" : "unreachable"));
    wake_.NotifyAll();
  }

  // Notes that the present leader resigns. Its successor may be this daemon.
  void NoteHandover(Handover handover) { handover_ = std::move(handover); }

  // Sends no more orders and tells so, but stays the leader until Stop.
  void Resign() {
    if (!term_ || resigning_) return;
    resigning_ = true;
    LOG4CPLUS_INFO(Log(), "resigns placement fence=" << term_->fence);
  }

  // Notes that the store names another leader.
  void NoteOtherLeader() { EndTerm("the store names another leader"); }

  // Gives the lead up for good.
  void Stop() {
    stopping_ = true;
    EndTerm("stops");
  }

  // Takes in a daemon's report and answers with what it does not know yet.
  UsageAnswer HandleReport(const std::string& sender, const UsageReport& report,
                           MonotonicTime now) {
    UsageAnswer answer;
    if (!IsLeader(now)) return answer;
    loads_.Note(sender, report.loads, report.runs, now);
    ledger_.NoteAdapterUse(report.runs, now);
    for (std::uint32_t number : report.unreachable) unreachable_[number] = now;
    NoteDemand(sender, report, now);
    relays_->Note(report.sender, now);
    for (const DaemonInfo& daemon : report.relayed) relays_->Note(daemon, now);
    state_->NoteLeader({fence(), settings_.peer_address, 0}, now);
    answer.accepted = true;
    answer.leader = state_->Notice(now);
    answer.daemons = static_cast<std::uint32_t>(std::max<std::size_t>(1, relays_->live_daemons()));
    answer.next_report_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(kReportPeriod.count(), loads_.daemons() * kReportMillisPerDaemon));
    AddState(*state_, report.known, now, &answer);
    answer.others = loads_.OthersOf(sender);
    std::erase_if(answer.others,
                  [this](const EndpointLoad& load) { return IsLight(state_->directory(), load); });
    answer.loads = ledger_.PendingLoads(now);
    if (resigning_) {
      answer.resigning = true;
      answer.holder = settings_.host;
      answer.recent_orders = ledger_.RecentOrders(settings_.holder_gap, now);
    }
    return answer;
  }

  // Orders an adapter to an engine that holds its model. Returns once the engine has accepted it.
  Task<AdapterAnswer> PlaceAdapter(AdapterRequest request) {
    AdapterAnswer answer;
    const LedgerEngine* engine = ledger_.Find(request.endpoint);
    const EngineProfilePtr profile = engine == nullptr ? nullptr : ProfileOf(engine->service);
    if (profile == nullptr) co_return answer;
    demand_[engine->service][request.model].AddAdapterDemand(request.adapter, MonotonicNow());
    const ModelAdapter adapter{request.model, request.adapter};
    answer.placed = co_await controller_.PlaceAdapter(request.endpoint, adapter, profile);
    co_return answer;
  }

  // Plans and orders while this daemon leads.
  Task<void> Run() {
    while (!stopping_) {
      const MonotonicTime now = MonotonicNow();
      if (IsLeader(now)) {
        loads_.DropSilent(now);
        UpdateRelays(now);
        for (const std::string& id : ledger_.Follow(*directory_, now)) controller_.StartRefresh(id);
        if (MayOrder(now) && KnowsEngines(now)) PlanAll(now);
      } else if (term_) {
        EndTerm("the lease has ended");
      }
      co_await wake_.WaitUntil(MonotonicNow() + kPlanPeriod);
      // Reports that arrive together are planned together.
      co_await Sleep(kWakeDelay);
    }
  }

 private:
  // An engine that a daemon can't reach counts for nothing until then, so that its models are
  // loaded elsewhere if requests wait for them.
  static constexpr milliseconds kUnreachableTime{1500};
  static constexpr milliseconds kPlanPeriod{150};
  static constexpr milliseconds kWakeDelay{5};
  static constexpr milliseconds kReportPeriod{250};
  // Keeps the reports at the leader below 170 a second.
  static constexpr std::int64_t kReportMillisPerDaemon = 6;
  // A new leader plans after this time even if it does not know all engines.
  static constexpr milliseconds kFirstReadTime{700};
  // An order may take this much longer on its way than another one.
  static constexpr milliseconds kGapMargin{100};
  // Versions that one term may publish: its versions begin at its fence times this.
  static constexpr int kVersionBits = 20;
  // A new leader leaves the plan of the relays as it is until the fleet has reported to it.
  static constexpr milliseconds kFirstPlanDelay{1000};
  // An engine that waits this long for running requests before it drops a model no longer counts
  // as one that loads the next.
  static constexpr milliseconds kUnloadPatience{500};
  // Adapters that are fetched ahead of requests at a time, well below what slows the fetches.
  static constexpr std::size_t kAdaptersAtOnce = 8;
  // Loads that may begin in a window beyond the rate.
  static constexpr double kCeilingExtra = 3;

  struct Term {
    LeaseId lease;
    std::uint64_t fence = 0;
    MonotonicTime began;
    // Orders of the former holder lie far enough back from then on.
    MonotonicTime orders_from;
  };

  OrderAuthority MakeAuthority() {
    OrderAuthority authority;
    authority.holder = settings_.host;
    authority.fence = [this] { return fence(); };
    authority.may_order = [this](MonotonicTime now) { return MayOrder(now); };
    authority.give_up = [this] { EndTerm("an engine has seen a higher fence"); };
    return authority;
  }

  bool MayOrder(MonotonicTime now) const {
    return IsLeader(now) && !resigning_ && now >= term_->orders_from;
  }

  void BeginTerm(const LeaseId& lease, std::uint64_t fence, const KvEntry& last_holder) {
    const bool other = last_holder.exists() && last_holder.value != settings_.host;
    const bool handed_over = other && handover_ && handover_->holder == last_holder.value;
    const bool wait = other && !handed_over;
    const MonotonicTime now = MonotonicNow();
    last_holder_ = last_holder.value;
    // A predecessor whose lease was taken away may order until the lease is no longer safe.
    const milliseconds gap = settings_.holder_gap + lease_->safe_time();
    term_ = Term{lease, fence, now, now + (wait ? gap : milliseconds(0))};
    resigning_ = false;
    ledger_.BeginTerm(fence << kVersionBits);
    ledger_.Follow(*directory_, now);
    if (handed_over) KeepGaps(*handover_);
    handover_.reset();
    allowances_.clear();
    loads_ = LoadSums();
    relays_.emplace(settings_.peer_address, state_->plan(), fence << kVersionBits);
    plan_relays_from_ = now + kFirstPlanDelay;
    state_->NoteLeader({fence, settings_.peer_address, 0}, now);
    unreachable_.clear();
    first_holder_ = !last_holder.exists();
    LOG4CPLUS_INFO(
        Log(), "leads placement fence=" << fence << " last_holder=\"" << last_holder.value << "\"");
    wake_.NotifyAll();
  }

  // Whether the engines have been asked what they hold and have copies of. One that can't be
  // reached is not waited for.
  bool KnowsEngines(MonotonicTime now) const {
    if (now >= term_->began + kFirstReadTime) return true;
    const auto& engines = ledger_.engines();
    return std::all_of(engines.begin(), engines.end(),
                       [](const auto& item) { return item.second.known; });
  }

  // Leaves the gap between two holders at the engines that had an order lately.
  void KeepGaps(const Handover& handover) {
    for (const auto& [id, ordered] : handover.last_orders) {
      LedgerEngine* engine = ledger_.Find(id);
      if (engine != nullptr) engine->retry_at = ordered + settings_.holder_gap + kGapMargin;
    }
  }

  void EndTerm(const std::string& reason) {
    if (!term_) return;
    LOG4CPLUS_INFO(Log(), "no longer leads placement fence=" << term_->fence << " reason=\""
                                                             << reason << "\"");
    term_.reset();
  }

  void NoteDemand(const std::string& sender, const UsageReport& report, MonotonicTime now) {
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
      LOG4CPLUS_INFO(Log(), "relays of " << relays_->plan().domains.size()
                                         << " failure domains, daemons=" << relays_->live_daemons()
                                         << " plan=" << relays_->plan().version);
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
    for (const auto& [name, service] : config->services) {
      if (service.engine) Plan(name, ProfileOf(name), now);
    }
  }

  std::vector<PlannerEngine> EnginesOf(const std::string& service, MonotonicTime now) const {
    std::vector<PlannerEngine> engines;
    for (const auto& [id, engine] : ledger_.engines()) {
      const DirectoryEntry* entry = directory_->Find(id);
      if (engine.service != service || entry == nullptr) continue;
      if (directory_->UsabilityOf(*entry, now) != Usability::kUsable) continue;
      const bool blocked = !engine.known || !engine.loading.empty() || !engine.IsIdle(now);
      const std::uint32_t number = engine.number();
      const auto unreachable = unreachable_.find(number);
      if (unreachable != unreachable_.end() && now - unreachable->second < kUnreachableTime) {
        continue;
      }
      PlannerEngine planned{id, engine.holdings, blocked, engine.loading, {}};
      // Another engine may be done earlier than one that waits for long streams to end.
      if (engine.unloading_since && now - *engine.unloading_since >= kUnloadPatience) {
        planned.loading.clear();
      }
      for (const HeldModel& held : engine.holdings.models) {
        planned.running[held.name] = loads_.RunsAt(number, held.name);
      }
      engines.push_back(std::move(planned));
    }
    return engines;
  }

  // Whether a model that an engine was to load is still needed there.
  bool IsStillNeeded(const std::string& service, const EngineProfile& profile,
                     const std::string& engine, const std::string& model, MonotonicTime now) {
    std::uint32_t others = 0;
    for (const auto& [id, other] : ledger_.engines()) {
      if (id == engine || other.service != service) continue;
      if (other.holdings.Find(model) != nullptr || other.loading == model) ++others;
    }
    const ModelDemandRate& demand = demand_[service][model];
    return others < std::max(1U, WantedReplicas(profile, &demand, ledger_.engines().size(), now));
  }

  LoadAllowance* AllowanceOf(const std::string& service, double rate, MonotonicTime now) {
    const auto it = allowances_
                        .try_emplace(service, rate, settings_.ceiling_window,
                                     settings_.ceiling_over, kCeilingExtra, !first_holder_, now)
                        .first;
    it->second.SetRate(rate);
    return &it->second;
  }

  void Plan(const std::string& service, const EngineProfilePtr& profile, MonotonicTime now) {
    LoadAllowance* allowance = AllowanceOf(service, profile->loads_per_second, now);
    const std::uint32_t store_loads = allowance->MayStart(now) ? 1 : 0;
    std::vector<PlannerEngine> engines = EnginesOf(service, now);
    // An engine takes no adapters while it loads a model, which lasts much longer than a fetch.
    FillAdapters(profile, demand_[service], &engines, now);
    for (const PlannedLoad& load :
         PlanLoads(*profile, engines, demand_[service], store_loads, now)) {
      if (load.from_store) allowance->Start(now);
      LedgerEngine* engine = ledger_.Find(load.engine);
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
        const auto known = allowances_.find(service);
        if (!load.from_store || fence() != term || known == allowances_.end()) return;
        known->second.End(taken, nominal);
      };
      controller_.StartLoad(load, profile, std::move(hooks));
    }
  }

  // Has engines fetch adapters into free places, and blocks these engines for loads.
  void FillAdapters(const EngineProfilePtr& profile, const DemandRates& demand,
                    std::vector<PlannerEngine>* engines, MonotonicTime now) {
    const std::size_t running = controller_.adapters_on_their_way();
    if (running >= kAdaptersAtOnce) return;
    for (const PlannedAdapter& planned :
         PlanAdapters(*profile, *engines, demand, kAdaptersAtOnce - running, now)) {
      controller_.StartAdapter(planned.engine, {planned.model, planned.adapter}, profile);
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
  EngineLedger ledger_;
  EngineController<Engines> controller_;
  std::optional<Term> term_;
  std::optional<Handover> handover_;
  // Who led before this term.
  std::string last_holder_;
  bool resigning_ = false;
  // Nobody has led before this term, so the ceiling on loads is untouched.
  bool first_holder_ = false;
  bool stopping_ = false;
  LoadSums loads_;
  // Set in a term.
  std::optional<RelayPlanner> relays_;
  MonotonicTime plan_relays_from_;
  // When a daemon last said that it can't reach an endpoint, by number.
  std::map<std::uint32_t, MonotonicTime> unreachable_;
  std::map<std::string, LoadAllowance> allowances_;
  // By service and model.
  std::map<std::string, DemandRates> demand_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PLACEMENT_LEADER_H_
