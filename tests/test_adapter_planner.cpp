#include <catch2/catch.hpp>

#include "adapter_planner.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};
constexpr double kWeightsMb = 70000;

EngineProfile Profile(std::uint32_t slots) {
  EngineProfile profile;
  profile.weights_mb = 2 * kWeightsMb + 1000;
  profile.adapter_slots = slots;
  for (const char* model : {"m0", "m1"}) {
    profile.models[model] = {kWeightsMb, 50,         {"a1", "a2", "a3"},
                             seconds(6), seconds(1), milliseconds(400)};
  }
  return profile;
}

PlannerEngine Engine(const std::string& id, std::vector<HeldModel> models) {
  PlannerEngine engine;
  engine.id = id;
  engine.holdings.models = std::move(models);
  return engine;
}

void AddUsage(DemandRates* demand, const std::string& model, const std::string& adapter,
              std::uint32_t requests) {
  ModelUsage usage;
  usage.model = model;
  usage.requests = requests;
  usage.adapters = {{adapter, requests}};
  (*demand)[model].Add(usage, "d", kStart);
}

std::string Text(const PlannedAdapter& planned) {
  return planned.engine + " " + planned.model + "/" + planned.adapter;
}

}  // namespace

// Guards against requests that wait for an adapter although an engine that holds its model has a
// free slot.
TEST_CASE("adapters without a replica get free slots, those in use first", "[adapter_planner]") {
  const EngineProfile profile = Profile(8);
  const std::vector<PlannerEngine> engines{Engine("e1", {{"m0", {"a1"}}})};
  DemandRates demand;
  AddUsage(&demand, "m0", "a3", 2);
  const auto planned = PlanAdapters(profile, engines, demand, 8, kStart);
  // An engine accepts one order at a time.
  REQUIRE(planned.size() == 1);
  CHECK(Text(planned[0]) == "e1 m0/a3");
}

// Guards against a busy adapter with a single replica while other engines hold its model, and
// against further replicas that leave no slot for an adapter that a request waits for.
TEST_CASE("adapters in use get further replicas where a slot stays free", "[adapter_planner]") {
  const EngineProfile profile = Profile(4);
  const std::vector<HeldModel> all{{"m0", {"a1", "a2", "a3"}}};
  DemandRates demand;
  AddUsage(&demand, "m0", "a2", 5);
  const auto planned =
      PlanAdapters(profile, {Engine("e1", all), Engine("e2", {{"m0", {}}})}, demand, 8, kStart);
  REQUIRE(planned.size() == 1);
  CHECK(Text(planned[0]) == "e2 m0/a2");
  const std::vector<PlannerEngine> one_slot{Engine("e1", all), Engine("e2", {{"m0", {"a1"}}}),
                                            Engine("e3", all)};
  CHECK(PlanAdapters(Profile(2), one_slot, demand, 8, kStart).empty());
}

// Guards against orders that an engine would reject, and against too many concurrent adapter loads.
TEST_CASE("busy engines, full engines and engines without memory get no adapter",
          "[adapter_planner]") {
  EngineProfile profile = Profile(2);
  PlannerEngine blocked = Engine("e1", {{"m0", {}}});
  blocked.blocked = true;
  PlannerEngine loading = Engine("e2", {{"m0", {}}});
  loading.loading = "m1";
  const PlannerEngine full = Engine("e3", {{"m1", {"a1", "a2"}}});
  CHECK(PlanAdapters(profile, {blocked, loading, full}, {}, 8, kStart).empty());
  const PlannerEngine open = Engine("e4", {{"m0", {}}, {"m1", {}}});
  CHECK(PlanAdapters(profile, {open}, {}, 8, kStart).size() == 1);
  CHECK(PlanAdapters(profile, {open}, {}, 0, kStart).empty());
  profile.weights_mb = 2 * kWeightsMb + 20;
  CHECK(PlanAdapters(profile, {open}, {}, 8, kStart).empty());
}

}  // namespace mimosabend::testing
