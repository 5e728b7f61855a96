#ifndef MIMOSABEND_TESTS_ERA_SIMULATION_H_
#define MIMOSABEND_TESTS_ERA_SIMULATION_H_

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fake_fleet_engines.h"
#include "fake_fleet_store.h"
#include "leader_finder.h"
#include "placement_leader.h"
#include "prefix_watcher.h"
#include "simulated_time.h"
#include "store_era.h"

namespace mimosabend::testing {

// What a set of rounds did, for a summary.
struct EraTotals {
  int restores = 0;
  int terms = 0;
  std::size_t orders = 0;
  // After the last restore of a round.
  milliseconds slowest_leader{0};
  milliseconds slowest_order{0};
};

namespace era_simulation {

constexpr milliseconds kLeaseTime{1500};
constexpr milliseconds kHolderGap{3000};
// The bounds of docs/design/demands.md, section 2.
constexpr milliseconds kLeaderBound{5000};
constexpr milliseconds kOrderBound{8000};
constexpr milliseconds kCopyPeriod{100};
constexpr milliseconds kTick{5};
constexpr int kDaemons = 4;
constexpr int kEngines = 4;
// More than all engines hold together, so that orders go on.
constexpr int kModels = 12;
constexpr char kPrefix[] = "servers/";

// A daemon's links. While it is paused, its calls and their answers are held.
struct Links {
  bool cut_from_store = false;
  bool cut_from_daemons = false;
  MonotonicTime paused_until;

  bool paused() const { return MonotonicNow() < paused_until; }
  bool healthy() const { return !cut_from_store && !cut_from_daemons && !paused(); }

  Task<void> Hold() const {
    while (paused()) co_await Sleep(milliseconds(10));
  }
};

inline void ClearEra(KvEntry* entry) { entry->era = 0; }
inline void ClearEra(KvSwap* swap) { swap->era = 0; }
inline void ClearEra(KvSnapshot* snapshot) {
  snapshot->revision.era = 0;
  for (KvItem& item : snapshot->items) item.entry.era = 0;
}
inline void ClearEra(KvChanges* changes) {
  changes->revision.era = 0;
  for (KvItem& item : changes->items) item.entry.era = 0;
}
template <class T>
void ClearEra(T* /*value*/) {}

// Times at which leases end, for the store that all daemons share.
using LeaseEnds = std::map<LeaseId, MonotonicTime>;

// A daemon's connection to the store, with the checks of PlatformStore. Models FleetStore.
class Connection {
 public:
  // If not `uses_era`, the daemon behaves as if the store stated no era.
  Connection(FakeFleetStore* store, const Links* links, LeaseEnds* lease_ends, bool uses_era,
             std::uint64_t seed)
      : store_(store), links_(links), lease_ends_(lease_ends), uses_era_(uses_era), random_(seed) {}

  StoreEra& era() { return era_; }

