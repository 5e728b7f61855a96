#include "http_client.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

#include "event_loop.h"
#include "http_reader.h"
#include "timer.h"

namespace mimosabend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kMaxIdlePerAddress = 64;
// Below the idle timeout of common servers, so that the peer rarely closes a reused connection
// while a request is being sent.
constexpr std::chrono::seconds kMaxIdleTimeout{10};
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::uint64_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 32 * 1024;
// Responses with a status below 200 that may precede the final one.
constexpr int kMaxInterimResponses = 16;
// Responses with another status are malformed.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kMaxStatus = 599;
// Pause between two checks whether the memory budget has room.
constexpr milliseconds kRoomPollPeriod{20};
// Longest size line of a chunk with its extensions, and longest trailers.
constexpr std::size_t kMaxFramingBytes = 16 * 1024;

HttpError TranslateWriteError(const boost::system::error_code& error) {
  return error == beast::error::timeout ? HttpError::kTimedOut : HttpError::kBroken;
}

HttpError TranslateReadError(HttpReadError error) {
  switch (error) {
    case HttpReadError::kTimedOut:
      return HttpError::kTimedOut;
    case HttpReadError::kHeaderTooLarge:
    case HttpReadError::kBodyTooLarge:
    case HttpReadError::kFramingTooLarge:
      return HttpError::kTooLarge;
    case HttpReadError::kMalformed:
      return HttpError::kMalformed;
    case HttpReadError::kClosed:
    case HttpReadError::kBroken:
    case HttpReadError::kNoMemory:
    case HttpReadError::kEvicted:
      break;
  }
  return HttpError::kBroken;
}

// How long a connection may stay idle before the peer closes it: N - 1 seconds for a header
// "Keep-Alive: timeout=N", where the second allows for the latency of the next request, at most
// kMaxIdleTimeout. Returns kMaxIdleTimeout if the header has no timeout.
milliseconds PeerIdleTimeout(std::string_view header) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t start = header.find(kName);
  if (start == std::string_view::npos) return kMaxIdleTimeout;
  int value = 0;
  const std::string_view number = header.substr(start + kName.size());
  const auto parsed = std::from_chars(number.data(), number.data() + number.size(), value);
  if (parsed.ec != std::errc()) return kMaxIdleTimeout;
  return std::min<milliseconds>(kMaxIdleTimeout, seconds(std::max(0, value - 1)));
}

void SetSocketOptions(int socket, const HttpClientOptions& options) {
  if (options.unacknowledged_timeout.count() > 0) {
    const auto timeout = static_cast<unsigned>(options.unacknowledged_timeout.count());
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  }
  if (options.keep_alive.count() > 0) {
    const int on = 1;
    const int period = static_cast<int>(options.keep_alive.count());
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &period, sizeof period);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &period, sizeof period);
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &on, sizeof on);
  }
}

// Whether a response with this status precedes the final one.
bool IsInterim(unsigned status) { return status < 200; }

// The client never asks to switch protocols.
bool IsValidStatus(unsigned status) {
  return status >= kMinStatus && status <= kMaxStatus && status != kSwitchingProtocols;
}

// Moves the body out of `call`.
http::request<http::string_body> BuildRequest(HttpCall* moved) {
  HttpCall& call = *moved;
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(call.method);
  request.target(call.target);
  request.set(http::field::host, ToString(call.address));
  for (const auto& [name, value] : call.headers) request.set(name, value);
  request.body() = std::move(call.body);
  request.prepare_payload();
  return request;
}

enum class UploadState : std::uint8_t { kWriting, kWritten, kFailed };

// A request with a body, which is written while its response is read.
struct Upload {
  explicit Upload(http::request<http::string_body> message)
      : request(std::move(message)), serializer(request) {}

  http::request<http::string_body> request;
  http::request_serializer<http::string_body> serializer;
  UploadState state = UploadState::kWriting;
};

// Writes what fits into the system's buffer. Most requests end here.
void WriteAvailable(asio::ip::tcp::socket* socket, Upload* upload) {
  boost::system::error_code error;
  if (!socket->non_blocking()) socket->non_blocking(true, error);
  while (!error && !upload->serializer.is_done()) {
    http::write_some(*socket, upload->serializer, error);
  }
  if (error == asio::error::would_block) return;
  upload->state = error ? UploadState::kFailed : UploadState::kWritten;
}

