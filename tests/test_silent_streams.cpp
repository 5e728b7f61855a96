#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "relay_fixture.h"

namespace mimosabend::testing {

namespace {

constexpr int kEvents = 3;
// An engine may work on a request that goes on elsewhere for at most this long.
constexpr milliseconds kAllowedOverlap{400};

// What the first run of a stream does. The relay takes a silence of 1 s in mid-stream, or of about
// 0.4 s before the response header, for a stall.
enum class Fault { kSilentHeader, kSilentStream, kBrokenConnection };

// How an engine answers the question for its runs.
enum class Report { kLists, kOmits, kSilent };

struct Run {
  std::string engine;
  MonotonicTime begin;
  MonotonicTime end = MonotonicTime::max();
};

// A relay with two engines that finish what they run, also after the connection has closed.
struct PersistentEngines {
  PersistentEngines(Fault first_fault, milliseconds first_silence, Report report_kind)
      : fault(first_fault), silence(first_silence), report(report_kind) {
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

  // The longest time for which a run went on after the next run of the request had begun.
  milliseconds Overlap() {
    relay.io.restart();
    relay.io.run_for(silence);
    milliseconds longest(0);
    for (std::size_t i = 1; i < runs.size(); ++i) {
      longest = std::max(longest, ToMillis(runs[i - 1].end - runs[i].begin));
    }
    return longest;
  }

  Task<void> AnswerReport(HttpExchange& exchange, const std::string& engine) {
    ++questions;
    if (report == Report::kSilent) {
      co_await Sleep(seconds(3));
      co_return;
    }
    std::string listed;
    for (const Run& run : runs) {
      const bool runs_now = run.engine == engine && run.end == MonotonicTime::max();
      if (runs_now && report == Report::kLists) listed = R"(["9c41",100,1,5])";
    }
    const std::string count = listed.empty() ? "0" : "1";
    std::string body =
        R"({"models":[],"waiting":0,"running":)" + count + R"(,"runs":[)" + listed + "]}";
    co_await exchange.Reply(200, HttpHeaders{}, std::move(body));
  }

  Task<void> Serve(HttpExchange& exchange, std::string engine) {
    const std::size_t index = runs.size();
    runs.push_back({std::move(engine), MonotonicNow()});
    const std::string last(exchange.request().header("Last-Event-Id"));
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    if (index == 0 && fault == Fault::kSilentHeader) co_await Sleep(silence);
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.StartStream(200, std::move(headers));
    for (int id = first; id <= kEvents; ++id) {
      co_await exchange.Write(Event(id));
      if (index > 0 || id > 1) continue;
      if (fault == Fault::kSilentStream) co_await Sleep(silence);
      if (fault == Fault::kBrokenConnection) {
        boost::asio::co_spawn(relay.io, EndLater(index), boost::asio::detached);
        co_return;
      }
    }
    runs[index].end = MonotonicNow();
    co_await exchange.FinishStream();
  }

  Task<void> EndLater(std::size_t index) {
    co_await Sleep(silence);
    runs[index].end = MonotonicNow();
  }

  Fault fault;
  milliseconds silence;
  Report report;
  // In the order in which they began.
  std::vector<Run> runs;
  int questions = 0;
  // Destroyed first: its coroutines refer to the other members.
  RelayFixture relay;
};

const std::string& WholeStream() {
  static const std::string kStream = Event(1) + Event(2) + Event(3);
  return kStream;
}

}  // namespace

// Guards against a request that two engines work on at once, because the relay took the closed
// connection for the end of the first run (KNOWN-RED.txt, TWICE).
TEST_CASE("a stream does not go on elsewhere while its engine works on it", "[silent]") {
  const Fault fault =
      GENERATE(Fault::kSilentHeader, Fault::kSilentStream, Fault::kBrokenConnection);
  CAPTURE(static_cast<int>(fault));
  PersistentEngines engines(fault, milliseconds(1900), Report::kLists);
  const auto reply = engines.Send();
  REQUIRE(reply);
  CHECK(reply.value().body == WholeStream());
  CHECK(engines.Overlap() <= kAllowedOverlap);
  CHECK(engines.runs.size() == (fault == Fault::kBrokenConnection ? 2 : 1));
}

// Guards against a stream that waits until its deadline for an engine that has forgotten it, or
// that does not answer.
TEST_CASE("a stream goes on elsewhere if its engine does not list it", "[silent]") {
  const Fault fault =
      GENERATE(Fault::kSilentHeader, Fault::kSilentStream, Fault::kBrokenConnection);
  const Report report = GENERATE(Report::kOmits, Report::kSilent);
  CAPTURE(static_cast<int>(fault), static_cast<int>(report));
  PersistentEngines engines(fault, milliseconds(3500), report);
  const MonotonicTime start = MonotonicNow();
  const auto reply = engines.Send();
  REQUIRE(reply);
  CHECK(reply.value().body == WholeStream());
  CHECK(engines.runs.size() == 2);
  // The stall is noticed after 1 s, and each of two questions may take 300 ms.
  CHECK(MonotonicNow() - start < milliseconds(2500));
}

}  // namespace mimosabend::testing
