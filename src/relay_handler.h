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

#include "brittle_endpoints.h"
#include "crash_evidence.h"
#include "endpoint_limits.h"
#include "endpoint_prober.h"
#include "endpoint_selector.h"
#include "event_stream.h"
#include "fleet_directory.h"
#include "hedge_budget.h"
#include "hedge_policy.h"
#include "http_client.h"
#include "http_server.h"
#include "memory_budget.h"
#include "part_evidence.h"
#include "quota_meter.h"
#include "relay_metrics.h"
#include "request_forwarder.h"
#include "response_times.h"
#include "retry_budget.h"
#include "run_check.h"
#include "share_queue.h"
#include "stream_versions.h"
#include "suspect_trials.h"
#include "usage_collector.h"
#include "wait_policy.h"

namespace mimosabend {

struct PlainAttempt;
struct RelayContext;

// Access of the relay to the placement of models and adapters, to the fleet's shared limits and to
// the reports of engines.
struct PlacementHooks {
  // Fetches the report of the engine at an address. May be empty.
  RunChecker::FetchReport fetch_report;
  // Has an adapter loaded on an engine. False if that is not possible now.
  std::function<Task<bool>(AdapterRequest)> place_adapter;
  // Asks for a permit to send a request to an endpoint with a rate limit.
  std::function<Task<PermitAnswer>(PermitRequest)> request_permit;
  // Asks which software version began a stream. May be empty: take-ups are then not checked.
  std::function<Task<StreamOrigin>(StreamOriginRequest)> find_stream_origin;
  // Expected end of a load of the model that is in progress; std::nullopt if there is none.
  std::function<std::optional<MonotonicTime>(const std::string& model)> load_end;
  // Expected end of a load of a model of the service that has not been ordered, for a request of
  // this priority; std::nullopt if unknown. May be empty.
  std::function<std::optional<MonotonicTime>(const std::string& service, std::uint32_t priority)>
      queued_load_end;
  // Whether there is a placement leader that decides on model loads.
  std::function<bool(MonotonicTime)> has_leader;
  // Whether the current configuration may be stale, so that routes or keys may be missing from it.
  std::function<bool(MonotonicTime)> config_may_be_stale;
};

// Forwards requests to the endpoints of the operator's routes. Responses of plain requests are
// buffered, streams are relayed event by event. A request is retried only if it has not run or if
// its route allows that it runs again. Not thread-safe.
class RelayHandler {
 public:
  // Precondition: all pointers outlive the handler.
  struct Dependencies {
    HttpClient* client;
    FleetDirectory* directory;
    EndpointStats* stats;
    PrefixIndex* prefixes;
    EndpointSelector* selector;
    UsageCollector* usage;
    RelayMetrics* metrics;
    CrashEvidence* evidence;
    PartEvidence* part_evidence;
    EndpointProber* prober;
    QuotaMeter* quota;
    EndpointLimits* limits;
    PlacementHooks placement;
    // May be null.
    MemoryBudget* memory = nullptr;
    // May be null, then requests are not passed on to other gateways.
    RequestForwarder* forwarder = nullptr;
    // May be null.
    StreamVersions* streams = nullptr;
    // May be null.
    BrittleEndpoints* brittle = nullptr;
  };

  // `seed` initializes the random numbers for jitter and quota admission.
  RelayHandler(Dependencies deps, std::uint64_t seed)
      : deps_(std::move(deps)),
        random_(seed),
        hedge_budget_(seed),
        run_checker_(deps_.placement.fetch_report),
        trials_([this] { deps_.usage->endpoints_changed().NotifyAll(); }) {}

  // Serves one request of a caller.
  Task<void> Handle(HttpExchange& exchange);
  // Serves one request that another gateway has passed on.
  Task<void> HandleForwarded(HttpExchange& exchange);

  // Sets the retry budget for each service.
  void SetRetryLimits(const RetryLimits& limits);

  // Sets whether and how late plain requests get a second attempt. Applies to attempts that are
  // sent from now on.
  void SetHedging(const HedgingSettings& settings) {
    hedging_ = settings;
    response_times_.set_tail_quantile(HedgeQuantile(settings));
  }

