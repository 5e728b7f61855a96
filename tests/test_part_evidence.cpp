#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

#include "containment_simulation.h"
#include "evidence_exchange.h"
#include "part_evidence.h"

namespace mimosabend::testing {

namespace {

constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kSubject = 2;
constexpr std::uint64_t kDeadly = 3;
constexpr milliseconds kHold = PartEvidence::kPropagationTime;
const MonotonicTime kStart = MonotonicTime() + seconds(100000);
const std::vector<std::uint64_t> kDeadlyParts{kFirst, kSubject, kDeadly};

// A request that was sent 200 ms before its endpoint crashed.
CrashedRun Run(std::uint64_t request, std::vector<std::uint64_t> parts, MonotonicTime crashed_at,
               bool started = false) {
  return {request, started, crashed_at - milliseconds(200), std::move(parts)};
}

// Crashes 1 to `count`, one second apart, under different requests with the same parts.
MonotonicTime AddCrashes(PartEvidence* evidence, const std::vector<std::uint64_t>& parts,
                         std::uint32_t count, MonotonicTime start = kStart) {
  MonotonicTime at = start;
  for (std::uint32_t crash = 1; crash <= count; ++crash) {
    at = start + seconds(crash);
    evidence->RecordCrash(crash, {Run(100 + crash, parts, at)}, at);
  }
  return at;
}

bool IsContained(const PartEvidence& evidence, const std::vector<std::uint64_t>& parts,
                 MonotonicTime now) {
  return evidence.ContainedUntil(parts, now).has_value();
}

}  // namespace

// Guards against requests of which no two are alike and that crash endpoint after endpoint.
TEST_CASE("a part is contained after three crashes of different requests", "[parts]") {
  PartEvidence evidence(1);
  MonotonicTime at = AddCrashes(&evidence, {kDeadly}, 2);
  CHECK(evidence.Classify(kDeadlyParts, at) == CrashVerdict::kLone);
  at = AddCrashes(&evidence, {kDeadly}, 3);
  CHECK_FALSE(IsContained(evidence, kDeadlyParts, at));
  CHECK(evidence.HeldUntil(kDeadlyParts, at) == at + kHold);
  CHECK(IsContained(evidence, kDeadlyParts, at + kHold));
  CHECK_FALSE(evidence.HeldUntil(kDeadlyParts, at + kHold));
  CHECK_FALSE(IsContained(evidence, {kFirst, kSubject}, at + kHold));
  CHECK(evidence.contained() == 1);
}

// Guards against blaming a session's parts for one request that its caller repeats.
TEST_CASE("repeats of one request don't contain the parts of its prompt", "[parts]") {
  PartEvidence evidence(1);
  for (std::uint32_t crash = 1; crash <= 6; ++crash) {
    const MonotonicTime at = kStart + seconds(crash);
    evidence.RecordCrash(crash, {Run(100, kDeadlyParts, at)}, at);
  }
  CHECK(evidence.Classify(kDeadlyParts, kStart + seconds(20)) == CrashVerdict::kLone);
}

// Guards against refusing all requests of a route since its first part is in each crash.
TEST_CASE("a part that is served between crashes is not contained", "[parts]") {
  PartEvidence evidence(1);
  MonotonicTime at = kStart;
  for (std::uint32_t crash = 1; crash <= 6; ++crash) {
    at += seconds(1);
    evidence.RecordServed(std::vector{kFirst, kSubject}, at - milliseconds(500),
                          at - milliseconds(500));
    evidence.RecordCrash(crash, {Run(100 + crash, kDeadlyParts, at)}, at);
  }
  CHECK(IsContained(evidence, kDeadlyParts, at + kHold));
  CHECK_FALSE(IsContained(evidence, {kFirst, kSubject}, at + kHold));
}

// Guards against refusing a route's requests since all engines crashed at once.
TEST_CASE("crashes at the same time don't contain what was running", "[parts]") {
  const bool served_before = GENERATE(false, true);
  PartEvidence evidence(1);
  if (served_before) evidence.RecordServed(std::vector{kFirst}, kStart, kStart);
  const MonotonicTime at = kStart + seconds(5);
  for (std::uint32_t crash = 1; crash <= 12; ++crash) {
    const MonotonicTime noticed = at + milliseconds(10 * crash);
    evidence.RecordCrash(crash, {Run(100 + crash, {kFirst}, noticed)}, noticed);
  }
  CHECK_FALSE(IsContained(evidence, {kFirst}, at + seconds(2)));
}

// Guards against blaming streams that ran beside the cause and are resumed beside it again.
TEST_CASE("a part of requests that had started to respond takes twice the crashes", "[parts]") {
  PartEvidence evidence(1);
  MonotonicTime at = kStart;
  for (std::uint32_t crash = 1; crash <= 6; ++crash) {
    CHECK_FALSE(IsContained(evidence, {9}, at + kHold));
    at += seconds(1);
    evidence.RecordCrash(crash, {Run(100 + crash, {9}, at, true)}, at);
  }
  CHECK(IsContained(evidence, {9}, at + kHold));
}

// Guards against blaming a part that was beside the cause in some of its crashes, before and after
// the records of the cause have arrived from another daemon.
TEST_CASE("a part that was in some of the crashes of another is not contained", "[parts]") {
  PartEvidence evidence(1), other(2);
  const MonotonicTime at = AddCrashes(&evidence, {9}, 3);
  AddCrashes(&other, {kDeadly}, 4);
  CHECK_FALSE(IsContained(evidence, {9}, at + milliseconds(300)));
  std::uint64_t next = 0;
  evidence.Merge(other.RecordsSince(0, at + milliseconds(300), &next), at + milliseconds(300));
  CHECK_FALSE(evidence.HeldUntil(std::vector<std::uint64_t>{9}, at + milliseconds(300)));
  CHECK(evidence.Classify(std::vector<std::uint64_t>{9}, at + kHold) == CrashVerdict::kLone);
  CHECK(IsContained(evidence, {kDeadly}, at + milliseconds(300) + kHold));
}

// Guards against parts that come only together and of which neither is contained, and against one
// of them that is sound and is refused for good.
TEST_CASE("parts that are in the same crashes are contained together", "[parts]") {
  PartEvidence evidence(1);
  const MonotonicTime at = AddCrashes(&evidence, {kSubject, kDeadly}, 5) + kHold;
  CHECK(IsContained(evidence, kDeadlyParts, at));
  // A request with one of them only shows which one is the cause.
  const std::vector<std::uint64_t> sound{kFirst, kSubject};
  const std::vector<std::uint64_t> deadly{kFirst, kDeadly};
  CHECK(evidence.Classify(sound, at) == CrashVerdict::kLone);
  CHECK(evidence.Classify(deadly, at) == CrashVerdict::kLone);
  SECTION("the sound one is served") {
    evidence.RecordServed(sound, at, at);
    CHECK(evidence.Classify(sound, at) == CrashVerdict::kClean);
  }
  SECTION("the deadly one crashes another endpoint") {
    evidence.RecordCrash(6, {Run(200, deadly, at + seconds(1))}, at + seconds(1));
  }
  const MonotonicTime later = at + seconds(1) + kHold;
  CHECK(IsContained(evidence, deadly, later));
  CHECK_FALSE(IsContained(evidence, sound, later));
}

// Guards against a part that was served for long and then crashes every endpoint, for example after
// the engines' software was replaced.
TEST_CASE("a part that was served before is contained after four crashes", "[parts]") {
  PartEvidence evidence(1);
  evidence.RecordServed(std::vector{kFirst, kSubject}, kStart, kStart);
  MonotonicTime at = kStart;
  for (std::uint32_t crash = 1; crash <= 4; ++crash) {
    CHECK_FALSE(IsContained(evidence, {kFirst, kSubject}, at + kHold));
    at += seconds(1);
    evidence.RecordServed(std::vector{kFirst}, at - milliseconds(500), at - milliseconds(500));
    evidence.RecordCrash(crash, {Run(100 + crash, {kFirst, kSubject}, at)}, at);
  }
  CHECK(IsContained(evidence, {kFirst, kSubject}, at + kHold));
  CHECK_FALSE(IsContained(evidence, {kFirst, 9}, at + kHold));
}

// Guards against a sound part that stays refused, against trials of all daemons at the same time,
// and against a daemon that sends further requests while its trial is under way.
TEST_CASE("each daemon tries a contained part again at another time", "[parts]") {
  const std::uint32_t crashes = GENERATE(3, 5);
  std::set<MonotonicTime> times;
  for (std::uint64_t daemon = 1; daemon <= 6; ++daemon) {
    PartEvidence evidence(daemon);
    const MonotonicTime at = AddCrashes(&evidence, {kDeadly}, crashes);
    const auto until = evidence.ContainedUntil(kDeadlyParts, at + kHold);
    REQUIRE(until);
    const seconds delay = crashes < 5 ? PartEvidence::kMinTrialDelay : PartEvidence::kMaxTrialDelay;
    CHECK(*until >= at + delay);
    CHECK(*until < at + 2 * delay);
    times.insert(*until);
    CHECK_FALSE(IsContained(evidence, kDeadlyParts, *until));
    CHECK(evidence.Classify(kDeadlyParts, *until) == CrashVerdict::kLone);
    evidence.BeginTrial(kDeadlyParts, *until);
    CHECK(IsContained(evidence, kDeadlyParts, *until));
    evidence.RecordServed(kDeadlyParts, *until + milliseconds(1), *until + milliseconds(1));
    CHECK(evidence.Classify(kDeadlyParts, *until + milliseconds(1)) == CrashVerdict::kClean);
  }
  CHECK(times.size() == 6);
}

namespace {

const Address kRelay{"10.0.0.1", 7380};

// A daemon with its evidence.
struct Daemon {
  explicit Daemon(std::uint64_t number) : parts(number), exchange(&evidence, &parts, number) {}

