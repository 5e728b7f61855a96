#include "idle_replay.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace mimosabend::testing {

namespace {

constexpr double kModelMib = 16000;
constexpr double kEndpointMib = 80000;
// Rate and load time of the weight store.
constexpr double kLoadsPerSecond = 2;
constexpr double kLoadSeconds = 1;
// Time for which one request keeps its model busy.
constexpr double kServiceSeconds = 2;
constexpr double kHour = 3600;
// Fixed timeouts to try: from 8 s, the policy's minimum, in steps of 5%.
constexpr double kShortestFixedMs = 8000;
constexpr double kFixedStep = 1.05;

// Generates the uses of one model.
class TraceGenerator {
 public:
  TraceGenerator(int model, double end, std::uint64_t seed, std::vector<Use>* trace)
      : model_(model), end_(end), random_(seed), trace_(trace) {}

  void Write() {
    switch (static_cast<UsePattern>(static_cast<std::size_t>(model_) % kUsePatternCount)) {
      case UsePattern::kPoisson:
        return WritePoisson(0, end_, 30 * std::pow(model_ + 1, 1.2));
      case UsePattern::kSessions:
        return WriteSessions();
      case UsePattern::kPeriodic:
        return WritePeriodic();
      case UsePattern::kAlternating:
        return WriteAlternating();
    }
  }

 private:
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }

  void WritePoisson(double from, double to, double mean_gap) {
    for (double at = from + Exponential(mean_gap); at < std::min(to, end_);
         at += Exponential(mean_gap)) {
      trace_->push_back({at, model_});
    }
  }

  void WriteSessions() {
    const double mean_gap = Uniform(1, 4) * kHour;
    for (double at = Exponential(mean_gap); at < end_; at += Exponential(mean_gap)) {
      WritePoisson(at, at + 300, 30);
    }
  }

  void WritePeriodic() {
    const double period = Uniform(10, 60) * 60;
    for (double at = Uniform(0, period); at < end_; at += period * Uniform(0.95, 1.05)) {
      trace_->push_back({at, model_});
    }
  }

  // Active and idle periods last 4 hours on average, so that a quarter of the models switches per
  // hour.
  void WriteAlternating() {
    double at = 0;
    while (at < end_) {
      const double active = Exponential(4 * kHour);
      WritePoisson(at, at + active, 60);
      at += active + Exponential(4 * kHour);
    }
  }

  int model_;
  double end_;
  std::mt19937_64 random_;
  std::vector<Use>* trace_;
};

struct ModelState {
  bool loaded = false;
  double ready_at = 0;
  double unload_at = 0;
  double busy_until = 0;
  UseHistory history;
};

MonotonicTime TimeOf(double seconds) {
  return MonotonicTime(milliseconds(static_cast<std::int64_t>(seconds * 1000)));
}

double Percentile(std::vector<double>* values, double share) {
  if (values->empty()) return 0;
  std::sort(values->begin(), values->end());
  return (*values)[static_cast<std::size_t>(share * static_cast<double>(values->size() - 1))];
}

}  // namespace

std::vector<Use> MakeTrace(int models, double hours, std::uint64_t seed) {
  std::vector<Use> trace;
  for (int model = 0; model < models; ++model) {
    TraceGenerator(model, hours * kHour, seed * 1000 + static_cast<std::uint64_t>(model), &trace)
        .Write();
  }
  std::stable_sort(trace.begin(), trace.end(),
                   [](const Use& a, const Use& b) { return a.at < b.at; });
  return trace;
}

ReplayResult Replay(const std::vector<Use>& trace, int models, const TimeoutOf& timeout) {
  std::vector<ModelState> states(static_cast<std::size_t>(models));
  std::vector<double> waits;
  std::vector<double> cold_waits;
  ReplayResult result;
  double next_load = 0;
  double idle_seconds = 0;
  for (const Use& use : trace) {
    ModelState& state = states[static_cast<std::size_t>(use.model)];
    if (state.loaded && use.at >= state.unload_at) {
      idle_seconds += state.unload_at - state.busy_until;
      state.loaded = false;
    } else if (state.loaded) {
      idle_seconds += std::max(0.0, use.at - state.busy_until);
    }
    if (!state.loaded) {
      ++result.cold_starts;
      const double start = std::max(use.at, next_load);
      next_load = start + 1 / kLoadsPerSecond;
      state.loaded = true;
      state.ready_at = start + kLoadSeconds;
      state.busy_until = 0;
    }
    const double wait = std::max(0.0, state.ready_at - use.at);
    waits.push_back(wait);
    if (wait > 0) cold_waits.push_back(wait);
    state.busy_until = std::max(state.busy_until, use.at + wait + kServiceSeconds);
    state.history.RecordUse(TimeOf(use.at));
    const double kept = std::chrono::duration<double>(timeout(state.history)).count();
    const double resident = state.ready_at + std::chrono::duration<double>(kMinResidence).count();
    state.unload_at = std::max({state.busy_until, use.at + kept, resident});
  }
  for (const ModelState& state : states) {
    if (state.loaded) idle_seconds += state.unload_at - state.busy_until;
  }
  result.requests = trace.size();
  result.wait_p99_s = Percentile(&waits, 0.99);
  result.cold_p99_s = Percentile(&cold_waits, 0.99);
  result.idle_hours = idle_seconds / kHour * kModelMib / kEndpointMib;
  return result;
}

milliseconds MatchFixedTimeout(const std::vector<Use>& trace, int models, const ReplayResult& goal,
                               ReplayResult* result) {
  for (double ms = kShortestFixedMs;; ms *= kFixedStep) {
    const milliseconds timeout(static_cast<std::int64_t>(ms));
    *result = Replay(trace, models, [&](const UseHistory&) { return timeout; });
    const bool no_worse =
        result->cold_starts <= goal.cold_starts && result->wait_p99_s <= goal.wait_p99_s;
    // A timeout longer than the trace loads each model once, the minimum for any policy.
    if (no_worse || timeout > std::chrono::hours(1000)) return timeout;
  }
}

}  // namespace mimosabend::testing
