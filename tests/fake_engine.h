#ifndef MIMOSABEND_TESTS_FAKE_ENGINE_H_
#define MIMOSABEND_TESTS_FAKE_ENGINE_H_

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine.h"
#include "environment.h"
#include "supervisor.h"

namespace mimosabend::testing {

// In-memory engines of one placement group, shared by the clients of a test. They accept every load
// that is not rejected for its fencing token, even if memory is exhausted, so that placement errors
// become visible. Not thread-safe.
class FakeEngineFleet {
 public:
  FakeEngineFleet(std::uint64_t seed, Fencing fencing, std::int64_t memory_mib)
      : random_(seed), fencing_(fencing), memory_mib_(memory_mib) {}

  std::mt19937_64& random() { return random_; }

  // Maximum duration of a load.
  void set_max_load_time(milliseconds time) { max_load_time_ = time; }

  // Starts or restarts an engine without replicas. Orders in flight to it are lost.
  void Start(const Address& address) {
    Engine& engine = engines_[address.port];
    ++engine.incarnation;
    engine.running = true;
    engine.fence = 0;
    engine.replicas.clear();
  }
  void Stop(const Address& address) {
    Engine& engine = engines_[address.port];
    ++engine.incarnation;
    engine.running = false;
    engine.replicas.clear();
  }
  // Records that the host list reports the host as leaving.
  void SetLeaving(const Address& address) { engines_[address.port].leaving_since = MonotonicNow(); }

  bool IsRunning(const Address& address) const {
    const auto it = engines_.find(address.port);
    return it != engines_.end() && it->second.running;
  }
  std::uint64_t Incarnation(const Address& address) { return engines_[address.port].incarnation; }
  // Time since the host was listed as leaving; zero if it is not leaving.
  milliseconds TimeSinceLeaving(const Address& address) const {
    const auto it = engines_.find(address.port);
    if (it == engines_.end() || it->second.leaving_since == MonotonicTime()) return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(MonotonicNow() - it->second.leaving_since);
  }

  EngineState State(const Address& address) {
    Engine& engine = engines_[address.port];
    UpdateReplicaStates(&engine);
    EngineState state;
    state.incarnation = std::to_string(engine.incarnation);
    state.fence = engine.fence;
    state.memory_total_mib = memory_mib_;
    state.memory_used_mib = UsedMemory(engine);
    for (const auto& [key, replica] : engine.replicas) {
      state.replicas.push_back({key.first, key.second, replica.state, replica.memory_mib});
    }
    return state;
  }

  Result<void, EngineError> RaiseFence(const Address& address, std::uint64_t fence) {
    Engine& engine = engines_[address.port];
    if (HasStaleFence(engine, fence)) return outcome::failure(EngineError::kStaleFence);
    engine.fence = std::max(engine.fence, fence);
    return outcome::success();
  }

  Result<void, EngineError> Order(const Address& address, const EngineOrder& order) {
    Engine& engine = engines_[address.port];
    UpdateReplicaStates(&engine);
    if (HasStaleFence(engine, order.fence)) return outcome::failure(EngineError::kStaleFence);
    engine.fence = std::max(engine.fence, order.fence);
    const auto key = std::make_pair(order.model, order.version);
    const auto it = engine.replicas.find(key);
    if (order.kind == OrderKind::kUnload) {
      if (it != engine.replicas.end() && it->second.state != ReplicaState::kUnloading) {
        it->second.state = ReplicaState::kUnloading;
        it->second.changes_at = MonotonicNow() + RandomTime(max_unload_time_);
      }
      return outcome::success();
    }
    if (it != engine.replicas.end()) return outcome::success();
    engine.replicas[key] = {ReplicaState::kLoading, order.memory_mib,
                            MonotonicNow() + RandomTime(max_load_time_)};
    ++loads_;
    UpdatePeaks(engine);
    return outcome::success();
  }

  std::uint64_t loads() const { return loads_; }
  std::int64_t peak_memory_mib() const { return peak_memory_mib_; }
  // Maximum number of concurrent replicas of each model, in any state and version.
  const std::map<std::string, std::uint32_t>& peak_replicas() const { return peak_replicas_; }

  // Current number of replicas of a model.
  std::uint32_t CountReplicas(const std::string& model) {
    std::uint32_t count = 0;
    for (auto& [port, engine] : engines_) {
      UpdateReplicaStates(&engine);
      for (const auto& [key, replica] : engine.replicas) count += key.first == model ? 1 : 0;
    }
    return count;
  }

