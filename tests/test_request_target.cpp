#include <rapidcheck.h>

#include <algorithm>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "request_target.h"

namespace mimosabend::testing {

namespace {

// What a server decodes from a target: the value of a parameter, with "+" for a space.
std::string DecodedParameter(const std::string& target, const std::string& name) {
  const auto parsed = boost::urls::parse_origin_form(target);
  if (!parsed) return "not a valid target";
  const auto parameters = parsed->params();
  const auto found = parameters.find(name);
  return found == parameters.end() ? "no such parameter" : (*found).value;
}

}  // namespace

// Guards against text of others that changes the meaning of a request to the store.
TEST_CASE("any bytes in a request target are decoded as they were", "[request_target]") {
  CHECK(MakeTarget("/list", {}) == "/list");
  CHECK(MakeTarget("/list", {{"prefix", "servers/"}, {"after", "servers/a00%#"}}) ==
        "/list?prefix=servers/&after=servers/a00%25%23");
  CHECK(EncodeForTarget("a b/\xff") == "a%20b/%FF");
  const bool decoded = rc::check([](const std::string& first, const std::string& second) {
    const std::string target = MakeTarget("/list", {{"prefix", first}, {"after", second}});
    RC_ASSERT(DecodedParameter(target, "prefix") == first);
    RC_ASSERT(DecodedParameter(target, "after") == second);
    RC_ASSERT(std::all_of(target.begin(), target.end(), [](char c) { return c > ' ' && c < 127; }));
    const std::string path_target = "/v1/kv/" + EncodeForTarget(first);
    const auto path = boost::urls::parse_origin_form(path_target);
    RC_ASSERT(path.has_value());
    const std::string decoded_path = path->path();
    const std::string expected_path = "/v1/kv/" + first;
    RC_ASSERT(decoded_path == expected_path);
  });
  CHECK(decoded);
}

}  // namespace mimosabend::testing
