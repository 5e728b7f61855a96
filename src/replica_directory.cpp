#include "replica_directory.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "supervisor.h"

namespace mimosabend {

namespace asio = boost::asio;

namespace {

constexpr seconds kRefreshPeriod{2};
// A model that was not used for this long is no longer refreshed. Its replicas stay known for
// when the owner can't be reached; an engine that no longer holds the model says so.
constexpr seconds kInUse{6};
constexpr seconds kEntryRetention{600};
// Longest time that one demand is held open at the owner.
constexpr std::uint32_t kDemandWaitMs = 1000;
// Pause after an answer that came at once and does not help.
constexpr milliseconds kRetryDelay{100};
// The owner of a group may be moving; that takes no longer than a lease and a take-over.
constexpr seconds kOwnerMoveTime{9};

}  // namespace

struct ReplicaDirectory::Entry {
  explicit Entry(const asio::any_io_executor& executor) : changed(executor) {}

  std::vector<ReplicaLocation> replicas;
  MonotonicTime last_used;
  WaitingByRank waiting{};
  DemandStatus last_status = DemandStatus::kLoading;
  // Grows with each answer of an owner.
  std::uint64_t answers = 0;
  bool fetching = false;
  Notifier changed;
};

ReplicaDirectory::ReplicaDirectory(asio::any_io_executor executor, std::string region,
                                   std::function<std::shared_ptr<const Environment>()> environment,
                                   Ask ask)
    : executor_(std::move(executor)),
      region_(std::move(region)),
      environment_(std::move(environment)),
      ask_(std::move(ask)) {}

ReplicaDirectory::~ReplicaDirectory() = default;

std::shared_ptr<ReplicaDirectory::Entry> ReplicaDirectory::EntryOf(const std::string& model) {
  std::shared_ptr<Entry>& entry = entries_[model];
  if (entry == nullptr) entry = std::make_shared<Entry>(executor_);
  return entry;
}

std::vector<std::string> ReplicaDirectory::RegionsByPreference(
    const Environment& environment) const {
  std::vector<std::string> regions = environment.regions;
  std::stable_partition(regions.begin(), regions.end(),
                        [&](const std::string& region) { return region == region_; });
  return regions;
}

// Asks the owners of the model's groups, this region's first, until one has or loads a replica.
Task<DemandAnswer> ReplicaDirectory::AskRegions(std::string model, std::shared_ptr<Entry> entry,
                                                std::uint32_t wait_ms) {
  const std::shared_ptr<const Environment> environment = environment_();
  const Model* found = environment->FindModel(model);
  DemandAnswer answer;
  if (found == nullptr) co_return answer;
  for (const std::string& region : RegionsByPreference(*environment)) {
    DemandRequest request;
    request.group = HomeGroup(*environment, *found, region).ToString();
    request.model = model;
    request.waiting = entry->waiting;
    request.wait_ms = wait_ms;
    answer = co_await ask_(std::move(request));
    if (answer.status != DemandStatus::kNoCapacity) co_return answer;
  }
  co_return answer;
}

// Asks on behalf of all requests that wait for a model, until none waits any more.
Task<void> ReplicaDirectory::Fetch(std::string model, std::shared_ptr<Entry> entry) {
  while (entry->waiting != WaitingByRank{} && entry->replicas.empty()) {
    const MonotonicTime start = MonotonicNow();
    const DemandAnswer answer = co_await AskRegions(model, entry, kDemandWaitMs);
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
  const std::shared_ptr<Entry> entry = EntryOf(model);
  entry->last_used = MonotonicNow();
  FoundReplicas found;
  const MonotonicTime start = MonotonicNow();
  const std::uint64_t answers_before = entry->answers;
  while (entry->replicas.empty()) {
    if (MonotonicNow() >= deadline) co_return outcome::failure(FindError::kDeadline);
    if (environment_()->FindModel(model) == nullptr) {
      co_return outcome::failure(FindError::kUnknownModel);
    }
    ++entry->waiting[Index(rank)];
    const std::uint64_t answers_seen = entry->answers;
    if (!entry->fetching) {
      entry->fetching = true;
      asio::co_spawn(executor_, Fetch(model, entry), asio::detached);
    }
    // An owner in this daemon may answer before co_spawn returns, and its notification is lost.
    if (entry->answers == answers_seen) co_await entry->changed.WaitUntil(deadline);
    --entry->waiting[Index(rank)];
    if (!entry->replicas.empty() || entry->answers == answers_before) continue;
    if (entry->last_status == DemandStatus::kNoCapacity) {
      co_return outcome::failure(FindError::kNoCapacity);
    }
    const bool moving = entry->last_status == DemandStatus::kNotOwner;
    const bool waited = MonotonicNow() - start > kOwnerMoveTime;
    if (entry->last_status == DemandStatus::kUnavailable || (moving && waited)) {
      co_return outcome::failure(FindError::kUnavailable);
    }
  }
  found.replicas = entry->replicas;
  found.cold = MonotonicNow() - start > kRetryDelay;
  co_return found;
}

void ReplicaDirectory::Remove(const std::string& model, const std::string& endpoint) {
  std::erase_if(EntryOf(model)->replicas,
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
      if (age < kInUse) in_use.push_back(it->first);
      const bool kept = age < kEntryRetention || it->second->fetching;
      it = kept ? std::next(it) : entries_.erase(it);
    }
    for (const std::string& model : in_use) {
      const std::shared_ptr<Entry> entry = EntryOf(model);
      if (entry->fetching || entry->replicas.empty()) continue;
      const DemandAnswer answer = co_await AskRegions(model, entry, 0);
      // An owner that can't be reached says nothing about the replicas.
      const bool known =
          answer.status == DemandStatus::kReady || answer.status == DemandStatus::kLoading;
      if (known) entry->replicas = answer.replicas;
    }
  }
}

}  // namespace mimosabend
