#ifndef MIMOSABEND_PERMIT_ISSUER_H_
#define MIMOSABEND_PERMIT_ISSUER_H_

#include <cstdint>
#include <map>

#include "clock.h"

namespace mimosabend {

// A daemon's request for a permit to send one request to an endpoint with a rate limit.
struct PermitDemand {
  // See EndpointNumber.
  std::uint32_t endpoint = 0;
  // The endpoint's limit in requests per second, from all daemons together.
  double rate = 0;
  // Priority of the request; 0 is the most urgent.
  std::uint32_t priority = 0;
};

// The issuer's decision on a PermitDemand.
struct PermitDecision {
  bool granted = false;
  // If not granted: when to ask again.
  milliseconds retry_after{0};
};

// Issues the permits for all requests to endpoints with a rate limit. One daemon of the fleet, the
// placement leader, issues them all, so their rate follows the limit whichever daemons ask. A token
// bucket per endpoint starts empty, since a former issuer may have used up the rate. Not
// thread-safe.
class PermitIssuer {
 public:
  // Tokens that a bucket holds beyond one, in seconds of its rate: for requests that come in
  // clumps.
  static constexpr double kBurstSeconds = 0.5;
  // Part of a second's tokens that is kept for requests of priority 0.
  static constexpr double kUrgentReserve = 0.25;
  // Part of the rate that is issued by a daemon that may have been replaced as leader. Together
  // with the rate of its successor it stays below one and a half times the limit.
  static constexpr double kUnconfirmedShare = 0.25;
  static constexpr milliseconds kMinRetryAfter{50};
  static constexpr milliseconds kMaxRetryAfter{10000};
  // Daemons that are turned away come back at most this often, all together, for one endpoint.
  static constexpr double kMaxDemandsPerSecond = 20;

  // Decides on a demand. `confirmed` is false if another daemon may have become leader meanwhile.
  // Precondition: the rate is positive and finite.
  PermitDecision Decide(const PermitDemand& demand, bool confirmed, MonotonicTime now);

  // Drops all state when this daemon becomes leader.
  void Reset() { buckets_.clear(); }

  // Drops the buckets of endpoints for which nothing was demanded recently.
  void PruneExpired(MonotonicTime now);

 private:
  struct Bucket {
    double tokens = 0;
    MonotonicTime updated;
    // When the last of the daemons that were turned away asks again.
    MonotonicTime last_retry;
  };

  std::map<std::uint32_t, Bucket> buckets_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PERMIT_ISSUER_H_
