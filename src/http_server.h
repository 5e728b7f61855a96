#ifndef MIMOSABEND_HTTP_SERVER_H_
#define MIMOSABEND_HTTP_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "clock.h"
#include "connection_table.h"
#include "http_types.h"
#include "memory_budget.h"
#include "result.h"
#include "settings.h"

namespace mimosabend {

// A received request.
struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  // When the complete header had been received.
  MonotonicTime arrival;

  std::string_view header(std::string_view name) const { return FindHeader(headers, name); }
};

class ServerConnection;

// A request and the interface to send its response. A handler sends exactly one response, with
// Reply or with StartStream, Write and FinishStream, unless the client has disconnected. Not
// thread-safe.
class HttpExchange {
 public:
  HttpExchange(ServerConnection* connection, HttpRequest request)
      : connection_(connection), request_(std::move(request)) {}

  const HttpRequest& request() const { return request_; }
  bool answered() const { return answered_; }
  // Size of the body of a complete response; 0 for none, and for a stream.
  std::uint64_t whole_response_bytes() const { return whole_response_bytes_; }

  // Sends a complete response. Returns false if the write failed. Precondition: !answered().
  Task<bool> Reply(int status, HttpHeaders headers, std::string body);

  // Sends the header of a chunked response. Returns false if the write failed. Precondition:
  // !answered().
  Task<bool> StartStream(int status, HttpHeaders headers);
  // Sends one chunk; an empty string sends nothing. Returns false if the write failed.
  // Precondition: StartStream has been called and FinishStream has not.
  Task<bool> Write(std::string bytes);
  // Ends the chunked response. If it is not called, the connection is closed without the last
  // chunk, so that the client can detect a truncated response.
  Task<bool> FinishStream();

  // True if the connection is broken. A client that has closed only its sending side may still wait
  // for the response; one that has closed both sides is detected by the next write.
  bool IsCallerGone() const;

  // The memory that the request holds until its handler has returned. Empty without a budget.
  MemoryHold* memory();

  // Calls `on_closed` once if the client closes its connection, or only its sending side, before
  // StopWatchingCaller is called. Precondition: the client is not being watched.
  void WatchCaller(std::function<void()> on_closed);
  void StopWatchingCaller();

 private:
  ServerConnection* connection_;
  HttpRequest request_;
  bool answered_ = false;
  std::uint64_t whole_response_bytes_ = 0;
};

using HttpHandler = std::function<Task<void>(HttpExchange&)>;

// HTTP/1.1 server with one coroutine per connection. At the limit of connections, a new one
// replaces the one that has waited longest for a request or for its end, if there is any; otherwise
// its first request is refused with 503. Not thread-safe: all calls must run on its executor.
// Destroy it only after the executor has stopped or when open_connections() is zero. If a handler
// throws, its request is answered with 500 unless its response has begun.
class HttpServer {
 public:
  HttpServer(boost::asio::any_io_executor executor, HttpLimits limits, HttpHandler handler);
  ~HttpServer();

  // Binds the address and starts accepting connections; port 0 selects a free port. Returns the
  // port or an error message.
  Result<std::uint16_t, std::string> Listen(const Address& address);

  // Closes the listener after accepting its queued connections. Open connections close after their
  // next response.
  void StopAccepting();

  // Sends "Connection: close" with each further response but keeps accepting connections.
  void AnnounceClose() { closing_ = true; }

  // Size of the system's receive buffer of connections that are accepted from now on, in bytes.
  // Without a call the system chooses it.
  void SetReceiveBuffer(int bytes);

  // The new limits apply to new connections, and to open ones from their next read or write.
  void set_limits(const HttpLimits& limits) { limits_ = limits; }

  // If the budget has no room for a request, connections with unfinished requests that have cost
  // more are closed. If that does not suffice the request is refused with 503, before its body is
  // read if its length is known. Precondition: `budget` outlives this server; null for no budget.
  void set_memory_budget(MemoryBudget* budget) { memory_ = budget; }

  std::size_t open_connections() const;
  std::size_t connection_limit() const { return limits_.connections; }
  // Connections that were closed in favour of others.
  std::uint64_t evictions(EvictionCause cause) const;
  std::uint64_t rejected_requests() const { return rejected_requests_; }
  bool stopping() const { return stopping_; }
  bool closing() const { return closing_ || stopping_; }

 private:
  friend class ServerConnection;

  struct Connections;

  Task<void> Accept();
  Task<void> CloseIdleConnections();
  void AcceptQueued(std::size_t most);
  void Admit(boost::asio::ip::tcp::socket socket);
  static Task<void> Serve(std::unique_ptr<ServerConnection> connection);

  boost::asio::any_io_executor executor_;
  HttpLimits limits_;
  HttpHandler handler_;
  MemoryBudget* memory_ = nullptr;
  boost::asio::ip::tcp::acceptor acceptor_;
  // Shared with the coroutines of the connections, which may outlive the server.
  std::shared_ptr<Connections> connections_;
  std::optional<int> receive_buffer_;
  std::uint64_t rejected_requests_ = 0;
  bool stopping_ = false;
  bool closing_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_SERVER_H_
