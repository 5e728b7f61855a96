#include "peer_transport.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "connection_table.h"
#include "event_loop.h"
#include "memory_budget.h"
#include "supervisor.h"
#include "tcp_listener.h"

namespace mimosabend {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;
constexpr std::size_t kLengthPrefixBytes = 4;
// Memory for the first part of a frame; most frames are smaller, and are received at once.
constexpr std::size_t kMinReadBytes = 64 * 1024;
constexpr std::size_t kMaxIdleConnectionsPerPeer = 16;
constexpr std::size_t kDefaultConnections = 4096;
constexpr std::uint64_t kDefaultFrameMemory = 32 << 20;
// The client stops reusing an idle connection well before the server closes it, so that no request
// is sent on a connection that is just being closed.
constexpr seconds kServerIdleTimeout{60};
constexpr seconds kClientIdleTimeout{30};
constexpr seconds kWriteTimeout{5};
constexpr milliseconds kAcceptRetryDelay{50};

// Frames a message with its length in big-endian order.
std::string AddLengthPrefix(std::string_view bytes) {
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame += static_cast<char>((bytes.size() >> shift) & 0xff);
  }
  frame += bytes;
  return frame;
}

// Called before memory of so many bytes is taken for a frame. Returns false if there is no room.
using FrameHold = std::function<bool(std::uint64_t bytes)>;

