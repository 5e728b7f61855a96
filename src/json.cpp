#include "json.h"

#include <algorithm>
#include <charconv>

namespace mimosabend {

namespace {

// Length of an escape such as \ud800.
constexpr std::size_t kEscapeLength = 6;

// The code unit that an escape at `position` stands for; std::nullopt if there is none.
std::optional<std::uint32_t> EscapedUnit(std::string_view text, std::size_t position) {
  const std::string_view escape = text.substr(std::min(position, text.size()), kEscapeLength);
  if (escape.size() < kEscapeLength || !escape.starts_with("\\u")) return std::nullopt;
  std::uint32_t unit = 0;
  const char* end = escape.data() + escape.size();
  const auto parsed = std::from_chars(escape.data() + 2, end, unit, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return unit;
}

bool IsHighSurrogate(std::uint32_t unit) { return unit >= 0xd800 && unit < 0xdc00; }
bool IsLowSurrogate(std::uint32_t unit) { return unit >= 0xdc00 && unit < 0xe000; }

void AppendSurrogate(std::uint32_t unit, std::string* text) {
  if (unit >= 0xdc80 && unit <= 0xdcff) {
    *text += static_cast<char>(unit & 0xff);
    return;
  }
  *text += static_cast<char>(0xe0 | unit >> 12);
  *text += static_cast<char>(0x80 | (unit >> 6 & 0x3f));
  *text += static_cast<char>(0x80 | (unit & 0x3f));
}

}  // namespace

std::string ReplaceLoneSurrogates(std::string_view text) {
  std::string replaced;
  replaced.reserve(text.size());
  std::size_t i = 0;
  while (i < text.size()) {
    const auto unit = EscapedUnit(text, i);
    const auto next = unit ? EscapedUnit(text, i + kEscapeLength) : std::nullopt;
    std::size_t length = text[i] == '\\' ? 2 : 1;
    if (unit && IsHighSurrogate(*unit) && next && IsLowSurrogate(*next)) {
      length = 2 * kEscapeLength;
    } else if (unit && (IsHighSurrogate(*unit) || IsLowSurrogate(*unit))) {
      AppendSurrogate(*unit, &replaced);
      i += kEscapeLength;
      continue;
    }
    replaced += text.substr(i, length);
    i += length;
  }
  return replaced;
}

}  // namespace mimosabend
