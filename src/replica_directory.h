#ifndef MIMOSABEND_REPLICA_DIRECTORY_H_
#define MIMOSABEND_REPLICA_DIRECTORY_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "environment.h"
#include "notifier.h"
#include "peer_message.h"
#include "placement.h"

namespace mimosabend {

// Why no replica was found.
enum class FindError : std::uint8_t { kNoCapacity, kUnavailable, kDeadline, kUnknownModel };
inline constexpr NameTable<FindError, 4> kFindErrorNames{
    {"no_capacity", "unavailable", "deadline", "unknown_model"}};

struct FoundReplicas {
  std::vector<ReplicaLocation> replicas;
  // The request had to wait, usually for a load.
  bool cold = false;
};

// Caches the ready replicas of each model. If a model has none, all requests for it share one
// demand to the owner of the model's group. Cached replicas remain in use while the owner is
// unreachable. Not thread-safe.
class ReplicaDirectory {
 public:
  // Sends a demand to the daemon that owns the demand's group.
  using SendDemand = std::function<Task<DemandAnswer>(DemandRequest)>;

  // `region` is the region of this daemon. Without `share_regions`, other regions are queried only
  // if this one has no capacity.
  ReplicaDirectory(boost::asio::any_io_executor executor, std::string region, bool share_regions,
                   std::function<std::shared_ptr<const Environment>()> environment,
                   SendDemand send_demand);
  ~ReplicaDirectory();

  // Returns the ready replicas of a model; waits for a load until the deadline if there are none.
  Task<Result<FoundReplicas, FindError>> Find(std::string model, Rank rank, MonotonicTime deadline);

  // Removes a replica that turned out not to serve the model.
  void Remove(const std::string& model, const std::string& endpoint);

  // Removes all replicas on an endpoint that does not respond, until an owner reports them again.
  void RemoveEndpoint(const std::string& endpoint);

  // Periodically refreshes the models in use, which also reports their use to the owners. Never
  // returns.
  Task<void> Refresh();

 private:
  struct Entry;

  std::shared_ptr<Entry> FindOrCreateEntry(const std::string& model);
  Task<void> FetchReplicas(std::string model, std::shared_ptr<Entry> entry);
  Task<DemandAnswer> QueryRegions(std::string model, std::shared_ptr<Entry> entry,
                                  std::uint32_t wait_ms);
  std::vector<std::string> RegionsByPreference(const Environment& environment,
                                               const Model& model) const;
  Task<DemandAnswer> FindReadyInOtherRegions(std::shared_ptr<const Environment> environment,
                                             std::string model);

  boost::asio::any_io_executor executor_;
  std::string region_;
  bool share_regions_;
  std::function<std::shared_ptr<const Environment>()> environment_;
  SendDemand send_demand_;
  std::map<std::string, std::shared_ptr<Entry>> entries_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_REPLICA_DIRECTORY_H_
