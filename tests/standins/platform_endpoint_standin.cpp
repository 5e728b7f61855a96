// Stand-in for an endpoint of the users' platform: an engine that streams events, or a plain
// service. It registers itself in the store under a lease and renews that. A request whose body
// contains "crash" ends the process when it starts to run, like a request that crashes an engine;
// so does a request whose prompt has a part with an id that begins with "dead". PUT /fault
// {"rate_limit": "3"} changes the rate limit that its answers state; "" ends it; {"leave": true}
// deletes its entry, although it still answers requests. With --brittle=N, its answers state that
// it is brittle: 3 s after --brittle_from_ms, fewer requests may wait, and the process ends when it
// has rejected more than N requests within a second. With --order_log it executes orders for
// models as an engine that checks fencing tokens; otherwise it accepts all orders and does nothing.
// The header "Test-Bytes" of a request is the size of its answer, for a stream without the framing
// of events. The text of each event ends with the version of the endpoint's software.
#include <fcntl.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <random>
#include <set>

#include "digest.h"
#include "http_client.h"
#include "platform/platform_store.h"
#include "standin.h"
#include "supervisor.h"

DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_int32(registered_port, 0, "port to register in the store; 0 for that of --port");
DEFINE_string(id, "", "key under which the endpoint registers");
DEFINE_string(service, "", "service that the endpoint belongs to");
DEFINE_string(store, "", "address of the store");
DEFINE_string(model, "", "model that the engine has loaded; empty for a plain service");
DEFINE_int32(events, 10, "number of events in a stream");
DEFINE_int32(event_gap_ms, 20, "time between two events of a stream");
DEFINE_int32(start_ms, 20, "time until a request starts to run");
DEFINE_int32(lapse_ms, 1200, "time to live of the lease");
DEFINE_int32(max_running, 0, "requests that run at the same time, others wait; 0 for no limit");
DEFINE_int32(max_waiting, 2, "requests that wait at the same time, others are refused");
DEFINE_string(run_log, "", "file to which the start and the end of each run are added");
DEFINE_int32(unmarked_503_rate, 0, "percentage of runs answered with 503, without Not-Executed");
DEFINE_int32(anonymous_refusal_rate, 0, "percentage of refusals without Request-Id");
DEFINE_uint64(fault_seed, 1, "seed of the faults; the id of the endpoint is mixed in");
DEFINE_string(rate_limit, "", "Server-Limit of all answers to callers' requests; empty for none");
DEFINE_string(software, "", "version of its software, which it registers and adds to each event");
DEFINE_int32(slots, 64, "slots that it registers");
DEFINE_string(brittle, "", "Server-Brittle of all answers to callers' requests; empty for none");
DEFINE_int64(brittle_from_ms, 0, "Unix time from which it is brittle");
DEFINE_int32(brittle_waiting, 1, "max_waiting from 3 s after that time");
DEFINE_string(order_log, "", "file to which each accepted order is added");
DEFINE_string(
    arrival_log, "",
    "file to which each arrival of a caller's request and the head of its answer are added");

namespace mimosabend::standin {

namespace json = boost::json;

namespace {

constexpr int kRenewalsPerLease = 3;
constexpr milliseconds kSlotPollInterval{2};
constexpr std::int64_t kDefaultDeadlineMillis = 10000;
constexpr std::int64_t kBrittleNoticeMillis = 3000;
constexpr seconds kRejectWindow{1};

class PlatformEndpointStandin {
 public:
  explicit PlatformEndpointStandin(boost::asio::io_context* io)
      : client_(io->get_executor()), store_(&client_, ParseAddress(FLAGS_store).value()) {}

