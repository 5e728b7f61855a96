#ifndef MIMOSABEND_ENGINE_CONTROLLER_H_
#define MIMOSABEND_ENGINE_CONTROLLER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "engine_ledger.h"
#include "fleet_order.h"
#include "log.h"
#include "model_planner.h"
#include "notifier.h"
#include "supervisor.h"

namespace mimosabend {

// Kept alive by whoever uses it, since the configuration may be replaced meanwhile.
using EngineProfilePtr = std::shared_ptr<const EngineProfile>;

// By what right orders are sent. All members hold for the term of one leader.
struct OrderAuthority {
  std::string holder;
  // Fencing token of the term that is in force; 0 outside of a term.
  std::function<std::uint64_t()> fence;
  // Whether orders may be sent at this time.
  std::function<bool(MonotonicTime)> may_order;
  // An engine has seen a higher fencing token.
  std::function<void()> give_up;
};

// What a load asks and tells on its way.
struct LoadHooks {
  // Whether the model is still needed once there is room for it.
  std::function<bool()> still_needed;
  // The load has ended, whatever came of it.
  std::function<void(milliseconds taken)> done;
};

// Sends orders to engines and follows them to their end, one at a time for each engine. Each order
// names the number of orders that the engine must have accepted, so that one which arrives late has
// no effect. Not thread-safe.
template <FleetEngines Engines>
class EngineController {
 public:
  // Precondition: all pointers outlive this object. `changed` is notified when the ledger changes.
  EngineController(boost::asio::any_io_executor executor, Engines* engines, EngineLedger* ledger,
                   Notifier* changed, OrderAuthority authority)
      : executor_(std::move(executor)),
        engines_(engines),
        ledger_(ledger),
        changed_(changed),
        authority_(std::move(authority)) {}

  // Reads what an engine holds. Precondition: the ledger has it, and it is idle.
  void StartRefresh(const std::string& id) { Spawn(Refresh(id)); }

  // Has an engine drop the victims and load the model.
  // Precondition: the ledger has the engine, and its `loading` names the model.
  void StartLoad(const PlannedLoad& load, EngineProfilePtr profile, LoadHooks hooks) {
    Spawn(Load(load, std::move(profile), std::move(hooks)));
  }

  // Has an engine fetch an adapter into a free place. Precondition: the ledger has the engine, it
  // is known and idle, and the profile has the model.
  void StartAdapter(const std::string& id, const ModelAdapter& adapter, EngineProfilePtr profile) {
    Spawn(FetchAdapter(id, adapter, std::move(profile)));
  }

  // Adapters that StartAdapter was called for and that are not in place yet.
  std::size_t adapters_on_their_way() const { return adapters_on_their_way_; }

  // Places an adapter at an engine that holds its model. Returns whether the engine holds it or
  // has accepted to fetch it.
  Task<bool> PlaceAdapter(std::string id, ModelAdapter adapter, EngineProfilePtr profile) {
    const MonotonicTime deadline = MonotonicNow() + kAdapterWait;
    while (MonotonicNow() < deadline) {
      LedgerEngine* engine = ledger_->Find(id);
      if (engine == nullptr || !engine->known || !authority_.may_order(MonotonicNow())) break;
      if (engine->holdings.Find(adapter.first) == nullptr) break;
      if (!profile->models.contains(adapter.first)) break;
      if (HasAdapter(engine->holdings, adapter.first, adapter.second)) {
        engine->adapter_use[adapter.first + "/" + adapter.second] = MonotonicNow();
        co_return true;
      }
      // An engine refuses orders for adapters while it loads a model.
      if (!engine->loading.empty()) break;
      if (engine->IsIdle(MonotonicNow())) {
        co_await OrderAdapter(id, adapter, profile);
      } else {
        co_await changed_->WaitUntil(std::min(deadline, MonotonicNow() + kIdlePoll));
      }
    }
    co_return false;
  }

 private:
  static constexpr milliseconds kOrderTimeout{500};
  static constexpr milliseconds kReportTimeout{500};
  static constexpr milliseconds kOrderRetryDelay{150};
  static constexpr milliseconds kUnreachableDelay{600};
  static constexpr milliseconds kProgressPoll{60};
  static constexpr milliseconds kIdlePoll{30};
  static constexpr milliseconds kAdapterWait{400};
  // Time to fetch an adapter while few are on their way.
  static constexpr milliseconds kAdapterFetch{12};
  // An order that takes this many times longer than at full speed is no longer waited for.
  static constexpr int kPatience = 20;
  static constexpr milliseconds kLeastExpected{500};

