#include <catch2/catch.hpp>

#include "document_parts.h"
#include "fleet_state.h"
#include "report_aggregator.h"
#include "uplink.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};

// A revision of the store before any restore.
constexpr StoreRevision At(std::uint64_t revision) { return {0, revision}; }

FleetEndpoint Endpoint(const std::string& id, std::int64_t started_ms = 1) {
  FleetEndpoint endpoint;
  endpoint.id = id;
  endpoint.service = "models";
  endpoint.address = {"10.0.0.1", 80};
  endpoint.slots = 64;
  endpoint.started_ms = started_ms;
  return endpoint;
}

Address Daemon(int i) { return {"10.1.0." + std::to_string(i), 7380}; }

std::vector<std::string> Gone(const std::vector<EndpointRecord>& changes) {
  std::vector<std::string> gone;
  for (const EndpointRecord& change : changes) {
    if (change.gone) gone.push_back(change.id);
  }
  return gone;
}

ModelUsage Usage(const std::string& model, std::uint32_t requests, std::uint32_t waiting,
                 std::uint32_t priority) {
  ModelUsage usage;
  usage.service = "models";
  usage.model = model;
  usage.requests = requests;
  usage.waiting = waiting;
  usage.waiting_priority = priority;
  return usage;
}

std::string Config(int routes, int changed) {
  std::string text = R"({"version":1,"routes":[)";
  for (int i = 0; i < routes; ++i) {
    text += R"({"name":"r)" + std::to_string(i) + R"(","timeout-ms":)" +
            std::to_string(i == changed ? 9 : 5) + "},";
  }
  return text + "{}]}";
}

}  // namespace

// Guards against deleted endpoints that a daemon keeps or restores because its view comes from
// another daemon and not from the store.
TEST_CASE("a directory merges only newer changes from others", "[state]") {
  DirectoryLog reader;
  reader.Put(Endpoint("e1"), At(3));
  reader.Put(Endpoint("e2"), At(5));
  reader.Advance(At(6));
  DirectoryLog other;
  CHECK(other.Merge(reader.Since(other.revision())).size() == 2);
  CHECK(other.revision() == At(6));

  const DirectoryChanges old = reader.Since({});
  reader.Remove("e1", At(8));
  FleetEndpoint draining = Endpoint("e2");
  draining.state = EndpointState::kDraining;
  reader.Put(draining, At(9));
  reader.Advance(At(9));
  const auto merged = other.Merge(reader.Since(other.revision()));
  CHECK(merged.size() == 2);
  CHECK(Gone(merged) == std::vector<std::string>{"e1"});
  CHECK_FALSE(other.NumberOf("e1"));
  // An older delta changes nothing.
  CHECK(other.Merge(old).empty());
  CHECK(other.revision() == At(9));

  // A daemon that knows no revision gets a snapshot and drops what is not in it.
  DirectoryLog lost;
  lost.Put(Endpoint("e3"), At(2));
  CHECK(Gone(lost.Merge(reader.Since({}))) == std::vector<std::string>{"e3"});
  CHECK(lost.NumberOf("e2"));
}

