#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fake_fleet_engines.h"
#include "fake_fleet_store.h"
#include "placement_leader.h"
#include "simulated_time.h"

namespace mimosabend::testing {

namespace {

constexpr milliseconds kHolderGap{200};
constexpr double kWeightsMb = 100;

PlacementTimings ShortLease() {
  PlacementTimings timings;
  timings.lease_time_to_live = milliseconds(300);
  timings.lease_renew_period = milliseconds(60);
  timings.lease_safe_time = milliseconds(200);
  timings.lease_retry_delay = milliseconds(20);
  return timings;
}

FleetConfig Config() {
  FleetConfig config;
  config.version = 1;
  RoutedService service;
  service.engine = EngineProfile{64, 1000, 2 * kWeightsMb + 20, 2, 100, {}};
  for (int i = 0; i < 6; ++i) {
    service.engine->models["m" + std::to_string(i)] = {
        kWeightsMb, 5, {}, milliseconds(60), milliseconds(20), milliseconds(10)};
  }
  config.services["models"] = service;
  return config;
}

FleetEndpoint Endpoint(int i) {
  FleetEndpoint endpoint;
  endpoint.id = "e" + std::to_string(i);
  endpoint.service = "models";
  endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
  endpoint.slots = 64;
  return endpoint;
}

// The placement components of one daemon.
struct Daemon {
  Daemon(boost::asio::io_context* io, FakeFleetStore* store, FakeFleetEngines* engines,
         const std::string& host, bool fencing = true)
      : lease(store, ShortLease()),
        leader(io->get_executor(), store, engines, &lease, &directory, &state,
               PlacementLeaderSettings{
                   host, {"127.0.0.1", 7000}, kHolderGap, fencing, seconds(1), 1.1}) {
    directory.Adopt(Config());
    for (int i = 0; i < 3; ++i) {
      directory.Put(Endpoint(i));
      state.directory().Put(Endpoint(i), {0, static_cast<std::uint64_t>(i) + 1});
    }
    state.directory().Advance({0, 3});
    boost::asio::co_spawn(*io, lease.Run(), boost::asio::detached);
    boost::asio::co_spawn(*io, leader.Run(), boost::asio::detached);
  }

  FleetDirectory directory;
  FleetState state;
  LeaseKeeper<FakeFleetStore> lease;
  PlacementLeader<FakeFleetStore, FakeFleetEngines> leader;
};

struct Fleet {
  Fleet() {
    for (int i = 0; i < 3; ++i) {
      EngineHoldings& holdings = engines.engine(Endpoint(i).address).holdings;
      holdings.models = {{"m" + std::to_string(i), {}}, {"m" + std::to_string(i + 1), {}}};
      holdings.on_disk = {"m0", "m1", "m2", "m3", "m4"};
    }
  }

  void Run(milliseconds duration) { time.RunFor(&io, duration); }

  bool Lead(Daemon* daemon) {
    bool leads = false;
    boost::asio::co_spawn(io, daemon->leader.TryBecomeLeader(),
                          [&leads](std::exception_ptr, bool result) { leads = result; });
    Run(milliseconds(30));
    return leads;
  }

  // Reports that one request waits for a model.
  static UsageAnswer ReportWaiting(Daemon* daemon, const std::string& model) {
    UsageReport report;
    ModelUsage usage;
    usage.service = "models";
    usage.model = model;
    usage.waiting = 1;
    usage.target_ms = 800;
    report.models.push_back(usage);
    return daemon->leader.HandleReport("other", report, MonotonicNow());
  }

