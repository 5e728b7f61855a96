#ifndef MIMOSABEND_TESTS_IDLE_REPLAY_H_
#define MIMOSABEND_TESTS_IDLE_REPLAY_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "idle_policy.h"

namespace mimosabend::testing {

// How a model is used: independent requests, sessions hours apart, at fixed intervals, or in
// turns of hours with and without requests.
enum class UsePattern : std::uint8_t { kPoisson, kSessions, kPeriodic, kTurns };
inline constexpr std::size_t kUsePatternCount = 4;

// A request for a model at a time in seconds.
struct Use {
  double at = 0;
  int model = 0;
};

// Requests for `models` models over some hours, with the patterns in equal shares. The same for
// the same arguments.
std::vector<Use> MakeTrace(int models, double hours, std::uint64_t seed);

struct ReplayResult {
  std::uint64_t requests = 0;
  std::uint64_t cold_starts = 0;
  // Time that requests wait for a load, over all requests.
  double wait_p99_s = 0;
  // The same over the requests that wait at all.
  double cold_p99_s = 0;
  double idle_hours = 0;
};

// How long a model stays loaded after a use.
using TimeoutOf = std::function<milliseconds(const UseHistory&)>;

// Replays a trace event by event. Idle hours are those of a whole accelerator: loaded memory by
// accelerator memory.
ReplayResult Replay(const std::vector<Use>& trace, int models, const TimeoutOf& timeout);

// The fixed timeout with the fewest idle hours whose cold starts and wait p99 are no worse than
// those of `goal`, and its result in `*result`.
milliseconds MatchFixed(const std::vector<Use>& trace, int models, const ReplayResult& goal,
                        ReplayResult* result);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_IDLE_REPLAY_H_
