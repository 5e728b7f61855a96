#include "http_client.h"

#include <sys/socket.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace mimosabend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kMaxIdlePerAddress = 64;
// Below the idle time-out of common servers, so that few reused connections close under a request.
constexpr std::chrono::seconds kMaxIdleTime{10};
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::uint64_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 32 * 1024;

HttpError TranslateError(const boost::system::error_code& error) {
  if (error == beast::error::timeout) return HttpError::kTimedOut;
  if (error == http::error::body_limit || error == http::error::header_limit) {
    return HttpError::kTooLarge;
  }
  return HttpError::kBroken;
}

http::request<http::string_body> BuildRequest(const HttpCall& call) {
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(call.method);
  request.target(call.target);
  request.set(http::field::host, ToString(call.address));
  for (const auto& [name, value] : call.headers) request.set(name, value);
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

}  // namespace

// One connection and the parser of the answer that is being read from it.
class HttpConnection {
 public:
  explicit HttpConnection(const asio::any_io_executor& executor) : stream(executor) {}

  // True if the peer has closed the idle connection or sent bytes that nobody asked for.
  bool IsStale() {
    char byte;
    const ssize_t count =
        ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // True if the answer was read to its end and nothing followed it.
  bool IsReusable() const {
    return parser && parser->is_done() && parser->get().keep_alive() && buffer.size() == 0;
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::buffer_body>> parser;
  MonotonicTime idle_since;
};

HttpStream::HttpStream(HttpClient* client, Address address,
                       std::unique_ptr<HttpConnection> connection)
    : client_(client), address_(std::move(address)), connection_(std::move(connection)) {}

HttpStream::~HttpStream() {
  if (connection_->IsReusable()) client_->ReturnIdle(address_, std::move(connection_));
}

int HttpStream::status() const { return connection_->parser->get().result_int(); }

std::string_view HttpStream::header(std::string_view name) const {
  const auto value = connection_->parser->get()[beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

HttpHeaders HttpStream::headers() const {
  HttpHeaders headers;
  for (const auto& field : connection_->parser->get()) {
    headers.emplace_back(field.name_string(), field.value());
  }
  return headers;
}

Task<Result<std::string, HttpError>> HttpStream::Read(MonotonicTime deadline) {
  auto& parser = *connection_->parser;
  std::string bytes;
  while (bytes.empty() && !parser.is_done()) {
    bytes.resize(kReadBytes);
    parser.get().body().data = bytes.data();
    parser.get().body().size = bytes.size();
    connection_->stream.expires_at(deadline);
    boost::system::error_code error;
    co_await http::async_read_some(connection_->stream, connection_->buffer, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      co_return outcome::failure(TranslateError(error));
    }
    bytes.resize(kReadBytes - parser.get().body().size);
  }
  co_return bytes;
}

HttpClient::HttpClient(asio::any_io_executor executor) : executor_(std::move(executor)) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpConnection> HttpClient::TakeIdle(const Address& address) {
  std::vector<std::unique_ptr<HttpConnection>>& pool = idle_[address];
  while (!pool.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(pool.back());
    pool.pop_back();
    const bool fresh = MonotonicNow() - connection->idle_since < kMaxIdleTime;
    if (fresh && !connection->IsStale()) return connection;
  }
  return nullptr;
}

void HttpClient::ReturnIdle(const Address& address, std::unique_ptr<HttpConnection> connection) {
  std::vector<std::unique_ptr<HttpConnection>>& pool = idle_[address];
  if (pool.size() >= kMaxIdlePerAddress) return;
  connection->parser.reset();
  connection->stream.expires_never();
  connection->idle_since = MonotonicNow();
  pool.push_back(std::move(connection));
}

Task<Result<std::unique_ptr<HttpConnection>, HttpError>> HttpClient::Connect(const HttpCall& call) {
  auto connection = std::make_unique<HttpConnection>(executor_);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(call.address.ip, error);
  if (error) co_return outcome::failure(HttpError::kNotSent);
  connection->stream.expires_at(call.deadline);
  co_await connection->stream.async_connect(asio::ip::tcp::endpoint(ip, call.address.port),
                                            asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return outcome::failure(HttpError::kNotSent);
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return connection;
}

// Sends the request and reads the header of the answer.
Task<Result<std::unique_ptr<HttpConnection>, HttpError>> HttpClient::Send(const HttpCall& call) {
  std::unique_ptr<HttpConnection> connection;
  if (call.reuse_connection) connection = TakeIdle(call.address);
  if (connection == nullptr) {
    auto connected = co_await Connect(call);
    if (!connected) co_return outcome::failure(connected.error());
    connection = std::move(connected).value();
  }
  const auto request = BuildRequest(call);
  boost::system::error_code error;
  connection->stream.expires_at(call.deadline);
  co_await http::async_write(connection->stream, request,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return outcome::failure(TranslateError(error));
  connection->parser.emplace();
  connection->parser->header_limit(kMaxHeaderBytes);
  connection->parser->body_limit(boost::none);
  if (call.method == "HEAD") connection->parser->skip(true);
  co_await http::async_read_header(connection->stream, connection->buffer, *connection->parser,
                                   asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return outcome::failure(TranslateError(error));
  co_return connection;
}

Task<Result<std::unique_ptr<HttpStream>, HttpError>> HttpClient::Open(HttpCall call) {
  auto connection = co_await Send(call);
  if (!connection) co_return outcome::failure(connection.error());
  co_return std::make_unique<HttpStream>(this, call.address, std::move(connection).value());
}

Task<Result<HttpReply, HttpError>> HttpClient::Call(HttpCall call) {
  const MonotonicTime deadline = call.deadline;
  auto stream = co_await Open(std::move(call));
  if (!stream) co_return outcome::failure(stream.error());
  HttpReply reply;
  reply.status = stream.value()->status();
  reply.headers = stream.value()->headers();
  for (;;) {
    auto bytes = co_await stream.value()->Read(deadline);
    if (!bytes) co_return outcome::failure(bytes.error());
    if (bytes.value().empty()) break;
    reply.body += bytes.value();
    if (reply.body.size() > kMaxBodyBytes) co_return outcome::failure(HttpError::kTooLarge);
  }
  co_return reply;
}

}  // namespace mimosabend
