#include "run_check.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

#include "event_loop.h"
#include "notifier.h"
#include "scope_exit.h"

namespace mimosabend {

namespace {

// Reports are a few hundred milliseconds old, so a run that began later may be missing from them.
constexpr milliseconds kMaxReportAge{500};
// An engine may close an idle connection just as the question is sent on it.
constexpr int kMaxFetches = 2;

}  // namespace

struct RunChecker::Question {
  Question(const boost::asio::any_io_executor& executor, MonotonicTime now)
      : answered(executor), asked_at(now) {}

  Notifier answered;
  MonotonicTime asked_at;
  bool ended = false;
  bool rejected = false;
  // Unset if there is no answer.
  std::optional<EngineReport> report;
};

RunState FindRun(const EngineReport& report, const std::string& id) {
  if (!report.runs) return RunState::kUnknown;
  const bool listed = std::find(report.runs->begin(), report.runs->end(), id) != report.runs->end();
  return listed ? RunState::kListed : RunState::kNotListed;
}

bool MayLeaveStalled(RunState state) {
  return state == RunState::kNotListed || state == RunState::kNoAnswer;
}

bool MayGoOn(const RunAnswer& answer, MonotonicTime begun) {
  if (answer.state == RunState::kListed || answer.state == RunState::kRejected) return false;
  if (answer.state != RunState::kNotListed) return true;
  return answer.asked_at >= begun + kMaxReportAge;
}

Task<RunAnswer> RunChecker::Ask(Address address, std::string id, MonotonicTime deadline) {
  const MonotonicTime now = MonotonicNow();
  if (!fetch_) co_return RunAnswer{RunState::kNoAnswer, now};
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto [pending, is_new] = questions_.try_emplace(address);
  if (is_new) pending->second = std::make_shared<Question>(executor, now);
  const std::shared_ptr<Question> question = pending->second;
  if (is_new) SpawnDetached(executor, "report question", Fetch(question, std::move(address)));
  if (!question->ended) {
    co_await question->answered.WaitUntil(
        std::min(deadline, question->asked_at + kMaxFetches * kReportTimeout));
  }
  RunAnswer answer{question->rejected ? RunState::kRejected : RunState::kNoAnswer,
                   question->asked_at};
  if (question->report) answer.state = FindRun(*question->report, id);
  co_return answer;
}

Task<void> RunChecker::Fetch(std::shared_ptr<Question> question, Address address) {
  const ScopeExit end(alive_, [this, &question, &address] {
    questions_.erase(address);
    question->ended = true;
    question->answered.NotifyAll();
  });
  for (int i = 0; i < kMaxFetches; ++i) {
    auto report = co_await fetch_(address, kReportTimeout);
    question->rejected = !report && report.error() == HttpError::kBroken;
    if (question->rejected) continue;
    if (report) question->report = std::move(report).value();
    break;
  }
}

}  // namespace mimosabend
