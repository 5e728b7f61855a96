#ifndef MIMOSABEND_HTTP_SERVER_H_
#define MIMOSABEND_HTTP_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "clock.h"
#include "http_types.h"
#include "result.h"
#include "settings.h"

namespace mimosabend {

struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  // When the header had been read.
  MonotonicTime arrival;

  std::string_view header(std::string_view name) const { return FindHeader(headers, name); }
};

class ServerConnection;

// One request on a connection and the means to answer it. Every handler answers exactly once:
// with Reply, or with StartStream, Write and FinishStream. Not thread-safe.
class HttpExchange {
 public:
  HttpExchange(ServerConnection* connection, HttpRequest request)
      : connection_(connection), request_(std::move(request)) {}

  const HttpRequest& request() const { return request_; }
  bool answered() const { return answered_; }

  // Sends a whole answer. False if the caller is gone. Precondition: nothing was answered yet.
  Task<bool> Reply(int status, HttpHeaders headers, std::string body);

  // Sends the header of a chunked answer. Precondition: nothing was answered yet.
  Task<bool> StartStream(int status, HttpHeaders headers);
  // Sends one chunk. False if the caller is gone. Precondition: the stream is open.
  Task<bool> Write(std::string bytes);
  // Ends the chunked answer. A stream that is not finished is cut, so that the caller can tell.
  Task<bool> FinishStream();

  // True once the connection is broken. A caller that has only closed its sending side still
  // waits for its answer; one that has closed both is noticed at the next write.
  bool IsCallerGone() const;

  // Calls `on_closed` once if the caller closes its connection, its sending side alone included,
  // before StopWatchingCaller. Precondition: the caller is not being watched.
  void WatchCaller(std::function<void()> on_closed);
  void StopWatchingCaller();

 private:
  ServerConnection* connection_;
  HttpRequest request_;
  bool answered_ = false;
};

using HttpHandler = std::function<Task<void>(HttpExchange&)>;

// HTTP/1.1 listener with one coroutine for each connection. Not thread-safe: use it on its
// executor, and destroy it only after the executor has stopped or open_connections() is zero.
class HttpServer {
 public:
  HttpServer(boost::asio::any_io_executor executor, HttpLimits limits, HttpHandler handler);
  ~HttpServer();

  // Binds and starts to accept. Port 0 takes a free port. Returns the system's error text.
  Result<std::uint16_t, std::string> Listen(const Address& address);

  // Accepts no more connections and asks open ones to close after their next answer.
  void StopAccepting();

  // Asks open connections to close after their next answer, and goes on accepting.
  void AnnounceClose() { closing_ = true; }

  // Takes effect with the next request of each connection.
  void set_limits(const HttpLimits& limits) { limits_ = limits; }

  std::size_t open_connections() const { return open_connections_; }
  std::uint64_t rejected_requests() const { return rejected_requests_; }
  bool stopping() const { return stopping_; }
  bool closing() const { return closing_ || stopping_; }

 private:
  friend class ServerConnection;

  Task<void> Accept();
  Task<void> CloseIdleConnections();
  void AcceptWaiting();
  void Admit(boost::asio::ip::tcp::socket socket);
  Task<void> Serve(boost::asio::ip::tcp::socket socket, bool refuse);

  boost::asio::any_io_executor executor_;
  HttpLimits limits_;
  HttpHandler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<ServerConnection*> idle_;
  std::size_t open_connections_ = 0;
  std::uint64_t rejected_requests_ = 0;
  bool stopping_ = false;
  bool closing_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_SERVER_H_
