#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "directory_log.h"
#include "event_pauses.h"
#include "relay_fixture.h"

namespace mimosabend::testing {

TEST_CASE("status, body and headers of an endpoint reach the caller unchanged", "[relay]") {
  RelayFixture relay;
  auto reply = relay.Send("/order/1?q=2");
  REQUIRE(reply);
  CHECK(reply.value().status == 200);
  CHECK(reply.value().body == "whole body");
  CHECK(FindHeader(reply.value().headers, "Response-Stamp") == "stamp");
  const HttpRequest& seen = relay.p1.arrivals > 0 ? relay.p1.last : relay.p2.last;
  CHECK(seen.target == "/order/1?q=2");
  CHECK(seen.header("Host") == "a.example");
  CHECK(std::stoi(std::string(seen.header("Deadline-Ms"))) <= 1500);
  CHECK_FALSE(seen.header("Expect-Instance").empty());
  CHECK(relay.Send("/nowhere/1").value().status == 404);
}

// Guards against a non-idempotent request that runs twice.
TEST_CASE("a non-idempotent request is retried only if it has not run", "[relay]") {
  RelayFixture relay;
  relay.SetBehavior(BreakConnection, Respond(200));
  CHECK(relay.Send("/order/1").value().status == 502);
  CHECK(relay.plain_arrivals() == 1);
  relay.SetBehavior(Respond(500), Respond(200));
  CHECK(relay.Send("/order/1").value().status == 500);
  CHECK(relay.plain_arrivals() == 2);
  relay.SetBehavior(Respond(503, true), Respond(200));
  CHECK(relay.Send("/order/1").value().status == 200);
  CHECK(relay.plain_arrivals() == 4);
}

// Guards against new requests to an endpoint that announced its shutdown in a response, from this
// daemon and from those that learn of it through this one.
TEST_CASE("an endpoint that announces its shutdown gets no new requests", "[relay]") {
  RelayFixture relay;
  const EndpointBehavior leaving = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Server-Leaving", "1");
    co_await exchange.Reply(200, std::move(headers), "whole body");
  };
  relay.SetBehavior(leaving, Respond(200));
  auto reply = relay.Send("/read/1");
  CHECK(reply.value().status == 200);
  // The caller gets the response unchanged.
  CHECK_FALSE(FindHeader(reply.value().headers, "Server-Leaving").empty());
  TestEndpoint& left = relay.p1.arrivals > 0 ? relay.p1 : relay.p2;
  for (int i = 0; i < 10; ++i) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(left.arrivals == 1);
  CHECK(relay.directory.Leaving() == std::vector<std::string>{left.id});
  // An older store entry that says that the endpoint is ready does not override the announcement.
  relay.Add(left, "plain");
  CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(left.arrivals == 1);
}

// Guards against new requests to an engine that announced its shutdown in the header of a stream,
// long before the stream ends.
TEST_CASE("an engine that announces its shutdown in a stream gets no new requests", "[relay]") {
  RelayFixture relay;
  const EndpointBehavior leaving = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Server-Leaving", "1");
    co_await exchange.StartStream(200, std::move(headers));
    co_await exchange.Write(Event(1));
    co_await exchange.FinishStream();
  };
  relay.SetBehavior(leaving, SendEvents(1, 1, true));
  CHECK(relay.Send("/resumable/1").value().status == 200);
  TestEndpoint& left = relay.e1.arrivals > 0 ? relay.e1 : relay.e2;
  for (int i = 0; i < 10; ++i) CHECK(relay.Send("/resumable/1").value().status == 200);
  CHECK(left.arrivals == 1);
}

