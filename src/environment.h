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

// Whether the engines of a pool reject commands that carry an outdated fencing token.
enum class Fencing : std::uint8_t { kHonoured, kIgnored };
inline constexpr NameTable<Fencing, 2> kFencingNames{{"honoured", "ignored"}};

// A group of endpoints that run the same kind of engine. The host list assigns endpoints to pools.
struct Pool {
  std::string name;
  Fencing fencing = Fencing::kIgnored;
  // Accelerator memory of one endpoint.
  std::int64_t endpoint_memory_mib = 0;
  // Accelerator memory that replicas of this pool may reserve in one region.
  std::int64_t budget_mib = 0;
  // Placement groups in each region; can't change while replicas are loaded.
  std::uint32_t groups = 1;
  // Requests that one endpoint serves at once at full speed.
  std::uint32_t slots = 8;
};

// A model or an adapter of a model: what the "model" field of a request may name.
struct Model {
  std::string name;
  // The base model of an adapter; empty for a model.
  std::string base;
  std::string pool;
  std::string version;
  std::int64_t memory_mib = 0;
  // Replica limits per region.
  std::uint32_t min_replicas = 0;
  std::uint32_t max_replicas = 1;

  bool is_adapter() const { return !base.empty(); }
};

// An API client, identified by its key.
struct Caller {
  std::string name;
  // SHA-256 of the API key, in hexadecimal.
  std::string key_sha256;
  Rank rank = Rank::kStandard;
  // Relative share of a rank's capacity among its callers.
  double weight = 1;
  bool all_models = false;
  std::set<std::string> models;
  std::set<std::string> services;

  bool MayUseModel(const std::string& model) const { return all_models || models.contains(model); }
};

struct Service {
  std::string name;
  // Requests may be executed more than once.
  bool repeatable = true;
  // How long a request record is kept; requests with an older idempotency key are rejected.
  seconds record_window{0};
  // Request records are grouped by time slots of this length.
  seconds slot_length{0};
  // The records of a time slot are divided into this many ranges of keys.
  std::uint32_t ranges = 1;
  milliseconds timeout{0};
};

struct RankPolicy {
  // Target for the time to first token.
  milliseconds first_token{0};
  // Share of the capacity that the rank is guaranteed when more urgent requests overload the site.
  double floor = 0;
};

// A parsed and validated environment document.
struct Environment {
  std::string name;
  std::vector<std::string> regions;
  // Trade-off of placement: 0 minimizes cold starts, 1 minimizes idle accelerator hours.
  double idle_weight = 0.5;
  milliseconds load_timeout{60000};
  std::map<std::string, Pool> pools;
  std::map<std::string, Model> models;
  std::map<std::string, Caller> callers;
  std::map<std::string, Service> services;
  std::array<RankPolicy, kRankCount> ranks;

  // These return nullptr for an unknown name. Thread-safe.
  const Model* FindModel(const std::string& name) const;
  const Service* FindService(const std::string& name) const;
  const Pool* FindPool(const std::string& name) const;
  // The caller with this API key; nullptr if there is none. Compares against the hashes of all
  // callers, each in constant time. Thread-safe.
  const Caller* Authenticate(std::string_view key) const;
};

// Parses and validates a document; `file` is its name in issues. Thread-safe.
Result<Environment, IniIssues> ParseEnvironment(const std::string& file, std::string_view text);

}  // namespace mimosabend

#endif  // MIMOSABEND_ENVIRONMENT_H_
