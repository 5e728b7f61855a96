#ifndef MIMOSABEND_OPENAI_H_
#define MIMOSABEND_OPENAI_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "caller_api.h"
#include "engine.h"
#include "memory_budget.h"

namespace mimosabend {

inline constexpr std::string_view kCompletionsPath = "/v1/completions";
inline constexpr std::string_view kChatCompletionsPath = "/v1/chat/completions";

// A request to the OpenAI completions or chat completions API.
struct CompletionRequest {
  std::string path;
  std::string model;
  bool stream = false;
  // The prompt or the chat messages as text, used for prefix affinity and request fingerprints.
  std::string prompt;
  // The body as a JSON object, without the members that EngineBody adds.
  std::string body;

  bool is_chat() const { return path == kChatCompletionsPath; }
};

// Parses and validates a request body. `memory` grows by what the request takes beside its body,
// and for a moment by what parsing takes; without room, the error says that the request was not
// run. It may be null. Thread-safe but for `memory`.
Result<CompletionRequest, ApiError> ParseCompletionRequest(const std::string& path,
                                                           const std::string& body,
                                                           MemoryHold* memory);

// The JSON body for the engine: that of a CompletionRequest and what concerns one attempt.
// Precondition: `call.body` is the body of a CompletionRequest. Thread-safe.
std::string EngineBody(const GenerateCall& call);

// Formats the response to one request, as a whole or as server-sent events. Thread-safe.
class CompletionWriter {
 public:
  CompletionWriter(const CompletionRequest& request, const std::string& request_id, WallTime now);

  // Server-sent event for one token.
  std::string TokenEvent(const TokenChunk& token) const;
  // Event that ends a complete stream.
  static std::string DoneEvent() { return "data: [DONE]\n\n"; }
  // Event that ends an incomplete stream with an error.
  static std::string ErrorEvent(const ApiError& error);
  // Body of a response that is not streamed.
  std::string ResponseBody(const std::string& text, const std::string& finish_reason,
                           std::uint32_t tokens) const;

 private:
  bool chat_;
  std::string model_;
  std::string id_;
  std::int64_t created_;
};

// Response body of GET /v1/models: the models that `caller` may use. Thread-safe.
std::string ModelList(const Environment& environment, const Caller& caller);

}  // namespace mimosabend

#endif  // MIMOSABEND_OPENAI_H_
