#ifndef MIMOSABEND_PLACEMENT_LEADER_H_
#define MIMOSABEND_PLACEMENT_LEADER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "directory_feed.h"
#include "fleet_directory.h"
#include "fleet_order.h"
#include "fleet_store.h"
#include "fleet_usage.h"
#include "lease_keeper.h"
#include "load_allowance.h"
#include "log.h"
#include "model_planner.h"
#include "notifier.h"
#include "supervisor.h"

namespace mimosabend {

// Keys of this program in the store.
inline constexpr char kLeaderKey[] = "mimosabend/leader";
inline constexpr char kLastHolderKey[] = "mimosabend/holder";

// What the leader's key holds: where the leader is, the lease that it claimed the key with, and the
// key with which messages to it are signed.
struct LeaderRecord {
  Address address;
  LeaseId lease;
  std::string message_key;
};

// "IP:PORT LEASE KEY". Thread-safe.
inline std::string ToString(const LeaderRecord& record) {
  return ToString(record.address) + " " + record.lease + " " + record.message_key;
}

// Parses what ToString writes. Thread-safe.
inline std::optional<LeaderRecord> ParseLeaderRecord(const std::string& text) {
  std::istringstream words(text);
  std::string address_text;
  LeaderRecord record;
  words >> address_text >> record.lease >> record.message_key;
  const auto address = ParseAddress(address_text);
  if (!address || record.message_key.empty()) return std::nullopt;
  record.address = *address;
  return record;
}

struct PlacementLeaderSettings {
  // Identifies the host: a restarted process of it need not wait for its former orders.
  std::string host;
  // Where other daemons reach this one, and the key with which they sign their messages.
  Address peer_address;
  std::string message_key;
  // Time between the last order of one holder and the first of another.
  milliseconds holder_gap{3000};
  // Engines refuse orders with a lower fencing token than one they have seen.
  bool fencing_required = true;
  seconds ceiling_window{5};
  double ceiling_over = 1.1;
  // Whether this daemon's directory is what the store holds now.
  std::function<bool(MonotonicTime)> store_is_fresh = [](MonotonicTime) { return false; };
};

// The one daemon that orders loads and unloads. It is elected by a key in the store that is bound
// to its lease; the key's revision is the fencing token of its orders. Not thread-safe.
template <FleetStore Store, FleetEngines Engines>
class PlacementLeader {
 public:
  // Precondition: all pointers outlive this object.
  PlacementLeader(boost::asio::any_io_executor executor, Store* store, Engines* engines,
                  LeaseKeeper<Store>* lease, FleetDirectory* directory,
                  PlacementLeaderSettings settings)
      : executor_(std::move(executor)),
        store_(store),
        engines_(engines),
        lease_(lease),
        directory_(directory),
        settings_(std::move(settings)),
        wake_(executor_) {}

  // Whether this daemon may order at `now`.
  bool IsLeader(MonotonicTime now) const {
    if (!term_ || !lease_->Holds(term_->lease)) return false;
    // Engines that check tokens refuse a leader that has been replaced, so a lease that can't be
    // renewed does not end its term.
    return settings_.fencing_required || lease_->SafeLease(now) != nullptr;
  }

  std::uint64_t fence() const { return term_ ? term_->fence : 0; }

