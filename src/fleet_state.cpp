#include "fleet_state.h"

namespace mimosabend {

namespace {

// An endpoint without prefill work is lightly loaded if less than one in kLightLoadDivisor of its
// slots is in use.
constexpr std::uint32_t kLightLoadDivisor = 8;

}  // namespace

void AddState(const FleetState& state, const KnownVersions& known, MonotonicTime now,
              UsageAnswer* answer) {
  answer->view = state.ViewSince(known.directory_revision, now);
  answer->holdings_version = state.holdings().version();
  // An unknown version comes from a leader whose last updates did not arrive here: send everything.
  const std::uint64_t known_version =
      known.holdings_version <= answer->holdings_version ? known.holdings_version : 0;
  answer->holdings = state.holdings().Since(known_version);
  if (known.plan_version != state.plan().version) {
    answer->plan = state.plan();
  } else {
    answer->plan.version = state.plan().version;
  }
}

bool IsNegligibleLoad(const DirectoryLog& directory, const EndpointLoad& load) {
  const EndpointRecord* endpoint = directory.FindNumber(load.number);
  const std::uint32_t slots = endpoint == nullptr ? 1 : endpoint->slots;
  return load.prefill_units == 0 && load.requests * kLightLoadDivisor < slots;
}

}  // namespace mimosabend
