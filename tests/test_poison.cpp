#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "engine_text.h"
#include "fake_kv.h"
#include "fleet.h"
#include "json.h"
#include "poison_guard.h"

namespace mimosabend::testing {

namespace {

constexpr WallTime kNow{seconds(1800000000)};

std::string ErrorCode(const HttpReply& reply) {
  const auto body = ParseJson(reply.body);
  const auto* error = body ? JsonMember(*body, "error") : nullptr;
  return error == nullptr ? "" : StringMember(*error, "code");
}

// One region with four engines.
FleetOptions OneRegion() {
  FleetOptions options;
  options.daemons = 6;
  options.regions = {"nordeste"};
  options.engines_per_region = 4;
  options.engine_flags = {"--token_ms=20"};
  options.weight_store_flags = {"--loads_per_s=50"};
  return options;
}

// The test document, with a replica of the model "recipes" on each of the four engines.
std::string DocumentWithReplicaPerEngine(const FleetOptions& options) {
  std::string document = TestDocument(options);
  const std::string model = "memory_mib = 16000\nmax_replicas = 2\n";
  const std::size_t at = document.find(model);
  document.replace(at, model.size(), "memory_mib = 16000\nmin_replicas = 4\nmax_replicas = 4\n");
  return document;
}

int RunningEngines(Fleet* fleet) {
  int running = 0;
  for (auto& [id, process] : fleet->endpoints()) {
    if (id.starts_with("engine-")) running += process->running() ? 1 : 0;
  }
  return running;
}

bool AllReplicasReady(Fleet* fleet) {
  return WaitFor(seconds(20), [&] {
    int ready = 0;
    for (auto& [id, process] : fleet->endpoints()) {
      if (!id.starts_with("engine-")) continue;
      HttpCall call;
      call.address = process->address();
      call.target = "/control/state";
      auto reply = fleet->Call(std::move(call), seconds(1));
      const bool loaded =
          reply && reply.value().body.find("\"state\":\"ready\"") != std::string::npos;
      ready += loaded ? 1 : 0;
    }
    return ready == 4;
  });
}

struct StreamResult {
  bool complete = false;
  std::string text;
  int status = 0;
};

// Sends a streaming request in a new thread, which the caller must join.
std::thread StartStream(Fleet* fleet, int daemon, std::string prompt, int tokens,
                        StreamResult* result) {
  return std::thread([=] {
    auto reply =
        fleet->Call(PostAs("standard-key", fleet->caller_address(daemon), "/v1/completions",
                           CompletionBody("recipes", prompt, tokens, true)),
                    seconds(40));
    if (!reply) return;
    result->status = reply.value().status;
    result->text = StreamedText(reply.value().body, &result->complete);
  });
}

PoisonRecord MakeRecord(std::vector<std::string> crashes, std::uint64_t trial_nonce, int trial_s) {
  PoisonRecord record;
  record.crashes = std::move(crashes);
  record.expires_ms = ToUnixMillis(kNow + kPoisonRetention);
  record.trial_nonce = trial_nonce;
  record.trial_until_ms = ToUnixMillis(kNow + seconds(trial_s));
  return record;
}

PoisonGuard<FakeKv>::Announce NoAnnouncement() {
  return [](std::string, std::string, bool) -> Task<void> { co_return; };
}

}  // namespace

// Guards against a suspect that runs together with other requests, is refused too early, or runs
// too often.
TEST_CASE("the poison record decides whether a request may run", "[poison]") {
  struct Case {
    PoisonRecord record;
    PoisonVerdict verdict;
  };
  const std::vector<Case> cases{
      {PoisonRecord(), PoisonVerdict::kClean},
      {MakeRecord({"a@1"}, 0, 0), PoisonVerdict::kSuspect},
      {MakeRecord({"a@1"}, 7, 10), PoisonVerdict::kOnTrial},
      {MakeRecord({"a@1"}, 7, -1), PoisonVerdict::kPoisoned},
      {MakeRecord({"a@1", "b@1"}, 0, 0), PoisonVerdict::kPoisoned},
  };
  for (const Case& item : cases) {
    CAPTURE(std::string(kPoisonVerdictNames[item.verdict]));
    CHECK(PoisonVerdictAt(item.record, kNow) == item.verdict);
    CHECK(PoisonVerdictAt(item.record, kNow + kPoisonRetention) == PoisonVerdict::kClean);
  }
  PoisonRecord record;
  CHECK(AddCrashes({"a@1"}, kNow, &record));
  CHECK_FALSE(AddCrashes({"a@1"}, kNow, &record));
  CHECK(AddCrashes({"a@2"}, kNow, &record));
  CHECK(PoisonVerdictAt(record, kNow) == PoisonVerdict::kPoisoned);
  CHECK(PoisonFingerprint("a", "bc") != PoisonFingerprint("ab", "c"));
}

// Guards against concurrent trials of one request, and against more than two crashes, when calls to
// the key-value service and their responses are lost and several daemons retry the suspect at once.
TEST_CASE("a request crashes at most two endpoints across all daemons", "[poison]") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    boost::asio::io_context io(1);
    FakeKvService service(seed);
    Metrics metrics;
    std::vector<std::unique_ptr<FakeKv>> clients;
    std::vector<std::unique_ptr<PoisonGuard<FakeKv>>> guards;
    for (int i = 0; i < 4; ++i) {
      clients.push_back(std::make_unique<FakeKv>(&service));
      clients.back()->faults() = {false, 0.1, 0.2, milliseconds(2), 0};
      guards.push_back(std::make_unique<PoisonGuard<FakeKv>>("env/t/", clients.back().get(),
                                                             NoAnnouncement(), &metrics));
    }
    int crashes = 1;
    int running = 0;
    int most_running = 0;
    // All daemons get the announcement of the first crash, which is not recorded yet.
    for (auto& guard : guards) guard->AddAnnouncedCrash("f", "first", false, WallNow());
    const auto retry_request = [&](int daemon) -> Task<void> {
      for (int i = 0; i < 6; ++i) {
        const PoisonTrial trial = co_await guards[daemon]->BeginTrial("f", WallNow() + seconds(30));
        if (trial.verdict != PoisonVerdict::kSuspect) {
          // A request that crashed an endpoint is never clean.
          CHECK(trial.verdict != PoisonVerdict::kClean);
          co_await Sleep(milliseconds(3));
          continue;
        }
        most_running = std::max(most_running, ++running);
        co_await Sleep(milliseconds(5));
        --running;
        ++crashes;
        const PoisonVerdict verdict = co_await guards[daemon]->RecordCrash(
            "f", "crash" + std::to_string(crashes), trial.nonce);
        CHECK(verdict != PoisonVerdict::kSuspect);
      }
    };
    for (int i = 0; i < 4; ++i) boost::asio::co_spawn(io, retry_request(i), boost::asio::detached);
    io.run();
    CHECK(crashes <= 2);
    CHECK(most_running <= 1);
  }
}