// Writes the rest. Has no time limit of its own: the reader closes the stream at its deadline.
Task<void> WriteRest(std::shared_ptr<beast::tcp_stream> stream, std::shared_ptr<Upload> upload) {
  boost::system::error_code error;
  co_await http::async_write(stream->socket(), upload->serializer,
                             asio::redirect_error(asio::use_awaitable, error));
  upload->state = error ? UploadState::kFailed : UploadState::kWritten;
}

// Whether the peer has closed its side without a reset and after it had received all that was sent.
// An end of file does not show this: a reset may have been reported to a write before, and a peer
// that closes while a part of the request is on its way sends its reset only when that arrives.
bool EndedCleanly(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  int unacknowledged = 0;
  // Where the system does not tell the state, only failed reads and writes show a reset.
  const int result = ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size);
  if (result == 0 && info.tcpi_state != 0 && info.tcpi_state != TCP_CLOSE_WAIT) return false;
  return ::ioctl(socket, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

}  // namespace

// One connection and the parser of the response that is being read from it.
class HttpConnection {
 public:
  explicit HttpConnection(const asio::any_io_executor& executor)
      : stream(std::make_shared<beast::tcp_stream>(executor)) {}
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection() {
    Detach();
    // Ends the coroutine that writes the upload.
    if (upload != nullptr) stream->close();
  }

  void Attach(std::shared_ptr<HttpCanceller> new_canceller) {
    canceller = std::move(new_canceller);
    if (canceller != nullptr) canceller->connection_ = this;
  }

  void Detach() {
    if (canceller != nullptr) canceller->connection_ = nullptr;
    canceller.reset();
  }

