#ifndef MIMOSABEND_NAME_TABLE_H_
#define MIMOSABEND_NAME_TABLE_H_

#include <array>
#include <cassert>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mimosabend {

// Maps the enumerators of an enum to names and back. The enumerators' values must be 0 to kCount -
// 1; `names` lists their names in this order.
template <class Enum, std::size_t kCount>
struct NameTable {
  std::array<std::string_view, kCount> names;

  // Precondition: `value` is an enumerator of the table. Thread-safe.
  constexpr std::string_view operator[](Enum value) const {
    const auto index = static_cast<std::size_t>(value);
    assert(index < kCount);
    return names[index];
  }

  // Returns the enumerator with this name, or std::nullopt if there is none. Thread-safe.
  constexpr std::optional<Enum> Find(std::string_view name) const {
    for (std::size_t i = 0; i < kCount; ++i) {
      if (names[i] == name) return static_cast<Enum>(i);
    }
    return std::nullopt;
  }

  // Returns all names separated by ", ", for error messages. Thread-safe.
  std::string List() const {
    std::string list;
    for (std::string_view name : names) {
      if (!list.empty()) list += ", ";
      list += name;
    }
    return list;
  }
};

}  // namespace mimosabend

#endif  // MIMOSABEND_NAME_TABLE_H_
