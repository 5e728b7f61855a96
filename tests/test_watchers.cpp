#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "fleet.h"
#include "gossip.h"
#include "membership.h"

namespace mimosabend::testing {

namespace {

// Bound on the time until an accepted document is in force everywhere (guarantee 9).
constexpr seconds kInForceTime{9};
constexpr std::size_t kWatchersPerRegion = 3;

MemberUpdate MakeMember(int index) {
  MemberUpdate update;
  update.name = "daemon-" + std::to_string(index);
  update.region = "region-" + std::to_string(index % 4);
  update.address = {"127.0.0.1", 1};
  update.incarnation = 1;
  return update;
}

std::set<int> Watchers(Fleet* fleet) {
  std::set<int> watchers;
  for (int i = 0; i < fleet->options().daemons; ++i) {
    if (fleet->Metric(i, "mimosabend_document_watchers") == 1) watchers.insert(i);
  }
  return watchers;
}

bool AllSeeMembers(Fleet* fleet, int count) {
  for (int i = 0; i < fleet->options().daemons; ++i) {
    if (fleet->Metric(i, "mimosabend_live_members") != count) return false;
  }
  return true;
}

}  // namespace

// Guards against a fleet in which all daemons watch the store, and against members of a region that
// choose different watchers.
TEST_CASE("three daemons of each region watch, and others replace them when they die") {
  constexpr int kDaemons = 340;
  const MonotonicTime now = MonotonicNow();
  std::set<int> chosen;
  for (int i = 0; i < kDaemons; ++i) {
    Membership membership(MakeMember(i), now, 1);
    for (int other = 0; other < kDaemons; ++other) membership.Apply(MakeMember(other), now);
    if (membership.IsPreferredInRegion("head", kWatchersPerRegion)) chosen.insert(i);
  }
  REQUIRE(chosen.size() == 4 * kWatchersPerRegion);

  std::size_t successors = 0;
  for (int i = 0; i < kDaemons; ++i) {
    if (chosen.contains(i)) continue;
    Membership membership(MakeMember(i), now, 1);
    for (int other = 0; other < kDaemons; ++other) {
      MemberUpdate update = MakeMember(other);
      membership.Apply(update, now);
      update.state = MemberState::kDead;
      if (chosen.contains(other)) membership.Apply(update, now);
    }
    if (membership.IsPreferredInRegion("head", kWatchersPerRegion)) ++successors;
  }
  CHECK(successors == 4 * kWatchersPerRegion);
}

// Guards against a document version that stays unknown because all daemons that watched have died.
TEST_CASE("a new version reaches all daemons in time when all watchers die") {
  FleetOptions options;
  options.daemons = 8;
  options.regions = {"nordeste"};
  options.engines_per_region = 1;
  options.services_per_region = 0;
  Fleet fleet(options);
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(options));
  REQUIRE(WaitFor(seconds(10), [&] { return AllSeeMembers(&fleet, options.daemons); }));
  // A new version ends the watches of daemons that started them before they knew the others.
  REQUIRE(fleet.RunOperatorCommand({"promote"}).exit_code == 0);
  REQUIRE(WaitFor(seconds(5), [&] { return Watchers(&fleet).size() == kWatchersPerRegion; }));
  const std::set<int> watchers = Watchers(&fleet);
  REQUIRE(watchers.size() == kWatchersPerRegion);
  for (int watcher : watchers) fleet.daemon(watcher).Signal(SIGKILL);

  // Doesn't wait for the version to be in force, since the command would ask the dead daemons, too.
  const MonotonicTime accepted = MonotonicNow();
  const CommandResult promoted = fleet.RunOperatorCommand({"promote", "--wait_s=0"});
  REQUIRE_THAT(promoted.output, Catch::Matchers::Contains("accepted: version 3"));
  const bool in_force = WaitFor(kInForceTime, [&] {
    for (int i = 0; i < options.daemons; ++i) {
      const bool dead = watchers.contains(i);
      if (!dead && fleet.Metric(i, "mimosabend_environment_version") != 3) return false;
    }
    return true;
  });
  INFO("waited " << ToSeconds(MonotonicNow() - accepted) << " s");
  CHECK(in_force);
}

// Guards against a fleet that stays split after a network partition that lasted until each side had
// removed the other's members. A side without seeds is found through the seeds of the other.
TEST_CASE("a daemon that no member knows is found through the seeds of the others") {
  FleetOptions options;
  options.daemons = 3;
  options.engines_per_region = 0;
  options.services_per_region = 0;
  options.without_seeds = {2};
  Fleet fleet(options);
  fleet.StartDaemon(0);
  fleet.StartDaemon(1);
  // The first two daemons have finished joining before the third starts.
  REQUIRE(WaitFor(seconds(10), [&] {
    return fleet.Metric(0, "mimosabend_live_members") == 2 &&
           fleet.Metric(1, "mimosabend_live_members") == 2;
  }));
  std::this_thread::sleep_for(seconds(2));
  fleet.StartDaemon(2);
  CHECK(WaitFor(seconds(15), [&] { return AllSeeMembers(&fleet, 3); }));
}

// Guards against a membership exchange that uses up the bandwidth of control messages.
TEST_CASE("the membership exchange stays within a third of the control bandwidth") {
  constexpr double kControlBytesPerSecond = 3 * 1024;
  constexpr int kDaemons = 340;
  MembersRequest request;
  for (int i = 0; i < kDaemons; ++i) request.updates.push_back(MakeMember(i));
  // In each period a daemon sends one request and answers one; each carries all members both ways.
  const double bytes = 4.0 * static_cast<double>(Encode(request).size());
  CHECK(bytes / ToSeconds(MembersExchangePeriod(kDaemons)) < kControlBytesPerSecond / 3);
  CHECK(MembersExchangePeriod(6) == seconds(30));
}

}  // namespace mimosabend::testing