// Guards against requests to an endpoint that sent a Retry-After header, before that time is over.
TEST_CASE("the relay honors the Retry-After header of an endpoint", "[relay]") {
  RelayFixture relay;
  const auto refusing = [](const std::string& retry_after) -> EndpointBehavior {
    return [retry_after](HttpExchange& exchange) -> Task<void> {
      HttpHeaders headers = StampedHeaders(exchange);
      headers.back() = {"Not-Executed", "1"};
      headers.emplace_back("Retry-After", retry_after);
      co_await exchange.Reply(503, std::move(headers), "full");
    };
  };
  relay.SetBehavior(refusing("0.6"), Respond(200));
  CHECK(relay.Send("/read/1").value().status == 200);
  const int first = relay.p1.arrivals;
  const int second = relay.p2.arrivals;
  REQUIRE(first == 1);
  REQUIRE(second == 1);
  for (int i = 0; i < 10; ++i) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK((relay.p1.arrivals == 1) != (relay.p2.arrivals == 1));
  relay.io.run_for(milliseconds(700));
  for (int i = 0; i < 20; ++i) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.p1.arrivals > 1);
  CHECK(relay.p2.arrivals > 1);
  // If all endpoints are backed off, the caller gets a Retry-After, and no endpoint gets the
  // request.
  for (TestEndpoint* endpoint : {&relay.p1, &relay.p2}) endpoint->behavior = refusing("2.5");
  CHECK(relay.Send("/read/1").value().status == 503);
  const int before = relay.plain_arrivals();
  auto refused = relay.Send("/read/1");
  CHECK(refused.value().status == 503);
  CHECK(relay.plain_arrivals() == before);
  const double wait = std::stod(std::string(FindHeader(refused.value().headers, "Retry-After")));
  CHECK(wait > 2);
  CHECK(wait < 3);
  // A restarted endpoint has no backoff.
  relay.stats.Forget(relay.p1.id);
  relay.p1.behavior = Respond(200);
  CHECK(relay.Send("/read/1").value().status == 200);
}

// Guards against a refusal that promises "not run" for a request that may have run.
TEST_CASE("a request that may have run is not refused as not run", "[relay]") {
  RelayFixture relay;
  relay.SetBehavior(Respond(503, true), Respond(503, true));
  auto refused = relay.Send("/order/1");
  CHECK(refused.value().status == 503);
  CHECK_FALSE(FindHeader(refused.value().headers, "Retry-After").empty());
  relay.SetBehavior(Respond(503, true), BreakConnection);
  CHECK(relay.Send("/order/1").value().status == 502);
  for (TestEndpoint* endpoint : {&relay.p1, &relay.p2}) relay.directory.Remove(endpoint->id, {});
  relay.directory.PruneExpired(MonotonicNow());
  CHECK(relay.Send("/order/1").value().status == 503);
}

// Guards against a caller that repeats its order because the endpoint that ran it answered with a
// status that promises "not run", without the header that states it.
TEST_CASE("an endpoint's status does not become a promise that the request has not run",
          "[relay]") {
  const int status = GENERATE(408, 429, 503);
  const std::string path = GENERATE("/order/1", "/once/1");
  CAPTURE(status, path);
  RelayFixture relay;
  relay.SetBehavior(Respond(status), Respond(status));
  const auto reply = relay.Send(path);
  CHECK(reply.value().status == 502);
  CHECK(FindHeader(reply.value().headers, "Response-Stamp").empty());
  CHECK(relay.plain_arrivals() + relay.engine_arrivals() == 1);
  // A request that may be repeated gets the endpoint's answer unchanged.
  CHECK(relay.Send("/read/1").value().status == status);
}

TEST_CASE("an idempotent request is retried at another endpoint after a failure", "[relay]") {
  RelayFixture relay;
  relay.SetBehavior(Respond(500), Respond(200));
  CHECK(relay.Send("/read/1").value().status == 200);
  relay.SetBehavior(BreakConnection, Respond(200));
  CHECK(relay.Send("/read/1").value().status == 200);
  // The route allows two attempts. After that, the endpoint's error response is returned.
  relay.SetBehavior(Respond(500), Respond(500));
  CHECK(relay.Send("/read/1").value().body == "status 500");
  CHECK(relay.plain_arrivals() == 6);
}

