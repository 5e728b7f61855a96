#ifndef MIMOSABEND_COMPLETION_HANDLER_H_
#define MIMOSABEND_COMPLETION_HANDLER_H_

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "admission_gate.h"
#include "caller_api.h"
#include "crash_detector.h"
#include "digest.h"
#include "endpoint_occupancy.h"
#include "engine.h"
#include "metrics.h"
#include "openai.h"
#include "poison_guard.h"
#include "replica_directory.h"
#include "retry_budget.h"
#include "router.h"
#include "supervisor.h"

namespace mimosabend {

// Handles completion requests: waits for a replica and for admission, forwards the tokens of the
// engine to the caller, and, if an attempt fails, retries at another endpoint from the next token.
// A request that was in flight when an endpoint crashed is a suspect, see PoisonGuard: it is
// retried without other requests at the endpoint, or refused. Not thread-safe.
template <class Engine, KvStore Kv>
requires EngineGenerator<Engine> && EngineControl<Engine>
class CompletionHandler {
 public:
  // `may_serve` tells whether the host list permits new requests at an endpoint; `slot_share`
  // returns how many slots of a replica this daemon may use.
  // Precondition: all pointers outlive this object.
  CompletionHandler(Engine* engine, ReplicaDirectory* directory, Router* router,
                    AdmissionGate* admission, RetryBudget* retries, PoisonGuard<Kv>* poison,
                    EndpointOccupancy* occupancy, std::function<bool(const std::string&)> may_serve,
                    std::function<double(const ReplicaLocation&)> slot_share, Metrics* metrics)
      : engine_(engine),
        directory_(directory),
        router_(router),
        admission_(admission),
        retries_(retries),
        poison_(poison),
        occupancy_(occupancy),
        crashes_(engine),
        may_serve_(std::move(may_serve)),
        slot_share_(std::move(slot_share)),
        metrics_(metrics) {}

  // Handles one request.
  Task<void> Handle(RequestContext context, HttpExchange* exchange) {
    auto parsed = ParseCompletionRequest(exchange->request().target, exchange->request().body,
                                         exchange->memory());
    std::optional<ApiError> invalid;
    if (!parsed) {
      invalid = parsed.error();
    } else if (context.environment->FindModel(parsed.value().model) == nullptr ||
               !context.caller->MayUseModel(parsed.value().model)) {
      invalid = UnknownModelError(parsed.value().model);
    }
    if (invalid) {
      metrics_->http_rejected_total->Increment();
      co_await ReplyError(exchange, *invalid, context.request_id);
      co_return;
    }
    AcceptedRequest accepted(metrics_, context.rank);
    Progress progress(parsed.value(), context);
    const RequestOutcome outcome = co_await Admit(context, parsed.value(), &progress, exchange);
    accepted.End(outcome);
  }

 private:
  static constexpr int kMaxAttempts = 4;
  // Pause while no known replica is usable, for example while all are on draining hosts and the
  // group's owner has not placed another yet.
  static constexpr milliseconds kReplicaPollDelay{200};
  // An attempt fails if the engine sends no token for this long.
  static constexpr milliseconds kTokenTimeout{10000};
  // Pause before a suspect retries to claim an endpoint or a trial.
  static constexpr milliseconds kClaimDelay{100};
  // A trial expires this long after the request's deadline, which leaves time to record its end and
  // covers clock skew.
  static constexpr seconds kTrialAllowance{5};
  static constexpr seconds kUnverifiedRetryAfter{5};
  static constexpr seconds kMinRetryAfter{1};
  static constexpr seconds kMaxRetryAfter{30};

  // State of a request across its attempts.
  struct Progress {
    Progress(const CompletionRequest& request, const RequestContext& context)
        : writer(request, context.request_id, WallNow()) {}

