#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "listing_progress.h"
#include "platform/platform_store.h"
#include "platform_fleet.h"

namespace mimosabend::testing {

TEST_CASE("a listing goes on after the last key of each page", "[listing_progress]") {
  ListingProgress listing;
  CHECK(listing.cursor().empty());
  CHECK(listing.AddPage("servers/b", true) == PageResult::kMore);
  CHECK(listing.cursor() == "servers/b");
  CHECK(listing.AddPage("servers/a", true) == PageResult::kMore);
  CHECK(listing.cursor() == "servers/a");
  CHECK(listing.AddPage("", false) == PageResult::kComplete);
}

// Guards against listings that never end: pages that repeat, alone or in turn, and pages without
// items that claim that more follow.
TEST_CASE("a listing that does not advance is stuck", "[listing_progress]") {
  ListingProgress repeating;
  CHECK(repeating.AddPage("a", true) == PageResult::kMore);
  CHECK(repeating.AddPage("a", true) == PageResult::kStuck);
  ListingProgress in_turn;
  CHECK(in_turn.AddPage("a", true) == PageResult::kMore);
  CHECK(in_turn.AddPage("b", true) == PageResult::kMore);
  CHECK(in_turn.AddPage("a", true) == PageResult::kStuck);
  ListingProgress empty;
  CHECK(empty.AddPage("", true) == PageResult::kStuck);
  ListingProgress endless;
  std::size_t pages = 0;
  while (endless.AddPage(std::to_string(pages), true) == PageResult::kMore) ++pages;
  CHECK(pages == ListingProgress::kMaxPages);
}

// Guards against a listing without an end from a store that ignores the cursor: it holds ever more
// items, takes the calls of all daemons, and logs nothing.
TEST_CASE("a listing from a store that repeats a page fails", "[listing_progress]") {
  Process process(std::string(MIMOSABEND_BUILD_DIRECTORY) + "/tests/platform_store_standin",
                  {"--page_items=1", "--ignore_cursors"}, "/dev/null", true);
  for (const char* key : {"c2VydmVycy9h", "c2VydmVycy9i"}) {
    HttpCall put;
    put.address = process.address();
    put.method = "PUT";
    put.target = "/item";
    put.body = R"({"key":")" + std::string(key) + R"(","value":""})";
    put.deadline = MonotonicNow() + seconds(5);
    const auto written = CallOne(std::move(put));
    REQUIRE(written);
  }
  boost::asio::io_context io(1);
  HttpClient client(io.get_executor());
  platform::PlatformStore store(&client, process.address());
  std::optional<Result<KvSnapshot, KvError>> snapshot;
  const auto list = [&]() -> Task<void> {
    auto listed = co_await store.Snapshot("servers/");
    snapshot = std::move(listed);
    io.stop();
  };
  boost::asio::co_spawn(io, list(), boost::asio::detached);
  io.run_for(seconds(2));
  REQUIRE(snapshot);
  CHECK_FALSE(*snapshot);
  CHECK(store.calls() <= 3);
}

}  // namespace mimosabend::testing