 private:
  struct Replica {
    ReplicaState state = ReplicaState::kLoading;
    std::int64_t memory_mib = 0;
    // When the current load or unload completes.
    MonotonicTime changes_at;
  };
  struct Engine {
    std::uint64_t incarnation = 0;
    bool running = false;
    std::uint64_t fence = 0;
    MonotonicTime leaving_since;
    // Indexed by model and version.
    std::map<std::pair<std::string, std::string>, Replica> replicas;
  };

  bool HasStaleFence(const Engine& engine, std::uint64_t fence) const {
    return fencing_ == Fencing::kHonoured && fence < engine.fence;
  }

  milliseconds RandomTime(milliseconds longest) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(1, longest.count())(random_));
  }

  static void UpdateReplicaStates(Engine* engine) {
    const MonotonicTime now = MonotonicNow();
    for (auto it = engine->replicas.begin(); it != engine->replicas.end();) {
      const bool due = it->second.changes_at <= now;
      if (due && it->second.state == ReplicaState::kUnloading) {
        it = engine->replicas.erase(it);
        continue;
      }
      if (due) it->second.state = ReplicaState::kReady;
      ++it;
    }
  }

  static std::int64_t UsedMemory(const Engine& engine) {
    std::int64_t sum = 0;
    for (const auto& [key, replica] : engine.replicas) sum += replica.memory_mib;
    return sum;
  }

  void UpdatePeaks(const Engine& changed) {
    peak_memory_mib_ = std::max(peak_memory_mib_, UsedMemory(changed));
    std::map<std::string, std::uint32_t> counts;
    for (auto& [port, engine] : engines_) {
      UpdateReplicaStates(&engine);
      for (const auto& [key, replica] : engine.replicas) ++counts[key.first];
    }
    for (const auto& [model, count] : counts) {
      peak_replicas_[model] = std::max(peak_replicas_[model], count);
    }
  }

  std::mt19937_64 random_;
  Fencing fencing_;
  std::int64_t memory_mib_;
  milliseconds max_load_time_{60};
  milliseconds max_unload_time_{20};
  std::map<std::uint16_t, Engine> engines_;
  std::uint64_t loads_ = 0;
  std::int64_t peak_memory_mib_ = 0;
  std::map<std::string, std::uint32_t> peak_replicas_;
};

// Blocks the requests and responses of a paused daemon. The daemon's timers still run, so each
// pause occurs between a check of the lease and the call that relies on it.
class PausePoint {
 public:
  void PauseFor(milliseconds time) { until_ = std::max(until_, MonotonicNow() + time); }
  void Resume() { until_ = MonotonicNow(); }
  Task<void> WaitWhilePaused() {
    while (MonotonicNow() < until_) {
      co_await Sleep(std::min<MonotonicTime::duration>(kPollPeriod, until_ - MonotonicNow()));
    }
  }

 private:
  static constexpr milliseconds kPollPeriod{50};

  MonotonicTime until_;
};

// Faults to inject between one client and the engines. Shares are from 0 to 1.
struct EngineFaults {
  // Share of orders that do not arrive; the client sees a timeout.
  double lost_orders = 0;
  // Share of calls that take effect but whose response is lost.
  double lost_answers = 0;
  // Share of orders that arrive up to `max_lateness` after the client has seen a timeout.
  double late_orders = 0;
  // Share of orders that are delivered a second time up to `max_lateness` later.
  double duplicates = 0;
  milliseconds max_lateness{0};
  // Maximum network delay of a call, half of it for the response.
  milliseconds max_delay{0};
};

// One daemon's client of the engines, with fault injection. Models EngineControl. Not thread-safe.
class FakeEngine {
 public:
  // Precondition: all pointers outlive this object.
  FakeEngine(FakeEngineFleet* fleet, PausePoint* pause) : fleet_(fleet), pause_(pause) {}

  EngineFaults& faults() { return faults_; }
  // Ports of the engines that only this client cannot reach.
  std::set<std::uint16_t>& unreachable_ports() { return unreachable_ports_; }
  // Number of load orders sent more than `kLeavingTime` after the host was listed as leaving.
  std::uint64_t loads_on_leaving_hosts() const { return loads_on_leaving_hosts_; }