    CompletionWriter writer;
    // Number of tokens received so far; the next attempt resumes there.
    std::uint32_t tokens = 0;
    // Text received so far, unless the response is streamed.
    std::string text;
    std::string finish_reason;
    bool stream_started = false;
    bool cold = false;
    MonotonicTime last_token;
    // Set from admission to the end of the request.
    std::optional<AdmissionPermit> permit;
    // Computed on first use.
    std::string fingerprint;
    // True once an engine may have run the request.
    bool may_have_run = false;
    // True if the last attempt failed before the engine received the request.
    bool last_not_sent = false;
  };

  // Result of one attempt. kNotStarted: the request was not sent, and the attempt does not count.
  enum class AttemptResult : std::uint8_t {
    kComplete,
    kRetryElsewhere,
    kBroken,
    kCallerGone,
    kNoReplica,
    kNotStarted,
    kPoisoned,
    kUnverified
  };

  static ApiError UnknownModelError(const std::string& model) {
    ApiError error;
    error.status = 404;
    error.type = "invalid_request_error";
    error.code = "model_not_found";
    error.param = "model";
    error.message = "no model '" + model + "' for this caller";
    return error;
  }

  static ApiError NoReplicaError(FindError reason) {
    ApiError error;
    error.status = 503;
    error.type = "server_error";
    error.code = std::string(kFindErrorNames[reason]);
    error.message = "no replica of the model can serve the request in time";
    error.retry_after = RetryAfter(seconds(2));
    return error;
  }

  static ApiError OverloadedError(AdmissionRefusal reason,
                                  std::chrono::steady_clock::duration wait) {
    ApiError error;
    error.status = 503;
    error.type = "server_error";
    error.code = "overloaded";
    error.message =
        "the request can't be served in time: " + std::string(kAdmissionRefusalNames[reason]);
    const seconds expected = std::chrono::ceil<seconds>(wait);
    error.retry_after = RetryAfter(std::clamp(expected, kMinRetryAfter, kMaxRetryAfter));
    return error;
  }

  static ApiError PoisonedError(const Progress& progress) {
    ApiError error;
    error.status = 422;
    error.type = "invalid_request_error";
    error.code = "poisoned_request";
    error.message = "endpoints that ran this request crashed; it is not run again";
    error.disposition = progress.may_have_run ? Disposition::kFailed : Disposition::kNotRun;
    return error;
  }

  static ApiError UnverifiedError(const Progress& progress) {
    ApiError error;
    error.status = 503;
    error.type = "server_error";
    error.code = "suspect_unverified";
    error.message =
        "an endpoint that ran this request crashed, and whether it may run again can't be checked";
    error.disposition = progress.may_have_run ? Disposition::kFailed : Disposition::kNotRun;
    error.retry_after = RetryAfter(kUnverifiedRetryAfter);
    return error;
  }

  static ApiError FailureError(const RequestContext& context) {
    const bool deadline_passed = MonotonicNow() >= context.deadline;
    ApiError error;
    error.status = deadline_passed ? 504 : 502;
    error.type = "server_error";
    error.code = deadline_passed ? "deadline_exceeded" : "engine_failed";
    error.message = deadline_passed ? "the deadline has passed before the answer was complete"
                                    : "the engines that were tried failed";
    error.disposition = Disposition::kFailed;
    error.retry_after = RetryAfter(seconds(1));
    return error;
  }

  // Requests for a model and its adapters compete for the same replicas.
  static std::string QueueName(const RequestContext& context, const CompletionRequest& request) {
    const Model* model = context.environment->FindModel(request.model);
    return model->is_adapter() ? model->base : model->name;
  }

  AdmissionRequest MakeAdmissionRequest(const RequestContext& context,
                                        const CompletionRequest& request) const {
    AdmissionRequest admission;
    admission.queue = QueueName(context, request);
    admission.rank = context.rank;
    admission.caller = context.caller->name;
    admission.weight = context.caller->weight;
    admission.bytes = request.body.size() + request.prompt.size();
    admission.deadline = context.deadline;
    admission.first_token = context.environment->ranks[Index(context.rank)].first_token;
    return admission;
  }

