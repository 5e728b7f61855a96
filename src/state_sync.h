#ifndef MIMOSABEND_STATE_SYNC_H_
#define MIMOSABEND_STATE_SYNC_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>
#include <vector>

#include "fleet_directory.h"
#include "fleet_state.h"
#include "peer_transport.h"
#include "usage_board.h"

namespace mimosabend {

// Where what other daemons know of the store goes.
struct StateHooks {
  // An endpoint came or changed.
  std::function<void(FleetEndpoint)> put;
  // Takes a configuration into force; false if it can't be used.
  std::function<bool(const PartedDocument&)> adopt_config;
  // Another daemon has a newer configuration and could not be asked for it.
  std::function<void()> read_config;
};

// Takes over what other daemons know of the store's contents, if it is newer. Not thread-safe.
class StateSync {
 public:
  // Precondition: all pointers outlive this object.
  StateSync(boost::asio::any_io_executor executor, PeerClient* peers, FleetState* state,
            FleetDirectory* directory, UsageBoard* board, EvidenceExchange* evidence,
            StateHooks hooks)
      : executor_(std::move(executor)),
        peers_(peers),
        state_(state),
        directory_(directory),
        board_(board),
        evidence_(evidence),
        hooks_(std::move(hooks)) {}

  // Takes over the view of a daemon that was asked at `asked`.
  void Apply(const StoreView& view, const Address& daemon, MonotonicTime asked);

  // Asks a daemon for its view.
  Task<void> Ask(Address daemon);

 private:
  Task<void> FetchConfig(Address daemon, MonotonicTime confirmed);

  boost::asio::any_io_executor executor_;
  PeerClient* peers_;
  FleetState* state_;
  FleetDirectory* directory_;
  UsageBoard* board_;
  EvidenceExchange* evidence_;
  StateHooks hooks_;
  bool fetching_ = false;
};

// What an engine holds by its news. Thread-safe.
EngineHoldings ToHoldings(const EndpointNews& news);

}  // namespace mimosabend

#endif  // MIMOSABEND_STATE_SYNC_H_
