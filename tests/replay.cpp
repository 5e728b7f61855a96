// Replays arrival traces through the idle policy and through fixed idle timeouts, and prints one
// CSV row for each.
#include <gflags/gflags.h>

#include <iomanip>
#include <iostream>

#include "idle_replay.h"

DEFINE_int32(models, 40, "models in the trace");
DEFINE_double(hours, 72, "length of the trace");
DEFINE_int32(seeds, 5, "traces, with the seeds from 1");

namespace mimosabend::testing {

namespace {

constexpr double kIdleWeights[] = {0, 0.1, 0.25, 0.5, 0.75, 1};

void PrintRow(int seed, const char* policy, double setting, const ReplayResult& result) {
  std::cout << seed << "," << policy << "," << setting << "," << result.requests << ","
            << result.cold_starts << "," << result.wait_p99_s << "," << result.cold_p99_s << ","
            << result.idle_hours << "\n";
}

// Prints the policy and the matching fixed timeout, which is no worse in cold starts and wait p99.
void PrintRun(int seed) {
  const std::vector<Use> trace = MakeTrace(FLAGS_models, FLAGS_hours, seed);
  for (const double weight : kIdleWeights) {
    const ReplayResult adaptive = Replay(trace, FLAGS_models, [&](const UseHistory& history) {
      return IdleTimeout(history, weight);
    });
    PrintRow(seed, "history", weight, adaptive);
    ReplayResult fixed;
    const milliseconds timeout = MatchFixedTimeout(trace, FLAGS_models, adaptive, &fixed);
    PrintRow(seed, "matched_fixed", static_cast<double>(timeout.count()) / 1000, fixed);
  }
}

}  // namespace

}  // namespace mimosabend::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cout << std::setprecision(6)
            << "seed,policy,setting,requests,cold_starts,wait_p99_s,cold_p99_s,idle_hours\n";
  for (int seed = 1; seed <= FLAGS_seeds; ++seed) mimosabend::testing::PrintRun(seed);
  return 0;
}
