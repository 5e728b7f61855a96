#include "fleet_state.h"

namespace mimosabend {

namespace {

// An endpoint without prefill work is lightly loaded if less than one in kLightLoadDivisor of its
// slots is in use.
constexpr std::uint32_t kLightLoadDivisor = 8;

}  // namespace

void AddState(const FleetState& state, const KnownState& known, MonotonicTime now,
              UsageAnswer* answer) {
  answer->view = state.ViewSince(known.directory_revision, now);
  answer->news_version = state.holdings().version();
  // An unknown version comes from a leader whose last updates did not arrive here: send everything.
  const std::uint64_t news = known.news_version <= answer->news_version ? known.news_version : 0;
  answer->news = state.holdings().Since(news);
  if (known.plan_version != state.plan().version) {
    answer->plan = state.plan();
  } else {
    answer->plan.version = state.plan().version;
  }
}

bool IsLight(const DirectoryLog& directory, const EndpointLoad& load) {
  const EndpointChange* endpoint = directory.FindNumber(load.number);
  const std::uint32_t slots = endpoint == nullptr ? 1 : endpoint->slots;
  return load.unread_units == 0 && load.requests * kLightLoadDivisor < slots;
}

}  // namespace mimosabend
