#include "leader_record.h"

#include <sstream>

namespace mimosabend {

std::string ToString(const LeaderRecord& record) {
  return ToString(record.address) + " " + record.lease + " " + record.message_key;
}

std::optional<LeaderRecord> ParseLeaderRecord(const std::string& text) {
  std::istringstream words(text);
  std::string address_text;
  LeaderRecord record;
  words >> address_text >> record.lease >> record.message_key;
  const auto address = ParseAddress(address_text);
  if (!address || record.message_key.empty()) return std::nullopt;
  record.address = *address;
  return record;
}

}  // namespace mimosabend
