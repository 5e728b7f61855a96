#ifndef MIMOSABEND_USAGE_COLLECTOR_H_
#define MIMOSABEND_USAGE_COLLECTOR_H_

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet_usage.h"
#include "notifier.h"

namespace mimosabend {

// Collects the model usage of this daemon's requests between reports to the placement leader, and
// tracks its waiting requests and requests in flight. Not thread-safe.
class UsageCollector {
 public:
  explicit UsageCollector(boost::asio::any_io_executor executor)
      : waiting_began_(executor),
        endpoints_changed_(executor),
        shares_wanted_(std::move(executor)) {}

  // Records a request that starts at an engine. `adapter` is empty if it uses none. `prefill_ms` is
  // the engine time for its prefill.
  void RecordRequest(const std::string& service, const std::string& model,
                     const std::string& adapter, milliseconds target, double prefill_ms) {
    ModelUsage& usage = UsageOf(service, model);
    if (!adapter.empty()) AddAdapterRequests(&usage, {adapter, 1});
    usage.target_ms = std::min(usage.target_ms, static_cast<std::uint32_t>(target.count()));
    ++usage.requests;
    usage.prefill_ms += static_cast<std::uint32_t>(prefill_ms);
  }

  // A request waits because no engine holds its model, until EndWaiting with the same arguments.
  void BeginWaiting(const std::string& service, const std::string& model, milliseconds target,
                    std::uint32_t priority) {
    ModelUsage& usage = UsageOf(service, model);
    usage.target_ms = std::min(usage.target_ms, static_cast<std::uint32_t>(target.count()));
    waiting_[{service, model}].insert(priority);
    waiting_began_.NotifyAll();
  }
  void EndWaiting(const std::string& service, const std::string& model, std::uint32_t priority) {
    const auto it = waiting_.find({service, model});
    if (it == waiting_.end()) return;
    const auto entry = it->second.find(priority);
    if (entry != it->second.end()) it->second.erase(entry);
    if (it->second.empty()) waiting_.erase(it);
  }

  bool HasWaiting() const { return !waiting_.empty(); }

  // Returns the usage to report and resets the counts. Waiting requests are reported each time.
  std::vector<ModelUsage> TakeReport() {
    for (const auto& [key, priorities] : waiting_) {
      ModelUsage& usage = UsageOf(key.first, key.second);
      usage.waiting = static_cast<std::uint32_t>(priorities.size());
      usage.waiting_priority = *priorities.begin();
    }
    std::vector<ModelUsage> usages;
    for (auto& [key, usage] : usage_) usages.push_back(std::move(usage));
    usage_.clear();
    return usages;
  }

  // A request is in flight at an engine until EndRun. `adapter` is empty if it uses none.
  void BeginRun(const std::string& endpoint, const std::string& model, const std::string& adapter) {
    runs_[endpoint][model].insert(adapter);
  }
  void EndRun(const std::string& endpoint, const std::string& model, const std::string& adapter) {
    const auto engine = runs_.find(endpoint);
    if (engine == runs_.end()) return;
    const auto runs = engine->second.find(model);
    if (runs == engine->second.end()) return;
    const auto entry = runs->second.find(adapter);
    if (entry != runs->second.end()) runs->second.erase(entry);
    if (runs->second.empty()) engine->second.erase(runs);
    if (engine->second.empty()) runs_.erase(engine);
  }

  // Requests in flight at an engine, by model.
  std::vector<ModelRuns> RunsAt(const std::string& endpoint) const {
    std::vector<ModelRuns> found;
    const auto engine = runs_.find(endpoint);
    if (engine == runs_.end()) return found;
    for (const auto& [model, adapters] : engine->second) {
      std::set<std::string> names(adapters.begin(), adapters.end());
      names.erase("");
      found.push_back({model,
                       static_cast<std::uint16_t>(std::min<std::size_t>(
                           adapters.size(), std::numeric_limits<std::uint16_t>::max())),
                       {names.begin(), names.end()}});
    }
    return found;
  }

  // Adds usage back whose report failed, without its waiting requests.
  void Restore(const std::vector<ModelUsage>& usages) {
    for (const ModelUsage& usage : usages) {
      ModelUsage& entry = UsageOf(usage.service, usage.model);
      entry.requests += usage.requests;
      entry.prefill_ms += usage.prefill_ms;
      entry.target_ms = std::min(entry.target_ms, usage.target_ms);
      for (const AdapterRequests& adapter : usage.adapters) AddAdapterRequests(&entry, adapter);
    }
  }

  // Notified when a request begins to wait.
  Notifier& waiting_began() { return waiting_began_; }
  // Notified when the known state of the endpoints has changed.
  Notifier& endpoints_changed() { return endpoints_changed_; }
  // Notified when a request finds no room in this daemon's share of a brittle endpoint, or such an
  // endpoint rejects one.
  Notifier& shares_wanted() { return shares_wanted_; }

 private:
  // Service and model.
  using Key = std::pair<std::string, std::string>;

  ModelUsage& UsageOf(const std::string& service, const std::string& model) {
    ModelUsage& usage = usage_[{service, model}];
    usage.service = service;
    usage.model = model;
    return usage;
  }

  std::map<Key, ModelUsage> usage_;
  // The priority of each waiting request.
  std::map<Key, std::multiset<std::uint32_t>> waiting_;
  // The adapter of each request in flight, by endpoint and model.
  std::map<std::string, std::map<std::string, std::multiset<std::string>>> runs_;
  Notifier waiting_began_;
  Notifier endpoints_changed_;
  Notifier shares_wanted_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_USAGE_COLLECTOR_H_