// Reads one frame. `hold` may be empty. Precondition: the stream's timeout has been set.
Task<Result<std::string, PeerError>> ReadFrame(beast::tcp_stream* stream, FrameHold hold) {
  boost::system::error_code error;
  std::array<unsigned char, kLengthPrefixBytes> prefix;
  co_await asio::async_read(*stream, asio::buffer(prefix),
                            asio::redirect_error(asio::use_awaitable, error));
  if (error == beast::error::timeout) co_return outcome::failure(PeerError::kTimedOut);
  if (error) co_return outcome::failure(PeerError::kBroken);
  std::size_t length = 0;
  for (unsigned char byte : prefix) length = (length << 8) | byte;
  if (length > kMaxFrameBytes) co_return outcome::failure(PeerError::kMalformed);
  // Takes memory for what has been received, and not for what is announced.
  std::string frame;
  while (!error && frame.size() < length) {
    const std::size_t received = frame.size();
    const std::size_t size = std::min(length, std::max(kMinReadBytes, 2 * received));
    const bool held = !hold || hold(size);
    if (!held) co_return outcome::failure(PeerError::kNoRoom);
    frame.resize(size);
    co_await asio::async_read(*stream, asio::buffer(frame) + received,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  if (error == beast::error::timeout) co_return outcome::failure(PeerError::kTimedOut);
  if (error) co_return outcome::failure(PeerError::kTruncated);
  co_return frame;
}

void CountSent(Metrics* metrics, std::size_t bytes) {
  metrics->peer_messages_sent_total->Increment();
  metrics->peer_bytes_sent_total->Increment(static_cast<double>(bytes));
}

void CountReceived(Metrics* metrics, std::size_t bytes) {
  metrics->peer_messages_received_total->Increment();
  metrics->peer_bytes_received_total->Increment(static_cast<double>(bytes));
}

}  // namespace

struct PeerClient::Connection {
  explicit Connection(const asio::any_io_executor& executor) : stream(executor) {}

  // True if an idle connection must not be reused: the peer closed it or sent something unasked, or
  // it has been idle for too long.
  bool IsStale(MonotonicTime now) {
    char byte;
    const ssize_t count =
        ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool open_without_data = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return !open_without_data || now - idle_since > kClientIdleTimeout;
  }

  beast::tcp_stream stream;
  MonotonicTime idle_since;
};

PeerClient::PeerClient(asio::any_io_executor executor, PeerIdentity identity, Metrics* metrics)
    : executor_(std::move(executor)), identity_(std::move(identity)), metrics_(metrics) {}

PeerClient::~PeerClient() = default;

std::unique_ptr<PeerClient::Connection> PeerClient::TakeIdle(const Address& peer) {
  std::vector<std::unique_ptr<Connection>>& pool = idle_[peer];
  while (!pool.empty()) {
    std::unique_ptr<Connection> connection = std::move(pool.back());
    pool.pop_back();
    if (!connection->IsStale(MonotonicNow())) return connection;
  }
  return nullptr;
}

Task<Result<Envelope, PeerError>> PeerClient::ExchangeOnce(Address peer, const Envelope& request,
                                                           milliseconds timeout) {
  if (identity_.blocked_peers.contains(peer)) co_return outcome::failure(PeerError::kNotSent);
  std::unique_ptr<Connection> connection = TakeIdle(peer);
  boost::system::error_code error;
  const MonotonicTime deadline = MonotonicNow() + timeout;
  if (connection == nullptr) {
    connection = std::make_unique<Connection>(executor_);
    connection->stream.expires_at(deadline);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(peer.ip), peer.port);
    co_await connection->stream.async_connect(endpoint,
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return outcome::failure(PeerError::kNotSent);
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  }
  const std::string frame = AddLengthPrefix(EncodeEnvelope(request, identity_.shared_key));
  connection->stream.expires_at(deadline);
  co_await asio::async_write(connection->stream, asio::buffer(frame),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return outcome::failure(PeerError::kBroken);
  CountSent(metrics_, frame.size());
  FrameHold no_limit;
  auto reply = co_await ReadFrame(&connection->stream, std::move(no_limit));
  if (!reply) co_return outcome::failure(reply.error());
  CountReceived(metrics_, reply.value().size() + kLengthPrefixBytes);
  auto envelope = DecodeEnvelope(reply.value(), identity_.shared_key, WallNow());
  if (!envelope) co_return outcome::failure(envelope.error());
  // A late answer to another request must not be returned for this one.
  if (envelope.value().correlation_id != request.correlation_id) {
    co_return outcome::failure(PeerError::kMalformed);
  }
  connection->stream.expires_never();
  connection->idle_since = MonotonicNow();
  std::vector<std::unique_ptr<Connection>>& pool = idle_[peer];
  if (pool.size() < kMaxIdleConnectionsPerPeer) pool.push_back(std::move(connection));
  co_return std::move(envelope).value();
}

Task<Result<Envelope, PeerError>> PeerClient::Exchange(Address peer, Envelope request,
                                                       milliseconds timeout) {
  auto reply = co_await ExchangeOnce(std::move(peer), request, timeout);
  if (!reply) metrics_->CountPeerError(reply.error());
  co_return reply;
}

// A connection from another daemon.
class PeerServer::Connection {
 public:
  Connection(std::shared_ptr<State> state, asio::ip::tcp::socket socket);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  // Receives the next frame, which holds its memory until the next call.
  Task<Result<std::string, PeerError>> Receive();

  // See Evictable. There are no responses to frames that are not complete.
  void Evict(bool) {
    evicted_ = true;
    memory_.Release();
    stream_.cancel();
  }
  std::uint64_t held_bytes() const { return memory_.bytes(); }

  beast::tcp_stream* stream() { return &stream_; }

 private:
  bool HoldFrame(std::uint64_t bytes);

  std::shared_ptr<State> state_;
  beast::tcp_stream stream_;
  MemoryHold memory_;
  bool evicted_ = false;
};

struct PeerServer::State {
  ConnectionTable<Connection> connections;
  MemoryBudget frames{kDefaultFrameMemory};
};

PeerServer::Connection::Connection(std::shared_ptr<State> state, asio::ip::tcp::socket socket)
    : state_(std::move(state)), stream_(std::move(socket)) {
  state_->connections.Add(this);
}

PeerServer::Connection::~Connection() { state_->connections.Remove(this); }

bool PeerServer::Connection::HoldFrame(std::uint64_t bytes) {
  const MonotonicTime now = MonotonicNow();
  // The time of a frame begins with its first bytes.
  if (memory_.bytes() == 0) state_->connections.SetReceiving(this, now);
  if (state_->frames.GrowRequest(&memory_, bytes)) return true;
  state_->connections.MakeRoomInMemory(state_->frames, this, &memory_, bytes, now);
  return state_->frames.GrowRequest(&memory_, bytes);
}

Task<Result<std::string, PeerError>> PeerServer::Connection::Receive() {
  state_->connections.SetReceiving(this, MonotonicNow());
  memory_ = state_->frames.Open(MemoryKind::kRequests, "");
  stream_.expires_after(kServerIdleTimeout);
  FrameHold hold = [this](std::uint64_t bytes) { return HoldFrame(bytes); };
  auto frame = co_await ReadFrame(&stream_, std::move(hold));
  if (evicted_) co_return outcome::failure(PeerError::kNoRoom);
  state_->connections.SetBusy(this);
  co_return frame;
}

PeerServer::PeerServer(asio::any_io_executor executor, PeerIdentity identity, Metrics* metrics,
                       PeerHandler handler)
    : executor_(std::move(executor)),
      identity_(std::move(identity)),
      metrics_(metrics),
      handler_(std::move(handler)),
      acceptor_(executor_),
      max_connections_(kDefaultConnections),
      state_(std::make_shared<State>()) {}

PeerServer::~PeerServer() = default;

void PeerServer::SetLimits(std::uint64_t frame_bytes, std::size_t connections) {
  state_->frames.set_limit(frame_bytes);
  max_connections_ = connections;
}

Result<void, std::string> PeerServer::Listen(const Address& address) {
  auto port = OpenListener(address, std::nullopt, &acceptor_);
  if (!port) return outcome::failure(port.error());
  SpawnDetached(executor_, "listener for daemons", Accept());
  return outcome::success();
}

void PeerServer::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

Task<void> PeerServer::Accept() {
  while (acceptor_.is_open()) {
    boost::system::error_code error;
    asio::ip::tcp::socket socket(executor_);
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      if (acceptor_.is_open()) co_await Sleep(kAcceptRetryDelay);
    } else if (state_->connections.MakeRoomForConnection(max_connections_, MonotonicNow())) {
      auto connection = std::make_unique<Connection>(state_, std::move(socket));
      SpawnDetached(executor_, "connection of a daemon", Serve(std::move(connection)));
    } else {
      metrics_->CountPeerError(PeerError::kNoRoom);
    }
  }
}

Task<void> PeerServer::Serve(std::unique_ptr<Connection> connection) {
  boost::system::error_code ignored;
  connection->stream()->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  bool open = true;
  while (open) open = co_await ServeRequest(connection.get());
}

// Receives and answers one request. Returns false if the connection is to be closed.
Task<bool> PeerServer::ServeRequest(Connection* connection) {
  auto frame = co_await connection->Receive();
  if (!frame) {
    const PeerError error = frame.error();
    const bool counts = error == PeerError::kMalformed || error == PeerError::kTruncated ||
                        error == PeerError::kNoRoom;
    if (counts) metrics_->CountPeerError(error);
    co_return false;
  }
  CountReceived(metrics_, frame.value().size() + kLengthPrefixBytes);
  auto request = DecodeEnvelope(frame.value(), identity_.shared_key, WallNow());
  if (!request) {
    metrics_->CountPeerError(request.error());
    co_return false;
  }
  const std::uint64_t correlation_id = request.value().correlation_id;
  Result<Envelope, PeerError> answer = outcome::failure(PeerError::kUnencodable);
  try {
    auto handled = co_await handler_(std::move(request).value());
    answer = std::move(handled);
  } catch (const cereal::Exception&) {
    // The answer can't be encoded.
  }
  if (!answer) {
    metrics_->CountPeerError(answer.error());
    co_return false;
  }
  Envelope envelope = std::move(answer).value();
  envelope.correlation_id = correlation_id;
  const std::string bytes = AddLengthPrefix(EncodeEnvelope(envelope, identity_.shared_key));
  connection->stream()->expires_after(kWriteTimeout);
  boost::system::error_code error;
  co_await asio::async_write(*connection->stream(), asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  if (!error) CountSent(metrics_, bytes.size());
  co_return !error;
}

}  // namespace mimosabend
