#ifndef MIMOSABEND_FLEET_USAGE_H_
#define MIMOSABEND_FLEET_USAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "codec.h"
#include "directory_log.h"
#include "endpoint_limits.h"
#include "endpoint_stats.h"
#include "evidence_exchange.h"
#include "fleet_endpoint.h"
#include "holdings_log.h"
#include "peer_message.h"
#include "quota_usage.h"
#include "relay_plan.h"
#include "slot_share_allocator.h"
#include "store_era.h"
#include "stream_versions.h"

namespace mimosabend {

// Number of requests for an adapter of a model.
struct AdapterRequests {
  std::string adapter;
  std::uint32_t requests = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, adapter);
    archive(requests);
  }
};

// Serializes up to 255 addresses. Throws cereal::Exception.
template <class Archive>
void SerializeAddresses(Archive& archive, std::vector<Address>& addresses) {
  auto count = static_cast<std::uint8_t>(addresses.size());
  archive(count);
  if constexpr (Archive::is_loading::value) addresses.resize(count);
  for (Address& address : addresses) {
    SerializeName(archive, address.ip);
    archive(address.port);
  }
}

// A daemon's use of a model since its last report.
struct ModelUsage {
  std::string service;
  std::string model;
  std::uint32_t requests = 0;
  // Engine time for the prefill of their prompts.
  std::uint32_t prefill_ms = 0;
  // Requests that wait at present because no engine holds the model.
  std::uint32_t waiting = 0;
  // The most urgent route priority among the waiting requests.
  std::uint32_t waiting_priority = 0;
  // The tightest latency target of the requests.
  std::uint32_t target_ms = UINT32_MAX;
  // The requests that use an adapter, by adapter.
  std::vector<AdapterRequests> adapters;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, service);
    SerializeName(archive, model);
    archive(requests, prefill_ms, waiting, waiting_priority, target_ms);
    SerializeList(archive, adapters);
  }
};

// Adds requests for an adapter to `usage`. Thread-safe.
void AddAdapterRequests(ModelUsage* usage, const AdapterRequests& added);

// Work in flight at an endpoint from one daemon or from a set of daemons, in coarse units.
struct EndpointLoad {
  // Tokens per unit.
  static constexpr std::uint64_t kPrefillUnit = 64;
  static constexpr std::uint64_t kMemoryUnit = 256;

  // See EndpointNumber.
  std::uint32_t number = 0;
  std::uint16_t requests = 0;
  // Prefill tokens left to process, in units of kPrefillUnit.
  std::uint16_t prefill_units = 0;
  // Tokens that take up engine memory, in units of kMemoryUnit.
  std::uint16_t memory_units = 0;

  EndpointLoad() = default;
  EndpointLoad(std::uint32_t endpoint, const EndpointWork& work);
  EndpointWork Work() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, requests, prefill_units, memory_units);
  }
};

// Requests in flight for a model at an engine, and the adapters that they use.
struct ModelRuns {
  std::string model;
  std::uint16_t requests = 0;
  std::vector<std::string> adapters;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, model);
    archive(requests);
    SerializeNames(archive, adapters);
  }
};

// Requests in flight at one engine.
struct EngineRuns {
  std::uint32_t number = 0;
  std::vector<ModelRuns> models;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number);
    SerializeList(archive, models);
  }
};

// Versions of the fleet state that a daemon has, so that answers carry only deltas.
struct KnownVersions {
  std::uint64_t config_version = 0;
  StoreRevision directory_revision;
  std::uint64_t holdings_version = 0;
  std::uint64_t plan_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    directory_revision.serialize(archive);
    archive(config_version, holdings_version, plan_version);
  }
};

// A daemon's view of the store's contents.
struct StoreView {
  // Time since the contents were read from the store.
  std::uint32_t age_ms = 0;
  std::uint64_t config_version = 0;
  DirectoryChanges directory;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(age_ms, config_version);
    directory.serialize(archive);
  }
};

