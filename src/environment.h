#ifndef MIMOSABEND_ENVIRONMENT_H_
#define MIMOSABEND_ENVIRONMENT_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "ini_file.h"
#include "name_table.h"
#include "rank.h"

namespace mimosabend {

// Whether the engines of a pool refuse orders with an old fencing number.
enum class Fencing : std::uint8_t { kHonoured, kIgnored };
inline constexpr NameTable<Fencing, 2> kFencingNames{{"honoured", "ignored"}};

// Engines of one kind. Its endpoints are named by the host list.
struct Pool {
  std::string name;
  Fencing fencing = Fencing::kIgnored;
  // Accelerator memory of one endpoint.
  std::int64_t endpoint_memory_mib = 0;
  // Accelerator memory that may be charged in one region.
  std::int64_t budget_mib = 0;
  // Placement groups in each region; fixed while anything is loaded.
  std::uint32_t groups = 1;
  // Requests that one endpoint serves at once at full speed.
  std::uint32_t slots = 8;
};

// What a request may name in "model": a model, or an adapter of one.
struct Model {
  std::string name;
  // The model that an adapter belongs to; empty for a model.
  std::string base;
  std::string pool;
  std::string version;
  std::int64_t memory_mib = 0;
  // Bounds for each region.
  std::uint32_t min_replicas = 0;
  std::uint32_t max_replicas = 1;

  bool is_adapter() const { return !base.empty(); }
};

struct Caller {
  std::string name;
  std::string key_sha256;
  Rank rank = Rank::kStandard;
  // Share of a rank's capacity against other callers.
  double weight = 1;
  bool all_models = false;
  std::set<std::string> models;
  std::set<std::string> services;

  bool MayUseModel(const std::string& model) const { return all_models || models.contains(model); }
};

struct Service {
  std::string name;
  bool repeatable = true;
  // How long a request record is kept; older idempotency keys are refused.
  seconds record_window{0};
  // Length of the time slots that records are grouped by.
  seconds slot_length{0};
  std::uint32_t ranges = 1;
  milliseconds timeout{0};
};

struct RankPolicy {
  // Target of the time to first token.
  milliseconds first_token{0};
  // Least share of the capacity that the rank keeps while more urgent work floods in.
  double floor = 0;
};

// One environment document, checked.
struct Environment {
  std::string name;
  std::vector<std::string> regions;
  // 0: shortest cold starts; 1: fewest idle accelerator hours.
  double idle_weight = 0.5;
  milliseconds load_timeout{60000};
  std::map<std::string, Pool> pools;
  std::map<std::string, Model> models;
  std::map<std::string, Caller> callers;
  std::map<std::string, Service> services;
  std::array<RankPolicy, kRankCount> ranks;

  // nullptr if there is none. Thread-safe.
  const Model* FindModel(const std::string& name) const;
  const Service* FindService(const std::string& name) const;
  const Pool* FindPool(const std::string& name) const;
  // The caller whose key has this text; compares all hashes in constant time. Thread-safe.
  const Caller* Authenticate(std::string_view key) const;
};

// Parses and checks a document. Thread-safe.
Result<Environment, IniIssues> ParseEnvironment(const std::string& file, std::string_view text);

}  // namespace mimosabend

#endif  // MIMOSABEND_ENVIRONMENT_H_
