// Stand-in for a model engine: serves OpenAI completions with continuous batching, and load and
// unload orders under /control. The generated text depends only on the model and the prompt
// (engine_text.h).
#include <gflags/gflags.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>

#include "digest.h"
#include "engine.h"
#include "engine_text.h"
#include "http_client.h"
#include "notifier.h"
#include "standin.h"
#include "supervisor.h"

DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_string(weight_store, "", "address of the weight store; if empty, models load at once");
DEFINE_int64(memory_mib, 80000, "accelerator memory in MiB");
DEFINE_int32(slots, 8, "maximum number of requests in a batch");
DEFINE_int32(token_ms, 5, "time per token in a batch of one request");
DEFINE_int32(prefill_ms, 20, "time to first token for a prompt that is not cached");
DEFINE_int32(report_lag_ms, 200, "period at which the reported load is updated");
DEFINE_bool(honour_fence, true, "reject orders with a stale fencing token");
DEFINE_uint64(seed, 1, "seed for the random loss of cache events");

namespace mimosabend::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// Time per token in a full batch, relative to a nearly empty one.
constexpr double kFullBatchSlowdown = 2;
constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kMaxCachedPrefixes = 64;
constexpr double kCacheEventLossProbability = 0.1;
constexpr std::size_t kMaxCacheEvents = 1000;
constexpr std::int64_t kDefaultTokens = 16;
constexpr milliseconds kUnloadPollPeriod{5};
constexpr seconds kLoadTimeout{600};
// Read speed for a checkpoint on the local disk, where it stays after its first load.
constexpr int kDiskMibPerSecond = 40000;

struct Replica {
  std::string version;
  std::string base;
  ReplicaState state = ReplicaState::kLoading;
  std::int64_t memory_mib = 0;
  int running = 0;
};

class EngineStandin {
 public:
  explicit EngineStandin(asio::any_io_executor executor)
      : executor_(executor),
        client_(executor),
        changed_(executor),
        incarnation_(Hex64(RandomId())),
        random_(FLAGS_seed) {
    asio::co_spawn(executor_, UpdateReport(), asio::detached);
  }

  Task<void> Handle(HttpExchange& exchange) {
    const std::string target = exchange.request().target;
    if (target == "/control/state") {
      co_await ReplyJson(&exchange, 200, StateJson());
    } else if (target == "/control/fence") {
      co_await RaiseFence(exchange);
    } else if (target == "/control/orders") {
      co_await HandleOrder(exchange);
    } else if (target.starts_with("/control/cache-events")) {
      co_await ReplyCacheEvents(exchange);
    } else if (target == "/fault") {
      const json::value body = JsonBody(exchange);
      extra_token_ms_ = IntegerMember(body, "extra_token_ms").value_or(0);
      break_after_tokens_ = IntegerMember(body, "break_after_tokens").value_or(-1);
      co_await ReplyJson(&exchange, 200, "ok");
    } else if (target == "/v1/completions" || target == "/v1/chat/completions") {
      co_await Generate(exchange);
    } else if (target.starts_with("/v1/cancel/")) {
      cancelled_.insert(target.substr(11));
      co_await ReplyJson(&exchange, 200, "ok");
    } else {
      co_await ReplyJson(&exchange, 404, "unknown path");
    }
  }

 private:
  std::int64_t UsedMemory() const {
    std::int64_t sum = 0;
    for (const auto& [model, replica] : replicas_) sum += replica.memory_mib;
    return sum;
  }

