#ifndef MIMOSABEND_TESTS_HEDGE_SIMULATION_H_
#define MIMOSABEND_TESTS_HEDGE_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "hedge_budget.h"
#include "hedge_policy.h"
#include "response_times.h"
#include "retry_budget.h"

namespace mimosabend::testing {

// Which endpoints run their requests kSlowdown times slower.
enum class SlowEndpoints : std::uint8_t {
  // Another sixth in each phase.
  kPhases,
  // The same sixth from kTroubleStart on.
  kLong,
  // All from kTroubleStart on, which also more than doubles the utilization.
  kAll
};

struct HedgeScenario {
  // Uses three tenths of the slots.
  explicit HedgeScenario(int daemon_count)
      : daemons(daemon_count),
        endpoints(daemon_count < 50    ? 12
                  : daemon_count < 200 ? 60
                                       : 200),
        slots(daemon_count < 50    ? 5
              : daemon_count < 200 ? 3
                                   : 2),
        rate(daemon_count < 50    ? 400
             : daemon_count < 200 ? 1200
                                  : 3100) {}

  int daemons;
  int endpoints;
  int slots;
  // Requests per second of all daemons.
  double rate;
  std::uint64_t seed = 1;
  SlowEndpoints slow = SlowEndpoints::kPhases;
  HedgingSettings hedging;
  // Without it, only the budgets limit hedges when the service is slow.
  bool detect_slow_service = true;
};

// Simulates daemons that send plain requests to endpoints, with the decisions and accounting of
// RelayHandler. Endpoints differ in speed by up to 2.2, run `slots` requests at a time and queue
// the others; a hundredth of the responses takes 150 to 500 ms longer. A cancelled request runs to
// its end.
class HedgeSimulation {
 public:
  static constexpr double kSlowdown = 2.5;
  static constexpr milliseconds kPhase{600};
  static constexpr seconds kTroubleStart{20};
  // Requests that arrive earlier don't count toward the results.
  static constexpr seconds kWarmUp{12};

  explicit HedgeSimulation(const HedgeScenario& scenario)
      : scenario_(scenario), random_(scenario.seed), endpoints_(scenario.endpoints) {
    for (Endpoint& endpoint : endpoints_) endpoint.factor = Uniform(1, 2.2);
    for (int i = 0; i < scenario.daemons; ++i) daemons_.emplace_back(random_());
    known_.resize(endpoints_.size());
    const double daemons = std::max(scenario.daemons, 2);
    for (Daemon& daemon : daemons_) {
      daemon.retries.set_limits({0.14, 204 * 0.7 / daemons, false, seconds(10)});
      daemon.times.set_tail_quantile(HedgeQuantile(scenario.hedging));
      daemon.own.resize(endpoints_.size());
      daemon.reported.resize(endpoints_.size());
    }
    slow_.resize(endpoints_.size());
    Push(kStart, Kind::kArrival, 0);
    Push(kStart, Kind::kPhase, 0);
    Push(kStart, Kind::kReport, 0);
  }

  void Run(seconds time) {
    const MonotonicTime end = kStart + time;
    while (events_.top().at < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      switch (event.kind) {
        case Kind::kArrival:
          Arrive();
          break;
        case Kind::kPhase:
          ChangePhase();
          break;
        case Kind::kReport:
          Report();
          break;
        case Kind::kAsk:
          Ask(event.index);
          break;
        case Kind::kEnd:
          End(event.index);
          break;
      }
    }
  }

  // Quantile of the response times in milliseconds.
  double Quantile(double quantile) {
    const auto rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(times_.size()));
    std::nth_element(times_.begin(), times_.begin() + rank, times_.end());
    return times_[static_cast<std::size_t>(rank)];
  }

  // The largest extra work in any 10 s from `from` on, as a share of the other work.
  double WorstExtraWork(seconds from) const {
    double worst = 0;
    const auto last = static_cast<int>(ToSeconds(now_ - kStart)) - 10;
    for (int begin = static_cast<int>(from.count()); begin <= last; ++begin) {
      worst = std::max(worst, ExtraWork(seconds(begin), seconds(begin + 10)));
    }
    return worst;
  }

  // Extra work between two times as a share of the other work.
  double ExtraWork(seconds from, seconds to) const {
    double base = 0;
    double extra = 0;
    for (auto i = from.count(); i < to.count(); ++i) {
      const auto it = work_.find(i);
      if (it == work_.end()) continue;
      base += it->second.base;
      extra += it->second.extra;
    }
    return base == 0 ? 0 : extra / base;
  }

  int hedges() const { return hedges_; }

