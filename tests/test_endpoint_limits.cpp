#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

#include "directory_log.h"
#include "endpoint_limits.h"
#include "fleet_usage.h"
#include "permit_issuer.h"
#include "platform/request_headers.h"
#include "relay_fixture.h"

namespace mimosabend::testing {

namespace {

const MonotonicTime kNow = MonotonicTime() + seconds(100000);

MonotonicTime After(int millis) { return kNow + milliseconds(millis); }

// What a response with these headers states.
platform::StatedRateLimit Stated(const std::vector<std::string>& values) {
  HttpHeaders headers{{"Content-Type", "text/plain"}};
  for (const std::string& value : values) headers.emplace_back("Server-Limit", value);
  return platform::RateLimit(headers);
}

// The permits granted for demands every 10 ms over `time`.
int Granted(PermitIssuer* issuer, const PermitDemand& demand, MonotonicTime from, milliseconds time,
            bool confirmed = true) {
  int granted = 0;
  for (milliseconds t{0}; t < time; t += milliseconds(10)) {
    if (issuer->Decide(demand, confirmed, from + t).granted) ++granted;
  }
  return granted;
}

std::uint32_t Number(const TestEndpoint& endpoint) { return EndpointNumber(endpoint.id, 0); }

// Makes a relay know the limits of endpoints.
void Limit(RelayFixture* relay, const std::vector<const TestEndpoint*>& endpoints) {
  const MonotonicTime now = MonotonicNow();
  for (const TestEndpoint* endpoint : endpoints) {
    relay->limits.RecordResponse(Number(*endpoint), 1, now, now);
  }
}

// Responds with a whole body and a rate limit.
EndpointBehavior State(const std::string& limit) {
  return [limit](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Server-Limit", limit);
    co_await exchange.Reply(200, std::move(headers), "whole body");
  };
}

// Denies all permits from now on, and then does `behavior`.
EndpointBehavior DenyThen(RelayFixture* relay, EndpointBehavior behavior) {
  return [relay, behavior = std::move(behavior)](HttpExchange& exchange) -> Task<void> {
    relay->permit_answer = {false, 5000};
    co_await behavior(exchange);
  };
}

}  // namespace

// Guards against a limit that is misread: one that is not a number counts as absent, not as zero,
// and of two the lower one counts.
TEST_CASE("a stated rate limit is parsed", "[limits]") {
  CHECK_FALSE(Stated({}).present);
  CHECK(Stated({"0"}).rate == 0);
  CHECK(Stated({"0.25"}).rate == 0.25);
  CHECK(Stated({" 40 "}).rate == 40);
  CHECK(Stated({"1e400"}).rate == std::numeric_limits<double>::max());
  for (const char* text : {"-1", "-0.5", "nan", "inf", "-inf", "", " ", "x", "3x", "0x10", "1,5"}) {
    CAPTURE(text);
    CHECK(Stated({text}).present);
    CHECK_FALSE(Stated({text}).rate);
  }
  CHECK(Stated({"5", "2"}).rate == 2);
  CHECK(Stated({"2", "5"}).rate == 2);
  CHECK(Stated({"x", "5"}).rate == 5);
}

// Guards against a rate of zero, after which no response could state the end of the limit, and
// against rates that overflow.
TEST_CASE("a limit is kept within bounds", "[limits]") {
  EndpointLimits limits;
  CHECK_FALSE(limits.RecordResponse(1, std::nullopt, kNow, kNow));
  CHECK(limits.RecordResponse(1, 0, kNow, kNow));
  CHECK(limits.Rate(1) == Approx(EndpointLimits::kMinRate));
  CHECK(limits.RecordResponse(2, std::numeric_limits<double>::max(), kNow, kNow));
  CHECK(limits.Rate(2) == EndpointLimits::kMaxRate);
  CHECK(limits.RecordResponse(3, 2.5, kNow, kNow));
  CHECK(limits.Rate(3) == 2.5);
  CHECK_FALSE(limits.Rate(4));
  CHECK(limits.size() == 3);
}

// Guards against a limit that is lifted by a response to a request from before it was stated, and
// against one that is not lifted by a later one.
TEST_CASE("a response ends a limit only if its request was sent after the limit was stated",
          "[limits]") {
  EndpointLimits limits;
  limits.RecordResponse(1, 3, After(0), After(50));
  limits.RecordResponse(1, 2, After(10), After(60));
  CHECK_FALSE(limits.RecordResponse(1, std::nullopt, After(5), After(3000)));
  CHECK_FALSE(limits.RecordResponse(1, std::nullopt, After(60), After(3000)));
  CHECK(limits.Rate(1) == 2);
  CHECK(limits.RecordResponse(1, std::nullopt, After(61), After(3000)));
  CHECK_FALSE(limits.Rate(1));
  // A limit holds at once if it is stated again.
  CHECK(limits.RecordResponse(1, 2, After(61), After(3001)));
  CHECK(limits.Rate(1) == 2);
}

// Guards against a lowered limit that is raised again, here and at other daemons, by a response
// that was on its way for seconds. The rate of 40 was at the leader 2.4 times the users' bound.
TEST_CASE("a late response does not raise a lowered limit", "[limits]") {
  EndpointLimits fast;
  fast.RecordResponse(1, 40, After(0), After(50));
  CHECK(fast.RecordResponse(1, 0.5, After(80), After(100)));
  CHECK_FALSE(fast.RecordResponse(1, 40, After(90), After(2000)));
  CHECK(fast.Rate(1) == 0.5);
  EndpointLimits slow;
  CHECK(slow.RecordResponse(1, 40, After(90), After(2000)));
  CHECK_FALSE(fast.Adopt(*slow.Notice(1, After(2000)), After(2010)));
  CHECK(fast.Rate(1) == 0.5);
  CHECK(slow.Adopt(*fast.Notice(1, After(2010)), After(2020)));
  CHECK(slow.Rate(1) == 0.5);
  CHECK(fast.RecordResponse(1, 40, After(2500), After(2600)));
  CHECK(fast.Rate(1) == 40);
}

// Guards against limits that come back after their end by older notices, and against notices that
// end a limit although they were only late.
TEST_CASE("only newer notices are adopted", "[limits]") {
  EndpointLimits limits;
  CHECK(limits.Adopt({1, 3, 100}, After(100)));
  CHECK(limits.Rate(1) == 3);
  CHECK_FALSE(limits.Adopt({1, 2, 200}, After(150)));
  CHECK(limits.Rate(1) == 3);
  CHECK(limits.Adopt({1, 2, 0}, After(150)));
  // The end must be newer by the time that its notice may have been under way.
  const auto delay = static_cast<int>(EndpointLimits::kMaxNoticeDelay.count());
  CHECK_FALSE(limits.Adopt({1, LimitNotice::kNoLimit, 0}, After(150 + delay)));
  CHECK(limits.Rate(1) == 2);
  CHECK(limits.Adopt({1, LimitNotice::kNoLimit, 0}, After(151 + delay)));
  CHECK_FALSE(limits.Rate(1));
  CHECK_FALSE(limits.Adopt({1, 3, 5000}, After(3000)));
  CHECK_FALSE(limits.Rate(1));
  CHECK(limits.Adopt({1, 3, 0}, After(3000)));
  CHECK_FALSE(limits.Adopt({2, std::numeric_limits<float>::quiet_NaN(), 0}, kNow));
  CHECK(limits.Adopt({2, std::numeric_limits<float>::infinity(), 0}, kNow));
  CHECK(limits.Rate(2) == EndpointLimits::kMaxRate);
  CHECK_FALSE(limits.Rate(9));
}

// Guards against a notice of the same rate that counts as a change each time, since other daemons
// get the rate with less precision.
TEST_CASE("a notice of the known rate is no change", "[limits]") {
  EndpointLimits one;
  EndpointLimits other;
  one.RecordResponse(1, 0.3, kNow, kNow);
  other.Adopt(*one.Notice(1, kNow), kNow);
  CHECK(one.Rate(1) == other.Rate(1));
  CHECK_FALSE(one.RecordResponse(1, 0.3, After(10), After(20)));
  CHECK_FALSE(other.Adopt(*one.Notice(1, After(30)), After(30)));
}

// Guards against a table that grows without bound, and against one full of ended limits that takes
// no new one.
TEST_CASE("the table of limits is bounded", "[limits]") {
  EndpointLimits limits;
  const auto bound = static_cast<std::uint32_t>(EndpointLimits::kMaxEndpoints);
  for (std::uint32_t i = 0; i < bound; ++i) CHECK(limits.RecordResponse(i, 1, kNow, kNow));
  CHECK_FALSE(limits.RecordResponse(bound, 1, kNow, kNow));
  CHECK_FALSE(limits.Adopt({bound, 1, 0}, kNow));
  CHECK(limits.Notices(kNow).size() == bound);
  CHECK(limits.RecordResponse(5, std::nullopt, After(10), After(20)));
  CHECK(limits.RecordResponse(bound, 1, After(10), After(20)));
  CHECK(limits.Rate(bound) == 1);
  CHECK(limits.Notices(kNow).size() == bound);
}

// Guards against an end that is forgotten while older notices may still come, and against limits
// of endpoints or incarnations that no longer exist.
TEST_CASE("ended limits and those of unknown endpoints are dropped", "[limits]") {
  EndpointLimits limits;
  limits.RecordResponse(1, 1, kNow, kNow);
  limits.RecordResponse(2, 1, kNow, kNow);
  limits.RecordResponse(1, std::nullopt, After(1), After(2));
  const auto lifetime = static_cast<int>(EndpointLimits::kEndedLifetime.count());
  limits.PruneExpired(After(lifetime));
  CHECK(limits.Notice(1, After(lifetime)));
  limits.PruneExpired(After(lifetime + 1));
  CHECK_FALSE(limits.Notice(1, After(lifetime + 1)));
  CHECK_FALSE(limits.Adopt({1, LimitNotice::kNoLimit, static_cast<std::uint32_t>(lifetime)},
                           After(lifetime + 1)));
  // A limit in force is kept for any time.
  CHECK(limits.Rate(2) == 1);
  CHECK_FALSE(EndpointNumber("e1", 1000) == EndpointNumber("e1", 2000));
  limits.RecordResponse(EndpointNumber("e1", 1000), 1, kNow, kNow);
  CHECK_FALSE(limits.Rate(EndpointNumber("e1", 2000)));
  limits.KeepIf([](std::uint32_t number) { return number == 2; });
  CHECK(limits.size() == 1);
}

// Guards against a new leader that adds a burst to what its predecessor issued.
TEST_CASE("a bucket starts empty and issues at the rate", "[limits]") {
  PermitIssuer issuer;
  CHECK_FALSE(issuer.Decide({1, 10, 0}, true, kNow).granted);
  CHECK(Granted(&issuer, {1, 10, 0}, kNow, seconds(4)) <= 40);
  CHECK(Granted(&issuer, {1, 10, 0}, After(4000), seconds(4)) >= 39);
  // Endpoints don't share permits.
  CHECK(Granted(&issuer, {2, 10, 0}, After(4000), seconds(4)) >= 39);
  issuer.Reset();
  CHECK_FALSE(issuer.Decide({1, 10, 0}, true, After(8000)).granted);
}

// Guards against bursts beyond what the users allow after an endpoint was idle, and against those
// from a rate that was raised by mistake.
TEST_CASE("the burst of a bucket is bounded", "[limits]") {
  PermitIssuer issuer;
  for (const double rate : {0.5, 40.0, 1000.0}) {
    CAPTURE(rate);
    issuer.Reset();
    issuer.Decide({1, rate, 0}, true, kNow);
    const int granted = Granted(&issuer, {1, rate, 0}, After(60000), seconds(4));
    CHECK(granted <= rate * 4.25 + 3);
  }
  issuer.Reset();
  issuer.Decide({1, 0.5, 0}, true, kNow);
  CHECK(Granted(&issuer, {1, 40, 0}, After(4000), milliseconds(10)) <= 2);
}

// Guards against a former leader that, together with its successor, exceeds what the users allow.
TEST_CASE("an unconfirmed leader issues a quarter of the rate", "[limits]") {
  PermitIssuer issuer;
  issuer.Decide({1, 40, 0}, false, kNow);
  const int granted = Granted(&issuer, {1, 40, 0}, kNow, seconds(4), false);
  CHECK(granted <= 40);
  CHECK(granted >= 38);
}

// Guards against an urgent request that finds no permit because less urgent ones took them all.
TEST_CASE("permits are kept for priority 0", "[limits]") {
  PermitIssuer issuer;
  Granted(&issuer, {1, 40, 2}, kNow, milliseconds(2010));
  CHECK_FALSE(issuer.Decide({1, 40, 2}, true, After(2000)).granted);
  for (int i = 0; i < 3; ++i) CHECK(issuer.Decide({1, 40, 0}, true, After(2000)).granted);
}

// Guards against daemons that are turned away and all return at the same time, and against those
// that stay away for longer than the limit's bucket takes to fill.
TEST_CASE("daemons that are turned away return one after the other", "[limits]") {
  for (const double rate : {0.1, 1.0, 40.0}) {
    PermitIssuer issuer;
    milliseconds last(0);
    const double interval =
        1000 / std::max(PermitIssuer::kMaxDemandsPerSecond, rate * PermitIssuer::kDemandsPerPermit);
    for (int i = 0; i < 340; ++i) {
      const PermitDecision decision = issuer.Decide({1, rate, 0}, true, kNow);
      CAPTURE(rate, i, decision.retry_after.count());
      CHECK_FALSE(decision.granted);
      CHECK(decision.retry_after >= PermitIssuer::kMinRetryAfter);
      CHECK(decision.retry_after <= PermitIssuer::kMaxRetryAfter);
      if (i > 0 && last > PermitIssuer::kMinRetryAfter) {
        const auto spread = static_cast<double>((decision.retry_after - last).count());
        CHECK((spread >= std::floor(interval) ||
               decision.retry_after == PermitIssuer::kMaxRetryAfter));
      }
      last = decision.retry_after;
    }
  }
}

// Guards against buckets that are never dropped.
TEST_CASE("an unused bucket is dropped and starts empty", "[limits]") {
  PermitIssuer issuer;
  issuer.Decide({1, 10, 0}, true, kNow);
  CHECK(issuer.Decide({1, 10, 0}, true, After(59000)).granted);
  issuer.PruneExpired(After(119000));
  CHECK_FALSE(issuer.Decide({1, 10, 0}, true, After(119000)).granted);
}

// Guards against messages whose fields are encoded and decoded differently.
TEST_CASE("limits and permits survive encoding", "[limits]") {
  const auto request = Decode<PermitRequest>(Encode(PermitRequest{{7, 0.5, 1200}, 2}));
  REQUIRE(request);
  CHECK(request->limit.number == 7);
  CHECK(request->limit.rate == 0.5);
  CHECK(request->limit.age_ms == 1200);
  CHECK(request->priority == 2);
  const auto answer = Decode<PermitAnswer>(Encode(PermitAnswer{true, 350}));
  REQUIRE(answer);
  CHECK(answer->granted);
  CHECK(answer->retry_after_ms == 350);
  UsageReport report;
  report.limits = {{7, 0.5, 1200}, {8, LimitNotice::kNoLimit, 3}};
  const auto decoded_report = Decode<UsageReport>(Encode(report));
  REQUIRE(decoded_report);
  REQUIRE(decoded_report->limits.size() == 2);
  CHECK(decoded_report->limits[0].rate == 0.5);
  CHECK(decoded_report->limits[1].rate == LimitNotice::kNoLimit);
  UsageAnswer usage;
  usage.limits = report.limits;
  const auto decoded_usage = Decode<UsageAnswer>(Encode(usage));
  REQUIRE(decoded_usage);
  REQUIRE(decoded_usage->limits.size() == 2);
  CHECK(decoded_usage->limits[1].number == 8);
  CHECK(decoded_usage->limits[1].age_ms == 3);
}

// Guards against requests to a limited endpoint without a permit while another endpoint is free.
TEST_CASE("a limited endpoint gets requests only with a permit", "[limits]") {
  RelayFixture relay;
  Limit(&relay, {&relay.p1});
  relay.permit_answer = {false, 500};
  for (int i = 0; i < 10; ++i) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.p1.arrivals == 0);
  CHECK(relay.p2.arrivals == 10);
  // A daemon that was turned away does not ask before the time that it was told.
  CHECK(relay.permit_requests == 1);
  relay.io.run_for(milliseconds(600));
  relay.permit_answer = {true, 0};
  relay.permit_requests = 0;
  const EndpointBehavior state = State("1");
  relay.p1.behavior = state;
  for (int i = 0; i < 20; ++i) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.p1.arrivals > 0);
  CHECK(relay.p1.arrivals == relay.permit_requests);
}

