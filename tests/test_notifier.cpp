#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <vector>

#include "notifier.h"
#include "simulated_time.h"
#include "supervisor.h"

namespace mimosabend::testing {

// Guards against waiters that are resumed in the order of their addresses, so that a later waiter
// can repeatedly overtake the first.
TEST_CASE("waiters are resumed in the order in which they began to wait", "[notifier]") {
  constexpr int kWaiters = 20;
  SimulatedTime time;
  boost::asio::io_context io(1);
  Notifier notifier(io.get_executor());
  std::vector<int> resumed;
  const auto wait = [&](int number) -> Task<void> {
    co_await notifier.WaitUntil(MonotonicTime::max());
    resumed.push_back(number);
  };
  for (int i = 0; i < kWaiters; ++i) {
    boost::asio::co_spawn(io, wait(i), boost::asio::detached);
  }
  time.RunFor(&io, milliseconds(1));
  CHECK(resumed.empty());
  notifier.NotifyAll();
  time.Run(&io);
  REQUIRE(resumed.size() == kWaiters);
  for (int i = 0; i < kWaiters; ++i) CHECK(resumed[i] == i);
}

// Guards against simulations whose outcome depends on the speed of the machine: a timer must fire
// exactly at its simulated time.
TEST_CASE("simulated time advances only to the next timer", "[notifier]") {
  SimulatedTime time;
  boost::asio::io_context io(1);
  const MonotonicTime start = MonotonicNow();
  std::vector<int> order;
  std::vector<milliseconds> times;
  const auto sleep = [&](int number, milliseconds duration) -> Task<void> {
    co_await Sleep(duration);
    order.push_back(number);
    times.push_back(std::chrono::duration_cast<milliseconds>(MonotonicNow() - start));
  };
  boost::asio::co_spawn(io, sleep(0, seconds(3)), boost::asio::detached);
  boost::asio::co_spawn(io, sleep(1, milliseconds(0)), boost::asio::detached);
  boost::asio::co_spawn(io, sleep(2, milliseconds(7)), boost::asio::detached);
  time.Run(&io);
  CHECK(order == std::vector<int>{1, 2, 0});
  CHECK(times == std::vector<milliseconds>{milliseconds(0), milliseconds(7), seconds(3)});
}

}  // namespace mimosabend::testing
