#ifndef MIMOSABEND_HELD_JSON_H_
#define MIMOSABEND_HELD_JSON_H_

#include <boost/json.hpp>
#include <optional>
#include <string_view>

#include "memory_budget.h"

namespace mimosabend {

// Memory of parsed JSON, which can take many times the size of its text. It counts toward a hold
// until it is released. Allocating throws std::bad_alloc if the hold can't grow. Not thread-safe.
class HeldJsonMemory : public boost::json::memory_resource {
 public:
  // Precondition: `hold` outlives this object, and this object all values that use it. Null for
  // memory that is not counted.
  explicit HeldJsonMemory(MemoryHold* hold) : hold_(hold) {}

  // Parses untrusted JSON; returns std::nullopt if it is malformed or nested too deeply. Throws
  // std::bad_alloc without room.
  std::optional<boost::json::value> Parse(std::string_view text);

 private:
  void* do_allocate(std::size_t bytes, std::size_t alignment) override;
  void do_deallocate(void* memory, std::size_t bytes, std::size_t alignment) override;
  bool do_is_equal(const boost::json::memory_resource& other) const noexcept override {
    return this == &other;
  }

  MemoryHold* hold_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HELD_JSON_H_
