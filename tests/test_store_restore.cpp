#include <signal.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <set>
#include <thread>

#include "platform_fleet.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

// The bounds of docs/design/demands.md, sections 1 and 2. Gateways update their metrics once a
// second, so the leader is seen that much later.
constexpr milliseconds kLeaderBound{5000};
constexpr milliseconds kMetricsDelay{1000};
constexpr milliseconds kOrderBound{8000};
constexpr milliseconds kDrainBound{4000};
constexpr milliseconds kConfigBound{4000};

constexpr milliseconds kPlainPeriod{25};
constexpr int kPlainCallsPerModelCall = 6;
constexpr int kExtraModels = 9;
constexpr milliseconds kStopTimeout{3000};

// Callers that send plain requests, and requests for models in turn so that orders go on. Runs in a
// thread of its own.
class Callers {
 public:
  explicit Callers(PlatformFleet* fleet) : fleet_(fleet) {
    boost::asio::co_spawn(io_, Drive(), boost::asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Callers() { Stop(); }

  // No further requests go to this gateway; -1 for none.
  void Avoid(int gateway) {
    avoided_ = gateway;
    // Lets requests in flight finish.
    std::this_thread::sleep_for(milliseconds(300));
  }

  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }

  // Read these after Stop.
  int served() const { return served_; }
  const std::map<int, int>& failures() const { return failures_; }

 private:
  Task<void> Drive() {
    for (int i = 0; !stopping_; ++i) {
      co_await Sleep(kPlainPeriod);
      const int gateway = i % fleet_->gateways();
      if (gateway == avoided_) continue;
      HttpCall plain = fleet_->MakeCall(gateway, "/read/1", "");
      boost::asio::co_spawn(io_, Send(std::move(plain), true), boost::asio::detached);
      if (i % kPlainCallsPerModelCall != 0) continue;
      HttpCall call = fleet_->MakeCall(gateway, "/chat/1", "");
      const int model = i / kPlainCallsPerModelCall % kExtraModels;
      for (auto& [name, value] : call.headers) {
        if (name == "Model") value = "n" + std::to_string(model);
      }
      boost::asio::co_spawn(io_, Send(std::move(call), false), boost::asio::detached);
    }
    const MonotonicTime deadline = MonotonicNow() + kStopTimeout;
    while (in_flight_ > 0 && MonotonicNow() < deadline) co_await Sleep(kPlainPeriod);
    io_.stop();
  }

  // Sends a request. `counts`: whether it must succeed.
  Task<void> Send(HttpCall call, bool counts) {
    in_flight_ += counts ? 1 : 0;
    auto reply = co_await client_.Call(std::move(call));
    const int status = reply ? reply.value().status : 0;
    if (!counts) co_return;
    --in_flight_;
    if (status == 200) {
      ++served_;
    } else {
      ++failures_[status];
    }
  }

  PlatformFleet* fleet_;
  boost::asio::io_context io_{1};
  HttpClient client_{io_.get_executor()};
  std::atomic<int> avoided_ = -1;
  std::atomic<bool> stopping_ = false;
  int in_flight_ = 0;
  int served_ = 0;
  std::map<int, int> failures_;
  std::thread thread_;
};

// The only gateway of a set that reports to lead; -1 if there is none or several.
int OnlyLeader(PlatformFleet* fleet, int except) {
  int leader = -1;
  for (int i = 0; i < fleet->gateways(); ++i) {
    if (i == except || fleet->Metric(i, "mimosabend_gateway_leads_placement") == 0) continue;
    if (leader >= 0) return -1;
    leader = i;
  }
  return leader;
}

// Time from a restore to the first order that a gateway other than `except` sent after it; -1 ms if
// there is none.
milliseconds FirstOrder(const PlatformFleet& fleet, MonotonicTime restored_at, int except) {
  const std::string excluded = " g" + std::to_string(except) + " ";
  for (const AcceptedOrder& order : fleet.Orders()) {
    if (order.at < restored_at || order.holder.starts_with(excluded)) continue;
    return ToMillis(order.at - restored_at);
  }
  return milliseconds(-1);
}

// Waits for orders after a restore and for a single leader, and prints the times. `except`: a
// gateway that is out of service.
void CheckRecovery(PlatformFleet* fleet, const std::string& name, MonotonicTime restored_at,
                   int except) {
  CAPTURE(name);
  const bool led = WaitFor(kLeaderBound + kMetricsDelay, [&] {
    return MonotonicNow() >= restored_at + kMetricsDelay && OnlyLeader(fleet, except) >= 0;
  });
  CHECK(led);
  const milliseconds led_after = ToMillis(MonotonicNow() - restored_at);
  milliseconds ordered_after{-1};
  const bool ordered = WaitFor(kOrderBound, [&] {
    ordered_after = FirstOrder(*fleet, restored_at, except);
    return ordered_after.count() >= 0;
  });
  CHECK(ordered);
  CHECK(ordered_after <= kOrderBound);
  std::cout << name << ": one leader seen after " << led_after.count() << " ms, first order after "
            << ordered_after.count() << " ms\n";
}

// Whether all gateways use a version of the configuration, waiting for `time`.
bool AllUseConfig(PlatformFleet* fleet, int version, milliseconds time) {
  return WaitFor(time, [&] {
    for (int i = 0; i < fleet->gateways(); ++i) {
      if (fleet->Metric(i, "mimosabend_gateway_config_version") != version) return false;
    }
    return true;
  });
}

// Checks at the engines that no token was used by two holders or is lower than an earlier one.
void CheckTokens(const std::vector<AcceptedOrder>& orders) {
  std::map<std::uint64_t, std::set<std::string>> holders;
  std::map<int, std::uint64_t> highest;
  int lower = 0;
  for (const AcceptedOrder& order : orders) {
    holders[order.fence].insert(order.holder);
    if (order.fence < highest[order.engine]) ++lower;
    highest[order.engine] = order.fence;
  }
  CHECK(lower == 0);
  for (const auto& [fence, names] : holders) CHECK(names.size() == 1);
  std::cout << orders.size() << " orders with " << holders.size() << " tokens\n";
}

}  // namespace

