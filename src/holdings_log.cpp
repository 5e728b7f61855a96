#include "holdings_log.h"

#include <algorithm>

namespace mimosabend {

bool HoldingsLog::Apply(const HoldingsUpdate& update) {
  HoldingsUpdate& known = holdings_[update.number];
  if (known.version >= update.version) return false;
  known = update;
  version_ = std::max(version_, update.version);
  return true;
}

std::vector<HoldingsUpdate> HoldingsLog::Since(std::uint64_t version) const {
  std::vector<HoldingsUpdate> since;
  if (version > gap_after_ && version < gap_before_) version = 0;
  for (const auto& [number, update] : holdings_) {
    if (update.version > version) since.push_back(update);
  }
  return since;
}

const HoldingsUpdate* HoldingsLog::Find(std::uint32_t number) const {
  const auto it = holdings_.find(number);
  return it == holdings_.end() ? nullptr : &it->second;
}

}  // namespace mimosabend
