#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "directory_log.h"
#include "relay_fixture.h"

namespace mimosabend::testing {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kEvents = 3;
// An engine may work on a request that goes on elsewhere for at most this long.
constexpr milliseconds kAllowedOverlap{400};
constexpr milliseconds kFirstRunTime{1900};

struct Run {
  std::string engine;
  MonotonicTime begin;
  MonotonicTime end = MonotonicTime::max();
};

// A relay with two engines. The one that gets the first run works on it for kFirstRunTime, whatever
// happens to its connection; later runs are served at once. Reports list the runs as they were
// `report_age` ago.
struct PersistentEngines {
  explicit PersistentEngines(EndpointBehavior first_behavior)
      : behavior(std::move(first_behavior)) {
    FleetConfig config = Config();
    config.version = 2;
    for (Route& route : config.routes) route.timeout = milliseconds(4500);
    relay.directory.Adopt(config);
    relay.engines_report = true;
    for (TestEndpoint* engine : {&relay.e1, &relay.e2}) {
      engine->behavior = [this, engine](HttpExchange& exchange) -> Task<void> {
        if (exchange.request().target == "/mimosabend/report") {
          co_await AnswerReport(exchange, engine->id);
        } else {
          co_await Serve(exchange, engine->id);
        }
      };
    }
  }

  Result<HttpReply, HttpError> Send() {
    HttpCall call = relay.MakeCall("/resumable/1");
    call.headers[2].second = "4500";
    return relay.Send(std::move(call));
  }

  // The time for which the first run went on after the second had begun.
  milliseconds Overlap() {
    relay.io.restart();
    relay.io.run_for(kFirstRunTime);
    return runs.size() < 2 ? milliseconds(0) : ToMillis(runs[0].end - runs[1].begin);
  }

  Task<void> AnswerReport(HttpExchange& exchange, const std::string& engine) {
    if (report_behavior) {
      co_await report_behavior(exchange);
      co_return;
    }
    const MonotonicTime as_of = MonotonicNow() - report_age;
    std::string listed;
    for (const Run& run : runs) {
      const bool lists = run.engine == engine && run.begin <= as_of && as_of < run.end;
      if (lists) listed = R"(["9c41",100,1,5])";
    }
    std::string body = R"({"models":[],"running":1,"runs":[)" + listed + "]}";
    co_await exchange.Reply(200, HttpHeaders{}, std::move(body));
  }

  Task<void> Serve(HttpExchange& exchange, std::string engine) {
    const std::size_t index = runs.size();
    runs.push_back({std::move(engine), MonotonicNow()});
    if (index == 0) {
      asio::co_spawn(relay.io, EndFirstRun(), asio::detached);
      co_await behavior(exchange);
      co_return;
    }
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.StartStream(200, std::move(headers));
    const std::string last(exchange.request().header("Last-Event-Id"));
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    for (int id = first; id <= kEvents; ++id) co_await exchange.Write(Event(id));
    runs[index].end = MonotonicNow();
    co_await exchange.FinishStream();
  }

  Task<void> EndFirstRun() {
    co_await Sleep(kFirstRunTime);
    runs[0].end = MonotonicNow();
  }

  EndpointBehavior behavior;
  milliseconds report_age{0};
  // How reports are answered instead, unless it is empty.
  EndpointBehavior report_behavior;
  // In the order in which they began.
  std::vector<Run> runs;
  // Destroyed first: its coroutines refer to the other members.
  RelayFixture relay;
};

// What the engine does that gets the first request.
struct FirstRun {
  int events = kEvents;
  // Whether its listening socket closes before the connection, as when a process is killed.
  bool engine_ends = false;
  // Whether it announces before that it leaves.
  bool leaves = false;
};

// A relay with two engines whose responses have neither a length nor chunks.
struct UnframedEngines {
  explicit UnframedEngines(FirstRun first) : first_run(first) {
    for (tcp::acceptor* acceptor : {&e1, &e2}) {
      FleetEndpoint entry;
      entry.id = acceptor == &e1 ? "e1" : "e2";
      entry.service = "models";
      entry.address = {"127.0.0.1", acceptor->local_endpoint().port()};
      entry.failure_domain = "a";
      entry.slots = 64;
      entry.holdings.models.push_back({"m", {}});
      relay.directory.Put(entry);
      asio::co_spawn(relay.io, Accept(acceptor, entry.id), asio::detached);
    }
  }

