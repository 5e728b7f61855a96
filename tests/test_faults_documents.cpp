#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <iostream>
#include <set>
#include <thread>

#include "base64.h"
#include "document_store.h"
#include "document_sync.h"
#include "fake_kv.h"
#include "fleet.h"
#include "http_kv_store.h"
#include "json.h"

namespace mimosabend::testing {

namespace {

using Clock = std::chrono::steady_clock;

// An accepted document must be in force at all daemons within this time.
constexpr seconds kInForceTime{9};
constexpr char kHeadPath[] = "/v1/kv/env/test/head";

struct DaemonState {
  std::int64_t version = 0;
  bool ready = false;
};

// The state from a daemon's /status; std::nullopt if it doesn't respond.
std::optional<DaemonState> ReadState(Fleet* fleet, int daemon) {
  HttpCall call;
  call.address = fleet->admin_address(daemon);
  call.target = "/status";
  auto reply = fleet->Call(std::move(call), seconds(1));
  const auto json = reply ? ParseJson(reply.value().body) : std::nullopt;
  if (!json) return std::nullopt;
  const auto* ready = JsonMember(*json, "ready");
  return DaemonState{IntegerMember(*json, "version").value_or(0), ready && ready->as_bool()};
}

// Waits until a daemon is ready with at least this version in force. Adds lower versions that it
// had while it was ready to `older`.
bool ReachesVersion(Fleet* fleet, int daemon, std::int64_t version,
                    std::set<std::int64_t>* older = nullptr) {
  return WaitFor(kInForceTime, [&] {
    const auto state = ReadState(fleet, daemon);
    if (!state) return false;
    if (older != nullptr && state->ready && state->version < version) older->insert(state->version);
    return state->version >= version && state->ready;
  });
}

// A document that differs from those of other numbers in one comment.
std::string Document(const Fleet& fleet, int number) {
  return TestDocument(fleet.options()) + "; change " + std::to_string(number) + "\n";
}

// Puts a document on trial; returns its digest.
std::string PutOnTrial(Fleet* fleet, int number) {
  const std::string document = Document(*fleet, number);
  const std::string path = (fleet->directory() / "trial.ini").string();
  std::ofstream(path) << document;
  const CommandResult trial = fleet->RunOperatorCommand({"trial", path});
  CAPTURE(trial.output);
  REQUIRE(trial.exit_code == 0);
  return Sha256Hex(document);
}

CommandResult Promote(const Fleet& fleet, const std::string& digest, const std::string& author) {
  return RunCommand(std::string(MIMOSABEND_BUILD_DIRECTORY) + "/mimosabend",
                    {"promote", "--config=" + fleet.operator_config(), "--environment=test",
                     "--author=" + author, "--digest=" + digest});
}

// The authors in the audit trail, by version.
std::map<std::int64_t, std::string> ReadHistory(Fleet* fleet) {
  const CommandResult history = fleet->RunOperatorCommand({"history", "--json"});
  REQUIRE(history.exit_code == 0);
  const auto json = ParseJson(history.output);
  REQUIRE(json);
  std::map<std::int64_t, std::string> authors;
  for (const auto& item : json->as_array()) {
    const std::int64_t version = IntegerMember(item, "version").value_or(0);
    CHECK(authors.emplace(version, StringMember(item, "author")).second);
  }
  return authors;
}

// The stored head in base64 and its version, as the key-value service has them.
std::pair<std::string, std::int64_t> ReadRawHead(Fleet* fleet) {
  HttpCall call;
  call.address = fleet->kv().address();
  call.target = kHeadPath;
  auto reply = fleet->Call(std::move(call));
  REQUIRE(reply);
  const auto json = ParseJson(reply.value().body);
  REQUIRE(json);
  const auto& item = json->as_array().front();
  return {StringMember(item, "Value"), IntegerMember(item, "ModifyIndex").value_or(0)};
}

// Overwrites the stored head directly in the key-value service.
void WriteRawHead(Fleet* fleet, const std::string& value) {
  boost::json::object kv;
  kv["Verb"] = "cas";
  kv["Key"] = "env/test/head";
  kv["Value"] = value;
  kv["Index"] = ReadRawHead(fleet).second;
  HttpCall call;
  call.address = fleet->kv().address();
  call.method = "PUT";
  call.target = "/v1/txn";
  call.body = boost::json::serialize(boost::json::array{boost::json::object{{"KV", kv}}});
  auto reply = fleet->Call(std::move(call));
  REQUIRE(reply);
  REQUIRE(reply.value().status == 200);
}

// Operators promote the same document concurrently. Guards against two promotions of one version
// that are both reported as accepted, and against one that is reported as rejected although it was
// accepted.
void TestConcurrentPromotions(Fleet* fleet, const std::string& kv_fault, bool answers_lost) {
  constexpr int kRounds = 2;
  constexpr int kOperators = 4;
  fleet->SetFault(fleet->kv(), kv_fault);
  const std::size_t before = ReadHistory(fleet).size();
  std::map<std::string, int> exit_codes;
  for (int round = 0; round < kRounds; ++round) {
    const std::string digest = PutOnTrial(fleet, 100 + round + (answers_lost ? 100 : 0));
    std::vector<CommandResult> results(kOperators);
    std::vector<std::thread> operators;
    operators.reserve(kOperators);
    const std::string prefix = (answers_lost ? "lossy-" : "plain-") + std::to_string(round) + "-";
    for (int i = 0; i < kOperators; ++i) {
      operators.emplace_back(
          [&, i] { results[i] = Promote(*fleet, digest, prefix + std::to_string(i)); });
    }
    for (std::thread& thread : operators) thread.join();
    for (int i = 0; i < kOperators; ++i) {
      exit_codes[prefix + std::to_string(i)] = results[i].exit_code;
    }
  }
  fleet->SetFault(fleet->kv(), "{}");
  std::map<std::string, int> accepted_by_author;
  const auto history = ReadHistory(fleet);
  std::int64_t expected_version = 0;
  for (const auto& [version, author] : history) {
    CHECK(version == ++expected_version);
    ++accepted_by_author[author];
  }
  int accepted = 0;
  int rejected = 0;
  for (const auto& [author, code] : exit_codes) {
    CAPTURE(author, code);
    const bool unknown = answers_lost && code == 4;
    CHECK((code == 0 || code == 3 || unknown));
    if (code == 0) CHECK(accepted_by_author[author] == 1);
    if (code == 3) CHECK(accepted_by_author[author] == 0);
    accepted += code == 0 ? 1 : 0;
    rejected += code == 3 ? 1 : 0;
  }
  std::cout << "promotions: " << accepted << " accepted, " << rejected << " rejected\n";
  CHECK(accepted > 0);
  CHECK(rejected > 0);
  if (!answers_lost) CHECK(history.size() == before + accepted);
}

// Puts a document on trial without the checks of the `trial` command.
void PutOnTrialUnchecked(Fleet* fleet, const std::string& document) {
  boost::asio::io_context io(1);
  HttpClient client(io.get_executor());
  HttpKvStore kv(&client, fleet->kv().address());
  DocumentStore<HttpKvStore> store(&kv, "test");
  bool stored = false;
  const auto run = [&]() -> Task<void> {
    auto head = co_await store.StartTrial(document, "mover", WallNow());
    stored = static_cast<bool>(head);
  };
  boost::asio::co_spawn(io, run(), boost::asio::detached);
  io.run();
  REQUIRE(stored);
}

// Guards against a change of a service's settings after which the records of known requests aren't
// found, so that a repeated request is executed again.
void TestRecordLayoutChange(Fleet* fleet) {
  const std::size_t before = ReadHistory(fleet).size();
  for (const char* change : {"slot_s = 30\n", "ranges = 8\n", "record_window_s = 7200\n"}) {
    CAPTURE(change);
    std::string document = TestDocument(fleet->options());
    const std::string window = "record_window_s = 3600\n";
    if (std::string(change).starts_with("record")) {
      document.replace(document.find(window), window.size(), change);
    } else {
      document += change;
    }
    const std::string path = (fleet->directory() / "moved.ini").string();
    std::ofstream(path) << document;
    const CommandResult trial = fleet->RunOperatorCommand({"trial", path});
    CHECK(trial.exit_code == 2);
    CHECK(trial.output.find("use a new service name") != std::string::npos);
    // `promote` must check this independently of `trial`, since another document may come into
    // force between the two.
    PutOnTrialUnchecked(fleet, document);
    const CommandResult promote = Promote(*fleet, Sha256Hex(document), "mover");
    CHECK(promote.exit_code == 2);
    CHECK(promote.output.find("use a new service name") != std::string::npos);
  }
  CHECK(ReadHistory(fleet).size() == before);
}

// Guards against a daemon that keeps an old version because it can't reach the key-value service.
void TestVersionFromPeers(Fleet* fleet, std::int64_t* version) {
  const std::string digest = PutOnTrial(fleet, 1);
  const auto start = Clock::now();
  REQUIRE(Promote(*fleet, digest, "operator").exit_code == 0);
  *version = ReadState(fleet, 0).value_or(DaemonState()).version;
  for (int daemon : {0, 1, 2}) CHECK(ReachesVersion(fleet, daemon, *version));
  const auto took = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
  std::cout << "version in force at all daemons after " << took.count() << " ms\n";
  CHECK(took < kInForceTime);
}

// Guards against a daemon that becomes ready with no document or an older one after a restart
// during an outage of the key-value service.
void TestRestartInOutage(Fleet* fleet, std::int64_t version) {
  fleet->SetFault(fleet->kv(), R"({"down":true})");
  fleet->StartDaemon(1);
  std::set<std::int64_t> older;
  CHECK(ReachesVersion(fleet, 1, version, &older));
  CHECK(older.empty());
  fleet->SetFault(fleet->kv(), "{}");
}

// Guards against a version that decreases, in a running daemon or a restarted one, when the
// key-value service returns an outdated head.
void TestOutdatedHead(Fleet* fleet, const std::string& old_head, std::int64_t version) {
  const std::string new_head = ReadRawHead(fleet).first;
  WriteRawHead(fleet, old_head);
  CHECK(WaitFor(kInForceTime,
                [&] { return fleet->Metric(0, "mimosabend_stale_documents_total") >= 1; }));
  for (int daemon : {0, 1, 2}) {
    CHECK(ReadState(fleet, daemon).value_or(DaemonState()).version == version);
  }
  fleet->StartDaemon(0);
  std::set<std::int64_t> older;
  CHECK(ReachesVersion(fleet, 0, version, &older));
  CAPTURE(older);
  CHECK(older.empty());
  WriteRawHead(fleet, new_head);
}

}  // namespace

TEST_CASE("documents keep their guarantees under faults", "[faults]") {
  FleetOptions options;
  options.daemons = 3;
  options.engines_per_region = 1;
  options.kv_of_daemon[2] = {"127.0.0.1", 1};
  Fleet fleet(options);
  fleet.StartDaemons();
  fleet.DeployDocument(Document(fleet, 0));
  const std::string old_head = ReadRawHead(&fleet).first;
  std::int64_t version = 0;
  TestVersionFromPeers(&fleet, &version);
  TestRestartInOutage(&fleet, version);
  TestOutdatedHead(&fleet, old_head, version);
  TestRecordLayoutChange(&fleet);
  TestConcurrentPromotions(&fleet, R"({"delay_ms":10})", false);
  TestConcurrentPromotions(&fleet, R"({"delay_ms":5,"lost_answers_percent":25})", true);
}

// Records the wait that the last watch requested.
class WatchRecordingKv : public FakeKv {
 public:
  using FakeKv::FakeKv;