  SimulatedTime time;
  boost::asio::io_context io{1};
  FakeFleetStore store;
  FakeFleetEngines engines;
};

}  // namespace

// Guards against two leaders at the same time.
TEST_CASE("one daemon leads, and the next leader has a higher fencing token", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  Daemon b(&fleet.io, &fleet.store, &fleet.engines, "b");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  CHECK_FALSE(fleet.Lead(&b));
  const std::uint64_t fence = a.leader.fence();
  fleet.store.EndLease(ParseLeaderRecord(fleet.store.Get(kLeaderKey).value)->lease);
  fleet.Run(milliseconds(100));
  CHECK_FALSE(a.leader.IsLeader(MonotonicNow()));
  REQUIRE(fleet.Lead(&b));
  CHECK(b.leader.fence() > fence);
}

// Guards against orders of two holders within the holder gap.
TEST_CASE("a new holder waits for the holder gap, a restarted one doesn't", "[leader]") {
  Fleet fleet;
  fleet.store.Put(kLastHolderKey, "former");
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  const MonotonicTime began = MonotonicNow();
  Fleet::ReportWaiting(&a, "m4");
  fleet.Run(milliseconds(100));
  CHECK(fleet.engines.orders().empty());
  Fleet::ReportWaiting(&a, "m4");
  fleet.Run(milliseconds(400));
  REQUIRE_FALSE(fleet.engines.orders().empty());
  CHECK(fleet.engines.orders().front().at - began >= kHolderGap - milliseconds(40));

  Fleet other;
  other.store.Put(kLastHolderKey, "a");
  Daemon restarted(&other.io, &other.store, &other.engines, "a");
  other.Run(milliseconds(50));
  REQUIRE(other.Lead(&restarted));
  other.Run(milliseconds(40));
  Fleet::ReportWaiting(&restarted, "m4");
  other.Run(milliseconds(100));
  CHECK_FALSE(other.engines.orders().empty());
}

// Guards against seconds without loads at each planned restart of a leader, and against orders of
// two holders to one engine within the holder gap.
TEST_CASE("a successor waits only at engines with a recent order", "[leader]") {
  Fleet fleet;
  fleet.engines.engine(Endpoint(2).address).holdings.models = {{"m2", {}}};
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  Daemon b(&fleet.io, &fleet.store, &fleet.engines, "b");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(50));
  Fleet::ReportWaiting(&a, "m4");
  fleet.Run(milliseconds(120));
  REQUIRE_FALSE(fleet.engines.orders().empty());
  a.leader.Resign();
  fleet.Run(milliseconds(50));
  std::map<std::string, MonotonicTime> last;
  for (const OrderRecord& seen : fleet.engines.orders()) last[seen.order.endpoint_id] = seen.at;
  REQUIRE(last.size() < 3);
  const std::size_t before = fleet.engines.orders().size();
  const MonotonicTime now = MonotonicNow();
  const UsageAnswer answer = a.leader.HandleReport("b", UsageReport(), now);
  REQUIRE(answer.resigning);
  // An order arrives slightly after it was sent, hence the tolerance.
  const auto recent = std::count_if(last.begin(), last.end(), [&](const auto& item) {
    return now - item.second < kHolderGap - milliseconds(10);
  });
  CHECK(answer.recent_orders.size() >= static_cast<std::size_t>(recent));
  CHECK(recent > 0);
  b.leader.StoreHandover(Handover{answer.holder, last});
  fleet.store.EndLease(ParseLeaderRecord(fleet.store.Get(kLeaderKey).value)->lease);
  REQUIRE(fleet.Lead(&b));
  const MonotonicTime began = MonotonicNow();
  for (int i = 0; i < 6; ++i) {
    Fleet::ReportWaiting(&b, "m3");
    fleet.Run(milliseconds(50));
  }
  const auto& orders = fleet.engines.orders();
  REQUIRE(orders.size() > before);
  CHECK(orders[before].at - began < kHolderGap);
  for (std::size_t i = before; i < orders.size(); ++i) {
    const auto former = last.find(orders[i].order.endpoint_id);
    if (former != last.end()) CHECK(orders[i].at - former->second >= kHolderGap);
  }
}