  // Takes the lead if nobody has it. Returns true if this daemon leads afterwards.
  Task<bool> TryTakeLead() {
    const MonotonicTime now = MonotonicNow();
    const LeaseId* lease = lease_->SafeLease(now);
    if (stopping_ || lease == nullptr) co_return false;
    const LeaseId held = *lease;
    auto holder = co_await store_->Read(kLastHolderKey);
    if (!holder) co_return false;
    const LeaderRecord record{settings_.peer_address, held, settings_.message_key};
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

  const Address& peer_address() const { return settings_.peer_address; }

  // Notes that the store names another leader.
  void NoteOtherLeader() { EndTerm("the store names another leader"); }

  // Gives the lead up for good.
  void Stop() {
    stopping_ = true;
    EndTerm("stops");
  }

  // Takes in a daemon's report and answers with the leader's news.
  UsageAnswer HandleReport(const std::string& sender, const UsageReport& report,
                           MonotonicTime now) {
    UsageAnswer answer;
    if (!IsLeader(now)) return answer;
    NoteLoads(sender, report, now);
    NoteAdapters(report, now);
    bool waiting = false;
    for (const ModelUsage& usage : report.models) {
      demand_[usage.service][usage.model].Add(usage, sender, now);
      waiting = waiting || usage.waiting > 0;
    }
    if (waiting) wake_.NotifyAll();
    answer.is_leader = true;
    answer.fence = term_->fence;
    answer.news_version = news_version_;
    answer.daemons = static_cast<std::uint32_t>(daemons_.size());
    answer.next_report_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(kReportPeriod.count(), answer.daemons * kReportMillisPerDaemon));
    AddDirectory(report, now, &answer);
    const std::uint64_t known = report.fence == term_->fence ? report.news_version : 0;
    for (const auto& [id, engine] : states_) {
      const auto number = feed_.NumberOf(id);
      if (number && engine.known && engine.news_version > known) {
        answer.news.push_back(NewsOf(*number, engine));
      }
      if (engine.loading.empty()) continue;
      const auto left = std::chrono::duration_cast<milliseconds>(engine.ready_at - now).count();
      answer.loads.push_back(
          {engine.loading, static_cast<std::uint32_t>(std::max<std::int64_t>(0, left))});
    }
    answer.others = OthersOf(sender);
    return answer;
  }

  // Orders an adapter to an engine that holds its model. Returns once the engine has accepted it.
  Task<AdapterAnswer> PlaceAdapter(AdapterRequest request) {
    AdapterAnswer answer;
    const MonotonicTime deadline = MonotonicNow() + kAdapterWait;
    while (MonotonicNow() < deadline) {
      EngineControlState* engine = Find(request.endpoint);
      const bool ready = engine != nullptr && engine->known && MayOrder(MonotonicNow());
      if (!ready || engine->holdings.Find(request.model) == nullptr) co_return answer;
      if (HasAdapter(engine->holdings, request.model, request.adapter)) {
        engine->adapter_use[request.model + "/" + request.adapter] = MonotonicNow();
        answer.placed = true;
        co_return answer;
      }
      if (engine->busy || MonotonicNow() < engine->retry_at) {
        co_await wake_.WaitUntil(std::min(deadline, MonotonicNow() + kAdapterPoll));
        continue;
      }
      co_await OrderAdapter(request);
    }
    co_return answer;
  }

  // Plans and orders while this daemon leads.
  Task<void> Run() {
    while (!stopping_) {
      const MonotonicTime now = MonotonicNow();
      if (IsLeader(now)) {
        FollowDirectory(now);
        DropSilentDaemons(now);
        if (MayOrder(now)) PlanAll(now);
      } else if (term_) {
        EndTerm("the lease has ended");
      }
      co_await wake_.WaitUntil(MonotonicNow() + kPlanPeriod);
      // Reports that arrive together are planned together.
      co_await Sleep(kWakeDelay);
    }
  }

 private:
  static constexpr milliseconds kPlanPeriod{150};
  static constexpr milliseconds kWakeDelay{5};
  static constexpr milliseconds kReportPeriod{250};
  // Keeps the reports at the leader below 170 a second.
  static constexpr std::int64_t kReportMillisPerDaemon = 6;
  static constexpr milliseconds kDaemonLifetime{5000};
  static constexpr milliseconds kOrderTimeout{500};
  static constexpr milliseconds kReportTimeout{500};
  static constexpr milliseconds kOrderRetryDelay{150};
  static constexpr milliseconds kProgressPoll{60};
  // Longest age of what an engine reports.
  static constexpr milliseconds kReportLag{1000};
  static constexpr milliseconds kAdapterPoll{30};
  static constexpr milliseconds kAdapterWait{400};
  // Time to fetch an adapter while few are on their way.
  static constexpr milliseconds kAdapterFetch{12};
  // An engine's holdings are read again after this time without an order.
  static constexpr seconds kRefreshPeriod{10};
  // A load that takes this many times longer than at full speed is no longer waited for.
  static constexpr int kLoadPatience = 20;
  // Loads that may begin in a window beyond the rate.
  static constexpr double kCeilingExtra = 3;

  struct Term {
    LeaseId lease;
    std::uint64_t fence = 0;
    MonotonicTime orders_from;
  };

