#ifndef MIMOSABEND_HTTP_TYPES_H_
#define MIMOSABEND_HTTP_TYPES_H_

#include <boost/beast/core/string.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosabend {

// Header fields in the order of the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Value of the first header with this name, ignoring case; empty if there is none. Thread-safe.
inline std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [header, value] : headers) {
    if (boost::beast::iequals(header, name)) return value;
  }
  return {};
}

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_TYPES_H_
