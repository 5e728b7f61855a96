#include "environment.h"

#include <algorithm>
#include <limits>

#include "digest.h"

namespace mimosabend {

namespace {

constexpr std::int64_t kMaxMemoryMib = 16 * 1024 * 1024;
constexpr std::array<RankPolicy, kRankCount> kDefaultRanks{{
    {milliseconds(950), 0.0},
    {milliseconds(4000), 0.15},
    {milliseconds(30000), 0.05},
}};
constexpr double kMaxFloorSum = 0.5;

template <class Map>
const typename Map::mapped_type* FindOrNull(const Map& map, const std::string& name) {
  const auto it = map.find(name);
  return it == map.end() ? nullptr : &it->second;
}

bool IsSha256Hex(std::string_view text) {
  return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

void ReadEnvironmentSection(IniSection* section, Environment* environment) {
  environment->name = section->Text("name");
  environment->regions = section->List("regions");
  if (environment->regions.empty()) {
    section->Report("regions", "no region is named", "add 'regions = NAME, ...'");
  }
  environment->idle_weight = section->Number("idle_weight", 0, 1, environment->idle_weight);
  environment->load_timeout = milliseconds(
      section->Integer("load_timeout_ms", 1000, 3600000, environment->load_timeout.count()));
}

Pool ReadPool(IniSection* section, const std::string& name) {
  Pool pool;
  pool.name = name;
  pool.fencing = section->Choice("fencing", kFencingNames, Fencing::kIgnored);
  pool.endpoint_memory_mib = section->Integer("endpoint_memory_mib", 1, kMaxMemoryMib);
  pool.budget_mib = section->Integer("budget_mib", 0, std::numeric_limits<std::int32_t>::max());
  pool.groups = section->Integer("groups", 1, 1024, 1);
  pool.slots = section->Integer("slots", 1, 4096, 8);
  return pool;
}

Model ReadModel(IniSection* section, const std::string& name) {
  Model model;
  model.name = name;
  model.pool = section->Text("pool");
  model.version = section->Text("version");
  model.memory_mib = section->Integer("memory_mib", 1, kMaxMemoryMib);
  model.min_replicas = section->Integer("min_replicas", 0, 1000, 0);
  model.max_replicas = section->Integer("max_replicas", 1, 1000, 1);
  if (model.min_replicas > model.max_replicas) {
    section->Report("min_replicas", "is above max_replicas", "lower it or raise max_replicas");
  }
  return model;
}

Model ReadAdapter(IniSection* section, const std::string& name) {
  Model adapter;
  adapter.name = name;
  adapter.base = section->Text("model");
  adapter.version = section->Text("version");
  adapter.memory_mib = section->Integer("memory_mib", 1, kMaxMemoryMib);
  adapter.max_replicas = section->Integer("max_replicas", 1, 1000, 1);
  return adapter;
}

Caller ReadCaller(IniSection* section, const std::string& name) {
  Caller caller;
  caller.name = name;
  caller.key_sha256 = section->Text("key_sha256");
  if (!IsSha256Hex(caller.key_sha256)) {
    section->Report("key_sha256", "not a SHA-256 digest",
                    "write 64 lower-case hexadecimal digits: printf %s KEY | sha256sum");
  }
  caller.rank = section->Choice("rank", kRankNames, Rank::kStandard);
  caller.weight = section->Number("weight", 0.01, 100, 1.0);
  for (std::string& model : section->List("models")) {
    if (model == "*") {
      caller.all_models = true;
    } else {
      caller.models.insert(std::move(model));
    }
  }
  for (std::string& service : section->List("services")) {
    caller.services.insert(std::move(service));
  }
  return caller;
}

Service ReadService(IniSection* section, const std::string& name) {
  Service service;
  service.name = name;
  service.repeatable = section->Flag("repeatable");
  service.record_window = seconds(section->Integer("record_window_s", 60, 7 * 86400, 86400));
  service.slot_length = seconds(section->Integer("slot_s", 1, 3600, 60));
  service.ranges = section->Integer("ranges", 1, 1024, 4);
  service.timeout = milliseconds(section->Integer("timeout_ms", 1, 600000, 10000));
  return service;
}

void ReadRank(IniSection* section, RankPolicy* policy) {
  policy->first_token =
      milliseconds(section->Integer("first_token_ms", 1, 600000, policy->first_token.count()));
  policy->floor = section->Number("floor", 0, kMaxFloorSum, policy->floor);
}

// Parses a section whose name is "KIND" or "KIND NAME".
void ReadSection(IniSection* section, Environment* environment) {
  const std::size_t space = section->name().find(' ');
  const std::string kind = section->name().substr(0, space);
  const std::string name = space == std::string::npos ? "" : section->name().substr(space + 1);
  if (kind == "environment" && name.empty()) {
    ReadEnvironmentSection(section, environment);
  } else if (kind == "pool" && !name.empty()) {
    environment->pools[name] = ReadPool(section, name);
  } else if ((kind == "model" || kind == "adapter") && !name.empty()) {
    if (environment->models.contains(name)) {
      section->Report("", "a model and an adapter have the same name '" + name + "'",
                      "rename one of them");
    }
    environment->models[name] =
        kind == "model" ? ReadModel(section, name) : ReadAdapter(section, name);
  } else if (kind == "caller" && !name.empty()) {
    environment->callers[name] = ReadCaller(section, name);
  } else if (kind == "service" && !name.empty()) {
    environment->services[name] = ReadService(section, name);
  } else if (const auto rank = kRankNames.Find(name); kind == "rank" && rank) {
    ReadRank(section, &environment->ranks[Index(*rank)]);
  } else {
    section->Report("", "unknown section",
                    "use [environment], [pool NAME], [model NAME], [adapter NAME], [caller NAME], "
                    "[service NAME] or [rank " +
                        kRankNames.List() + "]");
    return;
  }
  section->ReportUnknownKeys();
}

// Checks the references of a model. An adapter takes the pool of its base model, whose
// max_replicas limits its own.
void CheckModel(IniSection* section, Environment* environment, Model* model) {
  if (model->is_adapter()) {
    const Model* base = environment->FindModel(model->base);
    if (base == nullptr || base->is_adapter()) {
      section->Report("model", "no model '" + model->base + "'", "name a [model ...] section");
      return;
    }
    model->pool = base->pool;
    model->max_replicas = std::min(model->max_replicas, base->max_replicas);
  }
  const Pool* pool = environment->FindPool(model->pool);
  if (pool == nullptr) {
    section->Report("pool", "no pool '" + model->pool + "'", "name a [pool ...] section");
  } else if (model->memory_mib > pool->endpoint_memory_mib) {
    section->Report("memory_mib", "does not fit an endpoint of pool '" + pool->name + "'",
                    "use at most " + std::to_string(pool->endpoint_memory_mib));
  }
}

void CheckCaller(IniSection* section, const Environment& environment, const Caller& caller) {
  for (const std::string& model : caller.models) {
    if (environment.FindModel(model) == nullptr) {
      section->Report("models", "no model or adapter '" + model + "'", "add its section");
    }
  }
  for (const std::string& service : caller.services) {
    if (environment.FindService(service) == nullptr) {
      section->Report("services", "no service '" + service + "'", "add its section");
    }
  }
}

// Checks the references of a section to other sections. Precondition: all sections are parsed.
void CheckReferences(IniSection* section, Environment* environment) {
  const std::size_t space = section->name().find(' ');
  if (space == std::string::npos) return;
  const std::string kind = section->name().substr(0, space);
  const std::string name = section->name().substr(space + 1);
  if (kind == "model" || kind == "adapter") {
    CheckModel(section, environment, &environment->models[name]);
  } else if (kind == "caller") {
    CheckCaller(section, *environment, environment->callers[name]);
  }
}

}  // namespace

const Model* Environment::FindModel(const std::string& model) const {
  return FindOrNull(models, model);
}

const Service* Environment::FindService(const std::string& service) const {
  return FindOrNull(services, service);
}

const Pool* Environment::FindPool(const std::string& pool) const { return FindOrNull(pools, pool); }

const Caller* Environment::Authenticate(std::string_view key) const {
  const std::string hash = Sha256Hex(key);
  const Caller* found = nullptr;
  for (const auto& [caller_name, caller] : callers) {
    if (ConstantTimeEqual(hash, caller.key_sha256)) found = &caller;
  }
  return found;
}

Result<Environment, IniIssues> ParseEnvironment(const std::string& file, std::string_view text) {
  auto entries = ParseIni(file, text);
  if (!entries) return outcome::failure(std::move(entries).error());
  IniIssues issues;
  std::vector<IniSection> sections = GroupSections(file, entries.value(), &issues);
  Environment environment;
  environment.ranks = kDefaultRanks;
  for (IniSection& section : sections) ReadSection(&section, &environment);
  for (IniSection& section : sections) CheckReferences(&section, &environment);
  if (environment.name.empty()) {
    issues.push_back({file, 0, "environment", "name", "the document has no name",
                      "add '[environment]' with 'name' and 'regions'"});
  }
  double floor_sum = 0;
  for (const RankPolicy& policy : environment.ranks) floor_sum += policy.floor;
  if (floor_sum > kMaxFloorSum) {
    issues.push_back({file, 0, "rank", "floor", "the floors add up to more than 0.5",
                      "lower them so that half of the capacity is left for urgent requests"});
  }
  std::map<std::string, std::string> caller_by_hash;
  for (const auto& [name, caller] : environment.callers) {
    const auto [it, inserted] = caller_by_hash.try_emplace(caller.key_sha256, name);
    if (!inserted) {
      issues.push_back({file, 0, "caller " + name, "key_sha256",
                        "caller '" + it->second + "' has the same key",
                        "give each caller its own key"});
    }
  }
  if (!issues.empty()) return outcome::failure(std::move(issues));
  return environment;
}

}  // namespace mimosabend
