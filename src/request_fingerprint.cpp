#include "request_fingerprint.h"

#include <algorithm>

#include "digest.h"

namespace mimosabend {

std::uint64_t RequestFingerprint(const HttpRequest& request, std::string_view customer) {
  std::uint64_t hash = Hash64(customer);
  hash = Hash64(request.header("Host"), hash);
  hash = Hash64(request.method, hash);
  hash = Hash64(request.target, hash);
  hash = Hash64(request.body, hash);
  return std::max<std::uint64_t>(hash, 1);
}

}  // namespace mimosabend
