#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http_client.h"
#include "http_server.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

using Tcp = boost::asio::ip::tcp;

// Long enough for the peer to read a piece before the next one is written.
constexpr milliseconds kPieceInterval{1};
constexpr milliseconds kTestTimeout{5000};

// A message that arrives in pieces.
using Pieces = std::vector<std::string>;

Pieces ByteByByte(const std::string& message) {
  Pieces pieces;
  for (char byte : message) pieces.emplace_back(1, byte);
  return pieces;
}

// The message cut into two pieces at each of its bytes, and into single bytes.
std::vector<Pieces> AllCuts(const std::string& message) {
  std::vector<Pieces> cuts{ByteByByte(message)};
  for (std::size_t cut = 1; cut < message.size(); ++cut) {
    cuts.push_back({message.substr(0, cut), message.substr(cut)});
  }
  return cuts;
}

// Returns the number of pieces that could be written.
Task<std::size_t> WritePieces(Tcp::socket* socket, Pieces pieces) {
  boost::system::error_code error;
  std::size_t written = 0;
  for (const std::string& piece : pieces) {
    co_await boost::asio::async_write(
        *socket, boost::asio::buffer(piece),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) break;
    ++written;
    if (pieces.size() > 1) co_await Sleep(kPieceInterval);
  }
  co_return written;
}

// Writes `filler` until the peer closes the connection, and counts the bytes.
Task<void> WriteWithoutEnd(Tcp::socket* socket, std::string filler, std::size_t* written) {
  std::string block;
  while (block.size() < 16 * 1024) block += filler;
  boost::system::error_code error;
  while (!error) {
    *written += co_await boost::asio::async_write(
        *socket, boost::asio::buffer(block),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
  }
}

// A server that responds with the method, the path, the header "X" and the body that it received.
class EchoServer {
 public:
  explicit EchoServer(const HttpLimits& limits = {})
      : server_(io_.get_executor(), limits, [this](HttpExchange& exchange) -> Task<void> {
          ++requests_;
          const HttpRequest& request = exchange.request();
          if (request.target == "/stream") {
            co_await exchange.StartStream(200, {});
            co_await exchange.Write("part");
            co_await exchange.FinishStream();
            co_return;
          }
          std::string body = request.method + " " + request.target + " " +
                             std::string(request.header("X")) + " [" + request.body + "]";
          co_await exchange.Reply(200, {}, std::move(body));
        }) {
    port_ = server_.Listen({"127.0.0.1", 0}).value();
  }

  int requests() const { return requests_; }
  // Number of pieces of the last message that could be written.
  std::size_t written() const { return written_; }
  const HttpServer& server() const { return server_; }

  // Sends a message on a new connection after a pause, closes the sending side and returns all that
  // is received.
  std::string Send(const Pieces& pieces, milliseconds pause = milliseconds(0)) {
    std::string received;
    bool done = false;
    const auto run = [&]() -> Task<void> {
      Tcp::socket socket(io_);
      co_await socket.async_connect({boost::asio::ip::address_v4::loopback(), port_},
                                    boost::asio::use_awaitable);
      co_await Sleep(pause);
      written_ = co_await WritePieces(&socket, pieces);
      boost::system::error_code error;
      socket.shutdown(Tcp::socket::shutdown_send, error);
      co_await ReadToEnd(&socket, &received);
      done = true;
    };
    RunUntil(run(), &done);
    return received;
  }

  // Sends `prefix` and then `filler` without end. Returns what is received, and sets `written` to
  // the number of bytes that the server let through.
  std::string SendWithoutEnd(const std::string& prefix, const std::string& filler,
                             std::size_t* written) {
    std::string received;
    bool done = false;
    Tcp::socket socket(io_);
    const auto run = [&]() -> Task<void> {
      co_await socket.async_connect({boost::asio::ip::address_v4::loopback(), port_},
                                    boost::asio::use_awaitable);
      const Pieces pieces(1, prefix);
      co_await WritePieces(&socket, pieces);
      boost::asio::co_spawn(io_, WriteWithoutEnd(&socket, filler, written), boost::asio::detached);
      co_await ReadToEnd(&socket, &received);
      done = true;
    };
    RunUntil(run(), &done);
    socket.close();
    io_.run_for(milliseconds(10));
    return received;
  }

 private:
  static Task<void> ReadToEnd(Tcp::socket* socket, std::string* received) {
    std::array<char, 4096> block;
    boost::system::error_code error;
    while (!error) {
      const std::size_t size = co_await socket->async_read_some(
          boost::asio::buffer(block),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      received->append(block.data(), size);
    }
  }

  void RunUntil(Task<void> task, const bool* done) {
    io_.restart();
    boost::asio::co_spawn(io_, std::move(task), boost::asio::detached);
    const MonotonicTime limit = MonotonicNow() + kTestTimeout;
    while (!*done && MonotonicNow() < limit) io_.run_one_for(milliseconds(100));
    REQUIRE(*done);
  }

  boost::asio::io_context io_{1};
  HttpServer server_;
  std::uint16_t port_ = 0;
  int requests_ = 0;
  std::size_t written_ = 0;
};

// A client, and an endpoint that sends given bytes in response to each request.
class RawResponse {
 public:
  RawResponse() : acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}) {}

  // The result of a request to which the endpoint responds with `pieces`, and then with `filler`
  // without end unless it is empty.
  Result<HttpReply, HttpError> Receive(Pieces pieces, std::string filler = "") {
    io_.restart();
    boost::asio::co_spawn(io_, Respond(std::move(pieces), std::move(filler)),
                          boost::asio::detached);
    Result<HttpReply, HttpError> result = outcome::failure(HttpError::kNotSent);
    bool done = false;
    const auto run = [&]() -> Task<void> {
      HttpCall call;
      call.address = {"127.0.0.1", acceptor_.local_endpoint().port()};
      call.deadline = MonotonicNow() + kTestTimeout;
      result = co_await client_.Call(std::move(call));
      done = true;
    };
    boost::asio::co_spawn(io_, run(), boost::asio::detached);
    const MonotonicTime limit = MonotonicNow() + 2 * kTestTimeout;
    while (!done && MonotonicNow() < limit) io_.run_one_for(milliseconds(100));
    REQUIRE(done);
    client_.CloseIdle({"127.0.0.1", acceptor_.local_endpoint().port()});
    io_.run_for(milliseconds(2));
    return result;
  }

  std::size_t written() const { return written_; }

 private:
  Task<void> Respond(Pieces pieces, std::string filler) {
    auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
    std::array<char, 4096> request;
    co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
    co_await WritePieces(&socket, std::move(pieces));
    written_ = 0;
    if (!filler.empty()) co_await WriteWithoutEnd(&socket, std::move(filler), &written_);
  }

  boost::asio::io_context io_{1};
  Tcp::acceptor acceptor_;
  HttpClient client_{io_.get_executor()};
  std::size_t written_ = 0;
};

