#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "admission.h"
#include "admission_load.h"
#include "fleet.h"
#include "retry_budget.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};
constexpr std::array<std::uint64_t, 5> kSeeds{11, 12, 13, 14, 15};

AdmissionRequest Request(Rank rank, const std::string& caller) {
  AdmissionRequest request;
  request.queue = "model";
  request.rank = rank;
  request.caller = caller;
  request.bytes = 10;
  request.deadline = kStart + seconds(600);
  request.first_token = seconds(300);
  return request;
}

std::vector<AdmissionTicket> StartedTickets(const AdmissionDecisions& decisions) {
  std::vector<AdmissionTicket> tickets;
  for (const AdmissionDecision& decision : decisions) {
    if (!decision.refusal) tickets.push_back(decision.ticket);
  }
  return tickets;
}

std::vector<LoadSource> OneSourcePerRank(Rank flooding, double flood) {
  std::vector<LoadSource> sources{{"u", Rank::kUrgent, 1, 8, 1},
                                  {"s", Rank::kStandard, 1, 8, 1},
                                  {"b", Rank::kBackground, 1, 4, 1}};
  sources[Index(flooding)].flood = flood;
  return sources;
}

}  // namespace

// Guards against starting a less urgent request while a more urgent one waits.
TEST_CASE("waiting requests start in order of rank", "[admission]") {
  AdmissionController admission;
  admission.SetFloors({0, 0, 0});
  admission.UpdateEndpoints("model", {{"e", 1}}, kStart);
  AdmissionDecisions decisions;
  const auto running = admission.Submit(Request(Rank::kBackground, "a"), kStart, &decisions);
  REQUIRE(StartedTickets(decisions) == std::vector{running});
  const auto background = admission.Submit(Request(Rank::kBackground, "a"), kStart, &decisions);
  const auto standard = admission.Submit(Request(Rank::kStandard, "a"), kStart, &decisions);
  const auto urgent = admission.Submit(Request(Rank::kUrgent, "a"), kStart, &decisions);
  decisions.clear();
  AdmissionTicket last = running;
  std::vector<AdmissionTicket> order;
  for (int i = 0; i < 3; ++i) {
    AdmissionDecisions next;
    admission.End(last, kStart + seconds(i + 1), &next);
    REQUIRE(StartedTickets(next).size() == 1);
    last = StartedTickets(next).front();
    order.push_back(last);
  }
  CHECK(order == std::vector{urgent, standard, background});
}

// Guards against a slot reserved for urgent requests while nothing runs: all other requests would
// wait until they expire.
TEST_CASE("an idle daemon starts any request immediately", "[admission]") {
  for (double slots : {1.0, 2.0, 8.0}) {
    CAPTURE(slots);
    AdmissionController admission;
    admission.SetFloors({0, 0, 0});
    admission.UpdateEndpoints("model", {{"e", slots}}, kStart);
    AdmissionDecisions decisions;
    std::vector<AdmissionTicket> urgent;
    urgent.reserve(8);
    for (int i = 0; i < 8; ++i) {
      urgent.push_back(admission.Submit(Request(Rank::kUrgent, "u"), kStart, &decisions));
    }
    for (const auto ticket : urgent) admission.End(ticket, kStart + seconds(5), &decisions);
    decisions.clear();
    admission.Submit(Request(Rank::kBackground, "b"), kStart + seconds(5), &decisions);
    CHECK(StartedTickets(decisions).size() == 1);
  }
}

// Guards against queueing requests that cannot be answered in time.
TEST_CASE("a request that cannot be served in time is rejected immediately", "[admission]") {
  struct Case {
    milliseconds timeout;
    milliseconds first_token;
    std::optional<AdmissionRefusal> refusal;
  };
  // One slot, a measured service time of 2 s, and one running request before each case.
  const std::vector<Case> cases{
      {seconds(60), seconds(30), std::nullopt},
      {seconds(60), seconds(1), AdmissionRefusal::kFirstToken},
      {seconds(3), seconds(30), AdmissionRefusal::kDeadline},
  };
  for (const Case& item : cases) {
    CAPTURE(item.timeout.count(), item.first_token.count());
    AdmissionController admission;
    admission.UpdateEndpoints("model", {{"e", 1}}, kStart);
    AdmissionDecisions decisions;
    const auto measured = admission.Submit(Request(Rank::kUrgent, "a"), kStart, &decisions);
    admission.End(measured, kStart + seconds(2), &decisions);
    const MonotonicTime now = kStart + seconds(2);
    admission.Submit(Request(Rank::kUrgent, "a"), now, &decisions);
    decisions.clear();
    AdmissionRequest request = Request(Rank::kUrgent, "a");
    request.deadline = now + item.timeout;
    request.first_token = item.first_token;
    const auto ticket = admission.Submit(request, now, &decisions);
    if (!item.refusal) {
      CHECK(decisions.empty());
      // The request was queued on an estimate; it expires because the slot stays busy.
      admission.Expire(ticket, now + item.first_token - seconds(1), &decisions);
      CHECK(decisions.empty());
      admission.Expire(ticket, now + item.first_token, &decisions);
    }
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().ticket == ticket);
    CHECK(decisions.front().refusal == item.refusal.value_or(AdmissionRefusal::kFirstToken));
    CHECK(admission.waiting() == 0);
  }
}

