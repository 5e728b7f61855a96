#ifndef MIMOSABEND_BENCH_H_
#define MIMOSABEND_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

// Benchmark of the functions that decide on placement, routing, membership, idle replicas, peer
// messages, reservations and waiting requests. Its signature shows whether a change alters any
// decision.

namespace mimosabend {

// Speed and signature of one group of decision functions.
struct BenchPart {
  std::string name;
  std::uint64_t decisions = 0;
  double seconds = 0;
  // Hash of all decisions; the same on every machine.
  std::uint64_t signature = 0;
};

// Size of one item of state.
struct StateSize {
  std::string item;
  // Heap bytes in the process, containers included; 0 if the allocator does not report them.
  std::size_t heap_bytes = 0;
  // Bytes in the key-value service; 0 for state that is never stored.
  std::size_t stored_bytes = 0;
};

struct BenchReport {
  std::vector<BenchPart> parts;
  std::vector<StateSize> sizes;
};

// Runs the decision functions on inputs from a fixed seed, `rounds` times each: more rounds give a
// more stable speed and the same signatures. Precondition: rounds > 0. Not thread-safe, since it
// reads the heap's counters.
BenchReport RunBench(std::uint32_t rounds);

// One line "NAME HEX" for each part, and one for all parts together. Thread-safe.
std::string FormatSignatures(const BenchReport& report);

// Formats speeds and sizes as text. Thread-safe.
std::string FormatBench(const BenchReport& report);

}  // namespace mimosabend

#endif  // MIMOSABEND_BENCH_H_
