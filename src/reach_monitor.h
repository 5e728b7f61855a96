#ifndef MIMOSABEND_REACH_MONITOR_H_
#define MIMOSABEND_REACH_MONITOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "endpoint_reach.h"
#include "endpoint_stats.h"
#include "fleet_directory.h"
#include "http_client.h"
#include "notifier.h"

namespace mimosabend {

// Connects to an endpoint. Returns whether it accepted the connection and kept it open for a
// moment, without a request. Thread-safe.
Task<bool> ReachesEndpoint(boost::asio::any_io_executor executor, Address address);

// Probes endpoints to learn whether this daemon is cut off from all endpoints of a service; see
// EndpointReach, which decides. Not thread-safe.
class ReachMonitor {
 public:
  // `on_change` is called when the services that this daemon is cut off from have changed.
  // Precondition: all pointers outlive this object.
  ReachMonitor(HttpClient* client, const FleetDirectory* directory, std::function<void()> on_change,
               std::uint64_t seed)
      : client_(client),
        directory_(directory),
        on_change_(std::move(on_change)),
        seed_(seed),
        wake_(client->executor()) {}

  // An attempt at an endpoint has ended.
  void RecordOutcome(const std::string& endpoint, AttemptOutcome outcome, MonotonicTime now);

  const EndpointReach& reach() const { return reach_; }
  // Number of services that this daemon is cut off from.
  std::size_t cut_off() const { return cut_off_.size(); }

  // Whether this daemon has been cut off from all services for at least `time`.
  bool IsCutOffFromAll(milliseconds time, MonotonicTime now) const;

  // Sends probes. Doesn't return.
  Task<void> Run();

 private:
  struct Round {
    ProbeRound round;
    std::size_t probed = 0;
    std::size_t ended = 0;
    std::size_t reached = 0;
  };

  void UpdateServices(MonotonicTime now);
  void StartRound(const ProbeRound& round, MonotonicTime now);
  Task<void> Probe(Address address, std::shared_ptr<Round> round);
  void FinishRound(const Round& round);
  void UpdateCutOff();
  std::vector<FleetEndpoint> EndpointsOf(const std::string& service, MonotonicTime now) const;

  HttpClient* client_;
  const FleetDirectory* directory_;
  std::function<void()> on_change_;
  std::uint64_t seed_;
  Notifier wake_;
  EndpointReach reach_;
  // Since when this daemon is cut off, by service.
  std::map<std::string, MonotonicTime> cut_off_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_REACH_MONITOR_H_
