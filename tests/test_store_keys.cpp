#include <catch2/catch.hpp>

#include "platform_fleet.h"

namespace mimosabend::testing {

namespace {

// Keys under which another writer may put entries: with characters that mean something in a query,
// above ASCII, or percent-encoded by their writer.
const std::vector<std::string> kUnusualKeys{
    "a00%#",  "a01%#zz", "a02&b=", "a03+",       "a04%C3%A9",        "a05 b",
    "a06%25", "a07?c",   "a08/d",  "a09\u00e9e", "a10\"\\{}[]|^`<>", "a11%zz"};
const std::string kNoEndpoint = R"({"odd": true})";

PlatformFleetOptions PagedListings(int gateways) {
  PlatformFleetOptions options;
  options.gateways = gateways;
  options.engines = 0;
  // Each key ends a page.
  options.store_page_items = 1;
  return options;
}

}  // namespace

// Guards against a gateway that never becomes ready after a restart, because the key of an unusual
// entry at the end of a page is sent as another cursor than was meant.
TEST_CASE("a gateway becomes ready whatever key another writer uses", "[store_keys]") {
  PlatformFleet fleet(PagedListings(1));
  for (const std::string& key : kUnusualKeys) {
    CAPTURE(key);
    fleet.PutStoreItem("servers/" + key, kNoEndpoint);
    fleet.gateway(0).Signal(SIGKILL);
    CHECK_NOTHROW(fleet.StartGateway(0));
    CHECK(StatusOf(&fleet, 0) == 200);
    fleet.RemoveStoreItem("servers/" + key);
  }
}

// Guards against the same where all gateways of a fleet are killed at once, so that none has the
// entries for the others.
TEST_CASE("a fleet that was killed as a whole becomes ready whatever keys another writer uses",
          "[store_keys]") {
  PlatformFleet fleet(PagedListings(3));
  for (const std::string& key : kUnusualKeys) fleet.PutStoreItem("servers/" + key, kNoEndpoint);
  for (int i = 0; i < fleet.gateways(); ++i) fleet.gateway(i).Signal(SIGKILL);
  for (int i = 0; i < fleet.gateways(); ++i) CHECK_NOTHROW(fleet.StartGateway(i));
  for (int i = 0; i < fleet.gateways(); ++i) CHECK(StatusOf(&fleet, i) == 200);
}

}  // namespace mimosabend::testing