// Guards against more retries than the retry budget allows, which would multiply the load of a
// failing fleet.
TEST_CASE("retries stay within the retry budget", "[relay]") {
  RelayFixture relay;
  RetryLimits none;
  none.share = 0;
  none.extra = 1;
  none.extra_is_minimum = false;
  relay.handler.SetRetryLimits(none);
  for (int i = 0; i < 3; ++i) {
    relay.SetBehavior(Respond(500), Respond(200));
    CHECK(relay.Send("/read/1").value().status == (i == 0 ? 200 : 500));
  }
}

// Guards against a response to another request that reaches the caller.
TEST_CASE("a response with another request's id is not returned", "[relay]") {
  RelayFixture relay;
  const EndpointBehavior foreign = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers{{"Request-Id", "other"}, {"Response-Stamp", "stamp"}};
    co_await exchange.Reply(200, std::move(headers), "another's");
  };
  relay.SetBehavior(foreign, Respond(200));
  CHECK(relay.Send("/order/1").value().status == 502);
  CHECK(relay.plain_arrivals() == 1);
}

TEST_CASE("a stream is relayed to its end", "[relay]") {
  RelayFixture relay;
  relay.SetBehavior(SendEvents(1, 3, true), Respond(500));
  auto reply = relay.Send("/once/1");
  REQUIRE(reply);
  CHECK(reply.value().body == Event(1) + Event(2) + Event(3));
}

// Guards against a missing, duplicated or partial event after a stream was resumed.
TEST_CASE("a broken stream resumes at another engine after its last complete event", "[relay]") {
  RelayFixture relay;
  relay.SetBehavior(SendEvents(1, 2, false), SendEvents(3, 4, true));
  auto reply = relay.Send("/resumable/1");
  REQUIRE(reply);
  CHECK(reply.value().body == Event(1) + Event(2) + Event(3) + Event(4));
  const bool first_was_e1 = relay.e1.last.header("Last-Event-Id").empty();
  const HttpRequest& second = first_was_e1 ? relay.e2.last : relay.e1.last;
  CHECK(second.header("Last-Event-Id") == "2");
}

// Guards against pauses that are measured to the first event, from the wrong event, or in the time
// of a caller that reads slowly, and against the pause of a resumed stream that is not seen.
TEST_CASE("the longest pause of a stream is the one that its endpoints cause", "[relay]") {
  const auto at = [](int ms) { return MonotonicTime(milliseconds(ms)); };
  EventPauses pauses;
  pauses.RecordEvent(at(1000));
  CHECK_FALSE(pauses.longest());
  // The caller takes 800 ms to read the first event.
  pauses.BeginWait(at(1800));
  pauses.RecordEvent(at(1830));
  pauses.BeginWait(at(1830));
  pauses.RecordEvent(at(1840));
  CHECK(*pauses.longest() == milliseconds(30));

  RelayFixture relay;
  const auto pausing = [](int first, int last, int pause_ms) -> EndpointBehavior {
    return [=](HttpExchange& exchange) -> Task<void> {
      HttpHeaders headers = StampedHeaders(exchange);
      headers.emplace_back("Content-Type", "text/event-stream");
      co_await exchange.StartStream(200, std::move(headers));
      for (int id = first; id <= last; ++id) {
        co_await Sleep(milliseconds(pause_ms));
        co_await exchange.Write(Event(id));
      }
      if (last == 3) co_await exchange.FinishStream();
    };
  };
  // The pauses are 60 ms, except 150 ms in which the stream breaks and is resumed.
  relay.SetBehavior(pausing(1, 2, 60), pausing(3, 3, 150));
  REQUIRE(relay.Send("/resumable/1").value().body == Event(1) + Event(2) + Event(3));
  const std::string text = relay.metrics.Expose();
  const auto count = [&](const std::string& labels) {
    const std::size_t begin =
        text.find("mimosabend_gateway_longest_pause_seconds_bucket{" + labels);
    REQUIRE(begin != std::string::npos);
    return text.substr(text.find("} ", begin) + 2, 1);
  };
  const std::string route = relay.directory.config()->FindRoute("a.example", "/resumable/")->name;
  CHECK(count("route=\"" + route + "\",le=\"0.1\"") == "0");
  CHECK(count("route=\"" + route + "\",le=\"0.7\"") == "1");
  CHECK(text.find("paused_streams_total{route=\"" + route + "\"} 1") != std::string::npos);
}

