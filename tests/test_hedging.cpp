#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "directory_log.h"
#include "hedge_budget.h"
#include "relay_fixture.h"
#include "response_times.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};

HedgingSettings Settings(double extra_work = 0.1) {
  return {extra_work, milliseconds(20), milliseconds(1000)};
}

// A question on a first attempt that is 120 ms old, to which the answer is to send.
HedgeQuestion Question() {
  HedgeQuestion question;
  question.sent_at = kStart - milliseconds(120);
  question.deadline = kStart + seconds(1);
  question.repeatable = true;
  question.attempts_left = 1;
  question.service = {100, 30, 25, 25, 100, 0.05};
  question.utilization = 0.3;
  question.candidate = HedgeCandidate{30, 1, 8, false, false, false};
  question.retry_budget_left = true;
  question.work_budget_left = true;
  return question;
}

// A relay with hedging, whose endpoints respond at once until a test changes that.
struct HedgingRelay : RelayFixture {
  HedgingRelay() {
    handler.SetHedging(Settings(HedgingSettings::kMaxExtraWork));
    // Samples for the tail, and work of which a hedge is a small share. The tail is below 50 ms,
    // also on a busy machine.
    SetSlow(milliseconds(15));
    for (int i = 0; i < 50; ++i) REQUIRE(Send("/read/1").value().status == 200);
    p1.arrivals = p2.arrivals = 0;
    before_ = {sent(), won(), lost()};
  }

  static EndpointBehavior RespondAfter(milliseconds time, int status = 200) {
    return [time, status](HttpExchange& exchange) -> Task<void> {
      HttpHeaders headers = StampedHeaders(exchange);
      co_await Sleep(time);
      co_await exchange.Reply(status, std::move(headers), "after " + std::to_string(time.count()));
    };
  }

  // As RelayFixture::SetBehavior, but keeps the former behaviors: cancelled requests still run
  // them.
  void SetBehavior(const EndpointBehavior& first, const EndpointBehavior& then) {
    for (TestEndpoint* endpoint : {&p1, &p2}) former_.push_back(std::move(endpoint->behavior));
    RelayFixture::SetBehavior(first, then);
  }

  // Both endpoints take `time`, so that hedges stay within the budget of work.
  void SetSlow(milliseconds time) { SetBehavior(RespondAfter(time), RespondAfter(time)); }

  // Sends a request whose caller leaves after `time`.
  void SendAndLeave(milliseconds time) {
    HttpCall call = MakeCall("/read/1");
    call.canceller = std::make_shared<HttpCanceller>();
    const auto send = [this](HttpCall made) -> Task<void> {
      const auto ignored = co_await test_client.Call(std::move(made));
      static_cast<void>(ignored);
    };
    const auto canceller = call.canceller;
    boost::asio::co_spawn(io, send(std::move(call)), boost::asio::detached);
    io.run_for(time);
    canceller->Cancel();
  }

  // Since the construction, in which a busy machine may cause hedges.
  double sent() const { return metrics.hedges_sent_total->Value() - before_.sent; }
  double won() const { return metrics.hedges_won_total->Value() - before_.won; }
  double lost() const { return metrics.hedges_lost_total->Value() - before_.lost; }
  std::uint32_t work_in_flight() {
    std::uint32_t sum = 0;
    for (const auto& [id, work] : stats.own()) sum += work.requests;
    return sum;
  }

 private:
  struct Counts {
    double sent = 0;
    double won = 0;
    double lost = 0;
  };
  Counts before_;
  std::vector<EndpointBehavior> former_;
};

}  // namespace