  Task<Result<KvEntry, KvError>> Read(std::string key) {
    co_await links_->Hold();
    if (links_->cut_from_store) co_return co_await Fail<KvEntry>();
    auto entry = co_await store_->Read(key);
    co_return co_await Respond(std::move(entry), KvError::kUnavailable);
  }
  Task<Result<KvSwap, KvError>> CompareAndSwap(std::string key, std::string value,
                                               std::uint64_t version) {
    std::vector<KvItem> expected{{key, {"", version}}};
    std::vector<KvPut> puts{{key, value, {}}};
    co_return co_await Claim(expected, puts);
  }
  Task<Result<bool, KvError>> Delete(std::string key, std::uint64_t version) {
    co_return co_await store_->Delete(key, version);
  }
  Task<Result<std::vector<KvItem>, KvError>> List(std::string prefix) {
    co_return co_await store_->List(prefix);
  }
  Task<Result<KvEntry, KvError>> Watch(std::string key, std::uint64_t, milliseconds) {
    co_return co_await Read(key);
  }
  Task<Result<LeaseId, KvError>> GrantLease(milliseconds time) {
    co_await links_->Hold();
    if (links_->cut_from_store) co_return co_await Fail<LeaseId>();
    auto lease = co_await store_->GrantLease(time);
    if (lease) (*lease_ends_)[lease.value()] = MonotonicNow() + kLeaseTime;
    co_return co_await Respond(std::move(lease), KvError::kOutcomeUnknown);
  }
  Task<Result<bool, KvError>> RenewLease(LeaseId lease) {
    co_await links_->Hold();
    if (links_->cut_from_store) co_return co_await Fail<bool>();
    auto renewed = co_await store_->RenewLease(lease);
    if (renewed && renewed.value()) (*lease_ends_)[lease] = MonotonicNow() + kLeaseTime;
    co_return co_await Respond(std::move(renewed), KvError::kOutcomeUnknown);
  }
  Task<Result<void, KvError>> RevokeLease(LeaseId lease) {
    co_await links_->Hold();
    if (links_->cut_from_store) co_return co_await Fail<void>();
    co_return co_await store_->RevokeLease(lease);
  }
  Task<Result<bool, KvError>> Acquire(std::string key, std::string value, LeaseId lease) {
    co_return co_await store_->Acquire(key, value, lease);
  }
  Task<Result<KvSnapshot, KvError>> Snapshot(std::string prefix) {
    co_await links_->Hold();
    if (links_->cut_from_store) co_return co_await Fail<KvSnapshot>();
    auto snapshot = co_await store_->Snapshot(prefix);
    co_return co_await Respond(std::move(snapshot), KvError::kUnavailable);
  }
  Task<Result<KvChanges, KvError>> WatchPrefix(std::string prefix, StoreRevision after,
                                               milliseconds wait) {
    co_await links_->Hold();
    if (links_->cut_from_store) co_return co_await Fail<KvChanges>();
    const StoreRevision asked{store_->era(), after.revision};
    auto changes = co_await store_->WatchPrefix(prefix, asked, wait);
    auto answer = co_await Respond(std::move(changes), KvError::kUnavailable);
    if (answer && answer.value().revision.era != after.era) answer.value().compacted = true;
    co_return answer;
  }
  Task<Result<KvSwap, KvError>> Claim(std::vector<KvItem> expected, std::vector<KvPut> puts) {
    co_await links_->Hold();
    if (links_->cut_from_store) co_return co_await Fail<KvSwap>();
    auto swap = co_await store_->Claim(expected, puts);
    co_return co_await Respond(std::move(swap), KvError::kOutcomeUnknown);
  }

 private:
  // The answer to a call takes up to this time, so that some arrive after the store was restored.
  static constexpr int kMaxAnswerMillis = 60;
  static constexpr milliseconds kFailTime{20};

  template <class T>
  Task<Result<T, KvError>> Fail() {
    co_await Sleep(kFailTime);
    co_return outcome::failure(KvError::kUnavailable);
  }

  template <class T>
  Task<Result<T, KvError>> Respond(Result<T, KvError> result, KvError lost) {
    const std::uint32_t era = store_->era();
    co_await Sleep(milliseconds(random_() % kMaxAnswerMillis));
    co_await links_->Hold();
    if (links_->cut_from_store) co_return outcome::failure(lost);
    if (!result) co_return result;
    if (!uses_era_) {
      ClearEra(&result.value());
      co_return result;
    }
    const bool usable = era_.HandleResponse(era == 0 ? "" : std::to_string(era), "simulated call");
    if (!usable) co_return outcome::failure(lost);
    co_return result;
  }

  FakeFleetStore* store_;
  const Links* links_;
  LeaseEnds* lease_ends_;
  bool uses_era_;
  StoreEra era_;
  std::mt19937_64 random_;
};

static_assert(FleetStore<Connection>);

// A daemon's connections to the engines. Models FleetEngines.
class EngineLinks {
 public:
  EngineLinks(FakeFleetEngines* engines, const Links* links) : engines_(engines), links_(links) {}

  Task<Result<EngineReport, HttpError>> Report(Address address, milliseconds timeout) {
    co_await links_->Hold();
    co_return co_await engines_->Report(address, timeout);
  }
  Task<OrderOutcome> Send(FleetOrder order, milliseconds timeout) {
    co_await links_->Hold();
    co_return co_await engines_->Send(order, timeout);
  }

