// Stand-in for a plain service whose requests are not idempotent. GET /runs returns the number of
// runs for each idempotency key. PUT /fault {"delay_ms": N, "lose_answers": true} delays the
// responses and closes the connection after a run instead of responding.
#include <gflags/gflags.h>

#include <map>

#include "standin.h"
#include "supervisor.h"

DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");

namespace mimosabend::standin {

namespace json = boost::json;

namespace {

class ServiceStandin {
 public:
  Task<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.target == "/fault") {
      const json::value body = JsonBody(exchange);
      const json::value* member = JsonMember(body, "lose_answers");
      lose_responses_ = member != nullptr && member->is_bool() && member->get_bool();
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
    if (lose_responses_) co_return;
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
  bool lose_responses_ = false;
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
