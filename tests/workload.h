#ifndef MIMOSABEND_TESTS_WORKLOAD_H_
#define MIMOSABEND_TESTS_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "ini_file.h"
#include "rank.h"

namespace mimosabend::testing {

enum class FaultKind : std::uint8_t { kKill, kPause, kResume, kSet };
inline constexpr NameTable<FaultKind, 4> kFaultKindNames{{"kill", "pause", "resume", "set"}};

// A fault at a time after the start. `target` is a host id, "kv", "weight_store" or "daemon-N".
struct Fault {
  milliseconds at{0};
  FaultKind kind = FaultKind::kKill;
  std::string target;
  // Body for /fault of a stand-in, for kSet.
  std::string body;
};

// First requests for `models` models at all daemons at once.
struct Burst {
  milliseconds at{0};
  int first_model = 0;
  int models = 1;
  int requests_per_daemon = 1;
};

// What one experiment sends, and to which fleet.
struct Workload {
  std::vector<std::string> regions;
  int daemons = 6;
  int engines_per_region = 2;
  double loads_per_s = 2;
  double idle_weight = 0.5;
  int models = 40;
  int adapters = 80;
  std::int64_t model_mib = 8000;
  milliseconds duration{30000};
  // Open-loop arrivals; 0 for none.
  double requests_per_s = 0;
  double zipf_exponent = 1;
  double adapter_share = 0.3;
  double urgent_share = 0.3;
  double background_share = 0.2;
  int max_tokens = 8;
  milliseconds timeout{30000};
  std::uint64_t seed = 1;
  std::vector<Burst> bursts;
  std::vector<Fault> faults;
};

// One request to be sent.
struct Arrival {
  milliseconds at{0};
  std::string model;
  Rank rank = Rank::kStandard;
  int daemon = 0;
  bool burst = false;
};

// Reads a workload file. Thread-safe.
Result<Workload, IniIssues> ParseWorkload(const std::string& file, std::string_view text);

// All requests of a workload in order of time; the same for the same workload. Thread-safe.
std::vector<Arrival> MakeArrivals(const Workload& workload);

// The environment document of a workload. Thread-safe.
std::string WorkloadDocument(const Workload& workload);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_WORKLOAD_H_
