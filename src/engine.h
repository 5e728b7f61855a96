#ifndef MIMOSABEND_ENGINE_H_
#define MIMOSABEND_ENGINE_H_

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "name_table.h"
#include "rank.h"
#include "result.h"
#include "settings.h"

namespace mimosabend {

// Why a call to an engine failed. After kNotSent, kNotLoaded, kStaleFence, kNoMemory and kRejected
// the engine has certainly not executed anything; after the others it may have.
enum class EngineError : std::uint8_t {
  kNotSent,
  kNotLoaded,
  kStaleFence,
  kNoMemory,
  kRejected,
  kTimedOut,
  kBroken,
  kBadAnswer
};
inline constexpr NameTable<EngineError, 8> kEngineErrorNames{
    {"not sent", "model not loaded", "stale fence", "no memory", "rejected", "timed out",
     "connection broken", "malformed answer"}};

enum class ReplicaState : std::uint8_t { kLoading, kReady, kUnloading };
inline constexpr NameTable<ReplicaState, 3> kReplicaStateNames{{"loading", "ready", "unloading"}};

// A model or adapter on an engine, as reported by the engine.
struct EngineReplica {
  std::string model;
  std::string version;
  ReplicaState state = ReplicaState::kLoading;
  std::int64_t memory_mib = 0;
};

// State of an engine, as reported by it. The load figures (slots, running, queued) lag behind.
struct EngineState {
  // Changes with each start of the engine.
  std::string incarnation;
  std::uint64_t fence = 0;
  std::int64_t memory_total_mib = 0;
  std::int64_t memory_used_mib = 0;
  std::vector<EngineReplica> replicas;
  // "MODEL@VERSION" of each checkpoint that can be loaded without the weight store; empty if the
  // engine does not report them.
  std::set<std::string> checkpoints_on_disk;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

enum class OrderKind : std::uint8_t { kLoad, kUnload };
inline constexpr NameTable<OrderKind, 2> kOrderKindNames{{"load", "unload"}};

// An order to load or unload one model or adapter.
struct EngineOrder {
  std::string order_id;
  std::uint64_t fence = 0;
  OrderKind kind = OrderKind::kLoad;
  std::string model;
  // The base model of an adapter; empty for a model.
  std::string base;
  std::string version;
  std::int64_t memory_mib = 0;
};

// Interface to control engines. Orders are idempotent: loading a loaded model has no effect.
template <class T>
concept EngineControl = requires(T& engine, const Address& endpoint, const EngineOrder& order,
                                 std::uint64_t fence) {
  { engine.State(endpoint) } -> std::same_as<Task<Result<EngineState, EngineError>>>;
  { engine.Order(endpoint, order) } -> std::same_as<Task<Result<void, EngineError>>>;
  // Makes the engine reject orders with a lower fencing token.
  { engine.RaiseFence(endpoint, fence) } -> std::same_as<Task<Result<void, EngineError>>>;
};

// A completion request to an engine.
struct GenerateCall {
  std::string request_id;
  // "/v1/completions" or "/v1/chat/completions".
  std::string path;
  // The body of a CompletionRequest for `path`.
  std::string body;
  Rank rank = Rank::kStandard;
  // Number of tokens that the caller already has; generation resumes after them.
  std::uint32_t resume_from = 0;
  MonotonicTime deadline;
};

struct TokenChunk {
  // Zero-based position of the token in the completion.
  std::uint32_t index = 0;
  std::string text;
  // Empty until the last chunk.
  std::string finish_reason;
};

// The stream of tokens that an engine generates for one request.
class TokenStream {
 public:
  virtual ~TokenStream() = default;
  // The next chunk; std::nullopt after the engine's end marker. A body that ends without the marker
  // is an error.
  virtual Task<Result<std::optional<TokenChunk>, EngineError>> Next(MonotonicTime deadline) = 0;
};

// Interface to run completion requests on engines.
template <class T>
concept EngineGenerator = requires(T& engine, const Address& endpoint, const GenerateCall& call,
                                   const std::string& request_id) {
  {
    engine.Open(endpoint, call)
    } -> std::same_as<Task<Result<std::unique_ptr<TokenStream>, EngineError>>>;
  { engine.Cancel(endpoint, request_id) } -> std::same_as<Task<Result<void, EngineError>>>;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENGINE_H_
