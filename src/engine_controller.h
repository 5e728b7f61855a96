#ifndef MIMOSABEND_ENGINE_CONTROLLER_H_
#define MIMOSABEND_ENGINE_CONTROLLER_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "engine_table.h"
#include "event_loop.h"
#include "fleet_order.h"
#include "log.h"
#include "model_planner.h"
#include "notifier.h"
#include "supervisor.h"

namespace mimosabend {

// Shared, because the configuration may be replaced while an order is in progress.
using EngineProfilePtr = std::shared_ptr<const EngineProfile>;

// Leadership under which orders are sent. Valid for one term of one leader.
struct OrderAuthority {
  std::string holder;
  // Fencing token of the current term; 0 outside a term.
  std::function<std::uint64_t()> fence;
  // Whether this leader may send orders at the given time.
  std::function<bool(MonotonicTime)> may_order;
  // Called when an engine has seen a higher fencing token; ends the term.
  std::function<void()> end_term;
};

// Callbacks of a load.
struct LoadHooks {
  // Whether the model is still needed after the victims have been unloaded.
  std::function<bool()> still_needed;
  // Called when the load has ended, whether it succeeded or not.
  std::function<void(milliseconds taken)> done;
};

// Sends load and unload orders to engines, one at a time per engine, and waits for their
// completion. Each order carries the number of orders that the engine must have accepted so far, so
// that a delayed order has no effect. Not thread-safe.
template <FleetEngines Engines>
class EngineController {
 public:
  // Precondition: all pointers outlive this object. `changed` is notified when the table changes.
  EngineController(boost::asio::any_io_executor executor, Engines* engines, EngineTable* table,
                   Notifier* changed, OrderAuthority authority)
      : executor_(std::move(executor)),
        engines_(engines),
        table_(table),
        changed_(changed),
        authority_(std::move(authority)) {}

  // Updates the table from the engine's report. Precondition: the table has the engine, and it is
  // idle.
  void StartRefresh(const std::string& id) { Spawn(Refresh(id)); }

  // Unloads the victims from an engine, then loads the model.
  // Precondition: the table has the engine, and its `loading` names the model.
  void StartLoad(const PlannedLoad& load, EngineProfilePtr profile, LoadHooks hooks) {
    Spawn(Load(load, std::move(profile), std::move(hooks)));
  }

  // Loads an adapter into a free adapter slot. No effect if the engine has become busy or has no
  // room for it. Precondition: the table has the engine, it is known and idle, and the profile has
  // the model.
  void StartAdapterLoad(const std::string& id, const ModelAdapter& adapter,
                        EngineProfilePtr profile) {
    Spawn(LoadAdapter(id, adapter, std::move(profile)));
  }

  // Number of adapter loads started by StartAdapterLoad that are in progress.
  std::size_t adapter_loads_in_flight() const { return adapter_loads_in_flight_; }

  // Loads an adapter on an engine that holds its model, unloading other adapters if necessary.
  // Gives up after 400 ms. True if the engine holds the adapter or has accepted the order to load
  // it.
  Task<bool> PlaceAdapter(std::string id, ModelAdapter adapter, EngineProfilePtr profile) {
    const MonotonicTime deadline = MonotonicNow() + kAdapterWait;
    while (MonotonicNow() < deadline) {
      EngineRecord* engine = table_->Find(id);
      if (engine == nullptr || !engine->known || !authority_.may_order(MonotonicNow())) break;
      if (engine->holdings.Find(adapter.first) == nullptr) break;
      if (!profile->models.contains(adapter.first)) break;
      if (HasAdapter(engine->holdings, adapter.first, adapter.second)) {
        engine->adapter_use[adapter.first + "/" + adapter.second] = MonotonicNow();
        co_return true;
      }
      // Engines reject adapter orders while they load a model.
      if (!engine->loading.empty()) break;
      if (engine->IsIdle(MonotonicNow())) {
        co_await SendAdapterOrder(id, adapter, profile);
      } else {
        co_await changed_->WaitUntil(std::min(deadline, MonotonicNow() + kIdlePollPeriod));
      }
    }
    co_return false;
  }

 private:
  static constexpr milliseconds kOrderTimeout{500};
  static constexpr milliseconds kReportTimeout{500};
  static constexpr milliseconds kOrderRetryDelay{150};
  static constexpr milliseconds kUnreachableRetryDelay{600};
  static constexpr milliseconds kProgressPollPeriod{60};
  static constexpr milliseconds kIdlePollPeriod{30};
  static constexpr milliseconds kAdapterWait{400};
  // Load time of an adapter while few are being loaded.
  static constexpr milliseconds kAdapterLoadTime{12};
  // An order is abandoned after this multiple of its expected time at full speed.
  static constexpr int kTimeoutFactor = 20;
  static constexpr milliseconds kMinExpectedTime{500};