// Guards against the same for streams.
TEST_CASE("a limited engine gets streams only with a permit", "[limits]") {
  RelayFixture relay;
  relay.SetBehavior(SendEvents(1, 1, true), SendEvents(1, 1, true));
  Limit(&relay, {&relay.e1});
  relay.permit_answer = {false, 5000};
  for (int i = 0; i < 10; ++i) CHECK(relay.Send("/resumable/1").value().status == 200);
  CHECK(relay.e1.arrivals == 0);
  CHECK(relay.e2.arrivals == 10);
}

// Guards against a request that must not run twice and waits, runs, or is refused with a time at
// which no permit can be expected.
TEST_CASE("an order is refused at once if no endpoint has a permit", "[limits]") {
  RelayFixture relay;
  Limit(&relay, {&relay.p1, &relay.p2});
  relay.permit_answer = {false, 2500};
  const MonotonicTime start = MonotonicNow();
  const auto reply = relay.Send("/order/1");
  REQUIRE(reply);
  CHECK(reply.value().status == 503);
  CHECK(MonotonicNow() - start < milliseconds(500));
  const double retry_after =
      std::stod(std::string(FindHeader(reply.value().headers, "Retry-After")));
  CHECK(retry_after >= 2);
  CHECK(retry_after <= 3.5);
  CHECK(relay.plain_arrivals() == 0);
}

