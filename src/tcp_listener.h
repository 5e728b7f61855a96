#ifndef MIMOSABEND_TCP_LISTENER_H_
#define MIMOSABEND_TCP_LISTENER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "result.h"
#include "settings.h"

namespace mimosabend {

// Binds an acceptor to an address and starts listening; port 0 selects a free port. Returns the
// port, or an error message with the address and the system's error. Not thread-safe. Precondition:
// `acceptor` is closed.
Result<std::uint16_t, std::string> OpenListener(const Address& address,
                                                boost::asio::ip::tcp::acceptor* acceptor);

}  // namespace mimosabend

#endif  // MIMOSABEND_TCP_LISTENER_H_
