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

// One reading of both clocks, passed to the placement functions so that they read no clock.
struct Now {
  MonotonicTime monotonic;
  WallTime wall;
};

// A placement group: a fixed subset of a pool's endpoints in one region. Each group has one owner
// at a time, which decides its loads and unloads.
struct GroupId {
  std::string pool;
  std::string region;
  std::uint32_t index = 0;

  auto operator<=>(const GroupId&) const = default;

  // "pool.region.index". Thread-safe.
  std::string ToString() const;
};

// The group of an endpoint of a pool. A function of the arguments only, so that adding or removing
// a host does not move any other endpoint to another group. Thread-safe.
GroupId GroupOfEndpoint(const Pool& pool, const Host& host);

// The group of a region that places the replicas of a model. An adapter belongs to the group of its
// base model. Thread-safe. Precondition: the environment has the model's pool.
GroupId HomeGroup(const Environment& environment, const Model& model, const std::string& region);

// All groups of an environment. Thread-safe.
std::vector<GroupId> AllGroups(const Environment& environment);

// A replica that the owner has decided to load. Its memory stays charged until the replica is known
// to be gone.
struct PlacedReplica {
  std::string model;
  // The base model of an adapter; empty for a model.
  std::string base;
  std::string version;
  std::string endpoint;
  ReplicaState state = ReplicaState::kLoading;
  std::int64_t memory_mib = 0;
  std::string order_id;
  std::int64_t decided_at_ms = 0;
  // All load orders for this replica carry lower fencing tokens than this; 0 until it is unloaded.
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

// Memory and one replica of the model's bound that are kept free, because a delayed load order may
// still arrive and use them.
struct LateOrderReservation {
  std::string endpoint;
  std::string model;
  // The reservation has no effect while the record has a replica with this order id.
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

// All placement decisions for one group, as stored in the key-value service.
struct PlacementRecord {
  // Fencing token; incremented by each takeover and by each decision to unload.
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

// What the owner of a group knows about one endpoint.
struct EndpointView {
  Host host;
  // The endpoint answered the last state query.
  bool reachable = false;
  // The engine rejects orders with a fencing token below the owner's, or its pool ignores fencing.
  bool fence_raised = false;
  // The last host list contains the host.
  bool listed = true;
  // The host has been absent from the host list for `PlacementTimings::vanish_grace`.
  bool missing = false;
  // The host is missing and has not answered for `PlacementTimings::vanish_grace`.
  bool gone = false;
  // The engine rejects orders with a stale fencing token.
  bool honours_fence = false;
  // No load order has been sent since the query that returned `state` was started.
  bool is_current = false;
  // Load orders of unknown outcome: order id -> time until which the order may still arrive.
  std::map<std::string, WallTime> late_loads;
  EngineState state;

  bool can_accept_loads() const {
    return reachable && fence_raised && listed && host.state == HostState::kLive;
  }
};

// Indexed by endpoint id.
using EndpointViews = std::map<std::string, EndpointView>;

using WaitingByRank = std::array<std::uint32_t, kRankCount>;

// Number of requests that wait for a model at one daemon. Ignored from `until` on.
struct WaitingReport {
  WaitingByRank waiting{};
  MonotonicTime until;
};

// Demand for one model: requests waiting at each daemon, and past use.
struct ModelDemand {
  std::map<std::string, WaitingReport> reports;
  MonotonicTime last_used;
  UseHistory history;

  // Records that the model is in use.
  void RecordUse(MonotonicTime now);

  // Requests waiting at all daemons whose reports have not expired.
  WaitingByRank waiting(MonotonicTime now) const;
};

using DemandTable = std::map<std::string, ModelDemand>;

// Memory in MiB of an endpoint that is charged to replicas in any state or reserved for late load
// orders. Thread-safe.
std::int64_t ChargedMemory(const PlacementRecord& record, const std::string& endpoint,
                           WallTime now);

// Number of replicas of a model in any state, including those that a late order may still load.
// Thread-safe.
std::uint32_t CountReplicas(const PlacementRecord& record, const std::string& model, WallTime now);

struct ObservationResult {
  bool changed = false;
  // Replicas that the engines report but the record did not have.
  std::uint32_t undecided = 0;
};

// Updates the record from the state that the endpoints report. Replicas that are not in the record
// are added to it, charged and marked for unloading. A replica is removed only when the engine does
// not hold it and rejects late load orders for it. Where engines ignore fencing, a reservation
// replaces the replica while a load order of unknown outcome may still arrive.
ObservationResult ApplyObservations(const EndpointViews& views, const Now& now,
                                    PlacementRecord* record);

// After a takeover, reserves the memory and replica counts that delayed load orders of the former
// owner may still use. An order may arrive up to `hold` after it was sent; the former owner sends
// no load order later than `load_timeout` after its decision. Needed where engines ignore fencing.
void ReserveForLateOrders(WallTime now, milliseconds load_timeout, milliseconds hold,
                          PlacementRecord* record);

// Loads that the weight store is serving to the whole fleet, as last read.
struct StoreLoad {
  // If false, loads start regardless of the load of the store.
  bool limited = true;
  // False if the store has not answered recently.
  bool known = false;
  // Reads in progress or queued.
  std::uint32_t model_loads = 0;
  std::uint32_t adapter_loads = 0;
};

struct PlanResult {
  bool changed = false;
  // Number of loads decided.
  std::uint32_t loads = 0;
  // Models that need a replica but could not be placed.
  std::vector<std::string> unplaced;
};

// Decides the loads and unloads of a group and adds them to the record. Loads that the weight store
// cannot serve at full speed are deferred, the least urgent first. Asserts that no endpoint's
// memory is overcommitted and that no model has more replicas than its bound. Precondition: the
// environment has the group's pool.
PlanResult PlanGroup(const Environment& environment, const GroupId& group,
                     const EndpointViews& views, const DemandTable& demand, const Now& now,
                     PlacementRecord* record, const StoreLoad& store = {},
                     milliseconds min_residence = kMinResidence);

}  // namespace mimosabend

#endif  // MIMOSABEND_PLACEMENT_H_
