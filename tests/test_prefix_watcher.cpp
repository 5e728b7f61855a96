#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fake_fleet_store.h"
#include "prefix_watcher.h"
#include "simulated_time.h"

namespace mimosabend::testing {

namespace {

// A watcher of "endpoints/" that records its items in `known`.
struct WatcherFixture {
  WatcherFixture() : watcher(io.get_executor(), &store, "endpoints/", milliseconds(5), Handlers()) {
    boost::asio::co_spawn(io, watcher.Run(), boost::asio::detached);
  }

  ItemHandlers Handlers() {
    ItemHandlers handlers;
    handlers.put = [this](const KvItem& item, MonotonicTime) {
      known[item.key] = item.entry.value;
    };
    handlers.remove = [this](const std::string& key, StoreRevision, MonotonicTime) {
      known.erase(key);
    };
    handlers.keep_only = [this](const std::set<std::string>& keys, StoreRevision, MonotonicTime) {
      std::erase_if(known, [&](const auto& item) { return !keys.contains(item.first); });
    };
    handlers.done = [this](StoreRevision revision, MonotonicTime) { done_revision = revision; };
    return handlers;
  }

  SimulatedTime time;
  boost::asio::io_context io{1};
  FakeFleetStore store;
  std::map<std::string, std::string> known;
  StoreRevision done_revision;
  PrefixWatcher<FakeFleetStore> watcher;
};

}  // namespace

TEST_CASE("a watcher sees present, added and deleted items", "[watcher]") {
  WatcherFixture fixture;
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
TEST_CASE("a watcher reads a new snapshot after a watch has failed", "[watcher]") {
  WatcherFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  fixture.store.set_mute_watches(true);
  fixture.store.Put("endpoints/a", "2");
  fixture.store.BreakNextWatch();
  fixture.time.RunFor(&fixture.io, milliseconds(300));
  CHECK(fixture.known["endpoints/a"] == "2");
}

// Guards against changes that are lost when the history is compacted.
TEST_CASE("a watcher reads a new snapshot when the history is compacted", "[watcher]") {
  WatcherFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  fixture.store.set_mute_watches(true);
  fixture.store.Put("endpoints/b", "1");
  fixture.store.Erase("endpoints/a");
  fixture.store.Compact();
  fixture.store.set_mute_watches(false);
  fixture.time.RunFor(&fixture.io, milliseconds(100));
  CHECK(fixture.known == std::map<std::string, std::string>{{"endpoints/b", "1"}});
}

// Guards against a watch that hangs on a connection to the contents before a restore, and against
// changes that are applied to contents of another era.
TEST_CASE("a watcher reads a new snapshot when the store was restored", "[watcher]") {
  const bool told = GENERATE(false, true);
  WatcherFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  const FakeFleetStore::Copy copy = fixture.store.MakeCopy();
  fixture.store.Put("endpoints/b", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.done_revision == StoreRevision{0, 2});
  fixture.store.Restore(copy);
  fixture.store.set_mute_watches(told);
  fixture.store.Put("endpoints/c", "1");
  if (told) fixture.watcher.Restart();
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.known ==
        std::map<std::string, std::string>{{"endpoints/a", "1"}, {"endpoints/c", "1"}});
  CHECK(fixture.done_revision == StoreRevision{1, 2});
  CHECK(fixture.watcher.in_sync());
}

// Guards against a daemon that drops its endpoints while the store is down.
TEST_CASE("a watcher keeps the known items while the store is down", "[watcher]") {
  WatcherFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.watcher.in_sync());
  fixture.store.set_down(true);
  fixture.store.BreakNextWatch();
  fixture.time.RunFor(&fixture.io, milliseconds(300));
  CHECK(fixture.known.size() == 1);
  CHECK_FALSE(fixture.watcher.in_sync());
  fixture.store.Put("endpoints/b", "1");
  fixture.store.set_down(false);
  fixture.time.RunFor(&fixture.io, milliseconds(600));
  CHECK(fixture.known.size() == 2);
  CHECK(fixture.watcher.in_sync());
}

// Guards against calls to the store while the leader passes on what it reads, and against a
// watcher that does not read the store again when the leader is silent.
TEST_CASE("a suspended watcher reads nothing until its time is over or ReadNow is called",
          "[watcher]") {
  WatcherFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  fixture.store.BreakNextWatch();
  fixture.watcher.Suspend(MonotonicNow() + milliseconds(400));
  fixture.time.RunFor(&fixture.io, milliseconds(100));
  const std::uint64_t snapshots = fixture.store.snapshots();
  fixture.store.Put("endpoints/b", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(100));
  CHECK(fixture.store.snapshots() == snapshots);
  CHECK(fixture.known.size() == 1);
  fixture.watcher.ReadNow();
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.known.size() == 2);
  CHECK(fixture.done_revision == StoreRevision{0, 2});
  // The known items were confirmed recently, so they may be passed on.
  CHECK(MonotonicNow() - fixture.watcher.confirmed() <= milliseconds(50));
  fixture.store.Put("endpoints/c", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(400));
  CHECK(fixture.known.size() == 3);
}

// Guards against a daemon that still relies on others when it has to read the store itself, as a
// new leader has to.
TEST_CASE("a suspension can be ended early", "[watcher]") {
  WatcherFixture fixture;
  fixture.store.Put("endpoints/a", "1");
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  fixture.store.BreakNextWatch();
  fixture.watcher.Suspend(MonotonicNow() + seconds(60));
  fixture.time.RunFor(&fixture.io, milliseconds(200));
  fixture.store.Put("endpoints/b", "1");
  fixture.watcher.Suspend(MonotonicTime());
  fixture.time.RunFor(&fixture.io, milliseconds(50));
  CHECK(fixture.known.size() == 2);
}

}  // namespace mimosabend::testing