// Guards against unbounded memory use during a flood, and against a flood that displaces more
// urgent requests or those of other callers.
TEST_CASE("waiting requests are bounded and the least urgent are rejected first", "[admission]") {
  AdmissionController admission({4, 6, 1000});
  admission.UpdateEndpoints("model", {{"e", 1}}, kStart);
  AdmissionDecisions decisions;
  admission.Submit(Request(Rank::kUrgent, "running"), kStart, &decisions);
  decisions.clear();
  for (int i = 0; i < 50; ++i) {
    admission.Submit(Request(Rank::kBackground, "flood"), kStart, &decisions);
    REQUIRE(admission.waiting() <= 4);
  }
  CHECK(decisions.size() == 46);
  decisions.clear();
  const auto other = admission.Submit(Request(Rank::kBackground, "other"), kStart, &decisions);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().ticket != other);
  decisions.clear();
  for (int i = 0; i < 4; ++i) {
    const auto urgent = admission.Submit(Request(Rank::kUrgent, "u"), kStart, &decisions);
    for (const AdmissionDecision& decision : decisions) CHECK(decision.ticket != urgent);
  }
  CHECK(admission.waiting() == 6);
  decisions.clear();
  AdmissionRequest large = Request(Rank::kUrgent, "u2");
  large.bytes = 990;
  admission.Submit(large, kStart, &decisions);
  CHECK(admission.waiting_bytes() <= 1000);
}

// Guards against lost requests, requests that end twice and wrong counters under random arrivals,
// completions, withdrawals and expiries.
TEST_CASE("every ticket gets at most one decision and counters stay consistent", "[admission]") {
  for (std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    AdmissionController admission({20, 50, 5000});
    std::set<AdmissionTicket> waiting;
    std::set<AdmissionTicket> running;
    std::set<AdmissionTicket> ended;
    MonotonicTime now = kStart;
    const auto apply = [&](const AdmissionDecisions& decisions) {
      for (const AdmissionDecision& decision : decisions) {
        REQUIRE(waiting.erase(decision.ticket) == 1);
        REQUIRE((decision.refusal ? ended : running).insert(decision.ticket).second);
      }
    };
    const auto random_ticket = [&](const std::set<AdmissionTicket>& from) {
      return *std::next(from.begin(), static_cast<std::ptrdiff_t>(random() % from.size()));
    };
    for (int step = 0; step < 4000; ++step) {
      now += milliseconds(random() % 40);
      AdmissionDecisions decisions;
      const auto action = random() % 10;
      if (action < 5) {
        const std::string caller = "caller" + std::to_string(random() % 4);
        AdmissionRequest request = Request(kAllRanks[random() % 3], caller);
        request.queue = "model" + std::to_string(random() % 3);
        request.first_token = milliseconds(random() % 3000);
        request.deadline = now + milliseconds(random() % 6000);
        request.weight = 1 + static_cast<double>(random() % 4);
        admission.UpdateEndpoints(request.queue, {{"e", 4}}, now);
        waiting.insert(admission.Submit(request, now, &decisions));
      } else if (action < 8 && !running.empty()) {
        const AdmissionTicket ticket = random_ticket(running);
        running.erase(ticket);
        ended.insert(ticket);
        admission.RecordFirstToken(ticket, now);
        admission.End(ticket, now, &decisions);
      } else if (action < 9 && !waiting.empty()) {
        admission.Expire(random_ticket(waiting), now, &decisions);
      } else if (!waiting.empty()) {
        const AdmissionTicket ticket = random_ticket(waiting);
        waiting.erase(ticket);
        ended.insert(ticket);
        admission.End(ticket, now, &decisions);
      }
      apply(decisions);
      REQUIRE(admission.waiting() == waiting.size());
      REQUIRE(admission.waiting() <= 50);
      REQUIRE(admission.waiting_bytes() == 10 * waiting.size());
      REQUIRE(running.size() <= 12);
    }
  }
}

// Guards against a flood that pushes a rank below its floor or reduces the goodput of urgent
// requests.
TEST_CASE("ranks keep their floors and urgent requests their goodput during a flood",
          "[admission]") {
  const LoadOptions defaults;
  const double capacity = defaults.slots / (defaults.service_mean_s + defaults.first_token_s);
  for (std::uint64_t seed : kSeeds) {
    LoadOptions calm_options;
    calm_options.seed = seed;
    calm_options.sources = OneSourcePerRank(Rank::kUrgent, 1);
    const LoadResult calm_result = RunLoad(calm_options);
    for (Rank flooding : kAllRanks) {
      CAPTURE(seed, std::string(kRankNames[flooding]));
      LoadOptions options = calm_options;
      options.sources = OneSourcePerRank(flooding, 10);
      const LoadResult flood = RunLoad(options);
      CHECK(flood.wrong_ends == 0);
      CHECK(flood.most_waiting <= 3 * AdmissionLimits().waiting_per_rank);
      CHECK(flood.GoodputPerSecond(Rank::kUrgent) >=
            0.95 * calm_result.GoodputPerSecond(Rank::kUrgent));
      for (Rank rank : {Rank::kStandard, Rank::kBackground}) {
        CAPTURE(std::string(kRankNames[rank]));
        const double share = flood.ranks[Index(rank)].slot_seconds /
                             (flood.measured_s * static_cast<double>(options.slots));
        const double demand = calm_result.GoodputPerSecond(rank) / capacity;
        CHECK(share >= std::min(kFloors[Index(rank)], 0.95 * demand));
      }
    }
  }
}

