#include "http_server.h"

#include <sys/socket.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <limits>

#include "event_loop.h"
#include "http_reader.h"
#include "log.h"
#include "tcp_listener.h"
#include "timer.h"

namespace mimosabend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// How long idle connections may still send a request after the listener was closed.
constexpr std::chrono::seconds kDrainIdleTimeout{1};
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
// Send buffer of a connection if there is a memory limit, in bytes. The system's default grows to
// some MB for each slow caller, and counts toward the memory of the host as well.
constexpr int kSendBufferBytes = 64 * 1024;
// Number of connections above the limit that are accepted only to reject their first request.
constexpr std::size_t kMaxRejectingConnections = 64;
constexpr std::size_t kMaxExtraConnections = kMaxRejectingConnections + kMaxLeavingConnections;
// Number of connections that are accepted at a time, so that reading from those that are open does
// not leave others, and what they have sent, in the queue of the listener.
constexpr std::size_t kAcceptBatch = 64;
// Added to the time for a header, for delays of the network and of this process.
constexpr milliseconds kHeaderTimeMargin{1000};
constexpr char kRejectionRetryAfterSeconds[] = "2";
// Does not say whether the request was executed.
constexpr char kInternalErrorBody[] =
    R"({"error":{"message":"internal error","type":"server_error","param":null,"code":null}})";

constexpr char kNoMemoryBody[] =
    R"({"error":"not run, too much is held for other requests, try again later"})";

// The request without its body.
HttpRequest ConvertHeader(const HttpRequestParser::value_type& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers.reserve(std::distance(message.begin(), message.end()));
  for (const auto& field : message) {
    request.headers.emplace_back(field.name_string(), field.value());
  }
  return request;
}

// HTTP status for a request that could not be read; 0 if the connection is closed without a
// response.
int ReadErrorStatus(HttpReadError error) {
  switch (error) {
    case HttpReadError::kMalformed:
      return 400;
    case HttpReadError::kBodyTooLarge:
      return 413;
    case HttpReadError::kHeaderTooLarge:
    case HttpReadError::kFramingTooLarge:
      return 431;
    case HttpReadError::kNoMemory:
    case HttpReadError::kEvicted:
      return 503;
    case HttpReadError::kClosed:
    case HttpReadError::kBroken:
    case HttpReadError::kTimedOut:
      break;
  }
  return 0;
}

std::string ReadErrorBody(int status) {
  const char* message = status == 431   ? "the request header is too large"
                        : status == 413 ? "the request body is too large"
                        : status == 503 ? "too many connections are open"
                                        : "not a valid HTTP request";
  return std::string(R"({"error":{"message":")") + message +
         R"(","type":"invalid_request_error","param":null,"code":"bad_request"},"outcome":"not_run"})";
}

}  // namespace

class ServerConnection {
 public:
  // With `reject`, the first request gets a 503 response because too many connections are open.
  ServerConnection(HttpServer* server, asio::ip::tcp::socket socket, bool reject);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection();

  Task<void> Run();

  // Cancels the wait for the next request unless a part of it has been received.
  void CloseIfIdle() {
    if (waits_ && Peek() <= 0) stream_.cancel();
  }

  // See Evictable. A connection without a part of a request is closed without a response.
  void Evict(bool with_response) {
    evicted_ = true;
    answers_eviction_ = with_response;
    request_memory_.Release();
    stream_.cancel();
  }
  std::uint64_t held_bytes() const { return request_memory_.bytes(); }

  // A peer that has closed only its sending side does not count as gone: it may still wait for the
  // response.
  bool IsPeerGone() {
    return Peek() < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  }

