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

std::string SharedPartsText(const std::vector<PromptPart>& prompt) {
  const auto parts = SharedParts(prompt);
  std::string text;
  for (const PromptPart& part : parts.first(std::min(parts.size(), kMaxLoggedParts))) {
    if (!text.empty()) text += ",";
    text += Hex64(part.id);
  }
  if (parts.size() > kMaxLoggedParts) text += ",...";
  return text.empty() ? "-" : text;
}

}  // namespace mimosabend
