#include <catch2/catch.hpp>
#include <random>

#include "model_planner.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};
constexpr double kWeightsMb = 70000;
constexpr milliseconds kTight{800};
constexpr milliseconds kLoose{5000};

std::string Model(int i) { return "m" + std::to_string(i); }

// Engines that hold two models each.
EngineProfile Profile(int models) {
  EngineProfile profile;
  profile.weights_mb = 2 * kWeightsMb + 5000;
  for (int i = 0; i < models; ++i) {
    profile.models[Model(i)] = {
        kWeightsMb, 50, {"a1", "a2", "a3", "a4"}, seconds(6), milliseconds(800), milliseconds(400)};
  }
  return profile;
}

PlannerEngine Engine(const std::string& id, const std::vector<std::string>& models,
                     const std::vector<std::string>& disk = {}) {
  PlannerEngine engine;
  engine.id = id;
  for (const std::string& model : models) engine.holdings.models.push_back({model, {}});
  engine.holdings.on_disk = disk;
  for (const std::string& model : models) engine.holdings.on_disk.push_back(model);
  return engine;
}

ModelUsage Usage(const std::string& model, std::uint32_t requests, std::uint32_t prefill_ms,
                 std::uint32_t waiting, milliseconds target) {
  ModelUsage usage;
  usage.model = model;
  usage.requests = requests;
  usage.prefill_ms = prefill_ms;
  usage.waiting = waiting;
  usage.target_ms = static_cast<std::uint32_t>(target.count());
  return usage;
}

// Adds a usage report to the demand.
void AddUsage(DemandRates* demand, const std::string& model, std::uint32_t requests,
              std::uint32_t prefill_ms, std::uint32_t waiting, milliseconds target) {
  (*demand)[model].Add(Usage(model, requests, prefill_ms, waiting, target), "d", kStart);
}

}  // namespace

// Guards against adapters that evict each other forever because a model's replicas have fewer slots
// than it has adapters in use.
TEST_CASE("a model gets as many replicas as its adapters in use need", "[planner]") {
  EngineProfile profile = Profile(4);
  profile.adapter_slots = 2;
  DemandRates demand;
  ModelUsage usage = Usage("m0", 5, 10, 0, kTight);
  for (int i = 0; i < 5; ++i) usage.adapters.push_back({"a" + std::to_string(i), 1});
  demand["m0"].Add(usage, "d", kStart);
  CHECK(WantedReplicas(profile, &demand["m0"], 8, kStart) == 3);
  CHECK(WantedReplicas(profile, &demand["m0"], 2, kStart) == 2);
  // Adapters that were last used long ago don't count.
  CHECK(WantedReplicas(profile, &demand["m0"], 8, kStart + seconds(60)) == 0);
}

// Guards against a load from the store, which takes 6 s, while an engine has the weights on disk.
TEST_CASE("a model with waiting requests is loaded where its weights are local", "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0"}),
                                           Engine("e2", {"m1", "m2"}, {"m3"})};
  DemandRates demand;
  AddUsage(&demand, "m2", 1, 100, 0, kLoose);
  AddUsage(&demand, "m3", 0, 0, 1, kLoose);
  const auto loads = PlanLoads(profile, engines, demand, 1, kStart);
  REQUIRE_FALSE(loads.empty());
  CHECK(loads[0].engine == "e2");
  CHECK(loads[0].model == "m3");
  CHECK(loads[0].victims == std::vector<std::string>{"m1"});
  CHECK_FALSE(loads[0].from_store);
}