  struct EngineControlState {
    std::string service;
    Address address;
    std::int64_t started_ms = 0;
    EngineHoldings registered;
    EngineHoldings holdings;
    // The holdings were read in this term.
    bool known = false;
    // An order or a report is in progress.
    bool busy = false;
    std::string loading;
    MonotonicTime ready_at;
    MonotonicTime read_at;
    MonotonicTime retry_at;
    MonotonicTime ordered_at;
    std::uint64_t news_version = 0;
    // When adapters ("MODEL/ADAPTER") were last in use.
    std::map<std::string, MonotonicTime> adapter_use;
  };

  struct DaemonNote {
    std::vector<EndpointLoad> loads;
    MonotonicTime noted;
  };

  // Sums over the daemons, in the units of EndpointLoad.
  struct Totals {
    std::int64_t requests = 0;
    std::int64_t unread_units = 0;
    std::int64_t memory_units = 0;
  };

  bool MayOrder(MonotonicTime now) const { return IsLeader(now) && now >= term_->orders_from; }

  void BeginTerm(const LeaseId& lease, std::uint64_t fence, const KvEntry& last_holder) {
    const MonotonicTime now = MonotonicNow();
    const bool other = last_holder.exists() && last_holder.value != settings_.host;
    term_ = Term{lease, fence, now + (other ? settings_.holder_gap : milliseconds(0))};
    states_.clear();
    allowances_.clear();
    feed_ = DirectoryFeed();
    daemons_.clear();
    totals_.clear();
    first_term_ = !last_holder.exists();
    LOG4CPLUS_INFO(Log(), "leads placement with fence " << fence << ", last holder '"
                                                        << last_holder.value << "'");
    wake_.NotifyAll();
  }

  void EndTerm(const std::string& reason) {
    if (!term_) return;
    LOG4CPLUS_INFO(Log(),
                   "no longer leads placement with fence " << term_->fence << ": " << reason);
    term_.reset();
    states_.clear();
  }

  EngineControlState* Find(const std::string& id) {
    const auto it = states_.find(id);
    return it == states_.end() ? nullptr : &it->second;
  }

  // The state of the incarnation that an order was sent to; nullptr if it or the term has ended.
  EngineControlState* FindSame(const std::string& id, std::int64_t started_ms,
                               std::uint64_t fence) {
    EngineControlState* engine = Find(id);
    const bool same =
        engine != nullptr && engine->started_ms == started_ms && term_ && term_->fence == fence;
    return same ? engine : nullptr;
  }

  // Replaces what a daemon has at the endpoints.
  void NoteLoads(const std::string& sender, const UsageReport& report, MonotonicTime now) {
    DaemonNote& note = daemons_[sender];
    AddLoads(note.loads, -1);
    // Numbers of another term mean other endpoints.
    note.loads = report.fence == term_->fence ? report.loads : std::vector<EndpointLoad>();
    note.noted = now;
    AddLoads(note.loads, 1);
  }

  void AddLoads(const std::vector<EndpointLoad>& loads, int sign) {
    for (const EndpointLoad& load : loads) {
      Totals& total = totals_[load.number];
      total.requests += sign * load.requests;
      total.unread_units += sign * load.unread_units;
      total.memory_units += sign * load.memory_units;
      if (total.requests <= 0) totals_.erase(load.number);
    }
  }

  // Forgets daemons that no longer report.
  void DropSilentDaemons(MonotonicTime now) {
    for (auto it = daemons_.begin(); it != daemons_.end();) {
      const bool silent = now - it->second.noted >= kDaemonLifetime;
      if (silent) AddLoads(it->second.loads, -1);
      it = silent ? daemons_.erase(it) : std::next(it);
    }
  }

  // What all daemons but one have at the endpoints.
  std::vector<EndpointLoad> OthersOf(const std::string& sender) const {
    std::map<std::uint32_t, EndpointLoad> own;
    for (const EndpointLoad& load : daemons_.at(sender).loads) own[load.number] = load;
    std::vector<EndpointLoad> others;
    for (const auto& [number, total] : totals_) {
      const auto mine = own.find(number);
      const EndpointLoad part = mine == own.end() ? EndpointLoad() : mine->second;
      EndpointLoad load;
      load.number = number;
      load.requests = Clamp(total.requests - part.requests);
      load.unread_units = Clamp(total.unread_units - part.unread_units);
      load.memory_units = Clamp(total.memory_units - part.memory_units);
      if (load.requests > 0) others.push_back(load);
    }
    return others;
  }

  static std::uint16_t Clamp(std::int64_t value) {
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(value, 0, UINT16_MAX));
  }

