#ifndef MIMOSABEND_LEADER_RECORD_H_
#define MIMOSABEND_LEADER_RECORD_H_

#include <optional>
#include <string>

#include "kv_store.h"
#include "settings.h"

namespace mimosabend {

// Keys of this program in the store.
inline constexpr char kLeaderKey[] = "mimosabend/leader";
inline constexpr char kLastHolderKey[] = "mimosabend/holder";

// What the leader's key holds: where the leader is, and the lease that it claimed the key with.
struct LeaderRecord {
  Address address;
  LeaseId lease;
};

// "IP:PORT LEASE". Thread-safe.
std::string ToString(const LeaderRecord& record);

// Parses what ToString writes; std::nullopt for anything else. Thread-safe.
std::optional<LeaderRecord> ParseLeaderRecord(const std::string& text);

}  // namespace mimosabend

#endif  // MIMOSABEND_LEADER_RECORD_H_