// Guards against endpoints that left while the leader restarted, or while a daemon could not read
// the store: the log that is then read anew does not list them, so a delta would leave them in use
// at all other daemons.
TEST_CASE("a deletion before a snapshot reaches daemons with an older view", "[state]") {
  DirectoryLog reader;
  reader.Put(Endpoint("e1"), At(3));
  reader.Put(Endpoint("e2"), At(5));
  reader.KeepOnly({"e1", "e2"}, At(6));
  reader.Advance(At(6));
  DirectoryLog other;
  other.Merge(reader.Since({}));

  // e1 is deleted at revision 7 while the reader restarts.
  DirectoryLog restarted;
  restarted.Put(Endpoint("e2"), At(5));
  restarted.Put(Endpoint("e3"), At(8));
  restarted.KeepOnly({"e2", "e3"}, At(9));
  restarted.Advance(At(9));
  // A relay with the older view passes the deletion on.
  const auto merged = other.Merge(restarted.Since(other.revision()));
  CHECK(merged.size() == 2);
  CHECK(Gone(merged) == std::vector<std::string>{"e1"});
  CHECK(other.NumberOf("e2"));
  CHECK(other.NumberOf("e3"));

  // e4 is registered and deleted while the reader can't read the store, but a third daemon has
  // seen it.
  DirectoryLog third;
  third.Merge(other.Since({}));
  third.Put(Endpoint("e4"), At(10));
  third.Advance(At(10));
  other.KeepOnly({"e2", "e3"}, At(12));
  other.Advance(At(12));
  CHECK(Gone(third.Merge(other.Since(third.revision()))) == std::vector<std::string>{"e4"});
  CHECK(third.NumberOf("e2"));
  // Without such a gap, an answer lists only what has changed.
  CHECK(other.Since(At(12)).changes.empty());
  other.Remove("e3", At(13));
  other.Advance(At(13));
  const DirectoryChanges delta = other.Since(At(12));
  CHECK_FALSE(delta.is_snapshot);
  CHECK(delta.changes.size() == 1);
}

// Guards against loads of a former incarnation that are counted for the present one.
TEST_CASE("a restarted endpoint has another number", "[state]") {
  DirectoryLog log;
  log.Put(Endpoint("e1", 1), At(1));
  const auto first = log.NumberOf("e1");
  log.Put(Endpoint("e1", 2), At(2));
  CHECK(log.NumberOf("e1") != first);
  CHECK(log.FindNumber(*first) == nullptr);
  REQUIRE(log.FindNumber(*log.NumberOf("e1")) != nullptr);
}

// Guards against sending the full configuration when only one route has changed, and against a
// configuration that is joined wrongly.
TEST_CASE("only the changed parts of a configuration are sent", "[state]") {
  const std::string before = Config(400, -1);
  const std::string after = Config(400, 200);
  const MultipartDocument old(1, SplitJsonDocument(before));
  const MultipartDocument newer(2, SplitJsonDocument(after));
  CHECK(newer.Text() == after);
  const DocumentAnswer answer = newer.HandleRequest(old.MakeRequest());
  CHECK(answer.parts.size() <= 2);
  const auto joined = old.ApplyAnswer(answer);
  REQUIRE(joined);
  CHECK(joined->Text() == after);
  CHECK(joined->version() == 2);
  // Can't be joined without the other parts.
  CHECK_FALSE(MultipartDocument().ApplyAnswer(answer));
  DocumentAnswer corrupt = answer;
  corrupt.parts.back() += " ";
  CHECK_FALSE(old.ApplyAnswer(corrupt));
}

// Guards against holdings that are sent repeatedly, and against stale ones that a daemon keeps
// since only the former leader had sent them.
TEST_CASE("versions of the holdings continue from one leader to the next", "[state]") {
  HoldingsLog former;
  former.Apply({1, 11, {{"m", {}}}});
  former.Apply({2, 12, {{"m", {}}}});
  HoldingsLog log = former;
  // The new leader missed this one.
  former.Apply({2, 13, {}});
  log.SetGap(log.version(), 1000);
  log.Apply({1, 1001, {{"n", {}}}});
  CHECK(log.Since(12).size() == 1);
  CHECK(log.Since(13).size() == 2);
  CHECK(log.Since(1001).empty());
  CHECK_FALSE(log.Apply({1, 11, {}}));
}

// Guards against a daemon that follows a former leader, or trusts a leader that nobody has heard
// of.
TEST_CASE("the leader with the highest fence counts, with the age of its last message", "[state]") {
  FleetState state;
  CHECK_FALSE(state.leader());
  CHECK(state.UpdateLeader({5, Daemon(1), 100}, kStart));
  CHECK(state.leader_heard() == kStart - milliseconds(100));
  CHECK_FALSE(state.UpdateLeader({4, Daemon(2), 0}, kStart + seconds(1)));
  CHECK(*state.leader() == Daemon(1));
  // Found in the store, but not heard of.
  CHECK(state.UpdateLeader({9, Daemon(3), 600000}, kStart + seconds(1)));
  CHECK(*state.leader() == Daemon(3));
  CHECK(state.leader_heard() < kStart - seconds(100));
  CHECK(state.MakeLeaderNotice(kStart + seconds(1)).age_ms == 600000);
}

