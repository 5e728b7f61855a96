#include <catch2/catch.hpp>

#include "kv_items.h"

namespace mimosabend::testing {

// Guards against one entry of another writer that makes the whole listing unreadable.
TEST_CASE("a listing is read without the items that can't be", "[kv_items]") {
  const std::string good = R"({"Key":"p/good","Value":"YQ==","ModifyIndex":7})";
  for (const std::string bad :
       {R"({"Key":"p/x","Value":"*","ModifyIndex":7})", R"({"Key":"p/x","Value":"YQ=="})",
        R"({"Key":"p/x","Value":"YQ==","ModifyIndex":0})",
        R"({"Key":"p/x","Value":"YQ==","ModifyIndex":1e30})", "7", "null", "[]"}) {
    CAPTURE(bad);
    const auto items = ParseKvItems("[" + bad + "," + good + "]");
    REQUIRE(items);
    REQUIRE(items->size() == 1);
    CHECK(items->front().key == "p/good");
    CHECK(items->front().entry.value == "a");
    CHECK(items->front().entry.version == 7);
  }
  for (const std::string key : {"p/\xff\xfe", "p/\\ud800", "p/\\udc80"}) {
    CAPTURE(key);
    const auto items =
        ParseKvItems(R"([{"Key":")" + key + R"(","Value":"YQ==","ModifyIndex":1},)" + good + "]");
    REQUIRE(items);
    CHECK(items->size() == 2);
  }
  for (const char* text : {"", "{}", "[", "true"}) CHECK_FALSE(ParseKvItems(text));
}

}  // namespace mimosabend::testing
