#include "environment_diff.h"

#include <set>
#include <utility>

namespace mimosabend {

namespace {

constexpr std::size_t kMaxSummaryBytes = 2048;

using Fields = std::vector<std::pair<std::string, std::string>>;

std::string Join(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += (text.empty() ? "" : ", ") + name;
  return text;
}

std::string FormatNumber(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) text.pop_back();
  return text;
}

Fields ToFields(const Pool& pool) {
  return {{"fencing", std::string(kFencingNames[pool.fencing])},
          {"endpoint_memory_mib", std::to_string(pool.endpoint_memory_mib)},
          {"budget_mib", std::to_string(pool.budget_mib)},
          {"groups", std::to_string(pool.groups)},
          {"slots", std::to_string(pool.slots)}};
}

Fields ToFields(const Model& model) {
  return {{"model", model.base},
          {"pool", model.pool},
          {"version", model.version},
          {"memory_mib", std::to_string(model.memory_mib)},
          {"min_replicas", std::to_string(model.min_replicas)},
          {"max_replicas", std::to_string(model.max_replicas)}};
}

Fields ToFields(const Caller& caller) {
  return {{"rank", std::string(kRankNames[caller.rank])},
          {"weight", FormatNumber(caller.weight)},
          {"models", caller.all_models ? "*" : Join(caller.models)},
          {"services", Join(caller.services)}};
}

Fields ToFields(const Service& service) {
  return {{"repeatable", service.repeatable ? "true" : "false"},
          {"record_window_s", std::to_string(service.record_window.count())},
          {"slot_s", std::to_string(service.slot_length.count())},
          {"ranges", std::to_string(service.ranges)},
          {"timeout_ms", std::to_string(service.timeout.count())}};
}

Fields ToFields(const RankPolicy& policy) {
  return {{"first_token_ms", std::to_string(policy.first_token.count())},
          {"floor", FormatNumber(policy.floor)}};
}

Fields EnvironmentFields(const Environment& environment) {
  std::string regions;
  for (const std::string& region : environment.regions) {
    regions += (regions.empty() ? "" : ", ") + region;
  }
  return {{"regions", regions},
          {"idle_weight", FormatNumber(environment.idle_weight)},
          {"load_timeout_ms", std::to_string(environment.load_timeout.count())}};
}

// Precondition: both lists have the same keys in the same order.
void DiffFields(const std::string& section, const Fields& before, const Fields& after,
                std::vector<std::string>* lines) {
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].second == after[i].second) continue;
    lines->push_back("[" + section + "] " + before[i].first + ": " + before[i].second + " -> " +
                     after[i].second);
  }
}

template <class T>
void DiffMaps(const std::string& kind, const std::map<std::string, T>& before,
              const std::map<std::string, T>& after, std::vector<std::string>* lines) {
  for (const auto& [name, value] : before) {
    const auto found = after.find(name);
    if (found == after.end()) {
      lines->push_back("[" + kind + " " + name + "] removed");
    } else {
      DiffFields(kind + " " + name, ToFields(value), ToFields(found->second), lines);
    }
  }
  for (const auto& [name, value] : after) {
    if (!before.contains(name)) lines->push_back("[" + kind + " " + name + "] added");
  }
}

}  // namespace

std::vector<std::string> DiffEnvironments(const Environment& before, const Environment& after) {
  std::vector<std::string> lines;
  DiffFields("environment", EnvironmentFields(before), EnvironmentFields(after), &lines);
  DiffMaps("pool", before.pools, after.pools, &lines);
  DiffMaps("model", before.models, after.models, &lines);
  DiffMaps("caller", before.callers, after.callers, &lines);
  DiffMaps("service", before.services, after.services, &lines);
  for (const auto& [name, caller] : before.callers) {
    const auto found = after.callers.find(name);
    if (found != after.callers.end() && found->second.key_sha256 != caller.key_sha256) {
      lines.push_back("[caller " + name + "] key_sha256: changed");
    }
  }
  for (Rank rank : kAllRanks) {
    DiffFields("rank " + std::string(kRankNames[rank]), ToFields(before.ranks[Index(rank)]),
               ToFields(after.ranks[Index(rank)]), &lines);
  }
  return lines;
}

std::string FindForbiddenChange(const Environment& before, const Environment& after) {
  for (const auto& [name, pool] : before.pools) {
    const Pool* found = after.FindPool(name);
    if (found != nullptr && found->groups != pool.groups) {
      return "[pool " + name + "] groups must stay " + std::to_string(pool.groups) +
             "; to change it, add a pool under another name and move the models";
    }
  }
  return {};
}

std::string SummarizeDiff(const std::vector<std::string>& lines) {
  std::string summary;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const std::string rest = "and " + std::to_string(lines.size() - i) + " more changes";
    if (summary.size() + lines[i].size() + rest.size() > kMaxSummaryBytes) return summary + rest;
    summary += lines[i] + "\n";
  }
  if (!summary.empty()) summary.pop_back();
  return summary;
}

}  // namespace mimosabend