  // Drops response times that are too old to be used.
  void PruneExpired(MonotonicTime now) { response_times_.PruneExpired(now); }

  // Sets whether forecasts refuse requests.
  void SetWaitRules(const WaitRules& rules) {
    wait_rules_ = rules;
    wait_round_ = {};
  }

  // Prepares for shutdown: after `stop_deadline`, no attempt starts and no request waits. Requests
  // that arrive after `refuse_from` are refused because their responses might not be complete by
  // then.
  void SetShutdownTimes(MonotonicTime refuse_from, MonotonicTime stop_deadline) {
    refuse_from_ = refuse_from;
    stop_deadline_ = stop_deadline;
  }

  // Cancels all attempts whose response has not reached the caller yet, so that their callers get
  // an error response from this daemon. Precondition: the stop deadline has passed.
  void FailUnanswered();

  // Logs the requests that have not ended and what they are waiting for.
  // Precondition: the process is about to exit.
  void LogUnfinished();

  // Number of requests that have not ended.
  std::size_t in_flight() const { return in_flight_; }

 private:
  using Context = RelayContext;
  using ContextPtr = std::shared_ptr<RelayContext>;
  struct AdapterPlacement;
  using PlainAttemptPtr = std::shared_ptr<PlainAttempt>;
  struct HedgeWatch;
  // A second attempt that is about to be sent.
  struct Hedge {
    PlainAttemptPtr attempt;
    HttpCall call;
  };

  // kDone: the response has been sent. kRetry: another attempt may follow.
  enum class NextStep : std::uint8_t { kDone, kRetry };

