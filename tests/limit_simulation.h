#ifndef MIMOSABEND_TESTS_LIMIT_SIMULATION_H_
#define MIMOSABEND_TESTS_LIMIT_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "endpoint_limits.h"
#include "permit_issuer.h"

namespace mimosabend::testing {

// Who decides whether a daemon may send a request to the limited endpoint.
enum class LimitMethod : std::uint8_t {
  // The leader issues a permit for each request.
  kPermits,
  // Each daemon uses the whole rate. Must fail: shows that the simulation detects an excess.
  kOwnBuckets
};

// Size, load and method of a LimitSimulation.
struct LimitScenario {
  int daemons = 6;
  std::uint64_t seed = 1;
  LimitMethod method = LimitMethod::kPermits;
  // The first daemons receive most of the requests.
  bool skewed = false;
  // Daemons report through relays.
  bool relayed = false;
};

// Simulates daemons that send requests to one endpoint with a rate limit, with the timing of
// LeaderLink and RelayHandler: reports to the leader, permits, denials and callers that come back
// after a refusal. Messages take 1 to 30 ms.
class LimitSimulation {
 public:
  // The users' rule: in any window, the requests stay below the limit times kOver plus kSlack, from
  // kContactTime after the limit was first stated. A daemon counts from kToldTime after it received
  // such a response.
  static constexpr double kOver = 1.5;
  static constexpr double kSlack = 5;
  static constexpr milliseconds kWindow{4000};
  static constexpr milliseconds kContactTime{3000};
  static constexpr milliseconds kToldTime{500};

  explicit LimitSimulation(const LimitScenario& scenario)
      : scenario_(scenario), random_(scenario.seed), daemons_(scenario.daemons) {
    std::vector<double> weights;
    for (int i = 0; i < scenario.daemons; ++i) {
      weights.push_back(scenario.skewed ? 1.0 / (1 + i) : 1.0);
      ScheduleReport(i, Delay(0, 400));
    }
    any_daemon_ = std::discrete_distribution<int>(weights.begin(), weights.end());
    Elect();
    ScheduleArrival();
  }

  // Advances the time while callers send `demand` new requests per second.
  void Run(double seconds_long, double demand) {
    demand_ = demand;
    const MonotonicTime end = now_ + milliseconds(static_cast<int>(seconds_long * 1000));
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      if (event.daemon >= 0) {
        const Daemon& daemon = daemons_[event.daemon];
        if (daemon.starts != event.start) continue;
        if (daemon.paused_until > now_) {
          event.at = daemon.paused_until;
          events_.push(std::move(event));
          continue;
        }
      }
      event.run();
    }
    now_ = end;
  }

  // What the endpoint states from now on; std::nullopt if nothing.
  void SetLimit(std::optional<double> rate) {
    if (limits_.empty() || !limits_.back().rate || !rate) {
      first_stated_.reset();
      ++period_;
    }
    limits_.push_back({now_, rate});
  }

  // Restarts a daemon, which forgets all limits. It is back after 500 to 800 ms, and if it was the
  // leader, another one leads 1 to 3 s later.
  void Restart(int index) {
    Daemon& daemon = daemons_[index];
    const int starts = daemon.starts + 1;
    if (daemon.leads && daemon.confirmed) {
      At(now_ + Delay(1000, 3000), [this] { Elect(); });
    }
    daemon = Daemon();
    daemon.starts = starts;
    daemon.paused_until = now_ + Delay(500, 800);
    ScheduleReport(index, Delay(800, 1200));
  }

  void Pause(int index, milliseconds time) {
    Daemon& daemon = daemons_[index];
    daemon.paused_until = std::max(daemon.paused_until, now_ + time);
    daemon.excused_until = std::max(daemon.excused_until, daemon.paused_until + kContactTime);
    if (time > kLeaseTime && daemon.leads && daemon.confirmed) {
      ReplaceLeader(milliseconds(0), kLeaseTime);
    }
  }

