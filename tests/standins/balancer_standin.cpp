// Stand-in for the platform's load balancer: forwards TCP connections to the targets round-robin.
// With --ready it polls /readyz of each target and skips those that are not ready.
#include <gflags/gflags.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "http_client.h"
#include "ini_file.h"
#include "supervisor.h"

DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_string(targets, "", "comma-separated addresses to forward connections to");
DEFINE_string(ready, "", "comma-separated admin addresses of the targets, in the same order");
DEFINE_int32(delay_ms, 0, "one-way delay in each direction");

namespace mimosabend::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr milliseconds kReadinessPollPeriod{200};
constexpr milliseconds kReadinessTimeout{500};

struct Target {
  Address address;
  Address admin;
  bool ready = true;
};

class Balancer {
 public:
  explicit Balancer(asio::io_context* io) : io_(io), client_(io->get_executor()), acceptor_(*io) {
    const std::vector<std::string> targets = SplitList(FLAGS_targets);
    const std::vector<std::string> admins = SplitList(FLAGS_ready);
    for (std::size_t i = 0; i < targets.size(); ++i) {
      Target target;
      target.address = ParseAddress(targets[i]).value();
      if (i < admins.size()) {
        target.admin = ParseAddress(admins[i]).value();
        target.ready = false;
      }
      targets_.push_back(target);
    }
  }

  void Start() {
    const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                 static_cast<std::uint16_t>(FLAGS_port));
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    std::cout << "listening " << acceptor_.local_endpoint().port() << std::endl;
    asio::co_spawn(*io_, Accept(), asio::detached);
    if (!FLAGS_ready.empty()) asio::co_spawn(*io_, PollReadiness(), asio::detached);
  }

 private:
  Task<void> PollReadiness() {
    for (;;) {
      for (Target& target : targets_) {
        HttpCall call;
        call.address = target.admin;
        call.target = "/readyz";
        call.deadline = MonotonicNow() + kReadinessTimeout;
        auto reply = co_await client_.Call(std::move(call));
        target.ready = reply && reply.value().status == 200;
      }
      co_await Sleep(kReadinessPollPeriod);
    }
  }

  Task<void> Accept() {
    for (;;) {
      auto socket = std::make_shared<tcp::socket>(*io_);
      co_await acceptor_.async_accept(*socket, asio::use_awaitable);
      asio::co_spawn(*io_, HandleConnection(socket), asio::detached);
    }
  }

  Task<void> HandleConnection(std::shared_ptr<tcp::socket> client) {
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const Target& target = targets_[next_++ % targets_.size()];
      if (!target.ready) continue;
      auto upstream = std::make_shared<tcp::socket>(*io_);
      boost::system::error_code error;
      co_await upstream->async_connect(
          tcp::endpoint(asio::ip::make_address(target.address.ip), target.address.port),
          asio::redirect_error(asio::use_awaitable, error));
      if (error) continue;
      client->set_option(tcp::no_delay(true), error);
      upstream->set_option(tcp::no_delay(true), error);
      asio::co_spawn(*io_, Forward(client, upstream), asio::detached);
      asio::co_spawn(*io_, Forward(upstream, client), asio::detached);
      co_return;
    }
  }

  static Task<void> Forward(std::shared_ptr<tcp::socket> source,
                            std::shared_ptr<tcp::socket> destination) {
    std::array<char, 16384> buffer;
    boost::system::error_code error;
    while (!error) {
      const std::size_t length = co_await source->async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      if (FLAGS_delay_ms > 0) co_await Sleep(milliseconds(FLAGS_delay_ms));
      co_await asio::async_write(*destination, asio::buffer(buffer, length),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    boost::system::error_code ignored;
    destination->shutdown(tcp::socket::shutdown_send, ignored);
  }

  asio::io_context* io_;
  HttpClient client_;
  tcp::acceptor acceptor_;
  std::vector<Target> targets_;
  std::size_t next_ = 0;
};

}  // namespace

}  // namespace mimosabend::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context io(1);
  mimosabend::standin::Balancer balancer(&io);
  balancer.Start();
  io.run();
  std::_Exit(0);
}