  // Waits for a ready replica and then for admission, which limits the requests in flight to the
  // slots of the ready replicas.
  Task<RequestOutcome> Admit(const RequestContext& context, const CompletionRequest& request,
                             Progress* progress, HttpExchange* exchange) {
    retries_->RecordRequest(MonotonicNow());
    if (IsSuspect(request, progress)) {
      const PoisonVerdict verdict = co_await poison_->Check(progress->fingerprint);
      if (verdict == PoisonVerdict::kPoisoned || verdict == PoisonVerdict::kUnverified) {
        co_return co_await RefuseSuspect(context, verdict, progress, exchange);
      }
    }
    auto found = co_await directory_->Find(request.model, context.rank, context.deadline);
    if (!found) co_return co_await Fail(context, NoReplicaError(found.error()), progress, exchange);
    progress->cold = found.value().cold;
    std::vector<EndpointShare> shares;
    for (const ReplicaLocation& replica : found.value().replicas) {
      shares.push_back({replica.endpoint, slot_share_(replica)});
    }
    std::array<double, kRankCount> floors{};
    for (Rank rank : kAllRanks) {
      floors[Index(rank)] = context.environment->ranks[Index(rank)].floor;
    }
    admission_->SetFloors(floors);
    AdmissionRequest admission = MakeAdmissionRequest(context, request);
    const std::string queue = admission.queue;
    std::function<bool()> gone = [exchange] { return exchange->IsCallerGone(); };
    auto permit =
        co_await admission_->Enter(std::move(admission), std::move(shares), std::move(gone));
    if (!permit) {
      if (permit.error().kind == AdmissionFailureKind::kCallerGone)
        co_return RequestOutcome::kCancelled;
      const auto wait = admission_->admission().EstimatedWait(queue, context.rank);
      co_return co_await Fail(context, OverloadedError(permit.error().reason, wait), progress,
                              exchange);
    }
    progress->permit.emplace(std::move(permit).value());
    co_return co_await Serve(context, request, progress, exchange);
  }

  // True if the retry budget and the deadline permit another attempt.
  bool MayRetry(const RequestContext& context, const CompletionRequest& request) {
    const auto expected =
        admission_->admission().FirstTokenTime(QueueName(context, request), context.rank);
    const bool allowed = retries_->TryRetry(MonotonicNow(), context.deadline, expected);
    (allowed ? metrics_->retries_total : metrics_->retries_denied_total)->Increment();
    return allowed;
  }

  Task<RequestOutcome> Serve(const RequestContext& context, const CompletionRequest& request,
                             Progress* progress, HttpExchange* exchange) {
    std::set<std::string> excluded;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      auto found = co_await directory_->Find(request.model, context.rank, context.deadline);
      if (!found) {
        ApiError error =
            progress->may_have_run ? FailureError(context) : NoReplicaError(found.error());
        co_return co_await Fail(context, std::move(error), progress, exchange);
      }
      progress->cold |= found.value().cold;
      if (exchange->IsCallerGone()) co_return RequestOutcome::kCancelled;
      const std::uint32_t tokens_before = progress->tokens;
      const bool suspect = IsSuspect(request, progress);
      AttemptResult result = AttemptResult::kNotStarted;
      if (suspect) {
        result = co_await AttemptIsolated(context, request, found.value().replicas, &excluded,
                                          progress, exchange);
      } else {
        result = co_await AttemptShared(context, request, found.value().replicas, &excluded,
                                        progress, exchange);
      }
      switch (result) {
        case AttemptResult::kComplete:
          co_return co_await Finish(context, progress, exchange);
        case AttemptResult::kCallerGone:
          co_return RequestOutcome::kCancelled;
        case AttemptResult::kPoisoned:
          co_return co_await RefuseSuspect(context, PoisonVerdict::kPoisoned, progress, exchange);
        case AttemptResult::kUnverified:
          co_return co_await RefuseSuspect(context, PoisonVerdict::kUnverified, progress, exchange);
        default:
          break;
      }
      const bool failed = result == AttemptResult::kBroken;
      if (failed) metrics_->stream_resumes_total->Increment();
      if (failed && !MayRetry(context, request)) break;
      if (MonotonicNow() >= context.deadline) break;
      // The limit applies to consecutive attempts without a new token; waits don't count.
      if (result == AttemptResult::kNotStarted) --attempt;
      if (progress->tokens > tokens_before) attempt = -1;
    }
    co_return co_await Fail(context, FailureError(context), progress, exchange);
  }

