#include "http_engine.h"

#include <limits>

#include "json.h"
#include "openai.h"

namespace mimosabend {

namespace json = boost::json;

namespace {

// Timeout of all calls to an engine except Open.
constexpr milliseconds kControlTimeout{1000};
constexpr std::int64_t kMaxMemoryMib = std::int64_t{1} << 31;
constexpr std::size_t kMaxReplicas = 100000;
constexpr std::size_t kMaxEventBytes = 1024 * 1024;

EngineError ToEngineError(HttpError error) {
  switch (error) {
    case HttpError::kNotSent:
      return EngineError::kNotSent;
    case HttpError::kTimedOut:
      return EngineError::kTimedOut;
    case HttpError::kBroken:
    case HttpError::kMalformed:
      return EngineError::kBroken;
    case HttpError::kTooLarge:
      return EngineError::kBadAnswer;
  }
  return EngineError::kBroken;
}

EngineError StatusToEngineError(int status) {
  switch (status) {
    case 404:
      return EngineError::kNotLoaded;
    case 409:
      return EngineError::kStaleFence;
    case 507:
      return EngineError::kNoMemory;
    default:
      return status >= 400 && status < 500 ? EngineError::kRejected : EngineError::kBadAnswer;
  }
}

// An integer member; std::nullopt if it is absent, negative or greater than `max`.
std::optional<std::int64_t> BoundedMember(const json::value& value, std::string_view name,
                                          std::int64_t max) {
  const auto number = IntegerMember(value, name);
  if (!number || *number < 0 || *number > max) return std::nullopt;
  return number;
}

std::optional<EngineReplica> ParseReplica(const json::value& value) {
  const auto state = kReplicaStateNames.Find(StringMember(value, "state"));
  const auto memory = BoundedMember(value, "memory_mib", kMaxMemoryMib);
  if (!state || !memory || StringMember(value, "model").empty()) return std::nullopt;
  return EngineReplica{StringMember(value, "model"), StringMember(value, "version"), *state,
                       *memory};
}

// Checkpoints on the engine's disk. They only influence the choice of endpoints, so a missing or
// malformed list is not an error.
std::set<std::string> ParseCheckpoints(const json::value& body) {
  std::set<std::string> names;
  const json::value* list = JsonMember(body, "checkpoints_on_disk");
  if (list == nullptr || !list->is_array()) return names;
  for (const json::value& item : list->get_array()) {
    if (names.size() >= kMaxReplicas) break;
    if (item.is_string()) names.insert(std::string(item.get_string()));
  }
  return names;
}

std::optional<EngineState> ParseState(std::string_view text) {
  const auto body = ParseJson(text);
  if (!body) return std::nullopt;
  constexpr std::int64_t kMaxCount = std::numeric_limits<std::uint32_t>::max();
  const auto fence = BoundedMember(*body, "fence", std::numeric_limits<std::int64_t>::max());
  const auto total = BoundedMember(*body, "memory_total_mib", kMaxMemoryMib);
  const auto used = BoundedMember(*body, "memory_used_mib", kMaxMemoryMib);
  const auto slots = BoundedMember(*body, "slots", kMaxCount);
  const auto running = BoundedMember(*body, "running", kMaxCount);
  const auto queued = BoundedMember(*body, "queued", kMaxCount);
  const json::value* replicas = JsonMember(*body, "replicas");
  if (!fence || !total || !used || !slots || !running || !queued || replicas == nullptr ||
      !replicas->is_array() || replicas->get_array().size() > kMaxReplicas) {
    return std::nullopt;
  }
  EngineState state;
  state.incarnation = StringMember(*body, "incarnation");
  state.fence = *fence;
  state.memory_total_mib = *total;
  state.memory_used_mib = *used;
  state.slots = *slots;
  state.running = *running;
  state.queued = *queued;
  for (const json::value& item : replicas->get_array()) {
    std::optional<EngineReplica> replica = ParseReplica(item);
    if (!replica) return std::nullopt;
    state.replicas.push_back(std::move(*replica));
  }
  state.checkpoints_on_disk = ParseCheckpoints(*body);
  return state;
}

// Parses a stream of server-sent events into token chunks.
class SseTokenStream : public TokenStream {
 public:
  explicit SseTokenStream(std::unique_ptr<HttpStream> stream) : stream_(std::move(stream)) {}

  Task<Result<std::optional<TokenChunk>, EngineError>> Next(MonotonicTime deadline) override {
    for (;;) {
      const std::size_t end = buffer_.find("\n\n");
      if (end != std::string::npos) {
        const std::string event = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        if (event == "data: [DONE]") {
          co_await ReadToEnd(deadline);
          co_return std::optional<TokenChunk>();
        }
        co_return ParseEvent(event);
      }
      auto bytes = co_await stream_->Read(deadline);
      if (!bytes) co_return outcome::failure(ToEngineError(bytes.error()));
      if (bytes.value().empty()) co_return outcome::failure(EngineError::kBroken);
      buffer_ += bytes.value();
      if (buffer_.size() > kMaxEventBytes) co_return outcome::failure(EngineError::kBadAnswer);
    }
  }

