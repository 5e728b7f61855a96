#include <catch2/catch.hpp>

#include "engine_text.h"
#include "fleet.h"

namespace mimosabend::testing {

// Guards against responses that only the project's own test client can parse.
TEST_CASE("the OpenAI client library receives whole and streamed responses", "[path]") {
  FleetOptions options;
  options.daemons = 2;
  options.regions = {"nordeste"};
  options.engines_per_region = 1;
  Fleet fleet(options);
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(fleet.options()));
  const std::string script =
      std::string(MIMOSABEND_SOURCE_DIRECTORY) + "/tests/openai_client/client.mjs";
  const std::string url = "http://" + ToString(fleet.balancer().address()) + "/v1";
  const CommandResult result = RunCommand(
      "/usr/bin/env",
      {"node", script, url, "urgent-key", standin::CompletionText("recipes", "beans", 8)});
  INFO(result.output);
  CHECK(result.exit_code == 0);
}

}  // namespace mimosabend::testing
