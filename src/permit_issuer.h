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
  // A bucket holds kBurstTokens and those of kBurstSeconds, for requests that come in clumps. In
  // simulations with demand of twice the limit and more, a limit of 0.5 a second was used to 0.80
  // in some minute with one token and to 0.90 with three.
  static constexpr double kBurstTokens = 3;
  static constexpr double kBurstSeconds = 0.25;
  // The tokens of kReserveSeconds are kept for requests of priority 0.
  static constexpr double kReserveSeconds = 0.1;
  // Part of the rate that is issued by a daemon that may have been replaced as leader. Requests
  // reach an endpoint up to 0.4 s after their permits were issued, so in 4 s both issue permits for
  // at most 3 + (0.25 + 4.4 * 1.25) times the rate, below the users' bound of 5 + 6 times the rate.
  static constexpr double kUnconfirmedShare = 0.25;
  static constexpr milliseconds kMinRetryAfter{50};
  static constexpr milliseconds kMaxRetryAfter{10000};
  // Daemons that are turned away come back at most this often, all together, for one endpoint, or
  // kDemandsPerPermit times as often as permits are issued. With one demand per permit, six daemons
  // used 0.87 of a limit of 40 a second in some 10 s of a simulation.
  static constexpr double kMaxDemandsPerSecond = 20;
  static constexpr double kDemandsPerPermit = 2;

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
    // The rate at the last demand, in tokens per second.
    double rate = 0;
    MonotonicTime updated;
    // When the last of the daemons that were turned away asks again.
    MonotonicTime last_retry;
  };

  std::map<std::uint32_t, Bucket> buckets_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PERMIT_ISSUER_H_
