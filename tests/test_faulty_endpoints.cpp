#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "relay_world.h"

namespace mimosabend::testing {

namespace {

// An endpoint that begins with the given bytes and then sends others until its caller closes.
class EndlessEndpoint {
 public:
  EndlessEndpoint(boost::asio::io_context* io, std::string begin, std::string filler)
      : acceptor_(*io, {boost::asio::ip::address_v4::loopback(), 0}),
        begin_(std::move(begin)),
        filler_(std::move(filler)) {
    boost::asio::co_spawn(*io, Run(), boost::asio::detached);
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t sent() const { return sent_; }
  bool closed() const { return closed_; }

 private:
  Task<void> Run() {
    auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
    std::array<char, 4096> request;
    co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
    boost::system::error_code error;
    co_await boost::asio::async_write(
        socket, boost::asio::buffer(begin_),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    std::string piece;
    while (piece.size() < 16 * 1024) piece += filler_;
    while (!error) {
      sent_ += co_await boost::asio::async_write(
          socket, boost::asio::buffer(piece),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
    closed_ = true;
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string begin_;
  std::string filler_;
  std::size_t sent_ = 0;
  bool closed_ = false;
};

}  // namespace

// Guards against an endpoint whose bytes without end fill the memory of a daemon.
TEST_CASE("bytes without end are cut off at a bound", "[relay]") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nResponse-Stamp: s\r\n"
      "Content-Type: text/event-stream\r\n";
  const std::string failure = "HTTP/1.1 500 Failed\r\nRequest-Id: 9c41\r\nResponse-Stamp: s\r\n";
  struct Case {
    std::string name;
    std::string path;
    std::string begin;
    std::string filler;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases{
      {"status line", "/order/1", "HTTP/1.1 200 ", "x"},
      {"header", "/order/1", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"headers", "/order/1", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"body without length", "/order/1", head + "\r\n", "x"},
      {"chunks", "/order/1", head + chunked, "1\r\nx\r\n"},
      {"chunk extension", "/order/1", head + chunked + "1;", "x"},
      {"trailers", "/order/1", head + chunked + "0\r\n", "X: y\r\n"},
      {"event", "/once/1", head + "\r\ndata: ", "x"},
      {"event in chunks", "/once/1", head + chunked, "1\r\nx\r\n"},
      {"head of a stream", "/once/1", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"chunk extension of a stream", "/once/1", head + chunked + "1;", "x"},
      {"failure of a stream", "/once/1", failure + "\r\n", "x"}};
  for (const Case& tried : cases) {
    CAPTURE(tried.name);
    Relay relay;
    EndlessEndpoint endless(&relay.io, tried.begin, tried.filler);
    const bool plain = tried.path == "/order/1";
    for (TestEndpoint* endpoint : {&relay.p1, &relay.p2, &relay.e1, &relay.e2}) {
      endpoint->port = endless.port();
      relay.Add(*endpoint, endpoint == &relay.p1 || endpoint == &relay.p2 ? "plain" : "models");
    }
    HttpCall call = relay.MakeCall(tried.path);
    call.headers[2].second = "4000";
    const MonotonicTime began = MonotonicNow();
    auto reply = relay.Send(std::move(call));
    // The routes allow 2 s.
    CHECK(MonotonicNow() - began < milliseconds(2300));
    REQUIRE(reply);
    const int status = reply.value().status;
    CHECK((status == 502 || status == 504));
    CHECK(FindHeader(reply.value().headers, "Response-Stamp").empty());
    // 8 MB of a body, and the system's buffers on both sides. Chunks of one byte are six on the
    // wire.
    CHECK(endless.sent() < (plain ? 6 : 1) * 16 * 1024 * 1024);
    for (int i = 0; i < 50 && !endless.closed(); ++i) relay.io.run_for(milliseconds(10));
    CHECK(endless.closed());
  }
}

// Guards against an engine that has stalled, and keeps its stream by a byte now and then.
TEST_CASE("a byte now and then does not keep a stalled stream", "[relay]") {
  Relay relay;
  const Behaviour stalled = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = Stamped(exchange);
    co_await exchange.StartStream(200, std::move(headers));
    bool open = co_await exchange.Write(Event(1));
    while (open) {
      co_await Sleep(milliseconds(100));
      open = co_await exchange.Write("x");
    }
  };
  relay.Behave(stalled, Stream(2, 3, true));
  HttpCall call = relay.MakeCall("/resumable/1");
  call.headers[2].second = "4000";
  auto reply = relay.Send(std::move(call));
  REQUIRE(reply);
  CHECK(reply.value().body == Event(1) + Event(2) + Event(3));
}

}  // namespace mimosabend::testing
