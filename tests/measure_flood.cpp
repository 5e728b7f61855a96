// Measures goodput by rank during a flood with two daemons and two engine stand-ins of eight slots
// each. Prints a Markdown table.
#include <gflags/gflags.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <random>
#include <stdexcept>

#include "admission_load.h"
#include "fleet.h"
#include "supervisor.h"

DEFINE_int32(seeds, 5, "number of seeds, counted from 1");
DEFINE_double(flood, 10, "factor of the flooding rank's rate");
DEFINE_double(capacity, 34, "requests per second that the engines can serve");
DEFINE_double(duration_s, 8, "time of each run; the first 2 s are not counted");

namespace mimosabend::testing {

namespace {

constexpr int kTokens = 10;
constexpr double kWarmUpS = 2;
constexpr milliseconds kTimeout{20000};

struct Counts {
  int sent = 0;
  int in_target = 0;
  int refused = 0;
  int other = 0;
};
using CountsByRank = std::array<Counts, kRankCount>;

FleetOptions Options() {
  FleetOptions options;
  options.daemons = 2;
  options.regions = {"nordeste"};
  options.engine_flags = {"--token_ms=20"};
  return options;
}

std::string Document(const FleetOptions& options) {
  std::string document = TestDocument(options);
  const std::string bound = "max_replicas = 2\n";
  document.insert(document.find(bound), "min_replicas = 2\n");
  return document;
}

// Sends one request and counts whether its first token met the target of its rank.
Task<void> Send(HttpClient* client, Address daemon, Rank rank, std::string prompt, Counts* counts) {
  HttpCall call = PostAs(std::string(kRankNames[rank]) + "-key", std::move(daemon),
                         "/v1/completions", CompletionBody("recipes", prompt, kTokens, true));
  const MonotonicTime start = MonotonicNow();
  call.deadline = start + kTimeout;
  ++counts->sent;
  auto stream = co_await client->Open(std::move(call));
  if (!stream || stream.value()->status() != 200) {
    const bool refused = stream && stream.value()->status() == 503;
    ++(refused ? counts->refused : counts->other);
    co_return;
  }
  std::string body;
  MonotonicTime first;
  for (;;) {
    auto bytes = co_await stream.value()->Read(start + kTimeout);
    if (!bytes || bytes.value().empty()) break;
    if (body.empty()) first = MonotonicNow();
    body += bytes.value();
  }
  bool complete = false;
  StreamedText(body, &complete);
  const bool in_time = first - start <= kFirstTokenTargets[Index(rank)];
  ++(complete && in_time ? counts->in_target : counts->other);
}

Task<void> SendAll(HttpClient* client, Fleet* fleet, Rank rank, double rate, std::uint64_t seed,
                   CountsByRank* counts, Counts* uncounted) {
  std::mt19937_64 random(seed * 31 + Index(rank));
  std::exponential_distribution<double> gap(rate);
  const MonotonicTime start = MonotonicNow();
  double time = gap(random);
  for (int i = 0; time < FLAGS_duration_s; time += gap(random), ++i) {
    const auto due = start + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                 std::chrono::duration<double>(time));
    co_await Sleep(due - MonotonicNow());
    Counts* target_counts = time < kWarmUpS ? uncounted : &(*counts)[Index(rank)];
    std::string prompt = std::to_string(seed) + " " + std::to_string(i);
    auto task = Send(client, fleet->caller_address(i % 2), rank, std::move(prompt), target_counts);
    boost::asio::co_spawn(co_await boost::asio::this_coro::executor, std::move(task),
                          boost::asio::detached);
  }
}

CountsByRank RunOnce(Fleet* fleet, std::uint64_t seed, Rank flooding, double flood) {
  boost::asio::io_context io(1);
  HttpClient client(io.get_executor());
  CountsByRank counts;
  Counts uncounted;
  constexpr std::array<double, kRankCount> kLoadShares{0.2, 0.2, 0.1};
  for (Rank rank : kAllRanks) {
    const double factor = rank == flooding ? flood : 1;
    boost::asio::co_spawn(
        io,
        SendAll(&client, fleet, rank, kLoadShares[Index(rank)] * FLAGS_capacity * factor, seed,
                &counts, &uncounted),
        boost::asio::detached);
  }
  io.run();
  return counts;
}

void Run() {
  Fleet fleet(Options());
  fleet.StartDaemons();
  fleet.DeployDocument(Document(fleet.options()));
  for (int i = 0; i < 2; ++i) {
    auto reply = fleet.Call(PostAs("urgent-key", fleet.caller_address(i), "/v1/completions",
                                   CompletionBody("recipes", "warm up", 1, false)));
    if (!reply || reply.value().status != 200) throw std::runtime_error("warm-up failed");
  }
  std::printf("| flood of | seed | rank | sent | in target | refused | other | calm in target |\n");
  std::printf("|---|---|---|---|---|---|---|---|\n");
  for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
    const CountsByRank calm = RunOnce(&fleet, seed, Rank::kUrgent, 1);
    for (Rank flooding : {Rank::kBackground, Rank::kUrgent}) {
      const CountsByRank flood = RunOnce(&fleet, seed, flooding, FLAGS_flood);
      for (Rank rank : kAllRanks) {
        const Counts& counts = flood[Index(rank)];
        std::printf("| %s | %d | %s | %d | %d | %d | %d | %d of %d |\n",
                    std::string(kRankNames[flooding]).c_str(), seed,
                    std::string(kRankNames[rank]).c_str(), counts.sent, counts.in_target,
                    counts.refused, counts.other, calm[Index(rank)].in_target,
                    calm[Index(rank)].sent);
        std::fflush(stdout);
      }
    }
  }
}

}  // namespace

}  // namespace mimosabend::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  mimosabend::testing::Run();
  return 0;
}
