#ifndef MIMOSABEND_GOSSIP_H_
#define MIMOSABEND_GOSSIP_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership.h"
#include "metrics.h"
#include "peer_message.h"
#include "peer_transport.h"

namespace mimosabend {

// Time between two exchanges of the whole membership. Beyond a small fleet it grows in proportion
// to the number of members, so that the bandwidth of the exchanges stays constant. Thread-safe.
milliseconds MembersExchangePeriod(std::size_t members);

// Runs the SWIM protocol over UDP: pings members in turn, answers pings, and pings members on
// behalf of peers. Membership updates and the version of the environment document are piggybacked
// on these messages. Not thread-safe.
class Gossip {
 public:
  struct Hooks {
    // Returns the version of the environment document in force at this daemon.
    std::function<std::uint64_t()> environment_version;
    // Called with the version in force at a peer whenever the peer reports it.
    std::function<void(const Address& peer, std::uint64_t version)> on_environment_version;
  };

  // Precondition: `membership` and `metrics` outlive this object.
  Gossip(boost::asio::any_io_executor executor, Membership* membership, PeerIdentity identity,
         std::vector<Address> seeds, Metrics* metrics, Hooks hooks);

  // Binds the UDP socket. On failure, returns the address and the error message of the system.
  Result<void, std::string> Bind(const Address& address);

  // Receives and handles messages until the socket is closed. Precondition: Bind succeeded.
  Task<void> Receive();
  // Probes one member per period until the socket is closed. Precondition: Bind succeeded.
  Task<void> Probe();
  // Exchanges the whole membership until the socket is closed: with a seed at the start to join,
  // periodically with a random member to make up for lost messages, and with seeds that are not
  // live members, to merge the sides of a partition that lasted until each side had removed the
  // other. Precondition: Bind succeeded.
  Task<void> ExchangeMembers(PeerClient* client);

  void Close();

 private:
  template <class Message>
  Task<void> Send(Address peer, Message message);
  Task<void> Handle(Address peer, Envelope envelope);
  // Pings the target on behalf of `requester` and acknowledges under its sequence number.
  Task<void> RelayPing(Address requester, PingRequest request);
  // Exchanges the whole membership with one peer. True if the peer answered.
  Task<bool> ExchangeWith(PeerClient* client, Address peer);
  // The next seed, round-robin, that is not a live member.
  std::optional<Address> NextMissingSeed();
  // True if the target acknowledged a ping within `timeout`.
  Task<bool> PingAndWait(Address target, milliseconds timeout);
  Task<void> SendPing(Address target, std::uint64_t sequence);
  void ApplyUpdates(const std::vector<MemberUpdate>& updates);

  boost::asio::any_io_executor executor_;
  Membership* membership_;
  PeerIdentity identity_;
  std::vector<Address> seeds_;
  Metrics* metrics_;
  Hooks hooks_;
  boost::asio::ip::udp::socket socket_;
  std::size_t next_seed_ = 0;
  std::uint64_t last_sequence_ = 0;
  // Sequence numbers of pings that were acknowledged and not yet evaluated.
  std::set<std::uint64_t> acknowledged_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_GOSSIP_H_
