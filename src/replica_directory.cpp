#include "replica_directory.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "digest.h"
#include "event_loop.h"
#include "supervisor.h"

namespace mimosabend {

namespace asio = boost::asio;

namespace {

constexpr seconds kRefreshPeriod{2};
// A model that was not used for this long is no longer refreshed. Its replicas stay cached in case
// the owner is unreachable later; an engine that no longer holds the model rejects the request.
constexpr seconds kInUseTime{6};
constexpr seconds kEntryRetention{600};
// Maximum time that the owner holds one demand open.
constexpr std::uint32_t kDemandWaitMs = 1000;
// The same while the other regions are queried as well. With 1000 ms, requests waited up to a
// second although a replica was ready in another region.
constexpr std::uint32_t kSharedDemandWaitMs = 250;
// Delay after an immediate answer without replicas.
constexpr milliseconds kRetryDelay{100};
// Maximum time in which a group changes its owner: the lease expires and another daemon takes over.
constexpr seconds kMaxOwnerChangeTime{9};
// From this idle weight on, all regions share one replica of a model whose min_replicas is 0.
constexpr double kSharedReplicaIdleWeight = 0.5;

bool SharesOneReplica(const Environment& environment, const Model& model) {
  return environment.idle_weight >= kSharedReplicaIdleWeight && model.min_replicas == 0;
}

}  // namespace

struct ReplicaDirectory::Entry {
  explicit Entry(const asio::any_io_executor& executor) : changed(executor) {}

