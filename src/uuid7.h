#ifndef MIMOSABEND_UUID7_H_
#define MIMOSABEND_UUID7_H_

#include <optional>
#include <string>
#include <string_view>

#include "clock.h"

namespace mimosabend {

// Returns the creation time encoded in a version 7 UUID (RFC 9562) in lower-case text form, or
// std::nullopt if the text is not one. Thread-safe.
std::optional<WallTime> ParseUuid7Time(std::string_view text);

// Creates a random version 7 UUID with the given creation time. Thread-safe.
std::string MakeUuid7(WallTime now);

}  // namespace mimosabend

#endif  // MIMOSABEND_UUID7_H_
