#include "relay_request.h"

#include <algorithm>

#include "digest.h"

namespace mimosabend {

namespace {

// Prompts with more parts are cut off in log lines.
constexpr std::size_t kMaxLoggedParts = 8;

}  // namespace

std::span<const PromptPart> SharedParts(const std::vector<PromptPart>& prompt) {
  return {prompt.data(), prompt.empty() ? 0 : prompt.size() - 1};
}

std::vector<std::uint64_t> SharedPartIds(const std::vector<PromptPart>& prompt) {
  std::vector<std::uint64_t> ids;
  for (const PromptPart& part : SharedParts(prompt)) ids.push_back(part.id);
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

std::string SharedPartsText(const std::vector<PromptPart>& prompt) {
  const auto parts = SharedParts(prompt);
  std::string text;
  for (const PromptPart& part : parts.first(std::min(parts.size(), kMaxLoggedParts))) {
    if (!text.empty()) text += ",";
    text += Hex64(part.id);
  }
  if (parts.size() > kMaxLoggedParts) text += ",...(" + std::to_string(parts.size()) + ")";
  return text.empty() ? "-" : text;
}

}  // namespace mimosabend
