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

// kNotSent, kNotLoaded, kStaleFence, kNoMemory and kRejected prove that nothing was run.
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

// A model or adapter as an engine reports it.
struct EngineReplica {
  std::string model;
  std::string version;
  ReplicaState state = ReplicaState::kLoading;
  std::int64_t memory_mib = 0;
};

// What an engine reports of itself; the load figures lag.
struct EngineState {
  // Changes with each start of the engine.
  std::string incarnation;
  std::uint64_t fence = 0;
  std::int64_t memory_total_mib = 0;
  std::int64_t memory_used_mib = 0;
  std::vector<EngineReplica> replicas;
  // "MODEL@VERSION" of each checkpoint that loads without the weight store; empty if the engine
  // does not tell.
  std::set<std::string> checkpoints_on_disk;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

enum class OrderKind : std::uint8_t { kLoad, kUnload };
inline constexpr NameTable<OrderKind, 2> kOrderKindNames{{"load", "unload"}};

struct EngineOrder {
  std::string order_id;
  std::uint64_t fence = 0;
  OrderKind kind = OrderKind::kLoad;
  std::string model;
  // The model of an adapter; empty for a model.
  std::string base;
  std::string version;
  std::int64_t memory_mib = 0;
};

// Control of engines. Orders are idempotent: loading what is loaded changes nothing.
template <class T>
concept EngineControl = requires(T& engine, const Address& endpoint, const EngineOrder& order,
                                 std::uint64_t fence) {
  { engine.State(endpoint) } -> std::same_as<Task<Result<EngineState, EngineError>>>;
  { engine.Order(endpoint, order) } -> std::same_as<Task<Result<void, EngineError>>>;
  // Makes the engine refuse orders with a lower fence.
  { engine.RaiseFence(endpoint, fence) } -> std::same_as<Task<Result<void, EngineError>>>;
};

struct GenerateCall {
  std::string request_id;
  // "/v1/completions" or "/v1/chat/completions".
  std::string path;
  // The body of that path as JSON, with "stream" set.
  std::string body;
  Rank rank = Rank::kStandard;
  // Tokens that the caller already has; generation goes on behind them.
  std::uint32_t resume_from = 0;
  MonotonicTime deadline;
};

struct TokenChunk {
  // Position of the token in the answer, from zero.
  std::uint32_t index = 0;
  std::string text;
  // Empty until the last chunk.
  std::string finish_reason;
};

// Tokens of one request, in order.
class TokenStream {
 public:
  virtual ~TokenStream() = default;
  // The next chunk; std::nullopt once the engine has said that the answer is complete. A body
  // that ends before is an error.
  virtual Task<Result<std::optional<TokenChunk>, EngineError>> Next(MonotonicTime deadline) = 0;
};

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
