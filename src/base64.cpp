#include "base64.h"

#include <openssl/evp.h>

namespace mimosabend {

std::string EncodeBase64(std::string_view data) {
  std::string text((data.size() + 2) / 3 * 4 + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(data.data()),
                                     static_cast<int>(data.size()));
  text.resize(length);
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string data(text.size() / 4 * 3, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
  if (length < 0) return std::nullopt;
  // EVP_DecodeBlock decodes padding to zero bytes and counts them.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  data.resize(length - padding);
  return data;
}

}  // namespace mimosabend