 private:
  FakeFleetEngines* engines_;
  const Links* links_;
};

static_assert(FleetEngines<EngineLinks>);

struct Daemon;

// Calls between daemons.
class DaemonLinks {
 public:
  DaemonLinks(const std::vector<std::unique_ptr<Daemon>>* daemons, const Links* links)
      : daemons_(daemons), links_(links) {}

  template <class Answer>
  Task<Result<Answer, PeerError>> Call(Address address, StandDownRequest request,
                                       milliseconds timeout);

 private:
  const std::vector<std::unique_ptr<Daemon>>* daemons_;
  const Links* links_;
};

inline PlacementTimings LeaseTimings() {
  PlacementTimings timings;
  timings.lease_time_to_live = kLeaseTime;
  timings.lease_renew_period = milliseconds(250);
  timings.lease_safe_time = milliseconds(800);
  timings.lease_retry_delay = milliseconds(100);
  return timings;
}

inline FleetConfig MakeConfig() {
  FleetConfig config;
  config.version = 1;
  RoutedService service;
  service.engine = EngineProfile{64, 1000, 220, 5, 100, {}};
  for (int i = 0; i < kModels; ++i) {
    service.engine->models["m" + std::to_string(i)] = {
        100, 5, {}, milliseconds(60), milliseconds(20), milliseconds(10)};
  }
  config.services["models"] = service;
  return config;
}

inline FleetEndpoint EngineEndpoint(int i, bool draining = false) {
  FleetEndpoint endpoint;
  endpoint.id = "e" + std::to_string(i);
  endpoint.service = "models";
  endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
  endpoint.slots = 64;
  endpoint.started_ms = 1;
  if (draining) endpoint.state = EndpointState::kDraining;
  return endpoint;
}

inline Address DaemonAddress(int i) { return {"127.0.0.1", static_cast<std::uint16_t>(7000 + i)}; }

// The parts of a gateway that follow the store and lead placement, joined as in gateway.cpp.
struct Daemon {
  Daemon(boost::asio::io_context* io, FakeFleetStore* store, FakeFleetEngines* fake_engines,
         LeaseEnds* lease_ends, const std::vector<std::unique_ptr<Daemon>>* daemons, int number,
         bool uses_era, std::uint64_t seed)
      : index(number),
        connection(store, &links, lease_ends, uses_era, seed),
        engines(fake_engines, &links),
        peers(daemons, &links),
        lease(&connection, LeaseTimings()),
        leader(io->get_executor(), &connection, &engines, &lease, &directory, &state,
               PlacementLeaderSettings{"host-" + std::to_string(number), DaemonAddress(number),
                                       kHolderGap, true, seconds(1), 1.1}),
        finder(&connection, &lease, &peers, &leader, &state, 100, seed),
        watcher(io->get_executor(), &connection, kPrefix, milliseconds(50), Handlers()) {
    directory.Adopt(MakeConfig());
    lease.SetWanted(false);
    connection.era().set_listener([this](std::uint32_t era) {
      lease.Drop();
      const bool led = leader.BeginEra(era);
      watcher.Restart();
      if (led) state.ForgetLeader();
    });
    boost::asio::co_spawn(*io, lease.Run(), boost::asio::detached);
    boost::asio::co_spawn(*io, leader.Run(), boost::asio::detached);
    boost::asio::co_spawn(*io, watcher.Run(), boost::asio::detached);
  }

