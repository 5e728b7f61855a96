#ifndef MIMOSABEND_SHARE_QUEUE_H_
#define MIMOSABEND_SHARE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

namespace mimosabend {

// The requests of a daemon that wait for room at the brittle endpoints of a service, the most
// urgent first. Not thread-safe.
class ShareQueue {
 public:
  // Priority, 0 is the most urgent, and order of arrival.
  using Ticket = std::pair<std::uint32_t, std::uint64_t>;

  // Adds a request. Beyond `max_size`, the least urgent request leaves the queue; std::nullopt if
  // that is the new one.
  std::optional<Ticket> Join(std::uint32_t priority, std::size_t max_size) {
    const Ticket ticket{priority, next_++};
    tickets_.insert(ticket);
    while (tickets_.size() > max_size) tickets_.erase(std::prev(tickets_.end()));
    return tickets_.contains(ticket) ? std::optional(ticket) : std::nullopt;
  }

  // Does nothing if the request has left already.
  void Leave(const Ticket& ticket) { tickets_.erase(ticket); }

  // Number of requests before this one; std::nullopt if it has left the queue.
  std::optional<std::size_t> Rank(const Ticket& ticket) const {
    const auto it = tickets_.find(ticket);
    if (it == tickets_.end()) return std::nullopt;
    return static_cast<std::size_t>(std::distance(tickets_.begin(), it));
  }

 private:
  std::set<Ticket> tickets_;
  std::uint64_t next_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_SHARE_QUEUE_H_
