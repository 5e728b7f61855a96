#ifndef MIMOSABEND_OPENAI_H_
#define MIMOSABEND_OPENAI_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "caller_api.h"
#include "engine.h"

namespace mimosabend {

inline constexpr std::string_view kCompletionsPath = "/v1/completions";
inline constexpr std::string_view kChatCompletionsPath = "/v1/chat/completions";

// A request of the OpenAI completions or chat completions API.
struct CompletionRequest {
  std::string path;
  std::string model;
  bool stream = false;
  // The prompt or the messages as text, for prefix affinity and fingerprints.
  std::string prompt;
  // The whole body, passed on to the engine.
  std::string body;

  bool is_chat() const { return path == kChatCompletionsPath; }
};

// Parses and checks a request body. Thread-safe.
Result<CompletionRequest, ApiError> ParseCompletionRequest(const std::string& path,
                                                           const std::string& body);

// Writes the answers to one request. Thread-safe.
class CompletionWriter {
 public:
  CompletionWriter(const CompletionRequest& request, const std::string& request_id, WallTime now);

  // One server-sent event with one token.
  std::string Chunk(const TokenChunk& token) const;
  // The event that ends a complete stream.
  static std::string Done() { return "data: [DONE]\n\n"; }
  // The event that ends a stream that is not complete.
  static std::string Failure(const ApiError& error);
  // The body of a whole answer.
  std::string Whole(const std::string& text, const std::string& finish_reason,
                    std::uint32_t tokens) const;

 private:
  bool chat_;
  std::string model_;
  std::string id_;
  std::int64_t created_;
};

// The body of GET /v1/models for a caller. Thread-safe.
std::string ModelList(const Environment& environment, const Caller& caller);

}  // namespace mimosabend

#endif  // MIMOSABEND_OPENAI_H_
