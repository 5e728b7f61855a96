#ifndef MIMOSABEND_DIGEST_H_
#define MIMOSABEND_DIGEST_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace mimosabend {

inline constexpr std::size_t kMacBytes = 16;
using Mac = std::array<std::uint8_t, kMacBytes>;

// SHA-256 as 64 lower-case hexadecimal digits. Thread-safe.
std::string Sha256Hex(std::string_view data);

// HMAC-SHA-256, truncated to the first kMacBytes bytes. Thread-safe.
Mac ComputeMac(std::string_view key, std::string_view data);

// Compares in a time that depends only on the lengths, for secrets. Thread-safe.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

// 64-bit xxHash, for placement and fingerprints. Not cryptographic. Thread-safe.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

// Formats a value as 16 lower-case hexadecimal digits. Thread-safe.
std::string Hex64(std::uint64_t value);

// A random 64-bit number from the system's random device. Thread-safe.
std::uint64_t RandomId();

}  // namespace mimosabend

#endif  // MIMOSABEND_DIGEST_H_
