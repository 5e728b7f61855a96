#include "forward_helpers.h"

#include <algorithm>
#include <utility>

#include "digest.h"

namespace mimosabend {

namespace {

// Reports are answered every few hundred milliseconds, with the helpers as they are then.
constexpr milliseconds kNamedLifetime{3000};
constexpr milliseconds kFailureBackoff{1000};

}  // namespace

std::vector<Address> ChooseHelpers(const std::vector<DaemonInfo>& daemons,
                                   const DaemonInfo& requester, std::size_t limit) {
  const auto helps = [&](const DaemonInfo& daemon) {
    return daemon.address != requester.address && daemon.cut_off < requester.cut_off;
  };
  std::size_t near = 0;
  std::size_t near_helpers = 0;
  for (const DaemonInfo& daemon : daemons) {
    if (daemon.failure_domain != requester.failure_domain) continue;
    ++near;
    if (helps(daemon)) ++near_helpers;
  }
  const bool prefer_near = near_helpers * 2 >= near;
  const std::uint64_t seed = Hash64(ToString(requester.address));
  // Those with the lowest rank come first.
  std::vector<std::pair<std::pair<bool, std::uint64_t>, Address>> ranked;
  for (const DaemonInfo& daemon : daemons) {
    if (!helps(daemon)) continue;
    const bool far = prefer_near && daemon.failure_domain != requester.failure_domain;
    ranked.push_back({{far, Hash64(ToString(daemon.address), seed)}, daemon.address});
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<Address> helpers;
  for (auto& [rank, address] : ranked) {
    if (helpers.size() < limit) helpers.push_back(std::move(address));
  }
  return helpers;
}

void HelperList::SetNamed(std::vector<Address> helpers, bool complete, MonotonicTime now) {
  named_ = std::move(helpers);
  complete_ = complete;
  named_at_ = now;
}

bool HelperList::IsCurrent(MonotonicTime now) const { return now - named_at_ < kNamedLifetime; }

std::optional<Address> HelperList::Next(const std::vector<Address>& fallback,
                                        const std::set<Address>& tried, MonotonicTime now) {
  std::erase_if(failed_at_, [&](const auto& item) { return now - item.second >= kFailureBackoff; });
  const std::vector<Address>& helpers = IsCurrent(now) && !named_.empty() ? named_ : fallback;
  for (std::size_t i = 0; i < helpers.size(); ++i) {
    const Address& helper = helpers[turn_++ % helpers.size()];
    if (!tried.contains(helper) && !failed_at_.contains(helper)) return helper;
  }
  return std::nullopt;
}

void HelperList::RecordFailure(const Address& helper, MonotonicTime now) {
  failed_at_[helper] = now;
}

bool HelperList::AnotherReaches(MonotonicTime now) const {
  return IsCurrent(now) && !named_.empty();
}

bool HelperList::NobodyReaches(MonotonicTime now) const {
  return IsCurrent(now) && complete_ && named_.empty();
}

}  // namespace mimosabend