  // True if the peer has closed the idle connection or sent unsolicited bytes.
  bool IsStale() {
    char byte;
    const ssize_t count =
        ::recv(stream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // True if the response was read to its end, allows keep-alive, no bytes followed it, and the
  // request was written as a whole.
  bool IsReusable() const {
    return IsRequestWritten() && parser && parser->is_done() && parser->get().keep_alive() &&
           reader.empty();
  }

  // Begins to write a request. Its response can be read at once.
  void StartUpload(http::request<http::string_body> request) {
    upload = std::make_shared<Upload>(std::move(request));
    WriteAvailable(&stream->socket(), upload.get());
    if (upload->state != UploadState::kWriting) return;
    SpawnDetached(stream->get_executor(), "upload", WriteRest(stream, upload));
  }

  bool IsRequestWritten() const {
    return upload == nullptr || upload->state == UploadState::kWritten;
  }

  // Whether the response, which has been read to its end, was truncated there. Without a length or
  // chunks, only the end of its connection marks its end.
  bool IsTruncated() {
    if (!parser->need_eof()) return false;
    return !IsRequestWritten() || !EndedCleanly(stream->socket().native_handle());
  }

  // Shared with the coroutine that writes the upload.
  std::shared_ptr<beast::tcp_stream> stream;
  // Null unless the request has a body.
  std::shared_ptr<Upload> upload;
  HttpReader reader{kMaxFramingBytes};
  std::optional<HttpResponseParser> parser;
  MonotonicTime idle_since;
  // How long the peer keeps the connection open while idle.
  milliseconds peer_idle_timeout{kMaxIdleTimeout};
  std::shared_ptr<HttpCanceller> canceller;
};

void HttpCanceller::Cancel() {
  cancelled_ = true;
  if (connection_ != nullptr) connection_->stream->close();
}

HttpStream::HttpStream(HttpClient* client, Address address,
                       std::unique_ptr<HttpConnection> connection,
                       std::shared_ptr<MemoryHold> memory)
    : client_(client),
      address_(std::move(address)),
      connection_(std::move(connection)),
      memory_(std::move(memory)) {}

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

bool HttpStream::ends_with_connection() const { return connection_->parser->need_eof(); }

Task<Result<std::string, HttpError>> HttpStream::Read(MonotonicTime deadline) {
  auto& parser = *connection_->parser;
  std::string bytes;
  while (bytes.empty() && !parser.is_done()) {
    // While data is always available, the read completes immediately and the timer never fires.
    if (MonotonicNow() >= deadline) co_return outcome::failure(HttpError::kTimedOut);
    bytes.resize(kReadBytes);
    parser.get().body().data = bytes.data();
    parser.get().body().size = bytes.size();
    connection_->stream->expires_at(deadline);
    auto read = co_await connection_->reader.ReadSome(connection_->stream.get(), &parser);
    if (!read) co_return outcome::failure(TranslateReadError(read.error()));
    if (parser.is_done() && connection_->IsTruncated()) {
      co_return outcome::failure(HttpError::kBroken);
    }
    bytes.resize(kReadBytes - parser.get().body().size);
  }
  co_return bytes;
}

// Waits until the budget has room for further bytes of the body. What waits stays in the system's
// buffers and at the peer.
Task<Result<void, HttpError>> HttpStream::HoldMemory(std::uint64_t bytes, MonotonicTime deadline) {
  while (memory_ != nullptr) {
    const MemoryResult result = memory_->TryGrow(bytes);
    if (result == MemoryResult::kHeld) break;
    if (result == MemoryResult::kTooLarge) co_return outcome::failure(HttpError::kTooLarge);
    if (MonotonicNow() >= deadline) co_return outcome::failure(HttpError::kTimedOut);
    // The call has been cancelled.
    if (!connection_->stream->socket().is_open()) co_return outcome::failure(HttpError::kBroken);
    Timer timer(client_->executor(), kRoomPollPeriod);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return outcome::success();
}

Task<Result<std::string, HttpError>> HttpStream::ReadAll(MonotonicTime deadline) {
  std::string body;
  // A body whose length is known is held at once, so that two that are read in part can't keep each
  // other from their end.
  const auto length = connection_->parser->content_length();
  const bool holds_all = memory_ != nullptr && length && !connection_->parser->is_done();
  if (holds_all) {
    auto held = co_await HoldMemory(std::min<std::uint64_t>(*length, kMaxBodyBytes), deadline);
    if (!held) co_return outcome::failure(held.error());
    // A string that grows takes up to three times its size.
    body.reserve(std::min<std::uint64_t>(*length, kMaxBodyBytes));
  }
  for (;;) {
    auto bytes = co_await Read(deadline);
    if (!bytes) co_return outcome::failure(bytes.error());
    if (bytes.value().empty()) co_return body;
    if (!holds_all) {
      auto held = co_await HoldMemory(bytes.value().size(), deadline);
      if (!held) co_return outcome::failure(held.error());
    }
    body += bytes.value();
    if (body.size() > kMaxBodyBytes) co_return outcome::failure(HttpError::kTooLarge);
  }
}

HttpClient::HttpClient(asio::any_io_executor executor, HttpClientOptions options)
    : executor_(std::move(executor)), options_(options) {}

HttpClient::~HttpClient() = default;

void HttpClient::CloseIdle(const Address& address) { idle_.erase(address); }

std::unique_ptr<HttpConnection> HttpClient::TakeIdle(const Address& address,
                                                     milliseconds max_idle) {
  std::vector<std::unique_ptr<HttpConnection>>& pool = idle_[address];
  while (!pool.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(pool.back());
    pool.pop_back();
    const milliseconds limit = std::min(max_idle, connection->peer_idle_timeout);
    const bool usable = MonotonicNow() - connection->idle_since < limit;
    if (usable && !connection->IsStale()) return connection;
  }
  return nullptr;
}

void HttpClient::ReturnIdle(const Address& address, std::unique_ptr<HttpConnection> connection) {
  std::vector<std::unique_ptr<HttpConnection>>& pool = idle_[address];
  if (pool.size() >= kMaxIdlePerAddress) return;
  const auto keep_alive = connection->parser->get()[http::field::keep_alive];
  connection->peer_idle_timeout = PeerIdleTimeout({keep_alive.data(), keep_alive.size()});
  connection->Detach();
  connection->parser.reset();
  connection->upload.reset();
  connection->stream->expires_never();
  connection->idle_since = MonotonicNow();
  pool.push_back(std::move(connection));
}

Task<Result<std::unique_ptr<HttpConnection>, HttpError>> HttpClient::Connect(const HttpCall& call) {
  auto connection = std::make_unique<HttpConnection>(executor_);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(call.address.ip, error);
  if (error) co_return outcome::failure(HttpError::kNotSent);
  ++connections_opened_;
  connection->Attach(call.canceller);
  connection->stream->expires_at(std::min(call.deadline, MonotonicNow() + call.connect_timeout));
  co_await connection->stream->async_connect(asio::ip::tcp::endpoint(ip, call.address.port),
                                             asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return outcome::failure(HttpError::kNotSent);
  SetSocketOptions(connection->stream->socket().native_handle(), options_);
  connection->stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return connection;
}

Task<Reachability> HttpClient::Probe(Address address, milliseconds timeout) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  if (error) co_return Reachability::kSilent;
  ++connections_opened_;
  beast::tcp_stream stream(executor_);
  stream.expires_at(MonotonicNow() + timeout);
  co_await stream.async_connect(asio::ip::tcp::endpoint(ip, address.port),
                                asio::redirect_error(asio::use_awaitable, error));
  if (!error) co_return Reachability::kAccepts;
  // A reset comes from a process, for example one that has reached its limit of connections.
  if (error == asio::error::connection_reset) co_return Reachability::kAccepts;
  const bool refused = error == asio::error::connection_refused;
  co_return refused ? Reachability::kRefuses : Reachability::kSilent;
}

// Sends the request and reads the header of the final response.
Task<Result<std::unique_ptr<HttpConnection>, HttpError>> HttpClient::Send(HttpCall* sent) {
  HttpCall& call = *sent;
  std::unique_ptr<HttpConnection> connection;
  if (call.canceller != nullptr && call.canceller->cancelled()) {
    co_return outcome::failure(HttpError::kNotSent);
  }
  if (call.reuse_connection) connection = TakeIdle(call.address, call.max_idle);
  if (connection == nullptr) {
    auto connected = co_await Connect(call);
    if (!connected) co_return outcome::failure(connected.error());
    connection = std::move(connected).value();
  } else {
    connection->Attach(call.canceller);
  }
  if (MonotonicNow() >= call.send_by) co_return outcome::failure(HttpError::kNotSent);
  connection->stream->expires_at(call.deadline);
  if (call.body.empty()) {
    const auto request = BuildRequest(&call);
    boost::system::error_code error;
    co_await http::async_write(*connection->stream, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return outcome::failure(TranslateWriteError(error));
  } else {
    // A failed write does not end the call: the response may have arrived before.
    connection->StartUpload(BuildRequest(&call));
  }
  for (int heads = 0; heads <= kMaxInterimResponses; ++heads) {
    connection->parser.emplace();
    connection->parser->header_limit(kMaxHeaderBytes);
    connection->parser->body_limit(boost::none);
    if (call.method == "HEAD") connection->parser->skip(true);
    HeaderHold no_limit;
    auto read = co_await connection->reader.ReadHeader(connection->stream.get(),
                                                       &*connection->parser, std::move(no_limit));
    if (!read) co_return outcome::failure(TranslateReadError(read.error()));
    const unsigned status = connection->parser->get().result_int();
    if (!IsValidStatus(status)) co_return outcome::failure(HttpError::kMalformed);
    if (!IsInterim(status)) co_return connection;
  }
  co_return outcome::failure(HttpError::kTooLarge);
}

Task<Result<std::unique_ptr<HttpStream>, HttpError>> HttpClient::Open(HttpCall call) {
  auto connection = co_await Send(&call);
  if (!connection) co_return outcome::failure(connection.error());
  co_return std::make_unique<HttpStream>(this, call.address, std::move(connection).value(),
                                         call.memory);
}

Task<Result<HttpReply, HttpError>> HttpClient::Call(HttpCall call) {
  const MonotonicTime deadline = call.deadline;
  auto stream = co_await Open(std::move(call));
  if (!stream) co_return outcome::failure(stream.error());
  HttpReply reply;
  reply.status = stream.value()->status();
  reply.headers = stream.value()->headers();
  reply.memory = stream.value()->memory();
  auto body = co_await stream.value()->ReadAll(deadline);
  if (!body) co_return outcome::failure(body.error());
  reply.body = std::move(body).value();
  co_return reply;
}

}  // namespace mimosabend
