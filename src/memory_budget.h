#ifndef MIMOSABEND_MEMORY_BUDGET_H_
#define MIMOSABEND_MEMORY_BUDGET_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "clock.h"
#include "name_table.h"

namespace mimosabend {

// What is held in memory for a caller or an endpoint. kEvents: events of streams that their callers
// have not taken yet.
enum class MemoryKind : std::uint8_t { kRequests, kResponses, kEvents };
inline constexpr std::size_t kMemoryKindCount = 3;
inline constexpr NameTable<MemoryKind, kMemoryKindCount> kMemoryKindNames{
    {"requests", "responses", "events"}};

// kNoRoom: bytes that are released later make room. kTooLarge: exceeds the share of one connection.
enum class MemoryResult : std::uint8_t { kHeld, kNoRoom, kTooLarge };

// How much of the limit a hold may take. kBriefly: all of it, for what is released before the next
// request is served.
enum class HoldShare : std::uint8_t { kConnection, kBriefly };

class MemoryBudget;

// Bytes that count toward a budget until this object is destroyed. It may outlive the budget. Not
// thread-safe.
class MemoryHold {
 public:
  // Holds nothing, has no limit and is not counted.
  MemoryHold() = default;
  MemoryHold(MemoryHold&& other) noexcept { *this = std::move(other); }
  MemoryHold& operator=(MemoryHold&& other) noexcept;
  ~MemoryHold() { Release(); }

  // Adds bytes, or changes nothing unless the result is kHeld.
  MemoryResult TryGrow(std::uint64_t bytes, HoldShare share = HoldShare::kConnection);

  // Precondition: at least `bytes` are held.
  void Shrink(std::uint64_t bytes);

  // Counts the bytes toward the share of a customer as well. Precondition: no customer is set.
  void SetCustomer(const std::string& customer);

  // Stops counting the bytes.
  void Release();

  // In bytes.
  std::uint64_t bytes() const { return bytes_; }

 private:
  friend class MemoryBudget;
  struct Totals;
  MemoryHold(std::shared_ptr<Totals> totals, MemoryKind kind)
      : totals_(std::move(totals)), kind_(kind) {}

  std::shared_ptr<Totals> totals_;
  MemoryKind kind_ = MemoryKind::kRequests;
  std::string customer_;
  std::uint64_t bytes_ = 0;
  // Whether this is the hold of an admitted request.
  bool admitted_ = false;
};

// Limits the bytes that a daemon holds for slow callers and endpoints. New requests are refused
// while too much is held or expected; what has been admitted may fill the rest of the limit, and
// waits for room beyond it. A request gets half of what the others leave, so that some room remains
// for smaller ones. Not thread-safe.
class MemoryBudget {
 public:
  // A body of a request is held as received, and as the copy that is written to an endpoint.
  static constexpr std::uint64_t kBodyCopies = 2;

  // `limit`: in bytes, 0 for none.
  explicit MemoryBudget(std::uint64_t limit = 0);

  // Takes effect for bytes that are held from now on.
  void set_limit(std::uint64_t limit);
  std::uint64_t limit() const;

  // A hold for a new request of `bytes`: its header, and its body if its length is known. Returns
  // std::nullopt and counts a refusal if the request, its copy and the expected response have no
  // room. Logs when refusing begins and ends.
  std::optional<MemoryHold> Admit(std::uint64_t bytes, MonotonicTime now);

  // Grows the hold of a request to `bytes` and its copy, with the limits of Admit. Returns false
  // and changes nothing if there is no room. Precondition: `hold` comes from Admit, or from Open
  // for a request that is not admitted yet.
  bool GrowRequest(MemoryHold* hold, std::uint64_t bytes) const;

  // Whether a request of `bytes`, new or with the hold `own`, would have room if `freed` bytes that
  // are held for other requests were released.
  bool WouldFit(std::uint64_t bytes, const MemoryHold* own, std::uint64_t freed) const;

  // Whether the customer holds less than its share.
  bool HasRoom(const std::string& customer) const;

  // Counts a request that is refused, and logs when refusing begins.
  void RecordRefusal(MonotonicTime now);

  // An empty hold. `customer` may be empty.
  MemoryHold Open(MemoryKind kind, const std::string& customer) const;

  // Learns from a request that has ended what to expect of others. `bytes`: size of its response, 0
  // unless that was read whole.
  void RecordResponse(std::uint64_t bytes);

  // Bytes held now.
  std::uint64_t held(MemoryKind kind) const;
  std::uint64_t held() const;
  std::uint64_t refusals() const { return refusals_; }

 private:
  std::shared_ptr<MemoryHold::Totals> totals_;
  // Recent mean.
  double expected_response_;
  std::uint64_t refusals_ = 0;
  // The last refusal, until refusing has ended.
  std::optional<MonotonicTime> refused_at_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_MEMORY_BUDGET_H_
