#ifndef MIMOSABEND_GATEWAY_METRICS_H_
#define MIMOSABEND_GATEWAY_METRICS_H_

#include <prometheus/counter.h>

#include <cstddef>
#include <cstdint>

#include "brittle_endpoints.h"
#include "caller_limits.h"
#include "crash_evidence.h"
#include "endpoint_limits.h"
#include "fleet_directory.h"
#include "http_client.h"
#include "http_server.h"
#include "memory_budget.h"
#include "part_evidence.h"
#include "platform/platform_store.h"
#include "prefix_index.h"
#include "reach_monitor.h"
#include "relay_handler.h"
#include "relay_metrics.h"
#include "stream_versions.h"

namespace mimosabend {

// Adds the growth of a total that is counted elsewhere to a metric. Not thread-safe.
class CounterGrowth {
 public:
  // Precondition: `counter` outlives this object.
  explicit CounterGrowth(prometheus::Counter* counter) : counter_(counter) {}

  // Precondition: the total is at least that of the last call.
  void Update(std::uint64_t total) {
    counter_->Increment(static_cast<double>(total - total_));
    total_ = total;
  }

 private:
  prometheus::Counter* counter_;
  // What has been added to the metric.
  std::uint64_t total_ = 0;
};

// Updates the metrics of a gateway that are read from its components at intervals; the others are
// counted where they arise. Not thread-safe.
class GatewayMetrics {
 public:
  // Precondition: all pointers outlive the metrics.
  struct Parts {
    const platform::PlatformStore* store;
    const HttpClient* endpoint_client;
    const HttpServer* caller_server;
    const MemoryBudget* memory;
    const PrefixIndex* prefixes;
    const CrashEvidence* evidence;
    const PartEvidence* part_evidence;
    const ReachMonitor* reach;
    const EndpointLimits* limits;
    const StreamVersions* streams;
    const BrittleEndpoints* brittle;
    const FleetDirectory* directory;
    const RelayHandler* relay;
  };

  // Precondition: `metrics` outlives this object.
  GatewayMetrics(RelayMetrics* metrics, Parts parts);

  // `invalid_entries`: entries in the store that describe no endpoint.
  void Update(std::size_t invalid_entries, bool leads_placement);

 private:
  void UpdateCounters();

  RelayMetrics* metrics_;
  Parts parts_;
  CallerMetrics caller_metrics_;
  CounterGrowth store_calls_;
  CounterGrowth store_errors_;
  CounterGrowth listing_pages_;
  CounterGrowth restores_;
  CounterGrowth dropped_responses_;
  CounterGrowth invalid_eras_;
  CounterGrowth connections_;
  CounterGrowth dropped_lines_;
  CounterGrowth rejected_;
  CounterGrowth failed_assertions_;
  CounterGrowth exceptions_;
  CounterGrowth prefix_evictions_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_GATEWAY_METRICS_H_
