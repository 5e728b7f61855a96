#ifndef MIMOSABEND_BENCH_H_
#define MIMOSABEND_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace mimosabend {

// Speed and signature of one group of deciding functions.
struct BenchPart {
  std::string name;
  std::uint64_t decisions = 0;
  double seconds = 0;
  // Hash of all decisions; independent of speed and machine.
  std::uint64_t signature = 0;
};

// Memory of one item of state.
struct StateSize {
  std::string item;
  // Heap bytes in the process, containers included; 0 where the allocator does not tell.
  std::size_t heap_bytes = 0;
  // Bytes in the key-value service; 0 for state that is never stored.
  std::size_t stored_bytes = 0;
};

struct BenchReport {
  std::vector<BenchPart> parts;
  std::vector<StateSize> sizes;
};

// Runs fixed-seed inputs through the deciding functions, `rounds` times each for a steadier speed.
// The signatures don't depend on the number of rounds.
// Precondition: rounds > 0. Not thread-safe, since it reads the heap's counters.
BenchReport RunBench(std::uint32_t rounds);

// "NAME HEX" for each part, a line each, and for the whole. Thread-safe.
std::string FormatSignatures(const BenchReport& report);

// Speeds and sizes for people. Thread-safe.
std::string FormatBench(const BenchReport& report);

}  // namespace mimosabend

#endif  // MIMOSABEND_BENCH_H_
