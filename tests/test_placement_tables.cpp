#include <catch2/catch.hpp>

#include "placement.h"

namespace mimosabend {

namespace {

constexpr std::int64_t kMemoryMib = 100;
const WallTime kWallNow{seconds(1'800'000'000)};
const MonotonicTime kMonotonicNow{seconds(1'000'000)};
const Now kNow{kMonotonicNow, kWallNow};
const GroupId kGroup{"assistant", "sul", 0};
constexpr milliseconds kLateOrderHold{60000};
constexpr milliseconds kLoadTimeout{30000};

Environment MakeEnvironment() {
  Environment environment;
  environment.regions = {"sul"};
  environment.load_timeout = kLoadTimeout;
  Pool& pool = environment.pools["assistant"];
  pool.name = "assistant";
  pool.endpoint_memory_mib = kMemoryMib;
  pool.budget_mib = 2 * kMemoryMib;
  for (const char* name : {"a", "b", "c"}) {
    Model& model = environment.models[name];
    model.name = name;
    model.pool = "assistant";
    model.version = "1";
    model.memory_mib = 60;
  }
  Model& adapter = environment.models["a-adapter"];
  adapter.name = "a-adapter";
  adapter.base = "a";
  adapter.pool = "assistant";
  adapter.version = "1";
  adapter.memory_mib = 10;
  return environment;
}

// A replica whose load was decided an hour ago.
PlacedReplica Replica(const std::string& model, const std::string& endpoint, ReplicaState state,
                      std::int64_t memory_mib = 60) {
  PlacedReplica replica;
  replica.model = model;
  replica.version = "1";
  replica.endpoint = endpoint;
  replica.state = state;
  replica.memory_mib = memory_mib;
  replica.order_id = model + "@" + endpoint;
  replica.decided_at_ms = ToUnixMillis(kWallNow - seconds(3600));
  return replica;
}

// A reachable endpoint that reports the replicas of the record except those that are loading.
EndpointView View(const std::string& id, const PlacementRecord& record) {
  EndpointView view;
  view.host.id = id;
  view.reachable = true;
  view.fence_raised = true;
  view.is_current = true;
  view.state.memory_total_mib = kMemoryMib;
  for (const PlacedReplica& replica : record.replicas) {
    if (replica.endpoint != id || replica.state == ReplicaState::kLoading) continue;
    view.state.replicas.push_back(
        {replica.model, replica.version, replica.state, replica.memory_mib});
    view.state.memory_used_mib += replica.memory_mib;
  }
  return view;
}

EndpointViews Views(const PlacementRecord& record) {
  return {{"e1", View("e1", record)}, {"e2", View("e2", record)}};
}

DemandTable Waiting(const std::vector<std::string>& models) {
  DemandTable demand;
  for (const std::string& model : models) {
    demand[model].reports["daemon"] = {WaitingByRank{1, 0, 0}, kMonotonicNow + seconds(1)};
    demand[model].last_used = kMonotonicNow;
  }
  return demand;
}

// Formats each replica as "model@endpoint:state".
std::vector<std::string> Describe(const PlacementRecord& record) {
  std::vector<std::string> lines;
  for (const PlacedReplica& replica : record.replicas) {
    lines.push_back(replica.model + "@" + replica.endpoint + ":" +
                    std::string(kReplicaStateNames[replica.state]));
  }
  return lines;
}

LateOrderReservation Reservation(const std::string& model, const std::string& endpoint,
                                 milliseconds left) {
  return {endpoint, model, "late-" + model, 60, ToUnixMillis(kWallNow + left)};
}

constexpr ReplicaState kLoading = ReplicaState::kLoading;
constexpr ReplicaState kReady = ReplicaState::kReady;
constexpr ReplicaState kUnloading = ReplicaState::kUnloading;

}  // namespace

// Guards against reusing memory that a decided, unconfirmed or late order may still use.
TEST_CASE("charged memory includes everything that may still be used", "[placement]") {
  PlacementRecord record;
  record.replicas = {Replica("a", "e1", kLoading, 10), Replica("b", "e1", kReady, 20),
                     Replica("c", "e1", kUnloading, 30), Replica("a", "e2", kReady, 40)};
  CHECK(ChargedMemory(record, "e1", kWallNow) == 60);
  record.reservations = {Reservation("x", "e1", seconds(1)), Reservation("y", "e1", seconds(0)),
                         Reservation("z", "e2", seconds(1))};
  CHECK(ChargedMemory(record, "e1", kWallNow) == 120);
  // A reservation and a replica with the same order id are charged once.
  record.reservations[0].order_id = "a@e1";
  CHECK(ChargedMemory(record, "e1", kWallNow) == 60);
  CHECK(CountReplicas(record, "z", kWallNow) == 1);
  CHECK(CountReplicas(record, "a", kWallNow) == 2);
}

// Guards against removing a replica from the record while it may be loaded or a late order may
// still load it.
TEST_CASE("a replica is removed only when it is known to be gone", "[placement]") {
  struct Case {
    std::string name;
    ReplicaState state;
    std::optional<ReplicaState> reported;
    void (*change)(EndpointView* view);
    // std::nullopt if the replica is removed.
    std::optional<ReplicaState> expected;
  };
  const auto nothing = [](EndpointView*) {};
  const std::vector<Case> cases{
      {"a load that is not reported may still arrive", kLoading, {}, nothing, kLoading},
      {"a load is complete", kLoading, kReady, nothing, kReady},
      {"a load is in progress", kLoading, kLoading, nothing, kLoading},
      {"a restarted engine is told to unload", kReady, {}, nothing, kUnloading},
      {"an engine unloads on its own", kReady, kUnloading, nothing, kUnloading},
      {"an unload is complete", kUnloading, {}, nothing, std::nullopt},
      {"an unload is in progress", kUnloading, kUnloading, nothing, kUnloading},
      {"unreachable",
       kUnloading,
       {},
       [](EndpointView* view) { view->reachable = false; },
       kUnloading},
      {"the owner's fence is not raised",
       kUnloading,
       {},
       [](EndpointView* view) { view->fence_raised = false; },
       kUnloading},
      {"a load was sent since the observation",
       kUnloading,
       {},
       [](EndpointView* view) { view->is_current = false; },
       kUnloading},
      {"the fence does not exclude load orders",
       kUnloading,
       {},
       [](EndpointView* view) {
         view->honours_fence = true;
         view->state.fence = 6;
       },
       kUnloading},
      {"the fence excludes load orders",
       kUnloading,
       {},
       [](EndpointView* view) {
         view->honours_fence = true;
         view->state.fence = 7;
       },
       std::nullopt},
      {"unlisted and unreachable for a moment", kReady, kReady,
       [](EndpointView* view) {
         view->listed = false;
         view->reachable = false;
       },
       kReady},
      {"gone", kReady, kReady,
       [](EndpointView* view) {
         view->listed = false;
         view->reachable = false;
         view->gone = true;
       },
       std::nullopt},
  };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    PlacementRecord record;
    record.fence = 8;
    record.replicas = {Replica("a", "e1", item.state)};
    record.replicas[0].unload_fence = item.state == kUnloading ? 7 : 0;
    EndpointView view = View("e1", PlacementRecord());
    if (item.reported) view.state.replicas.push_back({"a", "1", *item.reported, 60});
    item.change(&view);
    const ObservationResult result = ApplyObservations({{"e1", view}}, kNow, &record);
    CHECK(result.changed == (item.expected != item.state));
    REQUIRE(record.replicas.size() == (item.expected ? 1 : 0));
    if (!item.expected) continue;
    CHECK(record.replicas[0].state == *item.expected);
    const bool newly_unloading = item.expected == kUnloading && item.state != kUnloading;
    CHECK(record.replicas[0].unload_fence == (newly_unloading            ? 9
                                              : item.state == kUnloading ? 7
                                                                         : 0));
    CHECK(record.fence == (newly_unloading ? 9 : 8));
  }
}

// Guards against replicas on engines that were never decided and are neither charged nor unloaded.
TEST_CASE("an undecided replica is charged and unloaded", "[placement]") {
  PlacementRecord record;
  EndpointView view = View("e1", record);
  view.state.replicas.push_back({"a", "0", kReady, 60});
  const ObservationResult result = ApplyObservations({{"e1", view}}, kNow, &record);
  CHECK(result.undecided == 1);
  CHECK(Describe(record) == std::vector<std::string>{"a@e1:unloading"});
  CHECK(ChargedMemory(record, "e1", kWallNow) == 60);
  CHECK(CountReplicas(record, "a", kWallNow) == 1);
  // Observing it again adds no second replica.
  CHECK(ApplyObservations({{"e1", view}}, kNow, &record).undecided == 0);
}

// Guards against a load order of unknown outcome that arrives after its replica was removed.
TEST_CASE("a load of unknown outcome leaves a reservation where fences are ignored",
          "[placement]") {
  const bool honoured = GENERATE(false, true);
  PlacementRecord record;
  record.replicas = {Replica("a", "e1", kUnloading)};
  EndpointView view = View("e1", PlacementRecord());
  view.honours_fence = honoured;
  view.late_loads["a@e1"] = kWallNow + seconds(5);
  ApplyObservations({{"e1", view}}, kNow, &record);
  CHECK(record.replicas.empty());
  CHECK(ChargedMemory(record, "e1", kWallNow) == (honoured ? 0 : 60));
  CHECK(ChargedMemory(record, "e1", kWallNow + seconds(5)) == 0);
  // A host that is gone accepts no orders, so no reservation is needed.
  view.gone = true;
  ApplyObservations({{"e1", view}}, kNow, &record);
  CHECK(record.reservations.empty());
}

// Guards against late orders of a former owner that overcommit memory, and against reservations
// that accumulate or never expire.
TEST_CASE("a new owner reserves memory for late orders", "[placement]") {
  struct Case {
    ReplicaState state;
    seconds age;
    // Duration of the reservation; zero for none.
    seconds expected;
  };
  const std::vector<Case> cases{
      {kLoading, seconds(3600), seconds(60)}, {kLoading, seconds(0), seconds(60)},
      {kReady, seconds(0), seconds(60)},      {kReady, seconds(40), seconds(50)},
      {kReady, seconds(3600), seconds(0)},    {kUnloading, seconds(40), seconds(50)},
      {kUnloading, seconds(3600), seconds(0)}};
  for (const Case& item : cases) {
    CAPTURE(item.state, item.age.count());
    PlacementRecord record;
    record.replicas = {Replica("a", "e1", item.state)};
    record.replicas[0].decided_at_ms = ToUnixMillis(kWallNow - item.age);
    ReserveForLateOrders(kWallNow, kLoadTimeout, kLateOrderHold, &record);
    ReserveForLateOrders(kWallNow, kLoadTimeout, kLateOrderHold, &record);
    CHECK(ChargedMemory(record, "e1", kWallNow) == 60);
    record.replicas.clear();
    CHECK(record.reservations.size() == (item.expected.count() > 0 ? 1 : 0));
    if (item.expected.count() == 0) continue;
    const WallTime end = kWallNow + item.expected;
    CHECK(ChargedMemory(record, "e1", end - milliseconds(1)) == 60);
    CHECK(CountReplicas(record, "a", end - milliseconds(1)) == 1);
    CHECK(ChargedMemory(record, "e1", end) == 0);
  }
}

// Guards against loads that exceed memory, budget or max_replicas, loads on ineligible endpoints,
// and replicas that stay loaded although the environment no longer allows them.
TEST_CASE("decisions keep the bounds", "[placement]") {
  struct Case {
    std::string name;
    std::vector<PlacedReplica> replicas;
    std::vector<std::string> waiting;
    void (*change)(Environment* environment, EndpointViews* views, PlacementRecord* record);
    std::vector<std::string> expected;
  };
  const auto nothing = [](Environment*, EndpointViews*, PlacementRecord*) {};
  const std::vector<Case> cases{
      {"a load goes to the emptier endpoint",
       {Replica("a", "e1", kReady)},
       {"a", "b"},
       nothing,
       {"a@e1:ready", "b@e2:loading"}},
      {"a model at max_replicas is not loaded again",
       {Replica("a", "e1", kUnloading)},
       {"a"},
       nothing,
       {"a@e1:unloading"}},
      {"a reservation counts against the replica bound",
       {},
       {"a"},
       [](Environment*, EndpointViews*, PlacementRecord* record) {
         record->reservations = {Reservation("a", "e1", seconds(1))};
       },
       {}},
      {"a reservation counts against memory",
       {},
       {"b"},
       [](Environment*, EndpointViews* views, PlacementRecord* record) {
         views->erase("e2");
         record->reservations = {Reservation("a", "e1", seconds(1))};
       },
       {}},
      {"a reservation counts against the budget",
       {},
       {"b"},
       [](Environment* environment, EndpointViews*, PlacementRecord* record) {
         environment->pools["assistant"].budget_mib = 100;
         record->reservations = {Reservation("a", "e1", seconds(1))};
       },
       {}},
      {"an unreachable endpoint gets no load and stays charged",
       {Replica("a", "e1", kLoading)},
       {"a", "b"},
       [](Environment* environment, EndpointViews* views, PlacementRecord* record) {
         views->at("e1").reachable = false;
         environment->load_timeout = seconds(7200);
         record->replicas[0].memory_mib = 10;
       },
       {"a@e1:loading", "b@e2:loading"}},
      {"no endpoint is reachable",
       {},
       {"a"},
       [](Environment*, EndpointViews* views, PlacementRecord*) {
         for (auto& [id, view] : *views) view.reachable = false;
       },
       {}},
      {"an endpoint whose fence is not raised gets no load",
       {},
       {"a"},
       [](Environment*, EndpointViews* views, PlacementRecord*) {
         for (auto& [id, view] : *views) view.fence_raised = false;
       },
       {}},
      {"memory used beyond the record is not free, even while a replica is loading",
       {Replica("c", "e1", kLoading, 20)},
       {"b"},
       [](Environment* environment, EndpointViews* views, PlacementRecord*) {
         views->erase("e2");
         views->at("e1").state.memory_used_mib = 30;
         environment->load_timeout = seconds(7200);
       },
       {"c@e1:loading"}},
      {"a leaving endpoint is unloaded and gets no load",
       {Replica("a", "e1", kReady), Replica("c", "e2", kReady)},
       {"a", "b"},
       [](Environment*, EndpointViews* views, PlacementRecord*) {
         views->at("e1").host.state = HostState::kLeaving;
       },
       // The remaining endpoint frees memory for b.
       {"a@e1:unloading", "c@e2:unloading"}},
      {"a reachable host that is missing from the list is unloaded",
       {Replica("a", "e1", kReady)},
       {},
       [](Environment*, EndpointViews* views, PlacementRecord*) {
         views->at("e1").listed = false;
         views->at("e1").missing = true;
       },
       {"a@e1:unloading"}},
      {"a version change unloads the old version before the load",
       {Replica("a", "e1", kReady)},
       {"a"},
       [](Environment* environment, EndpointViews*, PlacementRecord*) {
         environment->models["a"].version = "2";
       },
       {"a@e1:unloading"}},
      {"a version change unloads the adapters too",
       {Replica("a", "e1", kReady), Replica("a-adapter", "e1", kReady, 10)},
       {"a-adapter"},
       [](Environment* environment, EndpointViews*, PlacementRecord* record) {
         record->replicas[1].base = "a";
         environment->models["a"].version = "2";
       },
       {"a@e1:unloading", "a-adapter@e1:unloading"}},
      {"an adapter is loaded where its model is ready",
       {Replica("b", "e1", kReady), Replica("a", "e2", kReady)},
       {"a-adapter"},
       nothing,
       {"b@e1:ready", "a@e2:ready", "a-adapter@e2:loading"}},
      {"an adapter waits for its model", {}, {"a-adapter"}, nothing, {"a@e1:loading"}},
      {"a removed model is unloaded",
       {Replica("a", "e1", kReady)},
       {},
       [](Environment* environment, EndpointViews*, PlacementRecord*) {
         environment->models.erase("a-adapter");
         environment->models.erase("a");
       },
       {"a@e1:unloading"}},
      {"a lower max_replicas unloads the surplus replica",
       {Replica("a", "e1", kReady), Replica("a", "e2", kReady)},
       {"a"},
       nothing,
       {"a@e1:unloading", "a@e2:ready"}},
      {"a smaller budget unloads one replica, not all",
       {Replica("a", "e1", kReady), Replica("b", "e2", kReady)},
       {},
       [](Environment* environment, EndpointViews*, PlacementRecord*) {
         environment->pools["assistant"].budget_mib = 60;
       },
       {"a@e1:unloading", "b@e2:ready"}},
      {"nothing is loaded while the charged memory exceeds a smaller budget",
       {Replica("a", "e1", kUnloading)},
       {"b"},
       [](Environment* environment, EndpointViews*, PlacementRecord*) {
         environment->pools["assistant"].budget_mib = 60;
       },
       {"a@e1:unloading"}},
      {"a smaller endpoint memory unloads replicas until the rest fits",
       {Replica("a", "e1", kReady, 30), Replica("b", "e1", kReady, 30)},
       {},
       [](Environment* environment, EndpointViews*, PlacementRecord*) {
         environment->pools["assistant"].endpoint_memory_mib = 50;
       },
       {"a@e1:unloading", "b@e1:ready"}},
      {"a load that times out is unloaded, stays charged and is not repeated elsewhere",
       {Replica("a", "e1", kLoading)},
       {"a"},
       nothing,
       {"a@e1:unloading"}},
  };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    PlacementRecord record;
    record.replicas = item.replicas;
    record.fence = 5;
    Environment environment = MakeEnvironment();
    EndpointViews views = Views(record);
    item.change(&environment, &views, &record);
    // All models have just been used, so none is idle.
    DemandTable demand = Waiting(item.waiting);
    for (const PlacedReplica& replica : record.replicas) {
      demand[replica.model].last_used = kMonotonicNow;
    }
    PlanGroup(environment, kGroup, views, demand, kNow, &record);
    CHECK(Describe(record) == item.expected);
    for (const auto& [id, view] : views) {
      CHECK(ChargedMemory(record, id, kWallNow) <= kMemoryMib);
    }
    // Unload fences must not exceed the fencing token of the record.
    for (const PlacedReplica& replica : record.replicas) {
      CHECK(replica.unload_fence <= record.fence);
    }
  }
}

}  // namespace mimosabend
