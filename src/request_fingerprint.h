#ifndef MIMOSABEND_REQUEST_FINGERPRINT_H_
#define MIMOSABEND_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

#include "http_server.h"

namespace mimosabend {

// Hash of the content of a request: customer, Host header, method, target and body. Repeats of a
// request have the same fingerprint at all daemons, whatever their request ids. `customer` is empty
// for none. Never returns 0, which means no request. Thread-safe.
std::uint64_t RequestFingerprint(const HttpRequest& request, std::string_view customer);

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_FINGERPRINT_H_
