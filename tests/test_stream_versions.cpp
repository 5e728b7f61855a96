#include <signal.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "event_stream.h"
#include "platform_fleet.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

// The users' rules: at most kMaxMixed streams hold events of two versions, and of kMinTakeUps or
// more streams that are taken up while two endpoints of their version serve, at least kGoOnShare of
// the share of new streams that begin goes on.
constexpr int kMaxMixed = 2;
constexpr int kMinTakeUps = 12;
constexpr double kGoOnShare = 0.5;

constexpr int kStreams = 36;
constexpr int kEvents = 60;
constexpr int kEventGapMillis = 50;
// Beyond the time in which gateways share what they know of a stream.
constexpr milliseconds kRunTime{1500};
constexpr int kMaxAttempts = 4;

// A stream of a caller over all its attempts.
struct CallerStream {
  HttpCall call;
  // The id of the attempt that brought the first event.
  std::string first_id;
  EventSplitter splitter;
  std::string events;
  std::vector<int> statuses;
  bool complete = false;

  std::set<std::string> Versions() const {
    std::set<std::string> versions;
    std::istringstream lines(events);
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("data: e")) versions.insert(line.substr(7));
    }
    return versions;
  }
};

// Sends an attempt and collects the events that arrive until it ends.
Task<void> Attempt(HttpClient* client, CallerStream* stream) {
  HttpCall call = stream->call;
  const std::string id(FindHeader(call.headers, "Request-Id"));
  auto opened = co_await client->Open(std::move(call));
  if (!opened) {
    stream->statuses.push_back(0);
    co_return;
  }
  stream->statuses.push_back(opened.value()->status());
  if (opened.value()->status() != 200) co_return;
  // An event that broke off is not taken up.
  EventSplitter splitter;
  for (;;) {
    auto bytes = co_await opened.value()->Read(stream->call.deadline);
    if (!bytes) co_return;
    if (bytes.value().empty()) break;
    const std::string events = splitter.Add(bytes.value());
    if (!events.empty() && stream->first_id.empty()) stream->first_id = id;
    stream->events += events;
  }
  stream->complete = true;
}

// Runs an attempt of each stream that is not complete.
void AttemptAll(std::vector<CallerStream>* streams) {
  boost::asio::io_context io(1);
  HttpClient client(io.get_executor());
  for (CallerStream& stream : *streams) {
    if (stream.complete) continue;
    boost::asio::co_spawn(io, Attempt(&client, &stream), boost::asio::detached);
  }
  io.run();
}

std::vector<CallerStream> MakeStreams(PlatformFleet* fleet, int count) {
  std::vector<CallerStream> streams(count);
  for (int i = 0; i < count; ++i) {
    const int gateway = i % fleet->gateways();
    streams[i].call = fleet->MakeCall(gateway, "/chat/1", "s" + std::to_string(i));
  }
  return streams;
}

// Sends each stream that is not complete to the next gateway, after the events that it has.
void TakeUp(PlatformFleet* fleet, std::vector<CallerStream>* streams) {
  int next = 0;
  for (CallerStream& stream : *streams) {
    ++next;
    if (stream.complete) continue;
    HttpCall call = fleet->MakeCall(next % fleet->gateways(), "/chat/1", stream.call.body);
    if (!stream.first_id.empty()) {
      EventSplitter splitter;
      splitter.Add(stream.events);
      call.headers.emplace_back("Last-Event-Id", std::to_string(*splitter.last_id()));
      call.headers.emplace_back("Resumes", stream.first_id);
    }
    stream.call = std::move(call);
  }
  AttemptAll(streams);
}

int CountMixed(const std::vector<CallerStream>& streams) {
  return static_cast<int>(std::count_if(streams.begin(), streams.end(), [](const auto& stream) {
    return stream.Versions().size() > 1;
  }));
}

int CountBegun(const std::vector<CallerStream>& streams) {
  return static_cast<int>(std::count_if(
      streams.begin(), streams.end(), [](const auto& stream) { return !stream.first_id.empty(); }));
}

std::string Describe(const std::vector<CallerStream>& streams) {
  std::ostringstream text;
  for (const CallerStream& stream : streams) {
    text << stream.first_id << " versions=";
    for (const std::string& version : stream.Versions()) text << version << ",";
    text << " statuses=";
    for (int status : stream.statuses) text << status << ",";
    text << " complete=" << stream.complete << "\n";
  }
  return text.str();
}

std::string Summary(const std::vector<CallerStream>& streams) {
  const auto complete = std::count_if(streams.begin(), streams.end(),
                                      [](const auto& stream) { return stream.complete; });
  return "streams " + std::to_string(streams.size()) + ", of two versions " +
         std::to_string(CountMixed(streams)) + ", complete " + std::to_string(complete);
}

PlatformFleetOptions FleetOptionsOf(const std::vector<std::string>& versions) {
  PlatformFleetOptions options;
  options.engines = static_cast<int>(versions.size());
  options.plain_endpoints = 0;
  options.engine_flags = {"--events=" + std::to_string(kEvents),
                          "--event_gap_ms=" + std::to_string(kEventGapMillis)};
  for (std::size_t i = 0; i < versions.size(); ++i) {
    options.versions[static_cast<int>(i)] = versions[i];
  }
  return options;
}

