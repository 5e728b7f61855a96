#ifndef MIMOSABEND_RANK_H_
#define MIMOSABEND_RANK_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "name_table.h"

namespace mimosabend {

// Priority class of a request, the most urgent first.
enum class Rank : std::uint8_t { kUrgent, kStandard, kBackground };
inline constexpr std::size_t kRankCount = 3;
inline constexpr NameTable<Rank, kRankCount> kRankNames{{"urgent", "standard", "background"}};
inline constexpr std::array<Rank, kRankCount> kAllRanks{Rank::kUrgent, Rank::kStandard,
                                                        Rank::kBackground};

constexpr std::size_t Index(Rank rank) { return static_cast<std::size_t>(rank); }

}  // namespace mimosabend

#endif  // MIMOSABEND_RANK_H_
