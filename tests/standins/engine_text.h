#ifndef MIMOSABEND_TESTS_STANDINS_ENGINE_TEXT_H_
#define MIMOSABEND_TESTS_STANDINS_ENGINE_TEXT_H_

#include <cstdint>
#include <string>

#include "digest.h"

namespace mimosabend::standin {

// A prompt with this text crashes the engine stand-in that runs it.
inline constexpr char kCrashMarker[] = "CRASH-ENGINE";

// Token number `index` of the answer to a prompt. It depends on nothing else, so that tests can
// tell the whole answer from a wrong one, across resumed streams too.
inline std::string TokenText(const std::string& model, const std::string& prompt,
                             std::uint32_t index) {
  const std::uint64_t hash = Hash64(prompt, Hash64(model, index));
  return "w" + std::to_string(hash % 10000) + " ";
}

// The first `tokens` tokens of the answer.
inline std::string AnswerText(const std::string& model, const std::string& prompt,
                              std::uint32_t tokens) {
  std::string text;
  for (std::uint32_t i = 0; i < tokens; ++i) text += TokenText(model, prompt, i);
  return text;
}

}  // namespace mimosabend::standin

#endif  // MIMOSABEND_TESTS_STANDINS_ENGINE_TEXT_H_
