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

// Time between two exchanges of the whole membership. It grows with the number of members beyond a
// small fleet, so that the bytes a second do not. Thread-safe.
milliseconds MembersExchangePeriod(std::size_t members);

// Runs SWIM over UDP: pings members in turn, answers pings, relays pings for others, and passes
// membership updates and the version of the environment document along. Not thread-safe.
class Gossip {
 public:
  struct Hooks {
    // The version in force here.
    std::function<std::uint64_t()> environment_version;
    // Called with the version in force at a peer.
    std::function<void(const Address& peer, std::uint64_t version)> on_environment_version;
  };

  // Precondition: `membership` and `metrics` outlive this object.
  Gossip(boost::asio::any_io_executor executor, Membership* membership, PeerIdentity identity,
         std::vector<Address> seeds, Metrics* metrics, Hooks hooks);

  // Binds the UDP socket. Returns the system's error text.
  Result<void, std::string> Bind(const Address& address);

  // Receives messages until the socket is closed. Precondition: bound.
  Task<void> Receive();
  // Pings one member in each period until the socket is closed. Precondition: bound.
  Task<void> Probe();
  // Exchanges the whole membership with a seed at the start, with a random member from time to
  // time, which mends what lost messages have left out, and with seeds that are not live members,
  // which joins the sides of a cut that lasted until each had forgotten the other.
  // Precondition: bound.
  Task<void> ExchangeMembers(PeerClient* client);

  void Close();

 private:
  template <class Message>
  Task<void> Send(Address peer, Message message);
  Task<void> Handle(Address peer, Envelope envelope);
  Task<void> Relay(Address requester, PingRequest request);
  Task<bool> ExchangeWith(PeerClient* client, Address peer);
  // The next seed that is not a live member, if there is one.
  std::optional<Address> NextLostSeed();
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
  std::set<std::uint64_t> acknowledged_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_GOSSIP_H_