  ItemHandlers Handlers() {
    const std::size_t prefix = std::string(kPrefix).size();
    ItemHandlers handlers;
    handlers.put = [this, prefix](const KvItem& item, MonotonicTime now) {
      const int number = std::stoi(item.key.substr(prefix + 1));
      FleetEndpoint endpoint = EngineEndpoint(number, item.entry.value == "draining");
      const auto used = state.directory().Put(endpoint, item.entry.revision());
      if (!used) return directory.Remove(endpoint.id, now);
      endpoint.state = *used;
      directory.Put(std::move(endpoint), now);
    };
    handlers.remove = [this, prefix](const std::string& key, StoreRevision revision,
                                     MonotonicTime now) {
      directory.Remove(key.substr(prefix), now);
      state.directory().Remove(key.substr(prefix), revision);
    };
    handlers.keep_only = [this, prefix](const std::set<std::string>& keys, StoreRevision revision,
                                        MonotonicTime now) {
      std::set<std::string> ids;
      for (const std::string& key : keys) ids.insert(key.substr(prefix));
      directory.KeepOnly(ids, now);
      state.directory().KeepOnly(ids, revision);
    };
    handlers.done = [this](StoreRevision revision, MonotonicTime) {
      state.directory().Advance(revision);
    };
    return handlers;
  }

  // Takes over what another daemon knows, as StateSync does.
  void MergeFrom(const Daemon& other) {
    const DirectoryChanges changes = other.state.directory().Since(state.directory().revision());
    connection.era().Learn(changes.revision.era, "peer");
    ApplyChanges(state.directory().Merge(changes));
  }
  // Takes over what a report says.
  void MergeReport(const Daemon& sender) {
    const DirectoryLog& known = sender.state.directory();
    connection.era().Learn(known.revision().era, "peer");
    ApplyChanges(state.directory().MergeLeft(known.Left(), known.revision().era));
  }
  void ApplyChanges(const std::vector<EndpointRecord>& changes) {
    for (const EndpointRecord& change : changes) {
      if (change.gone) {
        directory.Remove(change.id, MonotonicNow());
      } else {
        directory.Put(ToEndpoint(change));
      }
    }
  }

  bool leads() const { return leader.IsLeader(MonotonicNow()); }

  bool Uses(const std::string& id) const {
    const DirectoryEntry* entry = directory.Find(id);
    return entry != nullptr && directory.UsabilityOf(*entry, MonotonicNow()) == Usability::kUsable;
  }

  int index;
  Links links;
  FleetDirectory directory;
  FleetState state;
  Connection connection;
  EngineLinks engines;
  DaemonLinks peers;
  LeaseKeeper<Connection> lease;
  PlacementLeader<Connection, EngineLinks> leader;
  LeaderFinder<Connection, EngineLinks, DaemonLinks> finder;
  PrefixWatcher<Connection> watcher;
  bool dead = false;
  // Endpoints that this daemon knows to have left.
  std::set<std::string> known_left;
};

template <class Answer>
Task<Result<Answer, PeerError>> DaemonLinks::Call(Address address, StandDownRequest request,
                                                  milliseconds timeout) {
  co_await links_->Hold();
  Daemon& other = *daemons_->at(address.port - DaemonAddress(0).port);
  if (links_->cut_from_daemons || other.links.cut_from_daemons || other.links.paused()) {
    co_await Sleep(timeout);
    co_return outcome::failure(PeerError::kBroken);
  }
  co_return other.leader.StandDown(request, MonotonicNow());
}

// A fault of the leader around a restore.
enum class Fault : std::uint8_t { kNone, kPaused, kKilled, kCutFromStore, kCutFromAll };

class Round {
 public:
  Round(int seed, bool uses_era) : random_(seed) {
    for (int i = 0; i < kEngines; ++i) {
      EngineHoldings& holdings = engines_.engine(EngineEndpoint(i).address).holdings;
      holdings.models = {{"m" + std::to_string(i), {}}};
      for (int m = 0; m < kModels; ++m) holdings.on_disk.push_back("m" + std::to_string(m));
      store_.Put(Key(i), "ready");
    }
    for (int i = 0; i < kDaemons; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(&io_, &store_, &engines_, &lease_ends_, &daemons_,
                                                  i, uses_era, random_()));
    }
    for (const auto& daemon : daemons_) Spawn(RunDaemon(daemon.get()));
    Spawn(RunStore());
    Spawn(Check());
  }

