#ifndef MIMOSABEND_REQUEST_FINGERPRINT_H_
#define MIMOSABEND_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

#include "http_server.h"

namespace mimosabend {

// Identifies what a caller asks for: the same for each repeat of a request, whatever its id and
// whichever daemon gets it. `customer` is empty for none. Zero stands for no request and is never
// returned. Thread-safe.
std::uint64_t RequestFingerprint(const HttpRequest& request, std::string_view customer);

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_FINGERPRINT_H_
