#ifndef MIMOSABEND_TCP_LISTENER_H_
#define MIMOSABEND_TCP_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "result.h"
#include "settings.h"

namespace mimosabend {

// Binds an acceptor to an address and starts listening; port 0 selects a free port. Returns the
// port, or an error message with the address and the system's error. `receive_buffer`: size of the
// receive buffer of accepted connections in bytes; the system's choice if not set. Not thread-safe.
// Precondition: `acceptor` is closed.
Result<std::uint16_t, std::string> OpenListener(const Address& address,
                                                std::optional<int> receive_buffer,
                                                boost::asio::ip::tcp::acceptor* acceptor);

}  // namespace mimosabend

#endif  // MIMOSABEND_TCP_LISTENER_H_
