#ifndef MIMOSABEND_TESTS_CONTAINMENT_SIMULATION_H_
#define MIMOSABEND_TESTS_CONTAINMENT_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "crash_correlator.h"
#include "crash_evidence.h"
#include "evidence_exchange.h"
#include "part_evidence.h"

namespace mimosabend::testing {

// Load and faults of a ContainmentSimulation.
struct ContainmentScenario {
  int daemons = 6;
  int engines = 18;
  double requests_per_s = 30;
  // Share of the requests that have a deadly part.
  double deadly_share = 0.05;
  int deadly_parts = 1;
  // Every deadly part comes together with a sound part that no other request has.
  bool tied = false;
  // The deadly parts are among the subjects that were served before they became deadly.
  bool known_before = false;
  // Parts that all requests have, in front of the others.
  int common_parts = 0;
  // Parts of each request that no other one has, in front of the deadly part.
  int own_parts = 0;
  // Share of the messages between daemons that are lost.
  double message_loss = 0;
  // The daemon that passes records on dies, and another takes its place.
  bool relay_dies = false;
  // One daemon exchanges no messages for some seconds.
  bool cut = false;
  // Half of the engines crash at the same time for another reason, twice.
  bool mass_crash = false;
};

// What happened to the requests.
struct ContainmentCounts {
  int crashes = 0;
  // The most that a deadly part was sent by daemons in touch, later than the contact time after its
  // fifth crash.
  int late_sends = 0;
  // Sound requests that came later than twice the contact time after the last crash or the fifth
  // one, and those of them that were refused or held when they came.
  int sound = 0;
  int sound_not_started = 0;
};

// Daemons that send requests to engines in simulated time and exchange crash evidence through one
// of them. Each request has a first part, a subject and possibly a deadly part, which crashes the
// engine when it starts to respond. Not thread-safe.
class ContainmentSimulation {
 public:
  static constexpr milliseconds kContactTime{3000};
  static constexpr int kCrashesToLearnFrom = 5;

