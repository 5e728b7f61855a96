#ifndef MIMOSABEND_TESTS_QUOTA_WORLD_H_
#define MIMOSABEND_TESTS_QUOTA_WORLD_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

#include "quota_allocator.h"
#include "quota_meter.h"

namespace mimosabend::testing {

inline const MonotonicTime kStart = MonotonicTime() + seconds(100000);
inline constexpr milliseconds kStep{10};
inline constexpr double kWindowSeconds = 8;
// The users' bound on the units in any window: the quota times kOver, plus kSlack.
inline constexpr double kOver = 1.1;
inline constexpr double kSlack = 110000;

inline Customer MakeCustomer(double rate) {
  return {"cook", std::nullopt, {rate, rate, QuotaUnit::kTokens, 200}};
}

// The requests of one priority level.
struct SimulatedLevel {
  std::uint8_t level = 0;
  // Part of the demanded units.
  double part = 1;
  // The cost of a request is exponentially distributed with this mean.
  double mean_cost = 9000;
};

// Simulates daemons that report to a leader at the real period, directly or through relays. Reports
// arrive without delay and answers without delay by default, but a relay answers with the shares
// that it has and forwards the report with its own next one. Requests arrive at random.
class QuotaSimulation {
 public:
  QuotaSimulation(int daemons, double rate, std::uint64_t seed, int relays = 0) : random_(seed) {
    customers_.Add(MakeCustomer(rate));
    for (int i = 0; i < daemons; ++i) {
      auto daemon = std::make_unique<Daemon>();
      Start(daemon.get(), kStart);
      if (i >= relays && relays > 0) daemon->relay = daemons_[i % relays].get();
      daemons_.push_back(std::move(daemon));
    }
  }

  // Sets the order at the leader, and at the daemons from index `first` on.
  void SetOrder(QuotaOrder order, std::size_t first = 0) {
    allocator_.set_order(order);
    for (std::size_t i = first; i < daemons_.size(); ++i) {
      daemons_[i]->order = order;
      daemons_[i]->meter->set_order(order);
    }
  }

  // Delays the answers to reports, also those of relays.
  void set_answer_delay(milliseconds delay) { answer_delay_ = delay; }

  // Sends half of the requests to a tenth of the daemons.
  void set_skew(bool skewed) { skewed_ = skewed; }

  // Advances the time by `seconds_long` while callers request `demand` units per second.
  void Run(double seconds_long, double demand, const std::vector<SimulatedLevel>& levels) {
    const MonotonicTime end = now_ + milliseconds(static_cast<int>(seconds_long * 1000));
    for (; now_ < end; now_ += kStep) {
      for (const SimulatedLevel& requests : levels) {
        const double mean = demand * requests.part / requests.mean_cost * ToSeconds(kStep);
        std::exponential_distribution<double> any_cost(1 / requests.mean_cost);
        for (int i = std::poisson_distribution<int>(mean)(random_); i > 0; --i) {
          Submit(requests.level, std::max(1.0, any_cost(random_)));
        }
      }
      for (const auto& daemon : daemons_) MaybeReport(daemon.get());
    }
  }
  // The same with requests of one level.
  void Run(double seconds_long, double demand, double size) {
    Run(seconds_long, demand, {{0, 1, size}});
  }

  // Restarts all processes, which takes 500 to 800 ms. A leader is found kElectionTime after
  // the last one.
  void LoseAll() {
    allocator_.Reset(now_ + milliseconds(800) + kElectionTime);
    leader_found_ = now_ + milliseconds(800) + kElectionTime;
    for (const auto& daemon : daemons_) {
      Start(daemon.get(), now_ + milliseconds(500 + random_() % 300));
    }
  }

