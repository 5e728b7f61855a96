#include "report_aggregator.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mimosabend {

namespace {

// A daemon that has not reported for this long is assumed to report elsewhere or to be gone.
constexpr milliseconds kReportLifetime{2500};
// More streams than this are not kept for the next report.
constexpr std::size_t kMaxStreamKeys = 30000;

std::uint16_t SaturatedSum(std::uint16_t a, std::uint16_t b) {
  return static_cast<std::uint16_t>(
      std::min<std::uint32_t>(std::uint32_t{a} + b, std::numeric_limits<std::uint16_t>::max()));
}

}  // namespace

void AddLoad(EndpointLoad* sum, const EndpointLoad& load) {
  sum->number = load.number;
  sum->requests = SaturatedSum(sum->requests, load.requests);
  sum->prefill_units = SaturatedSum(sum->prefill_units, load.prefill_units);
  sum->memory_units = SaturatedSum(sum->memory_units, load.memory_units);
}

void ReportAggregator::AddUsage(const ModelUsage& usage) {
  ModelUsage& sum = usage_[{usage.service, usage.model}];
  sum.service = usage.service;
  sum.model = usage.model;
  sum.requests += usage.requests;
  sum.prefill_ms += usage.prefill_ms;
  sum.target_ms = std::min(sum.target_ms, usage.target_ms);
  for (const AdapterRequests& adapter : usage.adapters) AddAdapterRequests(&sum, adapter);
}

void ReportAggregator::AddStreams(const std::vector<StreamOrigins>& streams) {
  for (const StreamOrigins& part : streams) {
    if (stream_keys_ + part.keys.size() > kMaxStreamKeys) return;
    stream_keys_ += part.keys.size();
    streams_.push_back(part);
  }
}

void ReportAggregator::AddReport(const std::string& daemon, const UsageReport& report,
                                 MonotonicTime now) {
  loads_.SetLoads(daemon, report.loads, report.runs, now);
  DaemonReport& entry = daemons_[daemon];
  entry = {now, report.relayed, {}};
  entry.infos.push_back(report.sender);
  for (const ModelUsage& usage : report.models) {
    AddUsage(usage);
    if (usage.waiting == 0) continue;
    entry.waiting[{usage.service, usage.model}] = {usage.waiting, usage.waiting_priority};
  }
  unreachable_.insert(report.unreachable.begin(), report.unreachable.end());
  quota_.Add(report.quota);
  AddStreams(report.streams);
}

std::vector<DaemonInfo> ReportAggregator::Daemons() const {
  std::vector<DaemonInfo> daemons;
  for (const auto& [name, entry] : daemons_) {
    daemons.insert(daemons.end(), entry.infos.begin(), entry.infos.end());
  }
  return daemons;
}

void ReportAggregator::PruneExpired(MonotonicTime now) {
  loads_.PruneExpired(now);
  std::erase_if(daemons_,
                [&](const auto& item) { return now - item.second.reported_at >= kReportLifetime; });
}

void ReportAggregator::MergeInto(const std::string& own_name, UsageReport* report,
                                 MonotonicTime now) {
  PruneExpired(now);
  loads_.SetLoads(own_name, report->loads, report->runs, now);
  report->loads = loads_.Totals();
  report->runs = loads_.TotalRuns();
  unreachable_.insert(report->unreachable.begin(), report->unreachable.end());
  report->unreachable.assign(unreachable_.begin(), unreachable_.end());
  unreachable_.clear();
  std::map<Key, Waiting> waiting;
  const auto add_waiting = [&](const Key& key, const Waiting& added) {
    const auto [it, first] = waiting.try_emplace(key, added);
    if (first) return;
    it->second.count += added.count;
    it->second.priority = std::min(it->second.priority, added.priority);
  };
  for (const ModelUsage& usage : report->models) {
    AddUsage(usage);
    if (usage.waiting > 0) {
      add_waiting({usage.service, usage.model}, {usage.waiting, usage.waiting_priority});
    }
  }
  for (const auto& [name, entry] : daemons_) {
    report->relayed.insert(report->relayed.end(), entry.infos.begin(), entry.infos.end());
    for (const auto& [key, added] : entry.waiting) add_waiting(key, added);
  }
  report->models.clear();
  for (const auto& [key, sum] : waiting) {
    ModelUsage& usage = usage_[key];
    usage.service = key.first;
    usage.model = key.second;
    usage.waiting = sum.count;
    usage.waiting_priority = sum.priority;
  }
  for (auto& [key, usage] : usage_) report->models.push_back(std::move(usage));
  usage_.clear();
  quota_.Add(report->quota);
  report->quota = quota_.Take();
  AddStreams(report->streams);
  report->streams = std::exchange(streams_, {});
  stream_keys_ = 0;
}

void ReportAggregator::Restore(const UsageReport& report) {
  for (const ModelUsage& usage : report.models) AddUsage(usage);
  quota_.Add(report.quota);
  AddStreams(report.streams);
}

void ReportAggregator::SetExternalLoads(const std::vector<EndpointLoad>& loads) {
  external_loads_.clear();
  for (const EndpointLoad& load : loads) external_loads_[load.number] = load;
}

std::vector<EndpointLoad> ReportAggregator::LoadsExcept(const std::string& daemon) const {
  std::map<std::uint32_t, EndpointLoad> sums = external_loads_;
  for (const EndpointLoad& load : loads_.LoadsExcept(daemon)) AddLoad(&sums[load.number], load);
  std::vector<EndpointLoad> others;
  for (const auto& [number, load] : sums) others.push_back(load);
  return others;
}

bool ReportAggregator::HasWaiting(MonotonicTime now) const {
  return std::any_of(daemons_.begin(), daemons_.end(), [&](const auto& item) {
    return !item.second.waiting.empty() && now - item.second.reported_at < kReportLifetime;
  });
}

}  // namespace mimosabend
