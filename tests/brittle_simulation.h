#ifndef MIMOSABEND_TESTS_BRITTLE_SIMULATION_H_
#define MIMOSABEND_TESTS_BRITTLE_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "brittle_endpoints.h"
#include "slot_share_allocator.h"

namespace mimosabend::testing {

// Size and load of a BrittleSimulation.
struct BrittleScenario {
  int daemons = 6;
  int endpoints = 3;
  int slots = 4;
  // Requests per second that an endpoint may reject.
  int reject_limit = 3;
  // Whether daemons keep to their shares. Without, the endpoints must fall over.
  bool shares = true;
  std::uint64_t seed = 1;
};

// Simulates daemons that send requests to the brittle endpoints of one service, with the timing of
// LeaderLink and RelayHandler. Messages take 1 to 30 ms. From kContactTime on, endpoints let fewer
// requests wait. One that rejects more than it withstands falls over and is back, empty, as a new
// incarnation.
class BrittleSimulation {
 public:
  static constexpr milliseconds kContactTime{3000};

  explicit BrittleSimulation(const BrittleScenario& scenario)
      : scenario_(scenario),
        random_(scenario.seed),
        daemons_(scenario.daemons),
        endpoints_(scenario.endpoints) {
    for (int i = 0; i < scenario.endpoints; ++i) endpoints_[i].number = ++last_number_;
    for (int i = 0; i < scenario.daemons; ++i) {
      daemons_[i].in_flight.resize(scenario.endpoints);
      daemons_[i].backoff_until.resize(scenario.endpoints);
      Ask(i);
      Report(i);
    }
    Elect();
    ScheduleArrival();
  }

