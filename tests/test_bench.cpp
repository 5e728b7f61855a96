#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "bench.h"

namespace mimosabend {

// Guards against changes of behaviour that nobody meant: the file changes only in a commit that
// says which decisions differ.
TEST_CASE("the deciding functions decide as recorded") {
  std::ifstream file(std::string(MIMOSABEND_SOURCE_DIRECTORY) + "/tests/bench_signature.txt");
  std::ostringstream recorded;
  recorded << file.rdbuf();
  CHECK(FormatSignatures(RunBench(1)) == recorded.str());
}

// Guards against a signature that depends on time, addresses or earlier runs.
TEST_CASE("the signature does not depend on the number of rounds") {
  CHECK(FormatSignatures(RunBench(1)) == FormatSignatures(RunBench(2)));
}

}  // namespace mimosabend
