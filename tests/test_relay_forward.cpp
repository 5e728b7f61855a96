#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "relay_fixture.h"
#include "request_forwarder.h"

namespace mimosabend::testing {

namespace {

constexpr const char* kHelperHost = "127.0.0.1";
constexpr const char* kSecondHelperHost = "127.0.0.2";

// A gateway that is cut off from all endpoints of the fixture, with two gateways to pass requests
// on to.
struct PartitionedRelay {
  PartitionedRelay() : helper(&relay.io, "h1"), second(&relay.io, "h2") {
    // All gateways listen on the same port.
    second_server.Listen({kSecondHelperHost, helper.port}).value();
    port = server.Listen({kHelperHost, 0}).value();
    reach.SetServices({{"plain", 2}, {"models", 2}}, MonotonicNow());
    CutOff();
    forwarder.SetHelpers({{kHelperHost, 1}, {kSecondHelperHost, 1}}, true, MonotonicNow());
  }

  void CutOff() {
    for (const char* service : {"plain", "models"}) {
      reach.RecordProbes({service, ProbeKind::kConfirmation, 2}, 2, 0, MonotonicNow());
    }
  }

  Result<HttpReply, HttpError> Send(const std::string& path, HttpHeaders headers = {}) {
    HttpCall call = relay.MakeCall(path);
    call.address = {kHelperHost, port};
    call.body = "body";
    call.headers.insert(call.headers.end(), headers.begin(), headers.end());
    return relay.Send(std::move(call));
  }

  int endpoint_arrivals() const { return relay.plain_arrivals() + relay.engine_arrivals(); }

  RelayFixture relay;
  EndpointReach reach;
  HttpClient forward_client{relay.io.get_executor()};
  TestEndpoint helper;
  TestEndpoint second;
  HttpServer second_server{relay.io.get_executor(), HttpLimits(),
                           [this](HttpExchange& exchange) -> Task<void> {
                             ++second.arrivals;
                             co_await second.behavior(exchange);
                           }};
  RequestForwarder forwarder{
      &forward_client, &reach, {"g1", "key", helper.port}, [] { return std::vector<Address>(); }};
  RelayHandler handler{
      {&relay.client, &relay.directory, &relay.stats, &relay.prefixes, &relay.selector,
       &relay.usage, &relay.metrics, &relay.evidence, &relay.part_evidence, &relay.prober,
       &relay.quota, &relay.limits, relay.Hooks(), &relay.memory, &forwarder},
      7};
  HttpServer server{relay.io.get_executor(), HttpLimits(),
                    [this](HttpExchange& exchange) { return handler.Handle(exchange); }};
  HttpServer forward_server{relay.io.get_executor(), HttpLimits(), [this](HttpExchange& exchange) {
                              return handler.HandleForwarded(exchange);
                            }};
  std::uint16_t port = 0;
};

// Refuses a request as a gateway that can't serve it.
EndpointBehavior RefuseAsUnfit() {
  return [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers{{"Request-Id", std::string(exchange.request().header("Request-Id"))},
                        {"Retry-After", "0.5"},
                        {kForwardHeader, kNotRunMark}};
    co_await exchange.Reply(503, std::move(headers), "refused");
  };
}

}  // namespace

// Guards against requests that a partitioned gateway refuses, sends to endpoints, or passes on
// changed, and against responses that it changes.
TEST_CASE("a partitioned gateway passes requests on unchanged", "[relay_forward]") {
  PartitionedRelay gateway;
  gateway.helper.behavior = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Other", "kept");
    co_await exchange.Reply(207, std::move(headers), "whole body");
  };
  const auto reply = gateway.Send("/order/", {{"X-Api-Key", "k1"}, {kForwardHeader, "g9 1 2"}});
  REQUIRE(reply);
  CHECK(reply.value().status == 207);
  CHECK(reply.value().body == "whole body");
  CHECK(FindHeader(reply.value().headers, "Other") == "kept");
  CHECK_FALSE(FindHeader(reply.value().headers, "Response-Stamp").empty());
  CHECK(FindHeader(reply.value().headers, kForwardHeader).empty());
  CHECK(gateway.endpoint_arrivals() == 0);
  CHECK(gateway.helper.arrivals == 1);
  const HttpRequest& request = gateway.helper.last;
  CHECK(request.target == "/order/");
  CHECK(request.body == "body");
  CHECK(request.header("Host") == "a.example");
  CHECK(request.header("X-Api-Key") == "k1");
  CHECK(std::stoi(std::string(request.header("Deadline-Ms"))) <= 1500);
  CHECK(gateway.forwarder.Verify(request, WallNow()) == "g1");
}

// Guards against a request that runs twice since its first helper may have run it.
TEST_CASE("what a helper may have run goes to no other", "[relay_forward]") {
  PartitionedRelay gateway;
  const EndpointBehavior close = [](HttpExchange&) -> Task<void> { co_return; };
  gateway.helper.behavior = close;
  gateway.second.behavior = close;
  for (const char* path : {"/order/", "/read/", "/once/"}) {
    const int before = gateway.helper.arrivals + gateway.second.arrivals;
    gateway.forwarder.SetHelpers({{kHelperHost, 1}, {kSecondHelperHost, 1}}, true, MonotonicNow());
    const auto reply = gateway.Send(path);
    REQUIRE(reply);
    CHECK(reply.value().status == 502);
    CHECK(gateway.helper.arrivals + gateway.second.arrivals == before + 1);
    std::this_thread::sleep_for(milliseconds(1100));
  }
}