// Guards against a leader that gets the reports of all daemons of a large fleet, and against relays
// on small hosts while there are large ones.
TEST_CASE("large fleets get relays on the largest hosts of each failure domain", "[relays]") {
  RelayPlanner planner(Daemon(0), {}, 100);
  for (int i = 0; i < 20; ++i)
    planner.RecordReport({Daemon(i), i % 2 == 0 ? "a" : "b", 20}, kStart);
  planner.Update(kStart);
  // The daemons of a small fleet report to the leader, but know others that they can ask.
  CHECK_FALSE(planner.plan().relaying);
  CHECK(planner.plan().Find("a")->size() == 2);
  for (int i = 20; i < 40; ++i) {
    planner.RecordReport({Daemon(i), i % 2 == 0 ? "a" : "b", i >= 36 ? 200U : 20U}, kStart);
  }
  planner.RecordReport({Daemon(90), "c", 200}, kStart);
  planner.Update(kStart);
  CHECK(planner.live_daemons() == 41);
  CHECK(planner.plan().relaying);
  CHECK(planner.plan().version == 102);
  REQUIRE(planner.plan().Find("a") != nullptr);
  for (const char* domain : {"a", "b"}) CHECK(planner.plan().Find(domain)->size() == 2);
  RelayPlanner at_once(Daemon(0), {}, 100);
  for (int i = 0; i < 40; ++i) {
    at_once.RecordReport({Daemon(i), i % 2 == 0 ? "a" : "b", i >= 36 ? 200U : 20U}, kStart);
  }
  at_once.Update(kStart);
  CHECK(*at_once.plan().Find("a") == std::vector<Address>{Daemon(36), Daemon(38)});
  CHECK(*at_once.plan().Find("b") == std::vector<Address>{Daemon(37), Daemon(39)});
  // A domain with a single daemon needs no relay.
  CHECK(planner.plan().Find("c") == nullptr);
}

// Guards against daemons that stay without a relay, and against needless changes of relays.
TEST_CASE("a silent relay is replaced, the others stay", "[relays]") {
  RelayPlanner planner(Daemon(0), {}, 0);
  const auto report = [&](int silent, MonotonicTime now) {
    for (int i = 1; i < 30; ++i) {
      if (i != silent) planner.RecordReport({Daemon(i), "a", 20}, now);
    }
    planner.Update(now);
  };
  report(-1, kStart);
  const std::vector<Address> first = *planner.plan().Find("a");
  REQUIRE(first.size() == 2);
  // A larger host does not replace a working relay.
  planner.RecordReport({Daemon(60), "a", 200}, kStart + seconds(1));
  report(-1, kStart + seconds(1));
  CHECK(*planner.plan().Find("a") == first);
  int lost = 0;
  for (int i = 1; i < 30; ++i) {
    if (Daemon(i) == first[0]) lost = i;
  }
  report(lost, kStart + seconds(2));
  report(lost, kStart + seconds(4));
  const std::vector<Address> second = *planner.plan().Find("a");
  CHECK(second[0] == first[1]);
  CHECK(second.size() == 2);
}

