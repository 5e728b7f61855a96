#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace mimosabend::testing {

namespace {

// Whether the last request at an endpoint named `customer` and carried no API key.
bool GotOnlyCustomerName(const TestEndpoint& endpoint, const std::string& customer) {
  return endpoint.last.header("X-Api-Key").empty() && endpoint.last.header("Tenant") == customer;
}

}  // namespace

// Guards against requests that run without an API key or with an unknown one.
TEST_CASE("a request needs the API key of a customer", "[relay]") {
  RelayFixture relay;
  relay.directory.Adopt(ConfigWithCustomers());
  for (const char* path : {"/read/1", "/order/1", "/resumable/1"}) {
    for (const char* key : {"", "k3", "K1", "k1 k2", "k"}) {
      auto reply = relay.Send(MakeCallWithKey(relay, path, key));
      REQUIRE(reply);
      CHECK(reply.value().status == 401);
    }
  }
  CHECK(relay.plain_arrivals() + relay.engine_arrivals() == 0);
  // A stale configuration may lack a key that was added since, so the caller may retry.
  relay.config_may_be_stale = true;
  CHECK(relay.Send(MakeCallWithKey(relay, "/read/1", "k3")).value().status == 503);
  CHECK(relay.Send(MakeCallWithKey(relay, "/read/1", "k2")).value().status == 200);
  CHECK(relay.Send(MakeCallWithKey(relay, "/open/1", "")).value().status == 200);
  // A revoked key is refused from the next request on, on the same connection, too.
  relay.config_may_be_stale = false;
  FleetConfig revoked = ConfigWithCustomers();
  revoked.version = 3;
  revoked.customers.emplace();
  relay.directory.Adopt(revoked);
  CHECK(relay.Send(MakeCallWithKey(relay, "/read/1", "k2")).value().status == 401);
}

// Guards against API keys that reach endpoints and against customer names forged by callers, in
// each kind of attempt: first attempt, retry, resumed stream, and routes without keys.
TEST_CASE("an endpoint gets the customer's name and never the key", "[relay]") {
  RelayFixture relay;
  relay.directory.Adopt(ConfigWithCustomers());
  const auto check_all = [&](const std::string& customer) {
    for (const TestEndpoint* endpoint : {&relay.p1, &relay.p2, &relay.e1, &relay.e2}) {
      if (endpoint->arrivals > 0) CHECK(GotOnlyCustomerName(*endpoint, customer));
    }
  };
  const auto send = [&](const std::string& path, const std::string& key) {
    HttpCall call = MakeCallWithKey(relay, path, key);
    call.headers.emplace_back("Tenant", "forged");
    const auto reply = relay.Send(std::move(call));
    CHECK(reply.value().status == 200);
  };
  relay.SetBehavior(BreakConnection, Respond(200));
  send("/read/1", "k1");
  CHECK(relay.plain_arrivals() == 2);
  relay.SetBehavior(SendEvents(1, 2, false), SendEvents(3, 4, true));
  send("/resumable/1", "k1");
  CHECK(relay.engine_arrivals() == 2);
  check_all("cook");
  relay.SetBehavior(Respond(200), Respond(200));
  const int arrivals = relay.p1.arrivals;
  while (relay.p1.arrivals == arrivals) send("/open/1", "k1");
  CHECK(GotOnlyCustomerName(relay.p1, ""));
}