const std::string kRequestLine = "POST /p HTTP/1.1\r\nHost: h\r\n";
const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

// Sound messages with and without a body, in chunks and not, with extensions and trailers.
std::vector<std::string> SoundBodies() {
  return {"Content-Length: 0\r\n\r\n",
          "Content-Length: 4\r\n\r\nbody",
          kChunked + "0\r\n\r\n",
          kChunked + "00;last\r\n\r\n",
          kChunked + "0\r\nT: trailer\r\n\r\n",
          kChunked + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
          kChunked + "2;a=\"b\"\r\nbo\r\n2\r\ndy\r\n0;last\r\nT: trailer\r\n\r\n"};
}

std::string BodyOf(const std::string& message) {
  const bool has_body = message.find("bo") != std::string::npos;
  return has_body ? "body" : "";
}

// A part of a message that no limit of the HTTP library covers.
struct UnboundedPart {
  std::string name;
  std::string prefix;
  std::string filler;
};

// Follows a header that announces chunks.
std::vector<UnboundedPart> UnboundedParts() {
  const std::string long_field = "T: " + std::string(70000, 'x') + "\r\n";
  return {{"a trailer above the library's limit of 64 KiB", "0\r\n", long_field + "\r\n"},
          {"one trailer without end", "0\r\nT: ", "x"},
          {"trailers without end", "0\r\n", "T: x\r\n"},
          {"an extension without end", "1;", "x"},
          {"an extension of the last chunk without end", "0;", "x"},
          {"long extensions of small chunks", "", "1;" + std::string(1000, 'x') + "\r\ny\r\n"},
          {"a chunk size without end", "", "0"}};
}

}  // namespace

