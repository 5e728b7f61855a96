#ifndef MIMOSABEND_CONNECTION_TABLE_H_
#define MIMOSABEND_CONNECTION_TABLE_H_

#include <array>
#include <concepts>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "clock.h"
#include "memory_budget.h"
#include "name_table.h"

namespace mimosabend {

// Why a connection was closed in favour of another one.
enum class EvictionCause : std::uint8_t { kMemory, kConnections };
inline constexpr std::size_t kEvictionCauseCount = 2;
inline constexpr NameTable<EvictionCause, kEvictionCauseCount> kEvictionCauseNames{
    {"memory", "connections"}};

// Number of evicted connections that may still get a response; others are closed without one.
inline constexpr std::size_t kMaxLeavingConnections = 64;

// Counts evictions, and logs when a period of them begins and ends. Not thread-safe.
class EvictionLog {
 public:
  void Record(EvictionCause cause, std::size_t connections, MonotonicTime now);
  // Ends the period if there has been no eviction for a while.
  void Update(MonotonicTime now);
  std::uint64_t evictions(EvictionCause cause) const {
    return evictions_[static_cast<std::size_t>(cause)];
  }

 private:
  std::array<std::uint64_t, kEvictionCauseCount> evictions_{};
  // The last eviction, until the period has ended.
  std::optional<MonotonicTime> evicted_at_;
};

// `held_bytes`: what the request that is being received holds of the memory budget. `Evict`
// releases that at once and closes the connection, if `with_response` after a response that the
// request has not run. It must not call the table.
template <class Connection>
concept Evictable = requires(Connection connection, bool with_response) {
  { connection.held_bytes() } -> std::convertible_to<std::uint64_t>;
  connection.Evict(with_response);
};

// The connections of a listener, and which of them is closed if another one needs its place or its
// memory. A connection whose request is handled is never closed. Not thread-safe.
template <Evictable Connection>
class ConnectionTable {
 public:
  // A connection may wait this long for its request, or read on after its last response, before it
  // is closed for a new connection: a request that is on its way arrives meanwhile.
  static constexpr milliseconds kMinWait{20};
  // How long a new request is expected to hold its memory. It displaces only requests that have
  // held more bytes for longer, so large requests do not displace small ones.
  static constexpr seconds kExpectedReceiveTime{1};

  // Adds a connection. Precondition: it is not in the table.
  void Add(Connection* connection) { records_[connection] = {}; }
  // Precondition: it is in the table, as for all methods below.
  void Remove(Connection* connection);

  // The connection waits for a request, or receives one since `now`.
  void SetReceiving(Connection* connection, MonotonicTime now);
  // Its request is complete or rejected.
  void SetBusy(Connection* connection);
  // It reads what its client still sends after the last response.
  void SetClosing(Connection* connection, MonotonicTime now);

  // Whether there is a place for one more connection than are open; closes another one if need be.
  bool MakeRoomForConnection(std::size_t limit, MonotonicTime now);

  // Makes room for a request of `bytes` that `connection` receives and that has the hold `own`, by
  // closing connections whose requests have cost more: bytes held, times the time for which they
  // have been received. Closes none if that would not suffice. `own` is null for a request that has
  // not been admitted. Returns whether there is room.
  bool MakeRoomInMemory(const MemoryBudget& budget, Connection* connection, const MemoryHold* own,
                        std::uint64_t bytes, MonotonicTime now);

  std::size_t open() const { return records_.size(); }
  // The connections that wait for a request or receive one, those that began first in front.
  const std::list<Connection*>& receiving() const { return receiving_; }
  const EvictionLog& log() const { return log_; }

 private:
  using Place = typename std::list<Connection*>::iterator;
  struct Record {
    // The list that holds it; null for none.
    std::list<Connection*>* list = nullptr;
    Place place;
    MonotonicTime since;
    bool leaves = false;
  };