  Task<void> HandleFrom(HttpExchange& exchange, std::string forwarded_by);
  Task<void> Serve(ContextPtr context);
  Task<void> AdmitAndServe(ContextPtr context);
  bool MustLeave(const Context& context, MonotonicTime now) const;
  bool IsUnfitHelper(const Context& context, MonotonicTime now) const;
  Task<bool> ForwardIfPartitioned(ContextPtr context);
  Task<bool> ForwardUnsent(ContextPtr context);
  Task<bool> Forward(ContextPtr context);
  HttpCall MakeForwardCall(Context* context, const Address& helper) const;
  Task<void> ReturnForwarded(ContextPtr context, std::unique_ptr<HttpStream> response);
  Task<void> ReturnForwardedStream(ContextPtr context, std::unique_ptr<HttpStream> response);
  Task<void> ReturnForwardedReply(ContextPtr context, std::unique_ptr<HttpStream> response);
  Task<bool> Authenticate(ContextPtr context);
  Task<bool> WaitForQuota(ContextPtr context);
  Task<bool> AdmitByQuota(ContextPtr context);
  Task<bool> AdmitByMemory(ContextPtr context);
  Task<bool> WriteEvents(ContextPtr context, std::string events);
  Task<void> DrainCaller(ContextPtr context);
  Task<bool> FindStreamVersion(ContextPtr context);
  void RecordStream(Context* context, const FleetEndpoint& endpoint);
  bool LacksVersion(Context* context, MonotonicTime now) const;
  std::set<std::string> ExcludedEndpoints(const Context& context, MonotonicTime now) const;
  Task<bool> AcquirePermit(ContextPtr context, FleetEndpoint endpoint);
  bool AreAllEndpointsLimited(const Context& context, MonotonicTime now) const;
  void RecordRateLimit(const Context& context, const FleetEndpoint& endpoint,
                       const HttpHeaders& headers);
  bool IsBrittle(const FleetEndpoint& endpoint, MonotonicTime now) const;
  std::uint32_t RoomAt(const FleetEndpoint& endpoint, MonotonicTime now) const;
  bool HasRoom(const FleetEndpoint& endpoint, MonotonicTime now) const;
  void AvoidFullEndpoints(const Context& context, MonotonicTime now,
                          std::set<std::string>* avoided) const;
  bool LacksRoom(const Context& context, MonotonicTime now);
  std::uint32_t UsableRoom(const Context& context, MonotonicTime now) const;
  Task<bool> WaitForRoom(ContextPtr context);
  Task<void> WaitForNotices(ContextPtr context);
  void RecordBrittleness(const Context& context, const FleetEndpoint& endpoint, ResponseKind kind,
                         const HttpHeaders& headers);
  void RecordStartAt(const FleetEndpoint& endpoint);
  void RecordEndAt(const FleetEndpoint& endpoint);
  Task<void> ServePlain(ContextPtr context);
  Task<NextStep> AttemptPlain(ContextPtr context, EndpointChoice choice);
  HttpCall BeginPlain(Context* context, const PlainAttemptPtr& attempt);
  Task<NextStep> FinishAttempt(ContextPtr context, PlainAttemptPtr attempt);
  static void SelectAttempt(Context* context, const PlainAttempt& attempt);
  ResponseKind ApplyReply(const Context& context, const PlainAttempt& attempt);
  static AttemptOutcome OutcomeOf(const Context& context, const PlainAttempt& attempt,
                                  ResponseKind kind);
  void SettleAttempt(Context* context, const PlainAttemptPtr& attempt, AttemptOutcome outcome);
  void AbandonAttempts(Context* context);
  bool IsHedgeable(const Context& context) const;
  double Utilization(const std::string& service, MonotonicTime now) const;
  HedgeCandidate CandidateOf(const EndpointChoice& choice, MonotonicTime now) const;
  HedgeQuestion MakeHedgeQuestion(const Context& context, const PlainAttempt& first,
                                  MonotonicTime now);
  std::optional<Hedge> MaybeHedge(Context* context, HedgeWatch* watch);
  bool ChargeHedge(Context* context);
  Hedge BeginHedge(Context* context, const PlainAttempt& first, EndpointChoice choice,
                   double mean_ms);
  Task<NextStep> AttemptHedged(ContextPtr context, PlainAttemptPtr first, HttpCall call);
  void RecordHedgeEnd(const Context& context, const HedgeWatch& watch);
  static PlainAttemptPtr EndedAttempt(const Context& context);
  Task<void> RunAttempt(PlainAttemptPtr attempt, HttpCall call, std::shared_ptr<Notifier> ended);
  void CancelOthers(Context* context);
  void CancelAttempt(Context* context, const PlainAttemptPtr& attempt);
  void RecordWork(const Context& context, const PlainAttempt& attempt, AttemptOutcome outcome,
                  MonotonicTime now);
  Task<void> ServeStream(ContextPtr context);
  Task<NextStep> AttemptStream(ContextPtr context, EndpointChoice choice);
  Task<NextStep> RelayEvents(ContextPtr context, const EndpointChoice& choice,
                             std::unique_ptr<HttpStream> stream);
  void WatchForStalls(const ContextPtr& context, const FleetEndpoint& endpoint,
                      boost::asio::any_io_executor executor);
  Task<void> CheckStalledRun(ContextPtr context, FleetEndpoint endpoint);
  Task<void> WaitForRunEnd(ContextPtr context, FleetEndpoint endpoint);
  Task<bool> WaitForModel(ContextPtr context);
  Task<bool> PlaceAdapter(ContextPtr context, EndpointChoice* choice);
  Task<void> RequestAdapter(std::shared_ptr<AdapterPlacement> placement, AdapterRequest request);
  Task<NextStep> RelayResponse(ContextPtr context, HttpReply reply);
  Task<void> FinishUnserved(ContextPtr context);
  Task<void> FailAfterRun(ContextPtr context, int status);
  Task<void> Refuse(ContextPtr context, std::string reason);
  Task<void> SendRefusal(ContextPtr context, int status, milliseconds retry_after,
                         std::string body);
  Task<void> SendResponse(ContextPtr context, int status, HttpHeaders headers, std::string body);

