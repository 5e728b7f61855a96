#include "reach_monitor.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "event_loop.h"
#include "log.h"
#include "supervisor.h"

namespace mimosabend {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr milliseconds kConnectTimeout{300};
// A network that resets connections may accept them first.
constexpr milliseconds kResetTime{30};
constexpr milliseconds kPollPeriod{200};

}  // namespace

Task<bool> ReachesEndpoint(asio::any_io_executor executor, Address address) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  if (error) co_return false;
  beast::tcp_stream stream(executor);
  stream.expires_after(kConnectTimeout);
  co_await stream.async_connect(asio::ip::tcp::endpoint(ip, address.port),
                                asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return false;
  char byte = 0;
  stream.expires_after(kResetTime);
  co_await stream.async_read_some(asio::buffer(&byte, 1),
                                  asio::redirect_error(asio::use_awaitable, error));
  co_return error == beast::error::timeout;
}

void ReachMonitor::RecordOutcome(const std::string& endpoint, AttemptOutcome outcome,
                                 MonotonicTime now) {
  const DirectoryEntry* entry = directory_->Find(endpoint);
  if (entry == nullptr || outcome == AttemptOutcome::kNeutral) return;
  const std::string& service = entry->endpoint.service;
  const bool unreachable = outcome == AttemptOutcome::kUnreachable;
  if (!unreachable && outcome != AttemptOutcome::kFailed) {
    reach_.RecordResponse(service, now);
    return;
  }
  const bool due = reach_.RecordFailure(service, unreachable, now);
  if (due) wake_.NotifyAll();
}

bool ReachMonitor::IsCutOffFromAll(milliseconds time, MonotonicTime now) const {
  return reach_.IsCutOffFromAll() &&
         std::all_of(cut_off_.begin(), cut_off_.end(),
                     [&](const auto& item) { return now - item.second >= time; });
}

Task<void> ReachMonitor::Run() {
  for (;;) {
    const MonotonicTime now = MonotonicNow();
    UpdateServices(now);
    UpdateCutOff();
    for (const ProbeRound& round : reach_.BeginProbes(now)) StartRound(round, now);
    co_await wake_.WaitUntil(now + kPollPeriod);
  }
}

void ReachMonitor::UpdateServices(MonotonicTime now) {
  std::map<std::string, std::size_t> services;
  for (const auto& [id, entry] : directory_->entries()) {
    const bool usable = directory_->UsabilityOf(entry, now) != Usability::kUnusable;
    if (usable) ++services[entry.endpoint.service];
  }
  reach_.SetServices(services, now);
}

std::vector<FleetEndpoint> ReachMonitor::EndpointsOf(const std::string& service,
                                                     MonotonicTime now) const {
  std::vector<FleetEndpoint> endpoints;
  for (const DirectoryEntry* entry : directory_->OfService(service, now)) {
    endpoints.push_back(entry->endpoint);
  }
  return endpoints;
}

void ReachMonitor::StartRound(const ProbeRound& round, MonotonicTime now) {
  const auto targets =
      ChooseProbeTargets(EndpointsOf(round.service, now), round.endpoints, ++seed_);
  const auto started = std::make_shared<Round>();
  started->round = round;
  started->probed = targets.size();
  if (targets.empty()) FinishRound(*started);
  for (const FleetEndpoint& target : targets) {
    SpawnDetached(client_->executor(), "probe of reach", Probe(target.address, started));
  }
}

Task<void> ReachMonitor::Probe(Address address, std::shared_ptr<Round> round) {
  const bool reached = co_await ReachesEndpoint(client_->executor(), std::move(address));
  if (reached) ++round->reached;
  if (++round->ended == round->probed) FinishRound(*round);
}

void ReachMonitor::FinishRound(const Round& round) {
  reach_.RecordProbes(round.round, round.probed, round.reached, MonotonicNow());
  UpdateCutOff();
  wake_.NotifyAll();
}

// Logs and reports what has changed.
void ReachMonitor::UpdateCutOff() {
  const MonotonicTime now = MonotonicNow();
  const std::vector<std::string> services = reach_.CutOffServices();
  bool changed = false;
  for (const std::string& service : services) {
    if (!cut_off_.try_emplace(service, now).second) continue;
    changed = true;
    LOG4CPLUS_WARN(Log(), "cut off from the endpoints of service " << service);
  }
  for (auto it = cut_off_.begin(); it != cut_off_.end();) {
    const auto& [service, since] = *it;
    if (std::find(services.begin(), services.end(), service) != services.end()) {
      ++it;
      continue;
    }
    changed = true;
    LOG4CPLUS_INFO(Log(), "endpoints of service " << service << " are reached again, cut_off_ms="
                                                  << ToMillis(now - since).count());
    // Connections from before may still hang.
    for (const FleetEndpoint& endpoint : EndpointsOf(service, now)) {
      client_->CloseIdle(endpoint.address);
    }
    it = cut_off_.erase(it);
  }
  if (changed) on_change_();
}

}  // namespace mimosabend
