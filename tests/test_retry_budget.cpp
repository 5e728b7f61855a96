#include <catch2/catch.hpp>

#include "retry_budget.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};

// Takes all retries that the budget allows at `now`, and returns their number.
int AllowedAt(RetryBudget* budget, MonotonicTime now) {
  int allowed = 0;
  while (budget->TryRetry(now, now + seconds(10), milliseconds(0))) ++allowed;
  return allowed;
}

RetryLimits Limits(seconds window) {
  RetryLimits limits;
  limits.share = 0.2;
  limits.extra = 4;
  limits.extra_is_minimum = false;
  limits.window = window;
  return limits;
}

}  // namespace

// Guards against a fixed window of ten seconds when the operator has set another one. With a
// shorter setting, old requests would allow retries; with a longer one, retries would be forgotten
// too early.
TEST_CASE("retries are counted over the window that is set", "[retries]") {
  for (const seconds window : {seconds(3), seconds(10), seconds(25)}) {
    CAPTURE(window.count());
    RetryBudget budget(Limits(window));
    for (int i = 0; i < 100; ++i) budget.RecordRequest(kStart);
    CHECK(AllowedAt(&budget, kStart) == 24);
    CHECK(AllowedAt(&budget, kStart + window - seconds(1)) == 0);
    // The requests before the window no longer count either.
    CHECK(AllowedAt(&budget, kStart + window) == 4);
    budget.RecordRequest(kStart + window);
    CHECK(AllowedAt(&budget, kStart + window) == 0);
  }
}

// Guards against a retry whose answer would come after the deadline.
TEST_CASE("a retry that can't end in time is not allowed", "[retries]") {
  RetryBudget budget(Limits(seconds(10)));
  CHECK_FALSE(budget.TryRetry(kStart, kStart + milliseconds(50), milliseconds(50)));
  CHECK(budget.TryRetry(kStart, kStart + milliseconds(51), milliseconds(50)));
}

}  // namespace mimosabend::testing