  milliseconds requested_wait() const { return requested_wait_; }

  Task<Result<KvEntry, KvError>> Watch(std::string key, std::uint64_t known, milliseconds wait) {
    requested_wait_ = wait;
    co_return co_await FakeKv::Watch(std::move(key), known, wait);
  }

 private:
  milliseconds requested_wait_{0};
};

static_assert(KvStore<WatchRecordingKv>);

// Guards against a watch on a dead connection that times out too late for a new version to be in
// force within 9 s.
TEST_CASE("a watch on a dead connection times out early enough") {
  // Timeout that the client adds to the wait, and time for the read that follows.
  constexpr milliseconds kClientTimeoutMargin{2000};
  constexpr milliseconds kReadTimeout{2000};
  boost::asio::io_context io(1);
  FakeKvService service(1);
  WatchRecordingKv kv(&service);
  Metrics metrics;
  PeerClient peers(io.get_executor(), {"self", "a-shared-key-of-the-daemons", {}}, &metrics);
  DocumentSync<WatchRecordingKv> sync(io.get_executor(), "test", &kv, &peers, &metrics,
                                      [] { return true; });
  boost::asio::co_spawn(io, sync.WatchService(), boost::asio::detached);
  io.run_for(milliseconds(20));
  CHECK(kv.requested_wait() > milliseconds(0));
  CHECK(kv.requested_wait() + kClientTimeoutMargin + kReadTimeout < kInForceTime);
}

// Guards against a promotion that is reported as rejected although its version was in force until
// the next operator replaced it.
TEST_CASE("a replaced promotion whose response was lost is reported as accepted") {
  boost::asio::io_context io(1);
  FakeKvService service(1);
  FakeKv slow_kv(&service);
  FakeKv quick_kv(&service);
  DocumentStore<FakeKv> slow(&slow_kv, "test");
  DocumentStore<FakeKv> quick(&quick_kv, "test");
  const std::string document = "[environment]\nname = test\nregions = a\n";
  Result<DocumentHead, StoreError> first = outcome::failure(StoreError::kCorrupt);
  Result<DocumentHead, StoreError> second = outcome::failure(StoreError::kCorrupt);
  const auto race = [&]() -> Task<void> {
    auto trial = co_await quick.StartTrial(document, "a", WallNow());
    const std::string digest = trial.value().digest;
    // The responses to the first operator's writes are lost. The second operator promotes once
    // it sees the first version in force.
    const auto replace = [&, digest]() -> Task<void> {
      while (!service.Get(quick.head_key()).exists()) co_await Sleep(milliseconds(1));
      const Promotion promotion{digest, 1, "second", ""};
      second = co_await quick.Promote(promotion, WallNow());
    };
    boost::asio::co_spawn(io, replace(), boost::asio::detached);
    slow_kv.faults().max_delay = milliseconds(20);
    slow_kv.faults().lost_answers_of_writes = 1;
    const Promotion promotion{digest, 0, "first", ""};
    first = co_await slow.Promote(promotion, WallNow());
    co_await Sleep(milliseconds(100));
  };
  boost::asio::co_spawn(io, race(), boost::asio::detached);
  io.run();
  REQUIRE(second);
  CHECK(second.value().version == 2);
  REQUIRE(first);
  CHECK(first.value().version == 1);
}

}  // namespace mimosabend::testing
