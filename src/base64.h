#ifndef MIMOSABEND_BASE64_H_
#define MIMOSABEND_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace mimosabend {

// Encodes with padding, without line breaks. Thread-safe.
std::string EncodeBase64(std::string_view data);

// std::nullopt if the text is not valid padded base64. Thread-safe.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace mimosabend

#endif  // MIMOSABEND_BASE64_H_
