#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

#include "event_loop.h"
#include "http_client.h"
#include "http_server.h"
#include "relay_fixture.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

const MonotonicTime kStart = MonotonicTime() + seconds(1000);

Task<void> Throw() {
  co_await Sleep(milliseconds(1));
  throw std::runtime_error("task failed");
}

}  // namespace

// Guards against a process that ends, with the requests of all its callers, because one handler
// threw.
TEST_CASE("an exception in a handler does not end the event loop", "[loop]") {
  boost::asio::io_context io(1);
  const std::uint64_t before = ReportedExceptions();
  int done = 0;
  const auto task = [&]() -> Task<void> {
    co_await Sleep(milliseconds(10));
    ++done;
  };
  boost::asio::co_spawn(io, task(), boost::asio::detached);
  boost::asio::post(io, [] { throw std::runtime_error("handler failed"); });
  SpawnDetached(io.get_executor(), "test", Throw());
  CHECK(RunEventLoop(&io));
  CHECK(done == 1);
  CHECK(ReportedExceptions() == before + 2);
}

// Guards against a process that neither works nor is restarted, since all its handlers throw.
TEST_CASE("the event loop gives up after too many exceptions", "[loop]") {
  boost::asio::io_context io(1);
  for (std::size_t i = 0; i <= ExceptionLimit::kMaxExceptions; ++i) {
    boost::asio::post(io, [] { throw std::runtime_error("handler failed"); });
  }
  CHECK_FALSE(RunEventLoop(&io));
}

TEST_CASE("exceptions far apart are within the limit", "[loop]") {
  ExceptionLimit limit;
  MonotonicTime now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += ExceptionLimit::kWindow / ExceptionLimit::kMaxExceptions + milliseconds(1);
    CHECK_FALSE(limit.Record(now));
  }
  bool exceeded = false;
  for (std::size_t i = 0; i <= ExceptionLimit::kMaxExceptions; ++i) exceeded = limit.Record(now);
  CHECK(exceeded);
}

// Guards against a request without an answer, and against a connection that counts as open for ever
// after its handler threw.
TEST_CASE("a request whose handler throws is answered and releases what it holds", "[loop]") {
  RelayFixture relay;
  for (TestEndpoint* engine : {&relay.e1, &relay.e2}) {
    relay.directory.RecordRefusal(engine->id, "m", MonotonicNow());
  }
  relay.load_end_throws = true;
  const auto reply = relay.Send("/once/1");
  REQUIRE(reply);
  CHECK(reply.value().status == 500);
  // It does not promise that the request was not executed.
  CHECK(reply.value().body.find("not") == std::string::npos);
  relay.io.run_for(milliseconds(20));
  CHECK(relay.handler.in_flight() == 0);
  CHECK_FALSE(relay.usage.HasWaiting());
  const std::string counted = R"(kind="streaming",outcome="internal_error"} 1)";
  CHECK(relay.metrics.Expose().find(counted) != std::string::npos);
  relay.test_client.CloseIdle({"127.0.0.1", relay.port});
  relay.io.run_for(milliseconds(20));
  CHECK(relay.server.open_connections() == 0);
  const auto next = relay.Send("/order/1");
  REQUIRE(next);
  CHECK(next.value().status == 200);
}

}  // namespace mimosabend::testing