  // Precondition: the verdict is kPoisoned or kUnverified.
  Task<RequestOutcome> RefuseSuspect(const RequestContext& context, PoisonVerdict verdict,
                                     Progress* progress, HttpExchange* exchange) {
    const bool poisoned = verdict == PoisonVerdict::kPoisoned;
    (poisoned ? metrics_->poison_refusals_total : metrics_->poison_unverified_total)->Increment();
    ApiError error = poisoned ? PoisonedError(*progress) : UnverifiedError(*progress);
    co_return co_await Fail(context, std::move(error), progress, exchange);
  }

  bool IsSuspect(const CompletionRequest& request, Progress* progress) {
    if (!poison_->HasHints()) return false;
    return poison_->HasHint(Fingerprint(request, progress));
  }

  static const std::string& Fingerprint(const CompletionRequest& request, Progress* progress) {
    if (progress->fingerprint.empty()) {
      progress->fingerprint = PoisonFingerprint(request.model, request.prompt);
    }
    return progress->fingerprint;
  }

  // Returns the replica for the next attempt, or nullptr if there is none. If all were tried
  // already, `excluded` is cleared and they are tried again.
  const ReplicaLocation* ChooseWithFallback(const CompletionRequest& request,
                                            const std::vector<ReplicaLocation>& replicas,
                                            std::set<std::string>* excluded) {
    const ReplicaLocation* replica = Choose(request, replicas, *excluded);
    if (replica != nullptr) return replica;
    excluded->clear();
    return Choose(request, replicas, *excluded);
  }

  // Makes one attempt at an endpoint that may run other requests at the same time.
  Task<AttemptResult> AttemptShared(const RequestContext& context, const CompletionRequest& request,
                                    const std::vector<ReplicaLocation>& replicas,
                                    std::set<std::string>* excluded, Progress* progress,
                                    HttpExchange* exchange) {
    const ReplicaLocation* replica = ChooseWithFallback(request, replicas, excluded);
    if (replica == nullptr) {
      if (!occupancy_->isolated().empty()) co_return co_await WaitForChange(context);
      co_await Sleep(kReplicaPollDelay);
      co_return AttemptResult::kNoReplica;
    }
    const ReplicaLocation chosen = *replica;
    const AttemptResult result =
        co_await RunAttempt(context, request, chosen, 0, progress, exchange);
    if (result != AttemptResult::kComplete) excluded->insert(chosen.endpoint);
    co_return result;
  }