// Guards against second attempts that the rules forbid, before the first is late or without budget.
TEST_CASE("a second attempt is sent only if no rule forbids it", "[hedging]") {
  CHECK(DecideHedge(Settings(), Question(), kStart).action == HedgeAction::kSend);
  const auto check = [](HedgeReason reason, HedgeAction action, const auto& change) {
    HedgeQuestion question = Question();
    change(&question);
    const HedgeDecision decision = DecideHedge(Settings(), question, kStart);
    CAPTURE(kHedgeReasonNames[reason]);
    CHECK(decision.reason == reason);
    CHECK(decision.action == action);
    if (action == HedgeAction::kAskAgain) CHECK(decision.ask_at > kStart);
  };
  using Q = HedgeQuestion*;
  constexpr auto kNever = HedgeAction::kNever;
  constexpr auto kAsk = HedgeAction::kAskAgain;
  check(HedgeReason::kNotRepeatable, kNever, [](Q q) { q->repeatable = false; });
  check(HedgeReason::kAttempts, kNever, [](Q q) { q->attempts_left = 0; });
  check(HedgeReason::kSuspect, kNever, [](Q q) { q->verdict = CrashVerdict::kSuspect; });
  check(HedgeReason::kDraining, kNever, [](Q q) { q->draining = true; });
  check(HedgeReason::kNoSamples, kNever, [](Q q) { q->service.samples = 3; });
  check(HedgeReason::kDeadline, kNever, [](Q q) { q->deadline = kStart + milliseconds(20); });
  check(HedgeReason::kTooEarly, kAsk, [](Q q) { q->sent_at = kStart - milliseconds(99); });
  check(HedgeReason::kAllSlow, kAsk, [](Q q) { q->service.median = 40; });
  check(HedgeReason::kAllSlow, kAsk, [](Q q) { q->service.late_share = 0.5; });
  check(HedgeReason::kAllSlow, kAsk, [](Q q) { q->utilization = 0.8; });
  check(HedgeReason::kNoCandidate, kAsk, [](Q q) { q->candidate.reset(); });
  check(HedgeReason::kNoCandidate, kAsk, [](Q q) { q->candidate->requests = 8; });
  check(HedgeReason::kNoCandidate, kAsk, [](Q q) { q->candidate->in_backoff = true; });
  check(HedgeReason::kNoCandidate, kAsk, [](Q q) { q->candidate->impaired = true; });
  check(HedgeReason::kRateLimit, kAsk, [](Q q) { q->candidate->has_rate_limit = true; });
  check(HedgeReason::kRetryBudget, kAsk, [](Q q) { q->retry_budget_left = false; });
  check(HedgeReason::kWorkBudget, kAsk, [](Q q) { q->work_budget_left = false; });
  // The tail makes a request late, within the operator's bounds.
  ServiceTimes service;
  for (const auto& [tail, delay] : {std::pair{40, 40}, {4, 20}, {4000, 1000}}) {
    service.tail = tail;
    CHECK(HedgeDelay(Settings(), service) == milliseconds(delay));
  }
}

// Guards against more extra work than the share, by one daemon or by many with few requests each,
// and against daemons whose share is never used.
TEST_CASE("second attempts keep to their share of the work", "[hedging]") {
  constexpr double kShare = 0.05;
  const auto run = [&](int daemons, int requests_per_window) {
    double extra = 0;
    double base = 0;
    for (int daemon = 0; daemon < daemons; ++daemon) {
      HedgeBudget budget(0x9e3779b97f4a7c15ULL * (daemon + 1));
      for (int i = 0; i < requests_per_window * 6; ++i) {
        const MonotonicTime now = kStart + milliseconds(i * 10000 / requests_per_window);
        budget.RecordWork(0.05, now);
        if (budget.Allows(kShare, 0.05, now)) {
          budget.Settle(budget.Reserve(0.05, now), i % 2 == 0 ? 0.05 : 0.08, now);
          CHECK(budget.extra_work(now) <= kShare * budget.base_work(now) + 0.08);
        }
        if (now >= kStart + seconds(20)) base += 0.05;
      }
      extra += budget.extra_work(kStart + seconds(59));
    }
    // The work of four windows against the extra work of the last.
    return extra / (base / 4);
  };
  const double many = run(6, 2000);
  const double few = run(340, 6);
  CAPTURE(many, few);
  CHECK(many <= kShare);
  CHECK(many >= 0.4 * kShare);
  CHECK(few <= kShare);
  CHECK(few >= 0.2 * kShare);
}

