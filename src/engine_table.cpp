#include "engine_table.h"

#include <algorithm>
#include <tuple>

#include "model_planner.h"

namespace mimosabend {

namespace {

// Holdings are read again after this time.
constexpr seconds kRefreshPeriod{10};
// Maximum age of the state in a report.
constexpr milliseconds kReportLag{1000};
// An adapter may still be in use for this long after the last report of its use. Covers the
// daemons' report period.
constexpr milliseconds kRecentUse{2500};

bool SameModels(const EngineHoldings& a, const EngineHoldings& b) {
  if (a.models.size() != b.models.size()) return false;
  return std::all_of(a.models.begin(), a.models.end(),
                     [&](const HeldModel& held) { return b.Find(held.name) != nullptr; });
}

std::string AdapterName(const ModelAdapter& adapter) {
  return adapter.first + "/" + adapter.second;
}

void AddAdapter(EngineHoldings* holdings, const ModelAdapter& adapter) {
  for (HeldModel& held : holdings->models) {
    if (held.name != adapter.first) continue;
    if (!HasAdapter(*holdings, adapter.first, adapter.second)) {
      held.adapters.push_back(adapter.second);
    }
  }
}

}  // namespace

bool HasAdapter(const EngineHoldings& holdings, const std::string& model,
                const std::string& adapter) {
  const HeldModel* held = holdings.Find(model);
  return held != nullptr &&
         std::find(held->adapters.begin(), held->adapters.end(), adapter) != held->adapters.end();
}

std::size_t CountAdapters(const EngineHoldings& holdings) {
  std::size_t count = 0;
  for (const HeldModel& held : holdings.models) count += held.adapters.size();
  return count;
}

double CommittedMb(const EngineProfile& profile, const EngineRecord& engine) {
  double committed = UsedMb(profile, engine.holdings);
  const auto loading = profile.models.find(engine.loading);
  if (loading != profile.models.end() && engine.holdings.Find(engine.loading) == nullptr) {
    committed += loading->second.weights_mb;
  }
  return committed;
}

bool EngineTable::HasOtherReplica(const EngineRecord& engine, const ModelAdapter& adapter) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
    return item.first != engine.id && item.second.service == engine.service &&
           HasAdapter(item.second.holdings, adapter.first, adapter.second);
  });
}

std::optional<ModelAdapter> EngineTable::AdapterToEvict(const EngineRecord& engine,
                                                        MonotonicTime now) const {
  // Recently used, only replica, last use. The lowest is evicted.
  using EvictionKey = std::tuple<bool, bool, MonotonicTime>;
  std::optional<ModelAdapter> victim;
  EvictionKey lowest;
  for (const HeldModel& held : engine.holdings.models) {
    for (const std::string& name : held.adapters) {
      const ModelAdapter adapter{held.name, name};
      const auto use = engine.adapter_use.find(AdapterName(adapter));
      const MonotonicTime used = use == engine.adapter_use.end() ? MonotonicTime() : use->second;
      const EvictionKey key{now - used < kRecentUse, !HasOtherReplica(engine, adapter), used};
      if (victim && key >= lowest) continue;
      lowest = key;
      victim = adapter;
    }
  }
  return victim;
}

std::vector<std::string> EngineTable::Sync(const FleetDirectory& directory, MonotonicTime now) {
  const auto config = directory.config();
  std::vector<std::string> to_read;
  if (config == nullptr) return to_read;
  std::erase_if(engines_, [&](const auto& item) {
    const DirectoryEntry* entry = directory.Find(item.first);
    return entry == nullptr || entry->endpoint.started_ms != item.second.started_ms;
  });
  for (const auto& [id, entry] : directory.entries()) {
    const RoutedService* service = config->FindService(entry.endpoint.service);
    if (service == nullptr || !service->engine) continue;
    EngineRecord& engine = engines_[id];
    engine.id = id;
    engine.service = entry.endpoint.service;
    engine.address = entry.endpoint.address;
    engine.started_ms = entry.endpoint.started_ms;
    const bool changed = !SameModels(engine.registered, entry.endpoint.holdings) &&
                         !SameModels(engine.holdings, entry.endpoint.holdings);
    engine.registered = entry.endpoint.holdings;
    const bool stale = !engine.known || changed || now - engine.read_at > kRefreshPeriod;
    if (stale && engine.loading.empty() && engine.IsIdle(now)) to_read.push_back(id);
  }
  return to_read;
}

