#include <signal.h>

#include <algorithm>
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

constexpr int kGateways = 6;

// The users' rule for an endpoint that states a limit of L requests per second: from kContactTime
// after it first stated it, at most 1.5 x 4 x L + 5 requests reach it in any 4 s from gateways that
// passed such an answer on at least kToldTime before.
constexpr milliseconds kContactTime{3000};
constexpr milliseconds kToldTime{500};
constexpr milliseconds kWindow{4000};
// Time within which an endpoint is used again without the limit that it no longer states.
constexpr milliseconds kEndTime = 2 * kContactTime;
// Part of a limit that is used under steady demand of at least twice the limit, over kUsedTime.
constexpr double kUsedShare = 0.9;
constexpr milliseconds kUsedTime{10000};
// Objective of the routes. Callers of a service that accepts no more requests come back sooner if
// they learn it within that time.
constexpr milliseconds kTargetLatency{1000};

double Bound(double limit) { return 1.5 * ToSeconds(kWindow) * limit + 5; }

// The most requests that reached an endpoint in any window to which the rule applies.
struct Peak {
  int requests = 0;
  // End of that window.
  MonotonicTime at;
};

// The rule doesn't say whether a window may begin before kContactTime has passed. This counts
// windows that end after it, which is the stricter reading. Gateways that were paused or stopped
// count, too.
Peak PeakArrivals(const std::vector<EndpointEvent>& events, int endpoint) {
  MonotonicTime stated_at = MonotonicTime::max();
  std::map<int, MonotonicTime> told_at;
  std::vector<MonotonicTime> arrivals;
  Peak peak;
  for (const EndpointEvent& event : events) {
    if (event.endpoint != endpoint || event.rate_limit.empty()) continue;
    if (event.is_answer) {
      stated_at = std::min(stated_at, event.at);
      told_at.try_emplace(event.gateway, event.at);
      continue;
    }
    const auto told = told_at.find(event.gateway);
    if (told == told_at.end() || event.at < told->second + kToldTime) continue;
    arrivals.push_back(event.at);
    if (event.at < stated_at + kContactTime) continue;
    const auto first = std::upper_bound(arrivals.begin(), arrivals.end(), event.at - kWindow);
    const int requests = static_cast<int>(arrivals.end() - first);
    if (requests > peak.requests) peak = {requests, event.at};
  }
  return peak;
}

// When an endpoint first stated a limit. Precondition: it has stated one.
MonotonicTime StatedAt(const std::vector<EndpointEvent>& events, int endpoint) {
  const auto it = std::find_if(events.begin(), events.end(), [&](const EndpointEvent& event) {
    return event.endpoint == endpoint && event.is_answer && !event.rate_limit.empty();
  });
  REQUIRE(it != events.end());
  return it->at;
}

int CountArrivals(const std::vector<EndpointEvent>& events, int endpoint, MonotonicTime from,
                  MonotonicTime until) {
  return static_cast<int>(
      std::count_if(events.begin(), events.end(), [&](const EndpointEvent& event) {
        return event.endpoint == endpoint && !event.is_answer && event.at >= from &&
               event.at < until;
      }));
}

// A part of the traffic: requests per second at each gateway.
struct Phase {
  milliseconds time{0};
  std::vector<double> rates;
};

struct SentRequest {
  std::string path;
  std::string body;
  MonotonicTime sent_at;
  milliseconds duration{0};
  // 0 if there was no response.
  int status = 0;
  bool has_retry_after = false;
};

// Callers that send requests to each path at given rates, whatever becomes of them, in a thread of
// their own.
class Traffic {
 public:
  Traffic(PlatformFleet* fleet, const std::vector<std::string>& paths, std::vector<Phase> phases)
      : fleet_(fleet),
        phases_(std::move(phases)),
        client_(io_.get_executor()),
        started_at_(MonotonicNow()) {
    for (const std::string& path : paths) {
      for (int i = 0; i < kGateways; ++i) {
        boost::asio::co_spawn(io_, SendTo(path, i), boost::asio::detached);
      }
    }
    thread_ = std::jthread([this] { io_.run(); });
  }

  // Waits until a time since the start.
  void WaitUntil(milliseconds time) const { std::this_thread::sleep_until(started_at_ + time); }

  // Waits for all responses. To be called once.
  const std::vector<SentRequest>& Finish() {
    thread_.join();
    return sent_;
  }

  MonotonicTime started_at() const { return started_at_; }

 private:
  Task<void> SendTo(std::string path, int gateway) {
    MonotonicTime phase_end = started_at_;
    for (const Phase& phase : phases_) {
      const auto interval = std::chrono::duration_cast<MonotonicTime::duration>(
          std::chrono::duration<double>(1 / phase.rates.at(gateway)));
      MonotonicTime next = phase_end + interval * (gateway + 1) / kGateways;
      phase_end += phase.time;
      while (next < phase_end) {
        if (next > MonotonicNow()) co_await Sleep(ToMillis(next - MonotonicNow()));
        boost::asio::co_spawn(io_, SendOne(path, gateway), boost::asio::detached);
        next += interval;
      }
      if (phase_end > MonotonicNow()) co_await Sleep(ToMillis(phase_end - MonotonicNow()));
    }
  }

