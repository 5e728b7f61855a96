#include "helper_notices.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "forward_helpers.h"

namespace mimosabend {

namespace {

// How long a relay passes on the helpers that the leader has named.
constexpr milliseconds kHelpersLifetime{3000};

// The daemon among the sender of a report and those that report through it that is cut off from
// most services.
const DaemonInfo& MostCutOff(const UsageReport& report) {
  const DaemonInfo* most = &report.sender;
  for (const DaemonInfo& daemon : report.relayed) {
    const bool counts = daemon.cut_off > most->cut_off || most->cut_off == kNoHelper;
    if (counts && daemon.cut_off != kNoHelper) most = &daemon;
  }
  return *most;
}

}  // namespace

void AddHelpers(const UsageReport& report, const std::vector<DaemonInfo>& daemons, bool complete,
                UsageAnswer* answer) {
  const DaemonInfo& requester = MostCutOff(report);
  if (requester.cut_off == 0) return;
  const std::size_t limit = report.relayed.empty() ? kMaxHelpers : kMaxRelayHelpers;
  answer->helpers = ChooseHelpers(daemons, requester, limit);
  answer->helpers_complete = complete;
}

bool HelperNotices::Adopt(const UsageAnswer& answer, MonotonicTime now) {
  if (answer.helpers.empty() && !answer.helpers_complete) return false;
  helpers_ = answer.helpers;
  complete_ = answer.helpers_complete;
  named_at_ = now;
  return true;
}

bool HelperNotices::NobodyHelps(MonotonicTime now) const {
  return IsCurrent(now) && complete_ && helpers_.empty();
}

std::vector<DaemonInfo> HelperNotices::AddNamed(std::vector<DaemonInfo> daemons,
                                                MonotonicTime now) const {
  if (!IsCurrent(now)) return daemons;
  for (const Address& helper : helpers_) {
    const bool known = std::any_of(daemons.begin(), daemons.end(),
                                   [&](const auto& daemon) { return daemon.address == helper; });
    if (!known) daemons.push_back({helper, "", 0});
  }
  return daemons;
}

bool HelperNotices::IsCurrent(MonotonicTime now) const {
  return now - named_at_ < kHelpersLifetime;
}

}  // namespace mimosabend