// Guards against starvation of models that sort after others of the same priority by name.
// Simulates an engine with room for two of eight models, each with one request per second.
TEST_CASE("no model with waiting requests starves", "[planner]") {
  constexpr int kModels = 8;
  const EngineProfile profile = Profile(kModels);
  PlannerEngine engine = Engine("e1", {"m0", "m1"});
  for (int i = 2; i < kModels; ++i) engine.holdings.on_disk.push_back(Model(i));
  DemandRates demand;
  std::map<std::string, int> loads_of;
  MonotonicTime now = kStart;
  for (int second = 0; second < 2 * kModels; ++second, now += seconds(1)) {
    for (int i = 0; i < kModels; ++i) {
      const bool held = engine.holdings.Find(Model(i)) != nullptr;
      demand[Model(i)].Add(Usage(Model(i), 1, 10, held ? 0 : 1, kLoose), "d", now);
    }
    for (const PlannedLoad& load : PlanLoads(profile, {engine}, demand, 0, now)) {
      ++loads_of[load.model];
      for (const std::string& victim : load.victims) {
        std::erase_if(engine.holdings.models,
                      [&](const auto& held) { return held.name == victim; });
      }
      engine.holdings.models.push_back({load.model, {}});
    }
  }
  for (int i = 0; i < kModels; ++i) {
    CAPTURE(Model(i));
    CHECK(loads_of[Model(i)] > 0);
  }
}

// Guards against a load for one request while another load would serve many that have waited as
// long.
TEST_CASE("the model with more waiting requests is loaded first", "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m2", "m3"})};
  DemandRates demand;
  AddUsage(&demand, "m2", 0, 0, 1, kLoose);
  AddUsage(&demand, "m3", 0, 0, 4, kLoose);
  const auto loads = PlanLoads(profile, engines, demand, 0, kStart);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].model == "m3");
}

// Guards against starvation of requests when all loaded models are in use with tight latency
// targets, even if rarely, and against the eviction of a busy model for one new request.
TEST_CASE("requests that have waited long evict a model that is used less", "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m2"})};
  struct Case {
    std::string name;
    // Requests in the last second for each model that the engine holds.
    std::uint32_t uses;
    std::uint32_t waiting;
    milliseconds waited;
    bool expected;
  };
  const std::vector<Case> cases{
      {"one request that has just arrived", 1, 1, milliseconds(0), false},
      {"one request after its latency target", 1, 1, milliseconds(800), true},
      {"one request at its latency target, busy models", 6, 1, milliseconds(800), false},
      {"many requests", 1, 3, milliseconds(0), true},
      {"one request after a long wait, busy models", 6, 1, milliseconds(3000), true},
  };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    DemandRates demand;
    const MonotonicTime now = kStart + item.waited;
    for (MonotonicTime time = kStart; time <= now; time += milliseconds(200)) {
      demand["m2"].Add(Usage("m2", 0, 0, item.waiting, kTight), "d", time);
    }
    for (const char* held : {"m0", "m1"}) {
      demand[held].Add(Usage(held, item.uses, 10, 0, kTight), "d", now);
    }
    const auto loads = PlanLoads(profile, engines, demand, 0, now);
    CHECK(!loads.empty() == item.expected);
    for (const PlannedLoad& load : loads) CHECK(load.model == "m2");
  }
}

// Guards against the eviction of all models of an engine because it holds one that is no longer
// configured and thus of unknown size.
TEST_CASE("a model that is no longer configured is evicted alone", "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"removed", "m0"}, {"m2"})};
  DemandRates demand;
  AddUsage(&demand, "m2", 0, 0, 1, kLoose);
  AddUsage(&demand, "removed", 1, 10, 0, kTight);
  const auto loads = PlanLoads(profile, engines, demand, 0, kStart + milliseconds(1400));
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].victims == std::vector<std::string>{"removed"});
}

// Guards against evictions on many engines for the single load that the store limit permits.
TEST_CASE("a model without a replica causes evictions on at most one engine", "[planner]") {
  const EngineProfile profile = Profile(6);
  std::vector<PlannerEngine> engines;
  for (int i = 0; i < 4; ++i) engines.push_back(Engine("e" + std::to_string(i), {"m0", "m1"}));
  DemandRates demand;
  AddUsage(&demand, "m4", 0, 0, 3, kTight);
  CHECK(PlanLoads(profile, engines, demand, 0, kStart).empty());
  const auto loads = PlanLoads(profile, engines, demand, 1, kStart);
  REQUIRE(loads.size() == 1);
  engines[0].loading = "m4";
  engines[0].blocked = true;
  CHECK(PlanLoads(profile, engines, demand, 0, kStart).empty());
}

