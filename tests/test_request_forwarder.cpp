#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "forward_helpers.h"
#include "request_forwarder.h"

namespace mimosabend::testing {

namespace {

DaemonInfo Daemon(int number, const std::string& domain, std::uint8_t cut_off) {
  return {{"10.0.0." + std::to_string(number), 7380}, domain, 100, cut_off};
}

HttpRequest Request() {
  HttpRequest request;
  request.method = "POST";
  request.target = "/order/1";
  request.headers = {{"Host", "a.example"}, {"Request-Id", "9c41"}};
  request.body = "body";
  return request;
}

}  // namespace

// Guards against a request that may have run and is sent to a second gateway, and against one that
// is sent on and on.
TEST_CASE("only what has not run is passed on once more", "[request_forwarder]") {
  CHECK(DecideForward(ForwardEnd::kUnknown, 1) == ForwardAction::kFail);
  CHECK(DecideForward(ForwardEnd::kUnknown, kMaxForwards) == ForwardAction::kFail);
  CHECK(DecideForward(ForwardEnd::kAnswered, 1) == ForwardAction::kReturnResponse);
  CHECK(DecideForward(ForwardEnd::kNotSent, 1) == ForwardAction::kTryNext);
  CHECK(DecideForward(ForwardEnd::kNotRun, 1) == ForwardAction::kTryNext);
  CHECK(DecideForward(ForwardEnd::kNotSent, kMaxForwards) == ForwardAction::kRefuse);
  CHECK(DecideForward(ForwardEnd::kNotRun, kMaxForwards) == ForwardAction::kReturnResponse);
}

// Guards against requests of strangers and of other fleets, replays, and changed requests that are
// taken for those of a gateway.
TEST_CASE("forwarded requests are authenticated", "[request_forwarder]") {
  boost::asio::io_context io;
  HttpClient client(io.get_executor());
  EndpointReach reach;
  const auto contacts = [] { return std::vector<Address>(); };
  const RequestForwarder sender(&client, &reach, {"edge a 1", "key", 1}, contacts);
  const RequestForwarder stranger(&client, &reach, {"edge a 1", "other key", 1}, contacts);
  const WallTime now = WallNow();
  HttpRequest request = Request();
  CHECK_FALSE(sender.Verify(request, now));
  request.headers.push_back(sender.Sign(request, now));
  CHECK(sender.Verify(request, now) == "edge a 1");
  CHECK_FALSE(stranger.Verify(request, now));
  CHECK_FALSE(sender.Verify(request, now + seconds(60)));
  HttpRequest changed = request;
  changed.body = "other";
  CHECK_FALSE(sender.Verify(changed, now));
  changed = request;
  changed.target = "/order/2";
  CHECK_FALSE(sender.Verify(changed, now));
  for (const char* value : {"", " ", "x", "a b", "a 1 2"}) {
    changed = Request();
    changed.headers.emplace_back(kForwardHeader, value);
    CHECK_FALSE(sender.Verify(changed, now));
  }
}

// Guards against a gateway that is partitioned itself, or that stops, being named as a helper; and
// against all partitioned gateways burdening the same one.
TEST_CASE("helpers reach more endpoints, and the load spreads", "[request_forwarder]") {
  std::vector<DaemonInfo> daemons;
  for (int i = 0; i < 40; ++i) daemons.push_back(Daemon(i, i < 20 ? "a" : "b", 0));
  for (int i = 0; i < 10; ++i) daemons[i].cut_off = 3;
  daemons[39].cut_off = kNoHelper;
  std::map<Address, int> named;
  for (int i = 0; i < 10; ++i) {
    for (const Address& helper : ChooseHelpers(daemons, daemons[i], kMaxHelpers)) ++named[helper];
  }
  int most = 0;
  for (const auto& [address, count] : named) {
    CHECK(address != daemons[39].address);
    for (int i = 0; i < 10; ++i) CHECK(address != daemons[i].address);
    most = std::max(most, count);
  }
  CHECK(named.size() >= 8);
  CHECK(most < 10);
  // Half of the domain is sound, so helpers are in it.
  const auto near = ChooseHelpers(daemons, daemons[0], kMaxHelpers);
  CHECK(near.size() == kMaxHelpers);
  for (int i = 20; i < 40; ++i) {
    CHECK(std::find(near.begin(), near.end(), daemons[i].address) == near.end());
  }
  // Of a domain that is partitioned but for one, that one is not preferred.
  for (int i = 0; i < 19; ++i) daemons[i].cut_off = 3;
  int last = 0;
  for (int i = 0; i < 19; ++i) {
    const auto helpers = ChooseHelpers(daemons, daemons[i], kMaxHelpers);
    last += std::count(helpers.begin(), helpers.end(), daemons[19].address) > 0 ? 1 : 0;
  }
  CHECK(last < 15);
}

// Guards against a helper that is tried again for the same request or right after it failed, and
// against requests that wait for a helper when endpoints are down for all gateways.
TEST_CASE("helpers are tried in turn", "[request_forwarder]") {
  const Address a{"10.0.0.1", 1};
  const Address b{"10.0.0.2", 1};
  const Address relay{"10.0.0.3", 1};
  MonotonicTime now{seconds(100)};
  HelperList helpers;
  CHECK(helpers.Next({relay}, {}, now) == relay);
  helpers.SetNamed({a, b}, true, now);
  const auto first = helpers.Next({relay}, {}, now);
  REQUIRE(first);
  CHECK(helpers.Next({relay}, {*first}, now) != first);
  CHECK(helpers.Next({relay}, {a, b}, now) == std::nullopt);
  helpers.RecordFailure(a, now);
  for (int i = 0; i < 4; ++i) CHECK(helpers.Next({}, {}, now) == b);
  now += seconds(2);
  CHECK((helpers.Next({}, {b}, now) == a));
  CHECK_FALSE(helpers.NobodyReaches(now));
  helpers.SetNamed({}, true, now);
  CHECK(helpers.NobodyReaches(now));
  helpers.SetNamed({}, false, now);
  CHECK_FALSE(helpers.NobodyReaches(now));
  CHECK(helpers.Next({relay}, {}, now) == relay);
}

}  // namespace mimosabend::testing
