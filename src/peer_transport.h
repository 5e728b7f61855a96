#ifndef MIMOSABEND_PEER_TRANSPORT_H_
#define MIMOSABEND_PEER_TRANSPORT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "metrics.h"
#include "peer_message.h"

namespace mimosabend {

// What a daemon needs to sign its messages, and the peers that it sends nothing to.
struct PeerIdentity {
  std::string name;
  std::string shared_key;
  std::set<Address> blocked_peers;
};

// Requests to other daemons over TCP. A connection carries one request at a time and is reused;
// one whose call failed is closed. Not thread-safe.
class PeerClient {
 public:
  // Precondition: `metrics` outlives this object.
  PeerClient(boost::asio::any_io_executor executor, PeerIdentity identity, Metrics* metrics);
  ~PeerClient();

  // Takes effect with the next call.
  void set_shared_key(const std::string& key) { identity_.shared_key = key; }

  // Sends a request and returns the answer. Counts errors.
  template <class Answer, class Request>
  Task<Result<Answer, PeerError>> Call(Address peer, Request request, milliseconds timeout) {
    Envelope envelope = Wrap(request, identity_.name, ++last_correlation_, WallNow());
    auto reply = co_await Exchange(std::move(peer), std::move(envelope), timeout);
    if (!reply) co_return outcome::failure(reply.error());
    co_return Unwrap<Answer>(reply.value());
  }

 private:
  struct Connection;

  Task<Result<Envelope, PeerError>> Exchange(Address peer, Envelope request, milliseconds timeout);
  Task<Result<Envelope, PeerError>> ExchangeOnce(Address peer, const Envelope& request,
                                                 milliseconds timeout);
  std::unique_ptr<Connection> TakeIdle(const Address& peer);

  boost::asio::any_io_executor executor_;
  PeerIdentity identity_;
  Metrics* metrics_;
  std::uint64_t last_correlation_ = 0;
  std::map<Address, std::vector<std::unique_ptr<Connection>>> idle_;
};

// Answers one request; the body and type of the result are sent back.
using PeerHandler = std::function<Task<Result<Envelope, PeerError>>(Envelope)>;

// Accepts requests of other daemons over TCP, one coroutine for each connection. Malformed
// messages are counted and their connection is closed. Not thread-safe.
class PeerServer {
 public:
  // Precondition: `metrics` outlives this object.
  PeerServer(boost::asio::any_io_executor executor, PeerIdentity identity, Metrics* metrics,
             PeerHandler handler);

  // Binds and starts to accept. Returns the system's error text.
  Result<void, std::string> Listen(const Address& address);

  void Stop();

 private:
  Task<void> Accept();
  Task<void> Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::any_io_executor executor_;
  PeerIdentity identity_;
  Metrics* metrics_;
  PeerHandler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::size_t open_connections_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PEER_TRANSPORT_H_
