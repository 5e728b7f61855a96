#ifndef MIMOSABEND_ENDPOINT_REACH_H_
#define MIMOSABEND_ENDPOINT_REACH_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clock.h"
#include "fleet_endpoint.h"

namespace mimosabend {

// Why endpoints of a service are probed. kHeartbeat: no response of any service came for a while.
// kSuspicion: a connection or an attempt failed. kConfirmation: none of the suspicion's endpoints
// was reached. kReturn: none was reached, and the end of that is looked for.
enum class ProbeKind : std::uint8_t { kHeartbeat, kSuspicion, kConfirmation, kReturn };

// Probes to send to a number of endpoints of a service.
struct ProbeRound {
  std::string service;
  ProbeKind kind = ProbeKind::kHeartbeat;
  std::size_t endpoints = 0;
};

// Decides from responses, failures and probes whether this daemon is cut off from all endpoints of
// a service. A service is silent if a round of probes over its failure domains reached no endpoint.
// This daemon is cut off from a silent service if at least two endpoints are silent, in it or in
// all silent services: one silent endpoint is no partition. Not thread-safe.
class EndpointReach {
 public:
  // The number of endpoints by service. Other services are forgotten.
  void SetServices(const std::map<std::string, std::size_t>& endpoints, MonotonicTime now);

  // An endpoint of the service has responded.
  void RecordResponse(const std::string& service, MonotonicTime now);
  // An attempt at an endpoint failed; `unreachable`: it accepted no connection. Returns whether
  // probes are due because of that.
  bool RecordFailure(const std::string& service, bool unreachable, MonotonicTime now);

  // The rounds of probes to send now, at most one for each service. RecordProbes must be called for
  // each of them.
  std::vector<ProbeRound> BeginProbes(MonotonicTime now);
  // The end of a round: how many endpoints were probed, and how many of them were reached.
  void RecordProbes(const ProbeRound& round, std::size_t probed, std::size_t reached,
                    MonotonicTime now);

  // Whether this daemon is cut off from all endpoints of the service.
  bool IsCutOff(const std::string& service) const;
  // Whether it is, or it is not known yet.
  bool MayBeCutOff(const std::string& service) const;
  // The services that this daemon is cut off from.
  std::vector<std::string> CutOffServices() const;
  // Whether these are all services, of which there is at least one.
  bool IsCutOffFromAll() const;

 private:
  struct Service {
    std::size_t endpoints = 0;
    MonotonicTime heard_at;
    MonotonicTime probed_at;
    bool probing = false;
    bool suspected = false;
    bool confirming = false;
    // Endpoints of the last round of probes if it reached none of them, else 0.
    std::size_t silent = 0;
    // Rounds in a row that reached an endpoint, while the service is silent.
    int returns = 0;
  };

  static ProbeRound Begin(const std::string& name, Service* service, ProbeKind kind);
  std::size_t SilentServices() const;
  bool IsCutOff(const Service& service) const;

  std::map<std::string, Service> services_;
  // The last response or successful probe of any service, and the last heartbeat.
  MonotonicTime heard_at_;
  MonotonicTime heartbeat_at_;
};

// Chooses up to `count` endpoints to probe, from as many failure domains as possible. `seed` varies
// the choice. Thread-safe.
std::vector<FleetEndpoint> ChooseProbeTargets(std::vector<FleetEndpoint> endpoints,
                                              std::size_t count, std::uint64_t seed);

}  // namespace mimosabend

#endif  // MIMOSABEND_ENDPOINT_REACH_H_