// Guards against requests over quota that reach an endpoint, and against requests that are refused
// for another reason but count against the quota.
TEST_CASE("a request over its customer's quota is refused at once", "[relay]") {
  RelayFixture relay;
  FleetConfig config = ConfigWithCustomers();
  const Customer limited{"mint", std::nullopt, {100, 100, QuotaUnit::kTokens, 0}};
  config.customers->Add(limited);
  config.customers->AddKey("mint", KeyDigest("k4"));
  relay.directory.Adopt(config);
  const MonotonicTime now = MonotonicNow();
  // The requests of the test have 110 tokens.
  relay.quota.SetShares({{CustomerNumber("mint"), 0, 0}}, 1, now, false);
  auto refused = relay.Send(MakeCallWithKey(relay, "/read/1", "k4"));
  REQUIRE(refused);
  CHECK(refused.value().status == 429);
  CHECK(std::stod(std::string(FindHeader(refused.value().headers, "Retry-After"))) >= 0.25);
  CHECK(relay.plain_arrivals() == 0);
  CHECK(relay.metrics.Expose().find("quota_refusals_total{priority=\"0\"} 1") != std::string::npos);
  CHECK(relay.Send(MakeCallWithKey(relay, "/read/1", "k2")).value().status == 200);
  std::vector<QuotaUsage> uses = relay.quota.TakeUsage();
  REQUIRE(uses.size() == 1);
  CHECK(uses.front().requested == 110);
  CHECK(uses.front().admitted == 0);
  relay.quota.SetShares({}, 1, now, false);
  CHECK(relay.Send(MakeCallWithKey(relay, "/read/1", "k4")).value().status == 200);
  CHECK(relay.quota.TakeUsage().front().admitted == 110);
  relay.SetBehavior(Respond(503, true), Respond(503, true));
  CHECK(relay.Send(MakeCallWithKey(relay, "/read/1", "k4")).value().status == 503);
  CHECK(relay.quota.TakeUsage().front().admitted == 0);
  // A request that was retried is charged once.
  relay.SetBehavior(BreakConnection, Respond(200));
  CHECK(relay.Send(MakeCallWithKey(relay, "/read/1", "k4")).value().status == 200);
  CHECK(relay.quota.TakeUsage().front().admitted == 110);
}

// Guards against a process that has just started and uses a customer's whole quota itself, and
// against requests that are refused although the usage becomes known after a short wait.
TEST_CASE("a request waits until the usage of its customer's quota is known", "[relay]") {
  RelayFixture relay;
  FleetConfig config = ConfigWithCustomers();
  config.customers->Add({"mint", std::nullopt, {100, 100, QuotaUnit::kTokens, 0}});
  config.customers->AddKey("mint", KeyDigest("k4"));
  relay.directory.Adopt(config);
  SECTION("usage becomes known") {
    const auto inform = [&]() -> Task<void> {
      co_await Sleep(milliseconds(150));
      // The demand is reported before the request is admitted.
      CHECK(relay.quota.TakeUsage().front().requested == 110);
      relay.quota.SetShares({}, 1, MonotonicNow(), false);
      relay.usage.endpoints_changed().NotifyAll();
    };
    boost::asio::co_spawn(relay.io, inform(), boost::asio::detached);
    CHECK(relay.Send(MakeCallWithKey(relay, "/read/1", "k4")).value().status == 200);
  }
  SECTION("usage stays unknown") {
    const auto refused = relay.Send(MakeCallWithKey(relay, "/read/1", "k4"));
    CHECK(refused.value().status == 503);
    CHECK(std::stod(std::string(FindHeader(refused.value().headers, "Retry-After"))) >= 1);
    CHECK(relay.plain_arrivals() == 0);
  }
  // Customers without a quota don't wait.
  const MonotonicTime before = MonotonicNow();
  CHECK(relay.Send(MakeCallWithKey(relay, "/read/1", "k2")).value().status == 200);
  CHECK(MonotonicNow() - before < seconds(1));
}

// Guards against a customer's priority that is ignored.
TEST_CASE("the priority of a customer overrides that of the route", "[relay]") {
  RelayFixture relay;
  FleetConfig config = ConfigWithCustomers();
  for (Route& route : config.routes) route.priority = 3;
  relay.directory.Adopt(config);
  relay.SetBehavior(SendEvents(1, 1, true), SendEvents(1, 1, true));
  const auto priority_for = [&](const std::string& key) {
    const int before = relay.e1.arrivals;
    CHECK(relay.Send(MakeCallWithKey(relay, "/resumable/1", key)).value().status == 200);
    const TestEndpoint& used = relay.e1.arrivals > before ? relay.e1 : relay.e2;
    return std::string(used.last.header("Request-Priority"));
  };
  CHECK(priority_for("k1") == "0");
  CHECK(priority_for("k2") == "3");
}

}  // namespace mimosabend::testing
