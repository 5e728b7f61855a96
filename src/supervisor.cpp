#include "supervisor.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>

#include "event_loop.h"
#include "log.h"
#include "timer.h"

namespace mimosabend {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kInitialBackoff{50};
constexpr milliseconds kMaxBackoff{5000};
constexpr std::size_t kMaxRestarts = 10;
constexpr seconds kRestartWindow{60};

}  // namespace

Task<void> Sleep(std::chrono::steady_clock::duration duration) {
  Timer timer(co_await asio::this_coro::executor, MonotonicNow() + duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Supervisor::Supervisor(asio::any_io_executor executor, Metrics* metrics, std::string name,
                       FailureHandler on_give_up)
    : executor_(std::move(executor)),
      metrics_(metrics),
      name_(std::move(name)),
      on_give_up_(std::move(on_give_up)) {}

void Supervisor::Start(const std::string& task_name, TaskFactory factory) {
  SpawnDetached(executor_, task_name, Run(task_name, std::move(factory)));
}

Task<void> Supervisor::Run(std::string task_name, TaskFactory factory) {
  std::deque<MonotonicTime> failures;
  milliseconds backoff = kInitialBackoff;
  while (!stopping_) {
    std::string reason;
    try {
      co_await factory();
      co_return;
    } catch (const std::exception& error) {
      reason = error.what();
    }
    if (stopping_) co_return;
    const MonotonicTime now = MonotonicNow();
    failures.push_back(now);
    while (now - failures.front() > kRestartWindow) failures.pop_front();
    LOG4CPLUS_ERROR(Log(), name_ << "/" << task_name << " failed: " << reason);
    if (failures.size() > kMaxRestarts) {
      on_give_up_(task_name);
      co_return;
    }
    metrics_->task_restarts_total->Increment();
    co_await Sleep(backoff);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

}  // namespace mimosabend
