#ifndef MIMOSABEND_STATE_SYNC_H_
#define MIMOSABEND_STATE_SYNC_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>
#include <vector>

#include "fleet_directory.h"
#include "fleet_state.h"
#include "peer_transport.h"
#include "usage_collector.h"

namespace mimosabend {

// Receivers of the store's contents as other daemons know them.
struct StateHooks {
  // An endpoint was added or changed.
  std::function<void(FleetEndpoint)> put;
  // Applies a configuration; returns false if it is invalid or too old.
  std::function<bool(const MultipartDocument&)> adopt_config;
  // Another daemon knows a newer era of the store.
  std::function<void(std::uint32_t era, const Address& daemon)> learn_era = [](std::uint32_t,
                                                                               const Address&) {};
  // Another daemon has a newer configuration, but it could not be fetched from there.
  std::function<void()> read_config;
};

// Updates this daemon's view of the store from the views of other daemons. Older contents are
// ignored. Not thread-safe.
class StateSync {
 public:
  // Precondition: all pointers outlive this object.
  StateSync(boost::asio::any_io_executor executor, PeerClient* peers, FleetState* state,
            FleetDirectory* directory, UsageCollector* usage, EvidenceExchange* evidence,
            StateHooks hooks)
      : executor_(std::move(executor)),
        peers_(peers),
        state_(state),
        directory_(directory),
        usage_(usage),
        evidence_(evidence),
        hooks_(std::move(hooks)) {}

  // Merges the view of a daemon. `asked_at` is when the request for it was sent.
  void Apply(const StoreView& view, const Address& daemon, MonotonicTime asked_at);

  // Adopts the endpoints that a daemon's report names as having left before the store was restored.
  void ApplyLeft(const UsageReport& report, const std::string& daemon);

  // Requests the view of a daemon and merges it. Does nothing if there is no answer.
  Task<void> RequestView(Address daemon);

 private:
  void ApplyChanges(const std::vector<EndpointRecord>& changes, MissingCause cause,
                    const std::string& daemon);
  Task<void> FetchConfig(Address daemon, MonotonicTime confirmed);

  boost::asio::any_io_executor executor_;
  PeerClient* peers_;
  FleetState* state_;
  FleetDirectory* directory_;
  UsageCollector* usage_;
  EvidenceExchange* evidence_;
  StateHooks hooks_;
  bool fetching_config_ = false;
};

// Converts the holdings that the leader published for an engine. Thread-safe.
EngineHoldings ToHoldings(const HoldingsUpdate& update);

}  // namespace mimosabend

#endif  // MIMOSABEND_STATE_SYNC_H_
