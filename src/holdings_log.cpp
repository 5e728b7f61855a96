#include "holdings_log.h"

#include <algorithm>

namespace mimosabend {

bool HoldingsLog::Note(const EndpointNews& news) {
  EndpointNews& known = holdings_[news.number];
  if (known.version >= news.version) return false;
  known = news;
  version_ = std::max(version_, news.version);
  return true;
}

std::vector<EndpointNews> HoldingsLog::Since(std::uint64_t version) const {
  std::vector<EndpointNews> since;
  if (version > gap_after_ && version < gap_before_) version = 0;
  for (const auto& [number, news] : holdings_) {
    if (news.version > version) since.push_back(news);
  }
  return since;
}

const EndpointNews* HoldingsLog::Find(std::uint32_t number) const {
  const auto it = holdings_.find(number);
  return it == holdings_.end() ? nullptr : &it->second;
}

}  // namespace mimosabend
