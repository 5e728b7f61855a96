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

// A fault injected during an experiment.
struct Fault {
  // Time after the start.
  milliseconds at{0};
  FaultKind kind = FaultKind::kKill;
  // A host id, "kv", "weight_store" or "daemon-N".
  std::string target;
  // For kSet: body of a PUT /fault request to the target, which is a stand-in.
  std::string body;
};

// Simultaneous requests at all daemons for each of `models` consecutive models.
struct Burst {
  // Time after the start.
  milliseconds at{0};
  int first_model = 0;
  int models = 1;
  int requests_per_daemon = 1;
};

// The fleet of one experiment, its requests and its faults.
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
  // Rate of the open-loop arrivals, a Poisson process; 0 for none.
  double requests_per_s = 0;
  double zipf_exponent = 1;
  double adapter_share = 0.3;
  // Shares of ranks; the remaining requests are standard.
  double urgent_share = 0.3;
  double background_share = 0.2;
  int max_tokens = 8;
  milliseconds timeout{30000};
  std::uint64_t seed = 1;
  std::vector<Burst> bursts;
  std::vector<Fault> faults;
};

// A request to send.
struct Arrival {
  // Time after the start.
  milliseconds at{0};
  std::string model;
  Rank rank = Rank::kStandard;
  // Index of the daemon that receives it.
  int daemon = 0;
  // Whether it belongs to a burst.
  bool burst = false;
};

// Parses the contents of a workload file; `file` is its name for error messages. Thread-safe.
Result<Workload, IniIssues> ParseWorkload(const std::string& file, std::string_view text);

// All requests of a workload in order of time. Deterministic for a given workload and seed.
// Thread-safe.
std::vector<Arrival> MakeArrivals(const Workload& workload);

// The environment document for a workload. Thread-safe.
std::string WorkloadDocument(const Workload& workload);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_WORKLOAD_H_
