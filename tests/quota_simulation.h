#ifndef MIMOSABEND_TESTS_QUOTA_WORLD_H_
#define MIMOSABEND_TESTS_QUOTA_WORLD_H_

#include <algorithm>
#include <deque>
#include <memory>
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

// Simulates daemons that report to a leader at the real period, directly or through relays. Reports
// and answers arrive without delay, but a relay answers with the shares that it has and forwards
// the report with its own next one. Requests arrive at random.
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

  // Advances the time by `seconds_long` while callers request `demand` units per second. The cost
  // of a request is exponentially distributed with mean `size`.
  void Run(double seconds_long, double demand, double size) {
    const MonotonicTime end = now_ + milliseconds(static_cast<int>(seconds_long * 1000));
    std::exponential_distribution<double> any_size(1 / size);
    std::poisson_distribution<int> arrivals(demand / size * ToSeconds(kStep));
    for (; now_ < end; now_ += kStep) {
      for (int i = arrivals(random_); i > 0; --i) Submit(std::max(1.0, any_size(random_)));
      for (const auto& daemon : daemons_) MaybeReport(daemon.get());
    }
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

  double requested() const { return requested_; }
  double served() const { return served_; }
  void ForgetSums() { requested_ = served_ = 0; }

 private:
  static constexpr milliseconds kReportPeriod{400};
  static constexpr milliseconds kElectionTime{200};

  // How long requests wait until the daemon has shares.
  static constexpr milliseconds kMaxHoldTime{1500};

  struct Request {
    MonotonicTime at;
    double cost = 0;
    double draw = 0;
  };

  struct Daemon {
    std::unique_ptr<QuotaMeter> meter;
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
  };

  // Starts a process without any shares.
  void Start(Daemon* daemon, MonotonicTime at) {
    daemon->meter = std::make_unique<QuotaMeter>([daemon] { daemon->urgent = true; });
    daemon->urgent = false;
    daemon->started = at;
    daemon->next_report = at + milliseconds(random_() % 400);
    daemon->relayed.clear();
    daemon->held.clear();
  }

  void Submit(double cost) {
    Daemon& daemon = *daemons_[random_() % daemons_.size()];
    if (now_ < daemon.started) return;
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const Customer& customer = *customers_.Find("cook");
    requested_ += cost;
    daemon.meter->AddDemand(customer, cost, now_);
    daemon.held.push_back({now_, cost, draw});
    Answer(&daemon);
  }

  // Admits or refuses the held requests if the daemon has shares.
  void Answer(Daemon* daemon) {
    if (!daemon->meter->has_shares()) return;
    const Customer& customer = *customers_.Find("cook");
    for (const Request& request : daemon->held) {
      if (now_ - request.at > kMaxHoldTime) continue;
      if (daemon->meter->Admit(customer, request.cost, request.draw, now_)) continue;
      served_ += request.cost;
      spent_.emplace_back(now_, request.cost);
    }
    daemon->held.clear();
  }

  void MaybeReport(Daemon* daemon) {
    if (now_ < daemon->started) return;
    if (!daemon->urgent && now_ < daemon->next_report) return;
    const bool urgent = std::exchange(daemon->urgent, false);
    daemon->next_report = now_ + kReportPeriod;
    if (daemon->cut || !led_ || now_ < leader_found_) return;
    const auto count = static_cast<std::uint32_t>(daemons_.size());
    std::vector<QuotaUsage> uses = daemon->meter->TakeUsage();
    if (Daemon* relay = daemon->relay) {
      relay->relayed.insert(relay->relayed.end(), uses.begin(), uses.end());
      relay->urgent |= urgent;
      if (relay->meter->HasValidShares(now_)) {
        daemon->meter->SetShares(relay->meter->Shares(), count, relay->shares_at);
      }
      Answer(daemon);
      return;
    }
    uses.insert(uses.end(), daemon->relayed.begin(), daemon->relayed.end());
    daemon->relayed.clear();
    allocator_.AddUsage(uses, now_);
    daemon->shares_at = now_;
    const std::vector<QuotaShare> shares = allocator_.Shares(customers_, kSlack, now_);
    if (allocator_.HasValidDemand(now_)) daemon->meter->SetShares(shares, count, now_);
    Answer(daemon);
  }

  std::mt19937_64 random_;
  CustomerDirectory customers_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  QuotaAllocator allocator_;
  bool led_ = true;
  MonotonicTime now_ = kStart;
  MonotonicTime leader_found_ = kStart;
  std::deque<std::pair<MonotonicTime, double>> spent_;
  double requested_ = 0;
  double served_ = 0;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_QUOTA_WORLD_H_