  void AddDirectory(const UsageReport& report, MonotonicTime now, UsageAnswer* answer) {
    const auto config = directory_->config();
    answer->store_is_fresh = config != nullptr && settings_.store_is_fresh(now);
    answer->config_version = config == nullptr ? 0 : config->version;
    feed_.Update(*directory_);
    answer->directory_version = feed_.version();
    const bool same_term = report.fence == term_->fence;
    if (same_term && !answer->store_is_fresh) return;
    answer->directory = feed_.Since(same_term ? report.directory_version : 0);
  }

  static EndpointNews NewsOf(std::uint32_t number, const EngineControlState& engine) {
    EndpointNews news{number, {}};
    for (const HeldModel& held : engine.holdings.models) {
      news.models.push_back({held.name, held.adapters});
    }
    return news;
  }

  void Publish(EngineControlState* engine) {
    engine->news_version = ++news_version_;
    wake_.NotifyAll();
  }

  // An engine counts the orders that it accepts.
  static void NoteAcceptance(EngineControlState* engine) {
    ++engine->holdings.sequence;
    engine->ordered_at = MonotonicNow();
  }

  void NoteAdapters(const UsageReport& report, MonotonicTime now) {
    if (report.fence != term_->fence || report.adapters.empty()) return;
    std::map<std::uint32_t, const AdapterUse*> uses;
    for (const AdapterUse& use : report.adapters) uses[use.number] = &use;
    for (auto& [id, engine] : states_) {
      const auto number = feed_.NumberOf(id);
      const auto use = number ? uses.find(*number) : uses.end();
      if (use == uses.end()) continue;
      for (const std::string& name : use->second->adapters) engine.adapter_use[name] = now;
    }
  }

  // Brings the states in line with the directory, and reads engines whose state is not known.
  void FollowDirectory(MonotonicTime now) {
    const auto config = directory_->config();
    if (config == nullptr) return;
    std::erase_if(states_, [&](const auto& item) {
      const DirectoryEntry* entry = directory_->Find(item.first);
      return entry == nullptr || entry->endpoint.started_ms != item.second.started_ms;
    });
    for (const auto& [id, entry] : directory_->entries()) {
      const RoutedService* service = config->FindService(entry.endpoint.service);
      if (service == nullptr || !service->engine) continue;
      EngineControlState& engine = states_[id];
      engine.service = entry.endpoint.service;
      engine.address = entry.endpoint.address;
      engine.started_ms = entry.endpoint.started_ms;
      const bool changed = !SameModels(engine.registered, entry.endpoint.holdings) &&
                           !SameModels(engine.holdings, entry.endpoint.holdings);
      engine.registered = entry.endpoint.holdings;
      const bool stale = !engine.known || changed || now - engine.read_at > kRefreshPeriod;
      if (stale && !engine.busy && engine.loading.empty() && now >= engine.retry_at)
        Spawn(Refresh(id));
    }
  }

  static bool SameModels(const EngineHoldings& a, const EngineHoldings& b) {
    if (a.models.size() != b.models.size()) return false;
    for (const HeldModel& held : a.models) {
      if (b.Find(held.name) == nullptr) return false;
    }
    return true;
  }

  void Spawn(Task<void> task) {
    boost::asio::co_spawn(executor_, std::move(task), boost::asio::detached);
  }

  // Reads what an engine holds.
  Task<void> Refresh(std::string id) {
    EngineControlState* engine = Find(id);
    const std::int64_t started_ms = engine->started_ms;
    const std::uint64_t fence = term_->fence;
    engine->busy = true;
    auto report = co_await engines_->Report(engine->address, kReportTimeout);
    engine = FindSame(id, started_ms, fence);
    if (engine == nullptr) co_return;
    engine->busy = false;
    const MonotonicTime now = MonotonicNow();
    if (!report) {
      engine->retry_at = now + kOrderRetryDelay * 4;
      co_return;
    }
    // A report is some hundred milliseconds old and may be from before the last order.
    const bool old = engine->known &&
                     report.value().holdings.sequence < engine->holdings.sequence &&
                     now - engine->ordered_at < kReportLag;
    if (report.value().busy || old) engine->retry_at = now + kProgressPoll;
    if (old) co_return;
    NoteReport(engine, report.value(), now);
    engine->known = !report.value().busy;
  }