  json::value StateJson() const {
    json::array replicas;
    for (const auto& [model, replica] : replicas_) {
      json::object item;
      item["model"] = model;
      item["version"] = replica.version;
      item["state"] = std::string(kReplicaStateNames[replica.state]);
      item["memory_mib"] = replica.memory_mib;
      replicas.push_back(std::move(item));
    }
    json::array checkpoints;
    for (const std::string& model : on_disk_) checkpoints.push_back(json::string(model));
    json::object state;
    state["incarnation"] = incarnation_;
    state["fence"] = fence_;
    state["role"] = role_;
    state["memory_total_mib"] = FLAGS_memory_mib;
    state["memory_used_mib"] = UsedMemory();
    state["peak_memory_mib"] = peak_memory_;
    state["slots"] = FLAGS_slots;
    state["running"] = reported_running_;
    state["queued"] = reported_queued_;
    state["replicas"] = std::move(replicas);
    state["checkpoints_on_disk"] = std::move(checkpoints);
    state["loads_started"] = loads_started_;
    state["overcommitted_loads"] = overcommitted_loads_;
    return state;
  }

  // Updates the reported load periodically, so that reports are stale by up to --report_lag_ms.
  Task<void> UpdateReport() {
    for (;;) {
      reported_running_ = running_;
      reported_queued_ = static_cast<int>(queue_.size());
      co_await Sleep(milliseconds(FLAGS_report_lag_ms));
    }
  }

  bool IsFenced(const json::value& body) const {
    return FLAGS_honour_fence && IntegerMember(body, "fence").value_or(0) < fence_;
  }

  Task<void> RaiseFence(HttpExchange& exchange) {
    const json::value body = JsonBody(exchange);
    if (IsFenced(body)) {
      co_await ReplyJson(&exchange, 409, "stale fence");
      co_return;
    }
    fence_ = IntegerMember(body, "fence").value_or(0);
    co_await ReplyJson(&exchange, 200, "ok");
  }

  Task<void> HandleOrder(HttpExchange& exchange) {
    const json::value body = JsonBody(exchange);
    if (IsFenced(body)) {
      co_await ReplyJson(&exchange, 409, "stale fence");
      co_return;
    }
    fence_ = std::max(fence_, IntegerMember(body, "fence").value_or(0));
    const std::string model = StringMember(body, "model");
    if (StringMember(body, "kind") == "role") {
      role_ = StringMember(body, "role");
      co_await ReplyJson(&exchange, 202, "ok");
      co_return;
    }
    if (StringMember(body, "kind") == "unload") {
      const auto it = replicas_.find(model);
      if (it != replicas_.end() && it->second.state != ReplicaState::kUnloading) {
        it->second.state = ReplicaState::kUnloading;
        asio::co_spawn(executor_, Unload(model), asio::detached);
      }
      co_await ReplyJson(&exchange, 202, "ok");
      co_return;
    }
    co_await HandleLoad(model, body, exchange);
  }

  Task<void> HandleLoad(std::string model, json::value body, HttpExchange& exchange) {
    Replica replica;
    replica.version = StringMember(body, "version");
    replica.base = StringMember(body, "base");
    replica.memory_mib = IntegerMember(body, "memory_mib").value_or(0);
    const auto known = replicas_.find(model);
    if (known != replicas_.end()) {
      const bool same = known->second.version == replica.version;
      co_await ReplyJson(&exchange, same ? 202 : 422, same ? "ok" : "another version is loaded");
      co_return;
    }
    if (UsedMemory() + replica.memory_mib > FLAGS_memory_mib) {
      ++overcommitted_loads_;
      co_await ReplyJson(&exchange, 507, "not enough memory");
      co_return;
    }
    const auto base = replicas_.find(replica.base);
    const bool base_ready = base != replicas_.end() && base->second.state == ReplicaState::kReady;
    if (!replica.base.empty() && !base_ready) {
      co_await ReplyJson(&exchange, 422, "the adapter's model is not loaded");
      co_return;
    }
    replicas_[model] = replica;
    peak_memory_ = std::max(peak_memory_, UsedMemory());
    ++loads_started_;
    asio::co_spawn(executor_, Load(model, replica), asio::detached);
    co_await ReplyJson(&exchange, 202, "ok");
  }