// Guards against retries that are sent without a permit of their own.
TEST_CASE("a retry needs a permit", "[limits]") {
  for (const bool granted : {true, false}) {
    CAPTURE(granted);
    RelayFixture relay;
    Limit(&relay, {&relay.p1, &relay.p2});
    const EndpointBehavior first =
        granted ? EndpointBehavior(BreakConnection) : DenyThen(&relay, BreakConnection);
    relay.SetBehavior(first, Respond(200));
    const auto reply = relay.Send("/read/1");
    REQUIRE(reply);
    CHECK((reply.value().status == 200) == granted);
    CHECK(relay.plain_arrivals() == (granted ? 2 : 1));
    CHECK(relay.permit_requests == 2);
  }
}

// Guards against resumed streams that are sent without a permit of their own.
TEST_CASE("a resumed stream needs a permit", "[limits]") {
  for (const bool granted : {true, false}) {
    CAPTURE(granted);
    RelayFixture relay;
    Limit(&relay, {&relay.e1, &relay.e2});
    const EndpointBehavior broken = SendEvents(1, 2, false);
    const EndpointBehavior first = granted ? broken : DenyThen(&relay, broken);
    relay.SetBehavior(first, SendEvents(3, 4, true));
    const auto reply = relay.Send("/resumable/1");
    CHECK(reply.has_value() == granted);
    CHECK(relay.engine_arrivals() == (granted ? 2 : 1));
    CHECK(relay.permit_requests == 2);
  }
}

