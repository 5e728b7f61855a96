#include <catch2/catch.hpp>

#include "json.h"

namespace mimosabend::testing {

// Guards against a page of the store that can't be read because of one key that is no UTF-8, which
// encoders write as bytes or as the escape of a surrogate.
TEST_CASE("JSON with strings that are no Unicode is read", "[json]") {
  const auto key_of = [](const std::string& text) {
    const auto value = ParseJsonOfAnyBytes(R"({"key":")" + text + R"("})");
    return value ? StringMember(*value, "key") : "not read";
  };
  CHECK(key_of("a\xff") == "a\xff");
  CHECK(key_of(R"(a\udcffx)") == "a\xffx");
  CHECK(key_of(R"(\ud800)") == "\xed\xa0\x80");
  CHECK(key_of(R"(\ud800\u0078)") == "\xed\xa0\x80x");
  CHECK(key_of(R"(\ud83d\ude00\udc80)") == "\xf0\x9f\x98\x80\x80");
  CHECK(key_of(R"(\\udcff\udcff)") == "\\udcff\xff");
  CHECK(key_of(R"(\udc8)") == "not read");
  CHECK_FALSE(ParseJson(R"({"key":"\udcff"})"));
  for (const char* text : {"", "\\", "\\u", "\\ud8", "\"\\ud800", "{\"a\":\"\\ud800\\\"}"}) {
    CHECK_FALSE(ParseJsonOfAnyBytes(text));
  }
}

}  // namespace mimosabend::testing
