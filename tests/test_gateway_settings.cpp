#include <catch2/catch.hpp>

#include "gateway_settings.h"

namespace mimosabend::testing {

namespace {

std::string Settings(const std::string& bounds) {
  return "[gateway]\nname = g\nregion = north\nfailure_domain = a\ndomains = a:north,b:south\n"
         "[listen]\ncaller = 127.0.0.1:1\nreadiness = 127.0.0.1:2\npeer = 127.0.0.1:3\n"
         "metrics = 127.0.0.1:4\n[platform]\nstore = 127.0.0.1:5\n[bounds]\n" +
         bounds;
}

}  // namespace

// Guards against a gateway that fails to start because the platform writes a bound as a fraction.
TEST_CASE("bounds may be fractions", "[settings]") {
  const auto settings = ParseGatewaySettings(
      "test.ini",
      Settings("endpoint_drain_ms = 2500.0\nshutdown_grace_s = 7.5\nretry_window_s = 7.5\n"
               "ceiling_window_s = 5.0\nholder_gap_ms = 3000\nretry_extra = 52.0\n"),
      {});
  REQUIRE(settings);
  const GatewayBounds& bounds = settings.value().bounds;
  CHECK(bounds.endpoint_drain == milliseconds(2500));
  CHECK(bounds.shutdown_grace == milliseconds(7500));
  CHECK(bounds.retry_window == seconds(8));
  CHECK(bounds.ceiling_window == seconds(5));
  CHECK(bounds.holder_gap == milliseconds(3000));
}

// Guards against an invalid bound that is silently replaced by its default.
TEST_CASE("a bound that is not a number is reported", "[settings]") {
  const auto settings =
      ParseGatewaySettings("test.ini", Settings("endpoint_drain_ms = soon\n"), {});
  REQUIRE_FALSE(settings);
  CHECK(settings.error().front().key == "endpoint_drain_ms");
}

// Guards against a daemon that asks itself for the fleet's state, or connects to a port of a seed
// that is not its peer port, and against a failure without seeds.
TEST_CASE("seeds are contacted on the peer port", "[settings]") {
  std::string text = Settings("");
  const auto none = ParseGatewaySettings("test.ini", text, {"gateway.seeds="});
  REQUIRE(none);
  CHECK(none.value().seeds.empty());
  const auto settings = ParseGatewaySettings(
      "test.ini", text, {"gateway.seeds=127.0.0.1:9,10.0.0.2:9,10.0.0.3:9", "host.cores=0.12"});
  REQUIRE(settings);
  CHECK(settings.value().seeds == std::vector<Address>{{"10.0.0.2", 3}, {"10.0.0.3", 3}});
  CHECK(settings.value().cores == 0.12);
}

// Guards against forecasts that are on by default, and against a misspelt value that is taken for
// one of the two without a message.
TEST_CASE("forecasts are off unless the settings turn them on", "[settings]") {
  const std::string text = Settings("");
  CHECK(ParseGatewaySettings("test.ini", text, {}).value().forecast == ForecastSetting::kOff);
  const auto on = ParseGatewaySettings("test.ini", text + "[admission]\nforecast = on\n", {});
  CHECK(on.value().forecast == ForecastSetting::kOn);
  for (const std::string value : {"On", "1", "true", "-1", "on off"}) {
    CAPTURE(value);
    const auto bad =
        ParseGatewaySettings("test.ini", text + "[admission]\nforecast = " + value + "\n", {});
    REQUIRE_FALSE(bad);
    const IniIssue& issue = bad.error().front();
    CHECK(issue.key == "forecast");
    CHECK(issue.line > 0);
    CHECK(issue.remedy.find("off, on") != std::string::npos);
  }
  CHECK_FALSE(ParseGatewaySettings("test.ini", text + "[admission]\nforecasts = on\n", {}));
}

}  // namespace mimosabend::testing
