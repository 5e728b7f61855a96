// Measures response times and extra work with and without hedging, for docs/design/hedging.md. Not
// a test. Usage: measure_hedging [ROUNDS]

#include <cstdio>
#include <cstdlib>
#include <string>

#include "hedge_simulation.h"

namespace mimosabend::testing {

namespace {

constexpr seconds kTime{50};

struct Method {
  const char* name;
  HedgingSettings hedging;
  bool detect_slow_service;
};

constexpr milliseconds kMin{20};
constexpr milliseconds kMax{1000};
constexpr Method kMethods[] = {
    {"off", {}, true},
    {"fixed 50 ms", {0.05, milliseconds(50), milliseconds(50)}, true},
    {"fixed 150 ms", {0.05, milliseconds(150), milliseconds(150)}, true},
    {"tail", {0.05, kMin, kMax}, true},
    {"tail, share 0.01", {0.01, kMin, kMax}, true},
    {"tail, share 0.2", {0.2, kMin, kMax}, true},
    {"tail, undetected", {0.05, kMin, kMax}, false},
};

void Measure(HedgeScenario scenario, const Method& method, int rounds) {
  scenario.hedging = method.hedging;
  scenario.detect_slow_service = method.detect_slow_service;
  double p50 = 0, p99 = 0, p999 = 0, worst = 0, trouble = 0, settled = 0;
  int hedges = 0;
  for (int round = 1; round <= rounds; ++round) {
    scenario.seed = static_cast<std::uint64_t>(round);
    HedgeSimulation simulation(scenario);
    simulation.Run(kTime);
    p50 += simulation.Quantile(0.5) / rounds;
    p99 += simulation.Quantile(0.99) / rounds;
    p999 += simulation.Quantile(0.999) / rounds;
    worst = std::max(worst, simulation.WorstExtraWork(seconds(0)));
    trouble = std::max(trouble, simulation.ExtraWork(HedgeSimulation::kTroubleStart, kTime));
    settled = std::max(settled, simulation.WorstExtraWork(HedgeSimulation::kTroubleStart));
    hedges += simulation.hedges();
  }
  std::printf(
      "  %-18s p50 %4.0f  p99 %5.0f  p99.9 %5.0f ms  worst 10 s %.4f  from 20 s on %.4f "
      "(worst 10 s %.4f)  hedges %d\n",
      method.name, p50, p99, p999, worst, trouble, settled, hedges / rounds);
  std::fflush(stdout);
}

// Measures all methods at all sizes.
void MeasureAll(int rounds) {
  constexpr const char* kNames[] = {"a sixth in phases", "a sixth for long", "all"};
  for (const int daemons : {6, 91, 340}) {
    HedgeScenario scenario(daemons);
    for (int slow = 0; slow < 3; ++slow) {
      scenario.slow = static_cast<SlowEndpoints>(slow);
      std::printf("%d daemons, %s\n", daemons, kNames[slow]);
      for (const Method& method : kMethods) Measure(scenario, method, rounds);
    }
  }
}

}  // namespace

}  // namespace mimosabend::testing

int main(int argc, char** argv) {
  const int rounds = argc > 1 ? static_cast<int>(std::strtol(argv[1], nullptr, 10)) : 3;
  mimosabend::testing::MeasureAll(rounds);
}
