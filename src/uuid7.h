#ifndef MIMOSABEND_UUID7_H_
#define MIMOSABEND_UUID7_H_

#include <optional>
#include <string>
#include <string_view>

#include "clock.h"

namespace mimosabend {

// The creation time inside a UUID of version 7 (RFC 9562); std::nullopt for any other text.
// Thread-safe.
std::optional<WallTime> ParseUuid7Time(std::string_view text);

// A new UUID of version 7. Thread-safe.
std::string MakeUuid7(WallTime now);

}  // namespace mimosabend

#endif  // MIMOSABEND_UUID7_H_
