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
#include "digest.h"
#include "engine.h"
#include "metrics.h"
#include "openai.h"
#include "replica_directory.h"
#include "retry_budget.h"
#include "router.h"
#include "supervisor.h"

namespace mimosabend {

// Serves completions: finds a replica, generates, passes the tokens on, and resumes at the token
// reached if the stream breaks. Not thread-safe.
template <EngineGenerator Engine>
class CompletionHandler {
 public:
  // `may_serve` says whether the host list still allows new work at an endpoint; `slot_share` is
  // this daemon's share of a replica's slots.
  // Precondition: all pointers outlive this object.
  CompletionHandler(Engine* engine, ReplicaDirectory* directory, Router* router,
                    AdmissionGate* admission, RetryBudget* retries,
                    std::function<bool(const std::string&)> may_serve,
                    std::function<double(const ReplicaLocation&)> slot_share, Metrics* metrics)
      : engine_(engine),
        directory_(directory),
        router_(router),
        admission_(admission),
        retries_(retries),
        may_serve_(std::move(may_serve)),
        slot_share_(std::move(slot_share)),
        metrics_(metrics) {}

  // Answers one request.
  Task<void> Handle(CallContext context, HttpExchange* exchange) {
    auto parsed = ParseCompletionRequest(exchange->request().target, exchange->request().body);
    std::optional<ApiError> invalid;
    if (!parsed) {
      invalid = parsed.error();
    } else if (context.environment->FindModel(parsed.value().model) == nullptr ||
               !context.caller->MayUseModel(parsed.value().model)) {
      invalid = UnknownModel(parsed.value().model);
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
  // Pause while all known replicas are on leaving hosts, for their owner to decide another.
  static constexpr milliseconds kLeavingDelay{200};
  // An engine that sends no token for this long counts as broken.
  static constexpr milliseconds kTokenTimeout{10000};
  static constexpr seconds kMinRetryAfter{1};
  static constexpr seconds kMaxRetryAfter{30};

  // What the caller has of its answer.
  struct Progress {
    Progress(const CompletionRequest& request, const CallContext& context)
        : writer(request, context.request_id, WallNow()) {}

    CompletionWriter writer;
    std::uint32_t tokens = 0;
    std::string text;
    std::string finish_reason;
    bool stream_started = false;
    bool cold = false;
    MonotonicTime last_token;
    // Held from admission to the end of the request.
    std::optional<AdmissionPermit> permit;
  };

  // How one try at one endpoint ended.
  enum class TryResult : std::uint8_t { kComplete, kRetryElsewhere, kBroken, kCallerGone };

  static ApiError UnknownModel(const std::string& model) {
    ApiError error;
    error.status = 404;
    error.type = "invalid_request_error";
    error.code = "model_not_found";
    error.param = "model";
    error.message = "no model '" + model + "' for this caller";
    return error;
  }

  static ApiError Refusal(FindError reason) {
    ApiError error;
    error.status = 503;
    error.type = "server_error";
    error.code = std::string(kFindErrorNames[reason]);
    error.message = "no replica of the model can serve the request in time";
    error.retry_after = RetryAfter(seconds(2));
    return error;
  }

  static ApiError Overloaded(AdmissionRefusal reason, std::chrono::steady_clock::duration wait) {
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

  static ApiError GaveUp(const CallContext& context) {
    const bool late = MonotonicNow() >= context.deadline;
    ApiError error;
    error.status = late ? 504 : 502;
    error.type = "server_error";
    error.code = late ? "deadline_exceeded" : "engine_failed";
    error.message = late ? "the deadline has passed before the answer was complete"
                         : "the engines that were tried failed";
    error.disposition = Disposition::kFailed;
    error.retry_after = RetryAfter(seconds(1));
    return error;
  }

  // Requests for a model and its adapters compete for the same replicas.
  static std::string QueueOf(const CallContext& context, const CompletionRequest& request) {
    const Model* model = context.environment->FindModel(request.model);
    return model->is_adapter() ? model->base : model->name;
  }

  AdmissionRequest MakeAdmissionRequest(const CallContext& context,
                                        const CompletionRequest& request) const {
    AdmissionRequest admission;
    admission.queue = QueueOf(context, request);
    admission.rank = context.rank;
    admission.caller = context.caller->name;
    admission.weight = context.caller->weight;
    admission.bytes = request.body.size() + request.prompt.size();
    admission.deadline = context.deadline;
    admission.first_token = context.environment->ranks[Index(context.rank)].first_token;
    return admission;
  }

  // Waits for a ready replica, since its slots bound what may run, and then for admission.
  Task<RequestOutcome> Admit(const CallContext& context, const CompletionRequest& request,
                             Progress* progress, HttpExchange* exchange) {
    retries_->NoteRequest(MonotonicNow());
    auto found = co_await directory_->Find(request.model, context.rank, context.deadline);
    if (!found) co_return co_await GiveUp(context, Refusal(found.error()), progress, exchange);
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
    auto permit = co_await admission_->Enter(std::move(admission), std::move(shares), gone);
    if (!permit) {
      if (permit.error().end == AdmissionEnd::kCallerGone) co_return RequestOutcome::kCancelled;
      const auto wait = admission_->admission().EstimatedWait(queue, context.rank);
      co_return co_await GiveUp(context, Overloaded(permit.error().reason, wait), progress,
                                exchange);
    }
    progress->permit.emplace(std::move(permit).value());
    co_return co_await Serve(context, request, progress, exchange);
  }

  // True if the budget and the deadline allow another try.
  bool MayRetry(const CallContext& context, const CompletionRequest& request) {
    const auto expected =
        admission_->admission().FirstTokenTime(QueueOf(context, request), context.rank);
    const bool allowed = retries_->TryRetry(MonotonicNow(), context.deadline, expected);
    (allowed ? metrics_->retries_total : metrics_->retries_denied_total)->Increment();
    return allowed;
  }

  Task<RequestOutcome> Serve(const CallContext& context, const CompletionRequest& request,
                             Progress* progress, HttpExchange* exchange) {
    std::set<std::string> excluded;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      auto found = co_await directory_->Find(request.model, context.rank, context.deadline);
      if (!found) {
        const bool ran = progress->tokens > 0 || attempt > 0;
        ApiError error = ran ? GaveUp(context) : Refusal(found.error());
        co_return co_await GiveUp(context, std::move(error), progress, exchange);
      }
      progress->cold |= found.value().cold;
      if (exchange->IsCallerGone()) co_return RequestOutcome::kCancelled;
      const ReplicaLocation* replica = Choose(request, found.value().replicas, excluded);
      if (replica == nullptr) {
        // All have failed once; the best of them is tried again.
        excluded.clear();
        replica = Choose(request, found.value().replicas, excluded);
      }
      if (replica == nullptr) {
        co_await Sleep(kLeavingDelay);
        continue;
      }
      const std::uint32_t tokens_before = progress->tokens;
      const ReplicaLocation chosen = *replica;
      const std::uint64_t prefix = PrefixHash(request);
      router_->Start(chosen.endpoint, prefix);
      const TryResult result = co_await Generate(context, request, chosen, progress, exchange);
      const bool failed = result == TryResult::kBroken;
      router_->End(chosen.endpoint, failed, MonotonicNow());
      if (result == TryResult::kComplete) co_return co_await Finish(context, progress, exchange);
      if (result == TryResult::kCallerGone) {
        auto ignored = co_await engine_->Cancel(chosen.address, context.request_id);
        static_cast<void>(ignored);
        co_return RequestOutcome::kCancelled;
      }
      if (failed && !MayRetry(context, request)) break;
      if (MonotonicNow() >= context.deadline) break;
      excluded.insert(chosen.endpoint);
      if (failed) metrics_->stream_resumes_total->Increment();
      // A try that moved the answer on does not count.
      if (progress->tokens > tokens_before) attempt = -1;
    }
    co_return co_await GiveUp(context, GaveUp(context), progress, exchange);
  }

  const ReplicaLocation* Choose(const CompletionRequest& request,
                                const std::vector<ReplicaLocation>& replicas,
                                std::set<std::string> excluded) {
    for (const ReplicaLocation& replica : replicas) {
      if (!may_serve_(replica.endpoint)) excluded.insert(replica.endpoint);
    }
    return router_->Choose(replicas, PrefixHash(request), excluded, MonotonicNow());
  }

  // The engine caches prompts by their beginning.
  static std::uint64_t PrefixHash(const CompletionRequest& request) {
    constexpr std::size_t kPrefixBytes = 256;
    return Hash64(request.prompt.substr(0, kPrefixBytes), Hash64(request.model));
  }

  // Generates at one endpoint from the token reached, and passes each token on.
  Task<TryResult> Generate(const CallContext& context, const CompletionRequest& request,
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
    if (!opened) co_return NoteFailure(request, replica, opened.error());
    const std::unique_ptr<TokenStream> stream = std::move(opened).value();
    for (;;) {
      const MonotonicTime limit = std::min(context.deadline, MonotonicNow() + kTokenTimeout);
      auto next = co_await stream->Next(limit);
      if (!next) co_return NoteFailure(request, replica, next.error());
      if (!next.value()) break;
      const TokenChunk token = std::move(*next.value());
      // A token out of order would corrupt the answer; the next try starts where this one stood.
      if (token.index != progress->tokens) {
        co_return NoteFailure(request, replica, EngineError::kBadAnswer);
      }
      const bool passed = co_await Pass(context, request, token, progress, exchange);
      if (!passed) co_return TryResult::kCallerGone;
    }
    co_return progress->finish_reason.empty() ? TryResult::kBroken : TryResult::kComplete;
  }

  TryResult NoteFailure(const CompletionRequest& request, const ReplicaLocation& replica,
                        EngineError error) {
    metrics_->engine_errors_total->Increment();
    if (error == EngineError::kNotLoaded) {
      directory_->Remove(request.model, replica.endpoint);
      return TryResult::kRetryElsewhere;
    }
    if (error == EngineError::kNotSent) directory_->RemoveEndpoint(replica.endpoint);
    return TryResult::kBroken;
  }

  // Passes a token on to a streaming caller, or keeps it for a whole answer.
  Task<bool> Pass(const CallContext& context, const CompletionRequest& request,
                  const TokenChunk& token, Progress* progress, HttpExchange* exchange) {
    const MonotonicTime now = MonotonicNow();
    if (progress->tokens == 0) {
      progress->permit->NoteFirstToken(now);
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
      headers.emplace_back("X-Request-Id", context.request_id);
      const bool started = co_await exchange->StartStream(200, std::move(headers));
      if (!started) co_return false;
    }
    co_return co_await exchange->Write(progress->writer.Chunk(token));
  }

  Task<RequestOutcome> Finish(const CallContext& context, Progress* progress,
                              HttpExchange* exchange) {
    bool delivered = false;
    if (progress->stream_started) {
      std::string done = CompletionWriter::Done();
      const bool written = co_await exchange->Write(std::move(done));
      const bool finished = co_await exchange->FinishStream();
      delivered = written && finished;
    } else {
      HttpHeaders headers;
      headers.emplace_back("Content-Type", "application/json");
      headers.emplace_back("X-Request-Id", context.request_id);
      std::string body =
          progress->writer.Whole(progress->text, progress->finish_reason, progress->tokens);
      delivered = co_await exchange->Reply(200, std::move(headers), std::move(body));
    }
    co_return delivered ? RequestOutcome::kAnswered : RequestOutcome::kCancelled;
  }

  // Ends a request without its whole answer.
  Task<RequestOutcome> GiveUp(const CallContext& context, ApiError error, Progress* progress,
                              HttpExchange* exchange) {
    const bool refused = error.disposition == Disposition::kNotRun;
    if (progress->stream_started) {
      co_await exchange->Write(CompletionWriter::Failure(error));
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
  std::function<bool(const std::string&)> may_serve_;
  std::function<double(const ReplicaLocation&)> slot_share_;
  Metrics* metrics_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_COMPLETION_HANDLER_H_
