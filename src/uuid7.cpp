#include "uuid7.h"

#include <charconv>
#include <cstdint>

#include "digest.h"

namespace mimosabend {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::uint64_t kVersionBits = 0x7000;
constexpr std::uint64_t kVariantBits = 0x8000000000000000;

bool HasUuidFormat(std::string_view text) {
  if (text.size() != kUuidLength) return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool digit = (text[i] >= '0' && text[i] <= '9') || (text[i] >= 'a' && text[i] <= 'f');
    if (dash ? text[i] != '-' : !digit) return false;
  }
  return true;
}

}  // namespace

std::optional<WallTime> ParseUuid7Time(std::string_view text) {
  const bool variant_ok = text.size() == kUuidLength &&
                          std::string_view("89ab").find(text[19]) != std::string_view::npos;
  if (!HasUuidFormat(text) || text[14] != '7' || !variant_ok) return std::nullopt;
  std::string digits(text.substr(0, 8));
  digits += text.substr(9, 4);
  std::uint64_t millis = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), millis, 16);
  return WallTime(milliseconds(millis));
}

std::string MakeUuid7(WallTime now) {
  const std::uint64_t millis = static_cast<std::uint64_t>(ToUnixMillis(now)) & 0xffffffffffff;
  const std::uint64_t high = (millis << 16) | kVersionBits | (RandomId() & 0x0fff);
  const std::uint64_t low = kVariantBits | (RandomId() >> 2);
  const std::string digits = Hex64(high) + Hex64(low);
  return digits.substr(0, 8) + "-" + digits.substr(8, 4) + "-" + digits.substr(12, 4) + "-" +
         digits.substr(16, 4) + "-" + digits.substr(20);
}

}  // namespace mimosabend
