#include "fleet_usage.h"

#include <algorithm>
#include <limits>

namespace mimosabend {

namespace {

// Rounds up, so that a nonzero amount never becomes 0. Saturates at the largest value.
std::uint16_t ToUnits(std::uint64_t amount, std::uint64_t unit) {
  return static_cast<std::uint16_t>(std::min<std::uint64_t>(
      (amount + unit - 1) / unit, std::numeric_limits<std::uint16_t>::max()));
}

}  // namespace

void AddAdapterRequests(ModelUsage* usage, const AdapterRequests& added) {
  for (AdapterRequests& entry : usage->adapters) {
    if (entry.adapter != added.adapter) continue;
    entry.requests += added.requests;
    return;
  }
  usage->adapters.push_back(added);
}

EndpointLoad::EndpointLoad(std::uint32_t endpoint, const EndpointWork& work)
    : number(endpoint),
      requests(ToUnits(work.requests, 1)),
      prefill_units(ToUnits(work.prefill_tokens, kPrefillUnit)),
      memory_units(ToUnits(work.memory_tokens, kMemoryUnit)) {}

EndpointWork EndpointLoad::Work() const {
  return {requests, prefill_units * kPrefillUnit, memory_units * kMemoryUnit};
}

}  // namespace mimosabend