  // Cuts the first `count` daemons off from the leader, and reconnects the others.
  void Cut(std::size_t count) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) daemons_[i]->cut = i < count;
  }
  // Without a leader, no report is answered. A new leader starts without state.
  void set_led(bool led) {
    if (led && !led_) allocator_.Reset(now_);
    led_ = led;
  }
  // While the leader is paused, no report is answered. It then continues with its state.
  void set_paused(bool paused) { led_ = !paused; }

  // The largest use within any window, relative to what the users allow.
  double WorstWindow() const {
    const Customer& customer = *customers_.Find("cook");
    const double allowed =
        (customer.quota.rate * kWindowSeconds + customer.quota.burst) * kOver + kSlack;
    double worst = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [at, cost] : spent_) {
      sum += cost;
      while (ToSeconds(at - spent_[first].first) > kWindowSeconds) sum -= spent_[first++].second;
      worst = std::max(worst, sum / allowed);
    }
    return worst;
  }

  // Units of requests since the last ForgetSums, of all levels or as a part of one level.
  double requested() const { return std::accumulate(requested_.begin(), requested_.end(), 0.0); }
  double served() const { return std::accumulate(served_.begin(), served_.end(), 0.0); }
  double ServedPart(std::uint8_t level) const { return served_[level] / requested_[level]; }
  void ForgetSums() {
    requested_.fill(0);
    served_.fill(0);
  }

 private:
  static constexpr milliseconds kReportPeriod{400};
  static constexpr milliseconds kElectionTime{200};

  // How long requests wait until the daemon has shares.
  static constexpr milliseconds kMaxHoldTime{1500};

  struct Request {
    MonotonicTime at;
    std::uint8_t level = 0;
    double cost = 0;
    double draw = 0;
  };

  // Shares on their way to a daemon.
  struct Answer {
    MonotonicTime arrival;
    std::vector<QuotaShare> shares;
    MonotonicTime shares_at;
  };

  struct Daemon {
    std::unique_ptr<QuotaMeter> meter;
    QuotaOrder order = QuotaOrder::kEqual;
    MonotonicTime started;
    MonotonicTime next_report;
    bool urgent = false;
    bool cut = false;
    // nullptr for daemons that report to the leader.
    Daemon* relay = nullptr;
    // Use reported by other daemons that has not been forwarded yet.
    std::vector<QuotaUsage> relayed;
    MonotonicTime shares_at;
    std::vector<Request> held;
    std::deque<Answer> answers;
  };

  // Starts a process without any shares.
  void Start(Daemon* daemon, MonotonicTime at) {
    daemon->meter = std::make_unique<QuotaMeter>([daemon] { daemon->urgent = true; });
    daemon->meter->set_order(daemon->order);
    daemon->urgent = false;
    daemon->started = at;
    daemon->next_report = at + milliseconds(random_() % 400);
    daemon->relayed.clear();
    daemon->held.clear();
    daemon->answers.clear();
  }

  void Submit(std::uint8_t level, double cost) {
    const bool at_few = skewed_ && random_() % 2 == 0;
    const std::size_t receivers = at_few ? (daemons_.size() + 9) / 10 : daemons_.size();
    Daemon& daemon = *daemons_[random_() % receivers];
    if (now_ < daemon.started) return;
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const Customer& customer = *customers_.Find("cook");
    requested_[level] += cost;
    daemon.meter->AddDemand(customer, level, cost, now_);
    daemon.held.push_back({now_, level, cost, draw});
    Decide(&daemon);
  }

  // Admits or refuses the held requests if the daemon has shares.
  void Decide(Daemon* daemon) {
    if (!daemon->meter->has_shares()) return;
    const Customer& customer = *customers_.Find("cook");
    for (const Request& request : daemon->held) {
      if (now_ - request.at > kMaxHoldTime) continue;
      if (daemon->meter->Admit(customer, request.level, request.cost, request.draw, now_)) continue;
      served_[request.level] += request.cost;
      spent_.emplace_back(now_, request.cost);
    }
    daemon->held.clear();
  }

  // Applies the answers that have arrived.
  void Receive(Daemon* daemon) {
    const auto count = static_cast<std::uint32_t>(daemons_.size());
    while (!daemon->answers.empty() && daemon->answers.front().arrival <= now_) {
      const Answer& answer = daemon->answers.front();
      daemon->shares_at = answer.shares_at;
      daemon->meter->SetShares(answer.shares, count, answer.shares_at, daemon->relay == nullptr);
      daemon->answers.pop_front();
    }
    Decide(daemon);
  }

  void MaybeReport(Daemon* daemon) {
    if (now_ < daemon->started) return;
    Receive(daemon);
    if (!daemon->urgent && now_ < daemon->next_report) return;
    const bool urgent = std::exchange(daemon->urgent, false);
    daemon->next_report = now_ + kReportPeriod;
    if (daemon->cut || !led_ || now_ < leader_found_) return;
    std::vector<QuotaUsage> uses = daemon->meter->TakeUsage();
    if (Daemon* relay = daemon->relay) {
      relay->relayed.insert(relay->relayed.end(), uses.begin(), uses.end());
      relay->urgent |= urgent;
      if (relay->meter->HasValidShares(now_)) {
        daemon->answers.push_back({now_ + answer_delay_, relay->meter->Shares(), relay->shares_at});
      }
      Receive(daemon);
      return;
    }
    uses.insert(uses.end(), daemon->relayed.begin(), daemon->relayed.end());
    daemon->relayed.clear();
    allocator_.AddUsage(uses, now_);
    const std::vector<QuotaShare> shares = allocator_.Shares(customers_, kSlack, now_);
    if (allocator_.HasValidDemand(now_)) {
      daemon->answers.push_back({now_ + answer_delay_, shares, now_});
    }
    Receive(daemon);
  }

  std::mt19937_64 random_;
  CustomerDirectory customers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  QuotaAllocator allocator_;
  bool led_ = true;
  bool skewed_ = false;
  MonotonicTime now_ = kStart;
  MonotonicTime leader_found_ = kStart;
  std::deque<std::pair<MonotonicTime, double>> spent_;
  milliseconds answer_delay_{0};
  ByLevel requested_{};
  ByLevel served_{};
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_QUOTA_WORLD_H_
