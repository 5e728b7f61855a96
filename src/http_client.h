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
#include "memory_budget.h"
#include "name_table.h"
#include "result.h"
#include "settings.h"

namespace mimosabend {

// Why a request failed. Only kNotSent guarantees that the peer has received no part of the request.
enum class HttpError : std::uint8_t { kNotSent, kTimedOut, kBroken, kTooLarge, kMalformed };
inline constexpr NameTable<HttpError, 5> kHttpErrorNames{
    {"not sent", "timed out", "connection broken", "answer too large", "malformed answer"}};

// Result of opening a TCP connection to an address. kSilent stands for every failure other than a
// refusal, such as a timeout.
enum class Reachability : std::uint8_t { kAccepts, kRefuses, kSilent };
inline constexpr NameTable<Reachability, 3> kReachabilityNames{{"accepts", "refuses", "silent"}};

class HttpConnection;

// Cancels a call from outside the coroutine that runs it, by closing its connection. A canceller
// belongs to at most one call at a time. Not thread-safe.
class HttpCanceller {
 public:
  HttpCanceller() = default;
  HttpCanceller(const HttpCanceller&) = delete;
  HttpCanceller& operator=(const HttpCanceller&) = delete;

  // Fails the call in flight, and every later call before it is sent.
  void Cancel();

  bool cancelled() const { return cancelled_; }

 private:
  friend class HttpConnection;

  HttpConnection* connection_ = nullptr;
  bool cancelled_ = false;
};

// A request to send and the limits that apply to it.
struct HttpCall {
  Address address;
  std::string method = "GET";
  std::string target;
  HttpHeaders headers;
  std::string body;
  MonotonicTime deadline;
  // False if the request needs a connection of its own. On a reused one, the peer may close it
  // while the request is being sent, and then it is unknown whether the request was executed; or a
  // second copy of an earlier answer may arrive.
  bool reuse_connection = true;
  // Connections that were idle for longer are not reused.
  milliseconds max_idle{10000};
  // The request is not sent at or after this time, for example because a permit to send it expires.
  MonotonicTime send_by = MonotonicTime::max();
  // Time limit for opening a connection; the deadline applies as well.
  milliseconds connect_timeout{60000};
  // May be null.
  std::shared_ptr<HttpCanceller> canceller;
  // Counts a body that is read whole. While there is no room for it, reading waits. May be null.
  std::shared_ptr<MemoryHold> memory;
};

// TCP settings that detect a peer that vanished without closing its connections. Zero keeps the
// system's default.
struct HttpClientOptions {
  // Longest time that sent data may remain unacknowledged (TCP_USER_TIMEOUT). It also decides when
  // keep-alive probes give up, whatever their number.
  milliseconds unacknowledged_timeout{0};
  // Idle time after which a keep-alive probe is sent, and time between two probes.
  seconds keep_alive{0};

  // Keep-alive probes in a row that must stay unanswered until the connection is dropped. Linux
  // drops it when a probe is due, one is unanswered, and the connection has been idle for
  // `unacknowledged_timeout`.
  constexpr int LostProbesToDrop() const {
    if (unacknowledged_timeout.count() == 0 || keep_alive.count() == 0) return 1;
    const auto period = std::chrono::duration_cast<milliseconds>(keep_alive).count();
    const auto periods = (unacknowledged_timeout.count() + period - 1) / period;
    return periods > 2 ? static_cast<int>(periods) - 1 : 1;
  }
};

// For connections to endpoints. A sound one may be silent for a second or so and go on, so several
// lost probes and retransmissions are tolerated.
inline constexpr HttpClientOptions kEndpointOptions{milliseconds(3500), seconds(1)};
static_assert(kEndpointOptions.LostProbesToDrop() >= 3);

// A complete response.
struct HttpReply {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  // Counts the body; null unless the call has one.
  std::shared_ptr<MemoryHold> memory = nullptr;
};

class HttpClient;

// A response whose body is read incrementally. Not thread-safe.
class HttpStream {
 public:
  // `memory` counts a body that is read by ReadAll. It may be null.
  HttpStream(HttpClient* client, Address address, std::unique_ptr<HttpConnection> connection,
             std::shared_ptr<MemoryHold> memory);
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;
  // Returns the connection to the idle pool if it is reusable, otherwise closes it.
  ~HttpStream();

  int status() const;
  std::string_view header(std::string_view name) const;
  HttpHeaders headers() const;

  // Returns the next bytes of the body, or an empty string at its end. A body without a length is
  // complete only if the connection ended without a reset and after the peer had received the whole
  // request; otherwise its end fails with kBroken.
  Task<Result<std::string, HttpError>> Read(MonotonicTime deadline);

  // Whether the body has neither a length nor chunks. Its end is then that of the connection, which
  // a process closes when it is terminated, too. Precondition: Read has returned the end of the
  // body.
  bool ends_with_connection() const;

  const std::shared_ptr<MemoryHold>& memory() const { return memory_; }

  // Reads the rest of the body. Fails with kTooLarge if it exceeds 8 MiB or the share of one
  // connection in the memory budget. Waits until the budget has room for it.
  Task<Result<std::string, HttpError>> ReadAll(MonotonicTime deadline);

 private:
  Task<Result<void, HttpError>> HoldMemory(std::uint64_t bytes, MonotonicTime deadline);

  HttpClient* client_;
  Address address_;
  std::unique_ptr<HttpConnection> connection_;
  std::shared_ptr<MemoryHold> memory_;
};

// HTTP/1.1 client with a pool of idle connections per address. A connection is reused only if its
// last response was read completely, no bytes followed it, and its last request was written as a
// whole. The response to a request with a body is read while the body is written; one that arrives
// before is returned like any other. A response with a status outside 100 to 599 is malformed. Not
// thread-safe: all calls must run on its executor.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::any_io_executor executor, HttpClientOptions options = {});
  ~HttpClient();

  // Sends a request and reads the complete response.
  Task<Result<HttpReply, HttpError>> Call(HttpCall call);

  // Sends a request and returns when the response header has been received.
  // Precondition: the stream does not outlive this client.
  Task<Result<std::unique_ptr<HttpStream>, HttpError>> Open(HttpCall call);

  // Opens a connection and closes it immediately, without sending a request.
  Task<Reachability> Probe(Address address, milliseconds timeout);

  // Closes all idle connections to an address.
  void CloseIdle(const Address& address);

  const boost::asio::any_io_executor& executor() const { return executor_; }

  // Number of connection attempts so far, including failed ones.
  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  friend class HttpStream;

  Task<Result<std::unique_ptr<HttpConnection>, HttpError>> Send(HttpCall* call);
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
