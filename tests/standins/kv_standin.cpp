// Stand-in for the key-value service. Implements the subset of Consul's HTTP API that the daemons
// use: /v1/kv with cas, acquire, recurse and blocking queries, /v1/txn with one cas, and
// /v1/session. PUT /fault injects faults; GET /stats returns call counts.
#include <gflags/gflags.h>

#include <charconv>
#include <map>
#include <random>

#include "base64.h"
#include "digest.h"
#include "notifier.h"
#include "standin.h"
#include "supervisor.h"

DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_uint64(seed, 1, "seed for random faults and session ids");

namespace mimosabend::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxValueBytes = 1024 * 1024;

struct Entry {
  std::string value;
  std::uint64_t version = 0;
  std::string session;
};

struct Session {
  milliseconds time_to_live{0};
  MonotonicTime expires;
};

struct Faults {
  // Closes each connection without handling the request.
  bool down = false;
  milliseconds delay{0};
  // Fraction of writes that take effect but get no response.
  double lost_response_ratio = 0;
};

class KvStandin {
 public:
  explicit KvStandin(boost::asio::any_io_executor executor)
      : changed_(executor), random_(FLAGS_seed) {}

  Task<void> Handle(HttpExchange& exchange) {
    const std::string path = DecodedPath(exchange.request().target);
    if (path == "/fault") {
      co_await SetFaults(exchange);
      co_return;
    }
    if (path == "/stats") {
      json::object stats;
      stats["reads"] = reads_;
      stats["writes"] = writes_;
      stats["watches"] = watches_;
      co_await ReplyJson(&exchange, 200, stats);
      co_return;
    }
    if (faults_.down) co_return;
    if (faults_.delay.count() > 0) co_await Sleep(faults_.delay);
    ExpireSessions();
    if (path.starts_with("/v1/kv/")) {
      co_await HandleKey(path.substr(7), exchange);
    } else if (path == "/v1/txn") {
      co_await HandleTransaction(exchange);
    } else if (path.starts_with("/v1/session/")) {
      co_await HandleSession(path.substr(12), exchange);
    } else {
      co_await ReplyJson(&exchange, 404, "unknown path");
    }
  }

 private:
  Task<void> SetFaults(HttpExchange& exchange) {
    const json::value body = JsonBody(exchange);
    const json::value* down = JsonMember(body, "down");
    faults_.down = down != nullptr && down->is_bool() && down->get_bool();
    faults_.delay = milliseconds(IntegerMember(body, "delay_ms").value_or(0));
    faults_.lost_response_ratio = IntegerMember(body, "lost_answers_percent").value_or(0) / 100.0;
    co_await ReplyJson(&exchange, 200, "ok");
  }

  void ExpireSessions() {
    const MonotonicTime now = MonotonicNow();
    for (auto it = sessions_.begin(); it != sessions_.end();) {
      if (it->second.expires > now) {
        ++it;
        continue;
      }
      DeleteKeysOfSession(it->first);
      it = sessions_.erase(it);
    }
  }

  void DeleteKeysOfSession(const std::string& session) {
    for (auto it = entries_.begin(); it != entries_.end();) {
      it = it->second.session == session ? entries_.erase(it) : std::next(it);
    }
    ++index_;
    changed_.NotifyAll();
  }

  void Put(const std::string& key, std::string value, const std::string& session) {
    entries_[key] = {std::move(value), ++index_, session};
    changed_.NotifyAll();
  }

  std::uint64_t VersionOf(const std::string& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second.version;
  }

  // Responds to a write, or drops the response at random.
  Task<void> ReplyWrite(HttpExchange& exchange, int status, json::value body) {
    std::bernoulli_distribution lost(faults_.lost_response_ratio);
    if (lost(random_)) co_return;
    co_await ReplyJson(&exchange, status, std::move(body));
  }

  static json::object ItemOf(const std::string& key, const Entry& entry) {
    json::object item;
    item["Key"] = key;
    item["Value"] = EncodeBase64(entry.value);
    item["ModifyIndex"] = entry.version;
    return item;
  }

  Task<void> HandleKey(std::string key, HttpExchange& exchange) {
    const std::string target = exchange.request().target;
    const std::string& method = exchange.request().method;
    if (method == "GET") {
      co_await ReadKey(key, target, exchange);
    } else if (method == "DELETE") {
      ++writes_;
      const bool match = std::to_string(VersionOf(key)) == QueryParameter(target, "cas");
      if (match && entries_.erase(key) > 0) {
        ++index_;
        changed_.NotifyAll();
      }
      co_await ReplyWrite(exchange, 200, match);
    } else {
      ++writes_;
      const std::string session = QueryParameter(target, "acquire");
      const auto it = entries_.find(key);
      const bool held_by_other = it != entries_.end() && it->second.session != session;
      const bool acquired = sessions_.contains(session) && !held_by_other;
      if (acquired) Put(key, exchange.request().body, session);
      co_await ReplyWrite(exchange, 200, acquired);
    }
  }

