#include <catch2/catch.hpp>

#include "retry_budget.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};

// Retries that are allowed at once.
int AllowedAt(RetryBudget* budget, MonotonicTime now) {
  int allowed = 0;
  while (budget->TryRetry(now, now + seconds(10), milliseconds(0))) ++allowed;
  return allowed;
}

RetryLimits Limits(seconds window) {
  RetryLimits limits;
  limits.share = 0.2;
  limits.extra = 4;
  limits.at_least = false;
  limits.window = window;
  return limits;
}

}  // namespace

// Guards against a budget of ten seconds where the operator counts over another time: in a shorter
// one the requests of before would pay for retries, in a longer one retries would count too
// briefly.
TEST_CASE("retries are counted over the window that is set", "[retries]") {
  for (const seconds window : {seconds(3), seconds(10), seconds(25)}) {
    CAPTURE(window.count());
    RetryBudget budget(Limits(window));
    for (int i = 0; i < 100; ++i) budget.NoteRequest(kStart);
    CHECK(AllowedAt(&budget, kStart) == 24);
    CHECK(AllowedAt(&budget, kStart + window - seconds(1)) == 0);
    // The requests of before no longer count either.
    CHECK(AllowedAt(&budget, kStart + window) == 4);
    budget.NoteRequest(kStart + window);
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