// Guards against running a suspect while its record can't be read.
TEST_CASE("a suspect does not run while the key-value service is down", "[poison]") {
  boost::asio::io_context io(1);
  FakeKvService service(1);
  FakeKv client(&service);
  Metrics metrics;
  PoisonGuard<FakeKv> guard("env/t/", &client, NoAnnouncement(), &metrics);
  std::vector<PoisonVerdict> verdicts;
  const auto run = [&]() -> Task<void> {
    client.faults().down = true;
    verdicts.push_back(co_await guard.RecordCrash("f", "a@1", 0));
    const PoisonTrial refused = co_await guard.BeginTrial("f", WallNow() + seconds(5));
    verdicts.push_back(refused.verdict);
    client.faults().down = false;
    // The crash that could not be recorded counts once the service is available again.
    const PoisonTrial allowed = co_await guard.BeginTrial("f", WallNow() + seconds(5));
    verdicts.push_back(allowed.verdict);
    co_await guard.EndTrial("f", allowed.nonce, true);
    verdicts.push_back(co_await guard.Check("f"));
  };
  boost::asio::co_spawn(io, run(), boost::asio::detached);
  io.run();
  CHECK(verdicts == std::vector{PoisonVerdict::kUnverified, PoisonVerdict::kUnverified,
                                PoisonVerdict::kSuspect, PoisonVerdict::kClean});
}

// Guards against a request that crashes one engine after another when its caller retries it, and
// against breaking the streams of other requests that were in the same batch.
TEST_CASE("a poison request crashes at most two engines", "[poison][process]") {
  Fleet fleet(OneRegion());
  fleet.StartDaemons();
  fleet.DeployDocument(DocumentWithReplicaPerEngine(fleet.options()));
  REQUIRE(AllReplicasReady(&fleet));
  // The daemon that owns the group decides on its own demand synchronously. A request at that
  // daemon must not miss this notification and wait until its deadline.
  for (int daemon = 0; daemon < 6; ++daemon) {
    auto reply = fleet.Call(PostAs("standard-key", fleet.caller_address(daemon), "/v1/completions",
                                   CompletionBody("recipes", "warm up", 1, false)));
    REQUIRE(reply);
    REQUIRE(reply.value().status == 200);
  }
  // Two streams through each daemon, so that every engine runs some; 100 tokens take at least 2 s.
  constexpr int kStreams = 12;
  constexpr int kTokens = 100;
  std::vector<StreamResult> streams(kStreams);
  std::vector<std::thread> threads;
  threads.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    threads.push_back(
        StartStream(&fleet, i % 6, "innocent " + std::to_string(i), kTokens, &streams[i]));
  }
  std::this_thread::sleep_for(milliseconds(500));
  const std::string poison = "please " + std::string(standin::kCrashMarker);
  std::vector<std::string> codes;
  for (int daemon = 0; daemon < 6; ++daemon) {
    auto reply = fleet.Call(PostAs("standard-key", fleet.caller_address(daemon), "/v1/completions",
                                   CompletionBody("recipes", poison, 5, false)),
                            seconds(40));
    REQUIRE(reply);
    codes.push_back(std::to_string(reply.value().status) + " " + ErrorCode(reply.value()));
  }
  for (std::thread& thread : threads) thread.join();
  CAPTURE(codes);
  CHECK(RunningEngines(&fleet) >= 2);
  for (int daemon = 0; daemon < 6; ++daemon) CHECK(fleet.daemon(daemon).running());
  for (const std::string& code : codes) CHECK(code == "422 poisoned_request");
  for (int i = 0; i < kStreams; ++i) {
    CAPTURE(i, streams[i].status);
    CHECK(streams[i].complete);
    CHECK(streams[i].text ==
          standin::CompletionText("recipes", "innocent " + std::to_string(i), kTokens));
  }
}

}  // namespace mimosabend::testing
