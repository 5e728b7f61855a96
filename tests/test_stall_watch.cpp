#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "stall_watch.h"

namespace mimosabend::testing {

namespace {

// A watched call that may be given up.
struct WatchedCall {
  // Runs the watch for a time in which nothing else happens.
  void Run(milliseconds time) {
    io.restart();
    io.run_for(time);
  }

  boost::asio::io_context io{1};
  std::shared_ptr<HttpCanceller> canceller = std::make_shared<HttpCanceller>();
  bool may_give_up = true;
  int questions = 0;
  StallWatch watch{io.get_executor(), canceller, [this] {
                     ++questions;
                     return may_give_up;
                   }};
};

}  // namespace

// Guards against a stalled stream that is kept for the time that its first event was allowed.
TEST_CASE("a shorter limit applies at once", "[stall]") {
  WatchedCall call;
  call.watch.RecordProgress(MonotonicNow(), milliseconds(10000));
  call.Run(milliseconds(5));
  call.watch.RecordProgress(MonotonicNow(), milliseconds(20));
  call.Run(milliseconds(200));
  CHECK(call.watch.expired());
  CHECK(call.canceller->cancelled());
}

// Guards against a sound call that is cancelled although it makes progress.
TEST_CASE("progress and pauses hold off a stall", "[stall]") {
  WatchedCall call;
  for (int i = 0; i < 5; ++i) {
    call.watch.RecordProgress(MonotonicNow(), milliseconds(1000));
    call.Run(milliseconds(2));
  }
  call.watch.RecordProgress(MonotonicNow(), milliseconds(20));
  call.watch.Pause();
  call.Run(milliseconds(100));
  CHECK_FALSE(call.watch.expired());
  CHECK(call.questions == 0);
  call.watch.RecordProgress(MonotonicNow(), milliseconds(20));
  call.Run(milliseconds(200));
  CHECK(call.watch.expired());
}

// Guards against a call that is kept in one stall and never watched again, or cancelled later.
TEST_CASE("a call that may not be given up is asked about once for each stall", "[stall]") {
  WatchedCall call;
  call.may_give_up = false;
  for (int stalls = 1; stalls <= 3; ++stalls) {
    call.watch.RecordProgress(MonotonicNow(), milliseconds(10));
    call.Run(milliseconds(100));
    CHECK(call.questions == stalls);
  }
  CHECK_FALSE(call.canceller->cancelled());
}

}  // namespace mimosabend::testing