// Guards against a caller that gets more than its share of a rank by sending more requests.
TEST_CASE("callers share a rank by weight", "[admission]") {
  for (std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    LoadOptions options;
    options.seed = seed;
    options.duration_s = 220;
    options.sources = {{"w1", Rank::kStandard, 1, 60, 1},
                       {"w2", Rank::kStandard, 2, 60, 1},
                       {"w4", Rank::kStandard, 4, 600, 1}};
    const LoadResult result = RunLoad(options);
    const double all = result.ranks[Index(Rank::kStandard)].slot_seconds;
    for (const LoadSource& source : options.sources) {
      CAPTURE(source.caller);
      const double share = result.callers.at(source.caller).slot_seconds / all;
      CHECK(share == Approx(source.weight / 7).epsilon(0.1));
    }
  }
}

// Guards against retries that multiply the load of a failing fleet.
TEST_CASE("retries are bounded by the requests of the last ten seconds", "[retry]") {
  struct Case {
    int requests;
    milliseconds wait;
    int allowed;
  };
  const std::vector<Case> cases{
      {0, seconds(0), 10},   {50, seconds(0), 10},   {100, seconds(0), 10},   {500, seconds(0), 50},
      {500, seconds(9), 50}, {500, seconds(10), 10}, {5000, seconds(1), 500},
  };
  for (const Case& item : cases) {
    CAPTURE(item.requests, item.wait.count());
    RetryBudget budget;
    for (int i = 0; i < item.requests; ++i) budget.RecordRequest(kStart);
    const MonotonicTime now = kStart + item.wait;
    int allowed = 0;
    for (int i = 0; i < 1000; ++i) {
      allowed += budget.TryRetry(now, now + seconds(60), milliseconds(0)) ? 1 : 0;
    }
    CHECK(allowed == item.allowed);
    CHECK(budget.TryRetry(now + seconds(10), now + seconds(60), milliseconds(0)));
  }
  RetryBudget budget;
  CHECK_FALSE(budget.TryRetry(kStart, kStart, milliseconds(0)));
  CHECK_FALSE(budget.TryRetry(kStart, kStart + seconds(1), seconds(2)));
  CHECK(budget.TryRetry(kStart, kStart + seconds(3), seconds(2)));
}

// Guards against requests that are answered or rejected too late, and against rejections without
// Retry-After.
TEST_CASE("a flood of urgent requests is answered or rejected in time", "[admission][process]") {
  FleetOptions options;
  options.daemons = 1;
  options.regions = {"nordeste"};
  options.engines_per_region = 1;
  options.engine_flags = {"--token_ms=40"};
  Fleet fleet(options);
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(options));
  const auto call = [&](int number) {
    HttpCall http = PostAs("urgent-key", fleet.caller_address(0), "/v1/completions",
                           CompletionBody("recipes", "flood " + std::to_string(number), 20, false));
    http.deadline = MonotonicNow() + seconds(20);
    return http;
  };
  REQUIRE(fleet.Call(call(0)));
  constexpr int kRequests = 60;
  // A rejection comes within the first-token target; the rest is margin for a loaded test machine.
  constexpr seconds kMaxRejectionTime{2};
  int answered = 0;
  int refused = 0;
  boost::asio::io_context io(1);
  HttpClient client(io.get_executor());
  const auto send = [&](int number) -> Task<void> {
    const MonotonicTime start = MonotonicNow();
    auto reply = co_await client.Call(call(number));
    REQUIRE(reply);
    if (reply.value().status == 200) {
      ++answered;
      co_return;
    }
    ++refused;
    CHECK(reply.value().status == 503);
    CHECK(MonotonicNow() - start < kMaxRejectionTime);
    CHECK(reply.value().body.find("\"code\":\"overloaded\"") != std::string::npos);
    CHECK(reply.value().body.find("\"outcome\":\"not_run\"") != std::string::npos);
    CHECK(!FindHeader(reply.value().headers, "Retry-After").empty());
  };
  for (int i = 1; i <= kRequests; ++i) {
    boost::asio::co_spawn(io, send(i), boost::asio::detached);
  }
  io.run();
  CHECK(answered + refused == kRequests);
  CHECK(answered >= 8);
  CHECK(refused > 0);
  const double accepted = fleet.Metric(0, "mimosabend_requests_accepted_total");
  CHECK(accepted == 1 + kRequests);
  CHECK(fleet.Metric(0, "mimosabend_requests_in_flight") == 0);
}

}  // namespace mimosabend::testing
