#ifndef MIMOSABEND_USAGE_BOARD_H_
#define MIMOSABEND_USAGE_BOARD_H_

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

// What the requests of this daemon use, until it is reported to the placement leader. Not
// thread-safe.
class UsageBoard {
 public:
  explicit UsageBoard(boost::asio::any_io_executor executor)
      : waiting_began_(executor), changed_(std::move(executor)) {}

  // Notes a request that starts at an engine. `adapter` is empty for none.
  void NoteRequest(const std::string& service, const std::string& model, const std::string& adapter,
                   milliseconds target, double reading_ms) {
    ModelUsage& usage = UsageOf(service, model);
    if (!adapter.empty()) AddAdapterRequests(&usage, {adapter, 1});
    usage.target_ms = std::min(usage.target_ms, static_cast<std::uint32_t>(target.count()));
    ++usage.requests;
    usage.reading_ms += static_cast<std::uint32_t>(reading_ms);
  }

  // A request waits because no engine holds its model.
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
    const auto one = it->second.find(priority);
    if (one != it->second.end()) it->second.erase(one);
    if (it->second.empty()) waiting_.erase(it);
  }

  bool HasWaiting() const { return !waiting_.empty(); }

  // What is to be reported now; the counts start anew.
  std::vector<ModelUsage> Take() {
    for (const auto& [key, priorities] : waiting_) {
      ModelUsage& usage = UsageOf(key.first, key.second);
      usage.waiting = static_cast<std::uint32_t>(priorities.size());
      usage.waiting_priority = *priorities.begin();
    }
    std::vector<ModelUsage> taken;
    for (auto& [key, usage] : usage_) taken.push_back(std::move(usage));
    usage_.clear();
    return taken;
  }

  // A request runs at an engine until EndRun. `adapter` is empty for none.
  void BeginRun(const std::string& endpoint, const std::string& model, const std::string& adapter) {
    runs_[endpoint][model].insert(adapter);
  }
  void EndRun(const std::string& endpoint, const std::string& model, const std::string& adapter) {
    const auto engine = runs_.find(endpoint);
    if (engine == runs_.end()) return;
    const auto runs = engine->second.find(model);
    if (runs == engine->second.end()) return;
    const auto one = runs->second.find(adapter);
    if (one != runs->second.end()) runs->second.erase(one);
    if (runs->second.empty()) engine->second.erase(runs);
    if (engine->second.empty()) runs_.erase(engine);
  }

  // What runs at an engine, by model.
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

  // Puts back what could not be reported.
  void Return(const std::vector<ModelUsage>& usages) {
    for (const ModelUsage& usage : usages) {
      ModelUsage& mine = UsageOf(usage.service, usage.model);
      mine.requests += usage.requests;
      mine.reading_ms += usage.reading_ms;
      mine.target_ms = std::min(mine.target_ms, usage.target_ms);
      for (const AdapterRequests& adapter : usage.adapters) AddAdapterRequests(&mine, adapter);
    }
  }

  // Wakes when a request begins to wait.
  Notifier& waiting_began() { return waiting_began_; }
  // Wakes when what is known of the endpoints has changed.
  Notifier& changed() { return changed_; }

 private:
  using Key = std::pair<std::string, std::string>;

  ModelUsage& UsageOf(const std::string& service, const std::string& model) {
    ModelUsage& usage = usage_[{service, model}];
    usage.service = service;
    usage.model = model;
    return usage;
  }

  std::map<Key, ModelUsage> usage_;
  std::map<Key, std::multiset<std::uint32_t>> waiting_;
  // The adapter of each running request, by endpoint and model.
  std::map<std::string, std::map<std::string, std::multiset<std::string>>> runs_;
  Notifier waiting_began_;
  Notifier changed_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_USAGE_BOARD_H_
