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

// The engines of one group in memory, shared by the clients of a test. They take every load that
// passes the fence, however little memory is left, so that a fault of placement shows. Not
// thread-safe.
class FakeEngineFleet {
 public:
  FakeEngineFleet(std::uint64_t seed, Fencing fencing, std::int64_t memory_mib)
      : random_(seed), fencing_(fencing), memory_mib_(memory_mib) {}

  std::mt19937_64& random() { return random_; }

  // A load takes up to this long.
  void set_max_load_time(milliseconds time) { max_load_time_ = time; }

  // Starts an engine without replicas, or restarts it; in-flight orders to it are lost.
  void Start(const Address& address) {
    Engine& engine = engines_[address.port];
    ++engine.incarnation;
    engine.running = true;
    engine.fence = 0;
    engine.replicas.clear();
  }
  void Kill(const Address& address) {
    Engine& engine = engines_[address.port];
    ++engine.incarnation;
    engine.running = false;
    engine.replicas.clear();
  }
  // Notes that the host list names the host as leaving.
  void NoteLeaving(const Address& address) {
    engines_[address.port].leaving_since = MonotonicNow();
  }

  bool IsRunning(const Address& address) const {
    const auto it = engines_.find(address.port);
    return it != engines_.end() && it->second.running;
  }
  std::uint64_t Incarnation(const Address& address) { return engines_[address.port].incarnation; }
  // How long the host has been leaving; zero if it is not.
  milliseconds LeavingFor(const Address& address) const {
    const auto it = engines_.find(address.port);
    if (it == engines_.end() || it->second.leaving_since == MonotonicTime()) return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(MonotonicNow() - it->second.leaving_since);
  }

  EngineState State(const Address& address) {
    Engine& engine = engines_[address.port];
    Advance(&engine);
    EngineState state;
    state.incarnation = std::to_string(engine.incarnation);
    state.fence = engine.fence;
    state.memory_total_mib = memory_mib_;
    state.memory_used_mib = Used(engine);
    for (const auto& [key, replica] : engine.replicas) {
      state.replicas.push_back({key.first, key.second, replica.state, replica.memory_mib});
    }
    return state;
  }

  Result<void, EngineError> RaiseFence(const Address& address, std::uint64_t fence) {
    Engine& engine = engines_[address.port];
    if (IsFenced(engine, fence)) return outcome::failure(EngineError::kStaleFence);
    engine.fence = std::max(engine.fence, fence);
    return outcome::success();
  }

  Result<void, EngineError> Order(const Address& address, const EngineOrder& order) {
    Engine& engine = engines_[address.port];
    Advance(&engine);
    if (IsFenced(engine, order.fence)) return outcome::failure(EngineError::kStaleFence);
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
    NotePeaks(engine);
    return outcome::success();
  }

  std::uint64_t loads() const { return loads_; }
  std::int64_t peak_memory_mib() const { return peak_memory_mib_; }
  // The most replicas of a model that were held at once, in all states and versions.
  const std::map<std::string, std::uint32_t>& peak_replicas() const { return peak_replicas_; }

  // Replicas held now.
  std::uint32_t CountReplicas(const std::string& model) {
    std::uint32_t count = 0;
    for (auto& [port, engine] : engines_) {
      Advance(&engine);
      for (const auto& [key, replica] : engine.replicas) count += key.first == model ? 1 : 0;
    }
    return count;
  }

 private:
  struct Replica {
    ReplicaState state = ReplicaState::kLoading;
    std::int64_t memory_mib = 0;
    // When a load or unload is complete.
    MonotonicTime changes_at;
  };
  struct Engine {
    std::uint64_t incarnation = 0;
    bool running = false;
    std::uint64_t fence = 0;
    MonotonicTime leaving_since;
    // By model and version.
    std::map<std::pair<std::string, std::string>, Replica> replicas;
  };

  bool IsFenced(const Engine& engine, std::uint64_t fence) const {
    return fencing_ == Fencing::kHonoured && fence < engine.fence;
  }