// Guards against a tail that old samples determine, and a usual time that follows a slow service.
TEST_CASE("response times are those of the last samples", "[hedging]") {
  ResponseTimes times;
  for (int i = 0; i < 1000; ++i) {
    times.Record("s", "e", 10 + i % 20, kStart + milliseconds(i * 20));
  }
  const ServiceTimes usual = times.Service("s", kStart + seconds(20));
  CHECK(usual.tail >= 28);
  CHECK(usual.median == Approx(20).margin(1));
  for (int i = 0; i < 600; ++i) {
    times.Record("s", "e", 200, kStart + seconds(20) + milliseconds(i * 10));
  }
  const ServiceTimes slow = times.Service("s", kStart + seconds(26));
  CHECK(slow.median == 200);
  CHECK(IsServiceSlow(slow, 0));
  CHECK(*times.EndpointMedian("e", kStart + seconds(26)) == 200);
  CHECK_FALSE(times.EndpointMedian("e", kStart + seconds(60)));
  times.PruneExpired(kStart + seconds(700));
  CHECK(times.Service("s", kStart + seconds(700)).samples == 0);
}

// Guards against a hedge without settings, for a request that must not run twice, or whose route
// allows one attempt.
TEST_CASE("only repeatable requests are hedged, and only if settings allow it", "[hedging]") {
  HedgingRelay relay;
  relay.SetBehavior(HedgingRelay::RespondAfter(milliseconds(300)),
                    HedgingRelay::RespondAfter(milliseconds(1)));
  CHECK(relay.Send("/order/1").value().body == "after 300");
  CHECK(relay.plain_arrivals() == 1);
  CHECK(relay.sent() == 0);
  relay.SetBehavior(HedgingRelay::RespondAfter(milliseconds(300)),
                    HedgingRelay::RespondAfter(milliseconds(1)));
  CHECK(relay.Send("/read/1").value().body == "after 1");
  CHECK(relay.sent() == 1);
  CHECK(relay.won() == 1);
  relay.handler.SetHedging({});
  relay.SetBehavior(HedgingRelay::RespondAfter(milliseconds(300)),
                    HedgingRelay::RespondAfter(milliseconds(1)));
  CHECK(relay.Send("/read/1").value().body == "after 300");
  CHECK(relay.sent() == 1);
}

// Guards against a late response of a cancelled attempt that reaches another request, and against
// a cancelled attempt that still counts as work in flight or is not cancelled at its endpoint.
TEST_CASE("the response of an attempt that lost reaches nobody", "[hedging]") {
  HedgingRelay relay;
  int gone = 0;
  int ran = 0;
  // Runs on although it is cancelled, and then writes its response.
  const EndpointBehavior first = [&](HttpExchange& exchange) -> Task<void> {
    exchange.WatchCaller([&gone] { ++gone; });
    HttpHeaders headers = StampedHeaders(exchange);
    co_await Sleep(milliseconds(200));
    ++ran;
    exchange.StopWatchingCaller();
    co_await exchange.Reply(200, std::move(headers), "late");
  };
  relay.SetBehavior(first, HedgingRelay::RespondAfter(milliseconds(2)));
  CHECK(relay.Send("/read/1").value().body == "after 2");
  CHECK(relay.won() == 1);
  CHECK(relay.work_in_flight() == 0);
  CHECK(ran == 0);
  for (int i = 0; i < 30; ++i) {
    HttpCall call = relay.MakeCall("/read/1");
    call.headers[1].second = "next" + std::to_string(i);
    auto reply = relay.Send(call);
    CHECK(reply.value().body == "after 2");
    CHECK(FindHeader(reply.value().headers, "Request-Id") == "next" + std::to_string(i));
    relay.io.run_for(milliseconds(10));
  }
  CHECK(gone == 1);
  CHECK(ran == 1);
  // Its endpoint is not taken for a failing one.
  CHECK(relay.stats.FailureRate("p1") == 0);
  CHECK(relay.stats.FailureRate("p2") == 0);
}