  void NoteReport(EngineControlState* engine, const EngineReport& report, MonotonicTime now) {
    engine->holdings = report.holdings;
    for (const std::string& name : report.coming) {
      const std::size_t slash = name.find('/');
      if (slash == std::string::npos) continue;
      AddAdapter(&engine->holdings, name.substr(0, slash), name.substr(slash + 1));
    }
    engine->known = true;
    engine->read_at = now;
    Publish(engine);
  }

  static bool HasAdapter(const EngineHoldings& holdings, const std::string& model,
                         const std::string& adapter) {
    const HeldModel* held = holdings.Find(model);
    return held != nullptr &&
           std::find(held->adapters.begin(), held->adapters.end(), adapter) != held->adapters.end();
  }

  static void AddAdapter(EngineHoldings* holdings, const std::string& model,
                         const std::string& adapter) {
    for (HeldModel& held : holdings->models) {
      if (held.name == model && !HasAdapter(*holdings, model, adapter)) {
        held.adapters.push_back(adapter);
      }
    }
  }

  static void DropAdapter(EngineHoldings* holdings, const std::string& model,
                          const std::string& adapter) {
    for (HeldModel& held : holdings->models) {
      if (held.name == model) std::erase(held.adapters, adapter);
    }
  }

  FleetOrder MakeOrder(const std::string& id, const EngineControlState& engine, OrderKind kind,
                       const std::string& model, const std::string& adapter) const {
    return FleetOrder{id,      engine.address,           kind,           model,
                      adapter, engine.holdings.sequence, settings_.host, term_->fence};
  }

  void PlanAll(MonotonicTime now) {
    const auto config = directory_->config();
    if (config == nullptr) return;
    for (const auto& [name, service] : config->services) {
      if (service.engine) Plan(name, *service.engine, now);
    }
  }

  LoadAllowance& AllowanceOf(const std::string& service, const EngineProfile& profile,
                             MonotonicTime now) {
    auto [it, created] =
        allowances_.try_emplace(service, profile.loads_per_second, settings_.ceiling_window,
                                settings_.ceiling_over, kCeilingExtra, !first_term_, now);
    it->second.SetRate(profile.loads_per_second);
    return it->second;
  }

  void Plan(const std::string& service, const EngineProfile& profile, MonotonicTime now) {
    std::vector<PlannerEngine> engines;
    for (auto& [id, engine] : states_) {
      const DirectoryEntry* entry = directory_->Find(id);
      if (engine.service != service || entry == nullptr) continue;
      if (directory_->UsabilityOf(*entry, now) != Usability::kUsable) continue;
      PlannerEngine view;
      view.id = id;
      view.holdings = engine.holdings;
      view.blocked =
          engine.busy || !engine.loading.empty() || !engine.known || now < engine.retry_at;
      view.loading = engine.loading;
      engines.push_back(std::move(view));
    }
    LoadAllowance& allowance = AllowanceOf(service, profile, now);
    const std::uint32_t store_loads = allowance.MayStart(now) ? 1 : 0;
    for (const PlannedLoad& load :
         PlanLoads(profile, engines, demand_[service], store_loads, now)) {
      if (load.from_store) allowance.Start(now);
      EngineControlState& engine = states_.at(load.engine);
      engine.loading = load.model;
      engine.ready_at = now + profile.models.at(load.model).load_from_store;
      Spawn(Execute(service, load, profile.models.at(load.model)));
    }
  }

  // Has an engine drop the victims and load the model.
  Task<void> Execute(std::string service, PlannedLoad load, ModelProfile figures) {
    const std::int64_t started_ms = Find(load.engine)->started_ms;
    const std::uint64_t fence = term_->fence;
    const MonotonicTime began = MonotonicNow();
    bool done = true;
    for (const std::string& victim : load.victims) {
      if (!done) break;
      const Step step{load.engine, OrderKind::kUnload, victim, started_ms, fence};
      done = co_await Carry(step, milliseconds(0));
    }
    EngineControlState* engine = FindSame(load.engine, started_ms, fence);
    if (done && engine != nullptr) {
      const milliseconds expected = LoadTime(figures, SourceOf(engine->holdings, load.model));
      engine->ready_at = MonotonicNow() + expected;
      const Step step{load.engine, OrderKind::kLoad, load.model, started_ms, fence};
      co_await Carry(step, expected);
    }
    if (load.from_store) EndStoreLoad(service, fence, began, figures);
    engine = FindSame(load.engine, started_ms, fence);
    if (engine != nullptr) engine->loading.clear();
    wake_.NotifyAll();
  }