  milliseconds RandomTime(milliseconds longest) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(1, longest.count())(random_));
  }

  static void Advance(Engine* engine) {
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

  static std::int64_t Used(const Engine& engine) {
    std::int64_t sum = 0;
    for (const auto& [key, replica] : engine.replicas) sum += replica.memory_mib;
    return sum;
  }

  void NotePeaks(const Engine& changed) {
    peak_memory_mib_ = std::max(peak_memory_mib_, Used(changed));
    std::map<std::string, std::uint32_t> counts;
    for (auto& [port, engine] : engines_) {
      Advance(&engine);
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

// Holds up the calls of a paused daemon, in both directions. Timers of the daemon still run, so
// each pause falls between a check of the lease and the call that relied on it.
class PauseGate {
 public:
  void PauseFor(milliseconds time) { until_ = std::max(until_, MonotonicNow() + time); }
  Task<void> Pass() {
    while (MonotonicNow() < until_) co_await Sleep(until_ - MonotonicNow());
  }

 private:
  MonotonicTime until_;
};

// What goes wrong between one client and the engines.
struct EngineFaults {
  // Share of orders that do not arrive, though the client cannot tell.
  double lost_orders = 0;
  // Share of calls that take effect but whose answer is lost.
  double lost_answers = 0;
  // Share of orders that arrive up to `max_lateness` after the client has given up.
  double late_orders = 0;
  // Share of orders of which a second copy arrives up to `max_lateness` later.
  double duplicates = 0;
  milliseconds max_lateness{0};
  // Each call takes up to this long, half of it on the way back.
  milliseconds max_delay{0};
};

// One client of the engines. Models EngineControl. Not thread-safe.
class FakeEngine {
 public:
  // Precondition: all pointers outlive this object.
  FakeEngine(FakeEngineFleet* fleet, PauseGate* gate) : fleet_(fleet), gate_(gate) {}

  EngineFaults& faults() { return faults_; }
  // Engines, by port, that this client alone cannot reach.
  std::set<std::uint16_t>& cut() { return cut_; }
  // Loads that were ordered more than `kLeavingTime` after the host was listed as leaving.
  std::uint64_t loads_to_leaving() const { return loads_to_leaving_; }

  Task<Result<EngineState, EngineError>> State(Address endpoint) {
    co_await Travel();
    if (!Reaches(endpoint)) co_return outcome::failure(EngineError::kNotSent);
    EngineState state = fleet_->State(endpoint);
    const std::uint64_t incarnation = fleet_->Incarnation(endpoint);
    co_await Travel();
    if (!Reaches(endpoint) || incarnation != fleet_->Incarnation(endpoint) ||
        Happens(faults_.lost_answers)) {
      co_return outcome::failure(EngineError::kTimedOut);
    }
    co_return state;
  }

  Task<Result<void, EngineError>> Order(Address endpoint, EngineOrder order) {
    const MonotonicTime sent_at = MonotonicNow();
    if (order.kind == OrderKind::kLoad && fleet_->LeavingFor(endpoint) > kLeavingTime) {
      ++loads_to_leaving_;
    }
    co_await Travel();
    if (MonotonicNow() - sent_at > kSendLimit) co_return outcome::failure(EngineError::kNotSent);
    if (!Reaches(endpoint)) co_return outcome::failure(EngineError::kNotSent);
    if (Happens(faults_.lost_orders)) co_return outcome::failure(EngineError::kTimedOut);
    const bool late = Happens(faults_.late_orders);
    if (late || Happens(faults_.duplicates)) {
      boost::asio::co_spawn(
          co_await boost::asio::this_coro::executor,
          DeliverLate(fleet_, endpoint, order, fleet_->Incarnation(endpoint), Lateness()),
          boost::asio::detached);
    }
    if (late) co_return outcome::failure(EngineError::kTimedOut);
    auto result = fleet_->Order(endpoint, order);
    co_await Travel();
    if (Happens(faults_.lost_answers)) co_return outcome::failure(EngineError::kTimedOut);
    co_return result;
  }

  Task<Result<void, EngineError>> RaiseFence(Address endpoint, std::uint64_t fence) {
    co_await Travel();
    if (!Reaches(endpoint)) co_return outcome::failure(EngineError::kNotSent);
    auto result = fleet_->RaiseFence(endpoint, fence);
    co_await Travel();
    if (Happens(faults_.lost_answers)) co_return outcome::failure(EngineError::kTimedOut);
    co_return result;
  }

 private:
  // The send limit of an order and the time of guarantee 7, both a tenth of the product's.
  static constexpr milliseconds kSendLimit{100};
  static constexpr milliseconds kLeavingTime{400};

  bool Happens(double share) { return std::bernoulli_distribution(share)(fleet_->random()); }

  bool Reaches(const Address& endpoint) const {
    return fleet_->IsRunning(endpoint) && !cut_.contains(endpoint.port);
  }

  Task<void> Travel() {
    if (faults_.max_delay.count() > 0) {
      std::uniform_int_distribution<std::int64_t> delay(0, faults_.max_delay.count() / 2);
      const milliseconds time(delay(fleet_->random()));
      co_await Sleep(time);
    }
    co_await gate_->Pass();
  }

  milliseconds Lateness() {
    std::uniform_int_distribution<std::int64_t> lateness(0, faults_.max_lateness.count());
    return milliseconds(lateness(fleet_->random()));
  }

  // A connection ends with the engine process, and an order in it is lost.
  static Task<void> DeliverLate(FakeEngineFleet* fleet, Address endpoint, EngineOrder order,
                                std::uint64_t incarnation, milliseconds lateness) {
    co_await Sleep(lateness);
    if (!fleet->IsRunning(endpoint) || fleet->Incarnation(endpoint) != incarnation) co_return;
    auto ignored = fleet->Order(endpoint, order);
    static_cast<void>(ignored);
  }

  FakeEngineFleet* fleet_;
  PauseGate* gate_;
  EngineFaults faults_;
  std::set<std::uint16_t> cut_;
  std::uint64_t loads_to_leaving_ = 0;
};

static_assert(EngineControl<FakeEngine>);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_FAKE_ENGINE_H_
