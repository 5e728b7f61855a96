#include <catch2/catch.hpp>
#include <fstream>
#include <numeric>
#include <sstream>

#include "digest.h"
#include "document_parts.h"
#include "environment.h"
#include "environment_diff.h"
#include "settings.h"

namespace mimosabend {

namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(MIMOSABEND_SOURCE_DIRECTORY) + "/examples/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The first issue of a document; empty if the document is valid.
std::string FirstIssue(const std::string& document) {
  auto environment = ParseEnvironment("doc.ini", document);
  if (environment) return "";
  return environment.error().front().Format();
}

constexpr char kHeader[] = "[environment]\nname = test\nregions = a\n";
constexpr char kPool[] =
    "[pool p]\nfencing = ignored\nendpoint_memory_mib = 100\nbudget_mib = 100\n";

}  // namespace

// Guards against example files that no longer match the parser.
TEST_CASE("the example files are valid") {
  CHECK(ParseDaemonSettings("daemon.ini", ReadExample("daemon.ini"), {}));
  CHECK(ParseOperatorSettings("operator.ini", ReadExample("operator.ini"), {}));
  CHECK(ParseEnvironment("environment.ini", ReadExample("environment.ini")));
}

// Guards against errors that don't say where the problem is or how to fix it.
TEST_CASE("an invalid document is rejected with line, section, key and remedy") {
  struct Case {
    std::string document;
    std::string expected;
  };
  const std::vector<Case> cases{
      {std::string(kHeader) + "colour = red\n", "doc.ini:4: [environment] colour: unknown key"},
      {std::string(kHeader) + "[poool p]\nx = 1\n", "doc.ini:5: [poool p] unknown section"},
      {std::string(kHeader) + "name = other\n",
       "doc.ini:4: [environment] name: the key stands twice"},
      {std::string(kHeader) + "[model m]\npool = p\nversion = 1\nmemory_mib = 1\n",
       "[model m] pool: no pool 'p'"},
      {std::string(kHeader) + kPool + "[model m]\npool = p\nversion = 1\nmemory_mib = 101\n",
       "memory_mib: does not fit an endpoint"},
      {std::string(kHeader) + kPool + "[model m]\npool = p\nversion = 1\nmemory_mib = -5\n",
       "'-5' is not a whole number in range"},
      {std::string(kHeader) + "[adapter x]\nmodel = m\nversion = 1\nmemory_mib = 1\n",
       "model: no model 'm'"},
      {std::string(kHeader) + "[caller c]\nkey_sha256 = abc\n", "not a SHA-256 digest"},
      {std::string(kHeader) + "[caller c]\nkey_sha256 = " + Sha256Hex("k") + "\nmodels = m\n",
       "models: no model or adapter 'm'"},
      {std::string(kHeader) + "[service s]\nrepeatable = maybe\n", "neither true nor false"},
      {std::string(kHeader) + "[rank urgent]\nfloor = 0.9\n", "not a number in range"},
      {"name = x\n", "the key stands before any section"},
      {"[environment\n", "not a section"},
      {"", "the document has no name"},
  };
  for (const Case& item : cases) {
    CAPTURE(item.document);
    CHECK_THAT(FirstIssue(item.document), Catch::Matchers::Contains(item.expected));
  }
}

// Guards against inih's short default line buffer: an operator file lists 340 daemons on one line.
TEST_CASE("lists of 340 addresses fit on one line, and lines above the limit are rejected") {
  const std::string text = ReadExample("operator.ini");
  std::string addresses = "127.0.0.1:9000";
  for (int port = 9001; port < 9340; ++port) addresses += ", 127.0.0.1:" + std::to_string(port);
  auto settings = ParseOperatorSettings("operator.ini", text, {});
  REQUIRE(settings);
  const std::string start = "admin = ";
  std::string longer = text.substr(0, text.find(start) + start.size()) + addresses + "\n";
  settings = ParseOperatorSettings("operator.ini", longer, {});
  REQUIRE(settings);
  CHECK(settings.value().daemons.size() == 340);
  longer.insert(longer.size() - 1, std::string(8192, ' ') + ", 127.0.0.1:9999");
  settings = ParseOperatorSettings("operator.ini", longer, {});
  REQUIRE_FALSE(settings);
  CHECK_THAT(settings.error().front().message, Catch::Matchers::Contains("the line is too long"));
}

// Guards against overrides that are silently ignored.
TEST_CASE("overrides replace settings and are validated in the same way") {
  const std::string text = ReadExample("daemon.ini");
  auto settings =
      ParseDaemonSettings("daemon.ini", text, {"daemon.region=south", "log.level=warn"});
  REQUIRE(settings);
  CHECK(settings.value().region == "south");
  CHECK(settings.value().log.level == LogLevel::kWarn);
  CHECK_FALSE(ParseDaemonSettings("daemon.ini", text, {"log.level=loud"}));
  CHECK_FALSE(ParseDaemonSettings("daemon.ini", text, {"log.colour=red"}));
  CHECK_FALSE(ParseDaemonSettings("daemon.ini", text, {"nonsense"}));
}

// Guards against parts that are too large for a value of the key-value service, and against small
// changes that rewrite many parts.
TEST_CASE("a large document is split into small parts, and a local change affects one part") {
  std::string document = kHeader;
  for (int i = 0; i < 22000; ++i) {
    document += "[adapter adapter-" + std::to_string(i) +
                "]\nmodel = model-1\nversion = 1\nmemory_mib = 100\n";
  }
  const std::vector<std::string> parts = SplitDocument(document);
  CHECK(std::accumulate(parts.begin(), parts.end(), std::string()) == document);
  for (const std::string& part : parts) REQUIRE(part.size() <= 64 * 1024);

  std::string changed = document;
  changed.replace(changed.find("[adapter adapter-9000]\nmodel = model-1"), 38,
                  "[adapter adapter-9000]\nmodel = model-2");
  std::size_t new_parts = 0;
  for (const std::string& part : SplitDocument(changed)) {
    new_parts += std::find(parts.begin(), parts.end(), part) == parts.end() ? 1 : 0;
  }
  CHECK(new_parts == 1);
}

// Guards against an audit trail that doesn't say what changed, and against a change of the number
// of placement groups, which would need memory reservations to move between records.
TEST_CASE("two documents are compared section by section") {
  const std::string text = ReadExample("environment.ini");
  std::string changed = text;
  const auto replace = [&](const std::string& from, const std::string& to) {
    changed.replace(changed.find(from), from.size(), to);
  };
  replace("budget_mib = 160000", "budget_mib = 80000");
  replace("[service orders]", "[service shipments]");
  replace("services = orders", "services = shipments");
  replace("2c70e12b", "3c70e12b");
  const Environment before = ParseEnvironment("a", text).value();
  const Environment after = ParseEnvironment("b", changed).value();
  const std::vector<std::string> expected{
      "[pool chat] budget_mib: 160000 -> 80000",
      "[caller village-kitchens] services: orders -> shipments",
      "[service orders] removed",
      "[service shipments] added",
      "[caller village-kitchens] key_sha256: changed",
  };
  CHECK(DiffEnvironments(before, after) == expected);
  CHECK(DiffEnvironments(before, before).empty());
  CHECK(FindForbiddenChange(before, after).empty());
  replace("groups = 1", "groups = 2");
  CHECK_THAT(FindForbiddenChange(before, ParseEnvironment("c", changed).value()),
             Catch::Matchers::Contains("groups must stay 1"));
  CHECK(SummarizeDiff(std::vector<std::string>(1000, "a change")).size() <= 2048);
}

}  // namespace mimosabend
