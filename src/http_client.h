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
};

struct HttpReply {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

class HttpConnection;
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

 private:
  HttpClient* client_;
  Address address_;
  std::unique_ptr<HttpConnection> connection_;
};

// HTTP/1.1 client with one pool of idle connections for each address. A connection whose framing
// is in doubt is closed, never reused. Not thread-safe: use it on its executor.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::any_io_executor executor);
  ~HttpClient();

  // Sends a request and reads the whole answer.
  Task<Result<HttpReply, HttpError>> Call(HttpCall call);

  // Sends a request and returns once the header of the answer has arrived.
  // Precondition: the stream does not outlive this client.
  Task<Result<std::unique_ptr<HttpStream>, HttpError>> Open(HttpCall call);

 private:
  friend class HttpStream;

  Task<Result<std::unique_ptr<HttpConnection>, HttpError>> Send(const HttpCall& call);
  Task<Result<std::unique_ptr<HttpConnection>, HttpError>> Connect(const HttpCall& call);
  std::unique_ptr<HttpConnection> TakeIdle(const Address& address);
  void ReturnIdle(const Address& address, std::unique_ptr<HttpConnection> connection);

  boost::asio::any_io_executor executor_;
  std::map<Address, std::vector<std::unique_ptr<HttpConnection>>> idle_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_CLIENT_H_
