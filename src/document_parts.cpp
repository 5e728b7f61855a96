#include "document_parts.h"

#include <algorithm>
#include <cassert>
#include <cstdint>

#include "digest.h"

namespace mimosabend {

namespace {

// One section line in 32 starts a part: parts of about 4 KB at 120 bytes per section.
constexpr std::uint64_t kSectionModulus = 32;
// Parts are split at this size even inside a section. The key-value service takes values up to 1
// MB.
constexpr std::size_t kMaxPartBytes = 64 * 1024;

bool StartsPart(std::string_view line) {
  return !line.empty() && line.front() == '[' && Hash64(line) % kSectionModulus == 0;
}

// One item in 8 of a JSON text ends a part: parts of about 1 KB at 120 bytes per item.
constexpr std::uint64_t kJsonItemModulus = 8;
constexpr std::string_view kJsonItemEnd = "},";

}  // namespace

std::vector<std::string> SplitJsonDocument(std::string_view document) {
  std::vector<std::string> parts;
  std::string part;
  while (!document.empty()) {
    const std::size_t end = document.find(kJsonItemEnd);
    std::size_t length = document.size();
    if (end != std::string_view::npos) length = end + kJsonItemEnd.size();
    length = std::min(length, kMaxPartBytes);
    const std::string_view item = document.substr(0, length);
    document.remove_prefix(length);
    part += item;
    if (Hash64(item) % kJsonItemModulus != 0 && part.size() < kMaxPartBytes) continue;
    parts.push_back(std::move(part));
    part.clear();
  }
  if (!part.empty()) parts.push_back(std::move(part));
  return parts;
}

std::vector<std::string> SplitDocument(std::string_view document) {
  std::vector<std::string> parts;
  std::string part;
  while (!document.empty()) {
    const std::size_t end = document.find('\n');
    std::size_t length = end == std::string_view::npos ? document.size() : end + 1;
    length = std::min(length, kMaxPartBytes);
    const std::string_view line = document.substr(0, length);
    document.remove_prefix(length);
    if (!part.empty() && (StartsPart(line) || part.size() + line.size() > kMaxPartBytes)) {
      parts.push_back(std::move(part));
      part.clear();
    }
    part += line;
  }
  if (!part.empty()) parts.push_back(std::move(part));
  for (const std::string& checked : parts) assert(checked.size() <= kMaxPartBytes);
  return parts;
}

}  // namespace mimosabend