// Sent to the placement leader, directly or through a relay: the usage of a daemon and of those
// that report through it. TCP.
struct UsageReport {
  static constexpr PeerMessageType kType = PeerMessageType::kUsageReport;
  DaemonInfo sender;
  // Daemons whose reports are merged into this one.
  std::vector<DaemonInfo> relayed;
  KnownVersions known;
  std::vector<ModelUsage> models;
  std::vector<EndpointLoad> loads;
  std::vector<EngineRuns> runs;
  // Numbers of endpoints that a daemon can't reach, and of those that announced a shutdown.
  std::vector<std::uint32_t> unreachable;
  std::vector<std::uint32_t> leaving;
  // See DirectoryLog::Left.
  std::vector<std::uint32_t> left;
  // The rate limits of endpoints that the daemon knows, and the limits on rejections of brittle
  // ones.
  std::vector<LimitNotice> limits;
  std::vector<LimitNotice> brittle;
  EvidenceMessage evidence;
  std::vector<QuotaUsage> quota;
  // Streams that have begun at the daemon, as far as the leader may need their versions.
  std::vector<StreamOrigins> streams;
  // Relays should forward the quota use to the leader without delay.
  bool urgent = false;

  template <class Archive>
  void serialize(Archive& archive) {
    sender.serialize(archive);
    SerializeList(archive, relayed);
    known.serialize(archive);
    SerializeNumbers(archive, unreachable);
    SerializeNumbers(archive, leaving);
    SerializeNumbers(archive, left);
    SerializeList(archive, limits);
    SerializeList(archive, brittle);
    SerializeList(archive, models);
    SerializeList(archive, loads);
    SerializeList(archive, runs);
    evidence.serialize(archive);
    SerializeList(archive, quota);
    SerializeList(archive, streams);
    SerializeFlag(archive, urgent);
  }
};

// A load that the leader has planned, and the time until it is expected to end.
struct PendingLoad {
  std::string model;
  std::uint32_t ready_in_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, model);
    archive(ready_in_ms);
  }
};

// Models of a service that wait for a load from the weight store which the leader has not ordered
// yet.
struct LoadBacklog {
  std::string service;
  // Their number by priority, 0 first; the last entry includes all less urgent ones.
  std::vector<std::uint32_t> queued;
  // How long one load takes, and the expected time between the starts of two.
  std::uint32_t load_ms = 0;
  std::uint32_t interval_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, service);
    SerializeNumbers(archive, queued);
    archive(load_ms, interval_ms);
  }
};

// An engine to which the leader recently sent an order.
struct RecentOrder {
  std::uint32_t number = 0;
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, age_ms);
  }
};

// The placement leader, as known to the answering daemon.
struct LeaderNotice {
  // Fencing token of its term; 0 if no leader is known.
  std::uint64_t fence = 0;
  Address address;
  // Time since the leader was last heard of.
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, address.ip);
    archive(fence, address.port, age_ms);
  }
};

// Answers a UsageReport with the state that the sender lacks.
struct UsageAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kUsageAnswer;
  // False if the answering daemon is neither the leader nor a relay. All other members except
  // `leaving`, `limits`, `brittle` and `evidence` are empty then.
  bool accepted = false;
  LeaderNotice leader;
  // Number of daemons that report to the leader.
  std::uint32_t daemons = 0;
  std::uint32_t next_report_ms = 0;
  StoreView view;
  std::uint64_t holdings_version = 0;
  std::vector<HoldingsUpdate> holdings;
  // Loads of all daemons except the sender. Loads too small to affect routing are left out.
  std::vector<EndpointLoad> others;
  std::vector<PendingLoad> loads;
  // Numbers of endpoints that announced a shutdown.
  std::vector<std::uint32_t> leaving;
  // The rate limits of endpoints that the answering daemon knows, and the limits on rejections of
  // brittle ones.
  std::vector<LimitNotice> limits;
  std::vector<LimitNotice> brittle;
  EvidenceMessage evidence;
  std::vector<QuotaShare> quota;
  // False if the answering daemon does not know the customers' demand yet.
  bool quota_known = false;
  // Has no domains if the sender has the current plan.
  RelayPlan plan;
  // The leader is resigning and sends no more orders. Only then are the next two members set; they
  // spare its successor the wait at engines that had no recent order.
  bool resigning = false;
  std::string holder;
  std::vector<RecentOrder> recent_orders;
  // Has no entry for a service without queued loads.
  std::vector<LoadBacklog> backlogs;
  // Daemons to which the sender, or those that report through it, may pass requests on. Empty
  // unless one of them is cut off from endpoints.
  std::vector<Address> helpers;
  // Whether all daemons were considered.
  bool helpers_complete = false;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, resigning);
    SerializeName(archive, holder);
    SerializeList(archive, recent_orders);
    SerializeFlag(archive, accepted);
    leader.serialize(archive);
    archive(daemons, next_report_ms, holdings_version);
    view.serialize(archive);
    SerializeList(archive, holdings);
    SerializeList(archive, others);
    SerializeList(archive, loads);
    SerializeNumbers(archive, leaving);
    SerializeList(archive, limits);
    SerializeList(archive, brittle);
    evidence.serialize(archive);
    SerializeList(archive, quota);
    SerializeFlag(archive, quota_known);
    plan.serialize(archive);
    SerializeList(archive, backlogs);
    SerializeAddresses(archive, helpers);
    SerializeFlag(archive, helpers_complete);
  }
};

