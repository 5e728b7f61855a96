#ifndef MIMOSABEND_TESTS_FAKE_FLEET_ENGINES_H_
#define MIMOSABEND_TESTS_FAKE_FLEET_ENGINES_H_

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet_order.h"
#include "supervisor.h"

namespace mimosabend::testing {

// An order and its outcome at the engine.
struct OrderRecord {
  FleetOrder order;
  OrderOutcome outcome = OrderOutcome::kUnknown;
  MonotonicTime at;
};

// In-memory model engines, shared by the leaders of a test. They check fences and sequence numbers
// and record all orders. Not thread-safe. Models FleetEngines.
class FakeFleetEngines {
 public:
  // Time during which an engine is busy after a load of a model.
  static constexpr milliseconds kLoadTime{30};

  struct Engine {
    EngineHoldings holdings;
    std::uint64_t fence = 0;
    MonotonicTime busy_until;
    std::set<std::string> adapters_in_use;
    // Time that the unload of a model waits for running requests.
    milliseconds unload_time{0};
  };

  Engine& engine(const Address& address) { return engines_[address.port]; }
  const std::vector<OrderRecord>& orders() const { return orders_; }

  // The next order is not answered. It is executed after `delay` if its sequence number still
  // matches.
  void DelayNextOrder(milliseconds delay) { next_order_delay_ = delay; }

  // Delays the reports of an engine.
  void DelayReports(const Address& address, milliseconds delay) {
    report_delays_[address.port] = delay;
  }

  Task<Result<EngineReport, HttpError>> Report(Address address, milliseconds) {
    const auto delay = report_delays_.find(address.port);
    co_await Sleep(delay == report_delays_.end() ? milliseconds(1) : delay->second);
    const Engine& state = engine(address);
    EngineReport report;
    report.holdings = state.holdings;
    report.busy = MonotonicNow() < state.busy_until;
    co_return report;
  }

  Task<OrderOutcome> Send(FleetOrder order, milliseconds timeout) {
    co_await Sleep(milliseconds(1));
    if (next_order_delay_.count() > 0) {
      const milliseconds delay = next_order_delay_;
      next_order_delay_ = milliseconds(0);
      boost::asio::co_spawn(co_await boost::asio::this_coro::executor, ExecuteLate(order, delay),
                            boost::asio::detached);
      co_await Sleep(timeout);
      co_return OrderOutcome::kUnknown;
    }
    const OrderOutcome outcome = Execute(order);
    orders_.push_back({order, outcome, MonotonicNow()});
    co_return outcome;
  }

 private:
  Task<void> ExecuteLate(FleetOrder order, milliseconds delay) {
    co_await Sleep(delay);
    const OrderOutcome outcome = Execute(order);
    orders_.push_back({order, outcome, MonotonicNow()});
  }

  OrderOutcome Execute(const FleetOrder& order) {
    Engine& state = engine(order.address);
    if (order.fence < state.fence) return OrderOutcome::kStaleFence;
    state.fence = order.fence;
    const bool busy = MonotonicNow() < state.busy_until;
    if (busy || order.expected_sequence != state.holdings.sequence) return OrderOutcome::kConflict;
    const auto held = std::find_if(state.holdings.models.begin(), state.holdings.models.end(),
                                   [&](const HeldModel& item) { return item.name == order.model; });
    if (!order.adapter.empty()) return ExecuteAdapterOrder(order, &state);
    if (order.kind == OrderKind::kLoad) {
      if (held != state.holdings.models.end()) return OrderOutcome::kAlreadyHolds;
      state.holdings.models.push_back({order.model, {}});
      state.busy_until = MonotonicNow() + kLoadTime;
    } else if (held != state.holdings.models.end()) {
      state.holdings.models.erase(held);
      state.busy_until = MonotonicNow() + state.unload_time;
    }
    ++state.holdings.sequence;
    return OrderOutcome::kAccepted;
  }

  static OrderOutcome ExecuteAdapterOrder(const FleetOrder& order, Engine* state) {
    for (HeldModel& held : state->holdings.models) {
      if (held.name != order.model) continue;
      ++state->holdings.sequence;
      if (order.kind == OrderKind::kLoad) {
        held.adapters.push_back(order.adapter);
        return OrderOutcome::kAccepted;
      }
      std::erase(held.adapters, order.adapter);
      const bool in_use = state->adapters_in_use.contains(order.model + "/" + order.adapter);
      return in_use ? OrderOutcome::kAccepted : OrderOutcome::kAlreadyHolds;
    }
    return OrderOutcome::kRejected;
  }

  std::map<std::uint16_t, Engine> engines_;
  std::vector<OrderRecord> orders_;
  milliseconds next_order_delay_{0};
  std::map<std::uint16_t, milliseconds> report_delays_;
};

static_assert(FleetEngines<FakeFleetEngines>);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_FAKE_FLEET_ENGINES_H_
