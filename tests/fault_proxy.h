#ifndef MIMOSABEND_TESTS_FAULT_PROXY_H_
#define MIMOSABEND_TESTS_FAULT_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "clock.h"
#include "name_table.h"
#include "settings.h"

namespace mimosabend::testing {

// A fault of one exchange of a request and its answer on a proxied connection.
enum class LinkFault : std::uint8_t {
  kNone,
  // The request is held, and delivered later even if the client has closed its connection.
  kHoldRequest,
  // A part of the request is delivered, then the client's connection is reset.
  kCutRequest,
  // The client's connection is closed, or reset, in place of the answer or inside it.
  kCloseAnswer,
  kResetAnswer,
  // No byte of the answer arrives, and the connection stays open.
  kSilence,
  // The answer is held.
  kHoldAnswer,
  // A second copy of the answer arrives in front of the next answer on the connection.
  kCopyAnswer,
  // Bytes of the answer are overwritten.
  kGarbleAnswer,
  // The answer says that the connection is closed after it.
  kCloseHeader
};
inline constexpr NameTable<LinkFault, 10> kLinkFaultNames{
    {"none", "hold request", "cut request", "close answer", "reset answer", "silence",
     "hold answer", "copy answer", "garble answer", "close header"}};

// The faults that a network may cause between two sound programs.
inline const std::vector<LinkFault> kNetworkFaults{LinkFault::kHoldRequest, LinkFault::kCutRequest,
                                                   LinkFault::kCloseAnswer, LinkFault::kResetAnswer,
                                                   LinkFault::kSilence,     LinkFault::kHoldAnswer};
// Those and the ones of faulty servers.
inline const std::vector<LinkFault> kAllLinkFaults{
    LinkFault::kHoldRequest, LinkFault::kCutRequest,   LinkFault::kCloseAnswer,
    LinkFault::kResetAnswer, LinkFault::kSilence,      LinkFault::kHoldAnswer,
    LinkFault::kCopyAnswer,  LinkFault::kGarbleAnswer, LinkFault::kCloseHeader};

// How often a FaultProxy injects faults. Rates are percentages.
struct FaultProxyOptions {
  std::uint64_t seed = 1;
  // The faults that are drawn, with the same probability each. Not empty.
  std::vector<LinkFault> faults = kAllLinkFaults;
  // Share of the exchanges that have a fault.
  int fault_rate = 12;
  // Share of the answers of which a second copy is sent, beyond `fault_rate`.
  int copy_rate = 0;
  // Share of the connections that are reset when they are opened.
  int reset_connection_rate = 2;
  // Longest time for which bytes are held.
  milliseconds max_hold{1500};
  // Connections are closed after an idle time that is drawn up to this value and 100 ms more;
  // zero for never.
  milliseconds max_idle{0};
};

// Forwards connections on the loopback address between clients and servers, and injects faults that
// are drawn from a seed. Runs in a thread of its own. All methods are thread-safe.
class FaultProxy {
 public:
  explicit FaultProxy(FaultProxyOptions options);
  // Closes all connections.
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Listens on a free port for connections to `server`, and returns the port. Throws if no port is
  // free.
  std::uint16_t Forward(const Address& server);

  // Until this is called with `true`, and after it is called with `false`, no faults are injected.
  void InjectFaults(bool inject);

  // Until this is called with `false` again, no byte passes in either direction: connections that
  // carry one are reset, and new ones, too.
  void Cut(bool cut);

  // Until this is called with `false` again, no byte passes in either direction and connections
  // stay open. What was held passes then.
  void Hold(bool hold);

  // How often each fault was injected.
  std::map<LinkFault, int> injected() const;

 private:
  class Impl;

  std::shared_ptr<Impl> impl_;
  boost::asio::io_context io_{1};
  std::thread thread_;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_FAULT_PROXY_H_
