#ifndef MIMOSABEND_RUN_CHECK_H_
#define MIMOSABEND_RUN_CHECK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "clock.h"
#include "fleet_endpoint.h"
#include "http_client.h"
#include "name_table.h"
#include "result.h"

namespace mimosabend {

// What is known about a run after its engine was asked. kUnknown: the report does not list runs.
// kRejected: the engine turned the question away or closed its connection, so it is alive.
// kNoAnswer: the engine cannot be reached or does not answer in time.
enum class RunState : std::uint8_t { kListed, kNotListed, kUnknown, kRejected, kNoAnswer };
inline constexpr std::size_t kRunStateCount = 5;
inline constexpr NameTable<RunState, kRunStateCount> kRunStateNames{
    {"listed", "not listed", "unknown", "rejected", "no answer"}};

struct RunAnswer {
  RunState state = RunState::kNoAnswer;
  // When the question was sent.
  MonotonicTime asked_at;
};

// What an engine's report says about the run of the request `id`.
RunState FindRun(const EngineReport& report, const std::string& id);

// Whether a stream that has stalled is given up for another engine.
bool MayLeaveStalled(RunState state);

// Whether a request whose connection has closed may go on at another engine. `begun`: the latest
// time at which the run may have begun, if it has.
bool MayGoOn(const RunAnswer& answer, MonotonicTime begun);

// Asks engines which requests they run. Requests that ask about the same engine at the same time
// share one question. Not thread-safe.
class RunChecker {
 public:
  using FetchReport =
      std::function<Task<Result<EngineReport, HttpError>>(Address address, milliseconds timeout)>;

  // `fetch` may be empty; then the state of all runs is kNoAnswer.
  explicit RunChecker(FetchReport fetch) : fetch_(std::move(fetch)) {}

  // Asks the engine at `address` for the run of the request `id`. Takes until `deadline` and twice
  // kReportTimeout at most; a question that takes longer goes on in the background. Precondition:
  // this object outlives the call.
  Task<RunAnswer> Ask(Address address, std::string id, MonotonicTime deadline);

  // Reports are answered without a slot. An engine that takes longer is treated as unreachable.
  static constexpr milliseconds kReportTimeout{300};

 private:
  struct Question;

  Task<void> Fetch(std::shared_ptr<Question> question, Address address);

  FetchReport fetch_;
  std::map<Address, std::shared_ptr<Question>> questions_;
  // Expires with this object, which the coroutines of its calls may outlive.
  std::shared_ptr<const int> alive_ = std::make_shared<const int>(0);
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RUN_CHECK_H_
