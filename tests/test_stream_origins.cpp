#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "relay_fixture.h"
#include "report_aggregator.h"
#include "stream_versions.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};
constexpr milliseconds kStep{100};
constexpr int kSteps = 1500;
constexpr int kSeeds = 60;
constexpr std::size_t kDaemons = 4;
constexpr const char* kService = "models";
// Streams are taken up within this time after their begin.
constexpr milliseconds kMaxAge{20000};
// Of the streams that had time to be reported, this share goes on at least.
constexpr double kGoOnShare = 0.5;

// Daemons that report streams to a leader, which stores them, while versions come and go and
// daemons are killed, one or all at once.
class VersionSimulation {
 public:
  explicit VersionSimulation(std::uint64_t seed) : random_(seed) {
    for (auto& daemon : daemons_) daemon.emplace(kStart);
    daemons_[0]->history().MarkComplete();
  }

  void Run() {
    for (step_ = 0; step_ < kSteps; ++step_) {
      now_ += kStep;
      if (Draw(60)) ChangeVersions();
      if (Draw(100)) Kill(Draw(2) ? kDaemons : random_() % kDaemons);
      for (auto& daemon : daemons_) {
        for (const std::string& version : serving_) daemon->RecordServing(kService, version, now_);
        daemon->PruneExpired(now_);
      }
      if (!leader_ && step_ >= elect_at_) BeginTerm();
      for (int i = 0; i < 3; ++i) BeginStream();
      if (step_ % 3 == 0) Report();
      if (leader_ && step_ % 5 == 0) Store();
      TakeUp();
    }
  }

  int wrong() const { return wrong_; }
  int taken_up() const { return taken_up_; }
  int found() const { return found_; }

 private:
  struct Stream {
    std::uint64_t key = 0;
    std::string version;
    MonotonicTime begun;
  };

  bool Draw(int one_in) { return random_() % one_in == 0; }

  void ChangeVersions() {
    if (serving_.size() > 1) {
      serving_.erase(serving_.begin() + static_cast<int>(random_() % serving_.size()));
    } else {
      serving_.push_back("v" + std::to_string(next_version_++));
    }
  }

  // Kills one daemon, or all if `index` is kDaemons. They start again at once.
  void Kill(std::size_t index) {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (i != index && index != kDaemons) continue;
      daemons_[i].emplace(now_);
      if (leader_ == i) leader_.reset();
      if (!leader_) elect_at_ = step_ + 15;
    }
  }

  void BeginTerm() {
    leader_ = random_() % kDaemons;
    StreamVersions& leader = *daemons_[*leader_];
    leader.AddStored(stored_versions_, now_);
    for (const auto& [index, streams] : stored_streams_) leader.AddStored(streams, false, now_);
    leader.history().MarkComplete();
    for (auto& daemon : daemons_) daemon->ReportAgain();
  }

  void BeginStream() {
    const std::string id = std::to_string(next_stream_++);
    const std::string& version = serving_[random_() % serving_.size()];
    daemons_[random_() % kDaemons]->RecordStream(kService, version, {id}, now_);
    streams_.push_back({StreamKey(kService, id), version, now_});
  }

  void Report() {
    if (!leader_) return;
    for (auto& daemon : daemons_) {
      daemons_[*leader_]->AddReport(daemon->TakeReport(now_), now_);
    }
  }

  void Store() {
    stored_versions_ = daemons_[*leader_]->history().All();
    const auto streams = daemons_[*leader_]->TakeUnstored(1000, now_);
    if (!streams.empty()) stored_streams_[next_index_++ % 64] = streams;
  }

  void TakeUp() {
    const Stream& stream = streams_[random_() % streams_.size()];
    const milliseconds age = ToMillis(now_ - stream.begun);
    if (age > kMaxAge || !leader_) return;
    StreamOrigin origin = daemons_[random_() % kDaemons]->Find(kService, stream.key, true, now_);
    if (origin.state != OriginState::kKnown) {
      origin = daemons_[*leader_]->Find(kService, stream.key, true, now_);
    }
    if (origin.state == OriginState::kKnown && origin.version != stream.version) ++wrong_;
    if (age < seconds(1)) return;
    ++taken_up_;
    if (origin.state == OriginState::kKnown) ++found_;
  }

  std::mt19937_64 random_;
  std::vector<std::optional<StreamVersions>> daemons_{kDaemons};
  std::optional<std::size_t> leader_ = 0;
  int elect_at_ = 0;
  std::vector<std::string> serving_{"v0"};
  int next_version_ = 1;
  int next_stream_ = 0;
  std::size_t next_index_ = 0;
  std::vector<Stream> streams_;
  std::vector<ServiceVersions> stored_versions_;
  std::map<std::size_t, std::vector<StreamOrigins>> stored_streams_;
  MonotonicTime now_ = kStart;
  int step_ = 0;
  int wrong_ = 0;
  int taken_up_ = 0;
  int found_ = 0;
};