  Task<void> ReadKey(std::string key, std::string target, HttpExchange& exchange) {
    const bool recurse = target.find("?recurse") != std::string::npos;
    const std::string known = QueryParameter(target, "index");
    if (!known.empty()) {
      ++watches_;
      int wait_ms = 0;
      const std::string wait = QueryParameter(target, "wait");
      std::from_chars(wait.data(), wait.data() + wait.size(), wait_ms);
      const MonotonicTime deadline = MonotonicNow() + milliseconds(wait_ms);
      while (known != "0" && std::to_string(VersionOf(key)) == known && MonotonicNow() < deadline) {
        co_await changed_.WaitUntil(deadline);
      }
      if (faults_.down) co_return;
    } else {
      ++reads_;
    }
    json::array items;
    for (auto it = entries_.lower_bound(key); it != entries_.end(); ++it) {
      if (recurse ? !it->first.starts_with(key) : it->first != key) break;
      items.push_back(ItemOf(it->first, it->second));
    }
    const int status = items.empty() ? 404 : 200;
    co_await ReplyJson(&exchange, status, std::move(items));
  }

  Task<void> HandleTransaction(HttpExchange& exchange) {
    ++writes_;
    const auto body = ParseJson(exchange.request().body);
    const json::value* operation = body && body->is_array() && body->get_array().size() == 1
                                       ? JsonMember(body->get_array().front(), "KV")
                                       : nullptr;
    if (operation == nullptr) {
      co_await ReplyJson(&exchange, 400, "one KV operation is expected");
      co_return;
    }
    const std::string key = StringMember(*operation, "Key");
    auto value = DecodeBase64(StringMember(*operation, "Value"));
    if (!value || value->size() > kMaxValueBytes) {
      co_await ReplyJson(&exchange, 413, "the value is too large");
      co_return;
    }
    const std::int64_t expected = IntegerMember(*operation, "Index").value_or(-1);
    if (static_cast<std::int64_t>(VersionOf(key)) != expected) {
      json::object conflict;
      conflict["Errors"] = json::array{json::object{{"OpIndex", 0}, {"What", "index is stale"}}};
      co_await ReplyWrite(exchange, 409, conflict);
      co_return;
    }
    Put(key, std::move(*value), "");
    json::object result;
    result["KV"] = json::object{{"Key", key}, {"ModifyIndex", index_}};
    json::object results;
    results["Results"] = json::array{std::move(result)};
    co_await ReplyWrite(exchange, 200, results);
  }

  Task<void> HandleSession(std::string action, HttpExchange& exchange) {
    ++writes_;
    if (action == "create") {
      const std::string text = StringMember(JsonBody(exchange), "TTL");
      int time_to_live_ms = 0;
      std::from_chars(text.data(), text.data() + text.size(), time_to_live_ms);
      const std::string id = Hex64(random_());
      const milliseconds time_to_live(time_to_live_ms);
      sessions_[id] = {time_to_live, MonotonicNow() + time_to_live};
      json::object created;
      created["ID"] = id;
      co_await ReplyWrite(exchange, 200, created);
      co_return;
    }
    const std::size_t slash = action.find('/');
    const std::string id = action.substr(slash + 1);
    const auto it = sessions_.find(id);
    if (action.starts_with("renew/")) {
      if (it == sessions_.end()) {
        co_await ReplyWrite(exchange, 404, "no such session");
        co_return;
      }
      it->second.expires = MonotonicNow() + it->second.time_to_live;
    } else if (it != sessions_.end()) {
      DeleteKeysOfSession(id);
      sessions_.erase(id);
    }
    co_await ReplyWrite(exchange, 200, true);
  }

  Notifier changed_;
  std::mt19937_64 random_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Session> sessions_;
  std::uint64_t index_ = 0;
  Faults faults_;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t watches_ = 0;
};

}  // namespace

}  // namespace mimosabend::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context io(1);
  mimosabend::standin::KvStandin standin(io.get_executor());
  return mimosabend::standin::RunStandin(
      &io, static_cast<std::uint16_t>(FLAGS_port),
      [&](mimosabend::HttpExchange& exchange) { return standin.Handle(exchange); });
}
