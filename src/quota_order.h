#ifndef MIMOSABEND_QUOTA_ORDER_H_
#define MIMOSABEND_QUOTA_ORDER_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "name_table.h"

namespace mimosabend {

// How a customer's quota is divided among its requests while they exceed it. kEqual: the same share
// of all requests is admitted. kPriority: more urgent requests are admitted first.
enum class QuotaOrder : std::uint8_t { kEqual, kPriority };
inline constexpr NameTable<QuotaOrder, 2> kQuotaOrderNames{{"equal", "priority"}};

// Requests are grouped by priority level: 0 is the most urgent. All priorities from the last level
// on belong to it, which bounds messages and metrics.
inline constexpr std::size_t kPriorityLevels = 10;

// The level of a priority. Thread-safe.
constexpr std::uint8_t PriorityLevel(std::uint32_t priority) {
  return static_cast<std::uint8_t>(std::min<std::uint32_t>(priority, kPriorityLevels - 1));
}

// One number for each level.
using ByLevel = std::array<double, kPriorityLevels>;

// Divides `allowed` units per second among levels that request `demand` units per second. Returns
// the share, from 0 to 1, of each level's requests to admit. Each level gets a quarter of the share
// that equal treatment would give it, and the rest goes to the more urgent levels first. Levels
// before the least urgent one with demand are admitted whole while their demand together is at most
// `reserved`, even if `allowed` is lower. Shares never increase from one level to the next.
// Precondition: no argument is negative. Thread-safe.
ByLevel SharesByPriority(const ByLevel& demand, double allowed, double reserved);

}  // namespace mimosabend

#endif  // MIMOSABEND_QUOTA_ORDER_H_
