#ifndef MIMOSABEND_ROUTER_H_
#define MIMOSABEND_ROUTER_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "peer_message.h"

namespace mimosabend {

// Chooses an endpoint for a request: the better of two random ones by load, or the one that
// served the same prefix before unless it is much busier. Endpoints that fail are left out for a
// while. Not thread-safe.
class Router {
 public:
  Router(std::string region, std::uint64_t seed) : region_(std::move(region)), random_(seed) {}

  // nullptr if every replica is in `excluded`. The result points into `replicas`.
  const ReplicaLocation* Choose(const std::vector<ReplicaLocation>& replicas, std::uint64_t prefix,
                                const std::set<std::string>& excluded, MonotonicTime now);

  // Notes the start and the end of a request at an endpoint.
  void Start(const std::string& endpoint, std::uint64_t prefix);
  void End(const std::string& endpoint, bool failed, MonotonicTime now);

 private:
  struct EndpointStats {
    std::uint32_t outstanding = 0;
    std::uint32_t failures_in_row = 0;
    MonotonicTime ejected_until;
  };

  double Load(const ReplicaLocation& replica) const;
  bool IsEjected(const std::string& endpoint, MonotonicTime now) const;

  std::string region_;
  std::mt19937_64 random_;
  std::map<std::string, EndpointStats> stats_;
  // Endpoint that served a prefix last.
  std::map<std::uint64_t, std::string> prefixes_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ROUTER_H_
