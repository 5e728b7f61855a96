#ifndef MIMOSABEND_NOTIFIER_H_
#define MIMOSABEND_NOTIFIER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <list>

#include "clock.h"
#include "result.h"
#include "timer.h"

namespace mimosabend {

// A condition that coroutines can wait for. Waiters are resumed in the order in which they began to
// wait. Not thread-safe.
class Notifier {
 public:
  explicit Notifier(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

  // Precondition: every waiter has returned or its executor has stopped for good.
  ~Notifier() = default;

  // Resumes all current waiters.
  void NotifyAll() {
    ++notifications_;
    for (Timer* timer : waiters_) timer->cancel();
  }

  // Number of calls of NotifyAll so far.
  std::uint64_t notifications() const { return notifications_; }

  // Suspends until the next NotifyAll or the deadline, whichever comes first.
  Task<void> WaitUntil(MonotonicTime deadline) {
    Timer timer(executor_, deadline);
    const auto position = waiters_.insert(waiters_.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waiters_.erase(position);
  }

 private:
  boost::asio::any_io_executor executor_;
  std::list<Timer*> waiters_;
  std::uint64_t notifications_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_NOTIFIER_H_
