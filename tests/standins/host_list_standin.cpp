// Stand-in for the platform's host list. PUT /v1/hosts replaces the list; GET /v1/hosts returns the
// new list only after --lag_ms.
#include <gflags/gflags.h>

#include <deque>
#include <utility>

#include "standin.h"

DEFINE_int32(port, 0, "port to listen on; 0 picks a free one");
DEFINE_int32(lag_ms, 500, "time until a change becomes visible");

namespace mimosabend::standin {

namespace {

class HostListStandin {
 public:
  Task<void> Handle(HttpExchange& exchange) {
    const MonotonicTime now = MonotonicNow();
    if (exchange.request().method == "PUT") {
      // The first list is the initial state of a test, so it is visible at once.
      const milliseconds lag(initial_ ? 0 : FLAGS_lag_ms);
      initial_ = false;
      pending_.emplace_back(now + lag, exchange.request().body);
      co_await ReplyJson(&exchange, 200, "ok");
      co_return;
    }
    while (!pending_.empty() && pending_.front().first <= now) {
      visible_ = std::move(pending_.front().second);
      pending_.pop_front();
    }
    HttpHeaders headers;
    headers.emplace_back("Content-Type", "application/json");
    co_await exchange.Reply(200, std::move(headers), visible_);
  }

 private:
  std::deque<std::pair<MonotonicTime, std::string>> pending_;
  bool initial_ = true;
  std::string visible_ = R"({"hosts":[]})";
};

}  // namespace

}  // namespace mimosabend::standin

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context io(1);
  mimosabend::standin::HostListStandin standin;
  return mimosabend::standin::RunStandin(
      &io, static_cast<std::uint16_t>(FLAGS_port),
      [&](mimosabend::HttpExchange& exchange) { return standin.Handle(exchange); });
}
