#ifndef MIMOSABEND_REVIEW_COMMON_2_ENGINE_H_
#define MIMOSABEND_REVIEW_COMMON_2_ENGINE_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "harness.h"

namespace review {

// An order that an engine accepted.
struct Order {
  std::int64_t at = 0;
  std::string holder;
  std::uint64_t fence = 0;
};

// A model replica that doesn't check fencing tokens, as on sites with `require-fencing` false. It
// holds the model "m0" and executes orders for its adapters, and answers requests with a stream.
class Engine {
 public:
  static constexpr std::size_t kAdapterSlots = 8;

  Engine(std::string id, Store* store, Record* record);

  std::vector<Order> Orders();

 private:
  void Handle(Connection& connection, const Request& request);
  boost::json::array Models() const;
  int Execute(const boost::json::value& order);
  void Run(Connection& connection, const Request& request);

  std::string id_;
  Record* record_;
  std::mutex mutex_;
  std::set<std::string> adapters_;
  std::vector<Order> orders_;
  std::int64_t sequence_ = 0;
};

// The configuration with one service of such engines, "models", on the route /chat/.
boost::json::object EngineConfig();

// Sends requests for adapters in turn to all gateways until `stop` is set, so that the leader of
// placement orders loads and unloads all the time. Returns when all are answered.
void RunAdapterClient(const Fleet& fleet, int gateways, const std::atomic<bool>& stop,
                      Record* record);

// The gateway that sent the last order to an engine; -1 if there is none.
int LastHolder(const Fleet& fleet, int gateways, const std::vector<Engine*>& engines);

// The first two successive orders to one engine by different holders that are less than `lease_ms`
// apart; empty if there are none.
std::string FindTurn(const std::vector<Order>& orders, std::int64_t lease_ms);

}  // namespace review

#endif  // MIMOSABEND_REVIEW_COMMON_2_ENGINE_H_