  Task<Result<EngineState, EngineError>> State(Address endpoint) {
    co_await SimulateNetworkDelay();
    if (!CanReach(endpoint)) co_return outcome::failure(EngineError::kNotSent);
    EngineState state = fleet_->State(endpoint);
    const std::uint64_t incarnation = fleet_->Incarnation(endpoint);
    co_await SimulateNetworkDelay();
    if (!CanReach(endpoint) || incarnation != fleet_->Incarnation(endpoint) ||
        Occurs(faults_.lost_answers)) {
      co_return outcome::failure(EngineError::kTimedOut);
    }
    co_return state;
  }

  Task<Result<void, EngineError>> Order(Address endpoint, EngineOrder order) {
    const MonotonicTime sent_at = MonotonicNow();
    if (order.kind == OrderKind::kLoad && fleet_->TimeSinceLeaving(endpoint) > kLeavingTime) {
      ++loads_on_leaving_hosts_;
    }
    co_await SimulateNetworkDelay();
    if (MonotonicNow() - sent_at > kSendLimit) co_return outcome::failure(EngineError::kNotSent);
    if (!CanReach(endpoint)) co_return outcome::failure(EngineError::kNotSent);
    if (Occurs(faults_.lost_orders)) co_return outcome::failure(EngineError::kTimedOut);
    const bool late = Occurs(faults_.late_orders);
    if (late || Occurs(faults_.duplicates)) {
      boost::asio::co_spawn(
          co_await boost::asio::this_coro::executor,
          DeliverLate(fleet_, endpoint, order, fleet_->Incarnation(endpoint), RandomLateness()),
          boost::asio::detached);
    }
    if (late) co_return outcome::failure(EngineError::kTimedOut);
    auto result = fleet_->Order(endpoint, order);
    co_await SimulateNetworkDelay();
    if (Occurs(faults_.lost_answers)) co_return outcome::failure(EngineError::kTimedOut);
    co_return result;
  }

  Task<Result<void, EngineError>> RaiseFence(Address endpoint, std::uint64_t fence) {
    co_await SimulateNetworkDelay();
    if (!CanReach(endpoint)) co_return outcome::failure(EngineError::kNotSent);
    auto result = fleet_->RaiseFence(endpoint, fence);
    co_await SimulateNetworkDelay();
    if (Occurs(faults_.lost_answers)) co_return outcome::failure(EngineError::kTimedOut);
    co_return result;
  }

 private:
  // Time limit for sending an order, and time after which a leaving endpoint gets no new work
  // (guarantee 7). Both are a tenth of the production values.
  static constexpr milliseconds kSendLimit{100};
  static constexpr milliseconds kLeavingTime{400};

  bool Occurs(double share) { return std::bernoulli_distribution(share)(fleet_->random()); }

  bool CanReach(const Address& endpoint) const {
    return fleet_->IsRunning(endpoint) && !unreachable_ports_.contains(endpoint.port);
  }

  Task<void> SimulateNetworkDelay() {
    if (faults_.max_delay.count() > 0) {
      std::uniform_int_distribution<std::int64_t> delay(0, faults_.max_delay.count() / 2);
      const milliseconds time(delay(fleet_->random()));
      co_await Sleep(time);
    }
    co_await pause_->WaitWhilePaused();
  }

  milliseconds RandomLateness() {
    std::uniform_int_distribution<std::int64_t> lateness(0, faults_.max_lateness.count());
    return milliseconds(lateness(fleet_->random()));
  }

  // Delivers an order late, unless the engine has restarted: its connections end with the process.
  static Task<void> DeliverLate(FakeEngineFleet* fleet, Address endpoint, EngineOrder order,
                                std::uint64_t incarnation, milliseconds lateness) {
    co_await Sleep(lateness);
    if (!fleet->IsRunning(endpoint) || fleet->Incarnation(endpoint) != incarnation) co_return;
    auto ignored = fleet->Order(endpoint, order);
    static_cast<void>(ignored);
  }

  FakeEngineFleet* fleet_;
  PausePoint* pause_;
  EngineFaults faults_;
  std::set<std::uint16_t> unreachable_ports_;
  std::uint64_t loads_on_leaving_hosts_ = 0;
};

static_assert(EngineControl<FakeEngine>);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_FAKE_ENGINE_H_