  void Move(Connection* connection, std::list<Connection*>* list, MonotonicTime now);
  void Evict(Connection* connection, EvictionCause cause, MonotonicTime now);
  // Bytes that the connection's request holds, times the time since it began, in byte seconds.
  double Cost(Connection* connection, MonotonicTime now) const {
    return static_cast<double>(connection->held_bytes()) *
           ToSeconds(now - records_.at(connection).since);
  }

  std::unordered_map<Connection*, Record> records_;
  std::list<Connection*> receiving_;
  std::list<Connection*> closing_;
  std::size_t leaving_ = 0;
  EvictionLog log_;
};

template <Evictable Connection>
void ConnectionTable<Connection>::Move(Connection* connection, std::list<Connection*>* list,
                                       MonotonicTime now) {
  Record& record = records_.at(connection);
  if (record.list != nullptr) record.list->erase(record.place);
  record.list = list;
  record.since = now;
  if (list != nullptr) record.place = list->insert(list->end(), connection);
}

template <Evictable Connection>
void ConnectionTable<Connection>::Remove(Connection* connection) {
  Move(connection, nullptr, MonotonicTime());
  if (records_.at(connection).leaves) --leaving_;
  records_.erase(connection);
}

template <Evictable Connection>
void ConnectionTable<Connection>::SetReceiving(Connection* connection, MonotonicTime now) {
  Move(connection, &receiving_, now);
}

template <Evictable Connection>
void ConnectionTable<Connection>::SetBusy(Connection* connection) {
  Move(connection, nullptr, MonotonicTime());
}

template <Evictable Connection>
void ConnectionTable<Connection>::SetClosing(Connection* connection, MonotonicTime now) {
  const bool leaves = records_.at(connection).leaves;
  Move(connection, leaves ? nullptr : &closing_, now);
}

template <Evictable Connection>
void ConnectionTable<Connection>::Evict(Connection* connection, EvictionCause cause,
                                        MonotonicTime now) {
  Record& record = records_.at(connection);
  const bool with_response = record.list == &receiving_ && leaving_ < kMaxLeavingConnections;
  Move(connection, nullptr, now);
  record.leaves = true;
  ++leaving_;
  log_.Record(cause, records_.size(), now);
  connection->Evict(with_response);
}

template <Evictable Connection>
bool ConnectionTable<Connection>::MakeRoomForConnection(std::size_t limit, MonotonicTime now) {
  log_.Update(now);
  if (records_.size() - leaving_ < limit) return true;
  for (std::list<Connection*>* list : {&closing_, &receiving_}) {
    if (list->empty() || now - records_.at(list->front()).since < kMinWait) continue;
    Evict(list->front(), EvictionCause::kConnections, now);
    return true;
  }
  return false;
}

template <Evictable Connection>
bool ConnectionTable<Connection>::MakeRoomInMemory(const MemoryBudget& budget,
                                                   Connection* connection, const MemoryHold* own,
                                                   std::uint64_t bytes, MonotonicTime now) {
  if (budget.WouldFit(bytes, own, 0)) return true;
  const double own_cost =
      Cost(connection, now) +
      static_cast<double>(bytes * MemoryBudget::kBodyCopies) * ToSeconds(kExpectedReceiveTime);
  std::uint64_t evictable = 0;
  for (Connection* other : receiving_) {
    if (other != connection && Cost(other, now) > own_cost) evictable += other->held_bytes();
  }
  if (!budget.WouldFit(bytes, own, evictable)) return false;
  while (!budget.WouldFit(bytes, own, 0)) {
    Connection* costliest = nullptr;
    double highest = own_cost;
    for (Connection* other : receiving_) {
      const double cost = Cost(other, now);
      if (other == connection || cost <= highest) continue;
      costliest = other;
      highest = cost;
    }
    if (costliest == nullptr) return false;
    Evict(costliest, EvictionCause::kMemory, now);
  }
  return true;
}

}  // namespace mimosabend

#endif  // MIMOSABEND_CONNECTION_TABLE_H_