void KillAndRestartGateways(PlatformFleet* fleet) {
  for (int i = 0; i < fleet->gateways(); ++i) fleet->gateway(i).Signal(SIGKILL);
  std::vector<std::future<void>> starts;
  for (int i = 0; i < fleet->gateways(); ++i) {
    starts.push_back(std::async(std::launch::async, [fleet, i] { fleet->StartGateway(i); }));
  }
  for (auto& start : starts) start.get();
}

// Runs an attempt of each stream, and a fault after kRunTime.
void AttemptWithFault(std::vector<CallerStream>* streams, const std::function<void()>& fault) {
  auto done = std::async(std::launch::async, [&] {
    std::this_thread::sleep_for(kRunTime);
    fault();
  });
  AttemptAll(streams);
  done.get();
}

}  // namespace

// Guards against a stream whose second attempt, within one response, goes on at an endpoint of
// another software version than the one that began it.
TEST_CASE("a broken stream goes on at the software version that began it", "[stream_versions]") {
  PlatformFleet fleet(FleetOptionsOf({"v1", "v2", "v1", "v2"}));
  auto streams = MakeStreams(&fleet, kStreams);
  AttemptWithFault(&streams, [&] { fleet.SignalEndpoint(0, SIGKILL); });
  INFO(Describe(streams));
  WARN(Summary(streams));
  CHECK(CountBegun(streams) == kStreams);
  CHECK(CountMixed(streams) <= kMaxMixed);
  // The other endpoint of the version serves.
  const auto complete = std::count_if(streams.begin(), streams.end(),
                                      [](const auto& stream) { return stream.complete; });
  CHECK(complete >= kStreams * kGoOnShare);
}

// Guards against a take-up at another gateway that goes on at another software version, and against
// one that is refused although two endpoints of its version serve: after the loss of one gateway,
// and of all gateways at once.
TEST_CASE("callers take streams up at the software version that began them", "[stream_versions]") {
  const bool all = GENERATE(false, true);
  const bool one_version = GENERATE(false, true);
  CAPTURE(all, one_version);
  const std::string other = one_version ? "v1" : "v2";
  PlatformFleet fleet(FleetOptionsOf({"v1", other, "v1", other}));
  auto streams = MakeStreams(&fleet, kStreams);
  AttemptWithFault(&streams, [&] {
    if (all) KillAndRestartGateways(&fleet);
    if (!all) fleet.gateway(0).Signal(SIGKILL);
  });
  const auto broken = std::count_if(streams.begin(), streams.end(),
                                    [](const auto& stream) { return !stream.complete; });
  CHECK(broken >= (all ? kStreams : kStreams / 3));
  CHECK(CountBegun(streams) == kStreams);
  if (!all) fleet.StartGateway(0);
  for (int i = 1; i < kMaxAttempts; ++i) TakeUp(&fleet, &streams);
  INFO(Describe(streams));
  WARN(Summary(streams));
  CHECK(CountMixed(streams) <= kMaxMixed);
  const auto gone_on = broken - std::count_if(streams.begin(), streams.end(),
                                              [](const auto& s) { return !s.complete; });
  REQUIRE(broken >= kMinTakeUps);
  CHECK(static_cast<double>(gone_on) >= static_cast<double>(broken) * kGoOnShare);
}

// Guards against take-ups at a new software version where the endpoints of the old one have just
// left when all gateways are lost at once: the entries in the store show the new version alone.
TEST_CASE("no stream goes on at a new version after the old one left and all gateways were lost",
          "[stream_versions]") {
  PlatformFleet fleet(FleetOptionsOf({"v1", "v2", "v1", "v2"}));
  auto streams = MakeStreams(&fleet, kStreams);
  AttemptWithFault(&streams, [&] {
    fleet.LetLeave(0);
    fleet.LetLeave(2);
    std::this_thread::sleep_for(milliseconds(600));
    KillAndRestartGateways(&fleet);
  });
  CHECK(CountBegun(streams) == kStreams);
  for (int i = 1; i < kMaxAttempts; ++i) TakeUp(&fleet, &streams);
  INFO(Describe(streams));
  WARN(Summary(streams));
  CHECK(CountMixed(streams) <= kMaxMixed);
  // Those of the version that serves go on.
  const auto is_new = [](const auto& stream) { return stream.Versions().contains("v2"); };
  const auto gone_on = std::count_if(streams.begin(), streams.end(), [&](const auto& stream) {
    return is_new(stream) && stream.complete;
  });
  const auto taken_up = std::count_if(streams.begin(), streams.end(), is_new);
  CHECK(static_cast<double>(gone_on) >= static_cast<double>(taken_up) * kGoOnShare);
  // A refusal promises that the request has not run.
  for (const CallerStream& stream : streams) {
    if (!stream.complete) CHECK(stream.statuses.back() == 503);
  }
}

}  // namespace mimosabend::testing