  // Makes one attempt of a suspect at an endpoint where this daemon has no other request in flight
  // and no daemon runs another suspect. At most one suspect of this daemon is in flight.
  Task<AttemptResult> AttemptIsolated(const RequestContext& context,
                                      const CompletionRequest& request,
                                      const std::vector<ReplicaLocation>& replicas,
                                      std::set<std::string>* excluded, Progress* progress,
                                      HttpExchange* exchange) {
    if (!SuspectSlot::IsFree(*occupancy_)) co_return co_await WaitForChange(context);
    SuspectSlot suspect_slot(occupancy_);
    const ReplicaLocation* replica = ChooseWithFallback(request, replicas, excluded);
    if (replica == nullptr) {
      co_await Sleep(kReplicaPollDelay);
      co_return AttemptResult::kNoReplica;
    }
    const ReplicaLocation chosen = *replica;
    suspect_slot.Isolate(chosen.endpoint);
    while (!occupancy_->IsIdle(chosen.endpoint)) {
      if (MonotonicNow() >= context.deadline) co_return AttemptResult::kNotStarted;
      if (exchange->IsCallerGone()) co_return AttemptResult::kCallerGone;
      const AttemptResult ignored = co_await WaitForChange(context);
      static_cast<void>(ignored);
    }
    const WallTime until =
        WallNow() + ToMillis(context.deadline - MonotonicNow()) + kTrialAllowance;
    const std::uint64_t claim = co_await poison_->ClaimEndpoint(chosen.endpoint, until);
    if (claim == 0) {
      // Another daemon runs a suspect there, or the key-value service failed; Check tells them
      // apart.
      excluded->insert(chosen.endpoint);
      const PoisonVerdict verdict = co_await poison_->Check(Fingerprint(request, progress));
      if (verdict == PoisonVerdict::kPoisoned) co_return AttemptResult::kPoisoned;
      if (verdict == PoisonVerdict::kUnverified) co_return AttemptResult::kUnverified;
      co_await Sleep(kClaimDelay);
      co_return AttemptResult::kNotStarted;
    }
    const AttemptResult result =
        co_await RunTrial(context, request, chosen, until, progress, exchange);
    co_await poison_->ReleaseEndpoint(chosen.endpoint, claim);
    if (result != AttemptResult::kComplete) excluded->insert(chosen.endpoint);
    co_return result;
  }

  // Runs a suspect as a trial unless one is in progress in another daemon.
  // Precondition: this request holds the claim on the endpoint.
  Task<AttemptResult> RunTrial(const RequestContext& context, const CompletionRequest& request,
                               const ReplicaLocation& chosen, WallTime until, Progress* progress,
                               HttpExchange* exchange) {
    const std::string fingerprint = Fingerprint(request, progress);
    const PoisonTrial trial = co_await poison_->BeginTrial(fingerprint, until);
    if (trial.verdict == PoisonVerdict::kPoisoned) co_return AttemptResult::kPoisoned;
    if (trial.verdict == PoisonVerdict::kUnverified) co_return AttemptResult::kUnverified;
    if (trial.verdict == PoisonVerdict::kOnTrial) {
      co_await Sleep(kClaimDelay);
      co_return AttemptResult::kNotStarted;
    }
    const AttemptResult result =
        co_await RunAttempt(context, request, chosen, trial.nonce, progress, exchange);
    // No effect after a crash, since RecordCrash has ended the trial.
    if (trial.nonce != 0) {
      co_await poison_->EndTrial(fingerprint, trial.nonce, result == AttemptResult::kComplete);
    }
    co_return result;
  }

  // Waits until a request of this daemon ends, but at most for kReplicaPollDelay or until the
  // deadline.
  Task<AttemptResult> WaitForChange(const RequestContext& context) {
    const MonotonicTime until = std::min(context.deadline, MonotonicNow() + kReplicaPollDelay);
    co_await occupancy_->changed().WaitUntil(until);
    co_return AttemptResult::kNotStarted;
  }

