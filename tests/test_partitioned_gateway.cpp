#include <signal.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <thread>
#include <utility>

#include "platform_fleet.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

constexpr int kGateways = 3;
// Time within which the users' rule allows a cut to go unnoticed, counted from its beginning.
constexpr milliseconds kContactTime{3000};
constexpr milliseconds kCutTime{8000};
// Callers at a gateway that is cut off are served at least this much as often as at the others.
constexpr double kLeastShare = 2.0 / 3;
// Time after the end of a cut until requests go to the endpoints directly.
constexpr milliseconds kReturnTime{2000};
constexpr milliseconds kDirectTime{2000};
constexpr milliseconds kSendInterval{100};
// Requests that are sent at once from the beginning of the cut on: more than connections are open.
constexpr int kBurst = 5;
constexpr const char* kDeadlineMillis = "4000";

struct SentRequest {
  int gateway = 0;
  std::string path;
  MonotonicTime sent_at;
  bool served = false;
};

// Sends requests of all kinds to each gateway at a steady rate, in a thread of its own.
class Callers {
 public:
  explicit Callers(PlatformFleet* fleet) : fleet_(fleet), client_(io_.get_executor()) {
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      for (const char* path : {"/read/", "/order/", "/chat/", "/once/"}) {
        boost::asio::co_spawn(io_, SendTo(gateway, path), boost::asio::detached);
      }
    }
    thread_ = std::jthread([this] { io_.run(); });
  }

  // From now on, sends kBurst requests at once.
  void SendBursts() { burst_ = kBurst; }

  // Stops sending and waits for all responses. To be called once.
  const std::vector<SentRequest>& Finish() {
    stopping_ = true;
    thread_.join();
    return sent_;
  }

 private:
  Task<void> SendTo(int gateway, std::string path) {
    while (!stopping_) {
      for (int i = 0; i < burst_; ++i) {
        boost::asio::co_spawn(io_, SendOne(gateway, path), boost::asio::detached);
      }
      co_await Sleep(kSendInterval);
    }
  }

  Task<void> SendOne(int gateway, std::string path) {
    SentRequest sent{gateway, path, MonotonicNow()};
    HttpCall call = fleet_->MakeCall(gateway, path, "r" + std::to_string(++requests_));
    for (auto& [name, value] : call.headers) {
      if (name == "Deadline-Ms") value = kDeadlineMillis;
    }
    auto reply = co_await client_.Call(std::move(call));
    sent.served = reply && reply.value().status == 200 &&
                  !FindHeader(reply.value().headers, "Response-Stamp").empty();
    sent_.push_back(std::move(sent));
  }

  PlatformFleet* fleet_;
  boost::asio::io_context io_{1};
  HttpClient client_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> burst_ = 1;
  int requests_ = 0;
  std::vector<SentRequest> sent_;
  std::jthread thread_;
};

// Share of the requests to some gateways that were served.
double ServedShare(const std::vector<SentRequest>& sent, const std::set<int>& gateways,
                   MonotonicTime from, MonotonicTime until) {
  double count = 0;
  double served = 0;
  for (const SentRequest& each : sent) {
    if (!gateways.contains(each.gateway) || each.sent_at < from || each.sent_at >= until) continue;
    count += 1;
    served += each.served ? 1 : 0;
  }
  REQUIRE(count > 0);
  return served / count;
}

// Runs by request, for the paths whose requests must not run again.
int MostRuns(const std::vector<EndpointRun>& runs) {
  std::map<std::string, int> counts;
  int most = 0;
  for (const EndpointRun& run : runs) {
    if (run.path != "/order/" && run.path != "/once/") continue;
    most = std::max(most, ++counts[run.request_id]);
  }
  return most;
}

double CountPassedOn(PlatformFleet* fleet) {
  double sum = 0;
  for (int i = 0; i < kGateways; ++i) {
    sum += fleet->Metric(i, "mimosabend_gateway_forwarded_requests_total");
  }
  return sum;
}

