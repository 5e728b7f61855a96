#include "leader_record.h"

#include <sstream>

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

}  // namespace mimosabend