  // One order to one incarnation of an engine in one term.
  struct Step {
    std::string engine;
    std::int64_t started_ms = 0;
    std::uint64_t fence = 0;
    OrderKind kind = OrderKind::kLoad;
    std::string model;
    std::string adapter;
  };

  void Spawn(Task<void> task) {
    boost::asio::co_spawn(executor_, std::move(task), boost::asio::detached);
  }

  // The engine of a step; nullptr if its incarnation or the term has ended.
  LedgerEngine* FindFor(const Step& step) {
    return authority_.fence() == step.fence ? ledger_->Find(step.engine, step.started_ms) : nullptr;
  }

  Step StepFor(const LedgerEngine& engine) const {
    return Step{engine.id, engine.started_ms, authority_.fence(), OrderKind::kLoad, {}, {}};
  }

  Task<void> Refresh(std::string id) {
    LedgerEngine* engine = ledger_->Find(id);
    if (engine == nullptr) co_return;
    const Step step = StepFor(*engine);
    engine->busy = true;
    auto report = co_await engines_->Report(engine->address, kReportTimeout);
    engine = FindFor(step);
    if (engine == nullptr) co_return;
    engine->busy = false;
    const MonotonicTime now = MonotonicNow();
    if (!report) {
      engine->retry_at = now + kUnreachableDelay;
      co_return;
    }
    const bool current = ledger_->NoteReport(engine, report.value(), now);
    if (!current || report.value().busy) engine->retry_at = now + kProgressPoll;
    if (current) engine->known = !report.value().busy;
    changed_->NotifyAll();
  }

  Task<void> Load(PlannedLoad load, EngineProfilePtr profile, LoadHooks hooks) {
    const MonotonicTime began = MonotonicNow();
    LedgerEngine* engine = ledger_->Find(load.engine);
    if (engine == nullptr) co_return;
    Step step = StepFor(*engine);
    bool ordered = true;
    step.kind = OrderKind::kUnload;
    for (const std::string& victim : load.victims) {
      step.model = victim;
      if (ordered) ordered = co_await Carry(step, milliseconds(0));
    }
    engine = FindFor(step);
    if (engine != nullptr) engine->unloading_since.reset();
    // Adapters that were placed meanwhile may have taken the room, and another engine may have
    // loaded the model.
    if (ordered && engine != nullptr && CommittedMb(*profile, *engine) <= profile->weights_mb &&
        (load.victims.empty() || hooks.still_needed())) {
      const ModelProfile& model = profile->models.at(load.model);
      const milliseconds expected = LoadTime(model, SourceOf(engine->holdings, load.model));
      engine->ready_at = MonotonicNow() + expected;
      step.kind = OrderKind::kLoad;
      step.model = load.model;
      ordered = co_await Carry(step, expected);
    }
    engine = FindFor(step);
    if (engine != nullptr) engine->loading.clear();
    hooks.done(ToMillis(MonotonicNow() - began));
    changed_->NotifyAll();
  }

  // Waits until nothing is on its way to the engine. False if the step can no longer be taken.
  Task<bool> WaitUntilIdle(Step step) {
    for (;;) {
      const MonotonicTime now = MonotonicNow();
      LedgerEngine* engine = FindFor(step);
      if (engine == nullptr || !authority_.may_order(now)) co_return false;
      if (engine->IsIdle(now)) co_return true;
      co_await changed_->WaitUntil(now + kIdlePoll);
    }
  }

  Task<OrderOutcome> Send(Step step) {
    LedgerEngine* engine = FindFor(step);
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
    engine = FindFor(step);
    if (engine != nullptr) engine->busy = false;
    co_return outcome;
  }

  // Sends an order for a model and waits until it has been carried out. False if it was not.
  Task<bool> Carry(Step step, milliseconds expected) {
    const bool idle = co_await WaitUntilIdle(step);
    if (!idle) co_return false;
    const OrderOutcome outcome = co_await Send(step);
    LedgerEngine* engine = FindFor(step);
    if (engine == nullptr) co_return false;
    if (outcome != OrderOutcome::kAccepted) {
      co_await HandleRefusal(step, outcome);
      co_return outcome == OrderOutcome::kAlreadyHolds;
    }
    if (step.kind == OrderKind::kUnload) {
      if (!engine->unloading_since) engine->unloading_since = MonotonicNow();
      ledger_->NoteUnloadAccepted(engine, step.model, MonotonicNow());
      changed_->NotifyAll();
    } else {
      ledger_->NoteLoadAccepted(engine, MonotonicNow());
    }
    co_return co_await Follow(step, expected);
  }