  CrashEvidence evidence;
  PartEvidence parts;
  EvidenceExchange exchange;
};

// One daemon reports to another, with 30 ms each way. Returns the number of records.
std::size_t Report(Daemon* from, Daemon* to, MonotonicTime* now) {
  const auto request = Decode<EvidenceMessage>(Encode(from->exchange.MakeRequest(kRelay, *now)));
  *now += milliseconds(30);
  const auto answer = Decode<EvidenceMessage>(Encode(to->exchange.HandleRequest(*request, *now)));
  *now += milliseconds(30);
  from->exchange.HandleAnswer(kRelay, *answer, *now);
  return request->part_records.size() + answer->part_records.size();
}

}  // namespace

// Guards against evidence that stays at the daemon that saw the crash, and against records that
// circulate for ever since each hop makes them look younger.
TEST_CASE("records of parts reach all daemons once", "[parts]") {
  Daemon a(1), b(2), relay(3);
  a.parts.RecordCrash(1, {Run(101, {kDeadly, kSubject}, kStart)}, kStart);
  b.parts.RecordCrash(2, {Run(102, {kDeadly, kSubject}, kStart + seconds(1))}, kStart + seconds(1));
  MonotonicTime now = kStart + seconds(2);
  a.parts.RecordCrash(3, {Run(103, {kDeadly, kSubject}, now)}, now);
  for (int i = 0; i < 3; ++i) {
    Report(&a, &relay, &now);
    Report(&b, &relay, &now);
  }
  for (const Daemon* daemon : {&a, &b, &relay}) CHECK(daemon->parts.CrashCount(kDeadly) == 3);
  b.parts.RecordServed(std::vector{kSubject}, now, now);
  for (int i = 0; i < 3; ++i) {
    Report(&b, &relay, &now);
    Report(&a, &relay, &now);
  }
  for (const Daemon* daemon : {&a, &b, &relay}) {
    CHECK(daemon->parts.CrashCount(kSubject) == 0);
    CHECK(daemon->parts.CrashCount(kDeadly) == 3);
  }
  CHECK(Report(&a, &relay, &now) == 0);
  CHECK(Report(&b, &relay, &now) == 0);
}

// Guards against a part that is blamed by daemons that do not serve it themselves, while another
// one has served it since.
TEST_CASE("a daemon that served a part clears it at the others", "[parts]") {
  Daemon a(1), relay(2);
  relay.parts.RecordServed(std::vector{kFirst}, kStart + seconds(10), kStart + seconds(10));
  AddCrashes(&a.parts, {kFirst}, 4);
  MonotonicTime now = kStart + seconds(11);
  CHECK(IsContained(a.parts, {kFirst}, now));
  for (int i = 0; i < 3; ++i) Report(&a, &relay, &now);
  CHECK(a.parts.Classify(std::vector{kFirst}, now) == CrashVerdict::kClean);
}

// Guards against tables and messages that grow without bound, and against a contained part that is
// evicted by many suspects.
TEST_CASE("many parts don't evict a contained one", "[parts]") {
  PartEvidence evidence(1);
  MonotonicTime now = AddCrashes(&evidence, {kDeadly}, 3) + kHold;
  for (std::uint64_t i = 0; i < 4000; ++i) {
    evidence.RecordCrash(100 + i, {Run(1000 + i, {10000 + 2 * i, 10001 + 2 * i}, now)}, now);
  }
  CHECK(evidence.suspects() == PartEvidence::kMaxSuspects);
  CHECK(IsContained(evidence, kDeadlyParts, now));
  std::uint64_t next = 0;
  CHECK(evidence.RecordsSince(0, now, &next).size() == PartEvidence::kMaxRecords);
  evidence.PruneExpired(now + PartEvidence::kRetention);
  CHECK(evidence.suspects() == 0);
  CHECK(evidence.contained() == 0);
}

// Guards against a deadly part that is not looked at since many others precede it.
TEST_CASE("a part behind a thousand others is contained", "[parts]") {
  const bool known_before = GENERATE(false, true);
  CAPTURE(known_before);
  PartEvidence evidence(1);
  std::vector<std::uint64_t> sound(1000);
  std::iota(sound.begin(), sound.end(), 10000);
  std::vector<std::uint64_t> deadly = sound;
  deadly.push_back(kDeadly);
  if (known_before) evidence.RecordServed(deadly, kStart, kStart);
  MonotonicTime at = kStart;
  for (std::uint32_t crash = 1; crash <= 5; ++crash) {
    at += seconds(1);
    evidence.RecordServed(sound, at - milliseconds(500), at - milliseconds(500));
    evidence.RecordCrash(crash, {Run(100 + crash, deadly, at)}, at);
  }
  CHECK(IsContained(evidence, deadly, at + kHold));
  CHECK_FALSE(IsContained(evidence, sound, at + kHold));
  // The record that matters is in the first message, and the shared parts are not all recorded.
  std::uint64_t next = 0;
  const auto records = evidence.RecordsSince(0, at, &next);
  CHECK(std::count_if(records.begin(), records.end(), [](const PartRecord& record) {
          return record.part == kDeadly && record.crash != PartRecord::kServed;
        }) == 5);
  CHECK(records.size() < 5 * 2 * PartEvidence::kMaxKnownPartsPerCrash);
}

// Guards against a crash under many requests of many parts that evicts the part that matters or
// makes messages without bound.
TEST_CASE("twelve running requests with a thousand unknown parts each hide no deadly part",
          "[parts]") {
  PartEvidence evidence(1);
  std::uint64_t last = 1000000;
  MonotonicTime at = kStart;
  const auto unknown_run = [&](std::uint64_t request) {
    CrashedRun run = Run(request, {}, at);
    for (int i = 0; i < 1000; ++i) run.parts.push_back(++last);
    return run;
  };
  for (std::uint32_t crash = 1; crash <= 5; ++crash) {
    at += seconds(4);
    std::vector<CrashedRun> runs;
    for (int i = 0; i < 12; ++i) {
      runs.push_back(unknown_run(100 * crash + i));
      runs.back().response_started = i < 11;
    }
    runs.back().parts.push_back(kDeadly);
    evidence.RecordCrash(crash, runs, at);
    CHECK(evidence.suspects() <= PartEvidence::kMaxSuspects);
  }
  CHECK(IsContained(evidence, kDeadlyParts, at + kHold));
  EvidenceMessage message;
  std::uint64_t next = 0;
  message.part_records = evidence.RecordsSince(0, at, &next);
  CHECK(message.part_records.size() == PartEvidence::kMaxRecords);
  CHECK(Encode(message).size() < 10 * 1024);
}

// Guards against records that are lost or altered by the shorter form of those of one run.
TEST_CASE("records of several runs and parts are sent and received unchanged", "[parts]") {
  EvidenceMessage message;
  for (std::uint32_t i = 0; i < 40; ++i) {
    message.part_records.push_back({i, i / 7, i / 14, i % 21 < 7, 5 + i / 28, 6});
  }
  const auto received = Decode<EvidenceMessage>(Encode(message));
  REQUIRE(received);
  REQUIRE(received->part_records.size() == message.part_records.size());
  for (std::size_t i = 0; i < message.part_records.size(); ++i) {
    CHECK(received->part_records[i].part == message.part_records[i].part);
    CHECK(received->part_records[i].IsOfSameRun(message.part_records[i]));
  }
}

// Guards against too many crashes, against sends after a part is known by the users' bound, and
// against sound requests that are refused or held, for random orders of events.
TEST_CASE("deadly parts are contained in simulated fleets", "[parts]") {
  struct Case {
    const char* name;
    ContainmentScenario scenario;
  };
  ContainmentScenario tied, known, several, lossy, relay, cut, mass, large;
  tied.tied = true;
  known.known_before = true;
  several.deadly_parts = 3;
  several.deadly_share = 0.15;
  lossy.message_loss = 0.3;
  relay.relay_dies = true;
  cut.cut = true;
  mass.mass_crash = true;
  large.daemons = 60;
  large.engines = 117;
  large.requests_per_s = 200;
  // Prompts of many parts, near the limit of a request's header.
  ContainmentScenario common, common_known, own;
  common.common_parts = 1000;
  common_known.common_parts = 1000;
  common_known.known_before = true;
  own.own_parts = 300;
  const Case cases[] = {
      {"one", {}},          {"tied", tied},       {"known before", known},
      {"several", several}, {"lossy", lossy},     {"relay dies", relay},
      {"cut", cut},         {"mass crash", mass}, {"large", large},
      {"common", common},   {"own", own},         {"common, known", common_known}};
  for (const Case& each : cases) {
    const bool is_slow =
        each.scenario.daemons > 10 || each.scenario.common_parts > 0 || each.scenario.own_parts > 0;
    const std::uint64_t seeds = is_slow ? 5 : 40;
    ContainmentCounts total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      const ContainmentCounts counts = ContainmentSimulation(each.scenario, seed).Run(seconds(40));
      CAPTURE(each.name, seed, counts.crashes);
      CHECK(counts.late_sends <= 3);
      CHECK(counts.sound_not_started * 2 <= counts.sound);
      total.crashes += counts.crashes;
      total.late_sends = std::max(total.late_sends, counts.late_sends);
      total.sound += counts.sound;
      total.sound_not_started += counts.sound_not_started;
    }
    WARN(each.name << ": " << static_cast<double>(total.crashes) / seeds << " crashes, at most "
                   << total.late_sends << " late sends, " << total.sound_not_started << " of "
                   << total.sound << " sound requests not started at once");
  }
}

}  // namespace mimosabend::testing
