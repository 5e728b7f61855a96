#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fake_fleet_store.h"
#include "fleet_follower.h"
#include "simulated_time.h"

namespace mimosabend::testing {

namespace {

// A follower of "endpoints/" that records its items in `known`.
struct FollowerFixture {
  FollowerFixture()
      : follower(io.get_executor(), &store, "endpoints/", milliseconds(5), Handlers()) {
    boost::asio::co_spawn(io, follower.Run(), boost::asio::detached);
  }

  ItemHandlers Handlers() {
    ItemHandlers handlers;
    handlers.put = [this](const KvItem& item, MonotonicTime) {
      known[item.key] = item.entry.value;
    };
    handlers.remove = [this](const std::string& key, std::uint64_t, MonotonicTime) {
      known.erase(key);
    };
    handlers.keep_only = [this](const std::set<std::string>& keys, std::uint64_t, MonotonicTime) {
      std::erase_if(known, [&](const auto& item) { return !keys.contains(item.first); });
    };
    handlers.done = [this](std::uint64_t revision, MonotonicTime) { done_revision = revision; };
    return handlers;
  }

  SimulatedTime time;
  boost::asio::io_context io{1};
  FakeFleetStore store;
  std::map<std::string, std::string> known;
  std::uint64_t done_revision = 0;
  FleetFollower<FakeFleetStore> follower;
};

}  // namespace

TEST_CASE("a follower sees present, added and deleted items", "[follower]") {
  FollowerFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.store.Put("other/b", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.known == std::map<std::string, std::string>{{"endpoints/a", "1"}});
  fixture.store.Put("endpoints/c", "1");
  fixture.store.Erase("endpoints/a");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.known == std::map<std::string, std::string>{{"endpoints/c", "1"}});
}

// Guards against a watch that is renewed after a broken connection while the history is being
// compacted: it reports nothing until its wait of seconds is over, and a new configuration is
// missed for that long.
TEST_CASE("a follower reads a new snapshot after a watch has failed", "[follower]") {
  FollowerFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  fixture.store.set_deaf(true);
  fixture.store.Put("endpoints/a", "2");
  fixture.store.CutNextWatch();
  fixture.time.RunFor(&fixture.io, milliseconds(300));
  CHECK(fixture.known["endpoints/a"] == "2");
}

// Guards against changes that are lost when the history is compacted.
TEST_CASE("a follower reads a new snapshot when the history is compacted", "[follower]") {
  FollowerFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  fixture.store.set_deaf(true);
  fixture.store.Put("endpoints/b", "1");
  fixture.store.Erase("endpoints/a");
  fixture.store.Compact();
  fixture.store.set_deaf(false);
  fixture.time.RunFor(&fixture.io, milliseconds(100));
  CHECK(fixture.known == std::map<std::string, std::string>{{"endpoints/b", "1"}});
}

// Guards against a daemon that drops its endpoints while the store is down.
TEST_CASE("a follower keeps the known items while the store is down", "[follower]") {
  FollowerFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.follower.in_touch());
  fixture.store.set_down(true);
  fixture.store.CutNextWatch();
  fixture.time.RunFor(&fixture.io, milliseconds(300));
  CHECK(fixture.known.size() == 1);
  CHECK_FALSE(fixture.follower.in_touch());
  fixture.store.Put("endpoints/b", "1");
  fixture.store.set_down(false);
  fixture.time.RunFor(&fixture.io, milliseconds(600));
  CHECK(fixture.known.size() == 2);
  CHECK(fixture.follower.in_touch());
}

// Guards against calls to the store while the leader passes on what it reads, and against a
// follower that does not read the store again when the leader is silent.
TEST_CASE("a suspended follower reads nothing until its time is over or ReadNow is called",
          "[follower]") {
  FollowerFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  fixture.store.CutNextWatch();
  fixture.follower.Suspend(MonotonicNow() + milliseconds(400));
  fixture.time.RunFor(&fixture.io, milliseconds(100));
  const std::uint64_t snapshots = fixture.store.snapshots();
  fixture.store.Put("endpoints/b", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(100));
  CHECK(fixture.store.snapshots() == snapshots);
  CHECK(fixture.known.size() == 1);
  fixture.follower.ReadNow();
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.known.size() == 2);
  CHECK(fixture.done_revision == 2);
  // The known items were confirmed recently, so they may be passed on.
  CHECK(MonotonicNow() - fixture.follower.confirmed() <= milliseconds(50));
  fixture.store.Put("endpoints/c", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(400));
  CHECK(fixture.known.size() == 3);
}

// Guards against a daemon that still relies on others when it has to read the store itself, as a
// new leader has to.
TEST_CASE("a suspension can be ended early", "[follower]") {
  FollowerFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  fixture.store.CutNextWatch();
  fixture.follower.Suspend(MonotonicNow() + seconds(60));
  fixture.time.RunFor(&fixture.io, milliseconds(200));
  fixture.store.Put("endpoints/b", "1");
  fixture.follower.Suspend(MonotonicTime());
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.known.size() == 2);
}

}  // namespace mimosabend::testing