  // Cuts a daemon other than the leader off from all others, or reconnects it.
  void SetCut(int index, bool cut) {
    Daemon& daemon = daemons_[index];
    daemon.cut = cut && !daemon.leads;
    daemon.excused_until = cut ? MonotonicTime::max() : now_ + kContactTime;
  }

  // Kills the leader. Another one leads 1 to 3 s later.
  void KillLeader() {
    if (const int leader = ConfirmedLeader(); leader >= 0) Restart(leader);
  }

  // Cuts the leader off from the store: it may have been replaced after `safe`, and another one
  // leads from `gap` on. Some daemons stay with the former one until it resigns, 2 to 6 s later.
  // Precondition: safe <= gap.
  void ReplaceLeader(milliseconds safe, milliseconds gap) {
    const int former = ConfirmedLeader();
    if (former < 0) return;
    const int start = daemons_[former].starts;
    At(now_ + safe, [this, former, start] {
      if (daemons_[former].starts == start) daemons_[former].confirmed = false;
    });
    At(now_ + gap, [this] { Elect(); });
    At(now_ + gap + Delay(2000, 6000), [this, former, start] {
      if (daemons_[former].starts != start) return;
      daemons_[former].leads = false;
      LearnLeader(former, Delay(0, 500));
    });
  }

  // All processes restart at once.
  void RestartAll() {
    for (int i = 0; i < scenario_.daemons; ++i) Restart(i);
  }

  // The requests within any window, relative to what the users allow. Requests of daemons that
  // did not know the limit are not counted.
  double WorstWindow() const {
    double worst = 0;
    std::size_t first = 0;
    int sum = 0;
    for (const Request& request : requests_) {
      if (!request.counted) continue;
      ++sum;
      while (first < requests_.size() && requests_[first].at <= request.at - kWindow) {
        if (requests_[first++].counted) --sum;
      }
      worst = std::max(worst, sum / (kOver * Allowed(request.at) + kSlack));
    }
    return worst;
  }

  // Smallest part of `rate` that was used in any `window` between `from` and now, where one request
  // at the edge of the window is not missed.
  double LeastUsed(double rate, MonotonicTime from, milliseconds window) const {
    double least = 1e9;
    for (MonotonicTime begin = from; begin + window <= now_; begin += milliseconds(100)) {
      const auto count = std::count_if(requests_.begin(), requests_.end(), [&](const Request& r) {
        return r.at >= begin && r.at < begin + window;
      });
      least = std::min(least, (count + 1) / (rate * ToSeconds(window)));
    }
    return least;
  }

  // Requests of daemons that had not heard of the limit, while it bound the others.
  int untold() const { return untold_; }
  // Requests that count against the limit.
  int counted() const {
    return static_cast<int>(std::count_if(requests_.begin(), requests_.end(),
                                          [](const Request& request) { return request.counted; }));
  }
  int asked() const { return asked_; }
  MonotonicTime now() const { return now_; }
  int daemons() const { return scenario_.daemons; }

 private:
  static constexpr std::uint32_t kEndpoint = 7;
  // As in RelayHandler and LeaderLink.
  static constexpr milliseconds kPermitLifetime{400};
  static constexpr milliseconds kMinPermitBackoff{50};
  static constexpr milliseconds kPermitTimeout{300};
  static constexpr milliseconds kPermitRetryDelay{300};
  static constexpr milliseconds kReportPeriod{400};
  static constexpr int kDaemonsPerRelay = 11;
  // A leader that is silent for this long is replaced.
  static constexpr milliseconds kLeaseTime{1500};
  // How long callers come back after a refusal.
  static constexpr milliseconds kPatience{2500};

  struct Daemon {
    EndpointLimits limits;
    PermitIssuer issuer;
    bool leads = false;
    bool confirmed = false;
    // The daemon that it takes for the leader; -1 if none.
    int leader = -1;
    MonotonicTime backoff_until;
    MonotonicTime paused_until;
    bool cut = false;
    // When it received the first response that states a limit, and that in `told_period`.
    std::optional<MonotonicTime> first_told_at;
    std::optional<MonotonicTime> told_at;
    int told_period = 0;
    // The rule excuses a daemon that was paused or cut off.
    MonotonicTime excused_until;
    // Number of restarts.
    int starts = 0;
  };

