#ifndef MIMOSABEND_REQUEST_FINGERPRINT_H_
#define MIMOSABEND_REQUEST_FINGERPRINT_H_

#include <cstdint>

#include "http_server.h"

namespace mimosabend {

// Identifies what a caller asks for: the same for each repeat of a request, whatever its id and
// whichever daemon gets it. Zero stands for none and is never returned. Thread-safe.
std::uint64_t RequestFingerprint(const HttpRequest& request);

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_FINGERPRINT_H_