EndpointBehavior EventsAfter(int last) { return SendEvents(last + 1, 3, true); }

HttpCall TakeUpCall(const RelayFixture& relay) {
  HttpCall call = relay.MakeCall("/resumable/1");
  call.headers.emplace_back("Last-Event-Id", "2");
  call.headers.emplace_back("Resumes", "77f0");
  return call;
}

}  // namespace

// Guards against a wrong version being named for a stream, and against versions that are not known
// although there was time to report them, over any sequence of changes and lost daemons.
TEST_CASE("the version of a stream is the one that began it or unknown", "[stream_origins]") {
  int taken_up = 0;
  int found = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    VersionSimulation simulation(seed);
    simulation.Run();
    CHECK(simulation.wrong() == 0);
    taken_up += simulation.taken_up();
    found += simulation.found();
  }
  WARN("take-ups " << taken_up << ", version known " << found);
  CHECK(found >= taken_up * kGoOnShare);
}

// Guards against a take-up that trusts a single version although older ones may be missing, the
// view of the endpoints is old, or the other version has left only a while ago.
TEST_CASE("a single version is trusted only if no other can have begun the stream",
          "[stream_origins]") {
  StreamVersions versions(kStart);
  const std::uint64_t key = StreamKey(kService, "1");
  const auto state = [&](bool current, MonotonicTime now) {
    return versions.Find(kService, key, current, now).state;
  };
  versions.RecordServing(kService, "v1", kStart);
  CHECK(state(true, kStart) == OriginState::kNoAnswer);
  versions.history().MarkComplete();
  CHECK(state(true, kStart) == OriginState::kKnown);
  CHECK(state(false, kStart) == OriginState::kNoAnswer);
  versions.RecordServing(kService, "v2", kStart + seconds(1));
  CHECK(state(true, kStart + seconds(1)) == OriginState::kUnknown);
  // After the loss of all daemons, the store shows that v1 has served, and the entries only v2.
  StreamVersions next(kStart + seconds(2));
  next.RecordServing(kService, "v2", kStart + seconds(2));
  next.AddStored(versions.history().All(), kStart + seconds(2));
  next.history().MarkComplete();
  CHECK(next.Find(kService, key, true, kStart + seconds(2)).state == OriginState::kUnknown);
  versions.RecordServing(kService, "v2", kStart + kStreamLifetime);
  CHECK(versions.Find(kService, key, true, kStart + kStreamLifetime).version == "v2");
}

// Guards against a daemon that was paused or cut off, did not see a version come and go meanwhile,
// and trusts the only one that it knows.
TEST_CASE("a single version is not trusted after a time without a view of the endpoints",
          "[stream_origins]") {
  const bool paused = GENERATE(false, true);
  CAPTURE(paused);
  StreamVersions versions(kStart);
  versions.history().MarkComplete();
  const auto state = [&](MonotonicTime now) {
    return versions.Find(kService, StreamKey(kService, "1"), true, now).state;
  };
  const auto record = [&](bool view_is_current, MonotonicTime now) {
    versions.history().RecordView(view_is_current, now);
    versions.RecordServing(kService, "v1", now);
  };
  const MonotonicTime cut_off = kStart + seconds(10);
  const MonotonicTime back = cut_off + seconds(20);
  for (MonotonicTime now = kStart; now < cut_off; now += kStep) record(true, now);
  CHECK(state(cut_off) == OriginState::kKnown);
  for (MonotonicTime now = cut_off; now < back && !paused; now += kStep) record(false, now);
  record(true, back);
  CHECK(state(back) == OriginState::kNoAnswer);
  for (MonotonicTime now = back; now < back + kStreamLifetime; now += kStep) record(true, now);
  CHECK(state(back + kStreamLifetime) == OriginState::kKnown);
}

