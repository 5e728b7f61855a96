#ifndef MIMOSABEND_REQUEST_TARGET_H_
#define MIMOSABEND_REQUEST_TARGET_H_

#include <string>
#include <string_view>
#include <vector>

namespace mimosabend {

// A parameter in the query of a request target. `value` may be any bytes.
struct QueryParameter {
  std::string_view name;
  std::string_view value;
};

// Percent-encodes all bytes of `text` that could mean something else in the path or the query of a
// request target (RFC 3986, section 3); slashes stay. Thread-safe.
std::string EncodeForTarget(std::string_view text);

// Returns a request target. Precondition: `path` and the names of the parameters need no encoding.
// Thread-safe.
std::string MakeTarget(std::string_view path, const std::vector<QueryParameter>& parameters);

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_TARGET_H_