// Guards against orders of two holders within the holder gap, and against seconds without orders
// although the former holder is known to have stopped.
TEST_CASE("a successor sends orders once its predecessor has stood down", "[leader]") {
  Fleet fleet;
  fleet.engines.engine(Endpoint(2).address).holdings.models = {{"m2", {}}};
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  Daemon b(&fleet.io, &fleet.store, &fleet.engines, "b");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(50));
  Fleet::ReportWaiting(&a, "m4");
  fleet.Run(milliseconds(100));
  REQUIRE_FALSE(fleet.engines.orders().empty());
  const std::string ordered = fleet.engines.orders().back().order.endpoint_id;
  const MonotonicTime last = fleet.engines.orders().back().at;
  // The key is removed while the lease continues.
  fleet.store.DeleteKey(kLeaderKey);
  REQUIRE(fleet.Lead(&b));
  CHECK(b.leader.WaitsForPredecessor(MonotonicNow()));
  const StandDownAnswer answer = a.leader.StandDown({b.leader.fence()}, MonotonicNow());
  CHECK_FALSE(a.leader.IsLeader(MonotonicNow()));
  Handover handover{answer.holder, {}};
  for (const RecentOrder& order : answer.recent_orders) {
    for (int i = 0; i < 3; ++i) {
      if (EndpointNumber(Endpoint(i).id, 0) != order.number) continue;
      handover.last_orders[Endpoint(i).id] = MonotonicNow() - milliseconds(order.age_ms);
    }
  }
  CHECK(handover.last_orders.contains(ordered));
  b.leader.EndPredecessorWait(handover);
  CHECK_FALSE(b.leader.WaitsForPredecessor(MonotonicNow()));
  const std::size_t before = fleet.engines.orders().size();
  for (int i = 0; i < 6; ++i) {
    Fleet::ReportWaiting(&b, "m3");
    fleet.Run(milliseconds(100));
  }
  REQUIRE(fleet.engines.orders().size() > before);
  for (std::size_t i = before; i < fleet.engines.orders().size(); ++i) {
    const OrderRecord& seen = fleet.engines.orders()[i];
    CHECK(seen.order.fence == b.leader.fence());
    if (seen.order.endpoint_id == ordered) CHECK(seen.at - last >= kHolderGap);
  }
}

// Guards against loads from the weight store, which take many seconds, by a leader that does not
// know yet which engines have local weights.
TEST_CASE("a new leader plans once it has read the engines' holdings", "[leader]") {
  Fleet fleet;
  for (int i = 0; i < 3; ++i) {
    EngineHoldings& holdings = fleet.engines.engine(Endpoint(i).address).holdings;
    holdings.on_disk = {"m0", "m1", "m2", "m3"};
  }
  fleet.engines.engine(Endpoint(2).address).holdings.on_disk.push_back("m4");
  fleet.engines.DelayReports(Endpoint(2).address, milliseconds(200));
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  for (int i = 0; i < 6; ++i) {
    Fleet::ReportWaiting(&a, "m4");
    fleet.Run(milliseconds(100));
  }
  for (const OrderRecord& seen : fleet.engines.orders()) {
    if (seen.order.model == "m4") CHECK(seen.order.endpoint_id == "e2");
  }
  CHECK(fleet.engines.engine(Endpoint(2).address).holdings.Find("m4") != nullptr);
}

