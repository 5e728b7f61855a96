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
  // The request had to wait for a load.
  bool cold = false;
};

// What this daemon knows of ready replicas. Requests that find none join one demand to the owner
// of the model's group. Known replicas are used on while the owner can't be reached. Not
// thread-safe.
class ReplicaDirectory {
 public:
  // Sends a demand to the daemon that owns its group.
  using Ask = std::function<Task<DemandAnswer>(DemandRequest)>;

  // `region` is that of this daemon. Without `share_regions`, other regions are asked only when
  // this one has no capacity.
  ReplicaDirectory(boost::asio::any_io_executor executor, std::string region, bool share_regions,
                   std::function<std::shared_ptr<const Environment>()> environment, Ask ask);
  ~ReplicaDirectory();

  // Ready replicas of a model; waits for a load until the deadline.
  Task<Result<FoundReplicas, FindError>> Find(std::string model, Rank rank, MonotonicTime deadline);

  // Drops a replica that turned out not to serve the model.
  void Remove(const std::string& model, const std::string& endpoint);

  // Drops all replicas at an endpoint that does not answer, until an owner names it again.
  void RemoveEndpoint(const std::string& endpoint);

  // Refreshes models in use, which also tells the owners that they are.
  Task<void> Refresh();

 private:
  struct Entry;

  std::shared_ptr<Entry> EntryOf(const std::string& model);
  Task<void> Fetch(std::string model, std::shared_ptr<Entry> entry);
  Task<DemandAnswer> AskRegions(std::string model, std::shared_ptr<Entry> entry,
                                std::uint32_t wait_ms);
  std::vector<std::string> RegionsByPreference(const Environment& environment,
                                               const Model& model) const;
  Task<DemandAnswer> FindReadyElsewhere(std::shared_ptr<const Environment> environment,
                                        std::string model);

  boost::asio::any_io_executor executor_;
  std::string region_;
  bool share_regions_;
  std::function<std::shared_ptr<const Environment>()> environment_;
  Ask ask_;
  std::map<std::string, std::shared_ptr<Entry>> entries_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_REPLICA_DIRECTORY_H_
