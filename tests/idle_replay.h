#ifndef MIMOSABEND_TESTS_IDLE_REPLAY_H_
#define MIMOSABEND_TESTS_IDLE_REPLAY_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "idle_policy.h"

namespace mimosabend::testing {

// How a model is used: independent requests, sessions hours apart, roughly fixed intervals, or
// alternating hours with and without requests.
enum class UsePattern : std::uint8_t { kPoisson, kSessions, kPeriodic, kAlternating };
inline constexpr std::size_t kUsePatternCount = 4;

// A request for a model, `at` seconds from the start of the trace.
struct Use {
  double at = 0;
  int model = 0;
};

// Requests for `models` models over `hours` hours, with the patterns in equal shares. Deterministic
// for given arguments.
std::vector<Use> MakeTrace(int models, double hours, std::uint64_t seed);

struct ReplayResult {
  std::uint64_t requests = 0;
  std::uint64_t cold_starts = 0;
  // 99th percentile of the wait for a load over all requests.
  double wait_p99_s = 0;
  // The same over requests that wait.
  double cold_p99_s = 0;
  double idle_hours = 0;
};

// Maps a model's history to the time for which it stays loaded after a use.
using TimeoutOf = std::function<milliseconds(const UseHistory&)>;

// Replays a trace event by event. Idle hours are in units of a whole accelerator: idle time times
// model memory divided by accelerator memory.
ReplayResult Replay(const std::vector<Use>& trace, int models, const TimeoutOf& timeout);

// Returns the fixed timeout with the fewest idle hours whose cold starts and wait p99 are no worse
// than those of `goal`. Stores its result in `*result`.
milliseconds MatchFixedTimeout(const std::vector<Use>& trace, int models, const ReplayResult& goal,
                               ReplayResult* result);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_IDLE_REPLAY_H_
