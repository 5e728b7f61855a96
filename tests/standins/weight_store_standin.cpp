// Stand-in for the weight store, which limits the rate of loads. A request
// GET /v1/weights/NAME?kind=model|adapter&mib=N gets its response after the time that reading the
// checkpoint takes. PUT /fault {"stalled": true} blocks all reads until it is reset.
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>

#include "standin.h"
#include "supervisor.h"

DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_double(loads_per_s, 2, "model loads that may start per second");
DEFINE_int32(mib_per_s, 16000, "speed of each model load while at most four are in progress");

namespace mimosabend::standin {

namespace json = boost::json;

namespace {

constexpr double kFullSpeedModelLoads = 4;
constexpr double kFullSpeedAdapterLoads = 30;
constexpr milliseconds kAdapterLoadTime{8};
constexpr milliseconds kStallPollPeriod{50};

class WeightStore {
 public:
  Task<void> Handle(HttpExchange& exchange) {
    const std::string target = exchange.request().target;
    if (target == "/fault") {
      const json::value body = JsonBody(exchange);
      const json::value* stalled = JsonMember(body, "stalled");
      stalled_ = stalled != nullptr && stalled->is_bool() && stalled->get_bool();
      co_await ReplyJson(&exchange, 200, "ok");
    } else if (target == "/v1/status") {
      json::object status;
      status["model_loads"] = model_loads_;
      status["adapter_loads"] = adapter_loads_;
      status["queued"] = queued_;
      status["started"] = started_;
      co_await ReplyJson(&exchange, 200, status);
    } else if (QueryParameter(target, "kind") == "adapter") {
      co_await LoadAdapter(exchange);
    } else {
      co_await LoadModel(std::atoi(QueryParameter(target, "mib").c_str()), exchange);
    }
  }

 private:
  Task<void> LoadModel(int mib, HttpExchange& exchange) {
    const MonotonicTime now = MonotonicNow();
    const auto interval = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(1 / FLAGS_loads_per_s));
    const MonotonicTime start = std::max(now, next_start_);
    next_start_ = start + interval;
    ++queued_;
    co_await Sleep(start - now);
    while (stalled_) co_await Sleep(kStallPollPeriod);
    --queued_;
    ++model_loads_;
    ++started_;
    const double slowdown = std::max(1.0, model_loads_ / kFullSpeedModelLoads);
    co_await Sleep(milliseconds(static_cast<int>(1000.0 * mib / FLAGS_mib_per_s * slowdown)));
    while (stalled_) co_await Sleep(kStallPollPeriod);
    --model_loads_;
    co_await ReplyJson(&exchange, 200, "loaded");
  }

  Task<void> LoadAdapter(HttpExchange& exchange) {
    ++adapter_loads_;
    const double slowdown = std::max(1.0, adapter_loads_ / kFullSpeedAdapterLoads);
    co_await Sleep(milliseconds(static_cast<int>(kAdapterLoadTime.count() * slowdown)));
    while (stalled_) co_await Sleep(kStallPollPeriod);
    --adapter_loads_;
    co_await ReplyJson(&exchange, 200, "loaded");
  }

  MonotonicTime next_start_;
  int model_loads_ = 0;
  int adapter_loads_ = 0;
  int queued_ = 0;
  int started_ = 0;
  bool stalled_ = false;
};

}  // namespace

}  // namespace mimosabend::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context io(1);
  mimosabend::standin::WeightStore standin;
  return mimosabend::standin::RunStandin(
      &io, static_cast<std::uint16_t>(FLAGS_port),
      [&](mimosabend::HttpExchange& exchange) { return standin.Handle(exchange); });
}