// Guards against a field after the last chunk that ends the process: the parser throws for more
// than 64 KiB. Also guards against an unbounded buffer for what follows or surrounds the chunks.
TEST_CASE("the framing of a request without end is rejected and ends no other request", "[http]") {
  for (const UnboundedPart& part : UnboundedParts()) {
    CAPTURE(part.name);
    EchoServer echo;
    std::size_t written = 0;
    const std::string response =
        echo.SendWithoutEnd(kRequestLine + kChunked + part.prefix, part.filler, &written);
    CHECK(response.substr(0, 9) == "HTTP/1.1 ");
    CHECK((response.substr(9, 3) == "431" || response.substr(9, 3) == "400"));
    CHECK(echo.requests() == 0);
    // The system's buffers on both sides, and what the server discards before it closes.
    CHECK(written < 64 * 1024 * 1024);
    CHECK(echo.server().open_connections() == 0);
    const std::string next = echo.Send({"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"});
    CHECK(next.find("GET /next  []") != std::string::npos);
  }
}

// Guards against the same in a response: a gateway ended with all its requests when one endpoint
// sent such a field.
TEST_CASE("the framing of a response without end fails the request alone", "[http]") {
  for (const UnboundedPart& part : UnboundedParts()) {
    CAPTURE(part.name);
    RawResponse endpoint;
    const auto reply = endpoint.Receive({kStatusLine + kChunked + part.prefix}, part.filler);
    REQUIRE(!reply);
    CHECK((reply.error() == HttpError::kTooLarge || reply.error() == HttpError::kMalformed));
    CHECK(endpoint.written() < 16 * 1024 * 1024);
    const auto next = endpoint.Receive({kStatusLine + "Content-Length: 4\r\n\r\nbody"});
    REQUIRE(next);
    CHECK(next.value().body == "body");
  }
}

// Guards against a limit on framing that fails sound messages: trailers, extensions and chunks of
// one byte.
TEST_CASE("sound framing passes the limits", "[http]") {
  std::string chunks;
  for (int i = 0; i < 20000; ++i) chunks += "1;a=b\r\nx\r\n";
  chunks += "0;last\r\nT: " + std::string(8000, 'y') + "\r\n\r\n";
  EchoServer echo;
  const std::string response =
      echo.Send({kRequestLine + "Connection: close\r\n" + kChunked + chunks});
  CHECK(response.find("[" + std::string(20000, 'x') + "]") != std::string::npos);
  RawResponse endpoint;
  const auto reply = endpoint.Receive({kStatusLine + kChunked + chunks});
  REQUIRE(reply);
  CHECK(reply.value().body == std::string(20000, 'x'));
}

// Guards against a trailer that counts as a header although the header has been read before.
TEST_CASE("a trailer is not taken for a header", "[http]") {
  EchoServer echo;
  const std::string response = echo.Send({kRequestLine + kChunked + "0\r\nX: trailer\r\n\r\n"});
  CHECK(response.find("POST /p  []") != std::string::npos);
}

// Guards against a sound request that ends the process because of the pieces in which it arrives:
// an assertion of the parser fails if an empty body in chunks is read after "0", CR, LF.
TEST_CASE("a request is served however its bytes are cut", "[http]") {
  for (const std::string& body : SoundBodies()) {
    const std::string message = kRequestLine + "Connection: close\r\n" + body;
    EchoServer echo;
    for (const Pieces& pieces : AllCuts(message)) {
      CAPTURE(body, pieces.size(), pieces.front().size());
      const std::string response = echo.Send(pieces);
      CHECK(response.find("POST /p  [" + BodyOf(body) + "]") != std::string::npos);
    }
  }
}

// Guards against the same in a response.
TEST_CASE("a response is read however its bytes are cut", "[http]") {
  std::vector<std::string> bodies = SoundBodies();
  // Ends with its connection.
  bodies.emplace_back("\r\nbody");
  for (const std::string& body : bodies) {
    RawResponse endpoint;
    for (const Pieces& pieces : AllCuts(kStatusLine + body)) {
      CAPTURE(body, pieces.size(), pieces.front().size());
      const auto reply = endpoint.Receive(pieces);
      REQUIRE(reply);
      CHECK(reply.value().body == BodyOf(body));
    }
  }
}

