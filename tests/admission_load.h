#ifndef MIMOSABEND_TESTS_ADMISSION_LOAD_H_
#define MIMOSABEND_TESTS_ADMISSION_LOAD_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "admission.h"

namespace mimosabend::testing {

// The requests of one caller, a Poisson process.
struct LoadSource {
  std::string caller;
  Rank rank = Rank::kStandard;
  double weight = 1;
  double per_second = 0;
  // The rate is multiplied by this.
  double flood = 1;
};

struct LoadOptions {
  std::vector<LoadSource> sources;
  int slots = 16;
  double service_mean_s = 0.4;
  double first_token_s = 0.05;
  double timeout_s = 60;
  double duration_s = 120;
  // Requests that arrive before this time are not counted in the results.
  double warm_up_s = 20;
  // If false, requests start in order of arrival from an unbounded queue.
  bool admission = true;
  std::uint64_t seed = 1;
};

struct LoadCounts {
  std::uint64_t arrived = 0;
  // Requests whose first token met the rank's target and whose completion met the deadline.
  std::uint64_t in_target = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  // Service time of the requests in `in_target`.
  double slot_seconds = 0;
};

struct LoadResult {
  std::array<LoadCounts, kRankCount> ranks;
  std::map<std::string, LoadCounts> callers;
  std::size_t most_waiting = 0;
  // Requests that did not end exactly once.
  std::uint64_t wrong_ends = 0;
  double measured_s = 0;

  double GoodputPerSecond(Rank rank) const {
    return static_cast<double>(ranks[Index(rank)].in_target) / measured_s;
  }
};

// First-token targets by rank, as in the default environment document.
inline constexpr std::array<milliseconds, kRankCount> kFirstTokenTargets{
    milliseconds(950), milliseconds(4000), milliseconds(30000)};
inline constexpr std::array<double, kRankCount> kFloors{0, 0.15, 0.05};

// Simulates the admission code with slots of random service times, in virtual time.
LoadResult RunLoad(const LoadOptions& options);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_ADMISSION_LOAD_H_
