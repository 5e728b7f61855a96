#include "status_report.h"

#include <array>
#include <ctime>
#include <map>
#include <set>
#include <sstream>

#include "engine.h"
#include "json.h"
#include "metrics.h"
#include "rank.h"

namespace mimosabend {

namespace json = boost::json;

namespace {

// Loaded replicas of one pool in one region.
struct PoolUsage {
  std::int64_t memory_mib = 0;
  std::vector<std::string> replicas;
};

// Sums over the status reports of all daemons.
struct Summary {
  std::size_t answering = 0;
  std::size_t ready = 0;
  std::size_t up_to_date = 0;
  std::map<std::pair<std::string, std::string>, PoolUsage> pools;
  std::array<std::uint32_t, kReplicaStateNames.names.size()> by_state{};
  std::set<std::string> loaded;
  // Requests by rank and outcome.
  std::array<std::array<std::int64_t, kRequestOutcomeCount>, kRankCount> requests{};
};

const json::array& ArrayMember(const json::value& value, std::string_view name) {
  static const json::array empty;
  const json::value* member = JsonMember(value, name);
  const json::array* array = member == nullptr ? nullptr : member->if_array();
  return array == nullptr ? empty : *array;
}

bool IsReady(const json::value& status) { return BoolMember(status, "ready"); }

// Splits "pool.region.index".
std::pair<std::string, std::string> PoolAndRegion(const std::string& group) {
  const std::size_t first = group.find('.');
  const std::size_t last = group.rfind('.');
  if (first == std::string::npos || last == first) return {group, ""};
  return {group.substr(0, first), group.substr(first + 1, last - first - 1)};
}

void AddReplica(const json::value& replica, PoolUsage* usage, Summary* summary) {
  const std::string model = StringMember(replica, "model");
  const std::string state = StringMember(replica, "state");
  usage->memory_mib += IntegerMember(replica, "memory_mib").value_or(0);
  usage->replicas.push_back(model + " " + StringMember(replica, "version") + " " + state + " at " +
                            StringMember(replica, "endpoint"));
  summary->loaded.insert(model);
  if (const auto known = kReplicaStateNames.Find(state)) {
    ++summary->by_state[static_cast<std::size_t>(*known)];
  }
}

void AddDaemon(const json::value& status, std::uint64_t version, Summary* summary) {
  ++summary->answering;
  summary->ready += IsReady(status) ? 1 : 0;
  const auto in_force = IntegerMember(status, "version");
  summary->up_to_date += in_force && *in_force == static_cast<std::int64_t>(version) ? 1 : 0;
  for (const json::value& group : ArrayMember(status, "owned_groups")) {
    PoolUsage& usage = summary->pools[PoolAndRegion(StringMember(group, "group"))];
    for (const json::value& replica : ArrayMember(group, "replicas")) {
      AddReplica(replica, &usage, summary);
    }
  }
  const json::value* requests = JsonMember(status, "requests");
  if (requests == nullptr) return;
  for (Rank rank : kAllRanks) {
    const json::value* counts = JsonMember(*requests, kRankNames[rank]);
    if (counts == nullptr) continue;
    for (std::size_t i = 0; i < kRequestOutcomeCount; ++i) {
      const auto count = IntegerMember(*counts, kRequestOutcomeNames.names[i]);
      summary->requests[Index(rank)][i] += count.value_or(0);
    }
  }
}

void PrintDaemon(const DaemonStatus& daemon, std::ostream& out) {
  out << "  " << daemon.address << "  ";
  if (!daemon.status) {
    out << "no response\n";
    return;
  }
  out << StringMember(*daemon.status, "name") << "  version "
      << IntegerMember(*daemon.status, "version").value_or(0) << "  "
      << (IsReady(*daemon.status) ? "ready" : "not ready");
  for (const json::value& group : ArrayMember(*daemon.status, "owned_groups")) {
    out << "  owns " << StringMember(group, "group");
  }
  out << "\n";
}

void PrintPools(const Environment& environment, const Summary& summary, std::ostream& out) {
  for (const auto& [key, usage] : summary.pools) {
    const Pool* pool = environment.FindPool(key.first);
    out << "pool " << key.first << " in " << key.second << ": " << usage.memory_mib << " of "
        << (pool == nullptr ? std::string("?") : std::to_string(pool->budget_mib))
        << " MiB reserved\n";
    for (const std::string& replica : usage.replicas) out << "  " << replica << "\n";
  }
}

void PrintRequests(const Summary& summary, std::ostream& out) {
  out << "requests since daemon start\n";
  for (Rank rank : kAllRanks) {
    out << "  " << kRankNames[rank] << ":";
    for (std::size_t i = 0; i < kRequestOutcomeCount; ++i) {
      out << " " << summary.requests[Index(rank)][i] << " " << kRequestOutcomeNames.names[i];
    }
    out << "\n";
  }
}

}  // namespace

std::string FormatTime(std::int64_t unix_ms) {
  const std::time_t time = unix_ms / 1000;
  std::tm utc{};
  gmtime_r(&time, &utc);
  std::array<char, 32> text;
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text.data();
}

std::string FormatStatus(const std::optional<DocumentHead>& head, const Environment& environment,
                         const std::vector<DaemonStatus>& daemons) {
  Summary summary;
  for (const DaemonStatus& daemon : daemons) {
    if (daemon.status) AddDaemon(*daemon.status, head ? head->version : 0, &summary);
  }
  std::ostringstream out;
  if (head) {
    out << "accepted: version " << head->version << " by " << head->author << " at "
        << FormatTime(head->time_ms) << "\n";
  } else {
    out << "accepted: unknown, key-value service unreachable\n";
  }
  out << "daemons: " << summary.answering << " of " << daemons.size() << " respond, "
      << summary.ready << " ready, " << summary.up_to_date
      << " have the accepted version in force\n";
  for (const DaemonStatus& daemon : daemons) PrintDaemon(daemon, out);
  out << "replicas:";
  for (std::size_t i = 0; i < summary.by_state.size(); ++i) {
    out << " " << summary.by_state[i] << " " << kReplicaStateNames.names[i];
  }
  const std::size_t models = environment.models.size();
  out << "; " << (models - std::min(models, summary.loaded.size())) << " of " << models
      << " models and adapters are idle\n";
  PrintPools(environment, summary, out);
  PrintRequests(summary, out);
  return std::move(out).str();
}

}  // namespace mimosabend