  // Sends a request to an endpoint. If the endpoint crashes, the crash is recorded before this
  // returns. `trial_nonce` is zero unless the attempt is a trial.
  Task<AttemptResult> RunAttempt(const RequestContext& context, const CompletionRequest& request,
                                 const ReplicaLocation& chosen, std::uint64_t trial_nonce,
                                 Progress* progress, HttpExchange* exchange) {
    router_->Start(chosen.endpoint, PrefixHash(request));
    occupancy_->Start(chosen.endpoint);
    const std::string incarnation = co_await crashes_.Incarnation(chosen.endpoint, chosen.address);
    progress->last_not_sent = false;
    if (trial_nonce == 0 && IsSuspect(request, progress)) {
      // A request with the same content crashed an endpoint in the meantime.
      occupancy_->End(chosen.endpoint);
      router_->End(chosen.endpoint, false, MonotonicNow());
      co_return AttemptResult::kNotStarted;
    }
    AttemptResult result = co_await Generate(context, request, chosen, progress, exchange);
    bool broken = result == AttemptResult::kBroken && !progress->last_not_sent;
    progress->may_have_run |= broken || progress->tokens > 0;
    if (result == AttemptResult::kCallerGone) {
      // A failed cancellation may mean that the engine crashed.
      auto cancelled = co_await engine_->Cancel(chosen.address, context.request_id);
      broken = !cancelled && cancelled.error() != EngineError::kRejected;
    }
    occupancy_->End(chosen.endpoint);
    router_->End(chosen.endpoint, result == AttemptResult::kBroken, MonotonicNow());
    if (!broken) co_return result;
    const bool crashed = co_await crashes_.HasCrashed(chosen.endpoint, chosen.address, incarnation);
    if (!crashed) co_return result;
    const PoisonVerdict verdict = co_await poison_->RecordCrash(
        Fingerprint(request, progress), CrashId(chosen.endpoint, incarnation), trial_nonce);
    if (result == AttemptResult::kCallerGone) co_return result;
    if (verdict == PoisonVerdict::kPoisoned) co_return AttemptResult::kPoisoned;
    if (verdict == PoisonVerdict::kUnverified) co_return AttemptResult::kUnverified;
    co_return result;
  }

  // Chooses among the replicas that accept new requests and are not reserved for a suspect.
  const ReplicaLocation* Choose(const CompletionRequest& request,
                                const std::vector<ReplicaLocation>& replicas,
                                std::set<std::string> excluded) {
    for (const ReplicaLocation& replica : replicas) {
      const bool isolated = replica.endpoint == occupancy_->isolated();
      if (isolated || !may_serve_(replica.endpoint)) excluded.insert(replica.endpoint);
    }
    return router_->Choose(replicas, PrefixHash(request), excluded, MonotonicNow());
  }

  // Requests with the same prefix hash can share a prefix cache entry of the engine.
  static std::uint64_t PrefixHash(const CompletionRequest& request) {
    constexpr std::size_t kPrefixBytes = 256;
    return Hash64(request.prompt.substr(0, kPrefixBytes), Hash64(request.model));
  }

  // Opens a stream at an endpoint, resuming at the next token, and forwards its tokens.
  Task<AttemptResult> Generate(const RequestContext& context, const CompletionRequest& request,
                               const ReplicaLocation& replica, Progress* progress,
                               HttpExchange* exchange) {
    GenerateCall call;
    call.request_id = context.request_id;
    call.path = request.path;
    call.body = request.body;
    call.rank = context.rank;
    call.resume_from = progress->tokens;
    call.deadline = context.deadline;
    auto opened = co_await engine_->Open(replica.address, std::move(call));
    if (!opened) {
      progress->last_not_sent = opened.error() == EngineError::kNotSent;
      co_return HandleEngineError(request, replica, opened.error());
    }
    const std::unique_ptr<TokenStream> stream = std::move(opened).value();
    for (;;) {
      const MonotonicTime limit = std::min(context.deadline, MonotonicNow() + kTokenTimeout);
      auto next = co_await stream->Next(limit);
      if (!next) co_return HandleEngineError(request, replica, next.error());
      if (!next.value()) break;
      const TokenChunk token = std::move(*next.value());
      // Forwarding a token out of order would corrupt the response. The next attempt resumes here.
      if (token.index != progress->tokens) {
        co_return HandleEngineError(request, replica, EngineError::kBadAnswer);
      }
      const bool forwarded = co_await ForwardToken(context, request, token, progress, exchange);
      if (!forwarded) co_return AttemptResult::kCallerGone;
    }
    co_return progress->finish_reason.empty() ? AttemptResult::kBroken : AttemptResult::kComplete;
  }

