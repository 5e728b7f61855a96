#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "platform_fleet.h"
#include "process_faults.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

constexpr int kGateways = 3;
constexpr int kCallers = 60;
constexpr int kMaxCallerAttempts = 5;
constexpr milliseconds kTrafficTime{7000};
// Longer than any pause, so that requests in socket buffers are read before the runs are counted.
constexpr milliseconds kSettleTime{3000};
constexpr milliseconds kOrderTimeout{800};
constexpr int kDefaultSeeds = 2;

std::int64_t FromEnvironment(const char* name, std::int64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoll(text);
}

// Whether a status promises that the request has not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// What callers were told: the ids of refused requests, and how often each status came.
struct Answers {
  std::set<std::string> refused;
  std::map<int, int> statuses;
};

// Callers that send orders and streams that must not run again, and repeat them only if they were
// promised that they have not run. Runs in a thread of its own.
class Callers {
 public:
  Callers(PlatformFleet* fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed), client_(io_.get_executor()) {}

  Answers Run() {
    end_ = MonotonicNow() + kTrafficTime;
    for (int i = 0; i < kCallers; ++i) {
      boost::asio::co_spawn(io_, RunCaller(i), boost::asio::detached);
    }
    io_.run();
    return answers_;
  }

 private:
  Task<void> RunCaller(int caller) {
    for (int order = 0; MonotonicNow() < end_; ++order) {
      const std::string key = std::to_string(caller) + "-" + std::to_string(order);
      const std::string path = caller % 4 == 0 ? "/once/1" : "/order/1";
      for (int attempt = 0; attempt < kMaxCallerAttempts; ++attempt) {
        HttpCall call = fleet_->MakeCall(static_cast<int>(random_() % kGateways), path, key);
        const std::string id = std::string(FindHeader(call.headers, "Request-Id"));
        for (auto& [name, value] : call.headers) {
          if (name == "Deadline-Ms") value = std::to_string(kOrderTimeout.count());
        }
        call.deadline = MonotonicNow() + kOrderTimeout + milliseconds(200);
        auto reply = co_await client_.Call(std::move(call));
        const int status = reply ? reply.value().status : 0;
        ++answers_.statuses[status];
        if (!PromisesNotRun(status)) break;
        answers_.refused.insert(id);
        co_await Sleep(milliseconds(random_() % 200));
      }
      co_await Sleep(milliseconds(random_() % 60));
    }
  }

  PlatformFleet* fleet_;
  std::mt19937_64 random_;
  boost::asio::io_context io_{1};
  HttpClient client_;
  MonotonicTime end_;
  Answers answers_;
};

}  // namespace

// Guards against a refusal whose promise is false, and against an order that runs twice, with real
// processes that are paused, killed, stopped and restarted. The endpoints count what they run. The
// last round is run with forecasts.
TEST_CASE("what was refused has not run, and orders run once", "[refusals]") {
  const auto first = FromEnvironment("MIMOSABEND_REFUSALS_SEED", 1);
  const auto count = FromEnvironment("MIMOSABEND_REFUSALS_SEEDS", kDefaultSeeds);
  for (std::int64_t seed = first; seed <= first + count; ++seed) {
    PlatformFleetOptions options;
    options.forecast = seed == first + count;
    options.engines = 3;
    options.plain_endpoints = 3;
    options.endpoint_flags = {"--max_running=3", "--start_ms=30", "--events=5"};
    options.log_runs = true;
    PlatformFleet fleet(options);
    Answers answers;
    std::jthread callers(
        [&] { answers = Callers(&fleet, static_cast<std::uint64_t>(seed)).Run(); });
    ProcessFaults(&fleet, static_cast<std::uint64_t>(seed) + 1000).Run(kTrafficTime);
    callers.join();
    std::this_thread::sleep_for(kSettleTime);
    std::map<std::string, int> runs_of_id;
    std::map<std::string, int> runs_of_order;
    for (const EndpointRun& run : fleet.Runs()) {
      ++runs_of_id[run.request_id];
      ++runs_of_order[run.body];
    }
    const auto runs_twice = [](const auto& item) { return item.second > 1; };
    CAPTURE(seed, answers.statuses, runs_of_id.size());
    CHECK(std::count_if(runs_of_id.begin(), runs_of_id.end(), runs_twice) == 0);
    CHECK(std::count_if(runs_of_order.begin(), runs_of_order.end(), runs_twice) == 0);
    CHECK(std::count_if(answers.refused.begin(), answers.refused.end(),
                        [&](const auto& id) { return runs_of_id.contains(id); }) == 0);
    CHECK(answers.refused.size() >= 10);
    CHECK(answers.statuses[200] >= 100);
    std::string statuses;
    for (const auto& [status, times] : answers.statuses) {
      statuses += " " + std::to_string(status) + ":" + std::to_string(times);
    }
    WARN("seed " << seed << ", ran " << runs_of_id.size() << ", answers" << statuses);
  }
}

}  // namespace mimosabend::testing
