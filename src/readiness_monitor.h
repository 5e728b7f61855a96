#ifndef MIMOSABEND_READINESS_MONITOR_H_
#define MIMOSABEND_READINESS_MONITOR_H_

#include <optional>

#include "clock.h"
#include "fleet_directory.h"
#include "fleet_state.h"
#include "platform/platform_store.h"
#include "readiness.h"
#include "relay_metrics.h"

namespace mimosabend {

// Tells whether a gateway is ready for callers, and logs changes of that. Not thread-safe.
class ReadinessMonitor {
 public:
  // Precondition: all pointers outlive this object. `started_at`: the start of the process.
  ReadinessMonitor(const FleetDirectory* directory, const FleetState* state,
                   const platform::PlatformStore* store, RelayMetrics* metrics,
                   MonotonicTime started_at)
      : directory_(directory),
        state_(state),
        store_(store),
        metrics_(metrics),
        started_at_(started_at) {}

  // The gateway has begun to shut down.
  void set_stopping() { stopping_ = true; }
  bool stopping() const { return stopping_; }

  // The leader has been heard of, so it is known which of the restored endpoints have left.
  void set_heard_leader() { heard_leader_ = true; }

  Readiness Current(MonotonicTime now) const;

  // Updates the metric. Logs a change of the readiness, and why the daemon is not ready a moment
  // after its start.
  void Update(MonotonicTime now);

 private:
  bool KnowsLeftEndpoints(MonotonicTime now) const;

  const FleetDirectory* directory_;
  const FleetState* state_;
  const platform::PlatformStore* store_;
  RelayMetrics* metrics_;
  MonotonicTime started_at_;
  bool heard_leader_ = false;
  bool stopping_ = false;
  std::optional<Readiness> logged_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_READINESS_MONITOR_H_