// Guards against a body in the response to HEAD, which would stand in front of the next response.
TEST_CASE("a response to HEAD has no body", "[http]") {
  const std::string path = GENERATE("/p", "/stream");
  CAPTURE(path);
  EchoServer echo;
  const std::string received = echo.Send(
      {"HEAD " + path + " HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n"});
  const std::size_t end = received.find("\r\n\r\n");
  REQUIRE(end != std::string::npos);
  CHECK(received.substr(end + 4, 12) == "HTTP/1.1 200");
  CHECK(received.find("GET /next  []") != std::string::npos);
}

// Guards against an interim response (1xx) that is returned as the response: the caller would get
// no final one, and the next request on the connection the one to this request.
TEST_CASE("interim responses are skipped, up to a limit", "[http]") {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const std::string final_response = kStatusLine + "Content-Length: 4\r\n\r\nbody";
  RawResponse endpoint;
  std::string message;
  for (int count = 1; count <= 3; ++count) {
    message += interim;
    CAPTURE(count);
    for (const Pieces& pieces : {Pieces{message + final_response}, Pieces{message, final_response},
                                 ByteByByte(message + final_response)}) {
      const auto reply = endpoint.Receive(pieces);
      REQUIRE(reply);
      CHECK(reply.value().status == 200);
      CHECK(reply.value().body == "body");
    }
  }
  // The client never asks to switch protocols: what follows is no response.
  const auto switched = endpoint.Receive({"HTTP/1.1 101 Switching Protocols\r\n\r\n"});
  REQUIRE(!switched);
  CHECK(switched.error() == HttpError::kMalformed);
  const auto without_end = endpoint.Receive({interim}, interim);
  REQUIRE(!without_end);
  CHECK(without_end.error() == HttpError::kTooLarge);
  CHECK(endpoint.written() < 16 * 1024 * 1024);
}

// Guards against a truncated message that is taken for a whole one, or that ends the process.
TEST_CASE("a message truncated at any byte is not taken for a whole one", "[http]") {
  const bool in_pieces = GENERATE(false, true);
  for (const std::string& body : SoundBodies()) {
    EchoServer echo;
    RawResponse endpoint;
    const std::string request = kRequestLine + body;
    for (std::size_t size = 1; size < request.size(); ++size) {
      CAPTURE(body, size, in_pieces);
      const std::string sent = request.substr(0, size);
      echo.Send(in_pieces ? ByteByByte(sent) : Pieces(1, sent));
      CHECK(echo.requests() == 0);
    }
    const std::string response = kStatusLine + body;
    for (std::size_t size = 1; size < response.size(); ++size) {
      CAPTURE(body, size, in_pieces);
      const std::string sent = response.substr(0, size);
      CHECK(!endpoint.Receive(in_pieces ? ByteByByte(sent) : Pieces(1, sent)));
    }
  }
}

// Guards against headers that arrive without end in small pieces, and against a time-out that a
// connection meets before its request begins.
TEST_CASE("a header has a time limit of its own", "[http]") {
  HttpLimits limits;
  limits.header_timeout = milliseconds(0);
  EchoServer server(limits);
  const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  CHECK(server.Send({request}, milliseconds(1500)).find("GET /a") != std::string::npos);
  Pieces slow{"GET /a HTTP/1.1\r\n"};
  for (int i = 0; i < 1500; ++i) slow.emplace_back("a: b\r\n");
  slow.emplace_back("\r\n");
  CHECK(server.Send(slow).empty());
  CHECK(server.requests() == 1);
}

// Guards against a reset that replaces the response to a client that still sends its body.
TEST_CASE("a client that sends its body slowly gets a refusal", "[http]") {
  EchoServer server;
  Pieces pieces{"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n"};
  for (int i = 0; i < 1500; ++i) pieces.emplace_back(64, 'a');
  CHECK(server.Send(pieces).starts_with("HTTP/1.1 413 "));
  CHECK(server.written() == pieces.size());
  CHECK(server.requests() == 0);
}

}  // namespace mimosabend::testing