 private:
  static constexpr MonotonicTime kStart{seconds(100000)};
  static constexpr milliseconds kReportPeriod{400};
  static constexpr milliseconds kDeadline{2000};
  static constexpr double kMeanMillis = 20;

  enum class Kind : std::uint8_t { kArrival, kPhase, kReport, kAsk, kEnd };
  struct Event {
    MonotonicTime at;
    std::uint64_t order = 0;
    Kind kind = Kind::kArrival;
    std::size_t index = 0;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Endpoint {
    double factor = 1;
    int running = 0;
    std::deque<std::size_t> queue;
  };
  struct Daemon {
    explicit Daemon(std::uint64_t process) : budget(process) {}
    HedgeBudget budget;
    RetryBudget retries;
    ResponseTimes times;
    // Requests of this daemon by endpoint, now and at the last report.
    std::vector<int> own;
    std::vector<int> reported;
  };
  struct Attempt {
    std::size_t request = 0;
    std::size_t endpoint = 0;
    bool is_hedge = false;
    bool settled = false;
    MonotonicTime sent_at;
    HedgeBudget::Reservation reservation;
  };
  struct Request {
    std::size_t daemon = 0;
    MonotonicTime arrival;
    bool done = false;
    bool late = false;
    std::vector<std::size_t> attempts;
  };
  struct Work {
    double base = 0;
    double extra = 0;
  };

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  static MonotonicTime::duration Millis(double millis) {
    return std::chrono::duration_cast<MonotonicTime::duration>(
        std::chrono::duration<double, std::milli>(millis));
  }
  void Push(MonotonicTime at, Kind kind, std::size_t index) {
    events_.push({at, order_++, kind, index});
  }
  static std::string Name(std::size_t endpoint) { return std::to_string(endpoint); }

  void ChangePhase() {
    const bool trouble = now_ >= kStart + kTroubleStart;
    for (std::size_t i = 0; i < slow_.size(); ++i) {
      if (scenario_.slow == SlowEndpoints::kPhases) slow_[i] = random_() % 6 == 0;
      if (scenario_.slow == SlowEndpoints::kLong) slow_[i] = trouble && i % 6 == 0;
      if (scenario_.slow == SlowEndpoints::kAll) slow_[i] = trouble;
    }
    Push(now_ + kPhase, Kind::kPhase, 0);
  }

  // Daemons learn the work of all others once in a report period.
  void Report() {
    std::fill(known_.begin(), known_.end(), 0);
    for (Daemon& daemon : daemons_) {
      daemon.reported = daemon.own;
      for (std::size_t i = 0; i < known_.size(); ++i) known_[i] += daemon.own[i];
    }
    Push(now_ + kReportPeriod, Kind::kReport, 0);
  }

  int WorkAt(const Daemon& daemon, std::size_t endpoint) const {
    return known_[endpoint] - daemon.reported[endpoint] + daemon.own[endpoint];
  }

  // As EndpointSelector::ChoosePlain. `excluded` is an endpoint or the number of endpoints.
  std::size_t Choose(const Daemon& daemon, std::size_t excluded) {
    std::size_t best = 0;
    double best_millis = 1e9;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      const double utilization = static_cast<double>(WorkAt(daemon, i)) / scenario_.slots;
      const double millis = kMeanMillis * (1 + utilization * utilization) + Uniform(0, 4);
      if (i == excluded || millis >= best_millis) continue;
      best = i;
      best_millis = millis;
    }
    return best;
  }

  void Arrive() {
    const std::size_t index = requests_.size();
    requests_.push_back({random_() % daemons_.size(), now_, false, false, {}});
    Daemon& daemon = daemons_[requests_[index].daemon];
    daemon.retries.RecordRequest(now_);
    Send(index, Choose(daemon, endpoints_.size()), false);
    Ask(index);
    Push(now_ + Millis(std::exponential_distribution<double>(scenario_.rate / 1000)(random_)),
         Kind::kArrival, 0);
  }

  std::size_t Send(std::size_t request, std::size_t endpoint, bool is_hedge) {
    const std::size_t index = attempts_.size();
    attempts_.push_back({request, endpoint, is_hedge, false, now_, {}});
    requests_[request].attempts.push_back(index);
    ++daemons_[requests_[request].daemon].own[endpoint];
    endpoints_[endpoint].queue.push_back(index);
    StartNext(endpoint);
    return index;
  }

