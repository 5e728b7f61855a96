#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <random>

#include "limit_simulation.h"

// Seeded random rounds of a fleet that keeps to an endpoint's rate limit. The number of seeds and
// the first one come from MIMOSABEND_LIMIT_SEEDS and MIMOSABEND_LIMIT_SEED.
namespace mimosabend::testing {

namespace {

constexpr int kDefaultSeeds = 12;
constexpr std::array kFleets{6, 66, 195};
constexpr std::array kRates{0.5, 1.0, 3.0, 10.0, 40.0};

int FromEnvironment(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

int Seeds() { return FromEnvironment("MIMOSABEND_LIMIT_SEEDS", kDefaultSeeds); }
int FirstSeed() { return FromEnvironment("MIMOSABEND_LIMIT_SEED", 1); }

// One disturbance of a random kind.
void Disturb(LimitSimulation* fleet, std::mt19937_64* random) {
  const auto number = [&](int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(*random);
  };
  const auto any_daemon = [&] { return number(0, fleet->daemons() - 1); };
  switch (number(0, 6)) {
    case 0:
      fleet->KillLeader();
      break;
    case 1:
      fleet->ReplaceLeader(milliseconds(number(0, 1000)), milliseconds(number(1000, 3000)));
      break;
    case 2:
      for (int i = number(1, 1 + fleet->daemons() / 10); i > 0; --i) {
        fleet->Pause(any_daemon(), milliseconds(number(500, 3000)));
      }
      break;
    case 3:
      for (int i = 0; i < fleet->daemons(); ++i) fleet->SetCut(i, number(0, 9) == 0);
      break;
    case 4:
      for (int i = 0; i < fleet->daemons(); ++i) fleet->SetCut(i, false);
      break;
    case 5:
      for (int i = number(1, 1 + fleet->daemons() / 10); i > 0; --i) fleet->Restart(any_daemon());
      break;
    default:
      if (number(0, 3) == 0) fleet->RestartAll();
  }
}

// A round with disturbances and limits that change. Demand is up to four times the highest limit.
void RunDisturbed(LimitSimulation* fleet, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const double highest = kRates[random() % kRates.size()];
  const double demand = std::uniform_real_distribution<double>(0.5, 1)(random) * highest;
  fleet->Run(2, demand);
  fleet->SetLimit(highest);
  for (int i = 0; i < 12; ++i) {
    const double jump = random() % 2 == 0 ? 4 : 1;
    fleet->Run(std::uniform_real_distribution<double>(0.5, 5)(random), 2 + demand * jump);
    if (random() % 2 == 0) Disturb(fleet, &random);
    if (random() % 4 != 0) continue;
    const double rate = std::min(kRates[random() % kRates.size()], highest);
    fleet->SetLimit(random() % 4 == 0 ? std::nullopt : std::optional<double>(rate));
  }
}

LimitScenario Scenario(int daemons, std::uint64_t seed, LimitMethod method) {
  return {daemons, seed, method, seed % 3 == 0, seed % 2 == 0 && daemons > 6};
}

}  // namespace

// Guards against more requests to an endpoint than it accepts when daemons restart, pause or are
// cut off, the leader changes, and the limit changes.
TEST_CASE("all daemons together keep to an endpoint's rate limit", "[limits]") {
  for (const int daemons : kFleets) {
    double worst = 0;
    int counted = 0;
    int untold = 0;
    int exceeded = 0;
    for (int seed = FirstSeed(); seed < FirstSeed() + Seeds(); ++seed) {
      const auto number = static_cast<std::uint64_t>(seed);
      LimitSimulation fleet(Scenario(daemons, number, LimitMethod::kPermits));
      RunDisturbed(&fleet, number);
      CAPTURE(daemons, seed);
      const double used = fleet.WorstWindow();
      CHECK(used <= 1);
      exceeded += used > 1 ? 1 : 0;
      worst = std::max(worst, used);
      counted += fleet.counted();
      untold += fleet.untold();
    }
    std::cout << "disturbed daemons=" << daemons << " seeds=" << Seeds() << " exceeded=" << exceeded
              << " worst_of_bound=" << worst << " counted=" << counted << " untold=" << untold
              << "\n";
    CHECK(counted > 0);
  }
}

// Guards against a limit that is enforced by leaving most of it unused, and against a burst above
// the limit without any disturbance. A window has the time of at least 30 requests, since callers
// come at random.
TEST_CASE("an endpoint's rate limit can be used up", "[limits]") {
  for (const int daemons : kFleets) {
    for (const double rate : kRates) {
      const milliseconds window(std::max(10000, static_cast<int>(30000 / rate)));
      double worst = 0;
      double least = 1e9;
      double least_10s = 1e9;
      double asked = 0;
      for (int seed = FirstSeed(); seed < FirstSeed() + Seeds(); ++seed) {
        const auto number = static_cast<std::uint64_t>(seed);
        std::mt19937_64 random(number);
        LimitSimulation fleet(Scenario(daemons, number, LimitMethod::kPermits));
        const double demand = std::uniform_real_distribution<double>(2, 4)(random) * rate;
        fleet.SetLimit(rate);
        fleet.Run(15, demand);
        const MonotonicTime settled = fleet.now();
        const int asked_before = fleet.asked();
        const double time = 2 * ToSeconds(window);
        fleet.Run(time, demand);
        CAPTURE(daemons, rate, seed);
        const double used = fleet.LeastUsed(rate, settled, window);
        CHECK(used >= 0.9);
        CHECK(fleet.WorstWindow() <= 1);
        least = std::min(least, used);
        least_10s = std::min(least_10s, fleet.LeastUsed(rate, settled, seconds(10)));
        worst = std::max(worst, fleet.WorstWindow());
        asked += (fleet.asked() - asked_before) / time / Seeds();
      }
      std::cout << "calm daemons=" << daemons << " rate=" << rate << " seeds=" << Seeds()
                << " least_used=" << least << " least_used_10s=" << least_10s
                << " worst_of_bound=" << worst << " asked_per_s=" << asked << "\n";
    }
  }
}

// Guards against a simulation that can't detect an excess: daemons that each use the whole rate
// exceed the limit together.
TEST_CASE("the simulation detects daemons that each use the whole rate", "[limits]") {
  for (const int daemons : kFleets) {
    int exceeded = 0;
    for (int seed = FirstSeed(); seed < FirstSeed() + Seeds(); ++seed) {
      const auto number = static_cast<std::uint64_t>(seed);
      LimitSimulation fleet(Scenario(daemons, number, LimitMethod::kOwnBuckets));
      fleet.SetLimit(kRates[number % kRates.size()]);
      fleet.Run(15, 4 * kRates[number % kRates.size()] + 20);
      exceeded += fleet.WorstWindow() > 1 ? 1 : 0;
    }
    std::cout << "own buckets daemons=" << daemons << " seeds=" << Seeds()
              << " exceeded=" << exceeded << "\n";
    CHECK(2 * exceeded > Seeds());
  }
}

}  // namespace mimosabend::testing
