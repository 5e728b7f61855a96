#include "fault_proxy.h"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <random>
#include <vector>

#include "supervisor.h"
#include "timer.h"

namespace mimosabend::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
// Longer answers are not copied.
constexpr std::size_t kMaxCopyBytes = 4096;
// A cut lies within this many bytes: the head of a request, or an answer with a few events.
constexpr int kMaxCutBytes = 400;
constexpr std::size_t kGarbledBytes = 8;
// No connection is closed sooner, so that pauses between the events of a stream last.
constexpr milliseconds kMinIdle{100};
// How long bytes that are still held are delivered after the client has closed its connection.
constexpr milliseconds kLinger{2500};
constexpr milliseconds kHoldPollPeriod{5};

// Closes a connection with a reset, so that the peer loses what it has not read.
void Reset(tcp::socket* socket) {
  boost::system::error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

void Close(tcp::socket* socket) {
  boost::system::error_code ignored;
  socket->shutdown(tcp::socket::shutdown_both, ignored);
  socket->close(ignored);
}

Task<bool> WriteAll(tcp::socket* socket, std::string bytes) {
  boost::system::error_code error;
  co_await asio::async_write(*socket, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

// Returns the next bytes; an empty string at the end or after an error.
Task<std::string> ReadSome(tcp::socket* socket) {
  std::string bytes(kReadBytes, '\0');
  boost::system::error_code error;
  const std::size_t count = co_await socket->async_read_some(
      asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  bytes.resize(error ? 0 : count);
  co_return bytes;
}

// A connection of a client, the one to the server, and the fault of the exchange under way.
struct Link {
  explicit Link(tcp::socket accepted)
      : client(std::move(accepted)), server(client.get_executor()), idle(client.get_executor()) {}

  tcp::socket client;
  tcp::socket server;
  Timer idle;
  LinkFault fault = LinkFault::kNone;
  // Bytes that pass before a cut.
  std::size_t cut_after = 0;
  bool copy = false;
  // The answer of the exchange under way so far, and the one to send again.
  std::string answer;
  std::string copied_answer;
};

}  // namespace

// State of the proxy, which its coroutines share. Used by the thread of the proxy only, except for
// the members that say otherwise.
class FaultProxy::Impl : public std::enable_shared_from_this<FaultProxy::Impl> {
 public:
  Impl(asio::io_context* io, FaultProxyOptions options)
      : io_(io), options_(std::move(options)), random_(options_.seed) {}

  void Start(tcp::acceptor acceptor, const Address& server) {
    const tcp::endpoint endpoint(asio::ip::make_address(server.ip), server.port);
    asio::co_spawn(*io_, Accept(shared_from_this(), std::move(acceptor), endpoint), asio::detached);
  }

  // Thread-safe.
  void InjectFaults(bool inject) { injecting_ = inject; }

  // Thread-safe.
  void Cut(bool cut) { cut_ = cut; }

  // Thread-safe.
  void Hold(bool hold) { hold_ = hold; }

  // Thread-safe.
  std::map<LinkFault, int> injected() const {
    const std::lock_guard lock(mutex_);
    return injected_;
  }

 private:
  using Self = std::shared_ptr<Impl>;
  using LinkPtr = std::shared_ptr<Link>;

  int Below(std::uint64_t limit) { return static_cast<int>(random_() % limit); }
  bool Draw(int percent) { return injecting_ && Below(100) < percent; }
  milliseconds DrawTime(milliseconds limit) { return milliseconds(Below(limit.count())); }

  void Count(LinkFault fault) {
    const std::lock_guard lock(mutex_);
    ++injected_[fault];
  }

  void DrawFault(Link* link) {
    link->fault = LinkFault::kNone;
    if (Draw(options_.fault_rate)) {
      link->fault = options_.faults.at(Below(options_.faults.size()));
    }
    link->copy = link->fault == LinkFault::kCopyAnswer || Draw(options_.copy_rate);
    link->cut_after = static_cast<std::size_t>(Below(kMaxCutBytes));
    Count(link->copy ? LinkFault::kCopyAnswer : link->fault);
  }

  static Task<void> Accept(Self self, tcp::acceptor acceptor, tcp::endpoint server) {
    for (;;) {
      boost::system::error_code error;
      auto accepted =
          co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      if (self->cut_ || self->Draw(self->options_.reset_connection_rate)) {
        Reset(&accepted);
        continue;
      }
      asio::co_spawn(acceptor.get_executor(),
                     Serve(self, std::make_shared<Link>(std::move(accepted)), server),
                     asio::detached);
    }
  }

  static Task<void> Serve(Self self, LinkPtr link, tcp::endpoint server) {
    boost::system::error_code error;
    co_await link->server.async_connect(server, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      Reset(&link->client);
      co_return;
    }
    link->client.set_option(tcp::no_delay(true), error);
    link->server.set_option(tcp::no_delay(true), error);
    asio::co_spawn(link->client.get_executor(), ForwardAnswers(self, link), asio::detached);
    co_await ForwardRequests(self, link);
  }

  // A client sends its next request after the answer, so the first bytes after an answer, or on a
  // new connection, begin an exchange.
  static Task<void> ForwardRequests(Self self, LinkPtr link) {
    bool first = true;
    for (;;) {
      std::string bytes = co_await ReadSome(&link->client);
      if (bytes.empty()) break;
      while (self->hold_) co_await Sleep(kHoldPollPeriod);
      if (self->cut_) {
        Reset(&link->client);
        break;
      }
      if (first || !link->answer.empty()) {
        first = false;
        self->BeginExchange(link.get());
      }
      if (!link->copied_answer.empty()) {
        std::string copy = std::exchange(link->copied_answer, "");
        const bool sent = co_await WriteAll(&link->client, std::move(copy));
        if (!sent) break;
      }
      if (link->fault == LinkFault::kHoldRequest) {
        co_await Sleep(self->DrawTime(self->options_.max_hold));
      }
      const bool cut = link->fault == LinkFault::kCutRequest && bytes.size() > link->cut_after;
      if (cut) bytes.resize(link->cut_after);
      link->cut_after -= std::min(link->cut_after, bytes.size());
      const bool sent = co_await WriteAll(&link->server, std::move(bytes));
      if (cut) Reset(&link->client);
      if (cut || !sent) break;
    }
    const bool cut = link->fault == LinkFault::kCutRequest;
    // The server still reads what was held, and works on after a cut.
    if (cut || link->fault == LinkFault::kHoldRequest) co_await Sleep(kLinger);
    link->idle.cancel();
    Close(&link->server);
    Close(&link->client);
  }

  void BeginExchange(Link* link) {
    link->copied_answer =
        link->copy && link->answer.size() <= kMaxCopyBytes ? std::move(link->answer) : "";
    link->answer.clear();
    link->idle.cancel();
    DrawFault(link);
  }

  static Task<void> ForwardAnswers(Self self, LinkPtr link) {
    for (;;) {
      std::string bytes = co_await ReadSome(&link->server);
      if (bytes.empty()) break;
      while (self->hold_) co_await Sleep(kHoldPollPeriod);
      if (self->cut_) {
        Reset(&link->client);
        break;
      }
      const bool begins = link->answer.empty();
      if (link->answer.size() <= kMaxCopyBytes) link->answer += bytes;
      if (link->fault == LinkFault::kSilence) continue;
      if (link->fault == LinkFault::kHoldAnswer && begins) {
        co_await Sleep(self->DrawTime(self->options_.max_hold));
      }
      if (link->fault == LinkFault::kGarbleAnswer) {
        for (std::size_t i = link->cut_after;
             i < bytes.size() && i < link->cut_after + kGarbledBytes; ++i) {
          bytes[i] = static_cast<char>(self->Below(256));
        }
      }
      const std::size_t line_end = bytes.find("\r\n");
      if (link->fault == LinkFault::kCloseHeader && begins && line_end != std::string::npos) {
        bytes.insert(line_end, "\r\nConnection: close");
      }
      const bool closes = link->fault == LinkFault::kCloseAnswer;
      const bool cut =
          (closes || link->fault == LinkFault::kResetAnswer) && bytes.size() > link->cut_after;
      if (cut) bytes.resize(link->cut_after);
      link->cut_after -= std::min(link->cut_after, bytes.size());
      const bool sent = co_await WriteAll(&link->client, std::move(bytes));
      if (cut && closes) Close(&link->client);
      if (cut && !closes) Reset(&link->client);
      if (cut || !sent) break;
      if (self->options_.max_idle.count() > 0 && self->injecting_) self->CloseWhenIdle(link);
    }
    // The server has closed its connection, or the client's is gone.
    if (link->client.is_open() && link->fault != LinkFault::kSilence) Close(&link->client);
    if (link->fault == LinkFault::kHoldRequest) co_return;
    co_await Sleep(kLinger);
    Close(&link->server);
  }

  // Closes the connection if nothing passes for some time.
  void CloseWhenIdle(const LinkPtr& link) {
    link->idle.expires_after(DrawTime(options_.max_idle) + kMinIdle);
    link->idle.async_wait([link](const boost::system::error_code& error) {
      if (!error) Close(&link->client);
    });
  }

  asio::io_context* io_;
  FaultProxyOptions options_;
  std::mt19937_64 random_;
  // Thread-safe.
  std::atomic<bool> injecting_ = false;
  std::atomic<bool> cut_ = false;
  std::atomic<bool> hold_ = false;
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<LinkFault, int> injected_;
};

FaultProxy::FaultProxy(FaultProxyOptions options)
    : impl_(std::make_shared<Impl>(&io_, std::move(options))), thread_([this] {
        const auto work = asio::make_work_guard(io_);
        io_.run();
      }) {}

FaultProxy::~FaultProxy() {
  io_.stop();
  thread_.join();
}

std::uint16_t FaultProxy::Forward(const Address& server) {
  tcp::acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
  const std::uint16_t port = acceptor.local_endpoint().port();
  asio::post(io_, [this, acceptor = std::move(acceptor), server]() mutable {
    impl_->Start(std::move(acceptor), server);
  });
  return port;
}

void FaultProxy::Cut(bool cut) { impl_->Cut(cut); }

void FaultProxy::Hold(bool hold) { impl_->Hold(hold); }

void FaultProxy::InjectFaults(bool inject) { impl_->InjectFaults(inject); }

std::map<LinkFault, int> FaultProxy::injected() const { return impl_->injected(); }

}  // namespace mimosabend::testing
