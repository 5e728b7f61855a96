#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace mimosabend::testing {

namespace {

// Both engines lack the model of the requests.
void UnloadModel(RelayFixture* relay) {
  for (const std::string id : {"e1", "e2"}) relay->directory.RecordRefusal(id, "m", MonotonicNow());
}

// Both engines have many prompts to process.
void MakeBusy(RelayFixture* relay) {
  for (const std::string id : {"e1", "e2"}) relay->stats.Start(id, {30, 1000000, 1000});
}

}  // namespace

// Guards against a request that waits to its deadline for a load that is far back in the leader's
// queue, against a refusal without that setting, and against one for weights that an engine has.
TEST_CASE("with forecasts, a request whose load is too far off is refused at once", "[relay]") {
  struct Round {
    bool forecast;
    bool on_disk;
  };
  const auto round = GENERATE(Round{false, false}, Round{true, false}, Round{true, true});
  CAPTURE(round.forecast, round.on_disk);
  RelayFixture relay;
  if (round.on_disk) {
    FleetEndpoint endpoint = relay.directory.Find("e1")->endpoint;
    endpoint.holdings.on_disk.push_back("m");
    relay.directory.Put(endpoint);
  }
  UnloadModel(&relay);
  relay.handler.SetWaitRules({round.forecast});
  const MonotonicTime start = MonotonicNow();
  relay.queued_load_end = start + seconds(9);
  const auto reply = relay.Send("/once/1");
  CHECK(reply.value().status == 503);
  CHECK(relay.engine_arrivals() == 0);
  const bool at_once = MonotonicNow() - start < milliseconds(300);
  CHECK(at_once == (round.forecast && !round.on_disk));
  const std::string refusals = "forecast_refusals_total " + std::to_string(at_once ? 1 : 0) + "\n";
  CHECK(relay.metrics.Expose().find(refusals) != std::string::npos);
  if (!at_once) return;
  // A request with 1,880 ms for its first event is let in when four fifths of the time to the end
  // of the load are less than that: 2,350 ms before it.
  const double wait = std::stod(std::string(FindHeader(reply.value().headers, "Retry-After")));
  CHECK(wait > 6.3);
  CHECK(wait < 7.1);
}

// Guards against a request that is sent to engines whose queue takes longer than its caller waits,
// against the refusal of one that has run or that goes before the queue, and against an engine that
// gets no request any more because its speed was estimated wrongly.
TEST_CASE("with forecasts, a request is not sent to engines that would be too late", "[relay]") {
  RelayFixture relay;
  FleetConfig config = Config();
  config.version = 2;
  for (Route& route : config.routes) route.priority = route.prefix == "/once/" ? 1 : 0;
  relay.directory.Adopt(config);
  relay.handler.SetWaitRules({true});
  const auto break_off = [&relay](HttpExchange& exchange) -> Task<void> {
    MakeBusy(&relay);
    co_await SendEvents(1, 2, false)(exchange);
  };
  relay.SetBehavior(break_off, SendEvents(3, 4, true));
  const auto resumed = relay.Send("/resumable/1");
  CHECK(resumed.value().body == Event(1) + Event(2) + Event(3) + Event(4));
  CHECK(relay.engine_arrivals() == 2);

  const auto refused = relay.Send("/once/1");
  CHECK(refused.value().status == 503);
  CHECK(relay.engine_arrivals() == 2);
  // Engines admit the most urgent requests before what others have queued.
  CHECK(relay.Send("/resumable/1").value().status == 200);
  relay.handler.SetWaitRules({false});
  CHECK(relay.Send("/once/1").value().status == 200);

  RelayFixture idle;
  idle.SetBehavior(SendEvents(1, 2, true), SendEvents(1, 2, true));
  idle.handler.SetWaitRules({true});
  HttpCall long_prompt = idle.MakeCall("/once/1");
  long_prompt.headers.back() = {"Token-Count", "90000,10"};
  CHECK(idle.Send(long_prompt).value().status == 200);
}

// Guards against urgent requests that are sent behind all those that have waited longer.
TEST_CASE("with forecasts, urgent requests are sent first when their model is loaded", "[relay]") {
  const bool forecast = GENERATE(false, true);
  RelayFixture relay;
  FleetConfig config = Config();
  config.version = 2;
  for (Route& route : config.routes) route.priority = route.prefix == "/once/" ? 3 : 0;
  relay.directory.Adopt(config);
  UnloadModel(&relay);
  relay.handler.SetWaitRules({forecast});
  std::vector<std::string> sent;
  relay.e1.behavior = [&sent](HttpExchange& exchange) -> Task<void> {
    sent.push_back(exchange.request().target);
    co_await SendEvents(1, 1, true)(exchange);
  };
  int answered = 0;
  const auto call = [&](std::string path) -> Task<void> {
    const auto reply = co_await relay.test_client.Call(relay.MakeCall(path));
    if (reply && reply.value().status == 200) ++answered;
  };
  for (const std::string path : {"/once/1", "/once/2", "/resumable/3"}) {
    boost::asio::co_spawn(relay.io, call(path), boost::asio::detached);
    relay.io.run_for(milliseconds(30));
  }
  CHECK(sent.empty());
  relay.Add(relay.e1, "models");
  relay.usage.endpoints_changed().NotifyAll();
  relay.io.run_for(milliseconds(200));
  CHECK(answered == 3);
  REQUIRE(sent.size() == 3);
  CHECK(sent[0] == (forecast ? "/resumable/3" : "/once/1"));
}

}  // namespace mimosabend::testing