  std::vector<std::string> Run(EraTotals* totals) {
    Spawn(Play());
    time_.RunFor(&io_, milliseconds(40000));
    if (!ended_) Violate("the round did not end");
    totals->restores += restores_;
    totals->terms += static_cast<int>(terms_.size());
    totals->orders += engines_.orders().size();
    totals->slowest_leader = std::max(totals->slowest_leader, leader_time_);
    totals->slowest_order = std::max(totals->slowest_order, order_time_);
    return violations_;
  }

 private:
  struct StoreCopy {
    MonotonicTime made_at;
    FakeFleetStore::Copy contents;
  };

  static std::string Key(int i) { return std::string(kPrefix) + "e" + std::to_string(i); }

  void Spawn(Task<void> task) {
    boost::asio::co_spawn(io_, std::move(task), boost::asio::detached);
  }
  int Below(int limit) { return static_cast<int>(random_() % limit); }
  milliseconds TimeBelow(int millis) { return milliseconds(Below(millis)); }
  void Violate(const std::string& what) {
    if (violations_.size() < 5) violations_.push_back(what);
  }

  // Ends leases that were not renewed, and keeps copies.
  Task<void> RunStore() {
    for (int i = 0; !ended_; ++i) {
      if (i % 5 == 0) copies_.push_back({MonotonicNow(), store_.MakeCopy()});
      const std::map<LeaseId, bool> leases = store_.leases();
      for (const auto& [lease, valid] : leases) {
        if (MonotonicNow() >= lease_ends_[lease]) store_.EndLease(lease);
      }
      co_await Sleep(kCopyPeriod / 5);
    }
  }

  // Reports to the leader, or looks for one.
  Task<void> RunDaemon(Daemon* daemon) {
    MonotonicTime searched;
    for (int i = 0; !ended_; ++i) {
      co_await Sleep(milliseconds(60 + Below(40)));
      co_await daemon->links.Hold();
      if (daemon->dead) co_return;
      const MonotonicTime now = MonotonicNow();
      if (daemon->leads()) {
        ReportWaiting(daemon, i);
        continue;
      }
      const bool heard = ReportToLeader(daemon);
      const bool silent = now - daemon->state.leader_heard() >= milliseconds(900);
      if (!heard && silent && now - searched >= milliseconds(250)) {
        searched = now;
        co_await daemon->finder.Search();
      }
    }
  }

  // Reports a request for one of the models in turn, so that the leader sends orders.
  static void ReportWaiting(Daemon* leader, int turn) {
    UsageReport report;
    ModelUsage usage;
    usage.service = "models";
    usage.model = "m" + std::to_string(turn / 8 % kModels);
    usage.waiting = 1;
    usage.target_ms = 800;
    report.models.push_back(usage);
    leader->leader.HandleReport("other", report, MonotonicNow());
  }

  static bool ReportsReach(const Daemon& from, const Daemon& to) {
    return !from.links.cut_from_daemons && !to.links.cut_from_daemons && !to.links.paused();
  }

  bool ReportToLeader(Daemon* daemon) {
    const auto address = daemon->state.leader();
    if (!address || *address == DaemonAddress(daemon->index)) return false;
    Daemon& other = *daemons_[address->port - DaemonAddress(0).port];
    if (!ReportsReach(*daemon, other)) return false;
    other.MergeReport(*daemon);
    const bool current = other.leader.fence() >= daemon->state.leader_fence();
    if (!other.leads() || !current) {
      daemon->state.ForgetLeader();
      return false;
    }
    daemon->state.UpdateLeader({other.leader.fence(), *address, 0}, MonotonicNow());
    daemon->MergeFrom(other);
    return true;
  }

  Daemon* Leader() {
    for (const auto& daemon : daemons_) {
      if (daemon->links.healthy() && daemon->leads()) return daemon.get();
    }
    return nullptr;
  }

  // Whether the healthy daemons agree on one leader.
  bool Agrees() {
    Daemon* leader = Leader();
    if (leader == nullptr) return false;
    for (const auto& daemon : daemons_) {
      if (!daemon->links.healthy()) continue;
      if (daemon.get() != leader && daemon->leads()) return false;
      if (daemon->state.leader_fence() != leader->leader.fence()) return false;
    }
    return true;
  }

