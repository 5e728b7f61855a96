#ifndef MIMOSABEND_FLEET_USAGE_H_
#define MIMOSABEND_FLEET_USAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "codec.h"
#include "directory_log.h"
#include "endpoint_stats.h"
#include "evidence_exchange.h"
#include "fleet_endpoint.h"
#include "holdings_log.h"
#include "peer_message.h"
#include "quota_usage.h"
#include "relay_plan.h"

namespace mimosabend {

// Requests for an adapter of a model.
struct AdapterRequests {
  std::string adapter;
  std::uint32_t requests = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, adapter);
    archive(requests);
  }
};

// How a daemon used a model since its last report.
struct ModelUsage {
  std::string service;
  std::string model;
  std::uint32_t requests = 0;
  // Milliseconds of engine time that reading their prompts took or will take.
  std::uint32_t reading_ms = 0;
  // Requests that now wait because no engine holds the model.
  std::uint32_t waiting = 0;
  // The most urgent route priority among the waiting requests.
  std::uint32_t waiting_priority = 0;
  // The tightest latency target of the requests.
  std::uint32_t target_ms = UINT32_MAX;
  // The part of the requests that use an adapter.
  std::vector<AdapterRequests> adapters;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, service);
    SerializeName(archive, model);
    archive(requests, reading_ms, waiting, waiting_priority, target_ms);
    SerializeList(archive, adapters);
  }
};

// Counts requests for an adapter. Thread-safe.
void AddAdapterRequests(ModelUsage* usage, const AdapterRequests& more);

// Work of one daemon, or of all others, at an endpoint; see EndpointNumber.
struct EndpointLoad {
  // Tokens in one unit of the figures below.
  static constexpr std::uint64_t kUnreadUnit = 64;
  static constexpr std::uint64_t kMemoryUnit = 256;

  std::uint32_t number = 0;
  std::uint16_t requests = 0;
  std::uint16_t unread_units = 0;
  std::uint16_t memory_units = 0;

  EndpointLoad() = default;
  EndpointLoad(std::uint32_t endpoint, const EndpointWork& work);
  EndpointWork Work() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, requests, unread_units, memory_units);
  }
};

// Requests of a daemon that run with a model at an engine, and the adapters that they use.
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

// What runs at one engine.
struct EngineRuns {
  std::uint32_t number = 0;
  std::vector<ModelRuns> models;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number);
    SerializeList(archive, models);
  }
};

// What a daemon knows of the fleet, so that it is told only what is new.
struct KnownState {
  std::uint64_t config_version = 0;
  std::uint64_t directory_revision = 0;
  std::uint64_t news_version = 0;
  std::uint64_t plan_version = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(config_version, directory_revision, news_version, plan_version);
  }
};

// What a daemon knows of the store's contents.
struct StoreView {
  // The contents were read from the store this long ago.
  std::uint32_t age_ms = 0;
  std::uint64_t config_version = 0;
  DirectoryChanges directory;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(age_ms, config_version);
    directory.serialize(archive);
  }
};

// Tells the placement leader, or a relay on the way to it, what a daemon and those that report to
// it do. TCP.
struct UsageReport {
  static constexpr PeerMessageType kType = PeerMessageType::kUsageReport;
  DaemonInfo sender;
  // Daemons whose reports are part of this one.
  std::vector<DaemonInfo> relayed;
  KnownState known;
  std::vector<ModelUsage> models;
  std::vector<EndpointLoad> loads;
  std::vector<EngineRuns> runs;
  // Numbers of endpoints that a daemon can't reach, and of those that have said that they leave.
  std::vector<std::uint32_t> unreachable;
  std::vector<std::uint32_t> leaving;
  EvidenceMessage evidence;
  std::vector<QuotaUse> quota;
  // The quota use should reach the leader at once.
  bool urgent = false;

  template <class Archive>
  void serialize(Archive& archive) {
    sender.serialize(archive);
    SerializeList(archive, relayed);
    known.serialize(archive);
    SerializeNumbers(archive, unreachable);
    SerializeNumbers(archive, leaving);
    SerializeList(archive, models);
    SerializeList(archive, loads);
    SerializeList(archive, runs);
    evidence.serialize(archive);
    SerializeList(archive, quota);
    SerializeFlag(archive, urgent);
  }
};

// A load that the leader has ordered.
struct PendingLoad {
  std::string model;
  std::uint32_t ready_in_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, model);
    archive(ready_in_ms);
  }
};

// An engine to which the leader has sent an order lately.
struct RecentOrder {
  std::uint32_t number = 0;
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, age_ms);
  }
};

// Who leads placement, as far as the answering daemon knows.
struct LeaderNotice {
  // Fencing token of its term; 0 if no leader is known.
  std::uint64_t fence = 0;
  Address address;
  // It was last heard of this long ago.
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, address.ip);
    archive(fence, address.port, age_ms);
  }
};

struct UsageAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kUsageAnswer;
  // False if the answering daemon neither leads nor is a relay; the rest, but for the leaving
  // endpoints and the evidence, is empty then.
  bool accepted = false;
  LeaderNotice leader;
  // Daemons that report to the leader.
  std::uint32_t daemons = 0;
  std::uint32_t next_report_ms = 0;
  StoreView view;
  std::uint64_t news_version = 0;
  std::vector<EndpointNews> news;
  std::vector<EndpointLoad> others;
  std::vector<PendingLoad> loads;
  // Numbers of endpoints that have said that they leave.
  std::vector<std::uint32_t> leaving;
  EvidenceMessage evidence;
  std::vector<QuotaShare> quota;
  // False if the answering daemon does not know yet what the customers ask for.
  bool quota_known = false;
  // Without domains if the reporting daemon knows the plan.
  RelayPlan plan;
  // The leader is about to give the lead up and sends no more orders. The next two members are set
  // only then, so that its successor need not wait for engines that had no order lately.
  bool resigning = false;
  std::string holder;
  std::vector<RecentOrder> recent_orders;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, resigning);
    SerializeName(archive, holder);
    SerializeList(archive, recent_orders);
    SerializeFlag(archive, accepted);
    leader.serialize(archive);
    archive(daemons, next_report_ms, news_version);
    view.serialize(archive);
    SerializeList(archive, news);
    SerializeList(archive, others);
    SerializeList(archive, loads);
    SerializeNumbers(archive, leaving);
    evidence.serialize(archive);
    SerializeList(archive, quota);
    SerializeFlag(archive, quota_known);
    plan.serialize(archive);
  }
};

// Tells a former leader that another daemon leads with a higher fence. It sends no more orders once
// it has answered. TCP.
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
  // Identifies the host that answers, as the holder of its orders.
  std::string holder;
  // All engines that have had an order of it within the time between two holders.
  std::vector<RecentOrder> recent_orders;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, holder);
    SerializeList(archive, recent_orders);
  }
};

// Asks any daemon for what it knows of the store's contents. TCP.
struct ViewRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kViewRequest;
  std::uint64_t directory_revision = 0;
  EvidenceMessage evidence;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(directory_revision);
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

// Asks the leader to place an adapter at an engine that holds its model. TCP.
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
  // The engine holds the adapter or is fetching it.
  bool placed = false;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, placed);
  }
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_USAGE_H_
