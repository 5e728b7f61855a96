#include "leader_record.h"

#include <sstream>

#include "store_era.h"

namespace mimosabend {

std::string ToString(const LeaderRecord& record) {
  return ToString(record.address) + " " + record.lease;
}

std::optional<LeaderRecord> ParseLeaderRecord(const std::string& text) {
  std::istringstream words(text);
  std::string address_text;
  LeaderRecord record;
  words >> address_text >> record.lease;
  const auto address = ParseAddress(address_text);
  if (!address || record.lease.empty()) return std::nullopt;
  record.address = *address;
  return record;
}

std::string ToString(const HolderRecord& record) {
  return record.era == 0 ? record.host : record.host + "\n" + std::to_string(record.era);
}

HolderRecord ParseHolderRecord(const std::string& text) {
  const std::size_t end = text.find('\n');
  if (end == std::string::npos) return {text, 0};
  std::string_view era = text;
  era.remove_prefix(end + 1);
  return {text.substr(0, end), ParseStoreEra(era).value_or(0)};
}

}  // namespace mimosabend
