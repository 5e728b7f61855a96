#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "replica_directory.h"

namespace mimosabend {

namespace asio = boost::asio;

namespace {

// Owners of three regions that answer at once.
struct Owners {
  explicit Owners(double idle_weight) {
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

  // A region that can't be reached answers as one without an owner.
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
    if (loads_at_once && answer.status == DemandStatus::kLoading) ready.insert(region);
    co_return answer;
  }

  // Finds a model from region `from` and returns the endpoint; empty if there is none in time.
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
  std::set<std::string> ready;
  std::set<std::string> unreachable;
  std::set<std::string> asked_to_load;
  bool loads_at_once = true;
};

}  // namespace

// Guards against one load for each region where idle hours matter most.
TEST_CASE("towards few idle hours all regions share one load") {
  Owners owners(0.7);
  std::set<std::string> endpoints;
  for (const char* region : {"a", "b", "c"}) endpoints.insert(owners.Find(region, "m"));
  CHECK(endpoints.size() == 1);
  CHECK(owners.asked_to_load.size() == 1);
}

// Guards against cross-region traffic for models that the document keeps loaded in each region.
TEST_CASE("a model with a lower bound is served by its own region") {
  Owners owners(0.7);
  owners.ready = {"a", "b", "c"};
  for (const char* region : {"a", "b", "c"}) {
    CHECK(owners.Find(region, "kept") == std::string("engine-") + region);
  }
}

// Guards against a lost wake-up: a request at the daemon that owns the group waited until its
// deadline for an answer that was there at once.
TEST_CASE("an answer that comes at once is not missed") {
  Owners owners(0.2);
  owners.ready = {"a"};
  const MonotonicTime start = MonotonicNow();
  CHECK(owners.Find("a", "m") == "engine-a");
  CHECK(MonotonicNow() - start < milliseconds(500));
}

// Guards against a request that waits for its region's load beside a replica that is ready.
TEST_CASE("towards short cold starts a request uses another region's replica at once") {
  Owners owners(0.2);
  owners.loads_at_once = false;
  owners.ready = {"c"};
  CHECK(owners.Find("a", "m") == "engine-c");
  // The own region loads its copy, too; the others are only asked.
  CHECK(owners.asked_to_load == std::set<std::string>{"a"});
}

// Guards against requests refused because the region of the shared copy is cut off.
TEST_CASE("a region that can't be reached does not stop the others") {
  for (const char* lost : {"a", "b", "c"}) {
    for (const char* from : {"a", "b", "c"}) {
      if (std::string(lost) == from) continue;
      Owners owners(0.7);
      owners.unreachable = {lost};
      CHECK_FALSE(owners.Find(from, "m").empty());
    }
  }
}

}  // namespace mimosabend