// Guards against a store that is restored from an older copy: endpoints that left are used again,
// the leader goes on with a lost key, or leads again with a token that engines refuse, and a
// configuration is replaced by an older one.
TEST_CASE("gateways recover when the store is restored from an older copy", "[restore]") {
  PlatformFleetOptions options;
  options.gateways = 3;
  options.engines = 3;
  options.plain_endpoints = 3;
  options.log_arrivals = true;
  options.extra_models = kExtraModels;
  options.restore_store = true;
  PlatformFleet fleet(options);
  Callers callers(&fleet);
  std::this_thread::sleep_for(milliseconds(2500));

  // The endpoint stays out of use over all restores, since it does not write its entry again.
  const int left = fleet.endpoints() - 1;
  fleet.LetLeave(left);
  const MonotonicTime left_at = MonotonicNow();
  std::this_thread::sleep_for(milliseconds(1000));
  fleet.WriteConfig(2);
  CHECK(AllUseConfig(&fleet, 2, kConfigBound));
  std::this_thread::sleep_for(milliseconds(500));
  MonotonicTime restored_at = fleet.RestoreStore(milliseconds(3000), milliseconds(200));
  CheckRecovery(&fleet, "leader alive, copy 3 s old", restored_at, -1);
  // The store has lost the configuration, the gateways have not.
  CHECK(AllUseConfig(&fleet, 2, milliseconds(0)));
  fleet.WriteConfig(3);
  CHECK(AllUseConfig(&fleet, 3, kConfigBound));

  int leader = std::max(0, fleet.Leader());
  callers.Avoid(leader);
  fleet.gateway(leader).Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(500));
  restored_at = fleet.RestoreStore(milliseconds(500), milliseconds(200));
  std::this_thread::sleep_for(milliseconds(2300));
  fleet.gateway(leader).Signal(SIGCONT);
  CheckRecovery(&fleet, "leader paused for 3 s, copy 0.5 s old", restored_at, -1);
  callers.Avoid(-1);

  leader = std::max(0, fleet.Leader());
  callers.Avoid(leader);
  fleet.gateway(leader).Signal(SIGKILL);
  restored_at = fleet.RestoreStore(milliseconds(3000), milliseconds(200));
  CheckRecovery(&fleet, "leader killed, copy 3 s old", restored_at, leader);
  fleet.StartGateway(leader);
  callers.Avoid(-1);

  leader = std::max(0, fleet.Leader());
  fleet.CutFromStore(leader, true);
  restored_at = fleet.RestoreStore(milliseconds(10000), milliseconds(3000));
  CheckRecovery(&fleet, "leader cut off, copy 10 s old", restored_at, leader);
  fleet.CutFromStore(leader, false);
  std::this_thread::sleep_for(milliseconds(2500));
  CHECK(OnlyLeader(&fleet, -1) >= 0);
  CHECK(AllUseConfig(&fleet, 3, milliseconds(0)));

  callers.Stop();
  CheckTokens(fleet.Orders());
  int late = 0;
  for (const EndpointEvent& event : fleet.EndpointEvents()) {
    const bool arrived = !event.is_answer && event.endpoint == left;
    if (arrived && event.at > left_at + kDrainBound) ++late;
  }
  CHECK(late == 0);
  CHECK(callers.served() > 0);
  for (const auto& [status, count] : callers.failures()) {
    CAPTURE(status, count);
    CHECK(count == 0);
  }
  std::cout << callers.served() << " plain requests served, " << late
            << " sent to the endpoint that left\n";
}

}  // namespace mimosabend::testing
