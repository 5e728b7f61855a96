#include "view_age.h"

#include <algorithm>

namespace mimosabend {

namespace {

// For a late report and for reading the store afterwards.
constexpr milliseconds kRelayMargin{500};
// Less would lapse between two reports of a large fleet.
constexpr milliseconds kLeastRelayedLifetime{1000};
constexpr milliseconds kLargestRelayedLifetime{2000};
// Endpoints register again within about this time after an outage of the store.
constexpr milliseconds kLargestReappearTime{2000};
// For noticing that the entry is gone, and for a request that is on its way then.
constexpr milliseconds kReappearMargin{500};

}  // namespace

// What a daemon takes from the leader may be as old as kStoreFreshness and the lifetime of an
// answer together.
milliseconds RelayedLifetime(const GatewayBounds& bounds) {
  const milliseconds bound = std::min(bounds.endpoint_drain, bounds.config_apply);
  const milliseconds left = bound - kStoreFreshness - kRelayMargin;
  return left < kLeastRelayedLifetime ? milliseconds(0) : std::min(left, kLargestRelayedLifetime);
}

// The store counts the bound from the moment at which it acknowledges that the entry is gone, and a
// daemon may learn that a relayed lifetime later.
milliseconds ReappearTime(const GatewayBounds& bounds) {
  const milliseconds left = bounds.endpoint_drain - kReappearMargin - RelayedLifetime(bounds);
  return std::clamp(left, milliseconds(0), kLargestReappearTime);
}

}  // namespace mimosabend