// Guards against an error that wins against an attempt that is still open, an error response that
// is lost if both fail, and a third attempt beyond the route's limit.
TEST_CASE("an error response waits for the other attempt", "[hedging]") {
  HedgingRelay relay;
  relay.SetBehavior(HedgingRelay::RespondAfter(milliseconds(120)),
                    HedgingRelay::RespondAfter(milliseconds(1), 500));
  CHECK(relay.Send("/read/1").value().body == "after 120");
  CHECK(relay.sent() == 1);
  CHECK(relay.lost() == 1);
  relay.SetBehavior(HedgingRelay::RespondAfter(milliseconds(120), 500), BreakConnection);
  auto failed = relay.Send("/read/1");
  CHECK(failed.value().status == 500);
  CHECK(failed.value().body == "after 120");
  CHECK(relay.lost() == 2);
  // Only the attempt without a whole response counts as a break.
  CHECK(relay.metrics.endpoint_breaks_total->Value() == 1);
  relay.SetBehavior(HedgingRelay::RespondAfter(milliseconds(120), 500),
                    HedgingRelay::RespondAfter(milliseconds(1)));
  CHECK(relay.Send("/read/1").value().status == 200);
  CHECK(relay.plain_arrivals() == 6);
  CHECK(relay.work_in_flight() == 0);
  // A hedge that its endpoint did not run does not end the request either.
  relay.SetBehavior(HedgingRelay::RespondAfter(milliseconds(120)), Respond(503, true));
  CHECK(relay.Send("/read/1").value().body == "after 120");
}

// Guards against attempts that run on when the caller has left, and hedges that start then.
TEST_CASE("both attempts end with the caller", "[hedging]") {
  HedgingRelay relay;
  int gone = 0;
  const EndpointBehavior watched = [&](HttpExchange& exchange) -> Task<void> {
    exchange.WatchCaller([&gone] { ++gone; });
    co_await Sleep(milliseconds(400));
    exchange.StopWatchingCaller();
  };
  relay.SetBehavior(watched, watched);
  relay.SendAndLeave(milliseconds(120));
  relay.io.run_for(milliseconds(60));
  CHECK(relay.sent() == 1);
  CHECK(gone == 2);
  CHECK(relay.work_in_flight() == 0);
  CHECK(relay.handler.in_flight() == 0);
  // Left before the hedge is due: none is sent.
  relay.SendAndLeave(milliseconds(10));
  relay.io.run_for(milliseconds(200));
  CHECK(relay.sent() == 1);
}

// Guards against callers without a response when the process stops with two open attempts.
TEST_CASE("a hedged request gets a response when the process stops", "[hedging]") {
  HedgingRelay relay;
  relay.SetSlow(milliseconds(400));
  std::optional<Result<HttpReply, HttpError>> reply;
  const auto send = [&](HttpCall made) -> Task<void> {
    auto result = co_await relay.test_client.Call(std::move(made));
    reply = std::move(result);
  };
  boost::asio::co_spawn(relay.io, send(relay.MakeCall("/read/1")), boost::asio::detached);
  relay.io.run_for(milliseconds(120));
  REQUIRE(relay.sent() == 1);
  const MonotonicTime now = MonotonicNow();
  relay.handler.SetShutdownTimes(now, now);
  relay.handler.FailUnanswered();
  relay.io.run_for(milliseconds(200));
  REQUIRE(reply);
  REQUIRE(*reply);
  CHECK(reply->value().status == 504);
  CHECK(relay.work_in_flight() == 0);
  CHECK(relay.lost() == 1);
}

