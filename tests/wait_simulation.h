#ifndef MIMOSABEND_TESTS_WAIT_SIMULATION_H_
#define MIMOSABEND_TESTS_WAIT_SIMULATION_H_

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <vector>

#include "wait_policy.h"

namespace mimosabend::testing {

enum class Disturbance : std::uint8_t { kNone, kLeaderLost, kLeaderPaused, kStale };
inline constexpr NameTable<Disturbance, 4> kDisturbanceNames{
    {"calm", "leader lost", "leader paused", "information 2 s old"}};

struct BurstResult {
  int requests = 0;
  int served = 0;
  int refused_at_once = 0;
  // Time for which requests waited without being served.
  std::int64_t vain_wait_ms = 0;
  // Requests that waited although even a load that began then would have been too late.
  int impossible = 0;

  void Add(const BurstResult& other) {
    requests += other.requests;
    served += other.served;
    refused_at_once += other.refused_at_once;
    vain_wait_ms += other.vain_wait_ms;
    impossible += other.impossible;
  }
};

// A burst of requests for rare models, which the weight store loads one at a time, in simulated
// time. A refused request returns once its Retry-After is over, while its caller's time lasts.
class WaitSimulation {
 public:
  WaitSimulation(std::uint64_t seed, Disturbance disturbance, WaitRules rules)
      : random_(seed), disturbance_(disturbance), rules_(rules), models_(kModels) {
    disturbed_from_ = Below(3000);
    for (int i = 0; i < kRequests; ++i) {
      Call call;
      call.request.model = static_cast<std::size_t>(Below(kModels));
      call.request.priority = static_cast<std::uint32_t>(Below(3));
      call.due = Below(kBurst);
      call.request.deadline = At(call.due + 3000 + Below(9000));
      call.request.target = milliseconds(500);
      call.timeout = milliseconds(1880 + 1000 * Below(3));
      call.request.first_event_time = milliseconds(50 + Below(300));
      call.request.work = milliseconds(20 + Below(150));
      call.request.stream_time = milliseconds(Below(1500));
      calls_.push_back(call);
    }
  }

  BurstResult Run() {
    result_.requests = kRequests;
    for (int ms = 0; ms <= kEnd; ms += kStep) Step(ms);
    return result_;
  }

 private:
  static constexpr int kModels = 30;
  static constexpr int kRequests = 120;
  static constexpr int kBurst = 2000;
  static constexpr int kEnd = 16000;
  static constexpr int kStep = 20;
  static constexpr int kLoadMs = 500;
  static constexpr int kLeaderLifetime = 2000;
  static constexpr int kLeaderAbsence = 4500;
  static constexpr int kLeaderPause = 3000;
  static constexpr int kStaleness = 2000;

  enum class State : std::uint8_t { kAway, kWaiting, kDone };

  struct Call {
    WaitingRequest request;
    milliseconds timeout{0};
    State state = State::kAway;
    // When it arrives next.
    int due = 0;
    int since = 0;
    bool counted = false;
  };

  struct Model {
    bool loaded = false;
    int load_end = -1;
    // When its engine has processed the prompts that it was sent.
    int busy_until = 0;
  };

  // What the leader publishes: the end of each ordered load, and the queue.
  struct News {
    int at = 0;
    std::vector<int> load_ends;
    std::array<int, 3> queued{};
    int store_free = 0;
  };

  static MonotonicTime At(int ms) { return MonotonicTime(seconds(100) + milliseconds(ms)); }
  static int Ms(MonotonicTime time) { return static_cast<int>(ToMillis(time - At(0)).count()); }
  int Below(int bound) { return static_cast<int>(random_() % static_cast<std::uint64_t>(bound)); }

  // A new leader is elected and waits for the orders of the former one, a paused one goes on.
  bool LeaderWorks(int ms) const {
    const bool lost = disturbance_ == Disturbance::kLeaderLost;
    const bool fails = lost || disturbance_ == Disturbance::kLeaderPaused;
    const int absence = lost ? kLeaderAbsence : kLeaderPause;
    return !fails || ms < disturbed_from_ || ms >= disturbed_from_ + absence;
  }

  void Step(int ms) {
    for (Model& model : models_) {
      if (model.load_end >= 0 && model.load_end <= ms) model.loaded = true;
    }
    for (Call& call : calls_) Arrive(&call, ms);
    if (LeaderWorks(ms)) OrderLoads(ms);
    Decide(ms);
  }

  void Arrive(Call* call, int ms) {
    if (call->state != State::kAway || ms < call->due) return;
    call->state = State::kWaiting;
    call->since = ms;
    call->request.arrival = At(ms);
    call->request.waiting_since = At(ms);
    call->request.first_event_by = At(ms) + call->timeout;
    call->request.ready_at.reset();
  }

  // The most urgent priority that waits for a model that is not loaded, 3 if none, and how many.
  std::pair<std::uint32_t, int> DemandOf(std::size_t model) const {
    std::pair<std::uint32_t, int> demand{3, 0};
    for (const Call& call : calls_) {
      if (call.state != State::kWaiting || call.request.model != model) continue;
      demand.first = std::min(demand.first, call.request.priority);
      ++demand.second;
    }
    return demand;
  }

