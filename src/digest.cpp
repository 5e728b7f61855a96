#include "digest.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <random>

namespace mimosabend {

namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

const unsigned char* Bytes(std::string_view data) {
  return reinterpret_cast<const unsigned char*>(data.data());
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(Bytes(data), data.size(), digest.data());
  std::string text;
  text.reserve(2 * digest.size());
  for (unsigned char byte : digest) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
  return text;
}

Mac ComputeMac(std::string_view key, std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> full;
  unsigned int length = full.size();
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(data), data.size(),
       full.data(), &length);
  Mac mac;
  std::copy_n(full.begin(), mac.size(), mac.begin());
  return mac;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::string Hex64(std::uint64_t value) {
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i, value >>= 4) text[i] = kHexDigits[value & 15];
  return text;
}

std::uint64_t RandomId() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace mimosabend