// Guards against orders of an unreachable predecessor and of its successor within the holder gap at
// engines that don't check fencing tokens, and against a needless wait at engines that do.
TEST_CASE("a successor waits for an unreachable predecessor only without fencing", "[leader]") {
  for (const bool fencing : {true, false}) {
    Fleet fleet;
    fleet.store.Put(kLastHolderKey, "former");
    Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a", fencing);
    fleet.Run(milliseconds(50));
    REQUIRE(fleet.Lead(&a));
    const MonotonicTime began = MonotonicNow();
    a.leader.EndPredecessorWait(std::nullopt);
    CHECK(a.leader.WaitsForPredecessor(MonotonicNow()) != fencing);
    for (int i = 0; i < 8; ++i) {
      Fleet::ReportWaiting(&a, "m4");
      fleet.Run(milliseconds(100));
    }
    REQUIRE_FALSE(fleet.engines.orders().empty());
    const auto waited = fleet.engines.orders().front().at - began;
    // The former owner of a revoked lease relies on it until its safe time has passed.
    if (fencing) CHECK(waited < kHolderGap);
    if (!fencing) CHECK(waited >= kHolderGap + ShortLease().lease_safe_time - milliseconds(40));
  }
}

// Guards against a leader that does not learn that it leads while its key keeps other daemons out.
TEST_CASE("a claim whose answer was lost is adopted", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  fleet.store.LoseNextClaimAnswer();
  CHECK_FALSE(fleet.Lead(&a));
  const KvEntry entry = fleet.store.Get(kLeaderKey);
  REQUIRE(entry.exists());
  CHECK(a.leader.AdoptClaim(*ParseLeaderRecord(entry.value), entry.revision()));
  CHECK(a.leader.IsLeader(MonotonicNow()));
  CHECK(a.leader.fence() == entry.version);
  CHECK_FALSE(a.leader.AdoptClaim({{"127.0.0.1", 7000}, "another lease"}, {0, 99}));
}

// Guards against a leader that goes on with the key of an earlier era, and against orders within
// the holder gap of a holder whose record was lost.
TEST_CASE("after a restore, only the former leader orders at once", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  Daemon b(&fleet.io, &fleet.store, &fleet.engines, "b");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  const std::uint64_t fence = a.leader.fence();
  fleet.store.Restore(fleet.store.MakeCopy());
  CHECK(a.leader.BeginEra(1));
  CHECK_FALSE(b.leader.BeginEra(1));
  CHECK_FALSE(a.leader.IsLeader(MonotonicNow()));
  const LeaseId lost = *a.lease.SafeLease(MonotonicNow());
  a.lease.Drop();
  CHECK(a.lease.SafeLease(MonotonicNow()) == nullptr);
  // The lease was not revoked.
  CHECK(fleet.store.leases().contains(lost));
  fleet.store.EndLease(lost);
  fleet.Run(milliseconds(80));
  Daemon& next = GENERATE(false, true) ? b : a;
  const bool former = &next == &a;
  REQUIRE(fleet.Lead(&next));
  CHECK(next.leader.fence() == FencingToken(fleet.store.Get(kLastHolderKey).revision()));
  CHECK(next.leader.fence() > fence);
  CHECK(next.leader.WaitsForPredecessor(MonotonicNow()) == !former);
  // Nobody knows whose handover would be that of the last holder.
  next.leader.EndPredecessorWait(std::nullopt);
  next.leader.EndPredecessorWait(Handover{"a", {}});
  CHECK(next.leader.WaitsForPredecessor(MonotonicNow()) == !former);
  const HolderRecord holder = ParseHolderRecord(fleet.store.Get(kLastHolderKey).value);
  CHECK(holder.host == (former ? "a" : "b"));
  CHECK(holder.era == 1);
}

TEST_CASE("a model that requests wait for is loaded and reported to daemons", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(50));
  const UsageAnswer before = Fleet::ReportWaiting(&a, "m4");
  CHECK(before.accepted);
  CHECK(before.view.directory.changes.size() == 3);
  fleet.Run(milliseconds(300));
  const UsageAnswer after = Fleet::ReportWaiting(&a, "m4");
  bool reported = false;
  for (const HoldingsUpdate& update : after.holdings) {
    for (const ModelHoldings& model : update.models) reported = reported || model.name == "m4";
  }
  CHECK(reported);
  for (const OrderRecord& seen : fleet.engines.orders()) {
    CHECK(seen.outcome == OrderOutcome::kAccepted);
    CHECK(seen.order.fence == a.leader.fence());
  }
}