// Guards against a stream that waits for a stalled engine until its deadline.
TEST_CASE("a stream is retried elsewhere if an engine sends no header in time", "[relay]") {
  RelayFixture relay;
  const EndpointBehavior stalled = [](HttpExchange&) -> Task<void> { co_await Sleep(seconds(3)); };
  relay.SetBehavior(stalled, SendEvents(1, 2, true));
  const MonotonicTime start = MonotonicNow();
  auto reply = relay.Send("/resumable/1");
  REQUIRE(reply);
  CHECK(reply.value().body == Event(1) + Event(2));
  CHECK(MonotonicNow() - start < milliseconds(1000));
}

// Guards against a stream that is aborted because its engine pauses for a while, although it can't
// be resumed elsewhere: the retry budget is exhausted, or no other engine holds the model.
TEST_CASE("a slow stream is abandoned only if another engine can resume it", "[relay]") {
  const EndpointBehavior slow = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.StartStream(200, std::move(headers));
    co_await exchange.Write(Event(1));
    co_await Sleep(milliseconds(1200));
    co_await exchange.Write(Event(2));
    co_await exchange.FinishStream();
  };
  for (const bool budget : {false, true}) {
    CAPTURE(budget);
    RelayFixture relay;
    relay.SetBehavior(slow, slow);
    RetryLimits none;
    none.extra = 0;
    none.share = 0;
    none.extra_is_minimum = false;
    if (!budget) relay.handler.SetRetryLimits(none);
    // If the budget allows a retry, no other engine holds the model.
    if (budget) relay.directory.RecordRefusal("e2", "m", MonotonicNow());
    auto reply = relay.Send("/resumable/1");
    REQUIRE(reply);
    CHECK(reply.value().body == Event(1) + Event(2));
    CHECK(relay.engine_arrivals() == 1);
  }
}

// Guards against a broken stream that looks complete to the caller.
TEST_CASE("a stream that can't be resumed is not terminated properly", "[relay]") {
  RelayFixture relay;
  relay.SetBehavior(SendEvents(1, 2, false), SendEvents(3, 4, true));
  CHECK_FALSE(relay.Send("/once/1"));
  CHECK(relay.engine_arrivals() == 1);
}

// Guards against a caller that learns only at its deadline that its request has failed, because the
// request waits for an engine although it must not run again.
TEST_CASE("a stream that must not run again does not wait for an engine", "[relay]") {
  RelayFixture relay;
  for (TestEndpoint* engine : {&relay.e1, &relay.e2}) engine->behavior = BreakConnection;
  relay.directory.RecordRefusal(relay.e2.id, "m", MonotonicNow());
  const MonotonicTime start = MonotonicNow();
  const auto reply = relay.Send("/once/1");
  REQUIRE(reply);
  CHECK(reply.value().status == 502);
  CHECK(MonotonicNow() - start < milliseconds(500));
}

// Guards against callers that retry too early and are then refused for good, while all daemons have
// just started and the store is still unavailable.
TEST_CASE("without a configuration callers get a Retry-After of seconds", "[relay]") {
  RelayFixture relay(false);
  auto reply = relay.Send("/read/1");
  REQUIRE(reply);
  CHECK(reply.value().status == 503);
  const double wait = std::stod(std::string(FindHeader(reply.value().headers, "Retry-After")));
  CHECK(wait >= 2);
  CHECK(wait <= 5.3);
}

