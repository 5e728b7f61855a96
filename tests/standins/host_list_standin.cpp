// The platform's list of hosts. PUT /v1/hosts replaces the list; GET /v1/hosts shows a change
// only after --lag_ms.
#include <gflags/gflags.h>

#include <deque>
#include <utility>

#include "standin.h"

DEFINE_int32(port, 0, "port, 0 for a free one");
DEFINE_int32(lag_ms, 500, "time until a change shows");

namespace mimosabend::standin {

namespace {

class HostListStandin {
 public:
  Task<void> Handle(HttpExchange& exchange) {
    const MonotonicTime now = MonotonicNow();
    if (exchange.request().method == "PUT") {
      // The first list shows at once: it is the state before the test.
      const milliseconds lag(initial_ ? 0 : FLAGS_lag_ms);
      initial_ = false;
      pending_.emplace_back(now + lag, exchange.request().body);
      co_await ReplyJson(&exchange, 200, "ok");
      co_return;
    }
    while (!pending_.empty() && pending_.front().first <= now) {
      shown_ = std::move(pending_.front().second);
      pending_.pop_front();
    }
    HttpHeaders headers;
    headers.emplace_back("Content-Type", "application/json");
    co_await exchange.Reply(200, std::move(headers), shown_);
  }

 private:
  std::deque<std::pair<MonotonicTime, std::string>> pending_;
  bool initial_ = true;
  std::string shown_ = R"({"hosts":[]})";
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
