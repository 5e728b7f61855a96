#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "http_client.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Longer than the second or so for which a sound endpoint may be silent.
constexpr milliseconds kSilence{1400};

// Drops everything that arrives at a socket, as a network does, or ends that.
void Silence(tcp::socket* socket, bool silent) {
  sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop};
  const int option = silent ? SO_ATTACH_FILTER : SO_DETACH_FILTER;
  REQUIRE(::setsockopt(socket->native_handle(), SOL_SOCKET, option, &program, sizeof(program)) ==
          0);
}

struct SilentEndpoint {
  SilentEndpoint()
      : acceptor(io, {asio::ip::address_v4::loopback(), 0}),
        client(io.get_executor(), kEndpointOptions) {}

  // Reads one request.
  Task<void> Read() {
    std::string bytes(4096, '\0');
    co_await socket->async_read_some(asio::buffer(bytes), asio::use_awaitable);
  }

  Task<void> Respond() {
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    co_await asio::async_write(*socket, asio::buffer(response), asio::use_awaitable);
  }

  Task<void> Accept() {
    auto accepted = co_await acceptor.async_accept(asio::use_awaitable);
    socket.emplace(std::move(accepted));
  }

  Task<void> Call(std::optional<Result<HttpReply, HttpError>>* reply) {
    HttpCall call;
    call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    call.method = "POST";
    call.target = "/order/";
    call.body = "body";
    call.deadline = MonotonicNow() + seconds(10);
    auto answer = co_await client.Call(std::move(call));
    *reply = std::move(answer);
  }

  asio::io_context io{1};
  tcp::acceptor acceptor;
  std::optional<tcp::socket> socket;
  HttpClient client;
};

}  // namespace

// Guards against keep-alive probes that give up after the first lost one, since TCP_USER_TIMEOUT
// decides that and not their count.
TEST_CASE("an endpoint that is silent while it works keeps its connection", "[silent_endpoint]") {
  SilentEndpoint endpoint;
  const auto serve = [&endpoint]() -> Task<void> {
    co_await endpoint.Accept();
    co_await endpoint.Read();
    // Probes are sent one second and two after the request.
    co_await Sleep(milliseconds(800));
    Silence(&*endpoint.socket, true);
    co_await Sleep(kSilence);
    Silence(&*endpoint.socket, false);
    co_await Sleep(milliseconds(2400));
    co_await endpoint.Respond();
  };
  std::optional<Result<HttpReply, HttpError>> reply;
  asio::co_spawn(endpoint.io, serve(), asio::detached);
  asio::co_spawn(endpoint.io, endpoint.Call(&reply), asio::detached);
  endpoint.io.run_for(seconds(8));
  REQUIRE(reply);
  REQUIRE(*reply);
  CHECK(reply->value().body == "ok");
}

// Guards against a request that ends with its connection since the endpoint did not acknowledge it
// for a moment.
TEST_CASE("an endpoint that is silent as a request arrives runs it", "[silent_endpoint]") {
  SilentEndpoint endpoint;
  const auto serve = [&endpoint]() -> Task<void> {
    co_await endpoint.Accept();
    co_await endpoint.Read();
    co_await endpoint.Respond();
    Silence(&*endpoint.socket, true);
    co_await Sleep(kSilence);
    Silence(&*endpoint.socket, false);
    co_await endpoint.Read();
    co_await endpoint.Respond();
  };
  std::optional<Result<HttpReply, HttpError>> first;
  std::optional<Result<HttpReply, HttpError>> second;
  const auto call = [&]() -> Task<void> {
    co_await endpoint.Call(&first);
    co_await Sleep(milliseconds(20));
    co_await endpoint.Call(&second);
  };
  asio::co_spawn(endpoint.io, serve(), asio::detached);
  asio::co_spawn(endpoint.io, call(), asio::detached);
  endpoint.io.run_for(seconds(8));
  REQUIRE(first);
  CHECK(*first);
  REQUIRE(second);
  REQUIRE(*second);
  CHECK(second->value().body == "ok");
}

}  // namespace mimosabend::testing
