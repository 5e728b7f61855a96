#include <catch2/catch.hpp>
#include <vector>

#include "share_queue.h"

namespace mimosabend {

// Guards against urgent requests that wait behind others, or are dropped in their place when the
// queue is full.
TEST_CASE("a share queue serves and keeps the most urgent requests", "[brittle]") {
  struct Row {
    std::vector<std::uint32_t> waiting;
    std::uint32_t joining;
    std::size_t max_size;
    // std::nullopt if the joining request finds no place.
    std::optional<std::size_t> rank;
    bool last_is_dropped;
  };
  const std::vector<Row> rows{
      {{}, 1, 0, std::nullopt, false},    {{}, 1, 1, 0, false},    {{1, 1}, 1, 3, 2, false},
      {{1, 2}, 0, 3, 0, false},           {{0, 2}, 1, 2, 1, true}, {{1, 1}, 0, 2, 0, true},
      {{1, 1}, 1, 2, std::nullopt, false}};
  for (const Row& row : rows) {
    CAPTURE(row.waiting, row.joining, row.max_size);
    ShareQueue queue;
    std::vector<ShareQueue::Ticket> tickets;
    for (const std::uint32_t priority : row.waiting) {
      tickets.push_back(*queue.Join(priority, row.waiting.size()));
    }
    const auto ticket = queue.Join(row.joining, row.max_size);
    REQUIRE(ticket.has_value() == row.rank.has_value());
    if (ticket) CHECK(queue.Rank(*ticket) == row.rank);
    if (!tickets.empty()) CHECK(queue.Rank(tickets.back()).has_value() == !row.last_is_dropped);
  }
}

}  // namespace mimosabend