 private:
  // Reads the rest of the body, so that the connection can be reused.
  Task<void> ReadToEnd(MonotonicTime deadline) {
    auto rest = co_await stream_->Read(deadline);
    static_cast<void>(rest);
  }

  static Result<std::optional<TokenChunk>, EngineError> ParseEvent(const std::string& event) {
    if (!event.starts_with("data: ")) return outcome::failure(EngineError::kBadAnswer);
    const auto body = ParseJson(event.substr(6));
    const json::value* choices = body ? JsonMember(*body, "choices") : nullptr;
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
      return outcome::failure(EngineError::kBadAnswer);
    }
    const json::value& choice = choices->get_array().front();
    const auto index =
        BoundedMember(*body, "token_index", std::numeric_limits<std::uint32_t>::max());
    if (!index) return outcome::failure(EngineError::kBadAnswer);
    TokenChunk chunk;
    chunk.index = static_cast<std::uint32_t>(*index);
    const json::value* delta = JsonMember(choice, "delta");
    chunk.text = delta != nullptr ? StringMember(*delta, "content") : StringMember(choice, "text");
    chunk.finish_reason = StringMember(choice, "finish_reason");
    return std::optional<TokenChunk>(std::move(chunk));
  }

  std::unique_ptr<HttpStream> stream_;
  std::string buffer_;
};

}  // namespace

Task<Result<EngineState, EngineError>> HttpEngine::State(Address endpoint) {
  HttpCall call;
  call.address = endpoint;
  call.target = "/control/state";
  call.deadline = MonotonicNow() + kControlTimeout;
  auto reply = co_await client_->Call(std::move(call));
  if (!reply) co_return outcome::failure(ToEngineError(reply.error()));
  if (reply.value().status != 200) co_return outcome::failure(EngineError::kBadAnswer);
  std::optional<EngineState> state = ParseState(reply.value().body);
  if (!state) co_return outcome::failure(EngineError::kBadAnswer);
  co_return std::move(*state);
}

Task<Result<void, EngineError>> HttpEngine::Post(Address endpoint, std::string target,
                                                 std::string body) {
  HttpCall call;
  call.address = endpoint;
  call.method = "POST";
  call.target = std::move(target);
  call.headers.emplace_back("Content-Type", "application/json");
  call.body = std::move(body);
  call.deadline = MonotonicNow() + kControlTimeout;
  auto reply = co_await client_->Call(std::move(call));
  if (!reply) co_return outcome::failure(ToEngineError(reply.error()));
  if (reply.value().status >= 300)
    co_return outcome::failure(StatusToEngineError(reply.value().status));
  co_return outcome::success();
}

Task<Result<void, EngineError>> HttpEngine::Order(Address endpoint, EngineOrder order) {
  json::object body;
  body["order_id"] = order.order_id;
  body["fence"] = order.fence;
  body["kind"] = std::string(kOrderKindNames[order.kind]);
  body["model"] = order.model;
  body["base"] = order.base;
  body["version"] = order.version;
  body["memory_mib"] = order.memory_mib;
  co_return co_await Post(endpoint, "/control/orders", json::serialize(body));
}

Task<Result<void, EngineError>> HttpEngine::RaiseFence(Address endpoint, std::uint64_t fence) {
  json::object body;
  body["fence"] = fence;
  co_return co_await Post(endpoint, "/control/fence", json::serialize(body));
}

Task<Result<std::unique_ptr<TokenStream>, EngineError>> HttpEngine::Open(Address endpoint,
                                                                         GenerateCall call) {
  HttpCall http;
  http.address = endpoint;
  http.method = "POST";
  http.target = call.path;
  http.headers.emplace_back("Content-Type", "application/json");
  http.headers.emplace_back("X-Request-Id", call.request_id);
  http.body = EngineBody(call);
  call.body.clear();
  call.body.shrink_to_fit();
  http.deadline = call.deadline;
  auto stream = co_await client_->Open(std::move(http));
  if (!stream) co_return outcome::failure(ToEngineError(stream.error()));
  if (stream.value()->status() != 200) {
    co_return outcome::failure(StatusToEngineError(stream.value()->status()));
  }
  co_return std::unique_ptr<TokenStream>(
      std::make_unique<SseTokenStream>(std::move(stream).value()));
}

Task<Result<void, EngineError>> HttpEngine::Cancel(Address endpoint, std::string request_id) {
  co_return co_await Post(endpoint, "/v1/cancel/" + request_id, "{}");
}

}  // namespace mimosabend
