#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "replica_directory.h"

namespace mimosabend {

namespace asio = boost::asio;

namespace {

// Placement owners of three regions that answer demand requests immediately.
struct FakeOwners {
  explicit FakeOwners(double idle_weight) {
    Environment document;
    document.regions = {"a", "b", "c"};
    document.idle_weight = idle_weight;
    Pool pool;
    pool.name = "pool";
    document.pools["pool"] = pool;
    document.models["m"] = Model{"m", "", "pool", "1", 1000, 0, 1};
    document.models["kept"] = Model{"kept", "", "pool", "1", 1000, 1, 1};
    environment = std::make_shared<const Environment>(document);
  }

  // Answers for the owner of the group's region, with kNotOwner if the region is unreachable.
  Task<DemandAnswer> Ask(DemandRequest request) {
    const std::string region = request.group.substr(5, 1);
    if (request.waiting != WaitingByRank{}) asked_to_load.insert(region);
    DemandAnswer answer;
    answer.status = unreachable.contains(region) ? DemandStatus::kNotOwner : DemandStatus::kLoading;
    if (ready.contains(region)) {
      answer.status = DemandStatus::kReady;
      ReplicaLocation replica;
      replica.endpoint = "engine-" + region;
      replica.region = region;
      answer.replicas.push_back(replica);
    }
    if (loads_instantly && answer.status == DemandStatus::kLoading) ready.insert(region);
    co_return answer;
  }

  // Looks a model up from region `from`. Returns the endpoint; empty if none is found within 1 s.
  std::string Find(const std::string& from, const std::string& model) {
    asio::io_context io(1);
    ReplicaDirectory directory(
        io.get_executor(), from, true, [this] { return environment; },
        [this](DemandRequest request) { return Ask(std::move(request)); });
    std::string endpoint;
    const auto run = [&]() -> Task<void> {
      auto found =
          co_await directory.Find(model, Rank::kUrgent, MonotonicNow() + milliseconds(1000));
      if (found) endpoint = found.value().replicas.front().endpoint;
    };
    asio::co_spawn(io, run(), asio::detached);
    io.run();
    return endpoint;
  }

  std::shared_ptr<const Environment> environment;
  // Regions with a ready replica.
  std::set<std::string> ready;
  std::set<std::string> unreachable;
  // Regions whose owner was told of waiting requests, which makes it load the model.
  std::set<std::string> asked_to_load;
  // Whether a replica is ready as soon as its load was requested.
  bool loads_instantly = true;
};

}  // namespace

// Guards against one load per region although the weight of idle accelerator time is high.
TEST_CASE("with a high idle weight all regions share one replica") {
  FakeOwners owners(0.7);
  std::set<std::string> endpoints;
  for (const char* region : {"a", "b", "c"}) endpoints.insert(owners.Find(region, "m"));
  CHECK(endpoints.size() == 1);
  CHECK(owners.asked_to_load.size() == 1);
}

// Guards against cross-region traffic for models that the document keeps loaded in each region.
TEST_CASE("a model with a minimum number of replicas is served by its own region") {
  FakeOwners owners(0.7);
  owners.ready = {"a", "b", "c"};
  for (const char* region : {"a", "b", "c"}) {
    CHECK(owners.Find(region, "kept") == std::string("engine-") + region);
  }
}

// Guards against a lost wakeup: a request at the daemon that owns the group waited
// until its deadline although the answer came immediately.
TEST_CASE("an immediate answer is not missed") {
  FakeOwners owners(0.2);
  owners.ready = {"a"};
  const MonotonicTime start = MonotonicNow();
  CHECK(owners.Find("a", "m") == "engine-a");
  CHECK(MonotonicNow() - start < milliseconds(500));
}

// Guards against a request that waits for a load in its own region although another region has a
// ready replica.
TEST_CASE("with a low idle weight a request uses another region's replica immediately") {
  FakeOwners owners(0.2);
  owners.loads_instantly = false;
  owners.ready = {"c"};
  CHECK(owners.Find("a", "m") == "engine-c");
  // The own region loads a replica, too; the others are only asked for ready replicas.
  CHECK(owners.asked_to_load == std::set<std::string>{"a"});
}

// Guards against requests refused because the region of the shared replica is unreachable.
TEST_CASE("an unreachable region does not affect requests in the others") {
  for (const char* unreachable_region : {"a", "b", "c"}) {
    for (const char* from : {"a", "b", "c"}) {
      if (std::string(unreachable_region) == from) continue;
      FakeOwners owners(0.7);
      owners.unreachable = {unreachable_region};
      CHECK_FALSE(owners.Find(from, "m").empty());
    }
  }
}

}  // namespace mimosabend
