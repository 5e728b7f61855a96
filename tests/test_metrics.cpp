#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "caller_limits.h"
#include "metrics.h"
#include "relay_metrics.h"

namespace mimosabend {

namespace {

// Metrics in the form "name type label,label" with sorted labels.
using Descriptions = std::set<std::string>;

std::string Describe(const std::string& name, const std::string& type,
                     const std::set<std::string>& labels) {
  std::string text = name + " " + type + " ";
  for (const std::string& label : labels) text += (text.back() == ' ' ? "" : ",") + label;
  return text;
}

// Parses the metrics of a text exposition. The label "le", which every histogram has, is ignored.
Descriptions ParseExposition(const std::string& text) {
  Descriptions metrics;
  std::string name;
  std::string type;
  const std::regex label_pattern("([a-z_]+)=\"");
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("# TYPE ")) {
      std::istringstream words(line.substr(7));
      words >> name >> type;
      continue;
    }
    if (line.starts_with("#")) continue;
    std::set<std::string> labels;
    for (std::sregex_iterator it(line.begin(), line.end(), label_pattern), end; it != end; ++it) {
      if ((*it)[1] != "le") labels.insert((*it)[1]);
    }
    metrics.insert(Describe(name, type, labels));
  }
  return metrics;
}

// Parses the table rows of docs/METRICS.md: | `name` | type | unit | labels | meaning |.
Descriptions ParseDocumentation() {
  std::ifstream page(std::string(MIMOSABEND_SOURCE_DIRECTORY) + "/docs/METRICS.md");
  const std::regex row_pattern(
      R"(^\| `(mimosabend_[a-z0-9_]+)` \| (\w+) \| ([^|]+) \|([^|]*)\| ([^|]+) \|$)");
  const std::regex label_pattern("`([a-z_]+)`");
  Descriptions metrics;
  for (std::string line; std::getline(page, line);) {
    std::smatch row;
    if (!std::regex_match(line, row, row_pattern)) continue;
    const std::string labels_cell = row[4];
    std::set<std::string> labels;
    for (std::sregex_iterator it(labels_cell.begin(), labels_cell.end(), label_pattern), end;
         it != end; ++it) {
      labels.insert((*it)[1]);
    }
    metrics.insert(Describe(row[1], row[2], labels));
  }
  return metrics;
}

}  // namespace

// Guards against metrics that are not documented, and against documented metrics that do not exist
// or have a different type or other labels.
TEST_CASE("docs/METRICS.md and /metrics list the same metrics, types and labels") {
  Metrics daemon;
  RelayMetrics gateway;
  const CallerMetrics daemon_callers(daemon.registry());
  const CallerMetrics gateway_callers(gateway.registry());
  const Descriptions exposed = ParseExposition(daemon.Expose() + gateway.Expose());
  const Descriptions documented = ParseDocumentation();
  REQUIRE(exposed.size() > 20);
  for (const std::string& metric : exposed) {
    CAPTURE(metric);
    CHECK(documented.contains(metric));
  }
  for (const std::string& metric : documented) {
    CAPTURE(metric);
    CHECK(exposed.contains(metric));
  }
}

// Guards against one time series for each route that a configuration ever named, against streams
// that count for no route, and against a target of 0 that counts as exceeded.
TEST_CASE("pauses of streams are kept for at most 64 routes") {
  RelayMetrics metrics;
  Route route;
  route.target_event_gap = milliseconds(71);
  for (int i = 0; i < 70; ++i) {
    route.name = "r" + std::to_string(i);
    metrics.ObserveLongestPause(route, milliseconds(i == 3 ? 72 : 71));
  }
  route.target_event_gap = milliseconds(0);
  metrics.ObserveLongestPause(route, milliseconds(500));
  const std::string text = metrics.Expose();
  const auto has = [&](const std::string& line) { return text.find(line) != std::string::npos; };
  const std::string streams = "mimosabend_gateway_longest_pause_seconds_count";
  CHECK(has(streams + "{route=\"r63\"} 1\n"));
  CHECK_FALSE(has("route=\"r64\""));
  CHECK(has(streams + "{route=\"other\"} 7\n"));
  const std::string paused = "mimosabend_gateway_paused_streams_total";
  CHECK(has(paused + "{route=\"r3\"} 1\n"));
  CHECK(has(paused + "{route=\"r4\"} 0\n"));
  CHECK(has(paused + "{route=\"other\"} 0\n"));
}

}  // namespace mimosabend