  Task<void> Accept(tcp::acceptor* acceptor, std::string id) {
    boost::system::error_code error;
    for (;;) {
      tcp::socket socket(relay.io);
      co_await acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      ++connections;
      asio::co_spawn(relay.io, Serve(acceptor, id, std::move(socket)), asio::detached);
    }
  }

  Task<void> Serve(tcp::acceptor* acceptor, std::string id, tcp::socket socket) {
    boost::system::error_code error;
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                    asio::redirect_error(asio::use_awaitable, error));
    // A probe.
    if (error) co_return;
    const bool is_first = runs++ == 0;
    std::string response =
        "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nResponse-Stamp: stamp\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    const std::string header = "Last-Event-Id: ";
    const std::size_t last = request.find(header);
    const int begin =
        last == std::string::npos ? 0 : std::stoi(request.substr(last + header.size()));
    const int end = is_first ? first_run.events : kEvents;
    for (int event = begin + 1; event <= end; ++event) response += Event(event);
    if (is_first && first_run.leaves) relay.directory.MarkLeaving(id, 0);
    if (is_first && first_run.engine_ends) acceptor->close();
    co_await asio::async_write(socket, asio::buffer(response),
                               asio::redirect_error(asio::use_awaitable, error));
  }

  FirstRun first_run;
  int connections = 0;
  int runs = 0;
  // Destroyed before the members above: its coroutines refer to them.
  RelayFixture relay;
  tcp::acceptor e1{relay.io, {asio::ip::address_v4::loopback(), 0}};
  tcp::acceptor e2{relay.io, {asio::ip::address_v4::loopback(), 0}};
};

}  // namespace

// Guards against a stream that is passed on as complete although its engine was killed between two
// events, and against whole streams that fail or are run again because their engine ended later.
TEST_CASE("a stream that ends between two events is complete if its engine lives", "[unproven]") {
  struct Case {
    std::string path;
    FirstRun first_run;
    bool complete;
    int runs;
  };
  const Case tested = GENERATE(
      // A living engine.
      Case{"/resumable/1", {kEvents, false, false}, true, 1},
      Case{"/once/1", {kEvents, false, false}, true, 1},
      // One that is killed, the last time after the stream's last event.
      Case{"/resumable/1", {1, true, false}, true, 2}, Case{"/once/1", {1, true, false}, false, 1},
      Case{"/resumable/1", {kEvents, true, false}, true, 2},
      // One that leaves as planned.
      Case{"/once/1", {kEvents, true, true}, true, 1});
  CAPTURE(tested.path, tested.first_run.events, tested.first_run.engine_ends);
  UnframedEngines engines(tested.first_run);
  const auto reply = engines.relay.Send(tested.path);
  CHECK(reply.has_value() == tested.complete);
  if (reply) CHECK(reply.value().body == Event(1) + Event(2) + Event(3));
  CHECK(engines.runs == tested.runs);
  // At most one probe for each end, and one that shows that other engines can be reached.
  CHECK(engines.connections <= 2 * tested.runs + (tested.first_run.engine_ends ? 1 : 0));
}

// Guards against a connection for each of many streams that end at once at a living engine, and
// against a noticeable delay of their ends.
TEST_CASE("streams that end together at an engine share one probe", "[unproven]") {
  UnframedEngines engines({});
  engines.relay.directory.MarkLeaving("e2", 0);
  constexpr int kStreams = 20;
  int complete = 0;
  const auto send = [&]() -> Task<void> {
    HttpCall call = engines.relay.MakeCall("/resumable/1");
    const auto reply = co_await engines.relay.test_client.Call(std::move(call));
    if (reply) ++complete;
  };
  const MonotonicTime begin = MonotonicNow();
  for (int i = 0; i < kStreams; ++i) asio::co_spawn(engines.relay.io, send(), asio::detached);
  while (complete < kStreams && MonotonicNow() < begin + seconds(3)) {
    engines.relay.io.run_for(milliseconds(5));
  }
  CHECK(complete == kStreams);
  CHECK(MonotonicNow() - begin < milliseconds(500));
  CHECK(engines.runs == kStreams);
  // The streams may end in two groups on a busy machine.
  CHECK(engines.connections <= kStreams + 2);
}

