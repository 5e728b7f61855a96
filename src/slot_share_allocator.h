#ifndef MIMOSABEND_SLOT_SHARE_ALLOCATOR_H_
#define MIMOSABEND_SLOT_SHARE_ALLOCATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "clock.h"
#include "codec.h"

namespace mimosabend {

// What a daemon tells the leader about one brittle endpoint, and how many requests it would like to
// have there.
struct SlotShareDemand {
  // See EndpointNumber.
  std::uint32_t number = 0;
  // Requests that the endpoint processes at a time.
  std::uint32_t slots = 1;
  // Requests per second that it may reject.
  float reject_limit = 0;
  // The endpoint itself has not stated that it is brittle yet: it may have just started.
  bool is_new = false;
  // Requests of the daemon at the endpoint, those that it needs to send now with them, and those
  // that it would like to be able to have there.
  std::uint32_t in_flight = 0;
  std::uint32_t needed = 0;
  std::uint32_t wanted = 0;
  // The daemon's present share, 0 if it has expired.
  std::uint32_t held = 0;
  // Requests that the endpoint has rejected since the last demand.
  std::uint32_t rejections = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, slots, reject_limit, in_flight, needed, wanted, held, rejections);
    SerializeFlag(archive, is_new);
  }
};

// Divides what brittle endpoints can take among the daemons. A share is the number of requests that
// a daemon may have at an endpoint. One daemon of the fleet, the placement leader, grants all
// shares, so that their sum stays within the capacity of the endpoint: its slots, since its waiting
// room is unknown and may shrink, or less after it has rejected requests. Not thread-safe.
class SlotShareAllocator {
 public:
  // A daemon uses a share for this long after it asked for it. A leader that is replaced within
  // this time interrupts nothing.
  static constexpr milliseconds kShareLifetime{2500};
  // The share of a daemon that is silent for this long is given to others. Longer than
  // kShareLifetime by the delay of a message. A new leader grants nothing beyond what daemons hold
  // for as long.
  static constexpr milliseconds kClaimLifetime{3000};
  // Capacity of an endpoint that has just started, as a part of its slots, and what is added each
  // second. A rejection leaves kRejectionFactor of what the endpoint had.
  static constexpr double kInitialPart = 0.25;
  static constexpr double kGrowthPerSecond = 0.25;
  static constexpr double kRejectionFactor = 0.75;
  // After a rejection, the capacity stays the same for this long.
  static constexpr milliseconds kHoldTime{1000};
  // When an endpoint has rejected this part of what it may reject in a second, it gets no request
  // for kPauseTime.
  static constexpr double kPausePart = 0.5;
  static constexpr milliseconds kPauseTime{1000};
  // Among more daemons than an endpoint can have requests, one keeps its share for this long at
  // least. While a share passes to another daemon, nothing uses it.
  static constexpr milliseconds kMinTenure{2000};
  // A higher number of slots is treated as this one.
  static constexpr std::uint32_t kMaxSlots = 4096;

  // Returns the daemon's share from now on. `confirmed` is false if another daemon may have become
  // leader meanwhile; then no share grows.
  std::uint32_t Decide(const std::string& daemon, const SlotShareDemand& demand, bool confirmed,
                       MonotonicTime now);

  // Drops all state when this daemon becomes leader.
  void Reset(MonotonicTime now);

  // Drops endpoints for which nothing was demanded recently.
  void PruneExpired(MonotonicTime now);

 private:
  // What is known of one daemon's requests at an endpoint.
  struct Claim {
    std::uint32_t granted = 0;
    std::uint32_t held = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t needed = 0;
    std::uint32_t wanted = 0;
    MonotonicTime heard_at;
    // Since when the daemon has had a share, or has had none.
    MonotonicTime since;
  };
  struct Endpoint {
    double capacity = 1;
    std::map<std::string, Claim> claims;
    // Rejections of the last second, in order.
    std::deque<MonotonicTime> rejections;
    MonotonicTime grown_at;
    MonotonicTime held_until;
    MonotonicTime paused_until;
  };

  static std::uint32_t Reserved(const Claim& claim);
  static void RecordRejections(Endpoint* endpoint, const SlotShareDemand& demand,
                               MonotonicTime now);
  static void Grow(Endpoint* endpoint, std::uint32_t slots, MonotonicTime now);
  static std::uint32_t FairShare(const Endpoint& endpoint, std::uint32_t number,
                                 const std::string& daemon, std::uint32_t capacity,
                                 MonotonicTime now);

  std::map<std::uint32_t, Endpoint> endpoints_;
  MonotonicTime term_began_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_SLOT_SHARE_ALLOCATOR_H_
