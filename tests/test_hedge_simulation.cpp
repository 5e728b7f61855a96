#include <catch2/catch.hpp>

#include "hedge_simulation.h"

namespace mimosabend::testing {

namespace {

constexpr seconds kTime{45};
// Extra work that an overload of all endpoints may cause.
constexpr double kMaxInOverload = 0.01;

HedgeSimulation RunScenario(int daemons, std::uint64_t seed, SlowEndpoints slow, double extra_work,
                            bool detect = true) {
  HedgeScenario scenario(daemons);
  scenario.seed = seed;
  scenario.slow = slow;
  scenario.hedging.extra_work = extra_work;
  scenario.detect_slow_service = detect;
  HedgeSimulation simulation(scenario);
  simulation.Run(kTime);
  return simulation;
}

}  // namespace

// Guards against extra work above the operator's limit in any 10 s, over all daemons, and against
// hedges that don't shorten the tail.
TEST_CASE("hedges shorten the tail within the limit of extra work", "[hedging]") {
  for (const int daemons : {6, 91, 340}) {
    for (std::uint64_t seed = 1; seed <= (daemons == 6 ? 4 : 1); ++seed) {
      for (const SlowEndpoints slow : {SlowEndpoints::kPhases, SlowEndpoints::kLong}) {
        CAPTURE(daemons, seed, static_cast<int>(slow));
        HedgeSimulation without = RunScenario(daemons, seed, slow, 0);
        for (const double share : {0.01, 0.05}) {
          HedgeSimulation with = RunScenario(daemons, seed, slow, share);
          CAPTURE(share);
          CHECK(with.hedges() > 0);
          CHECK(with.WorstExtraWork(seconds(0)) <= share);
          if (share == 0.05) CHECK(with.Quantile(0.99) < without.Quantile(0.99));
          if (share == 0.05) CHECK(with.Quantile(0.999) < without.Quantile(0.999));
        }
        CHECK(without.hedges() == 0);
      }
    }
  }
}

// Guards against hedges that add to an overload of all endpoints. Without the check of the service,
// the simulation shows an excess.
TEST_CASE("hedging switches itself off when all endpoints are slow", "[hedging]") {
  const auto extra_work = [](int daemons, std::uint64_t seed, bool detect) {
    const HedgeSimulation simulation =
        RunScenario(daemons, seed, SlowEndpoints::kAll, 0.05, detect);
    CHECK(simulation.hedges() > 0);
    return simulation.WorstExtraWork(HedgeSimulation::kTroubleStart);
  };
  for (const int daemons : {6, 91, 340}) {
    for (std::uint64_t seed = 1; seed <= (daemons == 6 ? 4 : 1); ++seed) {
      CAPTURE(daemons, seed);
      CHECK(extra_work(daemons, seed, true) <= kMaxInOverload);
    }
  }
  CHECK(extra_work(6, 1, false) > kMaxInOverload);
}

}  // namespace mimosabend::testing
