#ifndef MIMOSABEND_REVIEW_COMMON_ORDERS_H_
#define MIMOSABEND_REVIEW_COMMON_ORDERS_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "harness.h"

// Clients that order on kept connections, at gateways whose processes the platform starts again
// when they end.

namespace mimosabend::review {

// An order, as its client and its replica saw it.
struct Order {
  std::string id;
  // Not the first request on its connection.
  bool on_kept_connection = false;
  // Run by a replica that is sound.
  bool run_by_sound = false;
  // The connection ended without an answer, before the client's deadline.
  bool cut = false;
};

// Plays orders (non_idempotent) at three replicas through some gateways, and counts what rules
// LOST and Fault forbid. Its replicas, clients and processes live until the program ends.
class OrderDay {
 public:
  // Sends the answer to a request that has run. Returns false if the answer was spoilt.
  using Answerer = std::function<bool(const std::string& replica, Connection* connection,
                                      const Message& request)>;

  OrderDay(const std::string& root, int gateways, Answerer answer);

  Fleet& fleet() { return *fleet_; }

  // Lets `clients` clients order for `seconds`, each `pause` seconds after its last answer.
  // Gateways that end are started again half a second later.
  void Play(int clients, double pause, double seconds);

  // Ends the program with the verdict: LOST is broken by more than three orders from kept
  // connections that a sound replica has run and whose connection ended without an answer, Fault by
  // two gateways or more that ended by themselves three times.
  [[noreturn]] void End(const std::string& trouble);

 private:
  void Run(const std::string& replica, Connection* connection, const Message& request);
  void RunClient(const std::string& front, double pause, double end);
  // Sends one order. Returns false if the connection has ended.
  bool Ask(Connection* connection, bool kept);
  void Supervise();

  Store store_;
  Answerer answer_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::unique_ptr<Fleet> fleet_;
  std::vector<int> ends_;
  std::atomic<bool> playing_{true};
  std::mutex mutex_;
  std::map<std::string, Order> orders_;
};

}  // namespace mimosabend::review

#endif  // MIMOSABEND_REVIEW_COMMON_ORDERS_H_