// Guards against a permit that is used after it expired, when others were issued in its place.
TEST_CASE("an expired permit is not used", "[limits]") {
  RelayFixture relay;
  Limit(&relay, {&relay.p1});
  relay.permit_time = milliseconds(450);
  while (relay.permit_requests == 0) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.p1.arrivals == 0);
  relay.permit_time = milliseconds(0);
  relay.io.run_for(milliseconds(100));
  relay.permit_requests = 0;
  while (relay.permit_requests == 0) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.p1.arrivals == 1);
}

// Guards against a request that asks for permits in turns beyond its deadline because each denial
// takes longer than the time for which the other endpoint is left alone.
TEST_CASE("an order is refused although the leader answers late", "[limits]") {
  RelayFixture relay;
  Limit(&relay, {&relay.p1, &relay.p2});
  relay.permit_time = milliseconds(450);
  for (const bool granted : {true, false}) {
    CAPTURE(granted);
    relay.permit_answer = {granted, 300};
    relay.permit_requests = 0;
    const auto reply = relay.Send("/order/1");
    REQUIRE(reply);
    CHECK(reply.value().status == 503);
    CHECK(relay.permit_requests <= 2);
    CHECK(relay.plain_arrivals() == 0);
    relay.io.run_for(milliseconds(400));
  }
}