  // An order to one incarnation of an engine within one term.
  struct Step {
    std::string engine;
    std::int64_t started_ms = 0;
    std::uint64_t fence = 0;
    OrderKind kind = OrderKind::kLoad;
    std::string model;
    std::string adapter;
  };

  void Spawn(Task<void> task) { SpawnDetached(executor_, "order to an engine", std::move(task)); }

  // The engine of a step; nullptr if the engine has restarted or is gone, or the term has ended.
  EngineRecord* FindEngine(const Step& step) {
    return authority_.fence() == step.fence ? table_->Find(step.engine, step.started_ms) : nullptr;
  }

  Step MakeStep(const EngineRecord& engine) const {
    return Step{engine.id, engine.started_ms, authority_.fence(), OrderKind::kLoad, {}, {}};
  }

  Task<void> Refresh(std::string id) {
    EngineRecord* engine = table_->Find(id);
    if (engine == nullptr) co_return;
    const Step step = MakeStep(*engine);
    engine->busy = true;
    auto report = co_await engines_->Report(engine->address, kReportTimeout);
    engine = FindEngine(step);
    if (engine == nullptr) co_return;
    engine->busy = false;
    const MonotonicTime now = MonotonicNow();
    if (!report) {
      engine->retry_at = now + kUnreachableRetryDelay;
      co_return;
    }
    const bool current = table_->RecordReport(engine, report.value(), now);
    if (!current || report.value().busy) engine->retry_at = now + kProgressPollPeriod;
    if (current) engine->known = !report.value().busy;
    changed_->NotifyAll();
  }

  Task<void> Load(PlannedLoad load, EngineProfilePtr profile, LoadHooks hooks) {
    const MonotonicTime start = MonotonicNow();
    EngineRecord* engine = table_->Find(load.engine);
    if (engine == nullptr) co_return;
    Step step = MakeStep(*engine);
    bool ordered = true;
    step.kind = OrderKind::kUnload;
    for (const std::string& victim : load.victims) {
      step.model = victim;
      if (ordered) ordered = co_await ExecuteOrder(step, milliseconds(0));
    }
    engine = FindEngine(step);
    if (engine != nullptr) engine->unloading_since.reset();
    // Meanwhile, adapters may have used the freed memory, and another engine may have loaded the
    // model.
    if (ordered && engine != nullptr && CommittedMb(*profile, *engine) <= profile->weights_mb &&
        (load.victims.empty() || hooks.still_needed())) {
      const ModelProfile& model = profile->models.at(load.model);
      const milliseconds expected = LoadTime(model, SourceOf(engine->holdings, load.model));
      engine->ready_at = MonotonicNow() + expected;
      step.kind = OrderKind::kLoad;
      step.model = load.model;
      ordered = co_await ExecuteOrder(step, expected);
    }
    engine = FindEngine(step);
    if (engine != nullptr) engine->loading.clear();
    hooks.done(ToMillis(MonotonicNow() - start));
    changed_->NotifyAll();
  }

  // Waits until no order is in flight to the engine. False if the step has become invalid.
  Task<bool> WaitUntilIdle(Step step) {
    for (;;) {
      const MonotonicTime now = MonotonicNow();
      EngineRecord* engine = FindEngine(step);
      if (engine == nullptr || !authority_.may_order(now)) co_return false;
      if (engine->IsIdle(now)) co_return true;
      co_await changed_->WaitUntil(now + kIdlePollPeriod);
    }
  }

  Task<OrderOutcome> Send(Step step) {
    EngineRecord* engine = FindEngine(step);
    const FleetOrder order{step.engine,  engine->address,           step.kind,         step.model,
                           step.adapter, engine->holdings.sequence, authority_.holder, step.fence};
    engine->busy = true;
    engine->sent_at = MonotonicNow();
    const OrderOutcome outcome = co_await engines_->Send(order, kOrderTimeout);
    LOG4CPLUS_INFO(Log(), "order kind=" << kOrderKindNames[order.kind] << " model=" << order.model
                                        << (order.adapter.empty() ? "" : "/" + order.adapter)
                                        << " endpoint=" << order.endpoint_id << " fence="
                                        << order.fence << " sequence=" << order.expected_sequence
                                        << " outcome=\"" << kOrderOutcomeNames[outcome] << "\"");
    engine = FindEngine(step);
    if (engine != nullptr) engine->busy = false;
    co_return outcome;
  }

  // Sends an order for a model and waits for its completion. False if it was not completed.
  Task<bool> ExecuteOrder(Step step, milliseconds expected) {
    const bool idle = co_await WaitUntilIdle(step);
    if (!idle) co_return false;
    const OrderOutcome outcome = co_await Send(step);
    EngineRecord* engine = FindEngine(step);
    if (engine == nullptr) co_return false;
    if (outcome != OrderOutcome::kAccepted) {
      co_await HandleRejection(step, outcome);
      co_return outcome == OrderOutcome::kAlreadyHolds;
    }
    if (step.kind == OrderKind::kUnload) {
      if (!engine->unloading_since) engine->unloading_since = MonotonicNow();
      table_->RecordUnloadAccepted(engine, step.model, MonotonicNow());
      changed_->NotifyAll();
    } else {
      table_->RecordLoadAccepted(engine, MonotonicNow());
    }
    co_return co_await WaitForCompletion(step, expected);
  }