// Guards against daemons that can't reach the leader while some other daemon can.
TEST_CASE("reports go to the relays, then to the leader, then to relays of other domains",
          "[relays]") {
  RelayPlan plan;
  plan.version = 1;
  plan.relaying = true;
  plan.domains = {{"a", {Daemon(1), Daemon(2)}}, {"b", {Daemon(3)}}};
  Uplink uplink(Daemon(9), "a");
  CHECK_FALSE(uplink.Next(kStart));
  uplink.Update(plan, Daemon(7));
  std::vector<Address> tried;
  for (MonotonicTime now = kStart; uplink.Next(now) && tried.size() < 10;) {
    tried.push_back(*uplink.Next(now));
    uplink.RecordFailure(now);
    uplink.RecordFailure(now);
  }
  CHECK(tried == std::vector<Address>{Daemon(1), Daemon(2), Daemon(7), Daemon(3)});
  // The first choice is retried after a while; one lost answer does not cause a switch.
  CHECK(*uplink.Next(kStart + seconds(6)) == Daemon(1));
  uplink.RecordFailure(kStart + seconds(6));
  CHECK(*uplink.Next(kStart + seconds(6)) == Daemon(1));
  // In a small fleet the leader is the first choice.
  plan.relaying = false;
  plan.version = 2;
  uplink.Update(plan, Daemon(7));
  CHECK(*uplink.Next(kStart) == Daemon(7));
  plan.relaying = true;
  plan.version = 3;
  // A relay reports to the leader.
  Uplink relay(Daemon(1), "a");
  relay.Update(plan, Daemon(7));
  CHECK(relay.is_relay());
  CHECK(*relay.Next(kStart) == Daemon(7));
}

// Guards against requests behind a relay that are lost or counted twice in the reports to the
// leader.
TEST_CASE("a relay merges the reports of its daemons", "[relays]") {
  ReportAggregator aggregator;
  UsageReport a;
  a.sender = {Daemon(1), "a", 20};
  a.models = {Usage("m", 3, 0, 0), Usage("n", 0, 2, 1)};
  a.loads = {EndpointLoad(5, {2, 640, 2560})};
  a.runs = {{5, {{"m", 2, {"a1"}}}}};
  a.unreachable = {8};
  UsageReport b;
  b.sender = {Daemon(2), "a", 20};
  b.models = {Usage("m", 1, 0, 0), Usage("n", 0, 1, 0)};
  b.loads = {EndpointLoad(5, {1, 64, 256})};
  b.runs = {{5, {{"m", 1, {"a2"}}}}};
  aggregator.AddReport("a", a, kStart);
  aggregator.AddReport("b", b, kStart);
  CHECK(aggregator.HasWaiting(kStart));
  UsageReport own;
  own.sender = {Daemon(3), "a", 200};
  own.loads = {EndpointLoad(5, {4, 0, 0})};
  aggregator.MergeInto("self", &own, kStart);
  REQUIRE(own.loads.size() == 1);
  CHECK(own.loads[0].Work().requests == 7);
  REQUIRE(own.runs.size() == 1);
  CHECK(own.runs[0].models[0].requests == 3);
  CHECK(own.runs[0].models[0].adapters == std::vector<std::string>{"a1", "a2"});
  CHECK(own.unreachable == std::vector<std::uint32_t>{8});
  CHECK(own.relayed.size() == 2);
  REQUIRE(own.models.size() == 2);
  CHECK(own.models[0].requests == 4);
  CHECK(own.models[1].waiting == 3);
  CHECK(own.models[1].waiting_priority == 0);
  // Requests are reported once, waiting ones for as long as they wait.
  UsageReport next;
  aggregator.MergeInto("self", &next, kStart + milliseconds(100));
  REQUIRE(next.models.size() == 1);
  CHECK(next.models[0].waiting == 3);
  aggregator.Restore(own);
  UsageReport again;
  aggregator.MergeInto("self", &again, kStart + milliseconds(200));
  CHECK(again.models[0].requests == 4);
  // Each daemon gets the loads of all others, behind this relay or elsewhere, but not its own.
  aggregator.SetExternalLoads({EndpointLoad(5, {10, 0, 0}), EndpointLoad(6, {1, 0, 0})});
  const auto others = aggregator.LoadsExcept("a");
  REQUIRE(others.size() == 2);
  CHECK(others[0].Work().requests == 11);
  // A silent daemon no longer counts.
  UsageReport later;
  aggregator.MergeInto("self", &later, kStart + seconds(9));
  CHECK(later.relayed.empty());
  CHECK(later.loads.empty());
}

}  // namespace mimosabend::testing
