#include "openai.h"

#include <cassert>
#include <new>

#include "held_json.h"
#include "json.h"

namespace mimosabend {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxTokens = 1000000;
constexpr seconds kNoMemoryRetryAfter{2};
// Members that EngineBody sets.
constexpr const char* kEngineMembers[] = {"stream", "request_id", "priority", "resume_from"};

ApiError InvalidBody(std::string param, std::string message) {
  ApiError error;
  error.status = 400;
  error.type = "invalid_request_error";
  error.code = "invalid_request";
  error.param = std::move(param);
  error.message = std::move(message);
  return error;
}

ApiError NoMemory() {
  ApiError error;
  error.status = 503;
  error.type = "server_error";
  error.code = "no_memory";
  error.message = "not run, too much is held for other requests, try again later";
  error.retry_after = RetryAfter(kNoMemoryRetryAfter);
  return error;
}

// Returns all chat messages as text, one "role: content" line each, or std::nullopt if they are
// malformed.
std::optional<std::string> MessagesText(const json::value& body) {
  const json::value* messages = JsonMember(body, "messages");
  const json::array* list = messages == nullptr ? nullptr : messages->if_array();
  if (list == nullptr || list->empty()) return std::nullopt;
  std::string text;
  for (const json::value& message : *list) {
    const std::string role = StringMember(message, "role");
    const json::value* content = JsonMember(message, "content");
    if (role.empty() || content == nullptr) return std::nullopt;
    const json::string* plain = content->if_string();
    text +=
        role + ": " +
        (plain != nullptr ? std::string(plain->data(), plain->size()) : json::serialize(*content)) +
        "\n";
  }
  return text;
}

std::optional<std::string> PromptText(const json::value& body) {
  const json::value* prompt = JsonMember(body, "prompt");
  if (prompt == nullptr || !prompt->is_string()) return std::nullopt;
  return StringMember(body, "prompt");
}

}  // namespace

namespace {

Result<CompletionRequest, ApiError> Parse(const std::string& path, const std::string& body,
                                          HeldJsonMemory* memory) {
  auto parsed = memory->Parse(body);
  if (!parsed || !parsed->is_object()) {
    return outcome::failure(InvalidBody("", "the body is not a JSON object"));
  }
  CompletionRequest request;
  request.path = path;
  request.model = StringMember(*parsed, "model");
  if (request.model.empty()) return outcome::failure(InvalidBody("model", "name a model"));
  if (const json::value* stream = JsonMember(*parsed, "stream")) {
    if (!stream->is_bool()) return outcome::failure(InvalidBody("stream", "use true or false"));
    request.stream = stream->get_bool();
  }
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    if (JsonMember(*parsed, name) == nullptr) continue;
    const auto count = IntegerMember(*parsed, name);
    if (!count || *count < 1 || *count > kMaxTokens) {
      return outcome::failure(InvalidBody(name, "use a whole number from 1 to 1000000"));
    }
  }
  if (const auto choices = IntegerMember(*parsed, "n"); choices && *choices != 1) {
    return outcome::failure(InvalidBody("n", "only one choice per request is served"));
  }
  auto text = request.is_chat() ? MessagesText(*parsed) : PromptText(*parsed);
  if (!text) {
    return outcome::failure(request.is_chat()
                                ? InvalidBody("messages", "send messages with role and content")
                                : InvalidBody("prompt", "send a prompt text"));
  }
  request.prompt = std::move(*text);
  for (const char* name : kEngineMembers) parsed->get_object().erase(name);
  request.body = json::serialize(*parsed);
  return request;
}

}  // namespace

Result<CompletionRequest, ApiError> ParseCompletionRequest(const std::string& path,
                                                           const std::string& body,
                                                           MemoryHold* memory) {
  try {
    HeldJsonMemory parse_memory(memory);
    auto request = Parse(path, body, &parse_memory);
    if (!request || memory == nullptr) return request;
    const std::uint64_t bytes = request.value().body.size() + request.value().prompt.size();
    if (memory->TryGrow(bytes) != MemoryResult::kHeld) return outcome::failure(NoMemory());
    return request;
  } catch (const std::bad_alloc&) {
    return outcome::failure(NoMemory());
  }
}

std::string EngineBody(const GenerateCall& call) {
  assert(call.body.ends_with('}'));
  json::object members;
  members["stream"] = true;
  members["request_id"] = call.request_id;
  members["priority"] = static_cast<std::int64_t>(call.rank);
  members["resume_from"] = call.resume_from;
  const std::string added = json::serialize(members);
  return call.body.substr(0, call.body.size() - 1) + "," + added.substr(1);
}

CompletionWriter::CompletionWriter(const CompletionRequest& request, const std::string& request_id,
                                   WallTime now)
    : chat_(request.is_chat()),
      model_(request.model),
      id_((chat_ ? "chatcmpl-" : "cmpl-") + request_id),
      created_(ToUnixMillis(now) / 1000) {}

std::string CompletionWriter::TokenEvent(const TokenChunk& token) const {
  json::object choice;
  choice["index"] = 0;
  if (chat_) {
    json::object delta;
    if (token.index == 0) delta["role"] = "assistant";
    delta["content"] = token.text;
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = token.text;
  }
  choice["finish_reason"] =
      token.finish_reason.empty() ? json::value() : json::value(token.finish_reason);
  json::object body;
  body["id"] = id_;
  body["object"] = chat_ ? "chat.completion.chunk" : "text_completion";
  body["created"] = created_;
  body["model"] = model_;
  body["choices"] = json::array{std::move(choice)};
  return "data: " + json::serialize(body) + "\n\n";
}

std::string CompletionWriter::ErrorEvent(const ApiError& error) {
  return "data: " + ErrorBody(error) + "\n\n";
}

std::string CompletionWriter::ResponseBody(const std::string& text,
                                           const std::string& finish_reason,
                                           std::uint32_t tokens) const {
  json::object choice;
  choice["index"] = 0;
  if (chat_) {
    json::object message;
    message["role"] = "assistant";
    message["content"] = text;
    choice["message"] = std::move(message);
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = finish_reason;
  json::object usage;
  usage["prompt_tokens"] = 0;
  usage["completion_tokens"] = tokens;
  usage["total_tokens"] = tokens;
  json::object body;
  body["id"] = id_;
  body["object"] = chat_ ? "chat.completion" : "text_completion";
  body["created"] = created_;
  body["model"] = model_;
  body["choices"] = json::array{std::move(choice)};
  body["usage"] = std::move(usage);
  return json::serialize(body);
}

std::string ModelList(const Environment& environment, const Caller& caller) {
  json::array list;
  for (const auto& [name, model] : environment.models) {
    if (!caller.MayUseModel(name)) continue;
    json::object item;
    item["id"] = name;
    item["object"] = "model";
    item["created"] = 0;
    item["owned_by"] = environment.name;
    list.push_back(std::move(item));
  }
  json::object body;
  body["object"] = "list";
  body["data"] = std::move(list);
  return json::serialize(body);
}

}  // namespace mimosabend
