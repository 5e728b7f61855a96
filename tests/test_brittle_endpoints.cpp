#include <signal.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <thread>

#include "platform_fleet.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

constexpr int kGateways = 6;
constexpr int kSlots = 4;
// Time for which a request runs at an endpoint.
constexpr milliseconds kRunTime{100};
// Time until the endpoints state that they are brittle, from the start of the fleet.
constexpr milliseconds kCalmTime{6000};
// Time from then on until they let fewer requests wait.
constexpr milliseconds kContactTime{3000};
// What callers do about a request that is refused.
constexpr int kAttempts = 3;
constexpr milliseconds kPatience{3000};
constexpr milliseconds kBrittleTime{12000};
// Time for which callers below the capacity are measured.
constexpr milliseconds kMeasuredTime{4500};

// The users' rule: in one time in which the endpoints of a service say that they are brittle, they
// fall over at most 2 + a tenth of their number times.
double AllowedFalls(int endpoints) { return 2 + endpoints / 10.0; }

// Requests per second of all callers together that the endpoints of a service can run.
double Capacity(int endpoints) { return endpoints * kSlots / ToSeconds(kRunTime); }

// What became of the requests that were sent from a time on.
struct Results {
  std::map<int, int> statuses;
  int sent = 0;

  double Served() const {
    const auto served = statuses.find(200);
    return served == statuses.end() ? 0 : static_cast<double>(served->second) / sent;
  }
};

// Callers that send requests at a total rate to random gateways, in a thread of their own.
class Callers {
 public:
  Callers(PlatformFleet* fleet, std::string path)
      : fleet_(fleet), path_(std::move(path)), client_(io_.get_executor()) {
    boost::asio::co_spawn(io_, Send(), boost::asio::detached);
    thread_ = std::jthread([this] { io_.run(); });
  }

  void SetRate(double rate) { rate_ = rate; }

  // No further request is sent to this gateway until SpareNone.
  void Spare(int gateway) { spared_ = gateway; }
  void SpareNone() { spared_ = -1; }

  // Waits for all responses. To be called once.
  void Finish() {
    stopping_ = true;
    thread_.join();
  }

  // The requests that were sent in a time. Precondition: finished.
  Results Sent(MonotonicTime from, MonotonicTime until) const {
    Results results;
    for (const auto& [sent_at, status] : ended_) {
      if (sent_at < from || sent_at >= until) continue;
      ++results.sent;
      ++results.statuses[status];
    }
    return results;
  }

 private:
  Task<void> Send() {
    while (!stopping_) {
      boost::asio::co_spawn(io_, SendOne(), boost::asio::detached);
      co_await Sleep(std::chrono::duration_cast<MonotonicTime::duration>(
          std::chrono::duration<double>(std::exponential_distribution<double>(rate_)(random_))));
    }
  }

  // Sends a request and, as the users' clients do, sends it again to any gateway when it is told
  // to.
  Task<void> SendOne() {
    const MonotonicTime sent_at = MonotonicNow();
    int status = 0;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      int gateway = static_cast<int>(random_() % kGateways);
      if (gateway == spared_) gateway = (gateway + 1) % kGateways;
      HttpCall call = fleet_->MakeCall(gateway, path_, "x");
      call.deadline = sent_at + kPatience;
      auto reply = co_await client_.Call(std::move(call));
      status = reply ? reply.value().status : 0;
      if (status != 503) break;
      const std::string wait(FindHeader(reply.value().headers, "Retry-After"));
      const auto wake = MonotonicNow() + milliseconds(static_cast<int>(std::stod(wait) * 1000));
      if (wake >= sent_at + kPatience) break;
      co_await Sleep(wake - MonotonicNow());
    }
    ended_.emplace_back(sent_at, status);
  }

  PlatformFleet* fleet_;
  std::string path_;
  boost::asio::io_context io_{1};
  HttpClient client_;
  std::atomic<double> rate_ = 1;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> spared_ = -1;
  std::mt19937_64 random_{1};
  std::vector<std::pair<MonotonicTime, int>> ended_;
  std::jthread thread_;
};

PlatformFleetOptions MakeOptions(bool engines, int endpoints, int reject_limit,
                                 WallTime brittle_from) {
  PlatformFleetOptions options;
  options.gateways = kGateways;
  options.engines = engines ? endpoints : 0;
  options.plain_endpoints = engines ? 0 : endpoints;
  options.restart_time = milliseconds(2000);
  options.endpoint_flags = {"--slots=" + std::to_string(kSlots),
                            "--max_running=" + std::to_string(kSlots),
                            "--max_waiting=12",
                            "--start_ms=" + std::to_string(kRunTime.count() / (engines ? 2 : 1)),
                            "--events=1",
                            "--event_gap_ms=" + std::to_string(kRunTime.count() / 2),
                            "--brittle=" + std::to_string(reject_limit),
                            "--brittle_from_ms=" + std::to_string(ToUnixMillis(brittle_from)),
                            "--brittle_waiting=1"};
  return options;
}