  ContainmentSimulation(const ContainmentScenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_(seed), engines_(scenario.engines) {
    for (int i = 0; i < scenario.daemons; ++i) daemons_.push_back(std::make_unique<Daemon>(i));
    deadly_from_ = scenario.known_before ? kStart + seconds(8) : kStart;
  }

  ContainmentCounts Run(seconds time) {
    end_ = kStart + time;
    Schedule(kStart, [this] { Arrive(); });
    for (auto& daemon : daemons_) {
      Schedule(kStart + milliseconds(Below(250)), [this, d = daemon.get()] { Report(d); });
    }
    if (scenario_.relay_dies) {
      Schedule(kStart + milliseconds(4000 + Below(8000)), [this] { daemons_[0]->dead = true; });
    }
    if (scenario_.cut) Schedule(kStart + milliseconds(4000 + Below(6000)), [this] { Cut(); });
    for (int i = 0; scenario_.mass_crash && i < 2; ++i) {
      Schedule(kStart + milliseconds(2000 + Below(15000)), [this] { MassCrash(); });
    }
    while (!events_.empty() && events_.top().at < end_) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    for (const auto& [part, sends] : late_sends_) {
      counts_.late_sends = std::max(counts_.late_sends, sends);
    }
    return counts_;
  }

 private:
  static constexpr std::uint64_t kFirstParts = 3;
  static constexpr std::uint64_t kSubjects = 35;
  static constexpr std::uint64_t kFirstSubject = 100;
  static constexpr std::uint64_t kFirstDeadly = 1000;
  static constexpr std::uint64_t kFirstTied = 2000;
  static constexpr std::uint64_t kFirstCommon = 10000;
  static constexpr std::uint64_t kFirstOwn = 1000000;
  static constexpr int kMaxAttempts = 2;
  static constexpr milliseconds kRestartTime{3300};
  static constexpr milliseconds kReportPeriod{250};
  // Time until a daemon knows that an engine has ended.
  static constexpr milliseconds kProbeTime{20};
  static inline const MonotonicTime kStart = MonotonicTime() + seconds(100000);

  struct Daemon {
    explicit Daemon(int number)
        : index(number),
          parts(number + 1),
          correlator(&evidence, &parts),
          exchange(&evidence, &parts, number + 1) {}

    int index;
    CrashEvidence evidence;
    PartEvidence parts;
    CrashCorrelator correlator;
    EvidenceExchange exchange;
    bool dead = false;
    bool cut = false;
    MonotonicTime cut_until;
  };
  struct Request {
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> parts;
    int attempts = 0;
    bool came = false;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Attempt {
    RequestPtr request;
    Daemon* daemon = nullptr;
    MonotonicTime sent_at;
    bool started = false;
  };
  struct Engine {
    std::uint32_t incarnation = 0;
    bool down = false;
    std::vector<std::shared_ptr<Attempt>> attempts;
  };
  struct Event {
    MonotonicTime at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void Schedule(MonotonicTime at, std::function<void()> run) {
    events_.push({at, ++last_order_, std::move(run)});
  }
  std::int64_t Below(std::int64_t limit) {
    return std::uniform_int_distribution<std::int64_t>(0, limit - 1)(random_);
  }
  bool Chance(double probability) { return std::bernoulli_distribution(probability)(random_); }

  // A new request arrives, and the next one is scheduled.
  void Arrive() {
    const double gap = std::exponential_distribution<double>(scenario_.requests_per_s)(random_);
    Schedule(now_ + milliseconds(1 + static_cast<std::int64_t>(gap * 1000)), [this] { Arrive(); });
    auto request = std::make_shared<Request>();
    request->fingerprint = ++last_request_;
    for (int i = 0; i < scenario_.common_parts; ++i) request->parts.push_back(kFirstCommon + i);
    for (int i = 0; i < scenario_.own_parts; ++i) request->parts.push_back(++last_own_part_);
    request->parts.push_back(1 + static_cast<std::uint64_t>(Below(kFirstParts)));
    const bool deadly = now_ >= deadly_from_ && Chance(scenario_.deadly_share);
    const auto number = static_cast<std::uint64_t>(Below(scenario_.deadly_parts));
    std::uint64_t subject = kFirstSubject + Below(kSubjects);
    // From `deadly_from_` on, a subject that has become deadly comes in such requests only.
    const bool is_taken = scenario_.known_before && now_ >= deadly_from_ &&
                          subject < kFirstSubject + scenario_.deadly_parts;
    if (is_taken) subject = kFirstSubject + kSubjects;
    if (deadly && scenario_.known_before) subject = kFirstSubject + number;
    request->parts.push_back(subject);
    if (deadly && !scenario_.known_before) {
      request->parts.push_back(kFirstDeadly + number);
      if (scenario_.tied) request->parts.push_back(kFirstTied + number);
    }
    Daemon* daemon = RandomDaemon();
    Try(request, daemon);
    // The caller repeats once.
    if (deadly) {
      Schedule(now_ + milliseconds(500 + Below(1500)), [this, request] {
        request->attempts = 0;
        Try(request, RandomDaemon());
      });
    }
  }

  // The parts of a request that crash an engine that starts to respond to it now.
  std::vector<std::uint64_t> DeadlyParts(const Request& request) const {
    const std::uint64_t first = scenario_.known_before ? kFirstSubject : kFirstDeadly;
    std::vector<std::uint64_t> deadly;
    for (std::uint64_t part : request.parts) {
      const bool in_range = part >= first && part < first + scenario_.deadly_parts;
      if (in_range && now_ >= deadly_from_) deadly.push_back(part);
    }
    return deadly;
  }

  Daemon* RandomDaemon() {
    for (;;) {
      Daemon* daemon = daemons_[Below(scenario_.daemons)].get();
      if (!daemon->dead) return daemon;
    }
  }

  bool IsInTouch(const Daemon& daemon) const {
    return !daemon.cut && now_ >= daemon.cut_until + kContactTime;
  }

  void Try(const RequestPtr& request, Daemon* daemon) {
    if (daemon->dead || request->attempts >= kMaxAttempts) return;
    const bool first = !request->came;
    request->came = true;
    const auto held = std::max(daemon->evidence.HeldUntil(request->fingerprint, now_),
                               daemon->parts.HeldUntil(request->parts, now_));
    const bool contained = daemon->parts.ContainedUntil(request->parts, now_) ||
                           (!held && daemon->evidence.Classify(request->fingerprint, now_) ==
                                         CrashVerdict::kContained);
    if (first && DeadlyParts(*request).empty()) CountSound(*daemon, contained || held);
    if (contained) return;
    if (held) {
      Schedule(now_ + milliseconds(100), [this, request, daemon] { Try(request, daemon); });
      return;
    }
    Send(request, daemon);
  }

  void CountSound(const Daemon& daemon, bool not_started) {
    if (last_relevant_crash_ == MonotonicTime()) return;
    if (now_ < last_relevant_crash_ + 2 * kContactTime || !IsInTouch(daemon)) return;
    ++counts_.sound;
    if (not_started) ++counts_.sound_not_started;
  }

  void Send(const RequestPtr& request, Daemon* daemon) {
    std::vector<int> up;
    for (int i = 0; i < scenario_.engines; ++i) {
      if (!engines_[i].down) up.push_back(i);
    }
    if (up.empty()) return;
    const int chosen = up[Below(static_cast<std::int64_t>(up.size()))];
    for (std::uint64_t part : DeadlyParts(*request)) {
      const auto fifth = fifth_crash_.find(part);
      if (fifth == fifth_crash_.end() || now_ <= fifth->second + kContactTime) continue;
      if (IsInTouch(*daemon)) ++late_sends_[part];
    }
    ++request->attempts;
    daemon->parts.BeginTrial(request->parts, now_);
    auto attempt = std::make_shared<Attempt>();
    attempt->request = request;
    attempt->daemon = daemon;
    attempt->sent_at = now_;
    engines_[chosen].attempts.push_back(attempt);
    const std::uint32_t incarnation = engines_[chosen].incarnation;
    Schedule(now_ + milliseconds(60 + Below(200)), [this, chosen, incarnation, attempt] {
      if (engines_[chosen].incarnation == incarnation && !engines_[chosen].down) {
        Start(chosen, attempt);
      }
    });
  }

  // The engine starts to respond.
  void Start(int chosen, const std::shared_ptr<Attempt>& attempt) {
    const std::vector<std::uint64_t> deadly = DeadlyParts(*attempt->request);
    if (!deadly.empty()) {
      for (std::uint64_t part : deadly) {
        if (++crashes_of_[part] == kCrashesToLearnFrom) fifth_crash_[part] = now_;
        if (crashes_of_[part] <= kCrashesToLearnFrom) last_relevant_crash_ = now_;
      }
      Crash(chosen);
      return;
    }
    attempt->started = true;
    const MonotonicTime started_at = now_;
    const std::uint32_t incarnation = engines_[chosen].incarnation;
    Schedule(now_ + milliseconds(200 + Below(3000)),
             [this, chosen, incarnation, attempt, started_at] {
               Engine& engine = engines_[chosen];
               if (engine.incarnation != incarnation || engine.down) return;
               std::erase(engine.attempts, attempt);
               attempt->daemon->evidence.RecordServed(attempt->request->fingerprint, now_);
               attempt->daemon->parts.RecordServed(attempt->request->parts, started_at, now_);
             });
  }

  void Crash(int index) {
    Engine& engine = engines_[index];
    if (engine.down) return;
    ++counts_.crashes;
    engine.down = true;
    const std::uint32_t crash = (++engine.incarnation) * 1000 + index + 1;
    // By the daemon's index.
    std::map<int, std::vector<std::shared_ptr<Attempt>>> broken;
    for (auto& attempt : engine.attempts) broken[attempt->daemon->index].push_back(attempt);
    engine.attempts.clear();
    for (auto& [index_of_daemon, attempts] : broken) {
      Daemon* daemon = daemons_[index_of_daemon].get();
      Schedule(now_ + kProbeTime, [this, daemon, attempts = attempts, crash] {
        if (daemon->dead) return;
        for (const auto& attempt : attempts) {
          const Request& request = *attempt->request;
          daemon->correlator.RecordBreak(
              crash, {request.fingerprint, attempt->started, attempt->sent_at, request.parts},
              now_);
        }
        daemon->correlator.RecordEnd(crash, now_);
        ReportNow(daemon);
        for (const auto& attempt : attempts) Try(attempt->request, daemon);
      });
    }
    Schedule(now_ + kRestartTime, [this, index] { engines_[index].down = false; });
  }

  void MassCrash() {
    for (int i = 0; i < scenario_.engines; ++i) {
      if (Chance(0.5)) Crash(i);
    }
  }

  void Cut() {
    Daemon* daemon = daemons_[1 + Below(scenario_.daemons - 1)].get();
    daemon->cut = true;
    Schedule(now_ + seconds(5), [this, daemon] {
      daemon->cut = false;
      daemon->cut_until = now_;
    });
  }

  Daemon* Relay() { return daemons_[daemons_[0]->dead ? 1 : 0].get(); }

  void Report(Daemon* daemon) {
    if (daemon->dead) return;
    ReportNow(daemon);
    daemon->correlator.PruneExpired(now_);
    Schedule(now_ + kReportPeriod, [this, daemon] { Report(daemon); });
  }

  // Exchanges evidence with the relay.
  void ReportNow(Daemon* daemon) {
    Daemon* relay = Relay();
    if (relay == daemon || daemon->cut || relay->cut || Chance(scenario_.message_loss)) return;
    const Address address{"relay", static_cast<std::uint16_t>(relay->index + 1)};
    const EvidenceMessage request = daemon->exchange.MakeRequest(address, now_);
    const milliseconds delay(5 + Below(60));
    Schedule(now_ + delay, [this, daemon, relay, address, request, delay] {
      if (relay->dead) return;
      const EvidenceMessage answer = relay->exchange.HandleRequest(request, now_);
      if (Chance(scenario_.message_loss)) return;
      Schedule(now_ + delay, [this, daemon, address, answer] {
        if (!daemon->dead) daemon->exchange.HandleAnswer(address, answer, now_);
      });
    });
  }

  ContainmentScenario scenario_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::vector<Engine> engines_;
  std::priority_queue<Event> events_;
  std::uint64_t last_order_ = 0;
  std::uint64_t last_request_ = 10000;
  std::uint64_t last_own_part_ = kFirstOwn;
  MonotonicTime now_ = kStart;
  MonotonicTime end_;
  MonotonicTime deadly_from_;
  MonotonicTime last_relevant_crash_;
  std::map<std::uint64_t, int> crashes_of_;
  std::map<std::uint64_t, MonotonicTime> fifth_crash_;
  std::map<std::uint64_t, int> late_sends_;
  ContainmentCounts counts_;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_CONTAINMENT_SIMULATION_H_
