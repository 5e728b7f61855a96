#ifndef MIMOSABEND_ENDPOINT_LIMITS_H_
#define MIMOSABEND_ENDPOINT_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "clock.h"

namespace mimosabend {

// What a daemon tells others about the request rate that an endpoint accepts from all daemons
// together.
struct LimitNotice {
  // Rate of a notice that the endpoint no longer states a limit.
  static constexpr float kNoLimit = -1;

  // See EndpointNumber.
  std::uint32_t number = 0;
  // Requests per second.
  float rate = kNoLimit;
  // Time since the endpoint stated it.
  std::uint32_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, rate, age_ms);
  }
};

// The rate limits that endpoints state in their responses, as far as this daemon has heard of them
// from the endpoints themselves and from other daemons. Not thread-safe.
class EndpointLimits {
 public:
  // A lower limit, including 0, is treated as this rate, in requests per second: an endpoint that
  // got no request could not state that its limit has ended.
  static constexpr double kMinRate = 0.1;
  // A higher limit is treated as this rate.
  static constexpr double kMaxRate = 1e6;
  // The end of a limit is remembered for this long, so that older notices of the limit don't bring
  // it back. Limits in force are kept: an endpoint that gets requests states when its limit ends.
  static constexpr milliseconds kEndedLifetime{60000};
  // A notice may have been under way for this long, and is then that much older than it seems.
  static constexpr milliseconds kMaxNoticeDelay{1000};
  // Endpoints beyond this number are not recorded. Ended limits make room for others.
  static constexpr std::size_t kMaxEndpoints = 1024;

  // Records what a response states that arrived at `now` to a request sent at `sent_at`. Responses
  // on different connections overtake each other, and slow ones state what held seconds ago.
  // Therefore a response raises or ends the known limit only if its request was sent after that one
  // was stated, while any response lowers it. Returns whether the limit in force has changed.
  // Precondition: `rate`, if set, is finite and not negative.
  bool RecordResponse(std::uint32_t number, std::optional<double> rate, MonotonicTime sent_at,
                      MonotonicTime now);

  // Adopts the notice of a daemon that stated it at `at`, if it is newer than what is known; by
  // kMaxNoticeDelay if it raises or ends a limit. Returns whether the limit in force has changed.
  bool Adopt(const LimitNotice& notice, MonotonicTime at);

  // The limit in force, in requests per second; std::nullopt if there is none.
  std::optional<double> Rate(std::uint32_t number) const;

  // What is known of one endpoint; std::nullopt if nothing is.
  std::optional<LimitNotice> Notice(std::uint32_t number, MonotonicTime now) const;

  // What is known of all endpoints, for other daemons.
  std::vector<LimitNotice> Notices(MonotonicTime now) const;

  // Drops limits that ended kEndedLifetime ago.
  void PruneExpired(MonotonicTime now);

  // Drops the endpoints for which `keep(number)` is false.
  template <class Predicate>
  void KeepIf(Predicate keep) {
    std::erase_if(entries_, [&](const auto& item) { return !keep(item.first); });
  }

  // Number of endpoints with a limit in force.
  std::size_t size() const;

 private:
  struct Entry {
    // std::nullopt if the endpoint no longer states a limit.
    std::optional<double> rate;
    // When the endpoint stated it at the earliest: when the request was sent. A lowered limit has
    // the time of the response, so that responses to earlier requests don't raise it.
    MonotonicTime stated_at;
  };

  // Adds an endpoint. Returns false if there is no room.
  bool Add(std::uint32_t number, const Entry& entry);

  std::map<std::uint32_t, Entry> entries_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENDPOINT_LIMITS_H_