  // Advances the time while callers send `demand` new requests per second.
  void Run(double seconds_long, double demand) {
    demand_ = demand;
    const MonotonicTime end = now_ + milliseconds(static_cast<int>(seconds_long * 1000));
    while (events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

  // The daemon forgets what it knows and is back after 0.5 to 0.8 s. Endpoints go on with its
  // requests. If it led, another one does 1 to 2.5 s later.
  void Restart(int index) {
    Daemon& daemon = daemons_[index];
    if (index == leader_) LoseLeader();
    const int starts = daemon.starts + 1;
    daemon = Daemon();
    daemon.starts = starts;
    daemon.in_flight.resize(scenario_.endpoints);
    daemon.backoff_until.resize(scenario_.endpoints);
    daemon.down_until = now_ + Delay(500, 800);
    daemon.excused_until = daemon.down_until + kContactTime;
    At(daemon.down_until, [this, index, starts] { Learn(index, starts); });
  }
  void KillLeader() {
    if (leader_ >= 0) Restart(leader_);
  }
  // Cuts a daemon off from the others for a time.
  void Cut(int index, milliseconds time) {
    daemons_[index].cut_until = now_ + time;
    if (index == leader_) LoseLeader();
  }

  int falls() const { return falls_; }
  int excused_falls() const { return excused_falls_; }
  int served() const { return served_; }
  // Requests that the endpoints can run per second.
  double capacity() const {
    return scenario_.endpoints * scenario_.slots * 1000.0 / kMeanServiceMillis;
  }
  int daemons() const { return scenario_.daemons; }

 private:
  static constexpr int kMeanServiceMillis = 110;
  static constexpr milliseconds kAskPeriod{100};
  // At most this often while requests find no room.
  static constexpr milliseconds kUrgentAskPeriod{20};
  static constexpr milliseconds kAnswerTimeout{300};
  static constexpr milliseconds kReportPeriod{400};
  static constexpr milliseconds kRejectionBackoff{1000};
  static constexpr milliseconds kWaitPoll{20};
  static constexpr milliseconds kLongestWait{250};
  static constexpr int kWaitersPerDaemon = 8;
  static inline const std::string kService = "s";

  struct Event {
    MonotonicTime at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Daemon {
    BrittleEndpoints brittle;
    std::vector<std::uint32_t> in_flight;
    std::vector<MonotonicTime> backoff_until;
    MonotonicTime down_until;
    MonotonicTime cut_until;
    // The rule excuses a daemon that was restarted.
    MonotonicTime excused_until;
    MonotonicTime asked_at;
    MonotonicTime answer_due;
    bool asks_at_once = false;
    int waiters = 0;
    int starts = 0;
  };
  // A request at an endpoint.
  struct Attempt {
    int daemon = 0;
    int daemon_start = 0;
    MonotonicTime sent_at;
  };
  struct Rejection {
    MonotonicTime at;
    bool excused = false;
  };
  struct Endpoint {
    std::uint32_t number = 0;
    int running = 0;
    std::deque<Attempt> queue;
    std::deque<Rejection> rejections;
    MonotonicTime down_until;
  };

  milliseconds Delay(int from, int to) {
    return milliseconds(std::uniform_int_distribution<int>(from, to)(random_));
  }
  void At(MonotonicTime at, std::function<void()> run) {
    events_.push({at, order_++, std::move(run)});
  }
  bool IsUp(int daemon) const { return now_ >= daemons_[daemon].down_until; }
  bool IsLinked(int daemon) const { return IsUp(daemon) && now_ >= daemons_[daemon].cut_until; }

  // A daemon learns from another one which endpoints are brittle before it sends requests.
  void Learn(int index, int start) {
    if (daemons_[index].starts != start) return;
    int other = index;
    while (other == index) other = static_cast<int>(random_() % daemons_.size());
    for (const LimitNotice& notice : daemons_[other].brittle.Notices(now_)) {
      daemons_[index].brittle.Adopt(kService, notice, now_);
    }
  }

  void LoseLeader() {
    leader_ = -1;
    At(now_ + Delay(1000, 2500), [this] { Elect(); });
  }
  void Elect() {
    if (leader_ >= 0) return;
    const int chosen = static_cast<int>(random_() % daemons_.size());
    if (!IsLinked(chosen)) return At(now_ + milliseconds(100), [this] { Elect(); });
    leader_ = chosen;
    allocator_.Reset(now_);
  }

  void ScheduleArrival() {
    const double wait = demand_ == 0 ? 0 : std::exponential_distribution<double>(demand_)(random_);
    At(now_ +
           std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(wait)),
       [this] {
         Arrive(now_ + seconds(2));
         ScheduleArrival();
       });
  }

  // A caller sends a request to any daemon, and gives up at `until`.
  void Arrive(MonotonicTime until) {
    const int index = static_cast<int>(random_() % daemons_.size());
    if (!IsUp(index)) return Return(until);
    Try(index, daemons_[index].starts, now_ + kLongestWait, false, until);
  }
  void Return(MonotonicTime until) {
    const MonotonicTime at = now_ + Delay(150, 1500);
    if (at < until) At(at, [this, until] { Arrive(until); });
  }

  void Try(int index, int start, MonotonicTime wait_until, bool waits, MonotonicTime until) {
    Daemon& daemon = daemons_[index];
    if (daemon.starts != start) return Return(until);
    std::vector<int> usable;
    std::vector<std::uint32_t> full;
    for (int i = 0; i < scenario_.endpoints; ++i) {
      const bool down = now_ < endpoints_[i].down_until || now_ < daemon.backoff_until[i];
      if (down) continue;
      const std::uint32_t number = endpoints_[i].number;
      const bool brittle =
          scenario_.shares && daemon.brittle.RejectLimit(kService, number, now_).has_value();
      if (!brittle || daemon.brittle.Room(number, daemon.in_flight[i], now_) > 0) {
        usable.push_back(i);
      } else {
        full.push_back(number);
      }
    }
    if (!usable.empty()) {
      if (waits) --daemon.waiters;
      return Send(index, usable[random_() % usable.size()]);
    }
    if (now_ >= wait_until || (!waits && daemon.waiters >= kWaitersPerDaemon)) {
      if (waits) --daemon.waiters;
      return Return(until);
    }
    if (!waits) ++daemon.waiters;
    if (!full.empty() && !waits) {
      daemon.brittle.RecordMiss(full[random_() % full.size()], now_);
      daemon.asks_at_once = true;
    }
    At(now_ + kWaitPoll, [=, this] { Try(index, start, wait_until, true, until); });
  }

  void Send(int index, int target) {
    Daemon& daemon = daemons_[index];
    ++daemon.in_flight[target];
    daemon.brittle.RecordStart(endpoints_[target].number, daemon.in_flight[target], now_);
    const Attempt run{index, daemon.starts, now_};
    const std::uint32_t number = endpoints_[target].number;
    At(now_ + Delay(1, 30), [=, this] { Receive(target, number, run); });
  }

  void Receive(int target, std::uint32_t number, const Attempt& run) {
    Endpoint& endpoint = endpoints_[target];
    if (endpoint.number != number || now_ < endpoint.down_until) {
      return Respond(target, number, run, false, false);
    }
    if (endpoint.running < scenario_.slots) return Start(target, run);
    const bool shrunk = now_ >= begun_at_ + kContactTime;
    const std::size_t room = shrunk ? (now_.time_since_epoch() / seconds(2)) % 2 : 8;
    if (endpoint.queue.size() < room) return endpoint.queue.push_back(run);
    endpoint.rejections.push_back({now_, now_ < daemons_[run.daemon].excused_until});
    while (endpoint.rejections.front().at + seconds(1) <= now_) endpoint.rejections.pop_front();
    Respond(target, number, run, true, false);
    if (shrunk && static_cast<int>(endpoint.rejections.size()) > scenario_.reject_limit) {
      Fall(target);
    }
  }

  void Start(int target, const Attempt& run) {
    Endpoint& endpoint = endpoints_[target];
    ++endpoint.running;
    const std::uint32_t number = endpoint.number;
    At(now_ + Delay(20, 2 * kMeanServiceMillis - 20), [=, this] {
      if (endpoints_[target].number != number) return;
      ++served_;
      Respond(target, number, run, false, true);
      --endpoints_[target].running;
      if (endpoints_[target].queue.empty()) return;
      const Attempt next = endpoints_[target].queue.front();
      endpoints_[target].queue.pop_front();
      Start(target, next);
    });
  }

  // All requests there end without a response. The fall counts if most rejections do.
  void Fall(int target) {
    Endpoint& endpoint = endpoints_[target];
    const auto excused =
        std::count_if(endpoint.rejections.begin(), endpoint.rejections.end(),
                      [](const Rejection& rejection) { return rejection.excused; });
    const bool counts = 2 * excused < static_cast<std::ptrdiff_t>(endpoint.rejections.size());
    ++(counts ? falls_ : excused_falls_);
    for (Daemon& daemon : daemons_) daemon.in_flight[target] = 0;
    endpoint = Endpoint();
    endpoint.number = ++last_number_;
    endpoint.down_until = now_ + Delay(2000, 5000);
  }

  void Respond(int target, std::uint32_t number, const Attempt& run, bool rejected, bool states) {
    At(now_ + Delay(1, 30), [=, this] {
      Daemon& daemon = daemons_[run.daemon];
      if (daemon.starts != run.daemon_start || endpoints_[target].number != number) return;
      --daemon.in_flight[target];
      if (!rejected && !states) return;
      daemon.brittle.RecordResponse(kService, number, scenario_.reject_limit, run.sent_at, now_);
      if (!rejected) return;
      daemon.brittle.RecordRejection(number);
      daemon.asks_at_once = true;
      daemon.backoff_until[target] = now_ + kRejectionBackoff;
    });
  }

  // As LeaderLink::RunShareRequests.
  void Ask(int index) {
    At(now_ + kUrgentAskPeriod, [this, index] { Ask(index); });
    Daemon& daemon = daemons_[index];
    if (!IsUp(index) || now_ < daemon.answer_due) return;
    if (!daemon.asks_at_once && now_ < daemon.asked_at + kAskPeriod) return;
    daemon.asks_at_once = false;
    daemon.asked_at = now_;
    std::vector<SlotShareDemand> demands;
    for (int i = 0; i < scenario_.endpoints; ++i) {
      const auto demand = daemon.brittle.TakeDemand(kService, endpoints_[i].number, scenario_.slots,
                                                    daemon.in_flight[i], now_);
      if (demand) demands.push_back(*demand);
    }
    if (leader_ < 0 || !IsLinked(index)) {
      for (const auto& demand : demands) daemon.brittle.RestoreDemand(demand);
      return;
    }
    const MonotonicTime asked_at = now_;
    daemon.answer_due = now_ + kAnswerTimeout;
    const int leader = leader_;
    const int start = daemon.starts;
    At(now_ + Delay(1, 30), [=, this] {
      if (leader_ != leader) return;
      const std::string name = std::to_string(index) + " " + std::to_string(start);
      std::vector<std::uint32_t> shares;
      for (const auto& demand : demands) {
        shares.push_back(allocator_.Decide(name, demand, true, now_));
      }
      At(now_ + Delay(1, 30), [=, this] {
        if (daemons_[index].starts != start || !IsLinked(index)) return;
        if (now_ >= asked_at + kAnswerTimeout) return;
        daemons_[index].answer_due = now_;
        for (std::size_t i = 0; i < demands.size(); ++i) {
          if (shares[i] < demands[i].held) daemons_[index].asks_at_once = true;
          daemons_[index].brittle.SetShare(demands[i].number, shares[i], asked_at);
        }
      });
    });
  }

  // As LeaderLink::ReportOnce: passes on which endpoints are brittle.
  void Report(int index) {
    At(now_ + kReportPeriod, [this, index] { Report(index); });
    if (leader_ < 0 || !IsLinked(index)) return;
    const int leader = leader_;
    for (const LimitNotice& notice : daemons_[index].brittle.Notices(now_)) {
      daemons_[leader].brittle.Adopt(kService, notice, now_);
    }
    for (const LimitNotice& notice : daemons_[leader].brittle.Notices(now_)) {
      daemons_[index].brittle.Adopt(kService, notice, now_);
    }
  }

  BrittleScenario scenario_;
  std::mt19937_64 random_;
  std::vector<Daemon> daemons_;
  std::vector<Endpoint> endpoints_;
  SlotShareAllocator allocator_;
  int leader_ = -1;
  std::uint32_t last_number_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  MonotonicTime now_ = MonotonicTime() + seconds(100000);
  MonotonicTime begun_at_ = now_;
  double demand_ = 0;
  int falls_ = 0;
  int excused_falls_ = 0;
  int served_ = 0;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_BRITTLE_SIMULATION_H_
