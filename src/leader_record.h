#ifndef MIMOSABEND_LEADER_RECORD_H_
#define MIMOSABEND_LEADER_RECORD_H_

#include <optional>
#include <string>

#include "kv_store.h"
#include "settings.h"

namespace mimosabend {

// Keys that the placement leader writes in the store: the current leader, and the last daemon that
// led.
inline constexpr char kLeaderKey[] = "mimosabend/leader";
inline constexpr char kLastHolderKey[] = "mimosabend/holder";

// Value of kLeaderKey: the address of the leader, and the lease that the key is bound to.
struct LeaderRecord {
  Address address;
  LeaseId lease;
};

// Formats a record as "IP:PORT LEASE". Thread-safe.
std::string ToString(const LeaderRecord& record);

// Parses the format of ToString; std::nullopt if the text doesn't have it. Thread-safe.
std::optional<LeaderRecord> ParseLeaderRecord(const std::string& text);

// Value of kLastHolderKey: the host that led last, and the era of the store in which it claimed
// leadership. A record of an earlier era than the store's was restored with the store, and later
// holders may be lost.
struct HolderRecord {
  std::string host;
  std::uint32_t era = 0;
};

// Formats a record as "HOST", followed by a line feed and the era if that is not 0. Thread-safe.
std::string ToString(const HolderRecord& record);

// Parses the format of ToString. Thread-safe.
HolderRecord ParseHolderRecord(const std::string& text);

}  // namespace mimosabend

#endif  // MIMOSABEND_LEADER_RECORD_H_