  // Updates the replica directory after a failed attempt.
  AttemptResult HandleEngineError(const CompletionRequest& request, const ReplicaLocation& replica,
                                  EngineError error) {
    metrics_->engine_errors_total->Increment();
    if (error == EngineError::kNotLoaded) {
      directory_->Remove(request.model, replica.endpoint);
      return AttemptResult::kRetryElsewhere;
    }
    if (error == EngineError::kNotSent) directory_->RemoveEndpoint(replica.endpoint);
    return AttemptResult::kBroken;
  }

  // Writes a token to the stream, or appends it to the buffered response. Returns false if the
  // caller has disconnected.
  Task<bool> ForwardToken(const RequestContext& context, const CompletionRequest& request,
                          const TokenChunk& token, Progress* progress, HttpExchange* exchange) {
    const MonotonicTime now = MonotonicNow();
    if (progress->tokens == 0) {
      progress->permit->RecordFirstToken(now);
      metrics_->ObserveFirstToken(context.rank, progress->cold, now - context.arrival);
    } else {
      metrics_->ObserveTokenGap(context.rank, now - progress->last_token);
    }
    progress->last_token = now;
    ++progress->tokens;
    progress->finish_reason = token.finish_reason;
    metrics_->tokens_total->Increment();
    if (!request.stream) {
      progress->text += token.text;
      co_return !exchange->IsCallerGone();
    }
    if (!progress->stream_started) {
      progress->stream_started = true;
      HttpHeaders headers;
      headers.emplace_back("Content-Type", "text/event-stream");
      headers.emplace_back("Cache-Control", "no-cache");
      headers.emplace_back("X-Mimosabend-Start", progress->cold ? "cold" : "warm");
      headers.emplace_back("X-Request-Id", context.request_id);
      const bool started = co_await exchange->StartStream(200, std::move(headers));
      if (!started) co_return false;
    }
    co_return co_await exchange->Write(progress->writer.TokenEvent(token));
  }

  // Completes a stream, or sends the buffered response.
  Task<RequestOutcome> Finish(const RequestContext& context, Progress* progress,
                              HttpExchange* exchange) {
    bool delivered = false;
    if (progress->stream_started) {
      std::string done = CompletionWriter::DoneEvent();
      const bool written = co_await exchange->Write(std::move(done));
      const bool finished = co_await exchange->FinishStream();
      delivered = written && finished;
    } else {
      HttpHeaders headers;
      headers.emplace_back("Content-Type", "application/json");
      headers.emplace_back("X-Request-Id", context.request_id);
      std::string body =
          progress->writer.ResponseBody(progress->text, progress->finish_reason, progress->tokens);
      delivered = co_await exchange->Reply(200, std::move(headers), std::move(body));
    }
    co_return delivered ? RequestOutcome::kAnswered : RequestOutcome::kCancelled;
  }

  // Ends a request with an error, as an event if the stream has started.
  Task<RequestOutcome> Fail(const RequestContext& context, ApiError error, Progress* progress,
                            HttpExchange* exchange) {
    const bool refused = error.disposition == Disposition::kNotRun;
    if (progress->stream_started) {
      co_await exchange->Write(CompletionWriter::ErrorEvent(error));
      co_await exchange->FinishStream();
    } else {
      co_await ReplyError(exchange, std::move(error), context.request_id);
    }
    co_return refused ? RequestOutcome::kRefused : RequestOutcome::kFailed;
  }

  Engine* engine_;
  ReplicaDirectory* directory_;
  Router* router_;
  AdmissionGate* admission_;
  RetryBudget* retries_;
  PoisonGuard<Kv>* poison_;
  EndpointOccupancy* occupancy_;
  CrashDetector<Engine> crashes_;
  std::function<bool(const std::string&)> may_serve_;
  std::function<double(const ReplicaLocation&)> slot_share_;
  Metrics* metrics_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_COMPLETION_HANDLER_H_
