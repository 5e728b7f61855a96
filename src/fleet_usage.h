#ifndef MIMOSABEND_FLEET_USAGE_H_
#define MIMOSABEND_FLEET_USAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "codec.h"
#include "directory_feed.h"
#include "endpoint_stats.h"
#include "fleet_endpoint.h"
#include "peer_message.h"

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

// Work of one daemon, or of all others, at an endpoint. Endpoints have the numbers that the
// leader's directory gives them.
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

// Tells the placement leader what a daemon does. TCP.
struct UsageReport {
  static constexpr PeerMessageType kType = PeerMessageType::kUsageReport;
  // The leader's term, and the news and directory of it that the daemon knows.
  std::uint64_t fence = 0;
  std::uint64_t news_version = 0;
  std::uint64_t directory_version = 0;
  std::vector<ModelUsage> models;
  std::vector<EndpointLoad> loads;
  std::vector<EngineRuns> runs;
  // Numbers of endpoints that the daemon can't reach.
  std::vector<std::uint32_t> unreachable;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fence, news_version, directory_version);
    SerializeNumbers(archive, unreachable);
    SerializeList(archive, models);
    SerializeList(archive, loads);
    SerializeList(archive, runs);
  }
};

// A model that an engine holds.
struct ModelNews {
  std::string name;
  std::vector<std::string> adapters;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, name);
    SerializeNames(archive, adapters);
  }
};

// What an engine holds, as the leader knows it.
struct EndpointNews {
  std::uint32_t number = 0;
  std::vector<ModelNews> models;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number);
    SerializeList(archive, models);
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

struct UsageAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kUsageAnswer;
  // False if the answering daemon is not the leader; the rest is empty then.
  bool is_leader = false;
  std::uint64_t fence = 0;
  std::uint64_t news_version = 0;
  // Daemons that report to the leader.
  std::uint32_t daemons = 0;
  std::uint32_t next_report_ms = 0;
  // The leader has lately read the store, so that the version and the directory are what it holds.
  bool store_is_fresh = false;
  std::uint64_t config_version = 0;
  std::uint64_t directory_version = 0;
  // Changes after the version of the report, or the whole directory if the term is another one.
  std::vector<EndpointChange> directory;
  std::vector<EndpointNews> news;
  std::vector<EndpointLoad> others;
  std::vector<PendingLoad> loads;
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
    SerializeFlag(archive, is_leader);
    archive(fence, news_version, daemons, next_report_ms);
    SerializeFlag(archive, store_is_fresh);
    archive(config_version, directory_version);
    SerializeList(archive, directory);
    SerializeList(archive, news);
    SerializeList(archive, others);
    SerializeList(archive, loads);
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
