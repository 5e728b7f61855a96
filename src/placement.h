#ifndef MIMOSABEND_PLACEMENT_H_
#define MIMOSABEND_PLACEMENT_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "codec.h"
#include "engine.h"
#include "environment.h"
#include "host_list.h"
#include "idle_policy.h"

namespace mimosabend {

// Both clocks, as an argument of functions that decide.
struct Now {
  MonotonicTime monotonic;
  WallTime wall;
};

// A placement group: a fixed share of the endpoints of a pool in a region.
struct GroupId {
  std::string pool;
  std::string region;
  std::uint32_t index = 0;

  auto operator<=>(const GroupId&) const = default;

  // "pool.region.index". Thread-safe.
  std::string ToString() const;
};

// The group that an endpoint of a pool belongs to; it depends on nothing but the arguments, so
// that hosts that come and go move no other endpoint. Thread-safe.
GroupId GroupOfEndpoint(const Pool& pool, const Host& host);

// The group of a region in which replicas of a model are decided; an adapter shares its model's.
// Thread-safe.
GroupId HomeGroup(const Environment& environment, const Model& model, const std::string& region);

// All groups of an environment. Thread-safe.
std::vector<GroupId> AllGroups(const Environment& environment);

// A replica that was decided. It stays charged until it is known to be gone.
struct PlacedReplica {
  std::string model;
  // The model of an adapter; empty for a model.
  std::string base;
  std::string version;
  std::string endpoint;
  ReplicaState state = ReplicaState::kLoading;
  std::int64_t memory_mib = 0;
  std::string order_id;
  std::int64_t decided_at_ms = 0;
  // Load orders of this replica carry lower fences; 0 while the replica is wanted.
  std::uint64_t unload_fence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, model);
    SerializeText(archive, base);
    SerializeText(archive, version);
    SerializeText(archive, endpoint);
    SerializeEnum(archive, state, 3);
    archive(memory_mib);
    SerializeText(archive, order_id);
    archive(decided_at_ms, unload_fence);
  }
};

// Memory and one replica of the bound held back, because a late order may still take them.
struct LateOrderReservation {
  std::string endpoint;
  std::string model;
  // The reservation counts only while the record has no replica of this order.
  std::string order_id;
  std::int64_t memory_mib = 0;
  std::int64_t until_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, endpoint);
    SerializeText(archive, model);
    SerializeText(archive, order_id);
    archive(memory_mib, until_ms);
  }
};

// All decisions for one group, as kept in the key-value service.
struct PlacementRecord {
  // Raised by each take-over and by each decision to unload.
  std::uint64_t fence = 0;
  std::string owner;
  std::uint64_t last_order = 0;
  std::vector<PlacedReplica> replicas;
  std::vector<LateOrderReservation> reservations;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fence);
    SerializeText(archive, owner);
    archive(last_order);
    SerializeList(archive, replicas);
    SerializeList(archive, reservations);
  }
};

// What the owner of a group knows of one endpoint.
struct EndpointView {
  Host host;
  // The endpoint answered the last time it was asked.
  bool reachable = false;
  // The engine refuses orders below the owner's fence, or its pool ignores fences.
  bool fence_raised = false;
  // The last host list names the host.
  bool listed = true;
  // The host list has not named the host for some time.
  bool missing = false;
  // The host is missing and has not answered for some time.
  bool gone = false;
  // The engine refuses orders with an old fence.
  bool honours_fence = false;
  // No load order was sent since the observation in `state` began.
  bool is_current = false;
  // Load orders of unknown outcome, by order id, and until when they may still arrive.
  std::map<std::string, WallTime> late_loads;
  EngineState state;

  bool may_take_loads() const {
    return reachable && fence_raised && listed && host.state == HostState::kLive;
  }
};

// Views by endpoint id.
using EndpointViews = std::map<std::string, EndpointView>;

using WaitingByRank = std::array<std::uint32_t, kRankCount>;

// Requests that wait for a model at one daemon. Void after `until`.
struct WaitingReport {
  WaitingByRank waiting{};
  MonotonicTime until;
};

// Demand for one model.
struct ModelDemand {
  std::map<std::string, WaitingReport> reports;
  MonotonicTime last_used;
  UseHistory history;

  // Notes that the model is in use.
  void NoteUse(MonotonicTime now);

  WaitingByRank waiting(MonotonicTime now) const;
};

using DemandTable = std::map<std::string, ModelDemand>;

// Memory of an endpoint that is in use or may still be taken. Thread-safe.
std::int64_t ChargedMemory(const PlacementRecord& record, const std::string& endpoint,
                           WallTime now);

// Replicas of a model in any state, and those that a late order may still load. Thread-safe.
std::uint32_t CountReplicas(const PlacementRecord& record, const std::string& model, WallTime now);

struct ObservationResult {
  bool changed = false;
  std::uint32_t undecided = 0;
};

// Brings the record in line with what the endpoints report. Replicas that nobody decided are
// charged and marked for unloading. A replica is dropped only when the engine does not hold it
// and refuses late load orders of it; where engines ignore fences, a reservation takes its place
// while a load order of unknown outcome may still arrive.
ObservationResult ApplyObservations(const EndpointViews& views, const Now& now,
                                    PlacementRecord* record);

// After a take-over: holds back what load orders of the former owner may still take within `hold`.
// A former owner sends no load order later than `load_timeout` after the decision. Needed where
// engines ignore fences.
void ReserveForLateOrders(WallTime now, milliseconds load_timeout, milliseconds hold,
                          PlacementRecord* record);

// Loads that the weight store serves to the whole fleet, as last read.
struct StoreLoad {
  // False lets loads start whatever the store does.
  bool limited = true;
  // False if the store did not answer lately.
  bool known = false;
  // Reads under way or queued.
  std::uint32_t model_loads = 0;
  std::uint32_t adapter_loads = 0;
};

struct PlanResult {
  bool changed = false;
  // Loads that were decided.
  std::uint32_t loads = 0;
  // Models that have waiting requests and could not be placed.
  std::vector<std::string> unplaced;
};

// Decides loads and unloads for a group and enters them in the record. Loads that the weight store
// could not serve at full speed are put off, the least urgent first. Asserts that no endpoint's
// memory is overcommitted and no model has more replicas than its bound.
PlanResult PlanGroup(const Environment& environment, const GroupId& group,
                     const EndpointViews& views, const DemandTable& demand, const Now& now,
                     PlacementRecord* record, const StoreLoad& store = {},
                     milliseconds min_residence = kMinResidence);

}  // namespace mimosabend

#endif  // MIMOSABEND_PLACEMENT_H_