// Guards against a request that two engines work on at once, because the copy of another request's
// answer ended the first attempt and the engine was not asked for the run.
TEST_CASE("a foreign answer does not end the run of a stream", "[unproven]") {
  const bool refused = GENERATE(true, false);
  CAPTURE(refused);
  PersistentEngines engines([refused](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers{{"Request-Id", "77"}, {"Response-Stamp", "stamp"}};
    if (refused) headers.back() = {"Not-Executed", "1"};
    co_await exchange.Reply(refused ? 503 : 200, std::move(headers), "of another request");
  });
  const auto reply = engines.Send();
  CHECK(engines.Overlap() <= kAllowedOverlap);
}

// Guards against a request that two engines work on at once, because the report was made before the
// first run began. A report is some hundred milliseconds old.
TEST_CASE("a report that is older than the run does not show its end", "[unproven]") {
  PersistentEngines engines([](HttpExchange&) -> Task<void> {
    // The connection closes without an answer.
    co_await Sleep(milliseconds(50));
  });
  engines.report_age = milliseconds(300);
  const auto reply = engines.Send();
  CHECK(engines.Overlap() <= kAllowedOverlap);
}

// Guards against a request that two engines work on at once, because it did not ask for the run
// while the retry budget was used up, and the budget allowed a retry a moment later.
TEST_CASE("a retry budget that recovers does not show the end of a run", "[unproven]") {
  PersistentEngines engines(SendEvents(1, 1, false));
  RelayFixture& relay = engines.relay;
  RetryLimits limits;
  limits.share = 0;
  limits.extra = 0;
  limits.extra_is_minimum = false;
  relay.handler.SetRetryLimits(limits);
  // The request waits for a permit when its stream has broken.
  for (const char* id : {"e1", "e2"}) {
    relay.limits.RecordResponse(EndpointNumber(id, 0), 100, MonotonicNow(), MonotonicNow());
  }
  relay.permit_time = milliseconds(300);
  limits.extra = 100;
  const auto recover = [&]() -> Task<void> {
    while (engines.runs.empty()) co_await Sleep(milliseconds(5));
    co_await Sleep(milliseconds(150));
    relay.handler.SetRetryLimits(limits);
  };
  asio::co_spawn(relay.io, recover(), asio::detached);
  const auto reply = engines.Send();
  CHECK(engines.Overlap() <= kAllowedOverlap);
}

// Guards against a request that two engines work on at once, because an event without an end ended
// the attempt and the engine was not asked for the run.
TEST_CASE("an event that is too large does not end the run of a stream", "[unproven]") {
  PersistentEngines engines([](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.StartStream(200, std::move(headers));
    co_await exchange.Write(Event(1));
    const std::string part(64 * 1024, 'x');
    bool sent = true;
    for (int i = 0; sent && i < 20; ++i) {
      sent = co_await exchange.Write(part);
    }
  });
  const auto reply = engines.Send();
  CHECK(engines.Overlap() <= kAllowedOverlap);
}

// Guards against a connection that is kept after a foreign answer, although the request's own
// answer may still arrive on it, where the next request would take it for a foreign one.
TEST_CASE("a connection with a foreign answer is not used again", "[unproven]") {
  RelayFixture relay;
  relay.directory.MarkLeaving("e2", 0);
  relay.e1.behavior = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers{{"Request-Id", "77"}, {"Not-Executed", "1"}};
    co_await exchange.Reply(503, std::move(headers), "");
  };
  const auto first = relay.Send("/once/1");
  REQUIRE(relay.e1.arrivals == 1);
  const std::uint64_t opened = relay.client.connections_opened();
  const auto second = relay.Send("/once/2");
  REQUIRE(relay.e1.arrivals == 2);
  CHECK(relay.client.connections_opened() == opened + 1);
}