  // One order to one incarnation of an engine in one term.
  struct Step {
    std::string engine;
    OrderKind kind = OrderKind::kLoad;
    std::string model;
    std::int64_t started_ms = 0;
    std::uint64_t fence = 0;
  };

  // Sends an order and waits until it has been carried out. False if it was not.
  Task<bool> Carry(Step step, milliseconds expected) {
    while (MayOrder(MonotonicNow())) {
      EngineControlState* engine = FindSame(step.engine, step.started_ms, step.fence);
      if (engine == nullptr) co_return false;
      if (engine->busy || MonotonicNow() < engine->retry_at) {
        co_await wake_.WaitUntil(MonotonicNow() + kAdapterPoll);
        continue;
      }
      break;
    }
    EngineControlState* engine = FindSame(step.engine, step.started_ms, step.fence);
    if (engine == nullptr || !MayOrder(MonotonicNow())) co_return false;
    const FleetOrder order = MakeOrder(step.engine, *engine, step.kind, step.model, "");
    engine->busy = true;
    const OrderOutcome outcome = co_await engines_->Send(order, kOrderTimeout);
    LogOrder(order, outcome);
    engine = FindSame(step.engine, step.started_ms, step.fence);
    if (engine == nullptr) co_return false;
    engine->busy = false;
    if (outcome != OrderOutcome::kAccepted) {
      co_await HandleRefusal(step.engine, outcome);
      co_return outcome == OrderOutcome::kAlreadyHolds;
    }
    NoteAcceptance(engine);
    if (step.kind == OrderKind::kUnload) {
      std::erase_if(engine->holdings.models,
                    [&](const HeldModel& held) { return held.name == step.model; });
      Publish(engine);
    }
    co_return co_await Follow(step, expected);
  }

  // Waits until an accepted order has been carried out. False if that takes too long.
  Task<bool> Follow(Step step, milliseconds expected) {
    const MonotonicTime give_up =
        MonotonicNow() + std::max(expected, milliseconds(500)) * kLoadPatience;
    co_await Sleep(expected);
    while (MonotonicNow() < give_up) {
      EngineControlState* engine = FindSame(step.engine, step.started_ms, step.fence);
      if (engine == nullptr) co_return false;
      auto report = co_await engines_->Report(engine->address, kReportTimeout);
      engine = FindSame(step.engine, step.started_ms, step.fence);
      if (engine == nullptr) co_return false;
      // A report is some hundred milliseconds old: one from before the last order says nothing.
      const bool current =
          report && report.value().holdings.sequence >= engine->holdings.sequence && !engine->busy;
      if (current && !report.value().busy) {
        NoteReport(engine, report.value(), MonotonicNow());
        co_return true;
      }
      co_await Sleep(kProgressPoll);
    }
    co_return false;
  }

  void LogOrder(const FleetOrder& order, OrderOutcome outcome) const {
    LOG4CPLUS_INFO(Log(), "order kind=" << kOrderKindNames[order.kind] << " model=" << order.model
                                        << (order.adapter.empty() ? "" : "/" + order.adapter)
                                        << " endpoint=" << order.endpoint_id << " fence="
                                        << order.fence << " sequence=" << order.expected_sequence
                                        << " outcome=\"" << kOrderOutcomeNames[outcome] << "\"");
  }

  // After an order that was not accepted: reads what the engine holds, or ends the term.
  Task<void> HandleRefusal(std::string id, OrderOutcome outcome) {
    if (outcome == OrderOutcome::kStaleFence) {
      EndTerm("an engine has seen a higher fence");
      co_return;
    }
    EngineControlState* engine = Find(id);
    if (engine == nullptr) co_return;
    if (outcome == OrderOutcome::kAlreadyHolds) co_return co_await Refresh(id);
    // The engine's figures differ from the leader's, or it is not sound: a report takes some time
    // to show what it did last.
    engine->known = false;
    engine->retry_at = MonotonicNow() + kOrderRetryDelay;
  }

