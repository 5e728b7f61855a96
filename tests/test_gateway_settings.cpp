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

// Guards against gateways that never start since the platform states no value, or one as of a large
// machine without limits.
TEST_CASE("absent values and unlimited resources don't end a start", "[settings]") {
  const std::string empty =
      "endpoint_drain_ms =\nshutdown_grace_s =\nretry_ratio =\nretry_extra =\nretry_window_s =\n"
      "holder_gap_ms =\nfencing_required =\nceiling_window_s =\nceiling_over =\n"
      "[host]\ncores =\nlink_mbps =\nmemory_mb =\ndescriptors =\n";
  const auto absent = ParseGatewaySettings("test.ini", Settings(empty), {});
  REQUIRE(absent);
  CHECK(absent.value().bounds.endpoint_drain == GatewayBounds().endpoint_drain);
  CHECK(absent.value().resources.memory_bytes == 0);
  const std::string large =
      "[host]\ncores = 8192\nlink_mbps = 1e7\nmemory_mb = 1000000\ndescriptors = 1073741816\n";
  const auto unlimited = ParseGatewaySettings("test.ini", Settings(large), {});
  REQUIRE(unlimited);
  CHECK(unlimited.value().resources.descriptors == 1073741816);
}

// Guards against an order of quotas that is ignored, and against an unknown one that is accepted.
TEST_CASE("the order of quotas is read and checked", "[settings]") {
  CHECK(ParseGatewaySettings("test.ini", Settings(""), {}).value().quota_order ==
        QuotaOrder::kEqual);
  const auto order = ParseGatewaySettings("test.ini", Settings("[quotas]\norder = priority\n"), {});
  CHECK(order.value().quota_order == QuotaOrder::kPriority);
  const auto invalid = ParseGatewaySettings("test.ini", Settings("[quotas]\norder = -1\n"), {});
  REQUIRE_FALSE(invalid);
  CHECK(invalid.error().front().Format() ==
        "test.ini:15: [quotas] order: unknown value '-1' (use one of: equal, priority)");
}

// Guards against a gateway that listens for other gateways' requests where these don't send them.
TEST_CASE("the address for forwarded requests follows from that for peers", "[settings]") {
  const auto settings =
      ParseGatewaySettings("test.ini", Settings(""), {"listen.peer=127.0.0.1:30"});
  REQUIRE(settings);
  CHECK(settings.value().forward_address == Address{"127.0.0.1", 31});
  const auto other =
      ParseGatewaySettings("test.ini", Settings(""), {"listen.forward=127.0.0.1:40"});
  CHECK(other.value().forward_address == Address{"127.0.0.1", 40});
  const auto invalid = ParseGatewaySettings("test.ini", Settings(""), {"listen.forward=nowhere"});
  REQUIRE_FALSE(invalid);
  CHECK(invalid.error().front().key == "forward");
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

// Guards against hedging without a setting, and against invalid values that are taken or reported
// without their place and range.
TEST_CASE("settings of hedging are off by default and checked", "[settings]") {
  const auto parse = [](const std::string& hedging) {
    return ParseGatewaySettings("test.ini", Settings("[hedging]\n" + hedging), {});
  };
  CHECK_FALSE(parse("").value().hedging.enabled());
  const auto set = parse("extra_work = 0.05\nmin_delay_ms = 2000\n");
  REQUIRE(set);
  CHECK(set.value().hedging == HedgingSettings{0.05, milliseconds(2000), milliseconds(2000)});
  const auto reject = [&](const std::string& line, const std::string& key,
                          const std::string& range) {
    const auto rejected = parse(line);
    CAPTURE(line);
    REQUIRE_FALSE(rejected);
    const std::string text = rejected.error().front().Format();
    CAPTURE(text);
    CHECK(text.find("test.ini:15: [hedging] " + key) != std::string::npos);
    CHECK(text.find(range) != std::string::npos);
  };
  for (const char* value : {"-0.1", "0.21", "nan", "inf", "much", "0.1x"}) {
    reject("extra_work = " + std::string(value) + "\n", "extra_work", "0.000000 to 0.200000");
  }
  reject("min_delay_ms = 0\n", "min_delay_ms", "1.000000 to 10000.000000");
  reject("max_delay_ms = 19\n", "max_delay_ms", "20.000000 to 60000.000000");
  reject("max_delay_ms = 60001\n", "max_delay_ms", "20.000000 to 60000.000000");
  reject("extra = 1\n", "extra", "");
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
