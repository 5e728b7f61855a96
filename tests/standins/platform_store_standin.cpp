// Stand-in for the users' platform store: keys with revisions, leases that expire and watches on
// prefixes. PUT /fault {"refuse": true} makes it reject all further calls with 503. PUT /restore
// {"age-ms": 3000, "down-ms": 200} rejects calls for 200 ms and then restores the contents to a
// copy that was 3 s old at the time of the call; the answer is sent afterwards. Responses have
// Store-Era from the first restore on. PUT /item {"key": base64, "value": base64} writes an item
// under any bytes as its key; without a value it deletes it.
#include <gflags/gflags.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <deque>
#include <map>

#include "base64.h"
#include "fake_fleet_store.h"
#include "standin.h"

DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_int32(page_items, 500, "most items of one page of a listing");
DEFINE_bool(ignore_cursors, false, "each page of a listing begins with the first item");
DEFINE_int32(copy_period_ms, 0, "time between two copies of the contents; 0 for no copies");

namespace mimosabend::standin {

namespace json = boost::json;

namespace {

constexpr milliseconds kLeaseCheckPeriod{20};
constexpr std::string_view kCallPrefix = "/mimosabend/";
// Older copies are dropped.
constexpr milliseconds kMaxCopyAge{15000};

// Whether all parameters that name keys can be decoded.
bool HasValidQuery(std::string_view target) {
  const bool path_only = TargetPath(target) == target;
  return path_only || DecodedQueryParameter(target, "").has_value();
}

std::string TextParameter(std::string_view target, std::string_view name) {
  return DecodedQueryParameter(target, name).value_or("");
}

std::uint64_t NumberParameter(std::string_view target, std::string_view name) {
  const std::string text = TextParameter(target, name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

json::object ItemObject(const KvItem& item) {
  if (!item.entry.exists()) return {{"key", item.key}, {"revision", 1}, {"tombstone", true}};
  return {{"key", item.key},
          {"revision", item.entry.version},
          {"value", EncodeBase64(item.entry.value)}};
}

json::array ItemArray(const std::vector<KvItem>& items) {
  json::array array;
  for (const KvItem& item : items) array.push_back(ItemObject(item));
  return array;
}

const json::array& ArrayMember(const json::value& body, std::string_view name) {
  static const json::array kEmpty;
  const json::value* member = JsonMember(body, name);
  return member != nullptr && member->is_array() ? member->get_array() : kEmpty;
}

class PlatformStoreStandin {
 public:
  Task<void> Handle(HttpExchange& exchange) {
    const std::string target = exchange.request().target;
    if (target == "/fault") {
      refuse_ = BoolMember(JsonBody(exchange), "refuse");
      co_await ReplyJson(&exchange, 200, "ok");
      co_return;
    }
    if (target == "/item") {
      WriteItem(JsonBody(exchange));
      co_await ReplyJson(&exchange, 200, "ok");
      co_return;
    }
    if (target == "/restore") {
      co_await Restore(&exchange);
      co_return;
    }
    if (refuse_) {
      co_await ReplyJson(&exchange, 503, "refused");
      co_return;
    }
    const std::string path(TargetPath(target));
    if (!path.starts_with(kCallPrefix)) {
      co_await ReplyJson(&exchange, 404, "no such call");
      co_return;
    }
    if (!HasValidQuery(target)) {
      co_await ReplyJson(&exchange, 400, "not a valid query");
      co_return;
    }
    const std::string call = path.substr(kCallPrefix.size());
    if (call == "kv-key") co_await Read(&exchange, TextParameter(target, "key"));
    if (call == "kv-range") co_await List(&exchange, target);
    if (call == "kv-watch") co_await Watch(&exchange, target);
    if (call == "kv-txn") co_await Write(&exchange);
    if (call == "kv-lease") co_await Grant(&exchange);
    if (call.starts_with("kv-keep/")) co_await Renew(&exchange, call.substr(8));
    if (call.starts_with("kv-lease-end/")) co_await End(&exchange, call.substr(13));
  }

  // Copies the contents at regular times. Returns at once if no copies are wanted.
  Task<void> MakeCopies() {
    while (FLAGS_copy_period_ms > 0) {
      const MonotonicTime now = MonotonicNow();
      if (!down_) copies_.push_back({now, store_.MakeCopy(), leases_});
      while (!copies_.empty() && now - copies_.front().made_at > kMaxCopyAge) copies_.pop_front();
      co_await Sleep(milliseconds(FLAGS_copy_period_ms));
    }
  }

  Task<void> ExpireLeases() {
    for (;;) {
      co_await Sleep(kLeaseCheckPeriod);
      if (down_) continue;
      for (auto it = leases_.begin(); it != leases_.end();) {
        const bool expired = MonotonicNow() >= it->second.expires_at;
        if (expired) store_.EndLease(it->first);
        it = expired ? leases_.erase(it) : std::next(it);
      }
    }
  }

 private:
  struct Lease {
    milliseconds time_to_live{0};
    MonotonicTime expires_at;
  };

  struct Copy {
    MonotonicTime made_at;
    testing::FakeFleetStore::Copy contents;
    std::map<LeaseId, Lease> leases;
  };

  void WriteItem(const json::value& item) {
    const std::string key = DecodeBase64(StringMember(item, "key")).value_or("");
    if (JsonMember(item, "value") == nullptr) {
      store_.Erase(key);
      return;
    }
    store_.Put(key, DecodeBase64(StringMember(item, "value")).value_or(""));
  }

  // Leases of the copy get their full time to live again.
  Task<void> Restore(HttpExchange* exchange) {
    const json::value body = JsonBody(*exchange);
    const milliseconds age(IntegerMember(body, "age-ms").value_or(0));
    const MonotonicTime until = MonotonicNow() - age;
    const auto later = std::find_if(copies_.begin(), copies_.end(),
                                    [&](const Copy& copy) { return copy.made_at > until; });
    if (later == copies_.begin()) {
      co_await ReplyJson(exchange, 404, "no copy that old");
      co_return;
    }
    const Copy copy = *std::prev(later);
    // Nothing happens meanwhile: no lease ends, and open watches report nothing.
    refuse_ = true;
    down_ = true;
    store_.set_mute_watches(true);
    co_await Sleep(milliseconds(IntegerMember(body, "down-ms").value_or(0)));
    refuse_ = false;
    down_ = false;
    store_.Restore(copy.contents);
    leases_ = copy.leases;
    for (auto& [id, lease] : leases_) lease.expires_at = MonotonicNow() + lease.time_to_live;
    co_await ReplyJson(exchange, 200, "restored");
  }

  // Sends a response of the store.
  Task<void> Respond(HttpExchange* exchange, int status, json::value body) {
    HttpHeaders headers{{"Content-Type", "application/json"}};
    if (store_.era() > 0) headers.emplace_back("Store-Era", std::to_string(store_.era()));
    std::string text = json::serialize(body);
    co_await exchange->Reply(status, std::move(headers), std::move(text));
  }

  Task<void> Read(HttpExchange* exchange, std::string key) {
    const KvEntry entry = store_.Get(key);
    json::value body = ItemObject({key, entry});
    co_await Respond(exchange, entry.exists() ? 200 : 404, std::move(body));
  }

  Task<void> List(HttpExchange* exchange, std::string target) {
    auto snapshot = co_await store_.Snapshot(TextParameter(target, "prefix"));
    std::vector<KvItem> items = std::move(snapshot.value().items);
    const std::string after = FLAGS_ignore_cursors ? "" : TextParameter(target, "after");
    std::erase_if(items, [&](const KvItem& item) { return item.key <= after; });
    const auto most = static_cast<std::size_t>(FLAGS_page_items);
    const bool truncated = items.size() > most;
    if (truncated) items.resize(most);
    json::object body{{"items", ItemArray(items)},
                      {"truncated", truncated},
                      {"store-revision", snapshot.value().revision.revision}};
    co_await Respond(exchange, 200, std::move(body));
  }

  Task<void> Watch(HttpExchange* exchange, std::string target) {
    const milliseconds wait(NumberParameter(target, "wait-ms"));
    const StoreRevision after{store_.era(), NumberParameter(target, "after")};
    auto changes = co_await store_.WatchPrefix(TextParameter(target, "prefix"), after, wait);
    if (changes.value().compacted) {
      co_await Respond(exchange, 410, "no such history");
      co_return;
    }
    json::object body{{"events", ItemArray(changes.value().items)},
                      {"store-revision", changes.value().revision.revision}};
    co_await Respond(exchange, 200, std::move(body));
  }

  Task<void> Write(HttpExchange* exchange) {
    const json::value body = JsonBody(*exchange);
    std::vector<KvItem> expected;
    for (const json::value& row : ArrayMember(body, "expected")) {
      const auto revision = static_cast<std::uint64_t>(IntegerMember(row, "revision").value_or(0));
      expected.push_back({StringMember(row, "key"), {"", revision}});
    }
    std::vector<KvPut> puts;
    for (const json::value& row : ArrayMember(body, "puts")) {
      const std::int64_t lease = IntegerMember(row, "lease").value_or(0);
      puts.push_back({StringMember(row, "key"),
                      DecodeBase64(StringMember(row, "value")).value_or(""),
                      lease == 0 ? LeaseId() : std::to_string(lease)});
    }
    auto swap = co_await store_.Claim(expected, puts);
    if (swap.value().swapped) {
      for (const json::value& key : ArrayMember(body, "remove")) {
        store_.Erase(std::string(key.get_string()));
      }
    }
    json::object answer{{"revision", swap.value().version}};
    co_await Respond(exchange, swap.value().swapped ? 200 : 412, std::move(answer));
  }

  Task<void> Grant(HttpExchange* exchange) {
    const milliseconds time_to_live(IntegerMember(JsonBody(*exchange), "ttl-ms").value_or(1000));
    auto lease = co_await store_.GrantLease(time_to_live);
    leases_[lease.value()] = {time_to_live, MonotonicNow() + time_to_live};
    json::object body{{"lease", std::stoll(lease.value())}, {"ttl-ms", time_to_live.count()}};
    co_await Respond(exchange, 200, std::move(body));
  }

  Task<void> Renew(HttpExchange* exchange, std::string lease) {
    const auto it = leases_.find(lease);
    if (it != leases_.end()) it->second.expires_at = MonotonicNow() + it->second.time_to_live;
    co_await Respond(exchange, it == leases_.end() ? 404 : 200, json::object());
  }

  Task<void> End(HttpExchange* exchange, std::string lease) {
    store_.EndLease(lease);
    leases_.erase(lease);
    co_await Respond(exchange, 200, json::object());
  }

  testing::FakeFleetStore store_;
  std::map<LeaseId, Lease> leases_;
  std::deque<Copy> copies_;
  bool refuse_ = false;
  // Being restored.
  bool down_ = false;
};

}  // namespace

}  // namespace mimosabend::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context io(1);
  mimosabend::standin::PlatformStoreStandin standin;
  boost::asio::co_spawn(io, standin.ExpireLeases(), boost::asio::detached);
  boost::asio::co_spawn(io, standin.MakeCopies(), boost::asio::detached);
  return mimosabend::standin::RunStandin(
      &io, static_cast<std::uint16_t>(FLAGS_port),
      [&](mimosabend::HttpExchange& exchange) { return standin.Handle(exchange); });
}
