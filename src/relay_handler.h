#ifndef MIMOSABEND_RELAY_HANDLER_H_
#define MIMOSABEND_RELAY_HANDLER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "break_examiner.h"
#include "crash_evidence.h"
#include "endpoint_selector.h"
#include "event_stream.h"
#include "fleet_directory.h"
#include "http_client.h"
#include "http_server.h"
#include "quota_meter.h"
#include "relay_metrics.h"
#include "retry_budget.h"
#include "suspect_trials.h"
#include "usage_board.h"

namespace mimosabend {

// Where the relay asks for models and adapters.
struct PlacementHooks {
  // Places an adapter at an engine. False if that is not possible now.
  std::function<Task<bool>(AdapterRequest)> place_adapter;
  // When a load of a model that has been ordered should end.
  std::function<std::optional<MonotonicTime>(const std::string& model)> load_end;
  // Whether somebody decides on loads now.
  std::function<bool(MonotonicTime)> has_leader;
  // Whether the configuration in force is so old that routes may have been added since.
  std::function<bool(MonotonicTime)> may_lack_routes;
};

// Passes requests on to the endpoints of the operator's routes: plain requests whole, streams
// event by event. A request is repeated only where it has not run or may run again. Not
// thread-safe.
class RelayHandler {
 public:
  // What the handler works with. Precondition: all pointers outlive the handler.
  struct Parts {
    HttpClient* client;
    FleetDirectory* directory;
    EndpointStats* stats;
    PrefixIndex* prefixes;
    EndpointSelector* selector;
    UsageBoard* board;
    RelayMetrics* metrics;
    CrashEvidence* evidence;
    BreakExaminer* breaks;
    QuotaMeter* quota;
    PlacementHooks placement;
  };

  RelayHandler(Parts parts, std::uint64_t seed)
      : parts_(std::move(parts)),
        random_(seed),
        trials_([this] { parts_.board->changed().NotifyAll(); }) {}

  // Answers one request.
  Task<void> Handle(HttpExchange& exchange);

  // Bounds the repeats that this daemon may send to each service.
  void SetRetryLimits(const RetryLimits& limits);

  // The process ends soon: nothing new is tried, and nothing waits, after `end`. Requests that
  // arrive after `refuse_from` are refused, since their answers might not be whole by then.
  void SetEnd(MonotonicTime refuse_from, MonotonicTime end) {
    refuse_from_ = refuse_from;
    end_ = end;
  }

  // Breaks off all tries without an answer, so that their requests get one from this daemon.
  // Precondition: the end that was set has come.
  void FailUnanswered();

  // Logs the requests that have not ended as broken off, and what they wait for.
  // Precondition: the process ends.
  void LogUnfinished();

  // Requests that have not ended.
  std::size_t in_flight() const { return in_flight_; }

 private:
  struct Context;
  using ContextPtr = std::shared_ptr<Context>;
  struct AdapterPlacement;

  // What a try leads to.
  enum class Next : std::uint8_t { kDone, kTryAgain };

  Task<void> Serve(ContextPtr context);
  Task<bool> Authenticate(ContextPtr context);
  Task<bool> WaitForQuota(ContextPtr context);
  Task<bool> TakeQuota(ContextPtr context);
  Task<void> ServePlain(ContextPtr context);
  Task<Next> TryPlain(ContextPtr context, EndpointChoice choice);
  Task<void> ServeStream(ContextPtr context);
  Task<Next> TryStream(ContextPtr context, EndpointChoice choice);
  Task<Next> Pump(ContextPtr context, const EndpointChoice& choice,
                  std::unique_ptr<HttpStream> stream);
  Task<bool> WaitForModel(ContextPtr context);
  Task<bool> PlaceAdapter(ContextPtr context, EndpointChoice* choice);
  Task<void> AskForAdapter(std::shared_ptr<AdapterPlacement> placement, AdapterRequest request);
  Task<Next> PassWhole(ContextPtr context, HttpReply reply);
  Task<void> GiveUp(ContextPtr context);
  Task<void> Refuse(ContextPtr context, std::string reason);
  Task<void> DeliverRefusal(ContextPtr context, int status, milliseconds retry_after,
                            std::string body);
  Task<void> Deliver(ContextPtr context, int status, HttpHeaders headers, std::string body);

  MonotonicTime FirstConfigTime(MonotonicTime now) const;
  static bool MayRunAgain(const Context& context);
  bool MayTryAgain(Context* context);
  bool HasTimeLeft(const Context& context, MonotonicTime now) const;
  MonotonicTime WaitLimit(const Context& context) const;
  bool MayWait(const Context& context, MonotonicTime now) const;
  std::optional<std::string> ReasonNotToWait(Context* context, MonotonicTime began,
                                             MonotonicTime now) const;
  milliseconds RetryAfter(const Context& context);
  void NoteHeaders(const EndpointChoice& choice, int status, const HttpHeaders& headers);
  Task<void> NoteFailure(ContextPtr context, FleetEndpoint endpoint, HttpError error);
  Task<void> NoteBreak(ContextPtr context, FleetEndpoint endpoint, HttpError error);
  void NoteServed(Context* context);
  bool IsContained(const Context& context, MonotonicTime now) const;
  bool IsBusyWithTrials(const Context& context, MonotonicTime now) const;
  bool MustRunAlone(const Context& context, MonotonicTime now) const;
  std::set<std::string> WithoutTrials(const Context& context, MonotonicTime now) const;
  std::set<std::string> Avoided(const Context& context, MonotonicTime now) const;
  std::optional<EndpointChoice> ChoosePlain(const Context& context, MonotonicTime now);
  std::optional<EndpointChoice> ChooseEngine(const Context& context, MonotonicTime now);
  void BeginTry(Context* context, const EndpointChoice& choice);
  Task<void> WaitForTrials(ContextPtr context);
  std::optional<MonotonicTime> HeldUntil(const Context& context, MonotonicTime now) const;
  Task<bool> WaitForEvidence(ContextPtr context, MonotonicTime until);
  Task<void> RefuseContained(ContextPtr context);
  HttpCall MakeCall(Context* context, const EndpointChoice& choice, MonotonicTime deadline) const;
  std::string PickService(const Route& route, const std::string& request_id) const;
  bool HasEngine(const Context& context, MonotonicTime now) const;
  bool MayMove(const Context& context, const std::string& endpoint);
  RetryBudget& BudgetOf(const std::string& service);
  void LogEnd(const Context& context) const;

  Parts parts_;
  std::mt19937_64 random_;
  SuspectTrials trials_;
  RetryLimits retry_limits_;
  std::map<std::string, RetryBudget> budgets_;
  std::size_t in_flight_ = 0;
  std::set<Context*> active_;
  MonotonicTime started_ = MonotonicNow();
  MonotonicTime refuse_from_ = MonotonicTime::max();
  MonotonicTime end_ = MonotonicTime::max();
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RELAY_HANDLER_H_
