#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <sstream>

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

// An endpoint that writes its answers as bytes.
class ScriptedEndpoint {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // Answers one request, the nth of the endpoint, from 0 on, with the given id.
  using Script = std::function<Task<void>(Socket* socket, int n, std::string id)>;

  ScriptedEndpoint(boost::asio::io_context* io, Script script)
      : io_(io),
        script_(std::move(script)),
        acceptor_(*io, {boost::asio::ip::address_v4::loopback(), 0}) {
    boost::asio::co_spawn(*io, Accept(), boost::asio::detached);
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  Task<void> Accept() {
    for (;;) {
      auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
      boost::asio::co_spawn(*io_, Serve(std::move(socket)), boost::asio::detached);
    }
  }

  Task<void> Serve(Socket socket) {
    std::string bytes;
    boost::system::error_code error;
    while (socket.is_open()) {
      // The requests of these tests have no body.
      const std::size_t size = co_await boost::asio::async_read_until(
          socket, boost::asio::dynamic_buffer(bytes), "\r\n\r\n",
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) co_return;
      constexpr std::string_view kName = "Request-Id: ";
      const std::size_t start = bytes.find(kName) + kName.size();
      std::string id = bytes.substr(start, bytes.find('\r', start) - start);
      bytes.erase(0, size);
      co_await script_(&socket, requests_++, std::move(id));
    }
  }

  boost::asio::io_context* io_;
  Script script_;
  boost::asio::ip::tcp::acceptor acceptor_;
  int requests_ = 0;
};

Task<void> WriteBytes(boost::asio::ip::tcp::socket* socket, std::string bytes) {
  boost::system::error_code ignored;
  co_await boost::asio::async_write(
      *socket, boost::asio::buffer(bytes),
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

// Makes all endpoints of one kind this one.
void UseEndpoint(Relay* relay, const ScriptedEndpoint& endpoint) {
  for (TestEndpoint* each : {&relay->p1, &relay->p2, &relay->e1, &relay->e2}) {
    each->port = endpoint.port();
    relay->Add(*each, each == &relay->p1 || each == &relay->p2 ? "plain" : "models");
  }
}

HttpCall CallWithId(const Relay& relay, const std::string& path, const std::string& id) {
  HttpCall call = relay.MakeCall(path);
  call.headers[1].second = id;
  return call;
}

enum class Framing { kLength, kChunks, kEnd };

// An answer to the request `id`, with a body that names it.
std::string AnswerTo(const std::string& id, const std::string& body, Framing framing,
                     const std::string& content_type) {
  std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: s\r\n" +
                       "Content-Type: " + content_type + "\r\n";
  if (framing == Framing::kEnd) return answer + "\r\n" + body;
  if (framing == Framing::kLength) {
    return answer + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  answer += "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& chunk : {body.substr(0, body.size() / 2), body.substr(body.size() / 2)}) {
    std::ostringstream size;
    size << std::hex << chunk.size();
    answer += size.str() + "\r\n" + chunk + "\r\n";
  }
  return answer + "0\r\n\r\n";
}

}  // namespace

// Guards against a second copy of an answer that reaches the next caller, and against a connection
// that goes on one answer behind, so that each caller after that fails as well.
TEST_CASE("a late copy of an answer reaches nobody and spoils one request at most", "[relay]") {
  const std::string path = GENERATE("/order/1", "/once/1");
  const Framing framing = GENERATE(Framing::kLength, Framing::kChunks);
  // When the copy comes: right behind the answer, while the connection is idle, or in place of the
  // next answer, which follows some time later.
  enum class Moment { kAtOnce, kIdle, kNext };
  const Moment moment = GENERATE(Moment::kAtOnce, Moment::kIdle, Moment::kNext);
  const bool in_pieces = GENERATE(false, true);
  CAPTURE(path, static_cast<int>(framing), static_cast<int>(moment), in_pieces);
  Relay relay;
  const std::string type = path == "/once/1" ? "text/event-stream" : "text/plain";
  const auto answer = [&](const std::string& id) {
    return AnswerTo(id, path == "/once/1" ? Event(1) + "id: 2\ndata: " + id + "\n\n" : id, framing,
                    type);
  };
  ScriptedEndpoint endpoint(
      &relay.io, [&](ScriptedEndpoint::Socket* socket, int n, const std::string& id) -> Task<void> {
        const auto copy = [&, socket]() -> Task<void> {
          const std::string bytes = answer("first");
          const std::size_t half = in_pieces ? bytes.size() / 2 : 0;
          co_await WriteBytes(socket, bytes.substr(0, half));
          if (in_pieces) co_await Sleep(milliseconds(5));
          co_await WriteBytes(socket, bytes.substr(half));
        };
        if (n == 1 && moment == Moment::kNext) {
          co_await copy();
          co_await Sleep(milliseconds(60));
        }
        co_await WriteBytes(socket, answer(id));
        if (n == 0 && moment == Moment::kIdle) co_await Sleep(milliseconds(20));
        if (n == 0 && moment != Moment::kNext) co_await copy();
      });
  UseEndpoint(&relay, endpoint);
  int failed = 0;
  for (const std::string id : {"first", "second", "third", "fourth", "fifth"}) {
    CAPTURE(id);
    const auto reply = relay.Send(CallWithId(relay, path, id));
    REQUIRE(reply);
    if (reply.value().status == 200) {
      CHECK(FindHeader(reply.value().headers, "Request-Id") == id);
      CHECK(reply.value().body.find(id) != std::string::npos);
    } else {
      // The request may have run.
      CHECK(reply.value().status == 502);
      ++failed;
    }
    if (id == "first" && moment == Moment::kIdle) relay.io.run_for(milliseconds(60));
  }
  CHECK(failed == (moment == Moment::kNext ? 1 : 0));
}

// Guards against an answer that broke off at any place and reaches its caller as a whole one, and
// against a caller that learns only at its deadline that its request has failed.
TEST_CASE("an answer that breaks off at any byte is never passed on as whole", "[relay]") {
  const std::string path = GENERATE("/order/1", "/once/1");
  const Framing framing = GENERATE(Framing::kLength, Framing::kChunks, Framing::kEnd);
  CAPTURE(path, static_cast<int>(framing));
  const bool stream = path == "/once/1";
  const std::string body = stream ? Event(1) + Event(2) : "whole body";
  const std::string whole =
      AnswerTo("9c41", body, framing, stream ? "text/event-stream" : "text/plain");
  for (std::size_t sent = 0; sent <= whole.size(); ++sent) {
    CAPTURE(sent);
    // A relay that has seen many failures would leave the endpoint alone for a while.
    Relay relay;
    ScriptedEndpoint endpoint(
        &relay.io,
        [&](ScriptedEndpoint::Socket* socket, int /*n*/, const std::string& /*id*/) -> Task<void> {
          co_await WriteBytes(socket, whole.substr(0, sent));
          // An answer that ends with its connection breaks off by a reset, else by a close.
          const bool reset = framing == Framing::kEnd && sent < whole.size();
          if (reset) co_await Sleep(milliseconds(2));
          boost::system::error_code ignored;
          if (reset) socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
          socket->close(ignored);
        });
    UseEndpoint(&relay, endpoint);
    const MonotonicTime began = MonotonicNow();
    const auto reply = relay.Send(path);
    CHECK(MonotonicNow() - began < milliseconds(1000));
    if (sent == whole.size()) {
      REQUIRE(reply);
      CHECK(reply.value().body == body);
    } else if (reply) {
      CHECK(reply.value().status == 502);
    }
  }
}

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
