#ifndef MIMOSABEND_USAGE_BOARD_H_
#define MIMOSABEND_USAGE_BOARD_H_

#include <algorithm>
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
  void NoteRequest(const std::string& service, const std::string& model,
                   const std::string& adapter, milliseconds target, double reading_ms) {
    ModelUsage& usage = UsageOf(service, model);
    if (!adapter.empty()) CountAdapter(&usage, {adapter, 1});
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

  // A request with an adapter runs at an engine until EndAdapter.
  void BeginAdapter(const std::string& endpoint, const std::string& name) {
    adapters_[endpoint].insert(name);
  }
  void EndAdapter(const std::string& endpoint, const std::string& name) {
    const auto it = adapters_.find(endpoint);
    if (it == adapters_.end()) return;
    const auto one = it->second.find(name);
    if (one != it->second.end()) it->second.erase(one);
    if (it->second.empty()) adapters_.erase(it);
  }

  // Adapters in use at an engine, as "MODEL/ADAPTER".
  std::vector<std::string> AdaptersInUse(const std::string& endpoint) const {
    const auto it = adapters_.find(endpoint);
    if (it == adapters_.end()) return {};
    const std::set<std::string> names(it->second.begin(), it->second.end());
    return {names.begin(), names.end()};
  }

  // Puts back what could not be reported.
  void Return(const std::vector<ModelUsage>& usages) {
    for (const ModelUsage& usage : usages) {
      ModelUsage& mine = UsageOf(usage.service, usage.model);
      mine.requests += usage.requests;
      mine.reading_ms += usage.reading_ms;
      mine.target_ms = std::min(mine.target_ms, usage.target_ms);
      for (const AdapterRequests& adapter : usage.adapters) CountAdapter(&mine, adapter);
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

  static void CountAdapter(ModelUsage* usage, const AdapterRequests& more) {
    for (AdapterRequests& known : usage->adapters) {
      if (known.adapter != more.adapter) continue;
      known.requests += more.requests;
      return;
    }
    usage->adapters.push_back(more);
  }

  std::map<Key, ModelUsage> usage_;
  std::map<Key, std::multiset<std::uint32_t>> waiting_;
  std::map<std::string, std::multiset<std::string>> adapters_;
  Notifier waiting_began_;
  Notifier changed_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_USAGE_BOARD_H_
