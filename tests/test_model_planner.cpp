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

ModelUsage Usage(const std::string& model, std::uint32_t requests, std::uint32_t reading_ms,
                 std::uint32_t waiting, milliseconds target) {
  ModelUsage usage;
  usage.model = model;
  usage.requests = requests;
  usage.reading_ms = reading_ms;
  usage.waiting = waiting;
  usage.target_ms = static_cast<std::uint32_t>(target.count());
  return usage;
}

// Demand as after one second of reports.
void Use(DemandRates* demand, const std::string& model, std::uint32_t requests,
         std::uint32_t reading_ms, std::uint32_t waiting, milliseconds target) {
  (*demand)[model].Add(Usage(model, requests, reading_ms, waiting, target), "d", kStart);
}

}  // namespace

// Guards against adapters that push each other out for ever, because the engines of their model
// have fewer places than it has adapters in use.
TEST_CASE("a model gets as many engines as its adapters in use need", "[planner]") {
  EngineProfile profile = Profile(4);
  profile.adapter_slots = 2;
  DemandRates demand;
  ModelUsage usage = Usage("m0", 5, 10, 0, kTight);
  for (int i = 0; i < 5; ++i) usage.adapters.push_back({"a" + std::to_string(i), 1});
  demand["m0"].Add(usage, "d", kStart);
  CHECK(WantedReplicas(profile, &demand["m0"], 8, kStart) == 3);
  CHECK(WantedReplicas(profile, &demand["m0"], 2, kStart) == 2);
  // Adapters that were last used long ago have no claim.
  CHECK(WantedReplicas(profile, &demand["m0"], 8, kStart + seconds(60)) == 0);
}

// Guards against a cold model that is read from the store for 6 s while an engine's disk has it.
TEST_CASE("a waiting model goes where its weights are at hand", "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0"}),
                                           Engine("e2", {"m1", "m2"}, {"m3"})};
  DemandRates demand;
  Use(&demand, "m2", 1, 100, 0, kLoose);
  Use(&demand, "m3", 0, 0, 1, kLoose);
  const auto loads = PlanLoads(profile, engines, demand, 1, kStart);
  REQUIRE_FALSE(loads.empty());
  CHECK(loads[0].engine == "e2");
  CHECK(loads[0].model == "m3");
  CHECK(loads[0].victims == std::vector<std::string>{"m1"});
  CHECK_FALSE(loads[0].from_store);
}

// Guards against models whose requests are never served since others of the same priority come
// first in the order of names: replays an engine with two places whose eight models all have a
// request every second.
TEST_CASE("every model that waits gets its turn", "[planner]") {
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

// Guards against a load for one request while another load would serve many that wait as long.
TEST_CASE("the model with more waiting requests goes first", "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m2", "m3"})};
  DemandRates demand;
  Use(&demand, "m2", 0, 0, 1, kLoose);
  Use(&demand, "m3", 0, 0, 4, kLoose);
  const auto loads = PlanLoads(profile, engines, demand, 0, kStart);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].model == "m3");
}

// Guards against requests that are never served because each engine's models are in use with tight
// targets, however seldom, and against a busy model that has to go for one new request.
TEST_CASE("requests that have waited long take a place from a model that is used less",
          "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m2"})};
  struct Case {
    std::string name;
    // Requests of the last second for each model that the engine holds.
    std::uint32_t uses;
    std::uint32_t waiting;
    milliseconds waited;
    bool expected;
  };
  const std::vector<Case> cases{
      {"one request that has just come", 1, 1, milliseconds(0), false},
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

// Guards against an engine that drops all it can because the memory of a model that is no longer
// configured is not known.
TEST_CASE("a model that is no longer configured makes room alone", "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"removed", "m0"}, {"m2"})};
  DemandRates demand;
  Use(&demand, "m2", 0, 0, 1, kLoose);
  Use(&demand, "removed", 1, 10, 0, kTight);
  const auto loads = PlanLoads(profile, engines, demand, 0, kStart + milliseconds(1400));
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].victims == std::vector<std::string>{"removed"});
}

// Guards against many engines that are emptied for the one load that the store allows.
TEST_CASE("one missing model empties one engine at most", "[planner]") {
  const EngineProfile profile = Profile(6);
  std::vector<PlannerEngine> engines;
  for (int i = 0; i < 4; ++i) engines.push_back(Engine("e" + std::to_string(i), {"m0", "m1"}));
  DemandRates demand;
  Use(&demand, "m4", 0, 0, 3, kTight);
  CHECK(PlanLoads(profile, engines, demand, 0, kStart).empty());
  const auto loads = PlanLoads(profile, engines, demand, 1, kStart);
  REQUIRE(loads.size() == 1);
  engines[0].loading = "m4";
  engines[0].blocked = true;
  CHECK(PlanLoads(profile, engines, demand, 0, kStart).empty());
}