// Guards against a busy model with a single replica while models whose requests can wait occupy the
// other engines.
TEST_CASE("a busy model evicts models that can be reloaded in time", "[planner]") {
  const EngineProfile profile = Profile(8);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m0"}),
                                           Engine("e2", {"m2", "m3"}, {"m0"}),
                                           Engine("e3", {"m4", "m5"}, {"m0"})};
  DemandRates demand;
  AddUsage(&demand, "m0", 30, 2400, 0, kTight);
  for (int i = 1; i < 5; ++i) AddUsage(&demand, Model(i), 1, 200, 0, kLoose);
  AddUsage(&demand, "m5", 1, 100, 0, kTight);
  const auto loads = PlanLoads(profile, engines, demand, 0, kStart);
  REQUIRE(loads.size() == 2);
  for (const PlannedLoad& load : loads) {
    CHECK(load.model == "m0");
    REQUIRE(load.victims.size() == 1);
    CHECK(load.victims[0] != "m5");
  }
}

// Guards against the eviction of a model's only replica for a model that no request waits for.
TEST_CASE("a load ahead of demand evicts surplus replicas only", "[planner]") {
  const EngineProfile profile = Profile(4);
  std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}), Engine("e2", {"m2"})};
  engines[1].holdings.models.push_back({"m1", {}});
  const auto loads = PlanLoads(profile, engines, {}, 4, kStart);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].model == "m3");
  CHECK(loads[0].victims == std::vector<std::string>{"m1"});
}

// Guards against a load from the store while an engine that has the weights locally is busy for a
// moment.
TEST_CASE("a load waits for a busy engine with local weights", "[planner]") {
  const EngineProfile profile = Profile(4);
  std::vector<PlannerEngine> engines{Engine("e1", {"m0"}, {"m3"}), Engine("e2", {"m1"})};
  engines[0].blocked = true;
  DemandRates demand;
  AddUsage(&demand, "m3", 0, 0, 1, kTight);
  for (const PlannedLoad& load : PlanLoads(profile, engines, demand, 1, kStart)) {
    CHECK(load.model != "m3");
  }
}

// Guards against a load from the store, which takes 6 s, while an engine with the weights on disk
// keeps a replica whose load the other replicas could easily carry.
TEST_CASE("a lightly loaded replica is evicted for waiting requests", "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m4"}),
                                           Engine("e2", {"m0", "m1"}), Engine("e3", {"m2"})};
  DemandRates demand;
  AddUsage(&demand, "m0", 3, 300, 0, kTight);
  AddUsage(&demand, "m1", 3, 300, 0, kTight);
  AddUsage(&demand, "m4", 0, 0, 1, kTight);
  const auto loads = PlanLoads(profile, engines, demand, 1, kStart);
  REQUIRE_FALSE(loads.empty());
  CHECK(loads[0].model == "m4");
  CHECK(loads[0].engine == "e1");
  CHECK_FALSE(loads[0].from_store);
}

// Guards against an unload that waits for long streams while an idle model could be evicted at
// once: meanwhile the engine accepts no other order, and the requests for the new model wait.
TEST_CASE("a model without requests in flight is evicted first", "[planner]") {
  const EngineProfile profile = Profile(5);
  std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m4"}),
                                     Engine("e2", {"m2", "m3"}, {"m4"})};
  engines[0].running = {{"m0", 3}, {"m1", 1}};
  engines[1].running = {{"m2", 2}};
  DemandRates demand;
  for (const char* model : {"m0", "m1", "m2", "m3"}) AddUsage(&demand, model, 1, 5, 0, kLoose);
  // m3 has no requests in flight but the highest rate.
  AddUsage(&demand, "m3", 2, 5, 0, kLoose);
  AddUsage(&demand, "m4", 0, 0, 1, kTight);
  const auto loads = PlanLoads(profile, engines, demand, 0, kStart);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].engine == "e2");
  CHECK(loads[0].victims == std::vector<std::string>{"m3"});
}

