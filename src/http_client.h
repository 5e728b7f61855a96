#ifndef MIMOSABEND_HTTP_CLIENT_H_
#define MIMOSABEND_HTTP_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "clock.h"
#include "http_types.h"
#include "name_table.h"
#include "result.h"
#include "settings.h"

namespace mimosabend {

// Only kNotSent proves that the peer saw nothing of the request.
enum class HttpError : std::uint8_t { kNotSent, kTimedOut, kBroken, kTooLarge };
inline constexpr NameTable<HttpError, 4> kHttpErrorNames{
    {"not sent", "timed out", "connection broken", "answer too large"}};

// What a new connection to an address meets.
enum class Reachability : std::uint8_t { kAccepts, kRefuses, kSilent };
inline constexpr NameTable<Reachability, 3> kReachabilityNames{{"accepts", "refuses", "silent"}};

class HttpConnection;

// Breaks a call off from outside the coroutine that makes it, by closing its connection. One
// canceller serves one call at a time. Not thread-safe.
class HttpCanceller {
 public:
  HttpCanceller() = default;
  HttpCanceller(const HttpCanceller&) = delete;
  HttpCanceller& operator=(const HttpCanceller&) = delete;

  // Makes the call that is in progress fail, and each later one before it is sent.
  void Cancel();

  bool cancelled() const { return cancelled_; }

 private:
  friend class HttpConnection;

  HttpConnection* connection_ = nullptr;
  bool cancelled_ = false;
};

struct HttpCall {
  Address address;
  std::string method = "GET";
  std::string target;
  HttpHeaders headers;
  std::string body;
  MonotonicTime deadline;
  // False for calls that must not run twice: a reused connection may close under the request,
  // which leaves open whether it ran.
  bool reuse_connection = true;
  // A connection that was idle for longer is not reused.
  milliseconds max_idle{10000};
  // Bound of the time to open a connection, within the deadline.
  milliseconds connect_timeout{60000};
  // Null, or what may break the call off.
  std::shared_ptr<HttpCanceller> canceller;
};

// How a client notices that a peer has vanished without closing its connections. Zero leaves the
// system's default.
struct HttpClientOptions {
  // Longest time that sent bytes may stay without acknowledgement.
  milliseconds unacknowledged_timeout{0};
  // Time of silence after which the peer is probed; it must answer within the same time.
  seconds keep_alive{0};
};

struct HttpReply {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

class HttpClient;

// An answer whose body is read piece by piece. Not thread-safe.
class HttpStream {
 public:
  HttpStream(HttpClient* client, Address address, std::unique_ptr<HttpConnection> connection);
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;
  // Closes the connection unless the body was read to its end.
  ~HttpStream();

  int status() const;
  std::string_view header(std::string_view name) const;
  HttpHeaders headers() const;

  // The next bytes of the body; empty at its end.
  Task<Result<std::string, HttpError>> Read(MonotonicTime deadline);

  // The rest of the body. One of more than 8 MB is refused, and its connection is closed.
  Task<Result<std::string, HttpError>> ReadAll(MonotonicTime deadline);

 private:
  HttpClient* client_;
  Address address_;
  std::unique_ptr<HttpConnection> connection_;
};

// HTTP/1.1 client with one pool of idle connections for each address. A connection whose framing
// is in doubt is closed, never reused. Not thread-safe: use it on its executor.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::any_io_executor executor, HttpClientOptions options = {});
  ~HttpClient();

  // Sends a request and reads the whole answer.
  Task<Result<HttpReply, HttpError>> Call(HttpCall call);

  // Sends a request and returns once the header of the answer has arrived.
  // Precondition: the stream does not outlive this client.
  Task<Result<std::unique_ptr<HttpStream>, HttpError>> Open(HttpCall call);

  // Opens a connection and closes it at once.
  Task<Reachability> Probe(Address address, milliseconds timeout);

  // Closes the idle connections to an address.
  void Forget(const Address& address);

  const boost::asio::any_io_executor& executor() const { return executor_; }

  // Connections opened so far.
  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  friend class HttpStream;

  Task<Result<std::unique_ptr<HttpConnection>, HttpError>> Send(const HttpCall& call);
  Task<Result<std::unique_ptr<HttpConnection>, HttpError>> Connect(const HttpCall& call);
  std::unique_ptr<HttpConnection> TakeIdle(const Address& address, milliseconds max_idle);
  void ReturnIdle(const Address& address, std::unique_ptr<HttpConnection> connection);

  boost::asio::any_io_executor executor_;
  HttpClientOptions options_;
  std::uint64_t connections_opened_ = 0;
  std::map<Address, std::vector<std::unique_ptr<HttpConnection>>> idle_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_CLIENT_H_
