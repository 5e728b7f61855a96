#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "bench.h"

namespace mimosabend {

// Guards against unintended changes of behavior. A commit that changes the recorded file says which
// decisions differ.
TEST_CASE("the decision functions match the recorded signature") {
  std::ifstream file(std::string(MIMOSABEND_SOURCE_DIRECTORY) + "/tests/bench_signature.txt");
  std::ostringstream recorded;
  recorded << file.rdbuf();
  CHECK(FormatSignatures(RunBench(1)) == recorded.str());
}

// Guards against decisions that depend on time, memory addresses or earlier runs.
TEST_CASE("the signature does not depend on the number of rounds") {
  CHECK(FormatSignatures(RunBench(1)) == FormatSignatures(RunBench(2)));
}

}  // namespace mimosabend