  MonotonicTime ExpectedConfigTime(MonotonicTime now) const;
  static bool RouteAllowsAttempt(const Context& context);
  bool ReserveAttempt(Context* context);
  bool HasTimeLeft(const Context& context, MonotonicTime now) const;
  MonotonicTime WaitDeadline(const Context& context) const;
  bool MayWait(const Context& context, MonotonicTime now) const;
  ModelOutlook OutlookOf(const Context& context, const WaitingRequest& request,
                         MonotonicTime now) const;
  WaitingRequest MakeWaitingRequest(const Context& context, MonotonicTime now) const;
  void RecordRefusal(Context* context, const WaitDecision& decision) const;
  WaitDecision DecideOnModelWait(Context* context, MonotonicTime now);
  WaitDecision DecideAlone(const Context& context, bool queue_counts, MonotonicTime now) const;
  void UpdateWaitRound(MonotonicTime now);
  bool HasLocalWeights(const Context& context, MonotonicTime now) const;
  static bool IsMostUrgent(const Context& context);
  bool RefuseByForecast(Context* context, const EndpointChoice& choice, MonotonicTime now) const;
  milliseconds RetryAfter(const Context& context);
  void ApplyEndpointHeaders(const EndpointChoice& choice, int status, const HttpHeaders& headers);
  Task<void> HandleFailedAttempt(ContextPtr context, FleetEndpoint endpoint, HttpError error);
  Task<void> HandleIncompleteResponse(ContextPtr context, FleetEndpoint endpoint, HttpError error);
  void RecordServed(Context* context);
  CrashVerdict Classify(const Context& context, MonotonicTime now) const;
  std::optional<MonotonicTime> ContainedUntil(const Context& context, MonotonicTime now) const;
  bool IsBusyWithTrials(const Context& context, MonotonicTime now) const;
  bool MustRunIsolated(const Context& context, MonotonicTime now) const;
  std::set<std::string> AvoidedWithTrials(const Context& context, MonotonicTime now) const;
  std::set<std::string> AvoidedEndpoints(const Context& context, MonotonicTime now) const;
  std::optional<EndpointChoice> ChoosePlain(const Context& context, MonotonicTime now);
  std::optional<EndpointChoice> ChooseEngine(const Context& context, MonotonicTime now);
  void BeginAttempt(Context* context, const EndpointChoice& choice);
  Task<void> WaitForTrials(ContextPtr context);
  std::optional<MonotonicTime> HeldUntil(const Context& context, MonotonicTime now) const;
  Task<bool> WaitForEvidence(ContextPtr context, MonotonicTime until);
  Task<void> RefuseContained(ContextPtr context, MonotonicTime until);
  HttpCall MakeCall(Context* context, const EndpointChoice& choice, MonotonicTime deadline) const;
  std::string PickService(const Route& route, const std::string& request_id) const;
  bool HasEngine(const Context& context, MonotonicTime now) const;
  bool IsShuttingDown() const { return stop_deadline_ != MonotonicTime::max(); }
  bool CanFailOver(const Context& context, const std::string& endpoint);
  RetryBudget& RetryBudgetFor(const std::string& service);
  void EndRequest(Context* context);
  void LogEnd(const Context& context) const;

  // Decisions on all requests that wait for a model, made when the first of them was resumed.
  struct WaitRound {
    std::map<const Context*, WaitDecision> decisions;
    MonotonicTime decided_at;
    // Value of Notifier::notifications of the endpoints when the decisions were made.
    std::uint64_t notifications = 0;
  };

  Dependencies deps_;
  std::mt19937_64 random_;
  HedgeBudget hedge_budget_;
  RunChecker run_checker_;
  SuspectTrials trials_;
  HedgingSettings hedging_;
  ResponseTimes response_times_;
  RetryLimits retry_limits_;
  WaitRules wait_rules_;
  WaitRound wait_round_;
  // The requests that wait for a model.
  std::set<Context*> model_waiters_;
  std::map<std::string, RetryBudget> budgets_;
  // The requests that wait for room at brittle endpoints, by service and model.
  std::map<std::pair<std::string, std::string>, ShareQueue> share_queues_;
  // Expires with this object, which coroutines of its requests may outlive.
  std::shared_ptr<const int> alive_ = std::make_shared<const int>(0);
  std::size_t in_flight_ = 0;
  std::set<Context*> active_;
  MonotonicTime started_ = MonotonicNow();
  MonotonicTime refuse_from_ = MonotonicTime::max();
  MonotonicTime stop_deadline_ = MonotonicTime::max();
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RELAY_HANDLER_H_
