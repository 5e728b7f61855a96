#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "platform_fleet.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kSlowCallers = 200;
constexpr int kResponseBytes = 1000 * 1000;
constexpr int kRequests = 150;

// The most resident memory that a process has had, in MB.
double PeakResidentMb(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

// Median time of requests that are sent one after the other, in milliseconds.
double MedianLatency(PlatformFleet* fleet) {
  std::vector<double> times;
  for (int i = 0; i < kRequests; ++i) {
    const MonotonicTime start = MonotonicNow();
    const auto reply = CallOne(fleet->MakeCall(0, "/read/1", ""));
    REQUIRE(reply);
    CHECK(reply.value().status == 200);
    times.push_back(ToSeconds(MonotonicNow() - start) * 1000);
  }
  std::nth_element(times.begin(), times.begin() + kRequests / 2, times.end());
  return times[kRequests / 2];
}

// Callers that read 1 KB/s, in a thread of their own.
class SlowCallers {
 public:
  SlowCallers(const Address& address, int count) {
    for (int i = 0; i < count; ++i) {
      asio::co_spawn(io_, Run(address, i % 2 == 0 ? "/order/1" : "/once/1", i), asio::detached);
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~SlowCallers() {
    io_.stop();
    thread_.join();
  }

 private:
  Task<void> Run(Address address, std::string path, int number) {
    tcp::socket socket(io_, tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    boost::system::error_code error;
    co_await socket.async_connect({asio::ip::make_address(address.ip), address.port},
                                  asio::redirect_error(asio::use_awaitable, error));
    const std::string request =
        "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: slow" +
        std::to_string(number) +
        "\r\nModel: m\r\nToken-Count: 100,10\r\nTest-Bytes: " + std::to_string(kResponseBytes) +
        "\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request),
                               asio::redirect_error(asio::use_awaitable, error));
    std::array<char, 1024> block;
    while (!error) {
      co_await Sleep(seconds(1));
      co_await socket.async_read_some(asio::buffer(block),
                                      asio::redirect_error(asio::use_awaitable, error));
    }
  }

  asio::io_context io_{1};
  std::thread thread_;
};

}  // namespace

// Guards against callers that read slowly and delay the requests of others, or make the gateway
// exceed its memory limit.
TEST_CASE("slow callers neither delay others nor exceed the memory limit", "[memory]") {
  const int memory_mb = GENERATE(512, 120);
  CAPTURE(memory_mb);
  PlatformFleetOptions options;
  options.gateways = 1;
  options.engines = 2;
  options.plain_endpoints = 2;
  options.endpoint_flags = {"--event_gap_ms=5"};
  options.gateway_settings = "[host]\nmemory_mb = " + std::to_string(memory_mb) + "\n";
  PlatformFleet fleet(options);
  const double baseline = MedianLatency(&fleet);
  SlowCallers callers(fleet.caller_address(0), kSlowCallers);
  std::this_thread::sleep_for(seconds(3));
  const auto held = [&](const std::string& kind) {
    return fleet.Metric(0, "mimosabend_gateway_held_bytes{kind=\"" + kind + "\"}") / (1 << 20);
  };
  const double responses = held("responses");
  const double events = held("events");
  CAPTURE(baseline, responses, events);
  CHECK(responses + events <= 0.4 * memory_mb);
  CHECK(responses > 0);
  CHECK(events > 0);
  // With the smaller limit, the slow callers hold what there is, and others are refused.
  if (memory_mb == 512) {
    const double beside = MedianLatency(&fleet);
    CAPTURE(beside);
    CHECK(beside < 1.1 * baseline);
  } else {
    const auto reply = CallOne(fleet.MakeCall(0, "/read/1", ""));
    REQUIRE(reply);
    CHECK(reply.value().status == 503);
    CHECK(!FindHeader(reply.value().headers, "Retry-After").empty());
  }
  const double peak = PeakResidentMb(fleet.gateway(0).pid());
  CAPTURE(peak);
  CHECK(peak > 0);
  CHECK(peak < memory_mb);
}

}  // namespace mimosabend::testing