// Guards against busy models that queue on one engine while models whose requests can wait hold
// the places.
TEST_CASE("a busy model takes places of models that can be loaded again in time", "[planner]") {
  const EngineProfile profile = Profile(8);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m0"}),
                                           Engine("e2", {"m2", "m3"}, {"m0"}),
                                           Engine("e3", {"m4", "m5"}, {"m0"})};
  DemandRates demand;
  Use(&demand, "m0", 30, 2400, 0, kTight);
  for (int i = 1; i < 5; ++i) Use(&demand, Model(i), 1, 200, 0, kLoose);
  Use(&demand, "m5", 1, 100, 0, kTight);
  const auto loads = PlanLoads(profile, engines, demand, 0, kStart);
  REQUIRE(loads.size() == 2);
  for (const PlannedLoad& load : loads) {
    CHECK(load.model == "m0");
    REQUIRE(load.victims.size() == 1);
    CHECK(load.victims[0] != "m5");
  }
}

// Guards against the only replica of a model that is given up for a copy that nobody waits for.
TEST_CASE("a copy ahead of demand takes surplus replicas only", "[planner]") {
  const EngineProfile profile = Profile(4);
  std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}), Engine("e2", {"m2"})};
  engines[1].holdings.models.push_back({"m1", {}});
  const auto loads = PlanLoads(profile, engines, {}, 4, kStart);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].model == "m3");
  CHECK(loads[0].victims == std::vector<std::string>{"m1"});
}

// Guards against a model that is loaded from the store while an engine that has it is busy for a
// moment.
TEST_CASE("a busy engine with a copy is waited for", "[planner]") {
  const EngineProfile profile = Profile(4);
  std::vector<PlannerEngine> engines{Engine("e1", {"m0"}, {"m3"}), Engine("e2", {"m1"})};
  engines[0].blocked = true;
  DemandRates demand;
  Use(&demand, "m3", 0, 0, 1, kTight);
  for (const PlannedLoad& load : PlanLoads(profile, engines, demand, 1, kStart)) {
    CHECK(load.model != "m3");
  }
}

// Guards against requests that wait 6 s for the weight store while an engine that has the weights
// on its disk keeps a replica of a model which others serve with ease.
TEST_CASE("a lightly loaded replica makes room for a waiting model", "[planner]") {
  const EngineProfile profile = Profile(6);
  const std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m4"}),
                                           Engine("e2", {"m0", "m1"}), Engine("e3", {"m2"})};
  DemandRates demand;
  Use(&demand, "m0", 3, 300, 0, kTight);
  Use(&demand, "m1", 3, 300, 0, kTight);
  Use(&demand, "m4", 0, 0, 1, kTight);
  const auto loads = PlanLoads(profile, engines, demand, 1, kStart);
  REQUIRE_FALSE(loads.empty());
  CHECK(loads[0].model == "m4");
  CHECK(loads[0].engine == "e1");
  CHECK_FALSE(loads[0].from_store);
}

// Guards against an unload that waits for long streams while an idle model could make room at once:
// the engine takes no other order meanwhile, and the requests for the new model wait with it.
TEST_CASE("a model with no running requests makes room first", "[planner]") {
  const EngineProfile profile = Profile(5);
  std::vector<PlannerEngine> engines{Engine("e1", {"m0", "m1"}, {"m4"}),
                                     Engine("e2", {"m2", "m3"}, {"m4"})};
  engines[0].running = {{"m0", 3}, {"m1", 1}};
  engines[1].running = {{"m2", 2}};
  DemandRates demand;
  for (const char* model : {"m0", "m1", "m2", "m3"}) Use(&demand, model, 1, 5, 0, kLoose);
  // The idle model is used most.
  Use(&demand, "m3", 2, 5, 0, kLoose);
  Use(&demand, "m4", 0, 0, 1, kTight);
  const auto loads = PlanLoads(profile, engines, demand, 0, kStart);
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].engine == "e2");
  CHECK(loads[0].victims == std::vector<std::string>{"m3"});
}

// Guards against a busy model that stays on one engine, with callers that leave unserved, because
// each engine that is free goes to models whose requests can wait.
TEST_CASE("an overloaded model goes before requests that can wait", "[planner]") {
  const EngineProfile profile = Profile(4);
  PlannerEngine busy = Engine("e1", {"m0", "m1"});
  busy.blocked = true;
  const std::vector<PlannerEngine> engines{busy, Engine("e2", {"m2"}, {"m0", "m3"})};
  DemandRates demand;
  Use(&demand, "m0", 30, 2500, 0, kTight);
  Use(&demand, "m3", 0, 0, 4, kLoose);
  const auto planned = PlanLoads(profile, engines, demand, 0, kStart);
  REQUIRE(planned.size() == 1);
  CHECK(planned[0].model == "m0");
  // Requests that have waited long don't wait on for it.
  DemandRates later;
  Use(&later, "m3", 0, 0, 4, kLoose);
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

// Guards against replicas that come and go with each swing of the demand.
TEST_CASE("replicas are surplus only well below the load that adds one", "[planner]") {
  const EngineProfile profile = Profile(1);
  DemandRates demand;
  Use(&demand, "m0", 3, 700, 0, kTight);
  const ModelDemandRate& rate = demand["m0"];
  const std::uint32_t wanted = WantedReplicas(profile, &rate, 18, kStart);
  CHECK(wanted >= 1);
  CHECK(WantedReplicas(profile, nullptr, 18, kStart) == 0);
  CHECK(WantedReplicas(profile, &rate, 18, kStart + seconds(60)) == 0);
}

// Guards against engines that are ordered to hold more than their memory.
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
      Use(&demand, Model(i), random() % 5, random() % 3000, random() % 3,
          random() % 2 == 0 ? kTight : kLoose);
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