  Task<void> Handle(HttpExchange& exchange) {
    const std::string path(TargetPath(exchange.request().target));
    if (path == "/mimosabend/report") {
      co_await ReplyJson(&exchange, 200, Description());
      co_return;
    }
    if (path == "/mimosabend/order") {
      const int status = FLAGS_order_log.empty() ? 200 : ExecuteOrder(JsonBody(exchange));
      co_await ReplyJson(&exchange, status, json::object());
      co_return;
    }
    if (path == "/fault") {
      const json::value fault = JsonBody(exchange);
      rate_limit_ = StringMember(fault, "rate_limit");
      leaves_ = leaves_ || BoolMember(fault, "leave");
      co_await ReplyJson(&exchange, 200, json::object());
      co_return;
    }
    LogEvent("arrival", exchange.request());
    const std::string expected(exchange.request().header("Expect-Instance"));
    if (!expected.empty() && expected != FLAGS_id) {
      HttpHeaders headers = AnswerHeaders(exchange.request(), true);
      co_await exchange.Reply(421, std::move(headers), "{}");
      co_return;
    }
    const bool admitted = co_await WaitForSlot(exchange.request());
    if (!admitted) {
      HttpHeaders headers = AnswerHeaders(exchange.request(), !Draw(FLAGS_anonymous_refusal_rate));
      headers.emplace_back("Not-Executed", "1");
      co_await exchange.Reply(503, std::move(headers), "");
      co_return;
    }
    ++running_;
    LogRun("start", exchange.request());
    co_await Sleep(milliseconds(FLAGS_start_ms));
    const std::string prompt(exchange.request().header("Prompt-Prefix"));
    const bool deadly = exchange.request().body.find("crash") != std::string::npos ||
                        prompt.starts_with("dead") || prompt.find(",dead") != std::string::npos;
    if (deadly) std::_Exit(1);
    co_await Run(&exchange);
    LogRun("end", exchange.request());
    --running_;
  }

  // Registers the endpoint under a new lease, and again whenever the lease expires or the store was
  // restored. Returns once the endpoint has left and the lease has ended.
  Task<void> Register() {
    const milliseconds time_to_live(FLAGS_lapse_ms);
    while (!leaves_) {
      auto lease = co_await store_.GrantLease(time_to_live);
      if (lease) {
        const std::string key = platform::PlatformStore::endpoint_prefix() + FLAGS_id;
        auto known = co_await store_.Read(key);
        if (known) {
          std::vector<KvItem> expected{{key, {"", known.value().version}}};
          std::vector<KvPut> puts{{key, json::serialize(Description()), lease.value()}};
          auto swap = co_await store_.Claim(std::move(expected), std::move(puts));
          if (swap && swap.value().swapped) co_await RenewUntilExpired(lease.value(), time_to_live);
        }
      }
      co_await Sleep(time_to_live / kRenewalsPerLease);
    }
  }

  void set_address(const Address& address) { address_ = address; }

 private:
  // Waits until the request may run. Returns false if too many wait, or its deadline passes first.
  Task<bool> WaitForSlot(const HttpRequest& request) {
    const std::string limit(request.header("Deadline-Ms"));
    const MonotonicTime deadline =
        MonotonicNow() + milliseconds(limit.empty() ? kDefaultDeadlineMillis : std::stoll(limit));
    const auto is_full = [&] { return FLAGS_max_running > 0 && running_ >= FLAGS_max_running; };
    if (is_full() && waiting_ >= MaxWaiting()) {
      RecordRejection();
      co_return false;
    }
    ++waiting_;
    while (is_full() && MonotonicNow() < deadline) co_await Sleep(kSlotPollInterval);
    --waiting_;
    co_return !is_full();
  }

  static std::int64_t BrittleMillis() {
    return FLAGS_brittle.empty() ? -1 : ToUnixMillis(WallNow()) - FLAGS_brittle_from_ms;
  }

  static int MaxWaiting() {
    return BrittleMillis() < kBrittleNoticeMillis ? FLAGS_max_waiting : FLAGS_brittle_waiting;
  }

