#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/platform_store.h"
#include "relay_fixture.h"

namespace mimosabend::testing {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Fits into the system's buffers between two sockets on one host.
constexpr std::size_t kBufferedBody = 300 * 1000;
// Does not, so that a part of it is unwritten while the endpoint reads nothing.
constexpr std::size_t kLargeBody = 32 * 1024 * 1024;
// Endpoints that answer early read this much of the request before.
constexpr std::size_t kReadBeforeAnswer = 1000;

enum class Ending {
  kReset,
  // Closes the connection without reading the rest, which makes the system send a reset.
  kClose,
  // The end of the connection arrives before the reset, as from an endpoint that closes it after it
  // has read what had arrived, while the rest is on its way.
  kEndThenReset,
  // The same with the reset right behind the end.
  kEndAndReset,
  // Closes the sending side and reads the rest.
  kHalfClose,
  // Reads the rest slowly and leaves the connection open.
  kReadOn,
  // Reads nothing and leaves the connection open.
  kStayOpen,
  // Reads the whole request before the response, and closes the connection after it.
  kReadFirst
};

// Sends `response` when it has read the head of a request and a part of its body. `connections`
// holds what arrived on each connection.
class EarlyEndpoint {
 public:
  EarlyEndpoint(asio::io_context* io, std::string response, Ending ending)
      : io_(io),
        acceptor_(*io, {asio::ip::address_v4::loopback(), 0}),
        response_(std::move(response)),
        ending_(ending) {
    // The rest of the request waits at the sender until the endpoint reads.
    if (ending == Ending::kEndThenReset) {
      acceptor_.set_option(asio::socket_base::receive_buffer_size(4096));
    }
    asio::co_spawn(*io, Accept(), asio::detached);
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void set_response(std::string response) { response_ = std::move(response); }

  std::vector<std::unique_ptr<std::string>> connections;

 private:
  Task<void> Accept() {
    for (;;) {
      auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
      connections.push_back(std::make_unique<std::string>());
      asio::co_spawn(*io_, Serve(std::move(socket), connections.back().get()), asio::detached);
    }
  }

  Task<void> Serve(tcp::socket socket, std::string* received) {
    boost::system::error_code error;
    std::array<char, 64 * 1024> block;
    const auto read = [&](std::size_t limit) -> Task<void> {
      const std::size_t size = co_await socket.async_read_some(
          asio::buffer(block, limit), asio::redirect_error(asio::use_awaitable, error));
      received->append(block.data(), size);
    };
    while (!error && received->size() < kReadBeforeAnswer) co_await read(500);
    // The last byte of Body() or of a JSON text.
    const auto is_whole = [&] { return received->back() == '!' || received->back() == '}'; };
    while (ending_ == Ending::kReadFirst && !error && !is_whole()) co_await read(block.size());
    co_await asio::async_write(socket, asio::buffer(response_),
                               asio::redirect_error(asio::use_awaitable, error));
    const bool ends = ending_ == Ending::kEndThenReset || ending_ == Ending::kEndAndReset;
    if (ends || ending_ == Ending::kHalfClose) socket.shutdown(tcp::socket::shutdown_send, error);
    if (ending_ != Ending::kEndAndReset) co_await Sleep(milliseconds(3));
    if (ends || ending_ == Ending::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    if (ending_ == Ending::kStayOpen) co_await Sleep(seconds(2));
    while (!error && (ending_ == Ending::kHalfClose || ending_ == Ending::kReadOn)) {
      co_await read(block.size());
      co_await Sleep(milliseconds(1));
    }
  }

  asio::io_context* io_;
  tcp::acceptor acceptor_;
  std::string response_;
  Ending ending_;
};

std::string Body(std::size_t size) { return std::string(size - 1, 'u') + "!"; }

// Runs a call until its result is there.
Result<HttpReply, HttpError> RunCall(asio::io_context* io, HttpClient* client, HttpCall call) {
  std::optional<Result<HttpReply, HttpError>> result;
  const auto run = [&](HttpCall made) -> Task<void> {
    auto reply = co_await client->Call(std::move(made));
    result = std::move(reply);
  };
  io->restart();
  asio::co_spawn(*io, run(std::move(call)), asio::detached);
  while (!result) io->run_one_for(milliseconds(100));
  return std::move(*result);
}

HttpCall Upload(std::uint16_t port, std::size_t body_size) {
  HttpCall call;
  call.address = {"127.0.0.1", port};
  call.method = "POST";
  call.target = "/p";
  call.body = Body(body_size);
  call.deadline = MonotonicNow() + milliseconds(1500);
  return call;
}

const std::string kHead = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nResponse-Stamp: s\r\n";
const std::string kWithLength = kHead + "Content-Length: 4\r\n\r\nbody";
const std::string kInChunks =
    kHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
const std::string kWithoutLength = kHead + "\r\nbody";

}  // namespace

// Guards against a part of a response without a length that is returned as a whole one because the
// connection ended with a reset or before the endpoint had received the request.
TEST_CASE("an early response without a length is complete only after the whole request",
          "[early]") {
  const std::size_t size = GENERATE(kBufferedBody, kLargeBody);
  const Ending ending = GENERATE(Ending::kReset, Ending::kClose, Ending::kEndThenReset,
                                 Ending::kEndAndReset, Ending::kHalfClose, Ending::kReadFirst);
  CAPTURE(size, static_cast<int>(ending));
  for (int i = 0; i < 20; ++i) {
    asio::io_context io{1};
    HttpClient client(io.get_executor());
    EarlyEndpoint endpoint(&io, kWithoutLength, ending);
    const auto reply = RunCall(&io, &client, Upload(endpoint.port(), size));
    CHECK(reply.has_value() == (ending == Ending::kReadFirst));
  }
}

// Guards against the same where the endpoint's system has received the whole request.
TEST_CASE("a response without a length whose connection was reset is not complete", "[early]") {
  asio::io_context io{1};
  HttpClient client(io.get_executor());
  EarlyEndpoint endpoint(&io, kWithoutLength, Ending::kEndAndReset);
  CHECK(!RunCall(&io, &client, Upload(endpoint.port(), 2 * kReadBeforeAnswer)));
}

// Guards against an early response that is held until the deadline or lost with the connection, and
// against bytes of an upload that reach the endpoint as a part of a later request.
TEST_CASE("an early response whose body is complete is returned at once", "[early]") {
  const std::string response = GENERATE(kWithLength, kInChunks);
  const std::size_t size = GENERATE(kBufferedBody, kLargeBody);
  const Ending ending =
      GENERATE(Ending::kReset, Ending::kClose, Ending::kEndThenReset, Ending::kEndAndReset,
               Ending::kHalfClose, Ending::kReadOn, Ending::kStayOpen);
  CAPTURE(response, size, static_cast<int>(ending));
  asio::io_context io{1};
  HttpClient client(io.get_executor());
  EarlyEndpoint endpoint(&io, "HTTP/1.1 102 Processing\r\n\r\n" + response, ending);
  for (int i = 0; i < 3; ++i) {
    const MonotonicTime start = MonotonicNow();
    const auto reply = RunCall(&io, &client, Upload(endpoint.port(), size));
    REQUIRE(reply);
    CHECK(reply.value().body == "body");
    CHECK(MonotonicNow() - start < milliseconds(1000));
    // A connection whose upload was written as a whole may be kept.
    if (size == kBufferedBody) client.CloseIdle({"127.0.0.1", endpoint.port()});
  }
  CHECK(endpoint.connections.size() == 3);
  for (const auto& received : endpoint.connections) {
    CHECK(received->rfind("POST /p HTTP/1.1\r\n") == 0);
  }
}

// Guards against an early response that is cut at any byte and returned as a whole one.
TEST_CASE("an early response truncated at any byte fails", "[early]") {
  const std::string response = GENERATE(kWithLength, kInChunks, kWithoutLength);
  const Ending ending =
      GENERATE(Ending::kReset, Ending::kClose, Ending::kEndThenReset, Ending::kEndAndReset);
  CAPTURE(response, static_cast<int>(ending));
  for (std::size_t sent = 0; sent < response.size(); ++sent) {
    CAPTURE(sent);
    asio::io_context io{1};
    HttpClient client(io.get_executor());
    EarlyEndpoint endpoint(&io, response.substr(0, sent), ending);
    const MonotonicTime start = MonotonicNow();
    CHECK(!RunCall(&io, &client, Upload(endpoint.port(), kBufferedBody)));
    CHECK(MonotonicNow() - start < milliseconds(1000));
  }
}

// Guards against the same at the relay: the caller would get the part as the endpoint's response.
TEST_CASE("the relay passes on no truncated response to a long upload", "[early]") {
  const std::string path = GENERATE("/order/1", "/once/1");
  const Ending ending =
      GENERATE(Ending::kReset, Ending::kClose, Ending::kEndThenReset, Ending::kEndAndReset);
  const bool stream = path == "/once/1";
  CAPTURE(path, static_cast<int>(ending));
  RelayFixture relay;
  const std::string part = stream ? "Content-Type: text/event-stream\r\n\r\n" + Event(1) : "\r\npa";
  EarlyEndpoint endpoint(&relay.io, kHead + part, ending);
  for (TestEndpoint* each : {&relay.p1, &relay.p2, &relay.e1, &relay.e2}) {
    each->port = endpoint.port();
    relay.Add(*each, each == &relay.p1 || each == &relay.p2 ? "plain" : "models");
  }
  HttpCall call = relay.MakeCall(path);
  call.body = Body(kBufferedBody);
  const auto reply = relay.Send(std::move(call));
  if (reply) CHECK(reply.value().status == 502);
}

// Guards against a response with an invalid status that reaches a caller or counts as an answer of
// the store. Four digits, a sign and blanks are no status either.
TEST_CASE("a response with an invalid status is no response", "[early]") {
  const std::string status = GENERATE("000", "099", "600", "999", "0200", "2000", "+20", "-200",
                                      " 200", "2 0", "20", "20x", "");
  const std::string path = GENERATE("/order/1", "/read/1", "/once/1", "store");
  CAPTURE(status, path);
  RelayFixture relay;
  const std::string response = "HTTP/1.1 " + status +
                               " OK\r\nRequest-Id: 9c41\r\nResponse-Stamp: s\r\n"
                               "Content-Length: 14\r\n\r\n{\"revision\":5}";
  EarlyEndpoint endpoint(&relay.io, response, Ending::kReadFirst);
  if (path == "store") {
    platform::PlatformStore store(&relay.client, {"127.0.0.1", endpoint.port()});
    std::optional<Result<KvSwap, KvError>> result;
    const auto run = [&]() -> Task<void> {
      std::string value = Body(2000);
      auto swap = co_await store.CompareAndSwap("k", value, 0);
      result = swap;
    };
    asio::co_spawn(relay.io, run(), asio::detached);
    relay.io.run_for(milliseconds(50));
    REQUIRE(result);
    REQUIRE(!*result);
    CHECK(result->error() == KvError::kOutcomeUnknown);
    CHECK(store.errors() == 1);
    return;
  }
  for (TestEndpoint* each : {&relay.p1, &relay.p2, &relay.e1, &relay.e2}) {
    if (path == "/read/1" && each == &relay.p2) continue;
    each->port = endpoint.port();
    relay.Add(*each, each == &relay.p1 || each == &relay.p2 ? "plain" : "models");
  }
  for (int i = 0; i < 4; ++i) {
    HttpCall call = relay.MakeCall(path);
    call.body = Body(kReadBeforeAnswer);
    const auto reply = relay.Send(std::move(call));
    REQUIRE(reply);
    // Another endpoint answers a request that may be repeated.
    CHECK(reply.value().status == (path == "/read/1" ? 200 : 502));
  }
}

// Guards against a malformed request line that reaches an endpoint or gets no answer.
TEST_CASE("a malformed request line gets 400", "[early]") {
  RelayFixture relay;
  const std::string line = GENERATE(
      "POST\r\n", "POST /read/1\r\n", "POST  /read/1 HTTP/1.1\r\n", "POST /read/1 HTTP/1.1 x\r\n",
      "POST /read/1 HTTP/9.1\r\n", "POST /read/1 HTTP/1.x\r\n", "POST /a b HTTP/1.1\r\n",
      " POST /read/1 HTTP/1.1\r\n", "PO\x01ST /read/1 HTTP/1.1\r\n", "POST /read/\x01 HTTP/1.1\r\n",
      "POST /read/1 HTTP/1.1\n", "\x16\x03\x01\x02\r\n");
  CAPTURE(line);
  std::string received;
  const auto run = [&]() -> Task<void> {
    tcp::socket socket(relay.io);
    co_await socket.async_connect({asio::ip::address_v4::loopback(), relay.port},
                                  asio::use_awaitable);
    const std::string message = line + "Host: a.example\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(message), asio::use_awaitable);
    boost::system::error_code error;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n",
                                    asio::redirect_error(asio::use_awaitable, error));
  };
  asio::co_spawn(relay.io, run(), asio::detached);
  relay.io.run_for(milliseconds(30));
  CHECK(received.starts_with("HTTP/1.1 400 "));
  CHECK(relay.plain_arrivals() == 0);
}

}  // namespace mimosabend::testing