  Task<void> Load(std::string model, Replica replica) {
    const bool cached = on_disk_.contains(model + "@" + replica.version);
    if (cached) {
      co_await Sleep(milliseconds(1000 * replica.memory_mib / kDiskMibPerSecond));
    } else if (const auto store = ParseAddress(FLAGS_weight_store)) {
      HttpCall call;
      call.address = *store;
      call.target = "/v1/weights/" + model +
                    "?kind=" + (replica.base.empty() ? "model" : "adapter") +
                    "&mib=" + std::to_string(replica.memory_mib);
      call.deadline = MonotonicNow() + kLoadTimeout;
      auto ignored = co_await client_.Call(std::move(call));
      static_cast<void>(ignored);
    }
    on_disk_.insert(model + "@" + replica.version);
    const auto it = replicas_.find(model);
    if (it != replicas_.end() && it->second.state == ReplicaState::kLoading) {
      it->second.state = ReplicaState::kReady;
    }
    changed_.NotifyAll();
  }

  // Waits until no request runs on the replica, then removes it.
  Task<void> Unload(std::string model) {
    while (replicas_.contains(model) && replicas_[model].running > 0)
      co_await Sleep(kUnloadPollPeriod);
    replicas_.erase(model);
  }

  static std::string PromptText(const json::value& body) {
    const json::value* messages = JsonMember(body, "messages");
    if (messages == nullptr || !messages->is_array()) return StringMember(body, "prompt");
    std::string prompt;
    for (const json::value& message : messages->get_array()) {
      prompt += StringMember(message, "content");
    }
    return prompt;
  }

  // Waits for a batch slot. Slots go to the lowest `priority` value first, then in order of
  // arrival.
  Task<void> WaitForSlot(std::int64_t priority) {
    const std::uint64_t queue_number = ++last_queue_number_;
    const auto key = std::make_pair(priority, queue_number);
    queue_.insert(key);
    while (running_ >= FLAGS_slots || *queue_.begin() != key) {
      co_await changed_.WaitUntil(MonotonicNow() + seconds(1));
    }
    queue_.erase(key);
    ++running_;
    changed_.NotifyAll();
  }

  milliseconds TokenTime() const {
    const double load = static_cast<double>(running_) / FLAGS_slots;
    const double time = FLAGS_token_ms * (1 + (kFullBatchSlowdown - 1) * load);
    return milliseconds(static_cast<int>(time) + extra_token_ms_);
  }

  // Returns the time to the first token, which is shorter for a cached prefix, and adds the prefix
  // to the LRU cache.
  milliseconds PrefillTime(const std::string& model, const std::string& prompt) {
    const std::uint64_t prefix = Hash64(prompt.substr(0, kPrefixBytes), Hash64(model));
    const auto it = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    const bool cached = it != prefixes_.end();
    if (cached) prefixes_.erase(it);
    prefixes_.push_front(prefix);
    if (!cached) AddCacheEvent("stored", prefix);
    if (prefixes_.size() > kMaxCachedPrefixes) {
      AddCacheEvent("removed", prefixes_.back());
      prefixes_.pop_back();
    }
    return milliseconds(cached ? FLAGS_prefill_ms / 4 : FLAGS_prefill_ms);
  }

  void AddCacheEvent(const std::string& kind, std::uint64_t prefix) {
    ++last_event_;
    std::bernoulli_distribution lost(kCacheEventLossProbability);
    if (lost(random_)) return;
    events_.push_back(
        json::object{{"sequence", last_event_}, {"kind", kind}, {"prefix", Hex64(prefix)}});
    if (events_.size() > kMaxCacheEvents) events_.pop_front();
  }

  Task<void> ReplyCacheEvents(HttpExchange& exchange) {
    const std::int64_t after =
        std::atoll(QueryParameter(exchange.request().target, "after").c_str());
    json::array list;
    for (const json::object& event : events_) {
      if (event.at("sequence").as_int64() > after) list.push_back(event);
    }
    json::object body;
    body["events"] = std::move(list);
    co_await ReplyJson(&exchange, 200, std::move(body));
  }