  Task<void> SendOne(std::string path, int gateway) {
    SentRequest sent{path, "request-" + std::to_string(++requests_), MonotonicNow()};
    HttpCall call = fleet_->MakeCall(gateway, path, sent.body);
    auto reply = co_await client_.Call(std::move(call));
    sent.duration = ToMillis(MonotonicNow() - sent.sent_at);
    if (reply) {
      sent.status = reply.value().status;
      sent.has_retry_after = !FindHeader(reply.value().headers, "Retry-After").empty();
    }
    sent_.push_back(std::move(sent));
  }

  PlatformFleet* fleet_;
  std::vector<Phase> phases_;
  boost::asio::io_context io_{1};
  HttpClient client_;
  MonotonicTime started_at_;
  int requests_ = 0;
  std::vector<SentRequest> sent_;
  std::jthread thread_;
};

std::vector<double> EvenRates(double total) {
  return std::vector<double>(kGateways, total / kGateways);
}

// All but one request per second at each other gateway go to the first.
std::vector<double> SkewedRates(double total) {
  std::vector<double> rates(kGateways, 1);
  rates.front() = total - (kGateways - 1);
  return rates;
}

PlatformFleetOptions MakeOptions(int engines, int plain_endpoints,
                                 std::map<int, std::string> rate_limits) {
  PlatformFleetOptions options;
  options.gateways = kGateways;
  options.engines = engines;
  options.plain_endpoints = plain_endpoints;
  options.engine_flags = {"--events=3", "--event_gap_ms=10"};
  options.rate_limits = std::move(rate_limits);
  options.log_runs = true;
  options.log_arrivals = true;
  return options;
}

// Checks the rule for one endpoint and prints the figure.
void CheckRule(const std::vector<EndpointEvent>& events, int endpoint, double limit,
               MonotonicTime started_at) {
  const Peak peak = PeakArrivals(events, endpoint);
  WARN("endpoint " << endpoint << " states " << limit << "/s: at most " << peak.requests
                   << " requests in 4 s, up to " << ToSeconds(peak.at - started_at)
                   << " s; allowed " << Bound(limit));
  CHECK(peak.requests <= Bound(limit));
}

// Prints what the gateways count. Metrics that a gateway doesn't have are 0.
void PrintPermits(PlatformFleet* fleet) {
  double granted = 0;
  double denied = 0;
  for (int i = 0; i < kGateways; ++i) {
    if (!fleet->gateway(i).running()) continue;
    granted += fleet->Metric(i, "mimosabend_gateway_permits_total");
    denied += fleet->Metric(i, "mimosabend_gateway_permits_denied_total");
  }
  WARN("permits " << granted << ", denied " << denied << ", at the gateways that still run");
}

double ServedShare(const std::vector<SentRequest>& sent) {
  const auto served = std::count_if(sent.begin(), sent.end(),
                                    [](const SentRequest& each) { return each.status == 200; });
  return static_cast<double>(served) / static_cast<double>(sent.size());
}

}  // namespace

// Guards against gateways that together send an endpoint more than the limit that it states, with
// even and with skewed demand; against requests that fail though other engines can serve them; and
// against a limit that is kept after it ended.
TEST_CASE("all gateways together keep to the rate limit of an engine", "[endpoint_rate_limit]") {
  constexpr milliseconds kEven{7000};
  constexpr milliseconds kSkewed{7000};
  constexpr milliseconds kEnded = kEndTime + kWindow;
  constexpr double kDemand = 60;
  PlatformFleet fleet(MakeOptions(5, 0, {{0, "1"}, {1, "3"}}));
  Traffic traffic(
      &fleet, {"/chat/1"},
      {{kEven, EvenRates(kDemand)}, {kSkewed, SkewedRates(kDemand)}, {kEnded, EvenRates(kDemand)}});
  traffic.WaitUntil(kEven);
  for (int i = 0; i < kGateways; ++i) {
    CAPTURE(i);
    CHECK(fleet.Metric(i, "mimosabend_gateway_limited_endpoints") == 2);
  }
  traffic.WaitUntil(kEven + kSkewed);
  fleet.SetRateLimit(0, "");
  const MonotonicTime ended_at = MonotonicNow();
  const std::vector<SentRequest> sent = traffic.Finish();
  PrintPermits(&fleet);
  const std::vector<EndpointEvent> events = fleet.EndpointEvents();
  CheckRule(events, 0, 1, traffic.started_at());
  CheckRule(events, 1, 3, traffic.started_at());
  const double served = ServedShare(sent);
  const auto slowest = std::max_element(sent.begin(), sent.end(), [](const auto& a, const auto& b) {
    return a.duration < b.duration;
  });
  WARN("served " << served << " of " << sent.size() << ", the slowest in "
                 << slowest->duration.count() << " ms");
  // Three engines without a limit have room for all of them.
  CHECK(served >= 0.99);
  const MonotonicTime free_at = ended_at + kEndTime;
  const int after = CountArrivals(events, 0, free_at, free_at + kWindow);
  WARN("after the end of its limit, " << after << " requests reached endpoint 0 in 4 s");
  CHECK(after > Bound(1));
}