// Sleeps until `time` after `from`.
void WaitUntil(WallTime from, milliseconds time) {
  std::this_thread::sleep_until(std::chrono::steady_clock::now() + (from + time - WallNow()));
}

}  // namespace

// Guards against gateways that together make brittle endpoints reject more requests than these
// withstand, when callers press beyond what the endpoints can run, and while a leader is killed;
// and against a service that is refused instead of used.
TEST_CASE("all gateways together keep brittle endpoints from falling over", "[brittle]") {
  constexpr int kEndpoints = 3;
  const bool engines = GENERATE(false, true);
  const int reject_limit = GENERATE(0, 3);
  const WallTime brittle_from = WallNow() + kCalmTime;
  PlatformFleet fleet(MakeOptions(engines, kEndpoints, reject_limit, brittle_from));
  Callers callers(&fleet, engines ? "/chat/1" : "/read/1");
  callers.SetRate(0.6 * Capacity(kEndpoints));
  WaitUntil(brittle_from, kContactTime);
  const MonotonicTime shrunk_at = MonotonicNow();
  callers.SetRate(2 * Capacity(kEndpoints));
  WaitUntil(brittle_from, kContactTime + kBrittleTime / 2);
  const int leader = fleet.Leader();
  REQUIRE(leader >= 0);
  // The rule excuses what a gateway does within kContactTime of its restart. At first, it doesn't
  // know the brittle endpoints.
  callers.Spare(leader);
  fleet.gateway(leader).Signal(SIGKILL);
  fleet.StartGateway(leader);
  std::this_thread::sleep_for(kContactTime);
  callers.SpareNone();
  WaitUntil(brittle_from, kContactTime + kBrittleTime);
  const std::size_t falls = fleet.ExitTimes().size();
  double rejections = 0;
  for (int i = 0; i < kGateways; ++i) {
    rejections += fleet.Metric(i, "mimosabend_gateway_brittle_rejections_total");
  }
  callers.Finish();
  const Results pressed = callers.Sent(shrunk_at, MonotonicTime::max());
  WARN(kEndpoints << (engines ? " engines" : " plain endpoints") << " that withstand "
                  << reject_limit << " rejections a second: " << falls << " falls, allowed "
                  << AllowedFalls(kEndpoints) << "; " << rejections << " rejections; served "
                  << pressed.Served() << " of " << pressed.sent);
  for (const MonotonicTime at : fleet.ExitTimes()) {
    WARN("fall " << ToSeconds(at - shrunk_at) << " s after fewer may wait");
  }
  CHECK(static_cast<double>(falls) <= AllowedFalls(kEndpoints));
  // Half of the requests can be run.
  CHECK(pressed.Served() >= 0.5 * 2 / 3);
}

// Guards against gateways that refuse callers although the brittle endpoints can run all requests.
// The rate stays the same until the last measured caller has given up: in a jump of the demand,
// callers that were refused before it are refused again.
TEST_CASE("brittle endpoints serve callers below their capacity", "[brittle]") {
  constexpr int kEndpoints = 3;
  const bool engines = GENERATE(false, true);
  const int reject_limit = GENERATE(0, 3);
  const WallTime brittle_from = WallNow() + kCalmTime;
  PlatformFleet fleet(MakeOptions(engines, kEndpoints, reject_limit, brittle_from));
  Callers callers(&fleet, engines ? "/chat/1" : "/read/1");
  callers.SetRate(0.6 * Capacity(kEndpoints));
  WaitUntil(brittle_from, kContactTime / 2);
  const MonotonicTime known_at = MonotonicNow();
  WaitUntil(brittle_from, kContactTime / 2 + kMeasuredTime);
  const MonotonicTime measured_until = MonotonicNow();
  WaitUntil(brittle_from, kContactTime / 2 + kMeasuredTime + kPatience);
  const std::size_t falls = fleet.ExitTimes().size();
  double refusals = 0;
  for (int i = 0; i < kGateways; ++i) {
    refusals += fleet.Metric(i, "mimosabend_gateway_brittle_refusals_total");
  }
  callers.Finish();
  const Results all = callers.Sent(known_at, measured_until);
  const Results early = callers.Sent(known_at, known_at + kContactTime / 2);
  WARN(kEndpoints << (engines ? " engines" : " plain endpoints") << " that withstand "
                  << reject_limit << " rejections a second: " << falls << " falls, " << refusals
                  << " refusals for want of room; served " << early.Served() << " of " << early.sent
                  << " before fewer may wait, " << all.Served() << " of " << all.sent << " in all");
  CHECK(static_cast<double>(falls) <= AllowedFalls(kEndpoints));
  CHECK(early.Served() >= 0.95);
  CHECK(all.Served() >= 0.95);
}

}  // namespace mimosabend::testing
