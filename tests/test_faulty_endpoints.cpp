#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <sstream>

#include "relay_fixture.h"

namespace mimosabend::testing {

namespace {

// An endpoint that sends `prefix` and then repeats `filler` until its peer closes the connection.
class UnboundedResponseEndpoint {
 public:
  UnboundedResponseEndpoint(boost::asio::io_context* io, std::string prefix, std::string filler)
      : acceptor_(*io, {boost::asio::ip::address_v4::loopback(), 0}),
        prefix_(std::move(prefix)),
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
        socket, boost::asio::buffer(prefix_),
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
  std::string prefix_;
  std::string filler_;
  std::size_t sent_ = 0;
  bool closed_ = false;
};

// An endpoint whose responses are raw bytes, so that they need not be valid HTTP.
class RawEndpoint {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // Responds to the nth request of the endpoint, counted from 0, which has the given id.
  using Script = std::function<Task<void>(Socket* socket, int n, std::string id)>;

  RawEndpoint(boost::asio::io_context* io, Script script)
      : io_(io),
        script_(std::move(script)),
        acceptor_(*io, {boost::asio::ip::address_v4::loopback(), 0}) {
    boost::asio::co_spawn(*io, Accept(), boost::asio::detached);
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  // From now on, new connections are refused, as if the process had ended.
  void StopListening() { acceptor_.close(); }

 private:
  Task<void> Accept() {
    for (;;) {
      boost::system::error_code error;
      auto socket = co_await acceptor_.async_accept(
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) co_return;
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

// Replaces all endpoints of the relay by this one.
void UseEndpoint(RelayFixture* relay, const RawEndpoint& endpoint) {
  for (TestEndpoint* each : {&relay->p1, &relay->p2, &relay->e1, &relay->e2}) {
    each->port = endpoint.port();
    relay->Add(*each, each == &relay->p1 || each == &relay->p2 ? "plain" : "models");
  }
}

HttpCall MakeCallWithId(const RelayFixture& relay, const std::string& path, const std::string& id) {
  HttpCall call = relay.MakeCall(path);
  call.headers[1].second = id;
  return call;
}

enum class Framing { kLength, kChunks, kEnd };

// A response to the request `id` with this body.
std::string ResponseTo(const std::string& id, const std::string& body, Framing framing,
                       const std::string& content_type) {
  std::string response = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: s\r\n" +
                         "Content-Type: " + content_type + "\r\n";
  if (framing == Framing::kEnd) return response + "\r\n" + body;
  if (framing == Framing::kLength) {
    return response + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  response += "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& chunk : {body.substr(0, body.size() / 2), body.substr(body.size() / 2)}) {
    std::ostringstream size;
    size << std::hex << chunk.size();
    response += size.str() + "\r\n" + chunk + "\r\n";
  }
  return response + "0\r\n\r\n";
}

}  // namespace

// Guards against a duplicate response that is taken for the response to the next request, and
// against a connection that stays one response behind, so that every later request fails as well.
TEST_CASE("a duplicate response reaches no caller and fails one request at most", "[relay]") {
  const std::string path = GENERATE("/order/1", "/once/1");
  const Framing framing = GENERATE(Framing::kLength, Framing::kChunks);
  // When the duplicate is sent: right after the response, while the connection is idle, or before
  // the next response, which follows some time later.
  enum class DuplicateTiming { kImmediate, kIdle, kBeforeNextResponse };
  const DuplicateTiming timing = GENERATE(DuplicateTiming::kImmediate, DuplicateTiming::kIdle,
                                          DuplicateTiming::kBeforeNextResponse);
  const bool in_pieces = GENERATE(false, true);
  CAPTURE(path, static_cast<int>(framing), static_cast<int>(timing), in_pieces);
  RelayFixture relay;
  const std::string type = path == "/once/1" ? "text/event-stream" : "text/plain";
  const auto response = [&](const std::string& id) {
    return ResponseTo(id, path == "/once/1" ? Event(1) + "id: 2\ndata: " + id + "\n\n" : id,
                      framing, type);
  };
  RawEndpoint endpoint(
      &relay.io, [&](RawEndpoint::Socket* socket, int n, const std::string& id) -> Task<void> {
        const auto send_duplicate = [&, socket]() -> Task<void> {
          const std::string bytes = response("first");
          const std::size_t half = in_pieces ? bytes.size() / 2 : 0;
          co_await WriteBytes(socket, bytes.substr(0, half));
          if (in_pieces) co_await Sleep(milliseconds(5));
          co_await WriteBytes(socket, bytes.substr(half));
        };
        if (n == 1 && timing == DuplicateTiming::kBeforeNextResponse) {
          co_await send_duplicate();
          co_await Sleep(milliseconds(60));
        }
        co_await WriteBytes(socket, response(id));
        if (n == 0 && timing == DuplicateTiming::kIdle) co_await Sleep(milliseconds(20));
        if (n == 0 && timing != DuplicateTiming::kBeforeNextResponse) co_await send_duplicate();
      });
  UseEndpoint(&relay, endpoint);
  int failed = 0;
  for (const std::string id : {"first", "second", "third", "fourth", "fifth"}) {
    CAPTURE(id);
    const auto reply = relay.Send(MakeCallWithId(relay, path, id));
    REQUIRE(reply);
    if (reply.value().status == 200) {
      CHECK(FindHeader(reply.value().headers, "Request-Id") == id);
      CHECK(reply.value().body.find(id) != std::string::npos);
    } else {
      // The request may have run.
      CHECK(reply.value().status == 502);
      ++failed;
    }
    if (id == "first" && timing == DuplicateTiming::kIdle) relay.io.run_for(milliseconds(60));
  }
  CHECK(failed == (timing == DuplicateTiming::kBeforeNextResponse ? 1 : 0));
}

// Guards against a second copy of a refusal that is taken for the answer to the next attempt of the
// same request: the request would run again, or its caller would be told that it has not run.
TEST_CASE("a late copy of a refusal does not answer a later attempt of the request", "[relay]") {
  const int status = GENERATE(503, 429);
  const milliseconds delay = GENERATE(milliseconds(0), milliseconds(20));
  CAPTURE(status, delay.count());
  RelayFixture relay;
  int runs = 0;
  const std::string refusal = "HTTP/1.1 " + std::to_string(status) +
                              " Refused\r\nRequest-Id: 9c41\r\nNot-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
  RawEndpoint::Socket* refused_on = nullptr;
  RawEndpoint endpoint(
      &relay.io, [&](RawEndpoint::Socket* socket, int n, const std::string& id) -> Task<void> {
        if (n == 0) {
          refused_on = socket;
          co_await WriteBytes(socket, refusal);
          co_return;
        }
        ++runs;
        co_await Sleep(delay);
        if (runs == 1) co_await WriteBytes(refused_on, refusal);
        co_await Sleep(milliseconds(60));
        co_await WriteBytes(socket,
                            ResponseTo(id, Event(1), Framing::kLength, "text/event-stream"));
      });
  UseEndpoint(&relay, endpoint);
  relay.directory.Remove("e2", MonotonicNow());
  const auto reply = relay.Send("/once/1");
  REQUIRE(reply);
  CHECK(runs == 1);
  CHECK(reply.value().status == 200);
}

// Guards against a late copy of another request's refusal that is taken for the answer to an order,
// since it has no request id: the order would run again.
TEST_CASE("a refusal without a request id does not show that a request has not run", "[relay]") {
  const int status = GENERATE(503, 421);
  const std::string path = GENERATE("/order/1", "/once/1");
  CAPTURE(status, path);
  RelayFixture relay;
  int requests = 0;
  RawEndpoint endpoint(
      &relay.io, [&](RawEndpoint::Socket* socket, int, const std::string& id) -> Task<void> {
        ++requests;
        co_await WriteBytes(socket, "HTTP/1.1 " + std::to_string(status) +
                                        " Refused\r\nNot-Executed: 1\r\n"
                                        "Content-Length: 0\r\n\r\n");
        co_await Sleep(milliseconds(20));
        co_await WriteBytes(socket, ResponseTo(id, "done", Framing::kLength, "text/plain"));
      });
  UseEndpoint(&relay, endpoint);
  const auto reply = relay.Send(path);
  REQUIRE(reply);
  CHECK(reply.value().status == 502);
  CHECK(requests == 1);
}

// Guards against a truncated response that is returned as a complete one, and against a caller that
// learns only at its deadline that its request has failed.
TEST_CASE("a response truncated at any byte is never returned as complete", "[relay]") {
  const std::string path = GENERATE("/order/1", "/once/1");
  const Framing framing = GENERATE(Framing::kLength, Framing::kChunks, Framing::kEnd);
  CAPTURE(path, static_cast<int>(framing));
  const bool stream = path == "/once/1";
  const std::string body = stream ? Event(1) + Event(2) : "whole body";
  const std::string whole =
      ResponseTo("9c41", body, framing, stream ? "text/event-stream" : "text/plain");
  for (std::size_t sent = 0; sent <= whole.size(); ++sent) {
    CAPTURE(sent);
    // A relay that has seen many failures would stop using the endpoint for a while.
    RelayFixture relay;
    RawEndpoint endpoint(
        &relay.io,
        [&](RawEndpoint::Socket* socket, int /*n*/, const std::string& /*id*/) -> Task<void> {
          co_await WriteBytes(socket, whole.substr(0, sent));
          // A close marks the end of a response without length, so only a reset truncates it.
          const bool reset = framing == Framing::kEnd && sent < whole.size();
          if (reset) co_await Sleep(milliseconds(2));
          boost::system::error_code ignored;
          if (reset) socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
          socket->close(ignored);
        });
    UseEndpoint(&relay, endpoint);
    const MonotonicTime start = MonotonicNow();
    const auto reply = relay.Send(path);
    CHECK(MonotonicNow() - start < milliseconds(1000));
    if (sent == whole.size()) {
      REQUIRE(reply);
      CHECK(reply.value().body == body);
    } else if (reply) {
      CHECK(reply.value().status == 502);
    }
  }
}

// Guards against a stream without length and chunks that ends inside an event and is taken as
// complete, and against a crash that goes unnoticed since the connection was closed, not reset.
TEST_CASE("a stream that ends with its connection inside an event is broken off", "[relay]") {
  const std::string whole =
      ResponseTo("9c41", Event(1) + Event(2), Framing::kEnd, "text/event-stream");
  const std::size_t head = whole.find("\r\n\r\n") + 4;
  const std::set<std::size_t> complete{head + Event(1).size(), whole.size()};
  for (std::size_t sent = head; sent <= whole.size(); ++sent) {
    CAPTURE(sent - head);
    RelayFixture relay;
    std::unique_ptr<RawEndpoint> endpoint;
    endpoint = std::make_unique<RawEndpoint>(
        &relay.io,
        [&](RawEndpoint::Socket* socket, int /*n*/, const std::string& /*id*/) -> Task<void> {
          co_await WriteBytes(socket, whole.substr(0, sent));
          if (!complete.contains(sent)) endpoint->StopListening();
          boost::system::error_code ignored;
          socket->close(ignored);
        });
    UseEndpoint(&relay, *endpoint);
    HttpCall call = relay.MakeCall("/once/1");
    call.headers.emplace_back("Prompt-Prefix", "a1:10,b2:10");
    const auto reply = relay.Send(std::move(call));
    const bool looks_complete = reply && reply.value().status == 200;
    CHECK(looks_complete == complete.contains(sent));
    CHECK(relay.part_evidence.CrashCount(0xa1) == (complete.contains(sent) ? 0 : 1));
  }
}

// Guards against an endpoint that fills a daemon's memory with an unbounded response.
TEST_CASE("an unbounded response is cut off at a limit", "[relay]") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nResponse-Stamp: s\r\n"
      "Content-Type: text/event-stream\r\n";
  const std::string failure = "HTTP/1.1 500 Failed\r\nRequest-Id: 9c41\r\nResponse-Stamp: s\r\n";
  struct Case {
    std::string name;
    std::string path;
    std::string prefix;
    std::string filler;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string long_trailer = "X: " + std::string(70000, 'y') + "\r\n\r\n";
  const std::vector<Case> cases{
      {"status line", "/order/1", "HTTP/1.1 200 ", "x"},
      {"header", "/order/1", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"headers", "/order/1", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"body without length", "/order/1", head + "\r\n", "x"},
      {"chunks", "/order/1", head + chunked, "1\r\nx\r\n"},
      {"chunk extension", "/order/1", head + chunked + "1;", "x"},
      {"trailers", "/order/1", head + chunked + "0\r\n", "X: y\r\n"},
      // The HTTP library throws for a field of more than 64 KiB.
      {"long trailer", "/order/1", head + chunked + "0\r\n", long_trailer},
      {"long trailer of a stream", "/once/1", head + chunked + "0\r\n", long_trailer},
      {"event", "/once/1", head + "\r\ndata: ", "x"},
      {"event in chunks", "/once/1", head + chunked, "1\r\nx\r\n"},
      {"head of a stream", "/once/1", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"chunk extension of a stream", "/once/1", head + chunked + "1;", "x"},
      {"failure of a stream", "/once/1", failure + "\r\n", "x"}};
  for (const Case& test_case : cases) {
    CAPTURE(test_case.name);
    RelayFixture relay;
    UnboundedResponseEndpoint endless(&relay.io, test_case.prefix, test_case.filler);
    const bool plain = test_case.path == "/order/1";
    for (TestEndpoint* endpoint : {&relay.p1, &relay.p2, &relay.e1, &relay.e2}) {
      endpoint->port = endless.port();
      relay.Add(*endpoint, endpoint == &relay.p1 || endpoint == &relay.p2 ? "plain" : "models");
    }
    HttpCall call = relay.MakeCall(test_case.path);
    call.headers[2].second = "4000";
    const MonotonicTime start = MonotonicNow();
    auto reply = relay.Send(std::move(call));
    // The routes allow 2 s.
    CHECK(MonotonicNow() - start < milliseconds(2300));
    REQUIRE(reply);
    const int status = reply.value().status;
    CHECK((status == 502 || status == 504));
    CHECK(FindHeader(reply.value().headers, "Response-Stamp").empty());
    // 8 MB of a body, and the system's buffers on both sides. A chunk of one byte takes six bytes
    // on the wire.
    CHECK(endless.sent() < (plain ? 6 : 1) * 16 * 1024 * 1024);
    for (int i = 0; i < 50 && !endless.closed(); ++i) relay.io.run_for(milliseconds(10));
    CHECK(endless.closed());
  }
}

// Guards against a stalled engine that keeps its stream by sending a byte now and then.
TEST_CASE("single bytes do not keep a stalled stream alive", "[relay]") {
  RelayFixture relay;
  const EndpointBehavior stalled = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    co_await exchange.StartStream(200, std::move(headers));
    bool open = co_await exchange.Write(Event(1));
    while (open) {
      co_await Sleep(milliseconds(100));
      open = co_await exchange.Write("x");
    }
  };
  relay.SetBehavior(stalled, SendEvents(2, 3, true));
  HttpCall call = relay.MakeCall("/resumable/1");
  call.headers[2].second = "4000";
  auto reply = relay.Send(std::move(call));
  REQUIRE(reply);
  CHECK(reply.value().body == Event(1) + Event(2) + Event(3));
}

}  // namespace mimosabend::testing