// Guards against a 404 for a route that was added recently, from a daemon whose configuration is
// stale.
TEST_CASE("an unknown route gets a 404 only if the configuration is current", "[relay]") {
  RelayFixture relay;
  CHECK(relay.Send("/new/1").value().status == 404);
  relay.config_may_be_stale = true;
  auto reply = relay.Send("/new/1");
  CHECK(reply.value().status == 503);
  CHECK_FALSE(FindHeader(reply.value().headers, "Retry-After").empty());
  CHECK(relay.Send("/read/1").value().status == 200);
}

// Guards against a caller that waits until its deadline although there is no leader that could have
// its model loaded.
TEST_CASE("a request whose model can't be loaded without a leader is refused early", "[relay]") {
  RelayFixture relay;
  for (TestEndpoint* endpoint : {&relay.e1, &relay.e2}) {
    relay.directory.RecordRefusal(endpoint->id, "m", MonotonicNow());
  }
  relay.has_leader = false;
  HttpCall call = relay.MakeCall("/once/1");
  const MonotonicTime start = MonotonicNow();
  auto reply = relay.Send("/once/1");
  CHECK(reply.value().status == 503);
  CHECK(MonotonicNow() - start < milliseconds(1700));
  CHECK(relay.engine_arrivals() == 0);
}

// Guards against callers that disconnect, and don't retry, while their daemon still waits for an
// engine to load their model.
TEST_CASE("a waiting request is refused before its caller disconnects", "[relay]") {
  RelayFixture relay;
  for (TestEndpoint* endpoint : {&relay.e1, &relay.e2}) {
    relay.directory.RecordRefusal(endpoint->id, "m", MonotonicNow());
  }
  HttpCall call = relay.MakeCall("/once/1");
  for (auto& [name, value] : call.headers) {
    if (name == "Deadline-Ms") value = "4000";
  }
  const MonotonicTime start = MonotonicNow();
  auto reply = relay.Send(std::move(call));
  REQUIRE(reply);
  CHECK(reply.value().status == 503);
  CHECK(MonotonicNow() - start < milliseconds(2000));
}

// Guards against callers that retry before their model can be loaded, and are refused again.
TEST_CASE("a refused caller is told when the load of its model ends", "[relay]") {
  RelayFixture relay;
  for (TestEndpoint* endpoint : {&relay.e1, &relay.e2}) {
    relay.directory.RecordRefusal(endpoint->id, "m", MonotonicNow());
  }
  relay.load_end = MonotonicNow() + milliseconds(3500);
  const MonotonicTime start = MonotonicNow();
  auto reply = relay.Send("/once/1");
  REQUIRE(reply);
  CHECK(reply.value().status == 503);
  CHECK(MonotonicNow() - start < milliseconds(300));
  const double retry_after =
      std::stod(std::string(FindHeader(reply.value().headers, "Retry-After")));
  CHECK(retry_after > 3);
  CHECK(retry_after < 4);
}

// Guards against a stalled stream that is held until its deadline because the retry budget is used
// up when its stall is noticed: its caller could have tried again long before.
TEST_CASE("a stalled stream ends without a retry budget", "[relay]") {
  RelayFixture relay;
  const EndpointBehavior stalled = [&](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    co_await exchange.StartStream(200, std::move(headers));
    co_await exchange.Write(Event(1));
    co_await Sleep(milliseconds(100));
    RetryLimits none;
    none.extra = 0;
    none.share = 0;
    none.extra_is_minimum = false;
    relay.handler.SetRetryLimits(none);
    co_await Sleep(milliseconds(3000));
  };
  relay.SetBehavior(stalled, SendEvents(2, 3, true));
  const MonotonicTime start = MonotonicNow();
  HttpCall call = relay.MakeCall("/resumable/1");
  call.headers[2].second = "4000";
  const auto reply = relay.Send(std::move(call));
  // The stall is noticed after 1 s, the deadline is 2 s.
  CHECK(MonotonicNow() - start < milliseconds(1700));
  CHECK_FALSE(reply);
}