  void EndStoreLoad(const std::string& service, std::uint64_t fence, MonotonicTime began,
                    const ModelProfile& figures) {
    const auto allowance = allowances_.find(service);
    if (!term_ || term_->fence != fence || allowance == allowances_.end()) return;
    allowance->second.End(std::chrono::duration_cast<milliseconds>(MonotonicNow() - began),
                          figures.load_from_store);
  }

  // Sends one order that brings an adapter closer to an engine.
  // Precondition: the engine is known and not busy.
  Task<void> OrderAdapter(AdapterRequest request) {
    EngineControlState* engine = Find(request.endpoint);
    const auto config = directory_->config();
    const RoutedService* service =
        config == nullptr ? nullptr : config->FindService(engine->service);
    if (service == nullptr || !service->engine) co_return;
    const auto model = service->engine->models.find(request.model);
    if (model == service->engine->models.end()) co_return;
    OrderKind kind = OrderKind::kLoad;
    std::string target = request.model;
    std::string adapter = request.adapter;
    const bool room = CountAdapters(engine->holdings) < service->engine->adapter_slots &&
                      UsedMb(*service->engine, engine->holdings) + model->second.adapter_mb <=
                          service->engine->weights_mb;
    if (!room) {
      const auto victim = OldestAdapter(*engine);
      if (!victim) co_return;
      kind = OrderKind::kUnload;
      target = victim->first;
      adapter = victim->second;
    }
    const std::int64_t started_ms = engine->started_ms;
    const std::uint64_t fence = term_->fence;
    engine->busy = true;
    const FleetOrder order = MakeOrder(request.endpoint, *engine, kind, target, adapter);
    const OrderOutcome outcome = co_await engines_->Send(order, kOrderTimeout);
    LogOrder(order, outcome);
    engine = FindSame(request.endpoint, started_ms, fence);
    if (engine == nullptr) co_return;
    engine->busy = false;
    const bool accepted = outcome == OrderOutcome::kAccepted;
    const bool unloaded = kind == OrderKind::kUnload && outcome == OrderOutcome::kAlreadyHolds;
    if (!accepted && !unloaded) {
      co_await HandleRefusal(request.endpoint, outcome);
      co_return;
    }
    NoteAcceptance(engine);
    if (kind == OrderKind::kUnload) {
      DropAdapter(&engine->holdings, target, adapter);
      engine->adapter_use.erase(target + "/" + adapter);
      // The engine waits for runs that use the adapter, and takes no other order meanwhile.
      if (accepted) engine->retry_at = MonotonicNow() + kOrderRetryDelay;
    } else {
      AddAdapter(&engine->holdings, target, adapter);
      engine->adapter_use[target + "/" + adapter] = MonotonicNow();
      co_await Sleep(kAdapterFetch);
      engine = FindSame(request.endpoint, started_ms, fence);
      if (engine == nullptr) co_return;
    }
    Publish(engine);
  }

  static std::size_t CountAdapters(const EngineHoldings& holdings) {
    std::size_t count = 0;
    for (const HeldModel& held : holdings.models) count += held.adapters.size();
    return count;
  }

  // The adapter that was in use least recently.
  static std::optional<std::pair<std::string, std::string>> OldestAdapter(
      const EngineControlState& engine) {
    std::optional<std::pair<std::string, std::string>> oldest;
    MonotonicTime oldest_use = MonotonicTime::max();
    for (const HeldModel& held : engine.holdings.models) {
      for (const std::string& adapter : held.adapters) {
        const auto use = engine.adapter_use.find(held.name + "/" + adapter);
        const MonotonicTime used = use == engine.adapter_use.end() ? MonotonicTime() : use->second;
        if (used >= oldest_use) continue;
        oldest_use = used;
        oldest = {held.name, adapter};
      }
    }
    return oldest;
  }

  boost::asio::any_io_executor executor_;
  Store* store_;
  Engines* engines_;
  LeaseKeeper<Store>* lease_;
  FleetDirectory* directory_;
  PlacementLeaderSettings settings_;
  Notifier wake_;
  std::optional<Term> term_;
  bool first_term_ = false;
  bool stopping_ = false;
  std::uint64_t news_version_ = 0;
  DirectoryFeed feed_;
  std::map<std::string, EngineControlState> states_;
  std::map<std::string, LoadAllowance> allowances_;
  // By service and model.
  std::map<std::string, DemandRates> demand_;
  std::map<std::string, DaemonNote> daemons_;
  std::map<std::uint32_t, Totals> totals_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PLACEMENT_LEADER_H_
