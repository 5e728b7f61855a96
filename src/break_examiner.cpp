#include "break_examiner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "directory_log.h"
#include "log.h"
#include "supervisor.h"

namespace mimosabend {

namespace {

constexpr milliseconds kConnectTimeout{300};
// The next try of the request waits this long at most. Endpoints in other regions answer sooner.
constexpr milliseconds kLongestWait{60};
// A process that ends may take a connection before its listener is closed.
constexpr milliseconds kSecondProbeDelay{25};

}  // namespace

void BreakExaminer::NoteBreak(const FleetEndpoint& endpoint, const CrashedRun& run,
                              MonotonicTime sent_at, MonotonicTime now) {
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  // Once it is known to have ended, its entry may be gone.
  const bool stays = directory_->IsExpectedToStay(endpoint.id, endpoint.started_ms);
  if (!stays && !watch_->HasEnded(number)) return;
  watch_->NoteBreak(number, run, sent_at, now);
}

Task<bool> BreakExaminer::HasEnded(FleetEndpoint endpoint) {
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  if (watch_->HasEnded(number)) co_return true;
  std::shared_ptr<Notifier> done;
  const auto known = probes_.find(number);
  if (known != probes_.end()) {
    done = known->second;
  } else {
    done = std::make_shared<Notifier>(client_->executor());
    probes_[number] = done;
    boost::asio::co_spawn(client_->executor(), Probe(std::move(endpoint), number, done),
                          boost::asio::detached);
  }
  co_await done->WaitUntil(MonotonicNow() + kLongestWait);
  co_return watch_->HasEnded(number);
}

Task<void> BreakExaminer::Probe(FleetEndpoint endpoint, std::uint32_t number,
                                std::shared_ptr<Notifier> done) {
  Reachability found = co_await client_->Probe(endpoint.address, kConnectTimeout);
  if (found == Reachability::kAccepts) {
    co_await Sleep(kSecondProbeDelay);
    found = co_await client_->Probe(endpoint.address, kConnectTimeout);
  }
  LOG4CPLUS_INFO(Log(),
                 "after a break, endpoint=" << endpoint.id << " started_ms=" << endpoint.started_ms
                                            << " new connections=" << kReachabilityNames[found]);
  const bool stays = directory_->IsExpectedToStay(endpoint.id, endpoint.started_ms);
  if (found == Reachability::kRefuses && stays) watch_->NoteEnd(number, MonotonicNow());
  probes_.erase(number);
  done->NotifyAll();
}

}  // namespace mimosabend
