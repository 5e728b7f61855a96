#include "tcp_listener.h"

#include <cassert>

namespace mimosabend {

namespace asio = boost::asio;

Result<std::uint16_t, std::string> OpenListener(const Address& address,
                                                std::optional<int> receive_buffer,
                                                asio::ip::tcp::acceptor* acceptor) {
  assert(!acceptor->is_open());
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  const asio::ip::tcp::endpoint endpoint(ip, address.port);
  if (!error) acceptor->open(endpoint.protocol(), error);
  if (!error) acceptor->set_option(asio::socket_base::reuse_address(true), error);
  // Connections inherit it, also those in the queue.
  if (!error && receive_buffer) {
    acceptor->set_option(asio::socket_base::receive_buffer_size(*receive_buffer), error);
  }
  if (!error) acceptor->bind(endpoint, error);
  if (!error) acceptor->listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    boost::system::error_code ignored;
    acceptor->close(ignored);
    return outcome::failure(ToString(address) + ": " + error.message());
  }
  return acceptor->local_endpoint().port();
}

}  // namespace mimosabend
