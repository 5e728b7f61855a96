#include <catch2/catch.hpp>
#include <random>

#include "idle_replay.h"

namespace mimosabend::testing {

namespace {

constexpr double kWeight = 0.5;

MonotonicTime At(std::int64_t s) { return MonotonicTime(seconds(1000000 + s)); }

// A history with the given gaps in seconds, repeated `rounds` times.
UseHistory HistoryOf(const std::vector<std::int64_t>& gaps, int rounds) {
  UseHistory history;
  std::int64_t now = 0;
  history.RecordUse(At(now));
  for (int i = 0; i < rounds; ++i) {
    for (const std::int64_t gap : gaps) history.RecordUse(At(now += gap));
  }
  return history;
}

}  // namespace

// Guards against decisions from too little history.
TEST_CASE("without enough history a model stays for as long as one load costs") {
  CHECK(IdleTimeout(UseHistory(), kWeight) == IdleTimeout(kWeight));
  CHECK(IdleTimeout(HistoryOf({3600}, 1), kWeight) == IdleTimeout(kWeight));
}

// Guards against memory held for models whose next use is too far away.
TEST_CASE("a model that is used once an hour is unloaded soon") {
  CHECK(IdleTimeout(HistoryOf({3600}, 10), kWeight) <= seconds(10));
}

// Guards against a cold start at each use of a model in steady use.
TEST_CASE("a model that is used each minute stays loaded") {
  CHECK(IdleTimeout(HistoryOf({60}, 10), kWeight) >= seconds(60));
}

// Guards against a policy that considers only the average gap.
TEST_CASE("a model used in sessions stays for the session and no longer") {
  const milliseconds timeout =
      IdleTimeout(HistoryOf({30, 30, 30, 30, 30, 30, 30, 7200}, 10), kWeight);
  CHECK(timeout >= seconds(30));
  CHECK(timeout < IdleTimeout(kWeight));
}

// Guards against a history that never adapts.
TEST_CASE("old gaps decay") {
  UseHistory history = HistoryOf({60}, 200);
  std::int64_t now = 1000000;
  for (int i = 0; i < 200; ++i) history.RecordUse(At(now += 3600));
  CHECK(IdleTimeout(history, kWeight) <= seconds(10));
}

// Guards against reports of continuous use that outweigh the idle gaps.
TEST_CASE("reports of use within seconds of each other don't count as gaps") {
  CHECK(IdleTimeout(HistoryOf({2, 2, 2, 2, 2, 2, 2, 3600}, 20), kWeight) <= seconds(10));
}

// Guards against a setting with an inverted effect for some histories.
TEST_CASE("a higher idle weight never keeps a model longer") {
  std::mt19937_64 random(1);
  for (int i = 0; i < 200; ++i) {
    std::vector<std::int64_t> gaps;
    gaps.reserve(10);
    for (int j = 0; j < 10; ++j) {
      const std::uint64_t limit = random() % 2 == 0 ? 100 : 20000;
      gaps.push_back(static_cast<std::int64_t>(random() % limit));
    }
    const UseHistory history = HistoryOf(gaps, 3);
    milliseconds last = IdleTimeout(history, 0);
    for (int step = 1; step <= 20; ++step) {
      const milliseconds timeout = IdleTimeout(history, step / 20.0);
      CHECK(timeout <= last);
      last = timeout;
    }
  }
}

// Guards against a policy that saves too little. The target is at most 0.7 of the idle hours of a
// fixed timeout with as few cold starts and as low a wait. It is met at low idle weights;
// docs/decisions/idle.md lists the weights at which it is not.
TEST_CASE("idle hours are at most 0.7 of a fixed timeout's") {
  constexpr int kModels = 40;
  for (const double weight : {0.0, 0.1}) {
    double history_hours = 0;
    double fixed_hours = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const std::vector<Use> trace = MakeTrace(kModels, 72, seed);
      const ReplayResult result = Replay(
          trace, kModels, [&](const UseHistory& history) { return IdleTimeout(history, weight); });
      ReplayResult fixed;
      MatchFixedTimeout(trace, kModels, result, &fixed);
      history_hours += result.idle_hours;
      fixed_hours += fixed.idle_hours;
    }
    CHECK(history_hours <= 0.7 * fixed_hours);
  }
}

}  // namespace mimosabend::testing
