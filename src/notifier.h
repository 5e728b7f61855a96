#ifndef MIMOSABEND_NOTIFIER_H_
#define MIMOSABEND_NOTIFIER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

#include "clock.h"
#include "result.h"
#include "timer.h"

namespace mimosabend {

// Wakes all coroutines that wait for a change, in the order in which they began to wait. Not
// thread-safe.
class Notifier {
 public:
  explicit Notifier(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

  // Precondition: every waiter has returned or its executor has stopped for good.
  ~Notifier() = default;

  void NotifyAll() {
    for (Timer* timer : waiters_) timer->cancel();
  }

  // Returns at the next NotifyAll or at the deadline.
  Task<void> WaitUntil(MonotonicTime deadline) {
    Timer timer(executor_, deadline);
    const auto place = waiters_.insert(waiters_.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waiters_.erase(place);
  }

 private:
  boost::asio::any_io_executor executor_;
  std::list<Timer*> waiters_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_NOTIFIER_H_
