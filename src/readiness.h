#ifndef MIMOSABEND_READINESS_H_
#define MIMOSABEND_READINESS_H_

#include <cstdint>

#include "name_table.h"

namespace mimosabend {

// Whether a gateway is ready for callers, or else what it lacks.
enum class Readiness : std::uint8_t {
  kReady,
  kStopping,
  kNoConfig,
  kNoEndpoints,
  // The store was restored, and this daemon has not heard yet which endpoints have left since.
  kLeftEndpointsUnknown
};

inline constexpr NameTable<Readiness, 5> kReadinessNames{
    {"ready", "stopping", "no configuration read", "no listing of endpoints read",
     "endpoints that have left are not known"}};

}  // namespace mimosabend

#endif  // MIMOSABEND_READINESS_H_