  struct Event {
    MonotonicTime at;
    std::uint64_t order = 0;
    // The daemon at which it happens and its start; -1 if none. A paused daemon handles it later.
    int daemon = -1;
    int start = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  struct StatedLimit {
    MonotonicTime from;
    std::optional<double> rate;
  };

  struct Request {
    MonotonicTime at;
    bool counted = false;
  };

  // A request of a caller, who gives up at `until`.
  struct Call {
    MonotonicTime until;
    std::uint32_t priority = 0;
  };

  milliseconds Delay(int from, int to) {
    return milliseconds(std::uniform_int_distribution<int>(from, to)(random_));
  }
  milliseconds MessageDelay() { return Delay(1, 30); }

  void At(MonotonicTime at, std::function<void()> run) {
    events_.push({at, order_++, -1, 0, std::move(run)});
  }
  void AtDaemon(int daemon, MonotonicTime at, std::function<void()> run) {
    events_.push({at, order_++, daemon, daemons_[daemon].starts, std::move(run)});
  }

  int ConfirmedLeader() const {
    for (int i = 0; i < scenario_.daemons; ++i) {
      if (daemons_[i].leads && daemons_[i].confirmed) return i;
    }
    return -1;
  }

  // Makes a daemon that runs the leader, unless there is one. The others learn of it later.
  void Elect() {
    if (ConfirmedLeader() >= 0) return;
    const int leader = static_cast<int>(random_() % daemons_.size());
    Daemon& chosen = daemons_[leader];
    if (chosen.leads || chosen.cut || chosen.paused_until > now_) {
      At(now_ + milliseconds(100), [this] { Elect(); });
      return;
    }
    chosen.leads = chosen.confirmed = true;
    chosen.leader = -1;
    chosen.issuer.Reset();
    for (int i = 0; i < scenario_.daemons; ++i) {
      LearnLeader(i, random_() % 4 == 0 ? Delay(0, 6000) : Delay(0, 1000));
    }
  }

  void LearnLeader(int daemon, milliseconds after) {
    AtDaemon(daemon, now_ + after, [this, daemon] {
      if (!daemons_[daemon].leads) daemons_[daemon].leader = ConfirmedLeader();
    });
  }

  void ScheduleArrival() {
    const double wait = std::exponential_distribution<double>(std::max(demand_, 0.1))(random_);
    At(now_ + std::chrono::duration_cast<MonotonicTime::duration>(
                  std::chrono::duration<double>(std::min(wait, 0.1))),
       [this, wait] {
         if (wait <= 0.1) {
           const auto priority = static_cast<std::uint32_t>(random_() % 3);
           Arrive({now_ + kPatience, priority});
         }
         ScheduleArrival();
       });
  }

  void Arrive(const Call& call) {
    const int index = any_daemon_(random_);
    AtDaemon(index, now_, [this, index, call] { Try(index, call); });
  }

  // The caller comes back at `retry_at`, to any daemon.
  void Refuse(const Call& call, MonotonicTime retry_at) {
    const MonotonicTime at = std::max(retry_at, now_) + Delay(1, 250);
    if (at < call.until) At(at, [this, call] { Arrive(call); });
  }

  void Try(int index, const Call& call) {
    Daemon& daemon = daemons_[index];
    if (daemon.backoff_until > now_) return Refuse(call, daemon.backoff_until);
    const auto rate = daemon.limits.Rate(kEndpoint);
    if (!rate) return Connect(index, MonotonicTime::max());
    const PermitDemand demand{kEndpoint, *rate, call.priority};
    if (scenario_.method == LimitMethod::kOwnBuckets) {
      return HandleAnswer(index, call, now_, daemon.issuer.Decide(demand, true, now_));
    }
    const LimitNotice notice = *daemon.limits.Notice(kEndpoint, now_);
    ++asked_;
    if (daemon.leads) {
      return HandleAnswer(index, call, now_, DecidePermit(index, notice, call.priority));
    }
    RequestPermit(index, call, notice);
  }

