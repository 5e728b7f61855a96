#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "metrics.h"
#include "relay_metrics.h"

namespace mimosabend {

namespace {

// One metric as "name type label,label"; labels are sorted.
using Descriptions = std::set<std::string>;

std::string Describe(const std::string& name, const std::string& type,
                     const std::set<std::string>& labels) {
  std::string text = name + " " + type + " ";
  for (const std::string& label : labels) text += (text.back() == ' ' ? "" : ",") + label;
  return text;
}

// The metrics of an exposition text. The label "le" belongs to every histogram and is left out.
Descriptions Exposed(const std::string& text) {
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

// The rows of the page's tables: | `name` | type | unit | labels | meaning |.
Descriptions Documented() {
  std::ifstream page(std::string(MIMOSABEND_SOURCE_DIRECTORY) + "/docs/METRICS.md");
  const std::regex row_pattern(
      R"(^\| `(mimosabend_[a-z0-9_]+)` \| (\w+) \| ([^|]+) \|([^|]*)\| ([^|]+) \|$)");
  const std::regex label_pattern("`([a-z_]+)`");
  Descriptions metrics;
  for (std::string line; std::getline(page, line);) {
    std::smatch row;
    if (!std::regex_match(line, row, row_pattern)) continue;
    const std::string cell = row[4];
    std::set<std::string> labels;
    for (std::sregex_iterator it(cell.begin(), cell.end(), label_pattern), end; it != end; ++it) {
      labels.insert((*it)[1]);
    }
    metrics.insert(Describe(row[1], row[2], labels));
  }
  return metrics;
}

}  // namespace

// Guards against a metric that operators can't look up, and against a row whose metric is gone or
// has other labels.
TEST_CASE("the page of metrics and /metrics name the same metrics, types and labels") {
  const Descriptions exposed = Exposed(Metrics().Expose() + RelayMetrics().Expose());
  const Descriptions documented = Documented();
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

}  // namespace mimosabend
