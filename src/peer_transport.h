#ifndef MIMOSABEND_PEER_TRANSPORT_H_
#define MIMOSABEND_PEER_TRANSPORT_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "metrics.h"
#include "peer_message.h"

namespace mimosabend {

// What a daemon needs to sign its messages, and the peers that it must not send to.
struct PeerIdentity {
  std::string name;
  // Key of the HMAC; the same for all daemons of an environment.
  std::string shared_key;
  // For tests of network partitions.
  std::set<Address> blocked_peers;
};

// Sends requests to other daemons over TCP. A connection carries one request at a time and is
// pooled for reuse; it is closed if a request fails. Not thread-safe.
class PeerClient {
 public:
  // Precondition: `metrics` outlives this object.
  PeerClient(boost::asio::any_io_executor executor, PeerIdentity identity, Metrics* metrics);
  ~PeerClient();

  // Takes effect with the next request.
  void set_shared_key(const std::string& key) { identity_.shared_key = key; }

  // Sends a request and returns the answer. Errors of the exchange are counted in the metrics.
  template <class Answer, class Request>
  Task<Result<Answer, PeerError>> Call(Address peer, Request request, milliseconds timeout) {
    std::optional<Envelope> envelope = WrapRequest(request);
    if (!envelope) co_return outcome::failure(PeerError::kUnencodable);
    auto reply = co_await Exchange(std::move(peer), std::move(*envelope), timeout);
    if (!reply) co_return outcome::failure(reply.error());
    co_return Unwrap<Answer>(reply.value());
  }

 private:
  struct Connection;

  // Counts a request that can't be encoded: it must not end the task that sends it.
  template <class Request>
  std::optional<Envelope> WrapRequest(const Request& request) {
    try {
      return Wrap(request, identity_.name, ++last_correlation_id_, WallNow());
    } catch (const cereal::Exception&) {
      metrics_->CountPeerError(PeerError::kUnencodable);
      return std::nullopt;
    }
  }

  // Calls ExchangeOnce and counts its errors.
  Task<Result<Envelope, PeerError>> Exchange(Address peer, Envelope request, milliseconds timeout);
  Task<Result<Envelope, PeerError>> ExchangeOnce(Address peer, const Envelope& request,
                                                 milliseconds timeout);
  // Takes an idle connection to the peer out of the pool; nullptr if there is none.
  std::unique_ptr<Connection> TakeIdle(const Address& peer);

  boost::asio::any_io_executor executor_;
  PeerIdentity identity_;
  Metrics* metrics_;
  std::uint64_t last_correlation_id_ = 0;
  std::map<Address, std::vector<std::unique_ptr<Connection>>> idle_;
};

// Handles one request. The type and body of the result are sent back as the answer; on an error,
// the connection is closed.
using PeerHandler = std::function<Task<Result<Envelope, PeerError>>(Envelope)>;

// Serves requests of other daemons over TCP, one coroutine per connection. A connection on which an
// invalid message arrives is closed; the error is counted. Not thread-safe.
class PeerServer {
 public:
  // Precondition: `metrics` outlives this object.
  PeerServer(boost::asio::any_io_executor executor, PeerIdentity identity, Metrics* metrics,
             PeerHandler handler);
  ~PeerServer();

  // Limits the memory for frames that are received or handled, in bytes, and the connections. If
  // one falls short, connections that have cost or waited most are closed for others, and counted.
  void SetLimits(std::uint64_t frame_bytes, std::size_t connections);

  // Binds the address and starts to accept connections. Returns the error message on failure.
  Result<void, std::string> Listen(const Address& address);

  // Stops accepting connections. Open connections are served until they end.
  void Stop();

 private:
  Task<void> Accept();
  class Connection;
  struct State;

  Task<void> Serve(std::unique_ptr<Connection> connection);
  Task<bool> ServeRequest(Connection* connection);

  boost::asio::any_io_executor executor_;
  PeerIdentity identity_;
  Metrics* metrics_;
  PeerHandler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::size_t max_connections_;
  // Shared with the coroutines of the connections, which may outlive the server.
  std::shared_ptr<State> state_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PEER_TRANSPORT_H_