// Guards against a shutdown that cuts a stream whose sound engine is silent for a while: the run
// was given up for another engine, which was full.
TEST_CASE("a shutdown does not end a stream whose engine is silent for a while", "[relay]") {
  // Whether the silence begins before the shutdown.
  const bool silent_before = GENERATE(false, true);
  CAPTURE(silent_before);
  RelayFixture relay;
  const auto begin_shutdown = [&] {
    relay.handler.SetShutdownTimes(MonotonicNow() + milliseconds(2000),
                                   MonotonicNow() + milliseconds(3000));
  };
  const EndpointBehavior silent = [&](HttpExchange& exchange) -> Task<void> {
    if (!silent_before) begin_shutdown();
    HttpHeaders headers = StampedHeaders(exchange);
    co_await exchange.StartStream(200, std::move(headers));
    co_await exchange.Write(Event(1));
    co_await Sleep(milliseconds(300));
    if (silent_before) begin_shutdown();
    // The relay takes a silence of 1 s for a stall.
    co_await Sleep(milliseconds(1200));
    co_await exchange.Write(Event(2));
    co_await exchange.FinishStream();
  };
  relay.SetBehavior(silent, Respond(503, true));
  HttpCall call = relay.MakeCall("/resumable/1");
  call.headers[2].second = "4000";
  const auto reply = relay.Send(std::move(call));
  REQUIRE(reply);
  CHECK(reply.value().body == Event(1) + Event(2));
  CHECK(relay.engine_arrivals() == 1);
}

// Guards against a request that waits for its model during a shutdown and is cut off at the end of
// the grace period instead of being refused.
TEST_CASE("a waiting request is refused before the process exits", "[relay]") {
  RelayFixture relay;
  for (TestEndpoint* endpoint : {&relay.e1, &relay.e2}) {
    relay.directory.RecordRefusal(endpoint->id, "m", MonotonicNow());
  }
  const MonotonicTime end = MonotonicNow() + milliseconds(300);
  relay.handler.SetShutdownTimes(MonotonicTime::max(), end);
  auto reply = relay.Send("/once/1");
  REQUIRE(reply);
  CHECK(reply.value().status == 503);
  CHECK(MonotonicNow() < end + milliseconds(150));
}

// Guards against a request that is cut off at the end of the grace period because the leader does
// not decide in time about the placement of the request's adapter.
TEST_CASE("a request that waits for an adapter is refused before the process exits", "[relay]") {
  RelayFixture relay;
  relay.adapter_placement_time = milliseconds(1200);
  const MonotonicTime end = MonotonicNow() + milliseconds(300);
  const auto stop = [&relay, end]() -> Task<void> {
    co_await Sleep(milliseconds(100));
    relay.handler.SetShutdownTimes(MonotonicTime::max(), end);
  };
  boost::asio::co_spawn(relay.io, stop(), boost::asio::detached);
  auto reply = relay.Send("/once/1", "m/adapter");
  REQUIRE(reply);
  CHECK(reply.value().status == 503);
  CHECK(MonotonicNow() < end + milliseconds(150));
  CHECK(relay.engine_arrivals() == 0);
}

