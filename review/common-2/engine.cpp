#include "engine.h"

#include <thread>

namespace review {

namespace json = boost::json;

namespace {

constexpr int kAdapters = 36;
constexpr int kEvents = 4;
constexpr std::int64_t kEventGapMs = 10;
constexpr std::int64_t kAdapterLoadMs = 8;
constexpr std::int64_t kRequestGapMs = 25;

std::string Text(const json::value& value, const char* name) {
  const json::value* member = value.get_object().if_contains(name);
  return member == nullptr ? std::string() : std::string(member->get_string().c_str());
}

}  // namespace

Engine::Engine(std::string id, Store* store, Record* record) : id_(std::move(id)), record_(record) {
  const std::uint16_t port = Serve(
      "127.0.0.1", 0,
      [this](Connection& connection, const Request& request) { Handle(connection, request); });
  json::object entry = MakeEntry("models", port, UnixMs());
  entry["stage"] = "unified";
  entry["models"] = Models();
  store->Put("servers/" + id_, json::serialize(entry));
}

std::vector<Order> Engine::Orders() {
  const std::lock_guard lock(mutex_);
  return orders_;
}

json::array Engine::Models() const {
  json::array adapters;
  for (const std::string& name : adapters_) adapters.push_back(json::value(name));
  return {json::object{{"name", "m0"}, {"version", 1}, {"adapters", adapters}}};
}

int Engine::Execute(const json::value& order) {
  const std::lock_guard lock(mutex_);
  const std::string holder = Text(order, "holder");
  const auto fence = order.at("fence-token").to_number<std::uint64_t>();
  const std::string adapter = Text(order, "adapter");
  const json::value* expected = order.get_object().if_contains("expected");
  if (expected != nullptr && expected->to_number<std::int64_t>() != sequence_) return 409;
  const bool load = Text(order, "op-type") == "load";
  if (adapter.empty() || load == adapters_.contains(adapter)) return 200;
  ++sequence_;
  if (load) {
    adapters_.insert(adapter);
  } else {
    adapters_.erase(adapter);
  }
  orders_.push_back({NowMs(), holder, fence});
  record_->Line("order at " + id_ + " " + Text(order, "op-type") + " m0/" + adapter + " holder=\"" +
                holder + "\" fence-token=" + std::to_string(fence));
  return 202;
}

void Engine::Run(Connection& connection, const Request& request) {
  const std::string id = "Request-Id: " + request.headers.Find("Request-Id") + "\r\n";
  const std::string model = request.headers.Find("Model");
  const std::string adapter = model.substr(std::min(model.size(), model.find('/') + 1));
  bool held = false;
  {
    const std::lock_guard lock(mutex_);
    held = adapters_.contains(adapter);
  }
  if (!held || request.headers.Find("Expect-Instance") != id_) {
    connection.Reply(421, id + "Instance-Id: " + id_ + "\r\n", "");
    return;
  }
  SleepMs(kAdapterLoadMs);
  connection.Write("HTTP/1.1 200 OK\r\n" + id + "Response-Stamp: " + id_ +
                   "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int event = 1; event <= kEvents; ++event) {
    const std::string text = "id: " + std::to_string(event) + "\ndata: e\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    connection.Write(size + text + "\r\n");
    SleepMs(kEventGapMs);
  }
  connection.Write("0\r\n\r\n");
}

void Engine::Handle(Connection& connection, const Request& request) {
  const std::string type = "Content-Type: application/json\r\n";
  if (request.Path() == "/mimosabend/report") {
    json::object report{{"stage", "unified"}, {"busy", false},        {"waiting", 0},
                        {"running", 0},       {"kv-used", 0},         {"kv-total", 240000},
                        {"handles", 0},       {"runs", json::array()}};
    {
      const std::lock_guard lock(mutex_);
      report["models"] = Models();
      report["seq-no"] = sequence_;
    }
    connection.Reply(200, type, json::serialize(report));
  } else if (request.Path() == "/mimosabend/order") {
    connection.Reply(Execute(json::parse(request.body)), type, "{}");
  } else {
    Run(connection, request);
  }
}

json::object EngineConfig() {
  const json::object model{{"name", "m0"},     {"weights-mb", 65100}, {"adapters", kAdapters},
                           {"adapter-mb", 12}, {"load-time-s", 6.0},  {"disk-s", 0.76},
                           {"warm-s", 0.38}};
  const json::object engine{{"slots", 64},          {"kv-capacity", 240000},
                            {"weights-mb", 160000}, {"adapter-slots", Engine::kAdapterSlots},
                            {"loads-per-s", 4.2},   {"models", json::array{model}}};
  return {{"version", 10},
          {"routes", json::array{MakeRoute("/chat/", "streaming", "models", 2, 5000)}},
          {"services",
           json::array{json::object{{"name", "models"}, {"max-conns", 360}, {"engine", engine}}}},
          {"limits", json::object{{"max-header-bytes", 16384},
                                  {"max-body-bytes", 4194304},
                                  {"header-timeout-ms", 5000},
                                  {"idle-timeout-ms", 20000}}}};
}

void RunAdapterClient(const Fleet& fleet, int gateways, const std::atomic<bool>& stop,
                      Record* record) {
  std::atomic<int> open = 0;
  for (int i = 0; !stop; ++i) {
    SleepMs(kRequestGapMs);
    ++open;
    std::thread([&, i] {
      const std::string id = NewRequestId();
      const std::string model = "m0/a" + std::to_string(1 + i % kAdapters);
      const Answer answer = Send(fleet.Ip(i % gateways), fleet.front(), "POST", "/chat/x",
                                 "Request-Id: " + id + "\r\nModel: " + model +
                                     "\r\nToken-Count: 100,20\r\nPrompt-Prefix: a1:60,b" +
                                     std::to_string(i % 10) + ":40\r\nDeadline-Ms: 3000\r\n",
                                 "{}", 3500);
      record->Line("answer " + id + " " + model + " status=" + std::to_string(answer.status) + " " +
                   answer.end);
      --open;
    }).detach();
  }
  while (open > 0) SleepMs(kRequestGapMs);
}

int LastHolder(const Fleet& fleet, int gateways, const std::vector<Engine*>& engines) {
  Order last;
  for (Engine* engine : engines) {
    const auto orders = engine->Orders();
    if (!orders.empty() && orders.back().at >= last.at) last = orders.back();
  }
  for (int i = 0; i < gateways; ++i) {
    if (last.holder.starts_with(fleet.Name(i) + " ")) return i;
  }
  return -1;
}

std::string FindTurn(const std::vector<Order>& orders, std::int64_t lease_ms) {
  for (std::size_t i = 1; i < orders.size(); ++i) {
    const Order& before = orders[i - 1];
    const Order& order = orders[i];
    if (order.holder == before.holder || order.at - before.at >= lease_ms) continue;
    return "order by \"" + order.holder + "\" " + std::to_string(order.at - before.at) +
           " ms after one by \"" + before.holder + "\"";
  }
  return "";
}

}  // namespace review