  void OrderLoads(int ms) {
    News news{ms, {}, {}, store_free_};
    std::vector<std::tuple<std::uint32_t, int, std::size_t>> queue;
    for (std::size_t i = 0; i < models_.size(); ++i) {
      const auto [priority, count] = DemandOf(i);
      if (count > 0 && models_[i].load_end < 0) queue.emplace_back(priority, -count, i);
    }
    std::sort(queue.begin(), queue.end());
    if (!queue.empty() && ms >= store_free_) {
      store_free_ = ms + kLoadMs;
      models_[std::get<2>(queue.front())].load_end = store_free_;
      queue.erase(queue.begin());
      news.store_free = store_free_;
    }
    for (const auto& item : queue) ++news.queued[std::get<0>(item)];
    for (const Model& model : models_) news.load_ends.push_back(model.load_end);
    news_.push_back(news);
  }

  // What the daemon knows from the leader; nullptr if nothing.
  const News* KnownNews(int ms) const {
    const News* known = nullptr;
    for (const News& news : news_) {
      if (news.at + Age() <= ms) known = &news;
    }
    return known;
  }

  int Age() const { return disturbance_ == Disturbance::kStale ? kStaleness : 0; }

  ModelOutlook OutlookOf(std::size_t model, const News* known, int ms) const {
    ModelOutlook outlook;
    outlook.has_engine = models_[model].loaded;
    outlook.has_leader = known != nullptr && ms < known->at + Age() + kLeaderLifetime;
    const int end = known == nullptr ? -1 : known->load_ends[model];
    if (end >= 0 && !outlook.has_engine) outlook.load_end = At(std::max(end, ms));
    return outlook;
  }

  void Decide(int ms) {
    std::vector<WaitingRequest> requests;
    std::vector<ModelOutlook> outlooks;
    std::vector<Call*> calls;
    const News* known = KnownNews(ms);
    for (std::size_t i = 0; i < models_.size(); ++i) outlooks.push_back(OutlookOf(i, known, ms));
    for (Call& call : calls_) {
      if (call.state != State::kWaiting) continue;
      WaitingRequest request = call.request;
      const int queue_ms = std::max(0, models_[request.model].busy_until - ms);
      request.first_event_time += milliseconds(queue_ms);
      if (known != nullptr) {
        QueuedLoads queue{{}, milliseconds(kLoadMs), milliseconds(kLoadMs)};
        queue.queued.assign(known->queued.begin(), known->queued.end());
        request.queued_load_end = QueuedLoadEnd(queue, request.priority, At(known->at), At(ms));
      }
      requests.push_back(request);
      calls.push_back(&call);
    }
    const auto decisions = DecideWaits(requests, outlooks, rules_, At(ms));
    std::vector<std::size_t> sorted;
    for (std::size_t i = 0; i < calls.size(); ++i) sorted.push_back(i);
    std::sort(sorted.begin(), sorted.end(), [&](std::size_t a, std::size_t b) {
      return decisions[a].order < decisions[b].order;
    });
    for (std::size_t i : sorted) Apply(decisions[i], calls[i], ms);
  }

  void Apply(const WaitDecision& decision, Call* call, int ms) {
    if (decision.action == WaitAction::kWait) return CountImpossible(call, ms);
    if (decision.action == WaitAction::kSend) return Send(call, ms);
    result_.vain_wait_ms += ms - call->since;
    if (ms == call->since) ++result_.refused_at_once;
    call->request.ready_at = decision.ready_at;
    const int ready = decision.ready_at ? Ms(*decision.ready_at) : ms;
    call->due = std::max(ms + 150, ready) + Below(300);
    call->state = At(call->due) < call->request.deadline ? State::kAway : State::kDone;
  }

  void Send(Call* call, int ms) {
    Model& model = models_[call->request.model];
    const int first =
        std::max(ms, model.busy_until) + static_cast<int>(call->request.first_event_time.count());
    model.busy_until =
        std::max(ms, model.busy_until) + static_cast<int>(call->request.work.count());
    const bool in_time = At(first) <= call->request.first_event_by &&
                         At(first) + call->request.stream_time <= call->request.deadline;
    if (in_time) ++result_.served;
    if (!in_time) result_.vain_wait_ms += ms - call->since;
    call->state = State::kDone;
  }

  // Counts a request that waits although even a load that begins now would be too late.
  void CountImpossible(Call* call, int ms) {
    const Model& model = models_[call->request.model];
    if (call->counted || disturbance_ != Disturbance::kNone) return;
    const int ready = model.load_end >= 0 ? model.load_end : ms + kLoadMs;
    const int first = ready + static_cast<int>(call->request.first_event_time.count());
    const MonotonicTime end = At(first) + call->request.stream_time;
    // With the error margin of forecasts.
    const auto late = [&](MonotonicTime time, MonotonicTime limit) {
      return At(ms) + (time - At(ms)) * 4 / 5 > limit;
    };
    if (!late(At(first), call->request.first_event_by) && !late(end, call->request.deadline))
      return;
    call->counted = true;
    ++result_.impossible;
  }

  std::mt19937_64 random_;
  Disturbance disturbance_;
  WaitRules rules_;
  int disturbed_from_ = 0;
  std::vector<Model> models_;
  std::vector<Call> calls_;
  std::deque<News> news_;
  int store_free_ = 0;
  BurstResult result_;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_WAIT_SIMULATION_H_