  Task<bool> WriteHeader(int status, const HttpHeaders& headers) {
    http::response<http::empty_body> response;
    Prepare(&response, status, headers);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    stream_.expires_after(server_->limits_.write_timeout);
    co_await http::async_write_header(stream_, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    chunked_open_ = !error;
    co_return CheckWrite(error);
  }

  Task<bool> WriteWhole(int status, const HttpHeaders& headers, std::string body) {
    http::response<http::string_body> response;
    Prepare(&response, status, headers);
    const std::size_t size = body.size();
    if (!is_head_request_) response.body() = std::move(body);
    response.prepare_payload();
    if (is_head_request_ && size > 0) response.content_length(size);
    http::response_serializer<http::string_body> serializer(response);
    boost::system::error_code error;
    // The timeout applies to each partial write, so that a long response can pass a slow link.
    while (!error && !serializer.is_done()) {
      stream_.expires_after(server_->limits_.write_timeout);
      co_await http::async_write_some(stream_, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    }
    co_return CheckWrite(error);
  }

  Task<bool> WriteChunk(const std::string& bytes) {
    if (is_head_request_) co_return true;
    boost::system::error_code error;
    stream_.expires_after(server_->limits_.write_timeout);
    co_await asio::async_write(stream_, http::make_chunk(asio::buffer(bytes)),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return CheckWrite(error);
  }

  Task<bool> WriteLastChunk() {
    boost::system::error_code error;
    stream_.expires_after(server_->limits_.write_timeout);
    if (!is_head_request_) {
      co_await asio::async_write(stream_, http::make_chunk_last(),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    chunked_open_ = false;
    co_return CheckWrite(error);
  }

  void WatchPeer(std::function<void()> on_closed) {
    peer_watch_ = std::make_shared<std::function<void()>>(std::move(on_closed));
    const std::weak_ptr<std::function<void()>> watch = peer_watch_;
    stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                [this, watch](const boost::system::error_code& error) {
                                  const auto callback = watch.lock();
                                  if (callback == nullptr || error || Peek() > 0) return;
                                  peer_watch_.reset();
                                  (*callback)();
                                });
  }

  MemoryHold* memory() { return &request_memory_; }

  void StopWatchingPeer() {
    if (peer_watch_ == nullptr) return;
    peer_watch_.reset();
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
  }

 private:
  // Returns 1 if data is available, 0 if the peer has closed its sending side, and -1 with errno
  // set if no data is available or the connection is broken.
  ssize_t Peek() {
    char byte;
    return ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  }

  template <class Response>
  void Prepare(Response* response, int status, const HttpHeaders& headers) {
    response->version(11);
    response->result(status);
    for (const auto& [name, value] : headers) response->set(name, value);
    keep_alive_ = keep_alive_ && !server_->closing();
    response->keep_alive(keep_alive_);
  }

  // Returns whether a write succeeded; after a failed one the connection is not kept alive.
  bool CheckWrite(const boost::system::error_code& error) {
    if (error) keep_alive_ = false;
    return !error;
  }

  Task<bool> ReadRequest(std::optional<HttpRequest>* request);
  Task<void> RunHandler(HttpExchange* exchange);
  Task<Result<void, HttpReadError>> ReadHeader(HttpRequestParser* parser);
  Task<Result<HttpRequest, HttpReadError>> ReadMessage();
  bool Admit(std::uint64_t bytes);
  bool HoldReceived(std::uint64_t bytes);
  Task<void> DiscardInput();

  HttpServer* server_;
  std::shared_ptr<HttpServer::Connections> connections_;
  beast::tcp_stream stream_;
  HttpReader reader_;
  bool reject_;
  bool keep_alive_ = true;
  bool chunked_open_ = false;
  // The response to such a request has no body, which would be taken for the next response.
  bool is_head_request_ = false;
  // Whether no byte of the next request has been received.
  bool waits_ = true;
  // Whether it is closed in favour of another connection, and whether it answers before.
  bool evicted_ = false;
  bool answers_eviction_ = false;
  // What the request that is being read or handled holds.
  MemoryHold request_memory_;
  // Callback for a peer that closes its connection; null unless the peer is being watched.
  std::shared_ptr<std::function<void()>> peer_watch_;
};

struct HttpServer::Connections : ConnectionTable<ServerConnection> {};

ServerConnection::ServerConnection(HttpServer* server, asio::ip::tcp::socket socket, bool reject)
    : server_(server),
      connections_(server->connections_),
      stream_(std::move(socket)),
      reader_(server->limits_.header_bytes),
      reject_(reject) {
  connections_->Add(this);
}

ServerConnection::~ServerConnection() { connections_->Remove(this); }

// Holds memory for a request of `bytes` whose header has been read. Returns false without room.
bool ServerConnection::Admit(std::uint64_t bytes) {
  MemoryBudget* budget = server_->memory_;
  if (budget == nullptr) return true;
  const MonotonicTime now = MonotonicNow();
  request_memory_.Release();
  connections_->MakeRoomInMemory(*budget, this, nullptr, bytes, now);
  auto hold = budget->Admit(bytes, now);
  if (!hold) return false;
  request_memory_ = std::move(*hold);
  return true;
}

// Holds memory for the `bytes` that have been read of a request. Returns false without room.
bool ServerConnection::HoldReceived(std::uint64_t bytes) {
  MemoryBudget* budget = server_->memory_;
  if (budget == nullptr || budget->GrowRequest(&request_memory_, bytes)) return true;
  const MonotonicTime now = MonotonicNow();
  connections_->MakeRoomInMemory(*budget, this, &request_memory_, bytes, now);
  if (budget->GrowRequest(&request_memory_, bytes)) return true;
  budget->RecordRefusal(now);
  return false;
}

// Reads a header within the time for it, which begins with its first byte.
Task<Result<void, HttpReadError>> ServerConnection::ReadHeader(HttpRequestParser* parser) {
  const HttpLimits& limits = server_->limits_;
  parser->header_limit(limits.header_bytes);
  parser->body_limit(limits.body_bytes);
  reader_.set_max_framing_bytes(limits.header_bytes);
  reader_.LimitBuffer(limits.header_bytes);
  // A response whose header was sent before StopAccepting did not carry "Connection: close", so the
  // client may keep the connection open.
  const bool short_wait = server_->stopping() || reject_;
  stream_.expires_after(short_wait ? kDrainIdleTimeout : limits.idle_timeout);
  connections_->SetReceiving(this, MonotonicNow());
  waits_ = reader_.empty();
  auto begun = co_await reader_.AwaitMessage(&stream_);
  if (!begun) co_return outcome::failure(begun.error());
  waits_ = false;
  if (evicted_) co_return outcome::failure(HttpReadError::kEvicted);
  connections_->SetReceiving(this, MonotonicNow());
  if (!short_wait) stream_.expires_after(server_->limits_.header_timeout + kHeaderTimeMargin);
  if (server_->memory_ != nullptr) {
    request_memory_ = server_->memory_->Open(MemoryKind::kRequests, "");
  }
  HeaderHold hold = [this](std::uint64_t bytes) { return HoldReceived(bytes); };
  auto header = co_await reader_.ReadHeader(&stream_, parser, std::move(hold));
  co_return header;
}

// Reads the next message. Its headers are those of its header section: fields in the trailers could
// otherwise replace what the request has been checked for.
Task<Result<HttpRequest, HttpReadError>> ServerConnection::ReadMessage() {
  is_head_request_ = false;
  HttpRequestParser parser;
  auto header = co_await ReadHeader(&parser);
  if (evicted_) co_return outcome::failure(HttpReadError::kEvicted);
  if (!header) co_return outcome::failure(header.error());
  HttpRequest request = ConvertHeader(parser.get());
  request.arrival = MonotonicNow();
  keep_alive_ = parser.keep_alive();
  is_head_request_ = request.method == "HEAD";
  const std::uint64_t header_bytes = reader_.header_memory();
  const bool admitted = Admit(header_bytes + parser.content_length().value_or(0));
  if (!admitted) co_return outcome::failure(HttpReadError::kNoMemory);
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    http::response<http::empty_body> interim{http::status::continue_, 11};
    boost::system::error_code error;
    co_await http::async_write(stream_, interim, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return outcome::failure(HttpReadError::kBroken);
  }
  stream_.expires_after(server_->limits_.idle_timeout);
  while (!parser.is_done()) {
    auto read = co_await reader_.ReadSome(&stream_, &parser);
    if (evicted_) co_return outcome::failure(HttpReadError::kEvicted);
    if (!read) co_return outcome::failure(read.error());
    const bool held = HoldReceived(header_bytes + parser.get().body().size());
    if (!held) co_return outcome::failure(HttpReadError::kNoMemory);
  }
  reader_.ReleaseBuffer();
  request.body = std::move(parser.get().body());
  co_return request;
}

// Reads the next request, and rejects one that is not valid. Returns false if the connection is to
// be closed.
Task<bool> ServerConnection::ReadRequest(std::optional<HttpRequest>* request) {
  auto message = co_await ReadMessage();
  connections_->SetBusy(this);
  if (message) {
    *request = std::move(message).value();
    co_return true;
  }
  keep_alive_ = false;
  const int status = ReadErrorStatus(message.error());
  request_memory_.Release();
  // The client may send a request again that nothing has been received of.
  answers_eviction_ = answers_eviction_ && (!waits_ || Peek() > 0);
  if (status == 0 || (evicted_ && !answers_eviction_)) co_return false;
  const bool no_room = evicted_ || message.error() == HttpReadError::kNoMemory;
  if (no_room) {
    // The budget and the connection table count and log these.
    HttpHeaders headers{{"Content-Type", "application/json"},
                        {"Retry-After", kRejectionRetryAfterSeconds}};
    co_await WriteWhole(status, headers, kNoMemoryBody);
    co_return false;
  }
  ++server_->rejected_requests_;
  LOG4CPLUS_INFO(Log(), "request rejected, status=" << status << " error=\""
                                                    << kHttpReadErrorNames[message.error()]
                                                    << "\"");
  HttpHeaders headers{{"Content-Type", "application/json"}};
  co_await WriteWhole(status, headers, ReadErrorBody(status));
  co_return false;
}

// Lets the handler answer a request. One that fails ends its connection and no other.
Task<void> ServerConnection::RunHandler(HttpExchange* exchange) {
  bool failed = false;
  try {
    co_await server_->handler_(*exchange);
  } catch (const std::exception& error) {
    ReportException("handler of a request", error);
    failed = true;
  }
  if (!failed) co_return;
  keep_alive_ = false;
  if (exchange->answered()) co_return;
  HttpHeaders headers{{"Content-Type", "application/json"}};
  co_await exchange->Reply(500, std::move(headers), kInternalErrorBody);
}

Task<void> ServerConnection::Run() {
  boost::system::error_code ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  while (keep_alive_) {
    std::optional<HttpRequest> request;
    const bool read = co_await ReadRequest(&request);
    if (!read) break;
    if (reject_) {
      keep_alive_ = false;
      HttpHeaders headers{{"Content-Type", "application/json"},
                          {"Retry-After", kRejectionRetryAfterSeconds}};
      co_await WriteWhole(503, headers, ReadErrorBody(503));
      break;
    }
    HttpExchange exchange(this, std::move(*request));
    co_await RunHandler(&exchange);
    StopWatchingPeer();
    request_memory_.Release();
    // A handler sends no response only if the client has disconnected.
    if (!exchange.answered() || chunked_open_) break;
  }
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  if (chunked_open_ || (evicted_ && !answers_eviction_)) co_return;
  co_await DiscardInput();
}

// Discards what the client still sends, up to the size of a body: closing with unread data would
// send a reset, which can destroy a response that the client has not read yet.
Task<void> ServerConnection::DiscardInput() {
  const MonotonicTime start = MonotonicNow();
  connections_->SetClosing(this, start);
  evicted_ = false;
  std::array<char, 4096> discarded;
  std::uint64_t bytes = 0;
  boost::system::error_code error;
  while (!error && !evicted_ && bytes <= server_->limits_.body_bytes) {
    const milliseconds most =
        server_->closing() ? milliseconds(kDrainIdleTimeout) : server_->limits_.idle_timeout;
    if (MonotonicNow() - start >= most) break;
    stream_.expires_after(kDrainIdleTimeout);
    bytes += co_await stream_.async_read_some(asio::buffer(discarded),
                                              asio::redirect_error(asio::use_awaitable, error));
  }
}

Task<bool> HttpExchange::Reply(int status, HttpHeaders headers, std::string body) {
  assert(!answered_);
  answered_ = true;
  whole_response_bytes_ = body.size();
  co_return co_await connection_->WriteWhole(status, headers, std::move(body));
}

Task<bool> HttpExchange::StartStream(int status, HttpHeaders headers) {
  assert(!answered_);
  answered_ = true;
  co_return co_await connection_->WriteHeader(status, headers);
}

Task<bool> HttpExchange::Write(std::string bytes) {
  if (bytes.empty()) co_return true;  // An empty chunk would end the stream.
  co_return co_await connection_->WriteChunk(bytes);
}

Task<bool> HttpExchange::FinishStream() { co_return co_await connection_->WriteLastChunk(); }

MemoryHold* HttpExchange::memory() { return connection_->memory(); }

bool HttpExchange::IsCallerGone() const { return connection_->IsPeerGone(); }

void HttpExchange::WatchCaller(std::function<void()> on_closed) {
  connection_->WatchPeer(std::move(on_closed));
}

void HttpExchange::StopWatchingCaller() { connection_->StopWatchingPeer(); }

HttpServer::HttpServer(asio::any_io_executor executor, HttpLimits limits, HttpHandler handler)
    : executor_(std::move(executor)),
      limits_(limits),
      handler_(std::move(handler)),
      acceptor_(executor_),
      connections_(std::make_shared<Connections>()) {}

HttpServer::~HttpServer() = default;

std::size_t HttpServer::open_connections() const { return connections_->open(); }

std::uint64_t HttpServer::evictions(EvictionCause cause) const {
  return connections_->log().evictions(cause);
}

void HttpServer::SetReceiveBuffer(int bytes) {
  receive_buffer_ = bytes;
  boost::system::error_code ignored;
  if (acceptor_.is_open()) {
    acceptor_.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
  }
}

Result<std::uint16_t, std::string> HttpServer::Listen(const Address& address) {
  auto port = OpenListener(address, receive_buffer_, &acceptor_);
  if (port) SpawnDetached(executor_, "listener", Accept());
  return port;
}

void HttpServer::StopAccepting() {
  stopping_ = true;
  // Closing the listener resets the connections in its queue.
  AcceptQueued(std::numeric_limits<std::size_t>::max());
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  SpawnDetached(executor_, "closing of idle connections", CloseIdleConnections());
}

// Waits kDrainIdleTimeout before, for requests that were sent before the client saw the close.
Task<void> HttpServer::CloseIdleConnections() {
  Timer timer(executor_, kDrainIdleTimeout);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  for (ServerConnection* connection : connections_->receiving()) connection->CloseIfIdle();
}

// Accepts connections that are in the listener's queue.
void HttpServer::AcceptQueued(std::size_t most) {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  for (std::size_t i = 0; !error && i < most; ++i) {
    asio::ip::tcp::socket socket(executor_);
    acceptor_.accept(socket, error);
    if (!error) Admit(std::move(socket));
  }
}

void HttpServer::Admit(asio::ip::tcp::socket socket) {
  const bool reject = !connections_->MakeRoomForConnection(limits_.connections, MonotonicNow());
  if (reject) ++rejected_requests_;
  if (connections_->open() >= limits_.connections + kMaxExtraConnections) return;
  if (memory_ != nullptr && memory_->limit() > 0) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
  }
  auto connection = std::make_unique<ServerConnection>(this, std::move(socket), reject);
  SpawnDetached(executor_, "connection of a caller", Serve(std::move(connection)));
}

Task<void> HttpServer::Accept() {
  while (!stopping_) {
    boost::system::error_code error;
    asio::ip::tcp::socket socket(executor_);
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      // For example out of file descriptors: retry after some may have been closed.
      if (stopping_) co_return;
      Timer timer(executor_, kAcceptRetryDelay);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    Admit(std::move(socket));
    AcceptQueued(kAcceptBatch);
  }
}

Task<void> HttpServer::Serve(std::unique_ptr<ServerConnection> connection) {
  co_await connection->Run();
}

}  // namespace mimosabend