  void RequestPermit(int index, const Call& call, const LimitNotice& notice) {
    const MonotonicTime asked_at = now_;
    const int leader = daemons_[index].leader;
    const PermitDecision denied{false, kPermitRetryDelay};
    if (leader < 0) return HandleAnswer(index, call, asked_at, denied);
    const auto done = std::make_shared<bool>(false);
    const auto finish = [this, index, call, asked_at, done](const PermitDecision& decision) {
      if (!std::exchange(*done, true)) HandleAnswer(index, call, asked_at, decision);
    };
    AtDaemon(index, now_ + kPermitTimeout, [finish, denied] { finish(denied); });
    if (daemons_[index].cut || daemons_[leader].cut) return;
    const int start = daemons_[index].starts;
    AtDaemon(leader, now_ + MessageDelay(), [=, this] {
      const PermitDecision decision = DecidePermit(leader, notice, call.priority);
      if (daemons_[index].cut || daemons_[leader].cut) return;
      if (daemons_[index].starts != start) return;
      AtDaemon(index, now_ + MessageDelay(), [finish, decision] { finish(decision); });
    });
  }

  // As LeaderLink::DecidePermit.
  PermitDecision DecidePermit(int leader, const LimitNotice& notice, std::uint32_t priority) {
    Daemon& daemon = daemons_[leader];
    if (!daemon.leads) return {false, kPermitRetryDelay};
    daemon.limits.Adopt(notice, now_);
    const auto rate = daemon.limits.Rate(notice.number);
    if (!rate) return {true, milliseconds(0)};
    return daemon.issuer.Decide({notice.number, *rate, priority}, daemon.confirmed, now_);
  }

  void HandleAnswer(int index, const Call& call, MonotonicTime asked_at,
                    const PermitDecision& decision) {
    Daemon& daemon = daemons_[index];
    if (decision.granted && now_ < asked_at + kPermitLifetime) {
      return Connect(index, asked_at + kPermitLifetime);
    }
    const milliseconds backoff =
        std::max(kMinPermitBackoff, decision.granted ? milliseconds(0) : decision.retry_after);
    daemon.backoff_until = std::max(daemon.backoff_until, now_ + backoff);
    Refuse(call, daemon.backoff_until);
  }

  // Opens a connection and sends the request unless the permit has expired.
  void Connect(int index, MonotonicTime send_by) {
    const milliseconds time = random_() % 3 == 0 ? MessageDelay() : milliseconds(0);
    AtDaemon(index, now_ + time, [this, index, send_by] {
      if (now_ >= send_by) return;
      const MonotonicTime sent_at = now_;
      const int start = daemons_[index].starts;
      At(now_ + MessageDelay(), [=, this] { Serve(index, start, sent_at); });
    });
  }

  // Whether the request of a daemon counts against the limit. One that received a response since
  // the endpoint began to state limits always does, one that knows only an earlier period does
  // unless it was paused or cut off.
  bool IsTold(const Daemon& daemon) const {
    if (daemon.told_at && daemon.told_period == period_) {
      return now_ >= *daemon.told_at + kToldTime;
    }
    return daemon.first_told_at && now_ >= *daemon.first_told_at + kToldTime &&
           now_ >= daemon.excused_until;
  }

  // The endpoint states its limit when it begins or when it ends the work on a request.
  void Serve(int index, int start, MonotonicTime sent_at) {
    const bool told = daemons_[index].starts == start && IsTold(daemons_[index]);
    const bool binds = first_stated_ && now_ >= *first_stated_ + kContactTime;
    if (binds && !told) ++untold_;
    requests_.push_back({now_, binds && told});
    const milliseconds work = random_() % 10 == 0 ? Delay(300, 3000) : Delay(5, 200);
    if (random_() % 2 == 0) {
      Respond(index, start, sent_at, now_ + work);
    } else {
      At(now_ + work, [=, this] { Respond(index, start, sent_at, now_); });
    }
  }

