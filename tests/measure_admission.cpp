// Measures goodput by rank during a flood, with admission control and in order of arrival, by
// simulating the admission code in virtual time. Prints a Markdown table.
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>

#include "admission_load.h"

DEFINE_int32(seeds, 5, "number of seeds, counted from 1");
DEFINE_double(flood, 10, "factor of the flooding rank's rate");
DEFINE_double(service_mean_s, 0.4, "mean service time behind the first token");
DEFINE_int32(slots, 16, "slots of the queue");

namespace mimosabend::testing {

namespace {

LoadOptions Options(std::uint64_t seed) {
  LoadOptions options;
  options.seed = seed;
  options.slots = FLAGS_slots;
  options.service_mean_s = FLAGS_service_mean_s;
  // Half of the capacity without a flood.
  const double capacity = FLAGS_slots / (options.service_mean_s + options.first_token_s);
  options.sources = {{"u", Rank::kUrgent, 1, 0.2 * capacity, 1},
                     {"s", Rank::kStandard, 1, 0.2 * capacity, 1},
                     {"b", Rank::kBackground, 1, 0.1 * capacity, 1}};
  return options;
}

// Prints the goodput of a rank relative to its goodput without a flood, and its share of the slots.
void PrintRow(const char* policy, Rank flooding, Rank rank, bool admission) {
  double min_ratio = 1e9;
  double sum_ratio = 0;
  double min_share = 1e9;
  double wrong_ends = 0;
  for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
    LoadOptions options = Options(seed);
    options.admission = admission;
    const LoadResult calm = RunLoad(options);
    options.sources[Index(flooding)].flood = FLAGS_flood;
    const LoadResult flood = RunLoad(options);
    const double ratio = flood.GoodputPerSecond(rank) / calm.GoodputPerSecond(rank);
    const double share = flood.ranks[Index(rank)].slot_seconds / (flood.measured_s * options.slots);
    min_ratio = std::min(min_ratio, ratio);
    sum_ratio += ratio;
    min_share = std::min(min_share, share);
    wrong_ends += static_cast<double>(flood.wrong_ends + calm.wrong_ends);
  }
  std::printf("| %s | %s | %s | %.3f | %.3f | %.3f | %.2f | %.0f |\n", policy,
              std::string(kRankNames[flooding]).c_str(), std::string(kRankNames[rank]).c_str(),
              sum_ratio / FLAGS_seeds, min_ratio, min_share, kFloors[Index(rank)], wrong_ends);
}

void Run() {
  std::printf(
      "| policy | flood of | rank | goodput/calm, mean | least seed | share of slots, least seed | "
      "floor | wrong ends |\n|---|---|---|---|---|---|---|---|\n");
  for (Rank flooding : {Rank::kBackground, Rank::kUrgent}) {
    for (Rank rank : kAllRanks) {
      PrintRow("admission", flooding, rank, true);
      PrintRow("arrival order", flooding, rank, false);
    }
  }
}

}  // namespace

}  // namespace mimosabend::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  mimosabend::testing::Run();
  return 0;
}