// Guards against daemons that can't predict a load that has not been ordered, since the leader
// tells them nothing or counts loads that are in progress or don't need the weight store.
TEST_CASE("daemons learn how many loads from the weight store are queued", "[leader]") {
  CHECK_FALSE(MakeLoadBacklog("models", {}, 4, 1));
  const std::vector<QueuedModel> queue{
      {0, milliseconds(600)}, {9, milliseconds(900)}, {2, milliseconds(900)}};
  const auto by_rate = MakeLoadBacklog("models", queue, 2, 4);
  CHECK(by_rate->queued == std::vector<std::uint32_t>{1, 0, 1, 1});
  CHECK(by_rate->load_ms == 800);
  CHECK(by_rate->interval_ms == 500);
  CHECK(MakeLoadBacklog("models", queue, 100, 2)->interval_ms == 400);
  CHECK(MakeLoadBacklog("models", queue, 0, 2)->interval_ms == 400);

  Fleet fleet;
  FleetConfig config = Config();
  config.version = 2;
  config.services["models"].engine->loads_per_second = 1;
  for (int i = 6; i < 12; ++i) {
    config.services["models"].engine->models["m" + std::to_string(i)] = {
        kWeightsMb, 5, {}, milliseconds(5000), milliseconds(20), milliseconds(10)};
  }
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  a.directory.Adopt(config);
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(50));
  const auto wait = [&] {
    for (int i = 4; i < 12; ++i) Fleet::ReportWaiting(&a, "m" + std::to_string(i));
  };
  wait();
  fleet.Run(milliseconds(300));
  wait();
  fleet.Run(milliseconds(200));
  const UsageAnswer answer = a.leader.HandleReport("other", UsageReport(), MonotonicNow());
  REQUIRE(answer.backlogs.size() == 1);
  const LoadBacklog& backlog = answer.backlogs.front();
  CHECK(backlog.service == "models");
  std::size_t in_progress = 0;
  for (const PendingLoad& load : answer.loads) {
    // m4 is on disk.
    if (load.model != "m4") ++in_progress;
  }
  CHECK(in_progress > 0);
  CHECK(backlog.queued[0] + in_progress == 7);
  CHECK(backlog.interval_ms >= 1000);
  // Nothing waits any more.
  fleet.Run(milliseconds(2000));
  CHECK(a.leader.HandleReport("other", UsageReport(), MonotonicNow()).backlogs.empty());
}

// Guards against an engine that exceeds its memory because it executes an order late. Each order
// has the number of orders that the engine must have accepted before.
TEST_CASE("an order executed late does not overcommit an engine", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(50));
  fleet.engines.DelayNextOrder(milliseconds(1200));
  for (int i = 0; i < 12; ++i) {
    Fleet::ReportWaiting(&a, "m4");
    Fleet::ReportWaiting(&a, "m5");
    fleet.Run(milliseconds(150));
  }
  for (int i = 0; i < 3; ++i) {
    const EngineHoldings& holdings = fleet.engines.engine(Endpoint(i).address).holdings;
    CHECK(UsedMb(*Config().services.at("models").engine, holdings) <= 2 * kWeightsMb + 20);
  }
  CHECK(fleet.engines.orders().size() > 2);
}

// Guards against a replaced leader that continues to send orders.
TEST_CASE("a leader whose fencing token is rejected ends its term", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  for (int i = 0; i < 3; ++i) fleet.engines.engine(Endpoint(i).address).fence = 1000;
  fleet.Run(milliseconds(50));
  Fleet::ReportWaiting(&a, "m4");
  fleet.Run(milliseconds(200));
  CHECK_FALSE(a.leader.IsLeader(MonotonicNow()));
  const std::size_t orders = fleet.engines.orders().size();
  CHECK(orders >= 1);
  fleet.Run(milliseconds(300));
  CHECK(fleet.engines.orders().size() == orders);
}

