#ifndef MIMOSABEND_HTTP_TYPES_H_
#define MIMOSABEND_HTTP_TYPES_H_

#include <boost/beast/core/string.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosabend {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The first header of that name, compared without case; empty if there is none. Thread-safe.
inline std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [header, value] : headers) {
    if (boost::beast::iequals(header, name)) return value;
  }
  return {};
}

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_TYPES_H_
