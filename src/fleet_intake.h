#ifndef MIMOSABEND_FLEET_INTAKE_H_
#define MIMOSABEND_FLEET_INTAKE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "clock.h"
#include "endpoint_stats.h"
#include "fleet_directory.h"
#include "fleet_endpoint.h"
#include "fleet_state.h"
#include "prefix_index.h"
#include "prefix_watcher.h"
#include "settings.h"
#include "stream_versions.h"
#include "usage_collector.h"

namespace mimosabend {

// Applies the operator's configuration and the entries of endpoints to the state of a gateway, as
// they are read from the store or received from other daemons. Not thread-safe.
class FleetIntake {
 public:
  // Precondition: all pointers outlive this object.
  struct Parts {
    FleetDirectory* directory;
    FleetState* state;
    EndpointStats* stats;
    PrefixIndex* prefixes;
    StreamVersions* streams;
    UsageCollector* usage;
  };

  // Called when a new configuration is in force, with its version and its limits of requests.
  using ConfigListener = std::function<void(std::uint64_t version, const HttpLimits& limits)>;

  FleetIntake(Parts parts, ConfigListener on_config);

  // Handlers for the item of the configuration, and for the entries of endpoints. Precondition:
  // this object outlives them.
  ItemHandlers ConfigHandlers();
  ItemHandlers EndpointHandlers();

  // Applies a configuration. Returns false if it is invalid or older than the one in force.
  bool AdoptConfig(const std::string& raw_text, const std::string& source);
  // Applies the entry of an endpoint. `read_at`: when it was read from the store; the epoch if it
  // comes from another daemon.
  void PutEndpoint(FleetEndpoint endpoint, MonotonicTime read_at);
  // Records the software versions that serve now.
  void RecordVersions(MonotonicTime now);

  // Entries in the store that describe no endpoint.
  std::size_t invalid_entries() const { return invalid_entries_.size(); }

 private:
  void PutItem(const KvItem& item, MonotonicTime now);
  void RecordVersion(const FleetEndpoint& endpoint, MonotonicTime now);

  Parts parts_;
  ConfigListener on_config_;
  // Ids of the entries in the store that describe no endpoint.
  std::set<std::string> invalid_entries_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_INTAKE_H_
