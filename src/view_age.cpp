#include "view_age.h"

#include <algorithm>

namespace mimosabend {

namespace {

// Covers a late report and the read of the store that follows.
constexpr milliseconds kRelayMargin{500};
// A shorter lifetime would expire between two reports in a large fleet.
constexpr milliseconds kMinRelayedLifetime{1000};
constexpr milliseconds kMaxRelayedLifetime{2000};
// Endpoints register again within about this time after a store outage.
constexpr milliseconds kMaxReappearTime{2000};
// Covers the detection of the removal and a request that is being sent at that time.
constexpr milliseconds kReappearMargin{500};

}  // namespace

// A view from the leader can be as old as kStoreFreshness plus the lifetime of an answer.
milliseconds RelayedViewLifetime(const GatewayBounds& bounds) {
  const milliseconds bound = std::min(bounds.endpoint_drain, bounds.config_apply);
  const milliseconds left = bound - kStoreFreshness - kRelayMargin;
  return left < kMinRelayedLifetime ? milliseconds(0) : std::min(left, kMaxRelayedLifetime);
}

// The bound runs from the moment at which the store acknowledges the removal of the entry. A daemon
// may learn of it as late as a relayed lifetime after that.
milliseconds ReappearTime(const GatewayBounds& bounds) {
  const milliseconds left = bounds.endpoint_drain - kReappearMargin - RelayedViewLifetime(bounds);
  return std::clamp(left, milliseconds(0), kMaxReappearTime);
}

}  // namespace mimosabend
