#ifndef MIMOSABEND_ENDPOINT_PROBER_H_
#define MIMOSABEND_ENDPOINT_PROBER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "crash_correlator.h"
#include "fleet_directory.h"
#include "http_client.h"
#include "notifier.h"

namespace mimosabend {

// Determines whether an endpoint that broke off a request has ended, by connecting to it. An
// address without a process refuses connections; an endpoint that only lost a connection accepts
// them. A process that is about to end may still accept one, so a successful probe is repeated. A
// refusal says nothing while other endpoints can't be reached either: a network that separates this
// daemon from all of them may refuse connections, too. Not thread-safe.
class EndpointProber {
 public:
  // Precondition: all pointers outlive this object and its calls.
  EndpointProber(HttpClient* client, const FleetDirectory* directory, CrashCorrelator* correlator)
      : client_(client), directory_(directory), correlator_(correlator) {}

  // Records that a request got no complete response, unless the endpoint announced that it leaves:
  // then its end is no crash.
  void RecordBreak(const FleetEndpoint& endpoint, const CrashedRun& run, MonotonicTime now);

  // Probes an endpoint that has closed a connection. False if it has not ended or if the probe
  // takes longer than the next attempt of the request should wait. A probe that takes longer
  // continues in the background.
  Task<bool> HasEnded(FleetEndpoint endpoint);

  // Probes an endpoint that has ended a response by closing its connection, as a terminated process
  // does, too. Calls within a few tens of milliseconds share one connection. False if the endpoint
  // has not ended, if it has announced that it leaves, or if the probe takes longer than the end of
  // the response should wait.
  Task<bool> HasEndedWithResponse(FleetEndpoint endpoint);

 private:
  Task<void> ProbeLater(FleetEndpoint endpoint, std::uint32_t number,
                        std::shared_ptr<Notifier> done);
  // Probes of several other endpoints.
  struct OtherProbes {
    explicit OtherProbes(boost::asio::any_io_executor executor) : changed(std::move(executor)) {}
    Notifier changed;
    std::size_t pending = 0;
    bool reached = false;
  };

  Task<bool> ReachesAnother(std::string endpoint);
  Task<void> ProbeOther(Address address, std::shared_ptr<OtherProbes> probes);
  void RecordIfEnded(const FleetEndpoint& endpoint, std::uint32_t number, bool ended);
  Task<void> Probe(FleetEndpoint endpoint, std::uint32_t number, std::shared_ptr<Notifier> done);

  HttpClient* client_;
  const FleetDirectory* directory_;
  CrashCorrelator* correlator_;
  // Varies the endpoints that are probed beside one that refuses connections.
  std::uint64_t seed_ = 0;
  // Probes in progress, by EndpointNumber.
  std::map<std::uint32_t, std::shared_ptr<Notifier>> probes_;
  // Probes of HasEndedWithResponse that have not begun to connect, by EndpointNumber.
  std::map<std::uint32_t, std::shared_ptr<Notifier>> delayed_probes_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENDPOINT_PROBER_H_
