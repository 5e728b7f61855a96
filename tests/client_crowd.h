#ifndef MIMOSABEND_TESTS_CLIENT_CROWD_H_
#define MIMOSABEND_TESTS_CLIENT_CROWD_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "clock.h"
#include "settings.h"
#include "supervisor.h"

namespace mimosabend::testing {

// How a client sends the body of its request. kHeader: a header that does not end instead.
// kNothing: no bytes at all. kPipelined: a complete request, and the body behind it. kFrame: a
// frame as between daemons, with its length in front.
enum class CrowdFraming : std::uint8_t { kLength, kChunks, kHeader, kNothing, kPipelined, kFrame };

// What each client of a crowd sends.
struct CrowdBehavior {
  std::string name;
  int clients = 0;
  CrowdFraming framing = CrowdFraming::kLength;
  std::string path = "/order/1";
  // Size of the whole body; with kLength it is announced.
  std::uint64_t body_bytes = 0;
  // A client stops after so many bytes of the body, and keeps its connection open.
  std::uint64_t sent_bytes = 0;
  // Size of a chunk, or of what is written at once.
  std::uint64_t piece_bytes = 64 * 1024;
  // Whether a client opens a new connection as soon as its connection has been closed.
  bool returns = false;
  // Each client with a number that is a multiple of this sends its whole body; 0: none does.
  int whole_every = 0;
  // Size of fields of a few bytes each that the header has besides the others.
  std::uint64_t small_field_bytes = 0;
  // A body that each client sends whole instead, if it is not empty.
  std::string body = "";
};

// Clients on connections of their own, in a thread of their own. The destructor closes them.
class ClientCrowd {
 public:
  ClientCrowd(const Address& address, CrowdBehavior behavior);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Waits until each client has sent all that it sends or has been refused, and returns whether
  // they all have.
  bool WaitUntilSent(milliseconds timeout) const;

  // The status codes that clients received, by Request-Id. Thread-safe.
  std::map<std::string, int> Statuses() const;

 private:
  Task<void> Run(int number);
  Task<void> SendRequest(boost::asio::ip::tcp::socket* socket, int number, std::string id);
  void SetStatus(const std::string& id, int status);

  Address address_;
  CrowdBehavior behavior_;
  boost::asio::io_context io_{1};
  std::atomic<int> settled_ = 0;
  mutable std::mutex mutex_;
  std::map<std::string, int> statuses_;
  std::thread thread_;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_CLIENT_CROWD_H_