// Guards against streams that a daemon reports neither once a second version serves nor to a new
// leader, and against reports that grow without bound.
TEST_CASE("streams are reported once a service has several versions", "[stream_origins]") {
  StreamVersions versions(kStart);
  versions.history().MarkComplete();
  versions.RecordStream(kService, "v1", {"1", ""}, kStart);
  CHECK(versions.TakeReport(kStart).empty());
  versions.RecordServing(kService, "v2", kStart);
  const std::vector<StreamOrigins> expected{{kService, "v1", {StreamKey(kService, "1")}}};
  const auto report = versions.TakeReport(kStart);
  CHECK(report == expected);
  CHECK(versions.TakeReport(kStart).empty());
  versions.ReportAgain();
  CHECK(versions.TakeReport(kStart) == expected);
  versions.PruneExpired(kStart + kStreamLifetime);
  versions.ReportAgain();
  CHECK(versions.TakeReport(kStart + kStreamLifetime).empty());
  CHECK(versions.streams() == 0);
  StreamLog log;
  for (std::size_t i = 0; i <= StreamLog::kMaxStreams; ++i) log.Add(kService, "v1", i, kStart);
  CHECK(log.size() == StreamLog::kMaxStreams);
  // A relay keeps the streams of a report that could not be sent.
  ReportAggregator aggregator;
  UsageReport relayed;
  relayed.streams = report;
  aggregator.AddReport("a", relayed, kStart);
  UsageReport own;
  aggregator.MergeInto("self", &own, kStart);
  CHECK(own.streams == report);
  aggregator.Restore(own);
  UsageReport next;
  aggregator.MergeInto("self", &next, kStart);
  CHECK(next.streams == report);
}

// Guards against a take-up or a second attempt that reaches an engine of another version, and
// against one that waits although no engine of its version is left.
TEST_CASE("the relay sends a stream to its software version only", "[stream_origins]") {
  RelayFixture relay;
  relay.Add(relay.e1, "models", "v1");
  relay.Add(relay.e2, "models", "v2");
  SECTION("taken up, version known") {
    relay.SetBehavior(EventsAfter(2), EventsAfter(2));
    relay.stream_origin = {OriginState::kKnown, "v2"};
    for (int i = 0; i < 5; ++i) CHECK(relay.Send(TakeUpCall(relay)).value().body == Event(3));
    CHECK(relay.e1.arrivals == 0);
    CHECK(relay.streams.streams() == 2);
  }
  SECTION("taken up, version unknown or gone") {
    relay.stream_origin.state = OriginState::kUnknown;
    CHECK(relay.Send(TakeUpCall(relay)).value().status == 503);
    const MonotonicTime start = MonotonicNow();
    relay.stream_origin = {OriginState::kKnown, "v3"};
    const auto reply = relay.Send(TakeUpCall(relay));
    CHECK(reply.value().status == 503);
    CHECK_FALSE(FindHeader(reply.value().headers, "Retry-After").empty());
    CHECK(MonotonicNow() - start < milliseconds(500));
    CHECK(relay.engine_arrivals() == 0);
  }
  SECTION("taken up, its engine lacks the model for a moment") {
    relay.SetBehavior(Respond(421), EventsAfter(2));
    relay.stream_origin = {OriginState::kKnown, "v1"};
    const auto housekeeping = [](FleetDirectory* directory) -> Task<void> {
      co_await Sleep(FleetDirectory::kRefusedLifetime + milliseconds(100));
      directory->PruneExpired(MonotonicNow());
    };
    boost::asio::co_spawn(relay.io, housekeeping(&relay.directory), boost::asio::detached);
    CHECK(relay.Send(TakeUpCall(relay)).value().body == Event(3));
    CHECK(relay.e2.arrivals == 0);
  }
  SECTION("taken up, its engine turns out to have dropped the model") {
    relay.SetBehavior(Respond(421), Respond(421));
    relay.stream_origin = {OriginState::kKnown, "v1"};
    const auto report = [](RelayFixture* fixture) -> Task<void> {
      co_await Sleep(milliseconds(200));
      const FleetEndpoint& e1 = fixture->directory.Find(fixture->e1.id)->endpoint;
      fixture->directory.SetLeaderHoldings(e1.id, e1.started_ms, {}, MonotonicNow());
      fixture->usage.endpoints_changed().NotifyAll();
    };
    const MonotonicTime start = MonotonicNow();
    boost::asio::co_spawn(relay.io, report(&relay), boost::asio::detached);
    CHECK(relay.Send(TakeUpCall(relay)).value().status == 503);
    CHECK(MonotonicNow() - start < milliseconds(700));
  }
  SECTION("broken within a response") {
    relay.SetBehavior(SendEvents(1, 2, false), EventsAfter(2));
    CHECK_FALSE(relay.Send("/resumable/1"));
    CHECK(relay.engine_arrivals() == 1);
  }
}

}  // namespace mimosabend::testing