// Guards against the eviction of an adapter in use: the engine would accept no other order until
// its requests have ended.
TEST_CASE("an adapter in use is not evicted for another", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(50));
  const auto place = [&](const std::string& adapter) {
    bool placed = false;
    boost::asio::co_spawn(
        fleet.io, a.leader.PlaceAdapter(AdapterRequest{"e0", "m0", adapter}),
        [&placed](std::exception_ptr, const AdapterAnswer& answer) { placed = answer.placed; });
    fleet.Run(milliseconds(100));
    return placed;
  };
  REQUIRE(place("a1"));
  REQUIRE(place("a2"));
  UsageReport report;
  report.runs.push_back({EndpointNumber("e0", 0), {{"m0", 1, {"a1"}}}});
  a.leader.HandleReport("other", report, MonotonicNow());
  fleet.engines.engine(Endpoint(0).address).adapters_in_use = {"m0/a1"};
  REQUIRE(place("a3"));
  const HeldModel* held = fleet.engines.engine(Endpoint(0).address).holdings.Find("m0");
  CHECK(held->adapters == std::vector<std::string>{"a1", "a3"});
}

// Guards against requests that are refused because they can't meet their deadline although the
// weights are on disk: a load was once assumed to read the weight store until its first order was
// sent.
TEST_CASE("the expected end of a planned load depends on the weight source", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(50));
  Fleet::ReportWaiting(&a, "m4");
  std::optional<std::uint32_t> longest;
  for (int i = 0; i < 30; ++i) {
    fleet.Run(milliseconds(1));
    for (const PendingLoad& load : Fleet::ReportWaiting(&a, "m4").loads) {
      longest = std::max(longest.value_or(0), load.ready_in_ms);
    }
  }
  REQUIRE(longest);
  CHECK(*longest <= 20);
}

// Guards against requests that wait for an engine's long streams to end because the engine counts
// as the one that loads their model while its unload is still waiting.
TEST_CASE("a model is loaded elsewhere if an unload waits long", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(50));
  for (int i = 0; i < 3; ++i) {
    fleet.engines.engine(Endpoint(i).address).unload_time = milliseconds(4000);
  }
  const auto holders = [&] {
    int count = 0;
    for (int i = 0; i < 3; ++i) {
      const EngineHoldings& holdings = fleet.engines.engine(Endpoint(i).address).holdings;
      if (holdings.Find("m4") != nullptr) ++count;
    }
    return count;
  };
  Fleet::ReportWaiting(&a, "m4");
  fleet.Run(milliseconds(300));
  REQUIRE_FALSE(fleet.engines.orders().empty());
  REQUIRE(holders() == 0);
  const std::string slow = fleet.engines.orders().front().order.endpoint_id;
  for (int i = 0; i < 3; ++i) {
    if (Endpoint(i).id == slow) continue;
    fleet.engines.engine(Endpoint(i).address).unload_time = milliseconds(0);
  }
  for (int i = 0; i < 5; ++i) {
    Fleet::ReportWaiting(&a, "m4");
    fleet.Run(milliseconds(300));
  }
  CHECK(holders() == 1);
  // The slow engine does not load the model as well.
  fleet.Run(milliseconds(5000));
  CHECK(holders() == 1);
}

// Guards against requests that wait for adapters that could have been loaded ahead, above all while
// no leader may send orders.
TEST_CASE("adapters are loaded into free slots ahead of requests", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  FleetConfig config = Config();
  config.services["models"].engine->models["m0"].adapter_names = {"a1", "a2", "a3"};
  a.directory.Adopt(config);
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(1000));
  // One engine holds the model, and it has two adapter slots.
  const HeldModel* held = fleet.engines.engine(Endpoint(0).address).holdings.Find("m0");
  REQUIRE(held != nullptr);
  CHECK(held->adapters.size() == 2);
}

