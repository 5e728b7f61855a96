#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/decode.h"
#include "run_check.h"
#include "supervisor.h"

namespace mimosabend::testing {

namespace {

EngineReport DecodedReport(const std::string& members) {
  const auto report = platform::DecodeReport(R"({"models":[])" + members + "}");
  REQUIRE(report);
  return *report;
}

const Address kEngine{"127.0.0.1", 1};

// A checker whose engine answers after a delay.
struct CheckedEngine {
  RunAnswer Ask(const std::string& id) {
    RunAnswer answer;
    boost::asio::co_spawn(io, Store(id, &answer), boost::asio::detached);
    io.restart();
    io.run_for(seconds(2));
    return answer;
  }

  Task<void> Store(std::string id, RunAnswer* answer) {
    const RunAnswer given = co_await checker.Ask(kEngine, std::move(id), deadline);
    *answer = given;
  }

  boost::asio::io_context io{1};
  MonotonicTime deadline = MonotonicTime::max();
  milliseconds delay{20};
  // How the next questions fail; later ones are answered.
  std::vector<HttpError> errors;
  int questions = 0;
  RunChecker checker{[this](Address, milliseconds) -> Task<Result<EngineReport, HttpError>> {
    ++questions;
    co_await Sleep(delay);
    if (!errors.empty()) {
      const HttpError error = errors.front();
      errors.erase(errors.begin());
      co_return outcome::failure(error);
    }
    EngineReport report;
    report.runs = {{"9c41"}};
    co_return report;
  }};
};

}  // namespace

// Guards against a run that is taken for ended because the report's list is missing or unreadable.
TEST_CASE("a run counts as ended only if a readable list lacks it", "[run_check]") {
  const auto state = [](const std::string& members) {
    return FindRun(DecodedReport(members), "9c41");
  };
  CHECK(state(R"(,"runs":[["77",1,1,5],["9c41",100,2,5]],"running":2)") == RunState::kListed);
  CHECK(state(R"(,"runs":[["77",1,1,5]],"running":1)") == RunState::kNotListed);
  CHECK(state(R"(,"runs":[],"running":1)") == RunState::kNotListed);
  CHECK(state(R"(,"running":1)") == RunState::kUnknown);
  CHECK(state("") == RunState::kUnknown);
  CHECK(state(R"(,"runs":["9c41"],"running":1)") == RunState::kUnknown);
  CHECK(state(R"(,"runs":[[]],"running":1)") == RunState::kUnknown);
  CHECK(state(R"(,"runs":[[7,1,1,5]],"running":1)") == RunState::kUnknown);
  CHECK(state(R"(,"runs":{},"running":1)") == RunState::kUnknown);
  std::string many;
  for (int i = 0; i < 5000; ++i) many += R"(["77",1,1,5],)";
  CHECK(state(R"(,"runs":[)" + many + R"(["9c41",1,1,5]],"running":1)") == RunState::kUnknown);
}

// Guards against a stalled stream that is left while its engine works on it, or kept although the
// engine is gone.
TEST_CASE("a stalled stream is left if its run is not listed or nobody answers", "[run_check]") {
  CHECK_FALSE(MayLeaveStalled(RunState::kListed));
  CHECK_FALSE(MayLeaveStalled(RunState::kUnknown));
  CHECK(MayLeaveStalled(RunState::kNotListed));
  CHECK(MayLeaveStalled(RunState::kNoAnswer));
  CHECK_FALSE(MayLeaveStalled(RunState::kRejected));
}

// Guards against a request that goes on elsewhere because the report is older than its run.
TEST_CASE("a report that may be older than a run does not show its end", "[run_check]") {
  const MonotonicTime start = MonotonicNow();
  const auto may_go_on = [&](RunState state, milliseconds asked_after) {
    return MayGoOn({state, start + asked_after}, start);
  };
  CHECK_FALSE(may_go_on(RunState::kListed, seconds(5)));
  CHECK_FALSE(may_go_on(RunState::kNotListed, milliseconds(400)));
  CHECK(may_go_on(RunState::kNotListed, milliseconds(500)));
  CHECK(may_go_on(RunState::kNoAnswer, milliseconds(0)));
  CHECK(may_go_on(RunState::kUnknown, milliseconds(0)));
  CHECK_FALSE(may_go_on(RunState::kNotListed, milliseconds(0)));
  CHECK_FALSE(may_go_on(RunState::kListed, milliseconds(0)));
  CHECK_FALSE(may_go_on(RunState::kRejected, seconds(5)));
}

// Guards against a question for each stream when all streams of an engine stall at once, and
// against an answer that is given to the wrong stream.
TEST_CASE("streams of one engine share a question", "[run_check]") {
  CheckedEngine engine;
  std::vector<RunAnswer> answers(20);
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const std::string id = i % 2 == 0 ? "9c41" : "77";
    boost::asio::co_spawn(engine.io, engine.Store(id, &answers[i]), boost::asio::detached);
  }
  engine.io.run_for(seconds(2));
  CHECK(engine.questions == 1);
  for (std::size_t i = 0; i < answers.size(); ++i) {
    CAPTURE(i);
    CHECK(answers[i].state == (i % 2 == 0 ? RunState::kListed : RunState::kNotListed));
  }
  CHECK(engine.Ask("9c41").state == RunState::kListed);
  CHECK(engine.questions == 2);
}

// Guards against a request that waits for an answer beyond the end of its process, and is cut off
// instead of being answered.
TEST_CASE("a question is not waited for beyond the deadline", "[run_check]") {
  CheckedEngine engine;
  engine.delay = milliseconds(250);
  engine.deadline = MonotonicNow() + milliseconds(50);
  std::optional<MonotonicTime> answered;
  const auto ask = [&]() -> Task<void> {
    RunAnswer answer;
    co_await engine.Store("9c41", &answer);
    CHECK(answer.state == RunState::kNoAnswer);
    answered = MonotonicNow();
  };
  boost::asio::co_spawn(engine.io, ask(), boost::asio::detached);
  engine.io.run_for(seconds(1));
  REQUIRE(answered);
  CHECK(*answered < engine.deadline + milliseconds(100));
}

// Guards against an engine that is taken for unreachable because it closed an idle connection, and
// against a question that is repeated without end.
TEST_CASE("a question is sent again only if its connection broke", "[run_check]") {
  CheckedEngine engine;
  engine.errors = {HttpError::kBroken};
  CHECK(engine.Ask("9c41").state == RunState::kListed);
  CHECK(engine.questions == 2);
  engine.errors = {HttpError::kTimedOut};
  CHECK(engine.Ask("9c41").state == RunState::kNoAnswer);
  CHECK(engine.questions == 3);
  engine.errors = std::vector<HttpError>(5, HttpError::kBroken);
  CHECK(engine.Ask("9c41").state == RunState::kRejected);
  CHECK(engine.questions == 5);
  RunChecker without_hook{RunChecker::FetchReport()};
  std::optional<RunState> state;
  const auto ask = [&]() -> Task<void> {
    const RunAnswer answer = co_await without_hook.Ask(kEngine, "9c41", MonotonicTime::max());
    state = answer.state;
  };
  boost::asio::co_spawn(engine.io, ask(), boost::asio::detached);
  engine.io.restart();
  engine.io.run_for(milliseconds(50));
  CHECK(state == RunState::kNoAnswer);
}

}  // namespace mimosabend::testing