// Guards against a forwarded request that gets no response at all, not even an error, because its
// daemon shuts down while the endpoint is stalled.
TEST_CASE("a request without a response fails before the process exits", "[relay]") {
  RelayFixture relay;
  const EndpointBehavior stalled = [](HttpExchange&) -> Task<void> { co_await Sleep(seconds(3)); };
  relay.SetBehavior(stalled, stalled);
  for (const char* path : {"/once/1", "/order/1", "/resumable/1"}) {
    const MonotonicTime end = MonotonicNow() + milliseconds(300);
    // The shutdown begins while the request is at the endpoint.
    const auto stop = [&relay, end]() -> Task<void> {
      co_await Sleep(milliseconds(100));
      relay.handler.SetShutdownTimes(MonotonicTime::max(), end);
      co_await Sleep(end - MonotonicNow());
      relay.handler.FailUnanswered();
    };
    boost::asio::co_spawn(relay.io, stop(), boost::asio::detached);
    relay.handler.SetShutdownTimes(MonotonicTime::max(), MonotonicTime::max());
    auto reply = relay.Send(path);
    REQUIRE(reply);
    CHECK(reply.value().status == 504);
    CHECK(MonotonicNow() < end + milliseconds(150));
  }
}

// Guards against a request that arrives on a keep-alive connection late in a shutdown, is accepted,
// and is then cut off.
TEST_CASE("a request that arrives late in a shutdown is refused", "[relay]") {
  RelayFixture relay;
  relay.handler.SetShutdownTimes(MonotonicNow() - seconds(1), MonotonicNow() + seconds(5));
  CHECK(relay.Send("/resumable/1").value().status == 503);
  CHECK(relay.Send("/read/1").value().status == 503);
  CHECK(relay.engine_arrivals() + relay.plain_arrivals() == 0);
}

// Guards against an engine that keeps generating for a caller that has disconnected.
TEST_CASE("a request is cancelled at the engine when its caller disconnects", "[relay]") {
  RelayFixture relay;
  bool engine_saw_end = false;
  const EndpointBehavior slow = [&](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    co_await exchange.StartStream(200, std::move(headers));
    for (int id = 1; id < 200; ++id) {
      const bool sent = co_await exchange.Write(Event(id));
      if (!sent) {
        engine_saw_end = true;
        co_return;
      }
      co_await Sleep(milliseconds(10));
    }
  };
  relay.SetBehavior(slow, slow);
  {
    HttpCall call = relay.MakeCall("/resumable/1");
    call.canceller = std::make_shared<HttpCanceller>();
    const auto send = [&relay](HttpCall request) -> Task<void> {
      auto ignored = co_await relay.test_client.Call(std::move(request));
      static_cast<void>(ignored);
    };
    boost::asio::co_spawn(relay.io, send(call), boost::asio::detached);
    relay.io.run_for(milliseconds(100));
    CHECK(relay.handler.in_flight() == 1);
    call.canceller->Cancel();
  }
  relay.io.run_for(milliseconds(200));
  CHECK(relay.handler.in_flight() == 0);
  CHECK(engine_saw_end);
  CHECK(relay.engine_arrivals() == 1);
}

// Guards against a limit that no log line and no metric shows, and against one that an invalid
// header sets or ends.
TEST_CASE("the rate limit that an endpoint states is recorded", "[relay]") {
  RelayFixture relay;
  const std::uint32_t p1 = EndpointNumber("p1", 0);
  const std::uint32_t p2 = EndpointNumber("p2", 0);
  const auto known = [&] {
    return relay.limits.Rate(p1) ? relay.limits.Rate(p1) : relay.limits.Rate(p2);
  };
  const auto state = [&](const std::string& value) {
    const EndpointBehavior answer = [value](HttpExchange& exchange) -> Task<void> {
      HttpHeaders headers = StampedHeaders(exchange);
      if (!value.empty()) headers.emplace_back("Server-Limit", value);
      co_await exchange.Reply(200, std::move(headers), "body");
    };
    relay.SetBehavior(answer, answer);
    for (int i = 0; i < 20; ++i) CHECK(relay.Send("/read/1"));
  };
  state("2.5");
  CHECK(known() == 2.5);
  state("many");
  CHECK(known() == 2.5);
  state("");
  CHECK(known() == std::nullopt);
  CHECK(relay.limits.size() == 0);
}

}  // namespace mimosabend::testing