// Guards against requests that wait for an adapter while its engine loads one model after another.
TEST_CASE("an engine loads adapters before it loads another model", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  fleet.Run(milliseconds(50));
  FleetConfig config = Config();
  for (const char* model : {"m0", "m1", "m2", "m3"}) {
    config.services["models"].engine->models[model].adapter_names = {"a1"};
  }
  a.directory.Adopt(config);
  Fleet::ReportWaiting(&a, "m4");
  fleet.Run(milliseconds(400));
  std::string loader;
  for (const OrderRecord& seen : fleet.engines.orders()) {
    if (seen.order.model == "m4") loader = seen.order.endpoint_id;
  }
  const auto first =
      std::find_if(fleet.engines.orders().begin(), fleet.engines.orders().end(),
                   [&](const OrderRecord& seen) { return seen.order.endpoint_id == loader; });
  REQUIRE(first != fleet.engines.orders().end());
  CHECK(first->order.adapter == "a1");
}

// Guards against the eviction of an adapter's only replica while one with other replicas is
// available.
TEST_CASE("an adapter that other engines hold is evicted first", "[leader]") {
  HoldingsLog published;
  EngineTable table(&published);
  FleetDirectory directory;
  directory.Adopt(Config());
  for (int i = 0; i < 2; ++i) directory.Put(Endpoint(i));
  const MonotonicTime now = MonotonicNow();
  table.Sync(directory, now);
  table.Find("e0")->holdings.models = {{"m0", {"a1", "a2"}}};
  table.Find("e1")->holdings.models = {{"m0", {"a2"}}};
  table.Find("e0")->adapter_use["m0/a2"] = now - seconds(5);
  CHECK(table.AdapterToEvict(*table.Find("e0"), now) == ModelAdapter{"m0", "a2"});
  table.Find("e0")->adapter_use["m0/a2"] = now - seconds(1);
  CHECK(table.AdapterToEvict(*table.Find("e0"), now) == ModelAdapter{"m0", "a1"});
}

// Guards against daemons that count their own requests, or requests that have ended, as those of
// others.
TEST_CASE("a daemon gets the load of the other daemons at the endpoints", "[leader]") {
  Fleet fleet;
  Daemon a(&fleet.io, &fleet.store, &fleet.engines, "a");
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.Lead(&a));
  UsageReport report;
  const MonotonicTime now = MonotonicNow();
  const std::uint32_t number = EndpointNumber("e0", 0);
  report.loads = {EndpointLoad(number, {2, 6400, 12800})};
  CHECK(a.leader.HandleReport("d1", report, now).others.empty());
  const auto others = a.leader.HandleReport("d2", report, now).others;
  REQUIRE(others.size() == 1);
  CHECK(others[0].Work().requests == 2);
  CHECK(others[0].Work().prefill_tokens == 6400);
  // Loads too small to affect routing are left out, so that answers stay short in a large fleet.
  report.loads = {EndpointLoad(number, {2, 0, 12800})};
  a.leader.HandleReport("d1", report, now);
  report.loads.clear();
  CHECK(a.leader.HandleReport("d2", report, now).others.empty());
  report.loads = {EndpointLoad(number, {20, 0, 12800})};
  a.leader.HandleReport("d1", report, now);
  report.loads.clear();
  CHECK(a.leader.HandleReport("d2", report, now).others.size() == 1);
  report.loads = {EndpointLoad(number, {2, 6400, 12800})};
  a.leader.HandleReport("d2", report, now);
  report.loads.clear();
  a.leader.HandleReport("d1", report, now);
  CHECK(a.leader.HandleReport("d3", report, now).others.size() == 1);
  a.leader.HandleReport("d2", report, now);
  CHECK(a.leader.HandleReport("d3", report, now).others.empty());
}

}  // namespace mimosabend::testing