// Guards against a request that is sent after its permit expired while the connection was opened.
TEST_CASE("a request is not sent after its time", "[limits]") {
  RelayFixture relay;
  HttpCall call = relay.MakeCall("/order/1");
  call.address = {"127.0.0.1", relay.p1.port};
  call.send_by = MonotonicNow();
  const auto late = relay.Send(call);
  REQUIRE_FALSE(late);
  CHECK(late.error() == HttpError::kNotSent);
  CHECK(relay.p1.arrivals == 0);
  call.send_by = MonotonicNow() + seconds(1);
  CHECK(relay.Send(call));
  CHECK(relay.p1.arrivals == 1);
}

// Guards against a limit that is not taken from a response, or is taken from an invalid header.
TEST_CASE("the relay records the limits that responses state", "[limits]") {
  RelayFixture relay;
  for (const char* invalid : {"", "-1", "x", "nan"}) {
    CAPTURE(invalid);
    relay.SetBehavior(State(invalid), State(invalid));
    CHECK(relay.Send("/read/1").value().status == 200);
    CHECK(relay.limits.size() == 0);
  }
  relay.SetBehavior(State("2.5"), State("2.5"));
  CHECK(relay.Send("/read/1").value().status == 200);
  TestEndpoint& limited = relay.limits.Rate(Number(relay.p1)) ? relay.p1 : relay.p2;
  CHECK(relay.limits.Rate(Number(limited)) == 2.5);
  CHECK(relay.permit_requests == 0);
  for (int i = 0; i < 20; ++i) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.permit_requests > 0);
  // An invalid statement does not change a valid one.
  relay.SetBehavior(State("x"), State("x"));
  for (int i = 0; i < 20; ++i) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.limits.Rate(Number(limited)) == 2.5);
  relay.SetBehavior(Respond(200), Respond(200));
  for (int i = 0; i < 20; ++i) CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.limits.size() == 0);
}

// Guards against a limit in a response to another request, which may be of any age.
TEST_CASE("a response to another request states no limit", "[limits]") {
  RelayFixture relay;
  const EndpointBehavior other = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers{{"Request-Id", "other"}, {"Response-Stamp", "s"}, {"Server-Limit", "1"}};
    co_await exchange.Reply(200, std::move(headers), "other body");
  };
  relay.SetBehavior(other, Respond(200));
  CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.limits.size() == 0);
}

}  // namespace mimosabend::testing
