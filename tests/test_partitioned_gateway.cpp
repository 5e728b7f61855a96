#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <thread>

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

// Share of the requests to a gateway, or to all others, that were served.
double ServedShare(const std::vector<SentRequest>& sent, int gateway, bool others,
                   MonotonicTime from, MonotonicTime until) {
  double count = 0;
  double served = 0;
  for (const SentRequest& each : sent) {
    const bool counts = (each.gateway == gateway) != others;
    if (!counts || each.sent_at < from || each.sent_at >= until) continue;
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

void CutOffOneGateway(EndpointCut cut) {
  PlatformFleetOptions options;
  options.gateways = kGateways;
  options.engines = 3;
  options.plain_endpoints = 3;
  options.engine_flags = {"--events=3", "--event_gap_ms=10"};
  options.log_runs = true;
  options.cut_endpoints = true;
  PlatformFleet fleet(options);
  const int cut_off = (std::max(fleet.Leader(), 0) + 1) % kGateways;
  Callers callers(&fleet);
  std::this_thread::sleep_for(seconds(1));
  const MonotonicTime begin = MonotonicNow();
  fleet.CutFromEndpoints(cut_off, cut);
  callers.SendBursts();
  std::this_thread::sleep_until(begin + kCutTime);
  const MonotonicTime end = MonotonicNow();
  fleet.CutFromEndpoints(cut_off, EndpointCut::kNone);
  std::this_thread::sleep_until(end + kReturnTime);
  const double passed_on = fleet.Metric(cut_off, "mimosabend_gateway_forwarded_requests_total");
  const MonotonicTime returned = MonotonicNow();
  std::this_thread::sleep_for(kDirectTime);
  const double passed_on_later =
      fleet.Metric(cut_off, "mimosabend_gateway_forwarded_requests_total");
  const std::vector<SentRequest> sent = callers.Finish();

  const MonotonicTime from = begin + kContactTime;
  const double there = ServedShare(sent, cut_off, false, from, end);
  const double others = ServedShare(sent, cut_off, true, from, end);
  WARN(kEndpointCutNames[cut] << ": served " << there << " at the gateway that is cut off, "
                              << others << " at the others; passed on " << passed_on << ", "
                              << passed_on_later - passed_on << " after the cut; most runs "
                              << MostRuns(fleet.Runs()));
  CHECK(there >= kLeastShare * others);
  CHECK(others == 1);
  CHECK(ServedShare(sent, cut_off, false, returned, MonotonicTime::max()) == 1);
  CHECK(passed_on_later == passed_on);
  CHECK(MostRuns(fleet.Runs()) <= 1);
}

}  // namespace

// Guard against callers that are not served since their gateway is partitioned from all endpoints,
// while other gateways reach these.
TEST_CASE("a gateway whose connections to endpoints hang", "[partitioned_gateway]") {
  CutOffOneGateway(EndpointCut::kHang);
}

TEST_CASE("a gateway whose connections to endpoints are reset", "[partitioned_gateway]") {
  CutOffOneGateway(EndpointCut::kReset);
}

TEST_CASE("a gateway whose new connections to endpoints are refused", "[partitioned_gateway]") {
  CutOffOneGateway(EndpointCut::kRefuseNew);
}

}  // namespace mimosabend::testing
