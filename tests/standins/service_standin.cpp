// A plain service whose calls must not be repeated. Records each run; GET /runs names the number
// of runs of each idempotency key. PUT /fault {"delay_ms": N, "lose_answers": true} delays runs
// and closes the connection after a run instead of answering.
#include <gflags/gflags.h>

#include <map>

#include "standin.h"
#include "supervisor.h"

DEFINE_int32(port, 0, "port, 0 for a free one");

namespace mimosabend::standin {

namespace json = boost::json;

namespace {

class ServiceStandin {
 public:
  Task<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.target == "/fault") {
      const json::value body = BodyOf(exchange);
      const json::value* lose = JsonMember(body, "lose_answers");
      lose_answers_ = lose != nullptr && lose->is_bool() && lose->get_bool();
      delay_ = milliseconds(IntegerMember(body, "delay_ms").value_or(0));
      co_await ReplyJson(&exchange, 200, "ok");
      co_return;
    }
    if (request.target == "/runs") {
      json::object runs;
      for (const auto& [key, count] : runs_) runs[key] = count;
      co_await ReplyJson(&exchange, 200, runs);
      co_return;
    }
    const int run = ++runs_[std::string(request.header("Idempotency-Key"))];
    if (delay_.count() > 0) co_await Sleep(delay_);
    if (lose_answers_) co_return;
    json::object answer;
    answer["order"] = ++orders_;
    answer["run"] = run;
    answer["path"] = request.target;
    answer["body"] = request.body;
    co_await ReplyJson(&exchange, 201, answer);
  }

 private:
  std::map<std::string, int> runs_;
  int orders_ = 0;
  bool lose_answers_ = false;
  milliseconds delay_{0};
};

}  // namespace

}  // namespace mimosabend::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context io(1);
  mimosabend::standin::ServiceStandin standin;
  return mimosabend::standin::RunStandin(
      &io, static_cast<std::uint16_t>(FLAGS_port),
      [&](mimosabend::HttpExchange& exchange) { return standin.Handle(exchange); });
}
