#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <thread>

#include "json.h"
#include "platform_fleet.h"

namespace mimosabend::testing {

namespace {

namespace json = boost::json;

// Several reports between daemons.
constexpr milliseconds kExchangeTime{800};
// The reports between daemons hold names of up to 255 bytes.
constexpr std::size_t kLongName = 300;

json::object Entry(const std::string& service) {
  return {{"service", service}, {"address", "127.0.0.1:9"}, {"zone", "a"},
          {"slots", 1},         {"state", "ready"},         {"born", 1},
          {"version", ""},      {"cold-left-ms", 0},        {"seq-no", 1}};
}

std::string With(json::object entry, const std::string& name, const json::value& value) {
  entry[name] = value;
  return json::serialize(entry);
}

json::array Models(const std::string& name, std::size_t adapters) {
  json::array names;
  for (std::size_t i = 0; i < adapters; ++i) names.emplace_back("a" + std::to_string(i));
  return {{{"name", name}, {"version", 1}, {"adapters", names}}};
}

struct UnusualEntry {
  std::string name;
  std::string key;
  std::string value;
};

std::vector<UnusualEntry> UnusualEntries() {
  const std::string long_name(kLongName, 'n');
  const json::object entry = Entry("models");
  std::string nested;
  for (int i = 0; i < 2000; ++i) nested += "[";
  return {
      {"long service", "x1", With(entry, "service", json::value(long_name))},
      {"long zone", "x2", With(entry, "zone", json::value(long_name))},
      {"long model", "x3", With(entry, "models", Models(long_name, 1))},
      {"many adapters", "x4", With(entry, "models", Models("m", 40000))},
      {"line break in the id", "x5\r\nRequest-Id: 1", json::serialize(entry)},
      {"id that is no UTF-8", "x6\xff\xfe", json::serialize(entry)},
      {"empty id", "", json::serialize(entry)},
      {"least numbers", "x7", With(entry, "born", std::numeric_limits<std::int64_t>::min())},
      {"longest time", "x8", With(entry, "remaining-ms", std::numeric_limits<std::int64_t>::max())},
      {"deep value", "x9", nested},
      {"large value", "y1", With(entry, "note", json::value(std::string(900000, 'x')))},
      {"bytes", "y2", std::string("\0\xff\x80", 3)}};
}

// Tasks that an exception has ended.
std::size_t Failures(const PlatformFleet& fleet) {
  return fleet.GatewayLogLines(" failed: ").size() +
         fleet.GatewayLogLines("ended by an exception").size();
}

// Lines of the gateways' logs that do not begin as all of them do.
std::size_t ForgedLogLines(const PlatformFleet& fleet) {
  const auto lines = fleet.GatewayLogLines("Request-Id: 1");
  return std::count_if(lines.begin(), lines.end(), [](const std::string& line) {
    return line.find("process=") == std::string::npos;
  });
}

}  // namespace

// Guards against an entry of another writer that makes a task of the gateways fail again and again
// until the processes end, or that keeps a gateway from becoming ready.
TEST_CASE("no entry of another writer ends gateways or keeps them from a start",
          "[store_entries]") {
  PlatformFleetOptions options;
  options.gateways = 2;
  PlatformFleet fleet(options);
  for (const UnusualEntry& entry : UnusualEntries()) {
    CAPTURE(entry.name);
    const std::size_t failures_before = Failures(fleet);
    fleet.PutStoreItem("servers/" + entry.key, entry.value);
    // The first restarted gateway asks the other for the entries, then all have to read them.
    for (const std::vector<int>& killed : {std::vector{1}, std::vector{0, 1}}) {
      std::this_thread::sleep_for(kExchangeTime);
      for (int i : killed) fleet.gateway(i).Signal(SIGKILL);
      for (int i : killed) CHECK_NOTHROW(fleet.StartGateway(i));
    }
    std::this_thread::sleep_for(kExchangeTime);
    CHECK(Failures(fleet) == failures_before);
    CHECK(ForgedLogLines(fleet) == 0);
    for (int i = 0; i < options.gateways; ++i) {
      CHECK(fleet.gateway(i).running());
      CHECK(StatusOf(&fleet, i) == 200);
    }
    fleet.RemoveStoreItem("servers/" + entry.key);
  }
}

// Guards against a caller's adapter name that makes all answers of the leader fail.
TEST_CASE("a long adapter name of a caller does not disturb the exchange between gateways",
          "[store_entries]") {
  PlatformFleetOptions options;
  options.gateways = 2;
  PlatformFleet fleet(options);
  for (int i = 0; i < 12; ++i) {
    HttpCall call = fleet.MakeCall(i % options.gateways, "/chat/1", "");
    for (auto& [name, value] : call.headers) {
      if (name == "Model") value = "m/" + std::string(kLongName, 'a');
      if (name == "Deadline-Ms") value = "500";
    }
    const auto reply = CallOne(std::move(call));
    CHECK(reply);
  }
  std::this_thread::sleep_for(kExchangeTime);
  CHECK(Failures(fleet) == 0);
  for (int i = 0; i < options.gateways; ++i) {
    CHECK(fleet.Metric(i, R"(mimosabend_peer_errors_total{kind="unencodable"})") == 0);
  }
}

}  // namespace mimosabend::testing
