#ifndef MIMOSABEND_CALLER_LIMITS_H_
#define MIMOSABEND_CALLER_LIMITS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <array>
#include <cstdint>

#include "connection_table.h"
#include "host_resources.h"
#include "http_server.h"
#include "memory_budget.h"
#include "metrics_registry.h"
#include "peer_transport.h"
#include "settings.h"

namespace mimosabend {

// Sets the limits of a listener for callers and of the memory that is held for them: `limits`, and
// those that follow from the resources of the host. Logs the number of connections if it changes.
// Not thread-safe.
void ApplyCallerLimits(const HostResources& resources, HttpLimits limits, HttpServer* server,
                       MemoryBudget* memory);

// Sets the limits of a listener for requests that other gateways pass on: `limits` for their size,
// and as many connections as for other daemons. Not thread-safe.
void ApplyForwardLimits(const HostResources& resources, HttpLimits limits, HttpServer* server);

// Sets the limits of the listener for other daemons. Not thread-safe.
void ApplyPeerLimits(const HostResources& resources, PeerServer* server);

// Metrics of a listener for callers and of the memory that is held for them. Not thread-safe.
class CallerMetrics {
 public:
  // Precondition: `registry` outlives this object.
  explicit CallerMetrics(MetricsRegistry* registry);

  // Updates the metrics. Call it with the same server and budget each time.
  void Update(const HttpServer& server, const MemoryBudget& memory);

 private:
  std::array<prometheus::Counter*, kEvictionCauseCount> evictions_total_;
  prometheus::Gauge* connections_;
  prometheus::Gauge* connection_limit_;
  prometheus::Counter* memory_refusals_total_;
  std::array<prometheus::Gauge*, kMemoryKindCount> held_bytes_;
  // What has been added to the counters.
  std::array<std::uint64_t, kEvictionCauseCount> evictions_{};
  std::uint64_t memory_refusals_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CALLER_LIMITS_H_