  bool HasOrderSince(MonotonicTime from) const {
    const auto& orders = engines_.orders();
    return std::any_of(orders.rbegin(), orders.rend(), [&](const OrderRecord& order) {
      return order.at >= from && order.outcome == OrderOutcome::kAccepted;
    });
  }

  // Checks at each time: tokens are unique and increase; an endpoint that left is not used again.
  Task<void> Check() {
    std::map<int, std::uint64_t> fences;
    std::size_t checked = 0;
    std::map<std::uint64_t, std::string> holders;
    while (!ended_) {
      co_await Sleep(milliseconds(5));
      for (const auto& daemon : daemons_) {
        const std::uint64_t fence = daemon->leader.fence();
        if (fence != 0 && fence != fences[daemon->index]) RecordTerm(*daemon, fence);
        fences[daemon->index] = fence;
        CheckEndpoints(daemon.get());
      }
      const auto& orders = engines_.orders();
      for (; checked < orders.size(); ++checked) {
        const FleetOrder& order = orders[checked].order;
        const auto [known, first] = holders.try_emplace(order.fence, order.holder);
        if (known->second != order.holder) Violate("two holders sent orders with one token");
      }
    }
  }

  // A term whose lease is not safe follows from a claim whose answer arrived late. Its token may be
  // lower than that of a later claim; engines refuse it.
  void RecordTerm(const Daemon& daemon, std::uint64_t fence) {
    const auto [known, first] = terms_.try_emplace(fence, daemon.index);
    const std::string host = "host " + std::to_string(daemon.index);
    if (known->second != daemon.index) {
      Violate(host + " leads with the token of host " + std::to_string(known->second));
    }
    const bool lower = terms_.rbegin()->first > fence;
    if (lower && daemon.leader.LeadsAlone(MonotonicNow())) {
      Violate(host + " leads with token " + std::to_string(fence) + " after " +
              std::to_string(terms_.rbegin()->first));
    }
  }

  void CheckEndpoints(Daemon* daemon) {
    for (const std::string& id : left_) {
      if (!daemon->Uses(id)) {
        daemon->known_left.insert(id);
      } else if (daemon->known_left.contains(id)) {
        Violate("host " + std::to_string(daemon->index) + " uses " + id + " again");
      }
    }
  }

  // An endpoint begins to drain, or its entry is deleted.
  Task<void> Leave(int endpoint, bool drains, milliseconds delay) {
    co_await Sleep(delay);
    if (drains) {
      store_.Put(Key(endpoint), "draining");
    } else {
      store_.Erase(Key(endpoint));
    }
    left_.insert("e" + std::to_string(endpoint));
  }

  // An endpoint writes its entry again after a restore. `late`: once all daemons have read the
  // restored entries.
  Task<void> WriteAgain(int endpoint, bool late) {
    co_await Sleep(TimeBelow(600) + milliseconds(late ? 5000 : 0));
    left_.erase("e" + std::to_string(endpoint));
    store_.Put(Key(endpoint), "ready");
  }

  Task<void> InjectFault(Daemon* daemon, Fault fault, milliseconds delay, milliseconds time) {
    co_await Sleep(delay);
    Links& links = daemon->links;
    daemon->dead = fault == Fault::kKilled;
    if (fault == Fault::kKilled) links.paused_until = MonotonicTime::max();
    if (fault == Fault::kPaused) links.paused_until = MonotonicNow() + milliseconds(3000);
    links.cut_from_store = fault == Fault::kCutFromStore || fault == Fault::kCutFromAll;
    links.cut_from_daemons = fault == Fault::kCutFromAll;
    co_await Sleep(time);
    links.cut_from_store = false;
    links.cut_from_daemons = false;
  }

  Task<void> Restore(milliseconds age, milliseconds down) {
    const MonotonicTime until = MonotonicNow() - age;
    store_.set_down(true);
    co_await Sleep(down);
    auto later = std::find_if(copies_.begin(), copies_.end(),
                              [&](const StoreCopy& copy) { return copy.made_at > until; });
    if (later != copies_.begin()) --later;
    const FakeFleetStore::Copy contents = later->contents;
    store_.Restore(contents);
    for (const auto& [lease, valid] : store_.leases()) {
      lease_ends_[lease] = MonotonicNow() + kLeaseTime;
    }
    ++restores_;
    restored_at_ = MonotonicNow();
  }