  void StartNext(std::size_t index) {
    Endpoint& endpoint = endpoints_[index];
    if (endpoint.queue.empty() || endpoint.running >= scenario_.slots) return;
    ++endpoint.running;
    const double size = std::lognormal_distribution<double>(0, 0.4)(random_);
    const double factor = endpoint.factor * (slow_[index] ? kSlowdown : 1);
    const double pause = random_() % 100 == 0 ? Uniform(150, 500) : 0;
    Push(now_ + Millis(kMeanMillis * size * factor + pause), Kind::kEnd, endpoint.queue.front());
    endpoint.queue.pop_front();
  }

  void End(std::size_t index) {
    const std::size_t endpoint = attempts_[index].endpoint;
    --endpoints_[endpoint].running;
    StartNext(endpoint);
    Request& request = requests_[attempts_[index].request];
    if (request.done) return;
    request.done = true;
    if (!request.late) daemons_[request.daemon].times.RecordLate("plain", false);
    for (const std::size_t attempt : request.attempts) Settle(attempt, attempt == index);
    if (request.arrival >= kStart + kWarmUp) {
      times_.push_back(ToSeconds(now_ - request.arrival) * 1000);
    }
  }

  // As RelayHandler::RecordWork.
  void Settle(std::size_t index, bool won) {
    const Attempt& attempt = attempts_[index];
    Daemon& daemon = daemons_[requests_[attempt.request].daemon];
    --daemon.own[attempt.endpoint];
    const double millis = ToSeconds(now_ - attempt.sent_at) * 1000;
    const double work = std::max(millis, daemon.times.Service("plain", now_).mean) / 1000;
    Work& sum = work_[static_cast<std::int64_t>(ToSeconds(now_ - kStart))];
    (attempt.is_hedge ? sum.extra : sum.base) += work;
    if (attempt.is_hedge) {
      daemon.budget.Settle(attempt.reservation, work, now_);
    } else {
      daemon.budget.RecordWork(work, now_);
    }
    if (won || !attempt.is_hedge) {
      daemon.times.Record("plain", Name(attempt.endpoint), millis, now_);
    }
  }

  // As RelayHandler::MaybeHedge.
  void Ask(std::size_t index) {
    Request& request = requests_[index];
    if (request.done || !scenario_.hedging.enabled()) return;
    Daemon& daemon = daemons_[request.daemon];
    const Attempt& first = attempts_[request.attempts.front()];
    HedgeQuestion question;
    question.sent_at = first.sent_at;
    question.deadline = request.arrival + kDeadline;
    question.repeatable = true;
    question.attempts_left = 1;
    question.service = daemon.times.Service("plain", now_);
    for (std::size_t i = 0; i < endpoints_.size(); ++i) question.utilization += WorkAt(daemon, i);
    question.utilization /= static_cast<double>(endpoints_.size()) * scenario_.slots;
    if (!scenario_.detect_slow_service) {
      question.utilization = question.service.late_share = 0;
      question.service.usual_median = question.service.median;
    }
    question.retry_budget_left = daemon.retries.HasHalf(now_);
    const double mean = question.service.mean / 1000;
    question.work_budget_left =
        mean > 0 && daemon.budget.Allows(scenario_.hedging.extra_work, mean, now_);
    HedgeDecision decision = DecideHedge(scenario_.hedging, question, now_);
    std::size_t other = 0;
    if (decision.reason == HedgeReason::kNoCandidate) {
      other = Choose(daemon, first.endpoint);
      const auto work = static_cast<std::uint32_t>(std::max(0, WorkAt(daemon, other)));
      const auto slots = static_cast<std::uint32_t>(scenario_.slots);
      question.candidate = HedgeCandidate{kMeanMillis, work, slots, false, false, false};
      decision = DecideHedge(scenario_.hedging, question, now_);
    }
    if (decision.late && !request.late) daemon.times.RecordLate("plain", true);
    request.late = request.late || decision.late;
    if (decision.action == HedgeAction::kAskAgain) Push(decision.ask_at, Kind::kAsk, index);
    if (decision.action != HedgeAction::kSend) return;
    daemon.retries.TryRetry(now_, question.deadline, milliseconds(0));
    ++hedges_;
    attempts_[Send(index, other, true)].reservation = daemon.budget.Reserve(mean, now_);
  }

  HedgeScenario scenario_;
  std::mt19937_64 random_;
  std::vector<Endpoint> endpoints_;
  std::deque<Daemon> daemons_;
  std::vector<bool> slow_;
  std::vector<int> known_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  MonotonicTime now_ = kStart;
  std::deque<Request> requests_;
  std::deque<Attempt> attempts_;
  std::vector<double> times_;
  // By second.
  std::map<std::int64_t, Work> work_;
  int hedges_ = 0;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_HEDGE_SIMULATION_H_