  // Waits for the completion of an accepted order. False on timeout or if the step has become
  // invalid.
  Task<bool> WaitForCompletion(Step step, milliseconds expected) {
    const MonotonicTime deadline =
        MonotonicNow() + std::max(expected, kMinExpectedTime) * kTimeoutFactor;
    co_await Sleep(expected);
    while (MonotonicNow() < deadline) {
      EngineRecord* engine = FindEngine(step);
      if (engine == nullptr) co_return false;
      auto report = co_await engines_->Report(engine->address, kReportTimeout);
      engine = FindEngine(step);
      if (engine == nullptr) co_return false;
      // Reports lag by some hundred milliseconds; ignore one from before the last order.
      const bool current = report && !report.value().busy && !engine->busy &&
                           report.value().holdings.sequence >= engine->holdings.sequence;
      if (current) {
        table_->RecordReport(engine, report.value(), MonotonicNow());
        co_return true;
      }
      co_await Sleep(kProgressPollPeriod);
    }
    co_return false;
  }

  // Handles an order that was not accepted: refreshes the engine's state, or ends the term if the
  // fencing token is stale.
  Task<void> HandleRejection(Step step, OrderOutcome outcome) {
    if (outcome == OrderOutcome::kStaleFence) {
      authority_.end_term();
      co_return;
    }
    EngineRecord* engine = FindEngine(step);
    if (engine == nullptr) co_return;
    if (outcome == OrderOutcome::kAlreadyHolds) co_return co_await Refresh(step.engine);
    // The table disagrees with the engine, or the engine is faulty. Delay the next report, since
    // reports lag behind the engine's last actions.
    engine->known = false;
    engine->retry_at = MonotonicNow() + kOrderRetryDelay;
  }

  static bool HasRoom(const EngineRecord& engine, const ModelAdapter& adapter,
                      const EngineProfile& profile) {
    const auto model = profile.models.find(adapter.first);
    return model != profile.models.end() &&
           CountAdapters(engine.holdings) < profile.adapter_slots &&
           CommittedMb(profile, engine) + model->second.adapter_mb <= profile.weights_mb;
  }

  Task<void> LoadAdapter(std::string id, ModelAdapter adapter, EngineProfilePtr profile) {
    const EngineRecord* engine = table_->Find(id);
    if (engine == nullptr || !engine->known || !engine->loading.empty()) co_return;
    if (!engine->IsIdle(MonotonicNow()) || !HasRoom(*engine, adapter, *profile)) co_return;
    ++adapter_loads_in_flight_;
    co_await SendAdapterOrder(id, adapter, profile);
    --adapter_loads_in_flight_;
  }

  // Sends the next order needed to load an adapter: the load itself if there is room, otherwise the
  // unload of another adapter.
  // Precondition: the engine is known and idle, and the profile has the model.
  Task<void> SendAdapterOrder(std::string id, ModelAdapter adapter, EngineProfilePtr profile) {
    EngineRecord* engine = table_->Find(id);
    const bool room = HasRoom(*engine, adapter, *profile);
    const auto victim = table_->AdapterToEvict(*engine, MonotonicNow());
    Step step = MakeStep(*engine);
    if (!room && !victim) {
      engine->retry_at = MonotonicNow() + kOrderRetryDelay;
      co_return;
    }
    const ModelAdapter target = room ? adapter : *victim;
    step.kind = room ? OrderKind::kLoad : OrderKind::kUnload;
    step.model = target.first;
    step.adapter = target.second;
    const OrderOutcome outcome = co_await Send(step);
    engine = FindEngine(step);
    if (engine == nullptr) co_return;
    const MonotonicTime now = MonotonicNow();
    const bool dropped = !room && outcome == OrderOutcome::kAlreadyHolds;
    if (outcome != OrderOutcome::kAccepted && !dropped) {
      co_await HandleRejection(step, outcome);
      co_return;
    }
    if (room) {
      table_->RecordAdapterLoaded(engine, target, now);
      // The engine rejects requests for the adapter until it is loaded.
      co_await Sleep(kAdapterLoadTime);
    } else {
      table_->RecordAdapterEvicted(engine, target, now);
      // The engine finishes the requests that use the adapter and accepts no other order until
      // then.
      if (!dropped) engine->retry_at = now + kOrderRetryDelay;
    }
    changed_->NotifyAll();
  }

  boost::asio::any_io_executor executor_;
  Engines* engines_;
  EngineTable* table_;
  Notifier* changed_;
  OrderAuthority authority_;
  std::size_t adapter_loads_in_flight_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENGINE_CONTROLLER_H_
