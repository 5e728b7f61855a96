#include <algorithm>
#include <catch2/catch.hpp>

#include "placement.h"

namespace mimosabend {

namespace {

constexpr std::int64_t kEndpointMib = 80000;
constexpr std::int64_t kModelMib = 16000;
const GroupId kGroup{"pool", "north", 0};

Now TimeAt(std::int64_t ms) {
  return {MonotonicTime(milliseconds(1000000 + ms)), WallTime(milliseconds(1000000 + ms))};
}

// Inputs of PlanGroup: six models and one reachable endpoint for each name in `endpoints`.
struct Group {
  explicit Group(const std::vector<std::string>& endpoints) {
    environment.regions = {"north"};
    Pool pool;
    pool.name = "pool";
    pool.endpoint_memory_mib = kEndpointMib;
    pool.budget_mib = 10 * kEndpointMib;
    environment.pools["pool"] = pool;
    for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
      environment.models[name] = Model{name, "", "pool", "1", kModelMib, 0, 2};
    }
    for (const std::string& id : endpoints) {
      EndpointView view;
      view.host.id = id;
      view.host.region = "north";
      view.reachable = true;
      view.fence_raised = true;
      view.state.memory_total_mib = kEndpointMib;
      view.state.incarnation = "1";
      views[id] = view;
    }
  }

  void Wait(const std::string& model, Rank rank, const Now& now) {
    WaitingReport report;
    report.waiting[Index(rank)] = 1;
    report.until = now.monotonic + seconds(600);
    demand[model].reports["daemon"] = report;
    demand[model].last_used = now.monotonic;
  }

  PlanResult Plan(const Now& now, const StoreLoad& store = {}) {
    return PlanGroup(environment, kGroup, views, demand, now, &record, store);
  }

  Environment environment;
  EndpointViews views;
  DemandTable demand;
  PlacementRecord record;
};

}  // namespace

// Guards against loading a checkpoint from the weight store although an engine has it on its disk.
TEST_CASE("a model is loaded at the endpoint that has the checkpoint on disk") {
  Group group({"x", "y", "z"});
  group.views["y"].state.checkpoints_on_disk = {"a@1"};
  group.views["y"].state.memory_used_mib = kModelMib;
  group.views["z"].state.checkpoints_on_disk = {"a@0"};
  group.Wait("a", Rank::kUrgent, TimeAt(0));
  group.Plan(TimeAt(0));
  REQUIRE(group.record.replicas.size() == 1);
  CHECK(group.record.replicas[0].endpoint == "y");
}

// Guards against placing a model at an endpoint without free memory because it has the checkpoint
// on disk.
TEST_CASE("a checkpoint on disk does not overcommit an endpoint") {
  Group group({"x", "y"});
  group.views["y"].state.checkpoints_on_disk = {"a@1"};
  group.views["y"].state.memory_used_mib = kEndpointMib - kModelMib + 1;
  group.Wait("a", Rank::kUrgent, TimeAt(0));
  group.Plan(TimeAt(0));
  REQUIRE(group.record.replicas.size() == 1);
  CHECK(group.record.replicas[0].endpoint == "x");
}

// Guards against concurrent loads that exceed the bandwidth of the weight store and slow each other
// down, and against loading models for background requests before those for urgent ones.
TEST_CASE("loads that exceed the store's bandwidth wait, most urgent first") {
  Group group({"x", "y", "z"});
  group.Wait("a", Rank::kBackground, TimeAt(0));
  group.Wait("b", Rank::kStandard, TimeAt(0));
  group.Wait("c", Rank::kUrgent, TimeAt(0));
  StoreLoad store{true, true, 4, 0};
  const PlanResult full = group.Plan(TimeAt(0), store);
  CHECK(group.record.replicas.empty());
  CHECK(full.loads == 0);
  // A load that waits for the store does not count as unplaced.
  CHECK(full.unplaced.empty());
  store.model_loads = 3;
  group.Plan(TimeAt(500), store);
  REQUIRE(group.record.replicas.size() == 1);
  CHECK(group.record.replicas[0].model == "c");
  // The group counts its own new load, although the store's status does not show it yet.
  group.Plan(TimeAt(650), store);
  CHECK(group.record.replicas.size() == 1);
}

// Guards against an unlimited number of concurrent loads while the store's status can't be read.
TEST_CASE("a group starts at most four model loads when the store does not respond") {
  Group group({"x", "y", "z"});
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    group.Wait(name, Rank::kUrgent, TimeAt(0));
  }
  for (int ms = 0; ms < 3000; ms += 50) group.Plan(TimeAt(ms));
  CHECK(group.record.replicas.size() == 4);
}

// Guards against delaying a load from disk because the weight store is busy.
TEST_CASE("loads from disk don't wait for the store") {
  Group group({"x"});
  group.views["x"].state.checkpoints_on_disk = {"a@1"};
  group.Wait("a", Rank::kBackground, TimeAt(0));
  group.Plan(TimeAt(0), StoreLoad{true, true, 9, 9});
  CHECK(group.record.replicas.size() == 1);
}