// Cuts some gateways off from all endpoints, a number of times.
void CutOff(EndpointCut cut, int gateways, int times) {
  PlatformFleetOptions options;
  options.gateways = kGateways;
  options.engines = 3;
  options.plain_endpoints = 3;
  options.engine_flags = {"--events=3", "--event_gap_ms=10"};
  options.log_runs = true;
  options.cut_endpoints = true;
  PlatformFleet fleet(options);
  // The leader is cut off only together with another gateway.
  const int leader = std::max(fleet.Leader(), 0);
  std::set<int> cut_off;
  std::set<int> others;
  for (int i = 0; i < kGateways; ++i) others.insert(i);
  for (int i = 1; i <= gateways; ++i) {
    const int gateway = gateways == 1 ? (leader + 1) % kGateways : (leader + i - 1) % kGateways;
    cut_off.insert(gateway);
    others.erase(gateway);
  }
  Callers callers(&fleet);
  std::this_thread::sleep_for(seconds(1));
  callers.SendBursts();
  std::vector<std::pair<MonotonicTime, MonotonicTime>> cuts;
  for (int i = 0; i < times; ++i) {
    const MonotonicTime begin = MonotonicNow();
    for (const int gateway : cut_off) fleet.CutFromEndpoints(gateway, cut);
    std::this_thread::sleep_until(begin + kCutTime);
    cuts.emplace_back(begin + kContactTime, MonotonicNow());
    // A leader that reaches no engine would place no model for anyone.
    CHECK(others.contains(fleet.Leader()));
    for (const int gateway : cut_off) fleet.CutFromEndpoints(gateway, EndpointCut::kNone);
    std::this_thread::sleep_for(kReturnTime);
  }
  const double passed_on = CountPassedOn(&fleet);
  const MonotonicTime returned = MonotonicNow();
  std::this_thread::sleep_for(kDirectTime);
  const double passed_on_later = CountPassedOn(&fleet);
  const std::vector<SentRequest> sent = callers.Finish();

  for (const auto& [from, until] : cuts) {
    const double there = ServedShare(sent, cut_off, from, until);
    const double elsewhere = ServedShare(sent, others, from, until);
    WARN(kEndpointCutNames[cut] << ", " << gateways << " of " << kGateways << ": served " << there
                                << " where cut off, " << elsewhere << " at the others");
    CHECK(there >= kLeastShare * elsewhere);
    CHECK(elsewhere == 1);
  }
  WARN("passed on " << passed_on << ", " << passed_on_later - passed_on
                    << " after the cut; most runs " << MostRuns(fleet.Runs()));
  CHECK(ServedShare(sent, cut_off, returned, MonotonicTime::max()) == 1);
  CHECK(passed_on_later == passed_on);
  // A gateway must not take endpoints for crashed that it doesn't reach.
  for (int i = 0; i < kGateways; ++i) {
    CHECK(fleet.Metric(i, "mimosabend_gateway_crash_suspects") == 0);
  }
  CHECK(MostRuns(fleet.Runs()) <= 1);
}

}  // namespace

// Guard against callers that are not served since their gateway is partitioned from all endpoints,
// while other gateways reach these.
TEST_CASE("a gateway whose connections to endpoints hang", "[partitioned_gateway]") {
  CutOff(EndpointCut::kHang, 1, 1);
}

TEST_CASE("a gateway whose connections to endpoints are reset", "[partitioned_gateway]") {
  CutOff(EndpointCut::kReset, 1, 1);
}

TEST_CASE("a gateway whose connections to endpoints end and are refused", "[partitioned_gateway]") {
  CutOff(EndpointCut::kRefuse, 1, 1);
}

TEST_CASE("a gateway whose new connections to endpoints are refused", "[partitioned_gateway]") {
  CutOff(EndpointCut::kRefuseNew, 1, 1);
}

// Guards against partitioned gateways that choose each other, against a leader that names no
// helpers once it is partitioned itself, and against a cut that is missed when it comes back.
TEST_CASE("most gateways and the leader are cut off twice", "[partitioned_gateway]") {
  CutOff(EndpointCut::kHang, 2, 2);
}

// Guards against a helper that stops and cuts off requests that were passed on to it.
TEST_CASE("a helper is drained", "[partitioned_gateway]") {
  PlatformFleetOptions options;
  options.gateways = kGateways;
  options.engines = 3;
  options.plain_endpoints = 3;
  options.engine_flags = {"--events=10", "--event_gap_ms=50"};
  options.cut_endpoints = true;
  PlatformFleet fleet(options);
  const int leader = std::max(fleet.Leader(), 0);
  const int cut_off = (leader + 1) % kGateways;
  const int helper = (leader + 2) % kGateways;
  fleet.CutFromEndpoints(cut_off, EndpointCut::kRefuse);
  std::this_thread::sleep_for(kContactTime);
  Callers callers(&fleet);
  std::this_thread::sleep_for(seconds(1));
  fleet.gateway(helper).Signal(SIGTERM);
  std::this_thread::sleep_for(seconds(5));
  const std::vector<SentRequest> sent = callers.Finish();
  const double served = ServedShare(sent, {cut_off}, MonotonicTime(), MonotonicTime::max());
  WARN("served " << served << " where cut off");
  CHECK(served == 1);
}

}  // namespace mimosabend::testing
