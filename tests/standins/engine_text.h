#ifndef MIMOSABEND_TESTS_STANDINS_ENGINE_TEXT_H_
#define MIMOSABEND_TESTS_STANDINS_ENGINE_TEXT_H_

#include <cstdint>
#include <string>

#include "digest.h"

// The deterministic text that the engine stand-in generates, shared with the tests that check it.

namespace mimosabend::standin {

// A prompt that contains this text crashes the engine stand-in.
inline constexpr char kCrashMarker[] = "CRASH-ENGINE";

// Token `index` of the completion of a prompt. It is a function of the arguments only, so that
// tests can verify a completion, also one resumed on another engine.
inline std::string TokenText(const std::string& model, const std::string& prompt,
                             std::uint32_t index) {
  const std::uint64_t hash = Hash64(prompt, Hash64(model, index));
  return "w" + std::to_string(hash % 10000) + " ";
}

// The first `tokens` tokens of the completion.
inline std::string CompletionText(const std::string& model, const std::string& prompt,
                                  std::uint32_t tokens) {
  std::string text;
  for (std::uint32_t i = 0; i < tokens; ++i) text += TokenText(model, prompt, i);
  return text;
}

}  // namespace mimosabend::standin

#endif  // MIMOSABEND_TESTS_STANDINS_ENGINE_TEXT_H_