// Guards against requests that wait for a load that never completes, and against exceeding
// max_replicas.
TEST_CASE("a stuck load is started at a second endpoint within max_replicas") {
  Group group({"x", "y", "z"});
  group.environment.load_timeout = seconds(60);
  group.Wait("a", Rank::kUrgent, TimeAt(0));
  group.Plan(TimeAt(0));
  group.Plan(TimeAt(14000));
  CHECK(group.record.replicas.size() == 1);
  group.Plan(TimeAt(16000));
  REQUIRE(group.record.replicas.size() == 2);
  CHECK(group.record.replicas[0].endpoint != group.record.replicas[1].endpoint);
  group.Plan(TimeAt(40000));
  CHECK(group.record.replicas.size() == 2);
}

// Guards against requests that wait for the whole load timeout although the loading endpoint is
// unreachable.
TEST_CASE("a load at an unreachable endpoint is replaced within seconds") {
  Group group({"x", "y"});
  group.Wait("a", Rank::kUrgent, TimeAt(0));
  group.Plan(TimeAt(0));
  REQUIRE(group.record.replicas.size() == 1);
  group.views[group.record.replicas[0].endpoint].reachable = false;
  group.Plan(TimeAt(1000));
  CHECK(group.record.replicas.size() == 1);
  group.Plan(TimeAt(2500));
  CHECK(group.record.replicas.size() == 2);
}

// Guards against requests that wait for the replica of a crashed engine until the host list reports
// the crash.
TEST_CASE("a ready replica at an unreachable endpoint is replaced while requests wait") {
  Group group({"x", "y"});
  group.Wait("a", Rank::kUrgent, TimeAt(0));
  group.Plan(TimeAt(0));
  REQUIRE(group.record.replicas.size() == 1);
  group.record.replicas[0].state = ReplicaState::kReady;
  EndpointView& view = group.views[group.record.replicas[0].endpoint];
  view.reachable = false;
  // A new group owner has not received the endpoint's state yet.
  view.state.incarnation.clear();
  group.Plan(TimeAt(5000));
  CHECK(group.record.replicas.size() == 1);
  view.state.incarnation = "1";
  group.Plan(TimeAt(5500));
  CHECK(group.record.replicas.size() == 2);
  group.Plan(TimeAt(9000));
  CHECK(group.record.replicas.size() == 2);
}

// Guards against an adapter that waits for a base model whose only replica is unreachable.
TEST_CASE("an adapter gets another replica of its model when the first is unreachable") {
  Group group({"x", "y"});
  group.environment.models["adapter"] = Model{"adapter", "a", "pool", "1", 200, 0, 1};
  group.Wait("adapter", Rank::kUrgent, TimeAt(0));
  group.Plan(TimeAt(0));
  REQUIRE(group.record.replicas.size() == 1);
  CHECK(group.record.replicas[0].model == "a");
  group.record.replicas[0].state = ReplicaState::kReady;
  group.views[group.record.replicas[0].endpoint].reachable = false;
  group.Plan(TimeAt(5000));
  REQUIRE(group.record.replicas.size() == 2);
  CHECK(group.record.replicas[1].model == "a");
  group.record.replicas[1].state = ReplicaState::kReady;
  group.Plan(TimeAt(7000));
  REQUIRE(group.record.replicas.size() == 3);
  CHECK(group.record.replicas[2].model == "adapter");
  CHECK(group.record.replicas[2].endpoint == group.record.replicas[1].endpoint);
}

// Guards against requests that wait until their deadline although another region could serve them.
TEST_CASE("a model at max_replicas whose endpoints are unreachable counts as unplaced") {
  Group group({"x", "y"});
  group.environment.models["a"].max_replicas = 1;
  group.environment.models["adapter"] = Model{"adapter", "a", "pool", "1", 200, 0, 1};
  group.Wait("a", Rank::kUrgent, TimeAt(0));
  group.Plan(TimeAt(0));
  REQUIRE(group.record.replicas.size() == 1);
  group.record.replicas[0].state = ReplicaState::kReady;
  CHECK(group.Plan(TimeAt(500)).unplaced.empty());
  group.views[group.record.replicas[0].endpoint].reachable = false;
  CHECK(group.Plan(TimeAt(1000)).unplaced == std::vector<std::string>{"a"});
  // An adapter of the model does, too.
  group.demand.erase("a");
  group.Wait("adapter", Rank::kUrgent, TimeAt(1500));
  const std::vector<std::string> unplaced = group.Plan(TimeAt(1500)).unplaced;
  CHECK(std::find(unplaced.begin(), unplaced.end(), "adapter") != unplaced.end());
  CHECK(group.record.replicas.size() == 1);
}

}  // namespace mimosabend