// Guards against a hedge to an endpoint that states a rate limit, or while failures need the retry
// budget, and against evidence of a crash that is lost or doubled with two open attempts.
TEST_CASE("hedges yield to rate limits, failures and crash suspects", "[hedging]") {
  HedgingRelay relay;
  const auto slow = [&] {
    relay.SetBehavior(HedgingRelay::RespondAfter(milliseconds(100)),
                      HedgingRelay::RespondAfter(milliseconds(1)));
    return relay.Send("/read/1").value().body == "after 100";
  };
  for (const char* id : {"p1", "p2"}) {
    relay.limits.RecordResponse(EndpointNumber(id, 0), 1000, MonotonicNow(), MonotonicNow());
  }
  CHECK(slow());
  CHECK(relay.permit_requests == 1);
  for (const char* id : {"p1", "p2"}) {
    relay.limits.RecordResponse(EndpointNumber(id, 0), std::nullopt, MonotonicNow(),
                                MonotonicNow());
  }
  RetryLimits limits;
  limits.share = 0;
  limits.extra = 1;
  limits.extra_is_minimum = false;
  relay.handler.SetRetryLimits(limits);
  CHECK(slow());
  CHECK(relay.sent() == 0);
  limits.extra = 2;
  relay.handler.SetRetryLimits(limits);
  CHECK_FALSE(slow());
  CHECK(relay.sent() == 1);
  CHECK(relay.evidence.suspects() == 0);
}

// Guards against a customer that uses more than its quota by hedges, whose endpoints run its
// requests once more, and against a quota that is still charged if nothing has run.
TEST_CASE("a hedge is charged to the customer's quota", "[hedging]") {
  HedgingRelay relay;
  FleetConfig config = ConfigWithCustomers();
  config.customers->Add({"mint", std::nullopt, {100, 100, QuotaUnit::kTokens, 0}});
  config.customers->AddKey("mint", KeyDigest("k4"));
  relay.directory.Adopt(config);
  relay.quota.SetShares({}, 1, MonotonicNow(), false);
  const auto send = [&](const EndpointBehavior& first, const EndpointBehavior& second) {
    relay.SetBehavior(first, second);
    const auto reply = relay.Send(MakeCallWithKey(relay, "/read/1", "k4"));
    CHECK(reply);
    return relay.quota.TakeUsage().front().admitted;
  };
  CHECK(send(HedgingRelay::RespondAfter(milliseconds(100)),
             HedgingRelay::RespondAfter(milliseconds(1))) == 220);
  CHECK(relay.sent() == 1);
  const EndpointBehavior refuse = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.back() = {"Not-Executed", "1"};
    co_await Sleep(milliseconds(150));
    co_await exchange.Reply(503, std::move(headers), "full");
  };
  CHECK(send(refuse, refuse) == 0);
  CHECK(relay.sent() == 2);
}

// Guards against a wrong response, a second response or work that is never settled if both attempts
// end at about the same time, whatever their order.
TEST_CASE("attempts that end together give one response", "[hedging]") {
  HedgingRelay relay;
  for (int i = 0; i < 40; ++i) {
    // The hedge is sent after 20 ms.
    relay.SetBehavior(HedgingRelay::RespondAfter(milliseconds(28 + i % 5), i % 3 == 0 ? 500 : 200),
                      HedgingRelay::RespondAfter(milliseconds(10), i % 4 == 0 ? 500 : 200));
    HttpCall call = relay.MakeCall("/read/1");
    call.headers[1].second = "id" + std::to_string(i);
    auto reply = relay.Send(call);
    CAPTURE(i);
    REQUIRE(reply);
    CHECK(FindHeader(reply.value().headers, "Request-Id") == "id" + std::to_string(i));
    if (i % 3 != 0 || i % 4 != 0) CHECK(reply.value().status == 200);
    relay.io.run_for(milliseconds(20));
    CHECK(relay.work_in_flight() == 0);
    // Work of which the next hedge is a small share.
    relay.SetSlow(milliseconds(15));
    for (int j = 0; j < 5; ++j) REQUIRE(relay.Send("/read/1").value().status == 200);
  }
  CAPTURE(relay.sent());
  CHECK(relay.sent() > 5);
  CHECK(relay.sent() == relay.won() + relay.lost());
  CHECK(relay.metrics.endpoint_breaks_total->Value() == 0);
}

}  // namespace mimosabend::testing