  std::vector<ReplicaLocation> replicas;
  MonotonicTime last_used;
  WaitingByRank waiting{};
  DemandStatus last_status = DemandStatus::kLoading;
  // Number of answers received from owners.
  std::uint64_t answers = 0;
  bool fetching = false;
  Notifier changed;
};

ReplicaDirectory::ReplicaDirectory(asio::any_io_executor executor, std::string region,
                                   bool share_regions,
                                   std::function<std::shared_ptr<const Environment>()> environment,
                                   SendDemand send_demand)
    : executor_(std::move(executor)),
      region_(std::move(region)),
      share_regions_(share_regions),
      environment_(std::move(environment)),
      send_demand_(std::move(send_demand)) {}

ReplicaDirectory::~ReplicaDirectory() = default;

std::shared_ptr<ReplicaDirectory::Entry> ReplicaDirectory::FindOrCreateEntry(
    const std::string& model) {
  std::shared_ptr<Entry>& entry = entries_[model];
  if (entry == nullptr) entry = std::make_shared<Entry>(executor_);
  return entry;
}

// Regions in the order in which their owners are queried. The region of a shared replica is chosen
// by the model's hash, so that all daemons agree.
std::vector<std::string> ReplicaDirectory::RegionsByPreference(const Environment& environment,
                                                               const Model& model) const {
  std::vector<std::string> regions = environment.regions;
  std::stable_partition(regions.begin(), regions.end(),
                        [&](const std::string& region) { return region == region_; });
  if (!share_regions_ || !SharesOneReplica(environment, model)) return regions;
  const std::string& name = model.is_adapter() ? model.base : model.name;
  const std::string& chosen = environment.regions[Hash64(name) % environment.regions.size()];
  std::stable_partition(regions.begin(), regions.end(),
                        [&](const std::string& region) { return region == chosen; });
  return regions;
}

// Queries the other regions for ready replicas without requesting a load.
Task<DemandAnswer> ReplicaDirectory::FindReadyInOtherRegions(
    std::shared_ptr<const Environment> environment, std::string model) {
  const Model* found = environment->FindModel(model);
  DemandAnswer answer;
  for (const std::string& region : environment->regions) {
    if (region == region_) continue;
    DemandRequest request;
    request.group = HomeGroup(*environment, *found, region).ToString();
    request.model = model;
    answer = co_await send_demand_(std::move(request));
    if (answer.status == DemandStatus::kReady) break;
  }
  co_return answer;
}

// Queries the owners of the model's groups until one has or loads a replica. While this region
// loads its own replica, requests are served by a replica that is ready in another region.
Task<DemandAnswer> ReplicaDirectory::QueryRegions(std::string model, std::shared_ptr<Entry> entry,
                                                  std::uint32_t wait_ms) {
  const std::shared_ptr<const Environment> environment = environment_();
  const Model* found = environment->FindModel(model);
  DemandAnswer answer;
  if (found == nullptr) co_return answer;
  for (const std::string& region : RegionsByPreference(*environment, *found)) {
    DemandRequest request;
    request.group = HomeGroup(*environment, *found, region).ToString();
    request.model = model;
    request.waiting = entry->waiting;
    const bool own = region == region_;
    const bool query_other_regions =
        share_regions_ && own && wait_ms > 0 && environment->regions.size() > 1;
    request.wait_ms = query_other_regions ? 0 : wait_ms;
    const DemandRequest again = request;
    answer = co_await send_demand_(std::move(request));
    if (query_other_regions && answer.status == DemandStatus::kLoading) {
      DemandAnswer remote_answer = co_await FindReadyInOtherRegions(environment, model);
      if (remote_answer.status == DemandStatus::kReady) co_return remote_answer;
      DemandRequest waiting = again;
      waiting.waiting = entry->waiting;
      waiting.wait_ms = std::min(wait_ms, kSharedDemandWaitMs);
      answer = co_await send_demand_(std::move(waiting));
    }
    const bool lost =
        answer.status == DemandStatus::kNotOwner || answer.status == DemandStatus::kUnavailable;
    // An unreachable region must not prevent this one from serving the model.
    if (lost && !own) continue;
    if (answer.status != DemandStatus::kNoCapacity) co_return answer;
  }
  co_return answer;
}

// Sends demands on behalf of all requests that wait for a model, until none waits or a replica is
// ready.
Task<void> ReplicaDirectory::FetchReplicas(std::string model, std::shared_ptr<Entry> entry) {
  // Lets the request that spawned this coroutine start to wait first. Otherwise an owner in the
  // same daemon could answer before anyone waits, and the request would wait until its deadline.
  co_await asio::post(executor_, asio::use_awaitable);
  while (entry->waiting != WaitingByRank{} && entry->replicas.empty()) {
    const MonotonicTime start = MonotonicNow();
    const DemandAnswer answer = co_await QueryRegions(model, entry, kDemandWaitMs);
    entry->replicas = answer.replicas;
    entry->last_status = answer.status;
    ++entry->answers;
    entry->changed.NotifyAll();
    const bool at_once = MonotonicNow() - start < kRetryDelay;
    if (entry->replicas.empty() && at_once) co_await Sleep(kRetryDelay);
  }
  entry->fetching = false;
}

Task<Result<FoundReplicas, FindError>> ReplicaDirectory::Find(std::string model, Rank rank,
                                                              MonotonicTime deadline) {
  const std::shared_ptr<Entry> entry = FindOrCreateEntry(model);
  entry->last_used = MonotonicNow();
  FoundReplicas found;
  const MonotonicTime start = MonotonicNow();
  const std::uint64_t answers_before = entry->answers;
  while (entry->replicas.empty()) {
    if (MonotonicNow() >= deadline) co_return outcome::failure(FindError::kDeadline);
    if (environment_()->FindModel(model) == nullptr) {
      co_return outcome::failure(FindError::kUnknownModel);
    }
    const std::uint64_t answers = entry->answers;
    ++entry->waiting[Index(rank)];
    if (!entry->fetching) {
      entry->fetching = true;
      SpawnDetached(executor_, "replicas of a model", FetchReplicas(model, entry));
    }
    // An owner in this process may answer before the coroutine spawned above first suspends.
    if (entry->answers == answers) co_await entry->changed.WaitUntil(deadline);
    --entry->waiting[Index(rank)];
    if (!entry->replicas.empty() || entry->answers == answers_before) continue;
    if (entry->last_status == DemandStatus::kNoCapacity) {
      co_return outcome::failure(FindError::kNoCapacity);
    }
    const bool moving = entry->last_status == DemandStatus::kNotOwner;
    const bool waited = MonotonicNow() - start > kMaxOwnerChangeTime;
    if (entry->last_status == DemandStatus::kUnavailable || (moving && waited)) {
      co_return outcome::failure(FindError::kUnavailable);
    }
  }
  found.replicas = entry->replicas;
  found.cold = MonotonicNow() - start > kRetryDelay;
  co_return found;
}

void ReplicaDirectory::Remove(const std::string& model, const std::string& endpoint) {
  std::erase_if(FindOrCreateEntry(model)->replicas,
                [&](const ReplicaLocation& replica) { return replica.endpoint == endpoint; });
}

void ReplicaDirectory::RemoveEndpoint(const std::string& endpoint) {
  for (auto& [model, entry] : entries_) {
    std::erase_if(entry->replicas,
                  [&](const ReplicaLocation& replica) { return replica.endpoint == endpoint; });
  }
}

Task<void> ReplicaDirectory::Refresh() {
  for (;;) {
    co_await Sleep(kRefreshPeriod);
    std::vector<std::string> in_use;
    const MonotonicTime now = MonotonicNow();
    for (auto it = entries_.begin(); it != entries_.end();) {
      const auto age = now - it->second->last_used;
      if (age < kInUseTime) in_use.push_back(it->first);
      const bool kept = age < kEntryRetention || it->second->fetching;
      it = kept ? std::next(it) : entries_.erase(it);
    }
    for (const std::string& model : in_use) {
      const std::shared_ptr<Entry> entry = FindOrCreateEntry(model);
      if (entry->fetching || entry->replicas.empty()) continue;
      const DemandAnswer answer = co_await QueryRegions(model, entry, 0);
      // Keep the replicas if the owner is unreachable.
      const bool known =
          answer.status == DemandStatus::kReady || answer.status == DemandStatus::kLoading;
      if (known) entry->replicas = answer.replicas;
    }
  }
}

}  // namespace mimosabend
