#ifndef MIMOSABEND_BRITTLE_ENDPOINTS_H_
#define MIMOSABEND_BRITTLE_ENDPOINTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "endpoint_limits.h"
#include "slot_share_allocator.h"

namespace mimosabend {

// The brittle endpoints: those that fall over when they have to reject more than a stated number of
// requests in a second. Knows them from their responses and from other daemons, and holds this
// daemon's shares of them (see SlotShareAllocator). An endpoint that has not answered yet counts as
// brittle while another one of its service does. Not thread-safe.
class BrittleEndpoints {
 public:
  // An endpoint of a service that has answered nothing yet is taken for brittle for this long after
  // another one stated it.
  static constexpr milliseconds kServiceMemory{15000};
  // A daemon asks for as many requests as it had at an endpoint within the last one to two periods,
  // and for as many more as found no room in one of them.
  static constexpr milliseconds kPeriod{100};

  // Records what a response states that arrived at `now` to a request sent at `sent_at`: how many
  // requests per second the endpoint may reject, std::nullopt if it isn't brittle. Returns whether
  // what is known of the endpoint has changed. Precondition: as EndpointLimits::RecordResponse.
  bool RecordResponse(const std::string& service, std::uint32_t number, std::optional<double> limit,
                      MonotonicTime sent_at, MonotonicTime now);

  // Adopts the notice of a daemon that stated it at `at`. Returns whether what is known has
  // changed.
  bool Adopt(const std::string& service, const LimitNotice& notice, MonotonicTime at);

  // Whether another daemon has told what it knows since this process was started.
  bool informed() const { return informed_; }
  void set_informed() { informed_ = true; }

  // What is known of all endpoints, for other daemons.
  std::vector<LimitNotice> Notices(MonotonicTime now) const { return stated_.Notices(now); }

  // Whether no endpoint has stated that it is brittle.
  bool empty() const { return stated_.size() == 0; }
  // Number of endpoints that state it.
  std::size_t size() const { return stated_.size(); }

  // How many requests per second an endpoint may reject; std::nullopt if it isn't taken for
  // brittle.
  std::optional<double> RejectLimit(const std::string& service, std::uint32_t number,
                                    MonotonicTime now) const;

  // How many further requests this daemon may send to a brittle endpoint, of which it has
  // `in_flight` there.
  std::uint32_t Room(std::uint32_t number, std::uint32_t in_flight, MonotonicTime now) const;

  // Records that this daemon has `in_flight` requests at an endpoint, including one that it has
  // just sent.
  void RecordStart(std::uint32_t number, std::uint32_t in_flight, MonotonicTime now);
  // A request has found no room within this daemon's share.
  void RecordMiss(std::uint32_t number, MonotonicTime now);
  // The endpoint has rejected a request.
  void RecordRejection(std::uint32_t number) { ++shares_[number].rejections; }

  // What to ask the leader for. std::nullopt if the endpoint isn't brittle or this daemon has had
  // no use for it recently. Counts rejections from now on.
  std::optional<SlotShareDemand> TakeDemand(const std::string& service, std::uint32_t number,
                                            std::uint32_t slots, std::uint32_t in_flight,
                                            MonotonicTime now);
  // Adopts the leader's answer to a demand made at `asked_at`. Returns whether the share has grown.
  bool SetShare(std::uint32_t number, std::uint32_t share, MonotonicTime asked_at);
  // The demand was not answered.
  void RestoreDemand(const SlotShareDemand& demand);

  // Drops endpoints for which `keep(number)` is false, and what is too old to matter.
  template <class Predicate>
  void KeepIf(Predicate keep, MonotonicTime now) {
    stated_.KeepIf(keep);
    stated_.PruneExpired(now);
    const auto drop = [&](const auto& item) { return !keep(item.first); };
    std::erase_if(services_, drop);
    std::erase_if(not_brittle_, drop);
    std::erase_if(shares_, drop);
  }

 private:
  // The most requests in flight in a period, and how many found no room.
  struct Use {
    std::uint32_t peak = 0;
    std::uint32_t misses = 0;
  };
  // This daemon's share of an endpoint, and its use.
  struct Share {
    std::uint32_t size = 0;
    MonotonicTime valid_until;
    // What the leader was last told to be held.
    std::uint32_t told_held = 0;
    std::uint32_t rejections = 0;
    // Use in the present period and in the one before.
    Use present;
    Use last;
    MonotonicTime period_began;
  };

  static void Update(Share* share, std::uint32_t in_flight, MonotonicTime now);

  // The rates are those of rejections.
  EndpointLimits stated_;
  // The service of each endpoint in `stated_`.
  std::map<std::uint32_t, std::string> services_;
  // Endpoints that have answered without stating it, while another one of their service did.
  std::map<std::uint32_t, MonotonicTime> not_brittle_;
  std::map<std::uint32_t, Share> shares_;
  bool informed_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_BRITTLE_ENDPOINTS_H_