  // Ends the process if it is brittle and has rejected too many requests.
  void RecordRejection() {
    if (BrittleMillis() < kBrittleNoticeMillis) return;
    const MonotonicTime now = MonotonicNow();
    rejections_.push_back(now);
    while (rejections_.front() + kRejectWindow <= now) rejections_.pop_front();
    if (static_cast<double>(rejections_.size()) > std::stod(FLAGS_brittle)) std::_Exit(1);
  }

  bool Draw(int percent) { return static_cast<int>(random_() % 100) < percent; }

  // Records the start or the end of a run where the test can count it, whatever becomes of the
  // response.
  static void LogRun(const std::string& event, const HttpRequest& request) {
    if (FLAGS_run_log.empty()) return;
    AppendLine(FLAGS_run_log, event + " " + std::to_string(ToUnixMillis(WallNow())) + " " +
                                  FLAGS_id + " " + std::string(request.header("Request-Id")) + " " +
                                  request.target + " " + request.body);
  }

  // Records an arrival or an answer: event, time in microseconds of the monotonic clock, port, the
  // gateway that the caller sent to, and the rate limit that answers state at that time.
  void LogEvent(const std::string& event, const HttpRequest& request) const {
    if (FLAGS_arrival_log.empty()) return;
    const auto time =
        std::chrono::duration_cast<std::chrono::microseconds>(MonotonicNow().time_since_epoch());
    const std::string gateway(request.header("Test-Gateway"));
    AppendLine(FLAGS_arrival_log, event + " " + std::to_string(time.count()) + " " +
                                      std::to_string(FLAGS_port) + " " +
                                      (gateway.empty() ? "-1" : gateway) + " " +
                                      (rate_limit_.empty() ? "-" : rate_limit_));
  }

  // Executes an order for a model at once and returns the status of the answer. Records it as time
  // in microseconds of the monotonic clock, port, fencing token and holder.
  int ExecuteOrder(const json::value& order) {
    const std::int64_t fence = IntegerMember(order, "fence-token").value_or(0);
    if (fence < fence_) return 412;
    fence_ = fence;
    if (IntegerMember(order, "expected").value_or(0) != sequence_) return 409;
    ++sequence_;
    const std::string model = StringMember(order, "model");
    if (StringMember(order, "op-type") == "load") {
      models_.insert(model);
    } else {
      models_.erase(model);
    }
    const auto time =
        std::chrono::duration_cast<std::chrono::microseconds>(MonotonicNow().time_since_epoch());
    AppendLine(FLAGS_order_log, std::to_string(time.count()) + " " + std::to_string(FLAGS_port) +
                                    " " + std::to_string(fence) + " " +
                                    StringMember(order, "holder"));
    return 200;
  }

  // Adds a line to a file that other processes write to as well.
  static void AppendLine(const std::string& path, std::string line) {
    line += "\n";
    const int file = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
    const ssize_t written = ::write(file, line.data(), line.size());
    if (written != static_cast<ssize_t>(line.size())) std::abort();
    ::close(file);
  }

  // Headers of all answers to callers' requests. `with_id`: whether to return the request's id.
  HttpHeaders AnswerHeaders(const HttpRequest& request, bool with_id) const {
    LogEvent("answer", request);
    HttpHeaders headers;
    if (with_id) headers.emplace_back("Request-Id", request.header("Request-Id"));
    if (!rate_limit_.empty()) headers.emplace_back("Server-Limit", rate_limit_);
    if (BrittleMillis() >= 0) headers.emplace_back("Server-Brittle", FLAGS_brittle);
    return headers;
  }

  // Renews a lease until it expires or the store was restored. An endpoint that leaves deletes its
  // entry and goes on renewing the lease, so that an entry that is restored stays.
  Task<void> RenewUntilExpired(LeaseId lease, milliseconds time_to_live) {
    const std::uint32_t era = store_.era().current();
    bool deleted = false;
    for (;;) {
      co_await Sleep(time_to_live / kRenewalsPerLease);
      if (leaves_ && !deleted) deleted = co_await DeleteEntry();
      auto renewed = co_await store_.RenewLease(lease);
      if (renewed && !renewed.value()) co_return;
      if (!leaves_ && store_.era().current() != era) co_return;
    }
  }