EngineRecord* EngineTable::Find(const std::string& id) {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : &it->second;
}

EngineRecord* EngineTable::Find(const std::string& id, std::int64_t started_ms) {
  EngineRecord* engine = Find(id);
  return engine != nullptr && engine->started_ms == started_ms ? engine : nullptr;
}

bool EngineTable::RecordReport(EngineRecord* engine, const EngineReport& report,
                               MonotonicTime now) {
  const bool outdated = engine->known && report.holdings.sequence < engine->holdings.sequence &&
                        now - engine->ordered_at < kReportLag;
  if (outdated) return false;
  engine->holdings = report.holdings;
  for (const std::string& name : report.loading_adapters) {
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos) continue;
    AddAdapter(&engine->holdings, {name.substr(0, slash), name.substr(slash + 1)});
  }
  engine->known = true;
  engine->read_at = now;
  Publish(*engine);
  return true;
}

// Mirrors the sequence number that an engine increments with each order that it accepts.
void EngineTable::IncrementSequence(EngineRecord* engine, MonotonicTime now) {
  ++engine->holdings.sequence;
  engine->ordered_at = now;
}

void EngineTable::RecordLoadAccepted(EngineRecord* engine, MonotonicTime now) {
  IncrementSequence(engine, now);
}

void EngineTable::RecordUnloadAccepted(EngineRecord* engine, const std::string& model,
                                       MonotonicTime now) {
  IncrementSequence(engine, now);
  std::erase_if(engine->holdings.models, [&](const HeldModel& held) { return held.name == model; });
  Publish(*engine);
}

void EngineTable::RecordAdapterLoaded(EngineRecord* engine, const ModelAdapter& adapter,
                                      MonotonicTime now) {
  IncrementSequence(engine, now);
  AddAdapter(&engine->holdings, adapter);
  engine->adapter_use[AdapterName(adapter)] = now;
  Publish(*engine);
}

void EngineTable::RecordAdapterEvicted(EngineRecord* engine, const ModelAdapter& adapter,
                                       MonotonicTime now) {
  IncrementSequence(engine, now);
  for (HeldModel& held : engine->holdings.models) {
    if (held.name == adapter.first) std::erase(held.adapters, adapter.second);
  }
  engine->adapter_use.erase(AdapterName(adapter));
  Publish(*engine);
}

// Publishes an engine's holdings under a new version, unless they are unchanged.
void EngineTable::Publish(const EngineRecord& engine) {
  HoldingsUpdate update{engine.number(), 0, {}};
  for (const HeldModel& held : engine.holdings.models) {
    update.models.push_back({held.name, held.adapters});
  }
  const HoldingsUpdate* known = published_->Find(update.number);
  if (known != nullptr && known->models == update.models) return;
  update.version = std::max(versions_after_, published_->version()) + 1;
  published_->Apply(update);
}

void EngineTable::RecordAdapterUse(const std::vector<EngineRuns>& runs, MonotonicTime now) {
  if (runs.empty()) return;
  std::map<std::uint32_t, const EngineRuns*> by_number;
  for (const EngineRuns& engine_runs : runs) by_number[engine_runs.number] = &engine_runs;
  for (auto& [id, engine] : engines_) {
    const auto found = by_number.find(engine.number());
    if (found == by_number.end()) continue;
    for (const ModelRuns& model : found->second->models) {
      for (const std::string& name : model.adapters) {
        engine.adapter_use[AdapterName({model.model, name})] = now;
      }
    }
  }
}

std::vector<RecentOrder> EngineTable::RecentOrders(milliseconds within, MonotonicTime now) const {
  std::vector<RecentOrder> orders;
  for (const auto& [id, engine] : engines_) {
    const auto age = ToMillis(now - engine.sent_at);
    if (age >= within) continue;
    orders.push_back({engine.number(), static_cast<std::uint32_t>(age.count())});
  }
  return orders;
}

std::vector<PendingLoad> EngineTable::PendingLoads(MonotonicTime now) const {
  std::vector<PendingLoad> loads;
  for (const auto& [id, engine] : engines_) {
    if (engine.loading.empty()) continue;
    const auto left = ToMillis(engine.ready_at - now).count();
    loads.push_back({engine.loading, static_cast<std::uint32_t>(std::max<std::int64_t>(0, left))});
  }
  return loads;
}

}  // namespace mimosabend