// Guards against a request that is refused though another gateway can serve it, and against a
// refusal that is not passed back.
TEST_CASE("a request goes to a second helper if the first is unfit", "[relay_forward]") {
  PartitionedRelay gateway;
  SECTION("the other one serves it") {
    gateway.helper.behavior = RefuseAsUnfit();
    const auto reply = gateway.Send("/order/");
    REQUIRE(reply);
    CHECK(reply.value().status == 200);
    CHECK(gateway.second.arrivals == 1);
  }
  SECTION("both are unfit") {
    gateway.helper.behavior = RefuseAsUnfit();
    gateway.second.behavior = RefuseAsUnfit();
    const auto reply = gateway.Send("/order/");
    REQUIRE(reply);
    CHECK(reply.value().status == 503);
    CHECK(FindHeader(reply.value().headers, "Retry-After") == "0.5");
    CHECK(FindHeader(reply.value().headers, kForwardHeader).empty());
    CHECK(gateway.helper.arrivals + gateway.second.arrivals == 2);
  }
  SECTION("neither listens") {
    gateway.helper.server.StopAccepting();
    gateway.second_server.StopAccepting();
    const auto reply = gateway.Send("/order/");
    REQUIRE(reply);
    CHECK(reply.value().status == 503);
    CHECK_FALSE(FindHeader(reply.value().headers, "Retry-After").empty());
  }
  CHECK(gateway.endpoint_arrivals() == 0);
}

// Guards against circles between partitioned gateways, and against requests of others than
// gateways.
TEST_CASE("a forwarded request is not passed on again", "[relay_forward]") {
  PartitionedRelay gateway;
  const std::uint16_t port = gateway.forward_server.Listen({kHelperHost, 0}).value();
  HttpCall call = gateway.relay.MakeCall("/order/");
  call.address = {kHelperHost, port};
  const auto strange = gateway.relay.Send(call);
  REQUIRE(strange);
  CHECK(strange.value().status == 403);
  HttpRequest request;
  request.method = call.method;
  request.target = call.target;
  request.headers = call.headers;
  call.headers.push_back(gateway.forwarder.Sign(request, WallNow()));
  const auto refused = gateway.relay.Send(call);
  REQUIRE(refused);
  CHECK(refused.value().status == 503);
  CHECK(FindHeader(refused.value().headers, kForwardHeader) == kNotRunMark);
  CHECK(gateway.helper.arrivals + gateway.second.arrivals == 0);
  // Once this gateway reaches the endpoints, it serves the request like a caller's.
  for (int i = 0; i < 2; ++i) {
    gateway.reach.RecordProbes({"plain", ProbeKind::kReturn, 2}, 2, 2, MonotonicNow());
  }
  const auto served = gateway.relay.Send(call);
  REQUIRE(served);
  CHECK(served.value().status == 200);
  CHECK(gateway.relay.plain_arrivals() == 1);
  const HttpRequest& sent =
      gateway.relay.p1.arrivals > 0 ? gateway.relay.p1.last : gateway.relay.p2.last;
  CHECK(sent.header(kForwardHeader).empty());
  CHECK(FindHeader(served.value().headers, kForwardHeader).empty());
}

// Guards against a stream that is passed back incomplete and looks complete.
TEST_CASE("a forwarded stream ends as the helper ended it", "[relay_forward]") {
  PartitionedRelay gateway;
  gateway.helper.behavior = SendEvents(1, 3, true);
  gateway.second.behavior = gateway.helper.behavior;
  const auto whole = gateway.Send("/once/");
  REQUIRE(whole);
  CHECK(whole.value().body == Event(1) + Event(2) + Event(3));
  gateway.helper.behavior = SendEvents(1, 2, false);
  gateway.second.behavior = gateway.helper.behavior;
  CHECK_FALSE(gateway.Send("/once/"));
  CHECK(gateway.endpoint_arrivals() == 0);
}

// Guards against a helper that works on for a caller who has left.
TEST_CASE("the leaving of a caller reaches the helper", "[relay_forward]") {
  PartitionedRelay gateway;
  bool left = false;
  const EndpointBehavior wait = [&left](HttpExchange& exchange) -> Task<void> {
    exchange.WatchCaller([&left] { left = true; });
    const MonotonicTime end = MonotonicNow() + seconds(2);
    while (!left && MonotonicNow() < end) co_await Sleep(milliseconds(10));
    exchange.StopWatchingCaller();
  };
  gateway.helper.behavior = wait;
  gateway.second.behavior = wait;
  HttpCall call = gateway.relay.MakeCall("/order/");
  call.address = {kHelperHost, gateway.port};
  call.deadline = MonotonicNow() + milliseconds(200);
  const auto reply = gateway.relay.Send(std::move(call));
  CHECK_FALSE(reply);
  gateway.relay.io.run_for(milliseconds(200));
  CHECK(left);
}

// Guards against requests that are passed on or refused when endpoints are down for all gateways.
TEST_CASE("without any gateway that reaches endpoints, they are tried", "[relay_forward]") {
  PartitionedRelay gateway;
  gateway.forwarder.SetHelpers({}, true, MonotonicNow());
  const auto reply = gateway.Send("/order/");
  REQUIRE(reply);
  CHECK(reply.value().status == 200);
  CHECK(gateway.relay.plain_arrivals() == 1);
}

}  // namespace mimosabend::testing