// Guards against a request that two engines work on at once, because an engine that is at its
// connection limit, or full, turned the question away. It is alive, and its run has not ended.
TEST_CASE("a question that is turned away does not show the end of a run", "[unproven]") {
  const bool refused = GENERATE(true, false);
  const bool broken = GENERATE(true, false);
  CAPTURE(refused, broken);
  PersistentEngines engines([broken](HttpExchange& exchange) -> Task<void> {
    co_await SendEvents(1, 1, false)(exchange);
    if (!broken) co_await Sleep(kFirstRunTime);
  });
  engines.report_behavior = [refused](HttpExchange& exchange) -> Task<void> {
    // Otherwise, the connection closes without an answer.
    if (refused) co_await exchange.Reply(503, HttpHeaders{}, "");
  };
  const auto reply = engines.Send();
  CHECK(engines.Overlap() <= kAllowedOverlap);
}

// Guards against an endpoint that is taken for ended because it resets connections above its limit:
// its streams go on elsewhere without a question, and their requests become crash suspects.
TEST_CASE("an endpoint that resets a new connection has not ended", "[unproven]") {
  asio::io_context io{1};
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  acceptor.non_blocking(true);
  HttpClient client(io.get_executor());
  FleetDirectory directory;
  directory.Adopt(Config());
  CrashEvidence evidence;
  PartEvidence part_evidence{1};
  CrashCorrelator correlator(&evidence, &part_evidence);
  EndpointProber prober(&client, &directory, &correlator);
  FleetEndpoint endpoint;
  endpoint.id = "e1";
  endpoint.service = "models";
  endpoint.address = {"127.0.0.1", acceptor.local_endpoint().port()};
  endpoint.slots = 64;
  directory.Put(endpoint);
  std::optional<bool> ended;
  const auto ask = [&]() -> Task<void> {
    const bool answer = co_await prober.HasEnded(endpoint);
    ended = answer;
  };
  asio::co_spawn(io, ask(), asio::detached);
  int resets = 0;
  const MonotonicTime end = MonotonicNow() + milliseconds(300);
  // The reset arrives before the client's next turn, as on a busy machine.
  while (MonotonicNow() < end) {
    io.restart();
    io.poll_one();
    boost::system::error_code error;
    tcp::socket socket(io);
    acceptor.accept(socket, error);
    if (error) continue;
    socket.set_option(tcp::socket::linger(true, 0));
    socket.close();
    ++resets;
  }
  CHECK(resets > 0);
  REQUIRE(ended);
  CHECK_FALSE(*ended);
}

// Guards against a crash that is noticed too late for its streams, because other endpoints that
// fell silent in the same moment are probed one after the other.
TEST_CASE("a crash is known in time beside silent endpoints", "[unproven]") {
  const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
  asio::io_context io{1};
  HttpClient client(io.get_executor());
  FleetDirectory directory;
  directory.Adopt(Config());
  std::vector<tcp::acceptor> acceptors;
  std::vector<tcp::socket> queued;
  const auto put = [&](const std::string& id) {
    tcp::acceptor& acceptor = acceptors.emplace_back(io, any);
    FleetEndpoint endpoint;
    endpoint.id = id;
    endpoint.service = "models";
    endpoint.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    directory.Put(endpoint);
    return endpoint;
  };
  put("living");
  for (const char* id : {"silent1", "silent2", "silent3"}) {
    put(id);
    // Full with one connection: the system drops further ones.
    acceptors.back().listen(0);
    queued.emplace_back(io).connect(acceptors.back().local_endpoint());
  }
  CrashEvidence evidence;
  PartEvidence part_evidence{1};
  CrashCorrelator correlator(&evidence, &part_evidence);
  EndpointProber prober(&client, &directory, &correlator);
  FleetEndpoint crashed = put("crashed");
  acceptors.pop_back();
  // Each probes the others in another order. Those at the address of a crashed one are no others.
  for (int i = 0; i < 4; ++i) {
    crashed.id = "crashed" + std::to_string(i);
    directory.Put(crashed);
    std::optional<bool> ended;
    const auto ask = [&]() -> Task<void> {
      const bool answer = co_await prober.HasEnded(crashed);
      ended = answer;
    };
    asio::co_spawn(io, ask(), asio::detached);
    const MonotonicTime end = MonotonicNow() + seconds(2);
    while (!ended && MonotonicNow() < end) io.run_for(milliseconds(5));
    CHECK(ended.value_or(false));
  }
  io.run_for(milliseconds(200));
}

}  // namespace mimosabend::testing