// Guards against limits that are exceeded while the fleet changes: the leader is killed, its
// successor is paused for longer than a lease and goes on, another gateway is paused, and the
// leader of that time stops.
TEST_CASE("the rate limit of an engine holds while gateways fail", "[endpoint_rate_limit]") {
  constexpr double kDemand = 60;
  PlatformFleet fleet(MakeOptions(3, 0, {{0, "1"}, {1, "3"}}));
  Traffic traffic(&fleet, {"/chat/1"}, {{milliseconds(17000), EvenRates(kDemand)}});
  const auto leader = [&] {
    int index = -1;
    WaitFor(milliseconds(3000), [&] { return (index = fleet.Leader()) >= 0; });
    REQUIRE(index >= 0);
    return index;
  };
  traffic.WaitUntil(milliseconds(4000));
  const int killed = leader();
  fleet.gateway(killed).Signal(SIGKILL);
  traffic.WaitUntil(milliseconds(7000));
  const int frozen = leader();
  fleet.gateway(frozen).Signal(SIGSTOP);
  int paused = 0;
  while (paused == killed || paused == frozen) ++paused;
  traffic.WaitUntil(milliseconds(8500));
  fleet.gateway(paused).Signal(SIGSTOP);
  traffic.WaitUntil(milliseconds(9500));
  fleet.gateway(paused).Signal(SIGCONT);
  traffic.WaitUntil(milliseconds(10000));
  fleet.gateway(frozen).Signal(SIGCONT);
  traffic.WaitUntil(milliseconds(12500));
  const int stopped = leader();
  fleet.gateway(stopped).Signal(SIGTERM);
  const std::vector<SentRequest> sent = traffic.Finish();
  WARN("killed " << killed << ", paused " << frozen << " and " << paused << ", stopped " << stopped
                 << "; served " << ServedShare(sent) << " of " << sent.size());
  PrintPermits(&fleet);
  const std::vector<EndpointEvent> events = fleet.EndpointEvents();
  CheckRule(events, 0, 1, traffic.started_at());
  CheckRule(events, 1, 3, traffic.started_at());
}

// Guards against requests that are held until their deadline, refused without a time to come back,
// or run twice, and against a limit of which much is left unused, where all endpoints of a service
// or all engines of a model state one.
TEST_CASE("requests beyond the rate limits of a service are refused", "[endpoint_rate_limit]") {
  constexpr double kDemand = 30;
  const std::vector<double> limits{1, 3, 1, 3};
  PlatformFleet fleet(MakeOptions(2, 2, {{0, "1"}, {1, "3"}, {2, "1"}, {3, "3"}}));
  const std::vector<std::string> paths{"/chat/1", "/once/1", "/order/1"};
  Traffic traffic(&fleet, paths,
                  {{kContactTime + kUsedTime + milliseconds(500), EvenRates(kDemand)}});
  const std::vector<SentRequest> sent = traffic.Finish();
  PrintPermits(&fleet);
  const std::vector<EndpointEvent> events = fleet.EndpointEvents();
  for (int i = 0; i < fleet.endpoints(); ++i) {
    CheckRule(events, i, limits[i], traffic.started_at());
    const MonotonicTime from = StatedAt(events, i) + kContactTime;
    const int used = CountArrivals(events, i, from, from + kUsedTime);
    WARN("endpoint " << i << ": " << used << " requests in 10 s");
    CHECK(used >= kUsedShare * ToSeconds(kUsedTime) * limits[i]);
  }
  std::map<std::string, int> runs;
  for (const EndpointRun& run : fleet.Runs()) ++runs[run.body];
  CHECK(std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.second > 1; }) ==
        0);
  for (const std::string& path : paths) {
    std::map<int, int> statuses;
    std::vector<milliseconds> durations;
    int requests = 0;
    int false_refusals = 0;
    int without_time = 0;
    for (const SentRequest& each : sent) {
      if (each.path != path) continue;
      ++requests;
      ++statuses[each.status];
      if (each.status == 200) continue;
      durations.push_back(each.duration);
      if (!each.has_retry_after) ++without_time;
      if (runs.contains(each.body)) ++false_refusals;
    }
    std::sort(durations.begin(), durations.end());
    CAPTURE(path, statuses, requests);
    CHECK(false_refusals == 0);
    CHECK(without_time == 0);
    CHECK(statuses[200] + statuses[429] + statuses[503] == requests);
    // Most requests are beyond the limits, which are 4 per second together.
    CHECK(static_cast<int>(durations.size()) > requests / 2);
    if (durations.empty()) continue;
    const milliseconds late = durations[durations.size() * 95 / 100];
    WARN(path << ": refused " << durations.size() << " of " << requests << ", 95% within "
              << late.count() << " ms, all within " << durations.back().count() << " ms");
    CHECK(late <= kTargetLatency);
    CHECK(durations.back() <= 2 * kTargetLatency);
  }
}

}  // namespace mimosabend::testing
