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

// Load balancer: chooses the less loaded of two random endpoints (power of two choices), or the
// endpoint that served the same prefix last unless it is much busier. Replicas outside the
// own region are used only if there is none inside. Endpoints that fail are ejected with
// exponential backoff. Not thread-safe.
class Router {
 public:
  Router(std::string region, std::uint64_t seed) : region_(std::move(region)), random_(seed) {}

  // Returns nullptr if every replica is in `excluded`. The result points into `replicas`. `prefix`
  // is the hash of the beginning of the prompt.
  const ReplicaLocation* Choose(const std::vector<ReplicaLocation>& replicas, std::uint64_t prefix,
                                const std::set<std::string>& excluded, MonotonicTime now);

  // To be called at the start and at the end of each attempt at an endpoint.
  void Start(const std::string& endpoint, std::uint64_t prefix);
  void End(const std::string& endpoint, bool failed, MonotonicTime now);

 private:
  struct EndpointStats {
    std::uint32_t outstanding = 0;
    std::uint32_t consecutive_failures = 0;
    MonotonicTime ejected_until;
  };

  // Requests per slot.
  double Load(const ReplicaLocation& replica) const;
  bool IsEjected(const std::string& endpoint, MonotonicTime now) const;

  std::string region_;
  std::mt19937_64 random_;
  std::map<std::string, EndpointStats> stats_;
  // The endpoint that served a prefix last.
  std::map<std::uint64_t, std::string> prefixes_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ROUTER_H_
