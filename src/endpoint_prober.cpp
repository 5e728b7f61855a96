#include "endpoint_prober.h"

#include "directory_log.h"
#include "endpoint_reach.h"
#include "event_loop.h"
#include "log.h"
#include "supervisor.h"

namespace mimosabend {

namespace {

constexpr milliseconds kConnectTimeout{300};
// Maximum delay of the request's next attempt. Endpoints in other regions respond sooner.
constexpr milliseconds kMaxWait{60};
// An ending process may still accept a connection before its listening socket is closed.
constexpr milliseconds kProbeDelay{25};
// Maximum delay of the end of a response.
constexpr milliseconds kMaxEndDelay{100};
// Other endpoints that are probed after one has refused a connection, and the time for them.
constexpr std::size_t kOthersProbed = 4;
constexpr milliseconds kOtherTimeout{100};

}  // namespace

void EndpointProber::RecordBreak(const FleetEndpoint& endpoint, const CrashedRun& run,
                                 MonotonicTime now) {
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  // The entry of an endpoint that is known to have ended may have been removed already.
  const bool expected_to_stay = directory_->IsExpectedToStay(endpoint.id, endpoint.started_ms);
  if (!expected_to_stay && !correlator_->HasEnded(number)) return;
  correlator_->RecordBreak(number, run, now);
}

Task<bool> EndpointProber::HasEnded(FleetEndpoint endpoint) {
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  if (correlator_->HasEnded(number)) co_return true;
  std::shared_ptr<Notifier> done;
  const auto probe = probes_.find(number);
  if (probe != probes_.end()) {
    done = probe->second;
  } else {
    done = std::make_shared<Notifier>(client_->executor());
    probes_[number] = done;
    SpawnDetached(client_->executor(), "probe of an endpoint",
                  Probe(std::move(endpoint), number, done));
  }
  co_await done->WaitUntil(MonotonicNow() + kMaxWait);
  co_return correlator_->HasEnded(number);
}

Task<bool> EndpointProber::HasEndedWithResponse(FleetEndpoint endpoint) {
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  if (correlator_->HasEnded(number)) co_return true;
  if (!directory_->IsExpectedToStay(endpoint.id, endpoint.started_ms)) co_return false;
  std::shared_ptr<Notifier>& pending = delayed_probes_[number];
  const bool is_new = pending == nullptr;
  if (is_new) pending = std::make_shared<Notifier>(client_->executor());
  const std::shared_ptr<Notifier> done = pending;
  if (is_new) {
    SpawnDetached(client_->executor(), "probe of an endpoint",
                  ProbeLater(std::move(endpoint), number, done));
  }
  co_await done->WaitUntil(MonotonicNow() + kMaxEndDelay);
  co_return correlator_->HasEnded(number);
}

// A single probe after the time in which an ending process may still accept a connection.
Task<void> EndpointProber::ProbeLater(FleetEndpoint endpoint, std::uint32_t number,
                                      std::shared_ptr<Notifier> done) {
  co_await Sleep(kProbeDelay);
  // The result says nothing about responses that end after the connection was accepted.
  delayed_probes_.erase(number);
  const Reachability reachability = co_await client_->Probe(endpoint.address, kConnectTimeout);
  if (reachability == Reachability::kRefuses) {
    const bool ended = co_await ReachesAnother(endpoint.id);
    LOG4CPLUS_INFO(Log(), "probed after the end of a response: endpoint="
                              << endpoint.id << " started_ms=" << endpoint.started_ms
                              << " new connections=" << kReachabilityNames[reachability]
                              << " ended=" << ended);
    RecordIfEnded(endpoint, number, ended);
  }
  done->NotifyAll();
}

void EndpointProber::RecordIfEnded(const FleetEndpoint& endpoint, std::uint32_t number,
                                   bool ended) {
  const bool expected_to_stay = directory_->IsExpectedToStay(endpoint.id, endpoint.started_ms);
  if (ended && expected_to_stay) correlator_->RecordEnd(number, MonotonicNow());
}

// Whether one of a few endpoints at other addresses accepts connections, or there is no other.
Task<bool> EndpointProber::ReachesAnother(std::string endpoint) {
  const DirectoryEntry* refusing = directory_->Find(endpoint);
  std::vector<FleetEndpoint> others;
  for (const auto& [id, entry] : directory_->entries()) {
    const bool same_address =
        refusing != nullptr && entry.endpoint.address == refusing->endpoint.address;
    if (id != endpoint && !same_address) others.push_back(entry.endpoint);
  }
  if (others.empty()) co_return true;
  const auto probes = std::make_shared<OtherProbes>(client_->executor());
  const auto targets = ChooseProbeTargets(std::move(others), kOthersProbed, ++seed_);
  probes->pending = targets.size();
  // At the same time: many may have crashed together, and a request waits for the first answer.
  for (const FleetEndpoint& target : targets) {
    SpawnDetached(client_->executor(), "probe of another endpoint",
                  ProbeOther(target.address, probes));
  }
  const MonotonicTime deadline = MonotonicNow() + kOtherTimeout;
  while (!probes->reached && probes->pending > 0 && MonotonicNow() < deadline) {
    co_await probes->changed.WaitUntil(deadline);
  }
  co_return probes->reached;
}

Task<void> EndpointProber::ProbeOther(Address address, std::shared_ptr<OtherProbes> probes) {
  const Reachability reachability = co_await client_->Probe(std::move(address), kOtherTimeout);
  if (reachability == Reachability::kAccepts) probes->reached = true;
  --probes->pending;
  probes->changed.NotifyAll();
}

Task<void> EndpointProber::Probe(FleetEndpoint endpoint, std::uint32_t number,
                                 std::shared_ptr<Notifier> done) {
  Reachability reachability = co_await client_->Probe(endpoint.address, kConnectTimeout);
  if (reachability == Reachability::kAccepts) {
    co_await Sleep(kProbeDelay);
    reachability = co_await client_->Probe(endpoint.address, kConnectTimeout);
  }
  bool ended = false;
  if (reachability == Reachability::kRefuses) {
    const bool reaches_another = co_await ReachesAnother(endpoint.id);
    ended = reaches_another;
  }
  LOG4CPLUS_INFO(Log(), "probed after a lost connection: endpoint="
                            << endpoint.id << " started_ms=" << endpoint.started_ms
                            << " new connections=" << kReachabilityNames[reachability]
                            << " ended=" << ended);
  RecordIfEnded(endpoint, number, ended);
  probes_.erase(number);
  done->NotifyAll();
}

}  // namespace mimosabend
