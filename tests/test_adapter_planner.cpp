#include <catch2/catch.hpp>

#include "adapter_planner.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};
constexpr double kWeightsMb = 70000;

EngineProfile Profile(std::uint32_t places) {
  EngineProfile profile;
  profile.weights_mb = 2 * kWeightsMb + 1000;
  profile.adapter_slots = places;
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

void Use(DemandRates* demand, const std::string& model, const std::string& adapter,
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

// Guards against requests that wait for an adapter although its model's engine has a free place.
TEST_CASE("free places take adapters that no engine holds, those in use first",
          "[adapter_planner]") {
  const EngineProfile profile = Profile(8);
  const std::vector<PlannerEngine> engines{Engine("e1", {{"m0", {"a1"}}})};
  DemandRates demand;
  Use(&demand, "m0", "a3", 2);
  const auto planned = PlanAdapters(profile, engines, demand, 8, kStart);
  // An engine takes one order at a time.
  REQUIRE(planned.size() == 1);
  CHECK(Text(planned[0]) == "e1 m0/a3");
}

// Guards against one engine that serves all requests for a busy adapter while others hold its
// model, and against copies that leave no place for an adapter that is asked for.
TEST_CASE("adapters in use get further copies where a place stays free", "[adapter_planner]") {
  const EngineProfile profile = Profile(4);
  const std::vector<HeldModel> all{{"m0", {"a1", "a2", "a3"}}};
  DemandRates demand;
  Use(&demand, "m0", "a2", 5);
  const auto planned =
      PlanAdapters(profile, {Engine("e1", all), Engine("e2", {{"m0", {}}})}, demand, 8, kStart);
  REQUIRE(planned.size() == 1);
  CHECK(Text(planned[0]) == "e2 m0/a2");
  const std::vector<PlannerEngine> one_place{Engine("e1", all), Engine("e2", {{"m0", {"a1"}}}),
                                             Engine("e3", all)};
  CHECK(PlanAdapters(Profile(2), one_place, demand, 8, kStart).empty());
}

// Guards against orders that an engine would refuse, and against too many fetches at once.
TEST_CASE("engines that are busy, full or out of memory take no adapter", "[adapter_planner]") {
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