// Informs a former leader that another daemon leads with a higher fencing token. The recipient
// sends no more orders once it has answered. TCP.
struct StandDownRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kStandDownRequest;
  std::uint64_t fence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fence);
  }
};

struct StandDownAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kStandDownAnswer;
  // The answering host, as named in the `holder` of its orders.
  std::string holder;
  // All engines to which it sent an order within the holder gap.
  std::vector<RecentOrder> recent_orders;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, holder);
    SerializeList(archive, recent_orders);
  }
};

// Asks any daemon for its view of the store's contents. TCP.
struct ViewRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kViewRequest;
  StoreRevision directory_revision;
  EvidenceMessage evidence;

  template <class Archive>
  void serialize(Archive& archive) {
    directory_revision.serialize(archive);
    evidence.serialize(archive);
  }
};

struct ViewAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kViewAnswer;
  StoreView view;
  LeaderNotice leader;
  EvidenceMessage evidence;

  template <class Archive>
  void serialize(Archive& archive) {
    view.serialize(archive);
    leader.serialize(archive);
    evidence.serialize(archive);
  }
};

// Asks the leader to load an adapter on an engine that holds its model. TCP.
struct AdapterRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kAdapterRequest;
  std::string endpoint;
  std::string model;
  std::string adapter;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, endpoint);
    SerializeText(archive, model);
    SerializeText(archive, adapter);
  }
};

struct AdapterAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kAdapterAnswer;
  // The engine holds the adapter or is loading it.
  bool placed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, placed);
  }
};

// Asks the leader for a permit to send one request to an endpoint with a rate limit. TCP.
struct PermitRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kPermitRequest;
  LimitNotice limit;
  // Priority of the request; 0 is the most urgent.
  std::uint32_t priority = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    limit.serialize(archive);
    archive(priority);
  }
};

// A granted permit is valid for kPermitLifetime from the time at which it was requested.
struct PermitAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kPermitAnswer;
  bool granted = false;
  // If not granted: when to ask again.
  std::uint32_t retry_after_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, granted);
    archive(retry_after_ms);
  }
};

// Asks the leader which software version began a stream. TCP.
struct StreamOriginRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kStreamOriginRequest;
  std::string service;
  // See StreamKey.
  std::uint64_t key = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, service);
    archive(key);
  }
};

struct StreamOriginAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kStreamOriginAnswer;
  StreamOrigin origin;

  template <class Archive>
  void serialize(Archive& archive) {
    origin.serialize(archive);
  }
};

// Asks the leader for shares of brittle endpoints (see SlotShareAllocator). TCP.
struct SlotShareRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kSlotShareRequest;
  // Random number of the process: endpoints may still run requests of a former one.
  std::uint64_t process = 0;
  std::vector<SlotShareDemand> demands;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(process);
    SerializeList(archive, demands);
  }
};

// The shares, in the order of the demands. Valid from the time of the request for
// SlotShareAllocator::kShareLifetime.
struct SlotShareAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kSlotShareAnswer;
  // False if the answering daemon does not lead; there are no shares then.
  bool accepted = false;
  std::vector<std::uint32_t> shares;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, accepted);
    SerializeNumbers(archive, shares);
  }
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_USAGE_H_
