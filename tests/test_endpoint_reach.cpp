#include <catch2/catch.hpp>
#include <set>

#include "endpoint_reach.h"

namespace mimosabend::testing {

namespace {

constexpr milliseconds kStep{50};
// The users' rules apply from this time after a cut began.
constexpr milliseconds kContactTime{3000};

// Runs the decisions against a network in which each service has a number of endpoints that are
// reached, by simulated time.
struct Network {
  explicit Network(std::map<std::string, std::size_t> services) : endpoints(std::move(services)) {
    reached = endpoints;
    reach.SetServices(endpoints, now);
  }

  // Probes end one step after they began. The first `reached` endpoints of a service are reached,
  // and each round probes others, in turn.
  void Run(milliseconds time) {
    for (const MonotonicTime end = now + time; now < end; now += kStep) {
      for (const ProbeRound& round : reach.BeginProbes(now)) {
        probes += round.endpoints;
        std::size_t found = 0;
        for (std::size_t i = 0; i < round.endpoints; ++i) {
          if (turn++ % endpoints[round.service] < reached[round.service]) ++found;
        }
        reach.RecordProbes(round, round.endpoints, found, now + kStep);
      }
    }
  }

  void CutAll() {
    for (auto& [name, count] : reached) count = 0;
  }

  std::map<std::string, std::size_t> endpoints;
  std::map<std::string, std::size_t> reached;
  MonotonicTime now{seconds(100)};
  std::size_t turn = 0;
  std::size_t probes = 0;
  EndpointReach reach;
};

}  // namespace

// Guards against a partition that is noticed only when requests fail.
TEST_CASE("a cut is noticed in time without any request", "[endpoint_reach]") {
  Network network({{"a", 20}, {"b", 3}, {"c", 1}});
  network.Run(seconds(5));
  CHECK(network.reach.CutOffServices().empty());
  network.CutAll();
  network.Run(kContactTime);
  CHECK(network.reach.CutOffServices() == std::vector<std::string>{"a", "b", "c"});
}

// Guards against probes that load endpoints of which responses arrive.
TEST_CASE("a service that responds is not probed", "[endpoint_reach]") {
  Network network({{"a", 20}});
  for (int i = 0; i < 50; ++i) {
    network.reach.RecordResponse("a", network.now);
    network.Run(milliseconds(100));
  }
  CHECK(network.probes == 0);
}

// Guards against connections to endpoints whose number grows with the services that are seldom
// used.
TEST_CASE("a daemon that hears from one service probes no other", "[endpoint_reach]") {
  Network network({{"busy", 20}, {"quiet", 20}, {"rare", 2}});
  for (int i = 0; i < 50; ++i) {
    network.reach.RecordResponse("busy", network.now);
    network.Run(milliseconds(1000));
  }
  CHECK(network.probes == 0);
  // Without any response, one probe in half of the contact time is enough.
  network.Run(seconds(60));
  CHECK(network.probes <= 60 / 1.5);
}

// Guards against a single endpoint that crashes or falls silent being taken for a partition.
TEST_CASE("one silent endpoint is no partition", "[endpoint_reach]") {
  Network network({{"a", 20}, {"single", 1}});
  network.reached["single"] = 0;
  network.reached["a"] = 19;
  network.reach.RecordFailure("single", true, network.now);
  network.reach.RecordFailure("a", true, network.now);
  network.Run(seconds(10));
  CHECK(network.reach.CutOffServices().empty());
  CHECK_FALSE(network.reach.MayBeCutOff("single"));
}

// Guards against one switch for all services, and for a service of which half is reached.
TEST_CASE("each service is decided on its own", "[endpoint_reach]") {
  Network network({{"half", 20}, {"none", 20}, {"all", 20}});
  network.reached["half"] = 10;
  network.reached["none"] = 0;
  network.Run(seconds(10));
  CHECK(network.reach.CutOffServices() == std::vector<std::string>{"none"});
}

// Guards against a failure that waits for a heartbeat, and against a failed attempt of a service
// that responds being taken for a suspicion.
TEST_CASE("a failed connection is looked into at once", "[endpoint_reach]") {
  Network network({{"a", 20}});
  network.reach.RecordResponse("a", network.now);
  CHECK_FALSE(network.reach.RecordFailure("a", false, network.now));
  CHECK_FALSE(network.reach.MayBeCutOff("a"));
  CHECK(network.reach.RecordFailure("a", true, network.now));
  CHECK(network.reach.MayBeCutOff("a"));
  network.CutAll();
  network.Run(milliseconds(300));
  CHECK(network.reach.IsCutOff("a"));
}

// Guards against a gateway that goes on passing requests on after a cut, that returns after a
// single probe, and that misses a cut that comes back.
TEST_CASE("the end of a cut is found by probes", "[endpoint_reach]") {
  Network network({{"a", 20}});
  for (int cut = 0; cut < 3; ++cut) {
    network.CutAll();
    network.Run(kContactTime);
    REQUIRE(network.reach.IsCutOff("a"));
    network.reached["a"] = 20;
    const std::size_t before = network.probes;
    network.Run(milliseconds(250));
    CHECK(network.reach.IsCutOff("a"));
    network.Run(milliseconds(750));
    CHECK_FALSE(network.reach.IsCutOff("a"));
    CHECK(network.probes - before <= 8);
  }
}

// Guards against probes of endpoints that fail together.
TEST_CASE("probes are spread over failure domains", "[endpoint_reach]") {
  std::vector<FleetEndpoint> endpoints(20);
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    endpoints[i].id = "e" + std::to_string(i);
    endpoints[i].failure_domain = i < 18 ? "a" : "b" + std::to_string(i);
  }
  std::set<std::string> chosen;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const auto targets = ChooseProbeTargets(endpoints, 3, seed);
    std::set<std::string> domains;
    for (const FleetEndpoint& target : targets) {
      domains.insert(target.failure_domain);
      chosen.insert(target.id);
    }
    CHECK(domains == std::set<std::string>{"a", "b18", "b19"});
  }
  CHECK(chosen.size() > 10);
  CHECK(ChooseProbeTargets({}, 3, 1).empty());
}

}  // namespace mimosabend::testing
