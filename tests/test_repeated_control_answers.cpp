#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "platform/engine_orders.h"

namespace mimosabend::testing {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// An engine whose control connections carry a second copy of each answer, just as the next one is
// expected. Answers name their request, if it has an id. The n-th report lists the run "n"; orders
// get 409.
struct RepeatingEngine {
  RepeatingEngine() : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(io, Accept(), asio::detached);
  }

  Address address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

  Task<void> Accept() {
    for (;;) {
      tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(io, Serve(std::move(socket)), asio::detached);
    }
  }

  Task<void> Serve(tcp::socket socket) {
    std::string copy;
    std::string input;
    for (;;) {
      const std::size_t size = co_await asio::async_read_until(socket, asio::dynamic_buffer(input),
                                                               "\r\n\r\n", asio::use_awaitable);
      const std::string head = input.substr(0, size);
      // Bodies of orders arrive with their header.
      input.clear();
      const bool is_report = head.starts_with("GET");
      const std::string body =
          is_report ? R"({"models":[],"runs":[[")" + std::to_string(++reports) + R"(",1,1,5]]})"
                    : std::string("{}");
      std::string answer = is_report ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 409 Conflict\r\n";
      const std::size_t id = head.find("\r\nRequest-Id:");
      if (id != std::string::npos) answer += head.substr(id + 2, head.find("\r\n", id + 2) - id);
      answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      const std::string bytes = copy + answer;
      co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
      copy = answer;
    }
  }

  // Runs a call until its result is there.
  template <class Value>
  Value Await(Task<Value> task) {
    std::optional<Value> value;
    const auto store = [&value](Task<Value> stored) -> Task<void> {
      Value result = co_await std::move(stored);
      value.emplace(std::move(result));
    };
    asio::co_spawn(io, store(std::move(task)), asio::detached);
    const MonotonicTime end = MonotonicNow() + seconds(2);
    while (!value && MonotonicNow() < end) io.run_for(milliseconds(5));
    REQUIRE(value);
    return std::move(*value);
  }

  asio::io_context io{1};
  tcp::acceptor acceptor;
  HttpClient client{io.get_executor()};
  platform::EngineOrders orders{&client};
  int reports = 0;
};

}  // namespace

// Guards against a run that is taken for ended, or an order that is taken for carried out, because
// a second copy of an earlier answer arrived on the same connection.
TEST_CASE("a copy of an earlier answer does not answer a question to an engine", "[unproven]") {
  RepeatingEngine engine;
  const auto first = engine.Await(engine.orders.Report(engine.address(), milliseconds(1000)));
  REQUIRE(first);
  SECTION("report") {
    const auto second = engine.Await(engine.orders.Report(engine.address(), milliseconds(1000)));
    const bool stale = second && second.value().runs == std::vector<std::string>{"1"};
    CHECK_FALSE(stale);
  }
  SECTION("order") {
    FleetOrder order;
    order.endpoint_id = "e1";
    order.address = engine.address();
    order.model = "m";
    const OrderOutcome outcome = engine.Await(engine.orders.Send(order, milliseconds(1000)));
    CHECK(outcome != OrderOutcome::kAlreadyHolds);
  }
}

}  // namespace mimosabend::testing