// Guards against an overloaded model that gets no second replica, so that its callers give up,
// because each free engine loads models whose requests can wait.
TEST_CASE("an overloaded model takes precedence over requests that can wait", "[planner]") {
  const EngineProfile profile = Profile(4);
  PlannerEngine busy = Engine("e1", {"m0", "m1"});
  busy.blocked = true;
  const std::vector<PlannerEngine> engines{busy, Engine("e2", {"m2"}, {"m0", "m3"})};
  DemandRates demand;
  AddUsage(&demand, "m0", 30, 2500, 0, kTight);
  AddUsage(&demand, "m3", 0, 0, 4, kLoose);
  const auto planned = PlanLoads(profile, engines, demand, 0, kStart);
  REQUIRE(planned.size() == 1);
  CHECK(planned[0].model == "m0");
  // Requests that have waited long take precedence over it.
  DemandRates later;
  AddUsage(&later, "m3", 0, 0, 4, kLoose);
  const MonotonicTime then = kStart + seconds(3);
  for (int i = 1; i < 3; ++i) {
    later["m3"].Add(Usage("m3", 0, 0, 4, kLoose), "d", kStart + seconds(i));
  }
  later["m3"].Add(Usage("m3", 0, 0, 4, kLoose), "d", then);
  later["m0"].Add(Usage("m0", 30, 2500, 0, kTight), "d", then);
  const auto fair = PlanLoads(profile, engines, later, 0, then);
  REQUIRE(fair.size() == 1);
  CHECK(fair[0].model == "m3");
}

// Guards against replicas that are loaded and unloaded with each fluctuation of demand.
TEST_CASE("replicas are surplus only well below the load that adds one", "[planner]") {
  const EngineProfile profile = Profile(1);
  DemandRates demand;
  AddUsage(&demand, "m0", 3, 700, 0, kTight);
  const ModelDemandRate& rate = demand["m0"];
  const std::uint32_t wanted = WantedReplicas(profile, &rate, 18, kStart);
  CHECK(wanted >= 1);
  CHECK(WantedReplicas(profile, nullptr, 18, kStart) == 0);
  CHECK(WantedReplicas(profile, &rate, 18, kStart + seconds(60)) == 0);
}

// Guards against orders that exceed an engine's memory.
TEST_CASE("no plan overcommits an engine's memory", "[planner]") {
  constexpr int kModels = 12;
  const EngineProfile profile = Profile(kModels);
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<PlannerEngine> engines;
    for (int e = 0; e < 5; ++e) {
      std::vector<std::string> models;
      for (std::uint64_t held = random() % 3; held > 0; --held) {
        const std::string model = Model(static_cast<int>(random() % kModels));
        if (models.empty() || models[0] != model) models.push_back(model);
      }
      engines.push_back(Engine("e" + std::to_string(e), models, {Model(random() % kModels)}));
      engines.back().blocked = random() % 4 == 0;
    }
    DemandRates demand;
    for (int i = 0; i < kModels; ++i) {
      const auto target = random() % 2 == 0 ? kTight : kLoose;
      const auto waiting = random() % 3;
      const auto prefill_ms = random() % 3000;
      const auto requests = random() % 5;
      AddUsage(&demand, Model(i), requests, prefill_ms, waiting, target);
    }
    std::map<std::string, int> orders;
    for (const PlannedLoad& load : PlanLoads(profile, engines, demand, random() % 3, kStart)) {
      CHECK(++orders[load.engine] == 1);
      const auto engine = std::find_if(engines.begin(), engines.end(),
                                       [&](const auto& item) { return item.id == load.engine; });
      CHECK_FALSE(engine->blocked);
      EngineHoldings after = engine->holdings;
      for (const std::string& victim : load.victims) {
        CHECK(std::erase_if(after.models, [&](const auto& held) { return held.name == victim; }) ==
              1);
      }
      CHECK(after.Find(load.model) == nullptr);
      after.models.push_back({load.model, {}});
      CHECK(UsedMb(profile, after) <= profile.weights_mb);
    }
  }
}

}  // namespace mimosabend::testing