  void Respond(int index, int start, MonotonicTime sent_at, MonotonicTime at) {
    const auto rate = limits_.empty() ? std::nullopt : limits_.back().rate;
    if (rate && !first_stated_) first_stated_ = now_;
    if (daemons_[index].starts != start) return;
    AtDaemon(index, at + MessageDelay(), [=, this, period = period_] {
      Daemon& daemon = daemons_[index];
      daemon.limits.RecordResponse(kEndpoint, rate, sent_at, now_);
      if (!rate) return;
      if (!daemon.first_told_at) daemon.first_told_at = now_;
      if (daemon.told_at && daemon.told_period == period) return;
      daemon.told_at = now_;
      daemon.told_period = period;
    });
  }

  // The daemon to which a daemon reports; -1 if none.
  int Uplink(int index) const {
    const int relays = scenario_.daemons / kDaemonsPerRelay;
    if (!scenario_.relayed || index < relays) return daemons_[index].leader;
    return index % relays;
  }

  void ScheduleReport(int index, milliseconds after) {
    AtDaemon(index, now_ + after, [this, index] {
      if (daemons_[index].leader < 0 && !daemons_[index].leads) LearnLeader(index, Delay(0, 500));
      Report(index);
      ScheduleReport(index, kReportPeriod);
    });
  }

  void Report(int index) {
    const int uplink = Uplink(index);
    Daemon& daemon = daemons_[index];
    daemon.limits.PruneExpired(now_);
    if (uplink < 0 || uplink == index || daemon.cut || daemons_[uplink].cut) return;
    const MonotonicTime sent_at = now_;
    const int start = daemon.starts;
    AtDaemon(uplink, now_ + MessageDelay(), [=, this, notices = daemon.limits.Notices(now_)] {
      EndpointLimits& known = daemons_[uplink].limits;
      for (const LimitNotice& notice : notices) known.Adopt(notice, now_);
      if (daemons_[index].starts != start) return;
      AtDaemon(index, now_ + MessageDelay(), [=, this, answer = known.Notices(now_)] {
        for (const LimitNotice& notice : answer) daemons_[index].limits.Adopt(notice, sent_at);
      });
    });
  }

  // The highest limit in force within kContactTime before `time`, since a lower one binds only
  // later; that at `time` if there was none.
  double BindingRate(MonotonicTime time) const {
    double rate = 0;
    for (std::size_t i = 0; i < limits_.size(); ++i) {
      const bool ended = i + 1 < limits_.size() && limits_[i + 1].from <= time - kContactTime;
      if (limits_[i].from <= time && !ended) rate = std::max(rate, limits_[i].rate.value_or(0));
    }
    return rate;
  }

  // Requests that the limits allow in the window up to `end`.
  double Allowed(MonotonicTime end) const {
    constexpr milliseconds kStep{50};
    double sum = 0;
    for (MonotonicTime t = end - kWindow + kStep / 2; t < end; t += kStep) {
      sum += BindingRate(t) * ToSeconds(kStep);
    }
    return sum;
  }

  LimitScenario scenario_;
  std::mt19937_64 random_;
  std::discrete_distribution<int> any_daemon_;
  std::vector<Daemon> daemons_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  MonotonicTime now_ = MonotonicTime() + seconds(100000);
  double demand_ = 0;
  std::vector<StatedLimit> limits_;
  // When a response stated a limit first since there is one.
  std::optional<MonotonicTime> first_stated_;
  // Number of times that the endpoint began or ceased to state limits.
  int period_ = 0;
  std::vector<Request> requests_;
  int untold_ = 0;
  int asked_ = 0;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_LIMIT_SIMULATION_H_