  Task<bool> DeleteEntry() {
    const std::string key = platform::PlatformStore::endpoint_prefix() + FLAGS_id;
    auto known = co_await store_.Read(key);
    if (!known) co_return false;
    auto removed = co_await store_.Delete(key, known.value().version);
    co_return removed&& removed.value();
  }

  json::object Description() const {
    json::object description{{"service", FLAGS_service},
                             {"address", ToString(address_)},
                             {"zone", "a"},
                             {"version", FLAGS_software},
                             {"slots", FLAGS_slots},
                             {"state", "ready"},
                             {"born", ToUnixMillis(started_)},
                             {"cold-left-ms", 0},
                             {"seq-no", sequence_}};
    json::array models;
    for (const std::string& model : models_) {
      models.push_back(json::object{{"name", model}, {"adapters", json::array()}});
    }
    description["models"] = std::move(models);
    return description;
  }

  Task<void> Run(HttpExchange* exchange) {
    HttpHeaders headers = AnswerHeaders(exchange->request(), true);
    headers.emplace_back("Response-Stamp", FLAGS_id);
    if (Draw(FLAGS_unmarked_503_rate)) {
      co_await exchange->Reply(503, std::move(headers), "");
      co_return;
    }
    const std::string size(exchange->request().header("Test-Bytes"));
    const std::size_t bytes = size.empty() ? 0 : std::stoul(size);
    if (FLAGS_model.empty()) {
      std::string body = bytes == 0 ? "done" : std::string(bytes, 'b');
      co_await exchange->Reply(200, std::move(headers), std::move(body));
      co_return;
    }
    headers.emplace_back("Content-Type", "text/event-stream");
    std::int64_t first = 1;
    const std::string last_event_id(exchange->request().header("Last-Event-Id"));
    if (!last_event_id.empty()) first = std::stoll(last_event_id) + 1;
    bool open = co_await exchange->StartStream(200, std::move(headers));
    for (std::int64_t id = first; open && id <= FLAGS_events; ++id) {
      const std::string padding(bytes / FLAGS_events, 'b');
      open = co_await exchange->Write("id: " + std::to_string(id) + "\ndata: e" + padding +
                                      FLAGS_software + "\n\n");
      co_await Sleep(milliseconds(FLAGS_event_gap_ms));
    }
    if (open) co_await exchange->FinishStream();
  }

  HttpClient client_;
  platform::PlatformStore store_;
  Address address_;
  WallTime started_ = WallNow();
  std::string rate_limit_ = FLAGS_rate_limit;
  std::set<std::string> models_ =
      FLAGS_model.empty() ? std::set<std::string>{} : std::set<std::string>{FLAGS_model};
  // Number of executed orders, and the highest fencing token of an order.
  std::int64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  bool leaves_ = false;
  int running_ = 0;
  int waiting_ = 0;
  // Rejections for want of room in the last second, while it is brittle.
  std::deque<MonotonicTime> rejections_;
  std::mt19937_64 random_{FLAGS_fault_seed ^ Hash64(FLAGS_id)};
};

}  // namespace

}  // namespace mimosabend::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context io(1);
  mimosabend::standin::PlatformEndpointStandin standin(&io);
  // The test fleet chooses the port, so that the endpoint keeps its address across restarts.
  const int port = FLAGS_registered_port == 0 ? FLAGS_port : FLAGS_registered_port;
  standin.set_address({"127.0.0.1", static_cast<std::uint16_t>(port)});
  boost::asio::co_spawn(io, standin.Register(), boost::asio::detached);
  return mimosabend::standin::RunStandin(
      &io, static_cast<std::uint16_t>(FLAGS_port),
      [&](mimosabend::HttpExchange& exchange) { return standin.Handle(exchange); });
}
