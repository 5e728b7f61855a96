#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "relay_world.h"

namespace mimosabend::testing {

namespace {

// Whether an endpoint got the key, or another customer's name than `customer`, in its last request.
bool IsCleanFor(const TestEndpoint& endpoint, const std::string& customer) {
  return endpoint.last.header("X-Api-Key").empty() && endpoint.last.header("Tenant") == customer;
}

}  // namespace

// Guards against requests that run without a key, and against keys that are unknown and served.
TEST_CASE("a request needs the key of a customer", "[relay]") {
  Relay relay;
  relay.directory.Adopt(ConfigWithCustomers());
  for (const char* path : {"/read/1", "/order/1", "/resumable/1"}) {
    for (const char* key : {"", "k3", "K1", "k1 k2", "k"}) {
      auto reply = relay.Send(CallWithKey(relay, path, key));
      REQUIRE(reply);
      CHECK(reply.value().status == 401);
    }
  }
  CHECK(relay.plain_arrivals() + relay.engine_arrivals() == 0);
  // An old configuration may lack a key that has been added since.
  relay.old_config = true;
  CHECK(relay.Send(CallWithKey(relay, "/read/1", "k3")).value().status == 503);
  CHECK(relay.Send(CallWithKey(relay, "/read/1", "k2")).value().status == 200);
  CHECK(relay.Send(CallWithKey(relay, "/open/1", "")).value().status == 200);
  // A key that was taken away is refused with the next request on the same connection.
  relay.old_config = false;
  FleetConfig revoked = ConfigWithCustomers();
  revoked.version = 3;
  revoked.customers.emplace();
  relay.directory.Adopt(revoked);
  CHECK(relay.Send(CallWithKey(relay, "/read/1", "k2")).value().status == 401);
}

// Guards against keys that reach endpoints and against customers that callers make up, on each way
// on which a request is sent: first try, repeat, resumed stream, and routes without keys.
TEST_CASE("an endpoint gets the customer's name and never the key", "[relay]") {
  Relay relay;
  relay.directory.Adopt(ConfigWithCustomers());
  const auto check_all = [&](const std::string& customer) {
    for (const TestEndpoint* endpoint : {&relay.p1, &relay.p2, &relay.e1, &relay.e2}) {
      if (endpoint->arrivals > 0) CHECK(IsCleanFor(*endpoint, customer));
    }
  };
  const auto send = [&](const std::string& path, const std::string& key) {
    HttpCall call = CallWithKey(relay, path, key);
    call.headers.emplace_back("Tenant", "forged");
    const auto reply = relay.Send(std::move(call));
    CHECK(reply.value().status == 200);
  };
  relay.Behave(Break, Answer(200));
  send("/read/1", "k1");
  CHECK(relay.plain_arrivals() == 2);
  relay.Behave(Stream(1, 2, false), Stream(3, 4, true));
  send("/resumable/1", "k1");
  CHECK(relay.engine_arrivals() == 2);
  check_all("cook");
  relay.Behave(Answer(200), Answer(200));
  const int arrivals = relay.p1.arrivals;
  while (relay.p1.arrivals == arrivals) send("/open/1", "k1");
  CHECK(IsCleanFor(relay.p1, ""));
}

// Guards against requests beyond a quota that take a place at an endpoint, and against requests
// that are refused for another reason and use up the quota.
TEST_CASE("a request beyond its customer's quota is refused at once", "[relay]") {
  Relay relay;
  FleetConfig config = ConfigWithCustomers();
  const Customer limited{"mint", std::nullopt, {100, 100, QuotaUnit::kTokens, 0}};
  config.customers->Add(limited);
  config.customers->AddKey("mint", KeyDigest("k4"));
  relay.directory.Adopt(config);
  const MonotonicTime now = MonotonicNow();
  // The requests of the test have 110 tokens.
  relay.quota.SetShares({{CustomerNumber("mint"), 0}}, 1, now);
  auto refused = relay.Send(CallWithKey(relay, "/read/1", "k4"));
  REQUIRE(refused);
  CHECK(refused.value().status == 429);
  CHECK(std::stod(std::string(FindHeader(refused.value().headers, "Retry-After"))) >= 0.25);
  CHECK(relay.plain_arrivals() == 0);
  CHECK(relay.Send(CallWithKey(relay, "/read/1", "k2")).value().status == 200);
  std::vector<QuotaUse> uses = relay.quota.Take();
  REQUIRE(uses.size() == 1);
  CHECK(uses.front().asked == 110);
  CHECK(uses.front().spent == 0);
  relay.quota.SetShares({}, 1, now);
  CHECK(relay.Send(CallWithKey(relay, "/read/1", "k4")).value().status == 200);
  CHECK(relay.quota.Take().front().spent == 110);
  relay.Behave(Answer(503, true), Answer(503, true));
  CHECK(relay.Send(CallWithKey(relay, "/read/1", "k4")).value().status == 503);
  CHECK(relay.quota.Take().front().spent == 0);
  // A repeat of ours counts once.
  relay.Behave(Break, Answer(200));
  CHECK(relay.Send(CallWithKey(relay, "/read/1", "k4")).value().status == 200);
  CHECK(relay.quota.Take().front().spent == 110);
}

// Guards against a process that has just started and takes a customer's whole quota for its own,
// and against requests that are refused for a wait of a moment.
TEST_CASE("a request waits until the use of its customer's quota is known", "[relay]") {
  Relay relay;
  FleetConfig config = ConfigWithCustomers();
  config.customers->Add({"mint", std::nullopt, {100, 100, QuotaUnit::kTokens, 0}});
  config.customers->AddKey("mint", KeyDigest("k4"));
  relay.directory.Adopt(config);
  SECTION("news come") {
    const auto inform = [&]() -> Task<void> {
      co_await Sleep(milliseconds(150));
      // What is asked for is reported before it is admitted.
      CHECK(relay.quota.Take().front().asked == 110);
      relay.quota.SetShares({}, 1, MonotonicNow());
      relay.board.changed().NotifyAll();
    };
    boost::asio::co_spawn(relay.io, inform(), boost::asio::detached);
    CHECK(relay.Send(CallWithKey(relay, "/read/1", "k4")).value().status == 200);
  }
  SECTION("no news come") {
    const auto refused = relay.Send(CallWithKey(relay, "/read/1", "k4"));
    CHECK(refused.value().status == 503);
    CHECK(std::stod(std::string(FindHeader(refused.value().headers, "Retry-After"))) >= 1);
    CHECK(relay.plain_arrivals() == 0);
  }
  // Those without a limit don't wait.
  const MonotonicTime before = MonotonicNow();
  CHECK(relay.Send(CallWithKey(relay, "/read/1", "k2")).value().status == 200);
  CHECK(MonotonicNow() - before < seconds(1));
}

// Guards against a customer's priority that is not heeded.
TEST_CASE("the priority of a customer goes before that of the route", "[relay]") {
  Relay relay;
  FleetConfig config = ConfigWithCustomers();
  for (Route& route : config.routes) route.priority = 3;
  relay.directory.Adopt(config);
  relay.Behave(Stream(1, 1, true), Stream(1, 1, true));
  const auto priority_for = [&](const std::string& key) {
    const int before = relay.e1.arrivals;
    CHECK(relay.Send(CallWithKey(relay, "/resumable/1", key)).value().status == 200);
    const TestEndpoint& used = relay.e1.arrivals > before ? relay.e1 : relay.e2;
    return std::string(used.last.header("Request-Priority"));
  };
  CHECK(priority_for("k1") == "0");
  CHECK(priority_for("k2") == "3");
}

}  // namespace mimosabend::testing