  // One or two restores, with a fault of the leader and endpoints that leave before.
  Task<void> Play() {
    const int restores = 1 + (Below(3) == 0 ? 1 : 0);
    co_await Sleep(milliseconds(3000 + Below(4000)));
    for (int i = 0; i < restores; ++i) {
      const milliseconds age = std::vector<milliseconds>{milliseconds(500), milliseconds(3000),
                                                         milliseconds(10000)}[Below(3)];
      const milliseconds down(Below(2) == 0 ? 200 : 3000);
      const bool drains = Below(2) == 0;
      Spawn(Leave(2 * i, drains, milliseconds(0)));
      co_await Sleep(milliseconds(600 + Below(2500)));
      Daemon* leader = Leader();
      if (leader != nullptr && i == 0) {
        Spawn(
            InjectFault(leader, static_cast<Fault>(Below(5)), TimeBelow(1000), milliseconds(4000)));
        co_await Sleep(TimeBelow(1000));
      }
      co_await Restore(age, down);
      for (int endpoint = 0; endpoint < kEngines; ++endpoint) {
        const bool left = left_.contains("e" + std::to_string(endpoint));
        if (!left || (i + 1 == restores && Below(3) == 0))
          Spawn(WriteAgain(endpoint, left && (drains || restores > 1)));
      }
      if (i + 1 < restores) co_await Sleep(milliseconds(Below(6000)));
    }
    co_await CheckRecovery();
    ended_ = true;
  }

  Task<void> CheckRecovery() {
    bool agreed = false;
    bool ordered = false;
    while (!(agreed && ordered) && MonotonicNow() < restored_at_ + kOrderBound) {
      co_await Sleep(milliseconds(10));
      const milliseconds passed = ToMillis(MonotonicNow() - restored_at_);
      if (!agreed && Agrees()) {
        agreed = true;
        leader_time_ = passed;
      }
      if (agreed && !ordered && HasOrderSince(restored_at_)) {
        ordered = true;
        order_time_ = passed;
      }
    }
    if (!agreed || leader_time_ > kLeaderBound)
      Violate("no agreement on a leader within the bound");
    if (!ordered) Violate("no order within the bound");
    co_await Sleep(
        std::max(milliseconds(0), ToMillis(restored_at_ + kOrderBound - MonotonicNow())));
    if (!Agrees()) Violate("the daemons don't agree on a leader at the end");
    for (const auto& daemon : daemons_) {
      if (daemon->dead) continue;
      for (int i = 0; i < kEngines; ++i) {
        const std::string id = "e" + std::to_string(i);
        if (daemon->Uses(id) == !left_.contains(id)) continue;
        Violate("host " + std::to_string(daemon->index) +
                (daemon->Uses(id) ? " uses " : " does not use ") + id + " at the end");
      }
    }
  }

  SimulatedTime time_{kTick};
  boost::asio::io_context io_{1};
  std::mt19937_64 random_;
  FakeFleetStore store_;
  FakeFleetEngines engines_;
  LeaseEnds lease_ends_;
  std::deque<StoreCopy> copies_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  // Endpoints that left and have not written their entry since.
  std::set<std::string> left_;
  // Hosts by the fencing tokens of their terms.
  std::map<std::uint64_t, int> terms_;
  std::vector<std::string> violations_;
  MonotonicTime restored_at_;
  milliseconds leader_time_{0};
  milliseconds order_time_{0};
  int restores_ = 0;
  bool ended_ = false;
};

}  // namespace era_simulation

// Runs a round: daemons elect a leader while the store is restored from an older copy, the leader
// is paused, killed or cut off, and endpoints leave. Returns the violations.
inline std::vector<std::string> RunEraRound(int seed, bool uses_era, EraTotals* totals) {
  return era_simulation::Round(seed, uses_era).Run(totals);
}

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_ERA_SIMULATION_H_