  Task<void> Generate(HttpExchange& exchange) {
    const json::value body = JsonBody(exchange);
    const std::string model = StringMember(body, "model");
    const std::string prompt = PromptText(body);
    const auto replica = replicas_.find(model);
    if (replica == replicas_.end() || replica->second.state != ReplicaState::kReady) {
      co_await ReplyJson(&exchange, 404, "the model is not loaded");
      co_return;
    }
    const std::string id = StringMember(body, "request_id");
    ++replica->second.running;
    co_await WaitForSlot(IntegerMember(body, "priority").value_or(1));
    if (prompt.find(kCrashMarker) != std::string::npos) std::_Exit(3);
    co_await Sleep(PrefillTime(model, prompt));
    co_await Stream(model, prompt, id, body, exchange);
    --running_;
    --replicas_[model].running;
    cancelled_.erase(id);
    changed_.NotifyAll();
  }

  Task<void> Stream(std::string model, std::string prompt, std::string id, json::value body,
                    HttpExchange& exchange) {
    const bool chat = exchange.request().target == "/v1/chat/completions";
    const std::int64_t tokens = IntegerMember(body, "max_tokens").value_or(kDefaultTokens);
    const std::int64_t first = IntegerMember(body, "resume_from").value_or(0);
    HttpHeaders headers;
    headers.emplace_back("Content-Type", "text/event-stream");
    const bool started = co_await exchange.StartStream(200, std::move(headers));
    if (!started) co_return;
    for (std::int64_t i = first; i < tokens; ++i) {
      if (i > first) co_await Sleep(TokenTime());
      if (cancelled_.contains(id) || exchange.IsCallerGone()) co_return;
      if (break_after_tokens_ >= 0 && i - first >= break_after_tokens_) co_return;
      const std::string text = TokenText(model, prompt, static_cast<std::uint32_t>(i));
      json::object choice;
      choice["index"] = 0;
      if (chat) {
        choice["delta"] = json::object{{"content", text}};
      } else {
        choice["text"] = text;
      }
      choice["finish_reason"] = i + 1 == tokens ? json::value("length") : json::value();
      json::object chunk;
      chunk["id"] = id;
      chunk["token_index"] = i;
      chunk["choices"] = json::array{std::move(choice)};
      std::string event = "data: " + json::serialize(chunk) + "\n\n";
      const bool written = co_await exchange.Write(std::move(event));
      if (!written) co_return;
    }
    std::string done = "data: [DONE]\n\n";
    const bool written = co_await exchange.Write(std::move(done));
    if (written) co_await exchange.FinishStream();
  }

  asio::any_io_executor executor_;
  HttpClient client_;
  Notifier changed_;
  std::string incarnation_;
  std::mt19937_64 random_;
  std::int64_t fence_ = 0;
  std::string role_ = "mixed";
  std::map<std::string, Replica> replicas_;
  std::set<std::string> on_disk_;
  std::set<std::pair<std::int64_t, std::uint64_t>> queue_;
  std::set<std::string> cancelled_;
  std::list<std::uint64_t> prefixes_;
  std::deque<json::object> events_;
  std::int64_t last_event_ = 0;
  std::uint64_t last_queue_number_ = 0;
  int running_ = 0;
  int reported_running_ = 0;
  int reported_queued_ = 0;
  std::int64_t peak_memory_ = 0;
  std::int64_t extra_token_ms_ = 0;
  std::int64_t break_after_tokens_ = -1;
  int loads_started_ = 0;
  int overcommitted_loads_ = 0;
};

}  // namespace

}  // namespace mimosabend::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context io(1);
  mimosabend::standin::EngineStandin standin(io.get_executor());
  return mimosabend::standin::RunStandin(
      &io, static_cast<std::uint16_t>(FLAGS_port),
      [&](mimosabend::HttpExchange& exchange) { return standin.Handle(exchange); });
}