  // Waits until an accepted order has been carried out. False if that takes too long.
  Task<bool> Follow(Step step, milliseconds expected) {
    const MonotonicTime give_up = MonotonicNow() + std::max(expected, kLeastExpected) * kPatience;
    co_await Sleep(expected);
    while (MonotonicNow() < give_up) {
      LedgerEngine* engine = FindFor(step);
      if (engine == nullptr) co_return false;
      auto report = co_await engines_->Report(engine->address, kReportTimeout);
      engine = FindFor(step);
      if (engine == nullptr) co_return false;
      // A report is some hundred milliseconds old: one from before the last order says nothing.
      const bool current = report && !report.value().busy && !engine->busy &&
                           report.value().holdings.sequence >= engine->holdings.sequence;
      if (current) {
        ledger_->NoteReport(engine, report.value(), MonotonicNow());
        co_return true;
      }
      co_await Sleep(kProgressPoll);
    }
    co_return false;
  }

  // After an order that was not accepted: reads what the engine holds, or gives the lead up.
  Task<void> HandleRefusal(Step step, OrderOutcome outcome) {
    if (outcome == OrderOutcome::kStaleFence) {
      authority_.give_up();
      co_return;
    }
    LedgerEngine* engine = FindFor(step);
    if (engine == nullptr) co_return;
    if (outcome == OrderOutcome::kAlreadyHolds) co_return co_await Refresh(step.engine);
    // The engine's figures differ from the ledger's, or it is not sound: a report takes some time
    // to show what it did last.
    engine->known = false;
    engine->retry_at = MonotonicNow() + kOrderRetryDelay;
  }

  static bool HasRoom(const LedgerEngine& engine, const ModelAdapter& adapter,
                      const EngineProfile& profile) {
    const auto model = profile.models.find(adapter.first);
    return model != profile.models.end() &&
           CountAdapters(engine.holdings) < profile.adapter_slots &&
           CommittedMb(profile, engine) + model->second.adapter_mb <= profile.weights_mb;
  }

  Task<void> FetchAdapter(std::string id, ModelAdapter adapter, EngineProfilePtr profile) {
    const LedgerEngine* engine = ledger_->Find(id);
    if (engine == nullptr || !engine->known || !engine->loading.empty()) co_return;
    if (!engine->IsIdle(MonotonicNow()) || !HasRoom(*engine, adapter, *profile)) co_return;
    ++adapters_on_their_way_;
    co_await OrderAdapter(id, adapter, profile);
    --adapters_on_their_way_;
  }

  // Sends one order that brings an adapter closer to an engine.
  // Precondition: the engine is known and idle, and the profile has the model.
  Task<void> OrderAdapter(std::string id, ModelAdapter adapter, EngineProfilePtr profile) {
    LedgerEngine* engine = ledger_->Find(id);
    const bool room = HasRoom(*engine, adapter, *profile);
    const auto victim = ledger_->AdapterToDrop(*engine, MonotonicNow());
    Step step = StepFor(*engine);
    if (!room && !victim) {
      engine->retry_at = MonotonicNow() + kOrderRetryDelay;
      co_return;
    }
    const ModelAdapter target = room ? adapter : *victim;
    step.kind = room ? OrderKind::kLoad : OrderKind::kUnload;
    step.model = target.first;
    step.adapter = target.second;
    const OrderOutcome outcome = co_await Send(step);
    engine = FindFor(step);
    if (engine == nullptr) co_return;
    const MonotonicTime now = MonotonicNow();
    const bool dropped = !room && outcome == OrderOutcome::kAlreadyHolds;
    if (outcome != OrderOutcome::kAccepted && !dropped) {
      co_await HandleRefusal(step, outcome);
      co_return;
    }
    if (room) {
      ledger_->NoteAdapterLoaded(engine, target, now);
      // The engine refuses requests with the adapter until it has been fetched.
      co_await Sleep(kAdapterFetch);
    } else {
      ledger_->NoteAdapterDropped(engine, target, now);
      // The engine waits for runs that use the adapter, and takes no other order meanwhile.
      if (!dropped) engine->retry_at = now + kOrderRetryDelay;
    }
    changed_->NotifyAll();
  }

  boost::asio::any_io_executor executor_;
  Engines* engines_;
  EngineLedger* ledger_;
  Notifier* changed_;
  OrderAuthority authority_;
  std::size_t adapters_on_their_way_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENGINE_CONTROLLER_H_
