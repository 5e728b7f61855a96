#ifndef MIMOSABEND_SERVICE_HANDLER_H_
#define MIMOSABEND_SERVICE_HANDLER_H_

#include <functional>
#include <string>
#include <vector>

#include "caller_api.h"
#include "digest.h"
#include "host_list.h"
#include "http_client.h"
#include "metrics.h"
#include "request_ledger.h"
#include "retry_budget.h"
#include "uuid7.h"

namespace mimosabend {

inline constexpr std::string_view kServicesPath = "/services/";

// Reverse proxy for HTTP services other than models. Idempotent requests are retried on other
// hosts. All others need an Idempotency-Key; they are reserved in the request ledger before they
// are sent and are executed at most once. Not thread-safe.
template <KvStore Kv>
class ServiceHandler {
 public:
  // `hosts` returns the hosts of a service that accept new requests, the preferred one first.
  // Precondition: all pointers outlive this object.
  ServiceHandler(HttpClient* client, RequestLedger<Kv>* ledger,
                 std::function<std::vector<Host>(const std::string&)> hosts, RetryBudget* retries,
                 Metrics* metrics)
      : client_(client),
        ledger_(ledger),
        hosts_(std::move(hosts)),
        retries_(retries),
        metrics_(metrics) {}

  // Handles one request for /services/NAME/PATH.
  Task<void> Handle(RequestContext context, HttpExchange* exchange) {
    const std::string rest = exchange->request().target.substr(kServicesPath.size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    const Service* service = context.environment->FindService(name);
    if (service == nullptr || !context.caller->services.contains(name)) {
      metrics_->http_rejected_total->Increment();
      co_await ReplyError(exchange, UnknownServiceError(name), context.request_id);
      co_return;
    }
    context.deadline = std::min(context.deadline, context.arrival + service->timeout);
    AcceptedRequest accepted(metrics_, context.rank);
    const bool is_safe = IsSafeMethod(exchange->request().method);
    RequestOutcome outcome = RequestOutcome::kFailed;
    if (service->repeatable || is_safe) {
      outcome = co_await ServeIdempotent(context, *service, path, exchange);
    } else {
      outcome = co_await ServeAtMostOnce(context, *service, path, exchange);
    }
    accepted.End(outcome);
  }

 private:
  // True for safe methods as defined by HTTP (RFC 9110), which are read-only.
  static bool IsSafeMethod(const std::string& method) {
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
  }

  static ApiError MakeError(int status, std::string code, std::string message,
                            Disposition disposition) {
    ApiError error;
    error.status = status;
    error.type = status < 500 ? "invalid_request_error" : "server_error";
    error.code = std::move(code);
    error.message = std::move(message);
    error.disposition = disposition;
    if (status == 503 || disposition == Disposition::kInProgress) {
      error.retry_after = RetryAfter(seconds(2));
    }
    return error;
  }

  static ApiError UnknownServiceError(const std::string& name) {
    return MakeError(404, "service_not_found", "no service '" + name + "' for this caller",
                     Disposition::kNotRun);
  }

  HttpCall MakeCall(const RequestContext& context, const Host& host, const std::string& path,
                    const HttpRequest& request) const {
    HttpCall call;
    call.address = host.address;
    call.method = request.method;
    call.target = path;
    call.body = request.body;
    call.deadline = context.deadline;
    call.headers.emplace_back("X-Request-Id", context.request_id);
    call.headers.emplace_back("X-Mimosabend-Caller", context.caller->name);
    for (const char* name : {"Content-Type", "Accept", "Idempotency-Key"}) {
      const std::string_view value = request.header(name);
      if (!value.empty()) call.headers.emplace_back(name, std::string(value));
    }
    return call;
  }

  Task<RequestOutcome> SendResponse(const RequestContext& context, HttpExchange* exchange,
                                    int status, std::string content_type, std::string body,
                                    bool replayed) {
    HttpHeaders headers;
    if (!content_type.empty()) headers.emplace_back("Content-Type", content_type);
    headers.emplace_back("X-Request-Id", context.request_id);
    if (replayed) headers.emplace_back("Idempotent-Replayed", "true");
    const bool sent = co_await exchange->Reply(status, std::move(headers), std::move(body));
    co_return sent ? RequestOutcome::kAnswered : RequestOutcome::kCancelled;
  }

  Task<RequestOutcome> RejectRequest(const RequestContext& context, HttpExchange* exchange,
                                     ApiError error) {
    const bool refused = error.disposition != Disposition::kFailed;
    co_await ReplyError(exchange, std::move(error), context.request_id);
    co_return refused ? RequestOutcome::kRefused : RequestOutcome::kFailed;
  }

  bool MayRetry(const RequestContext& context) {
    const bool allowed = retries_->TryRetry(MonotonicNow(), context.deadline, milliseconds(0));
    (allowed ? metrics_->retries_total : metrics_->retries_denied_total)->Increment();
    return allowed;
  }

  // Tries the hosts in order until one responds, within the retry budget.
  Task<RequestOutcome> ServeIdempotent(const RequestContext& context, const Service& service,
                                       const std::string& path, HttpExchange* exchange) {
    constexpr std::size_t kMaxAttempts = 3;
    const std::vector<Host> hosts = hosts_(service.name);
    retries_->RecordRequest(MonotonicNow());
    for (std::size_t i = 0; i < hosts.size() && i < kMaxAttempts; ++i) {
      if (i > 0 && !MayRetry(context)) break;
      auto reply = co_await client_->Call(MakeCall(context, hosts[i], path, exchange->request()));
      if (reply) {
        std::string content_type(FindHeader(reply.value().headers, "Content-Type"));
        co_return co_await SendResponse(context, exchange, reply.value().status,
                                        std::move(content_type), std::move(reply.value().body),
                                        false);
      }
    }
    ApiError error = MakeError(503, "service_unavailable", "no host of the service answered",
                               hosts.empty() ? Disposition::kNotRun : Disposition::kFailed);
    co_return co_await RejectRequest(context, exchange, std::move(error));
  }

  // Executes a request at most once across all daemons. A retry of a finished request gets the
  // stored response.
  Task<RequestOutcome> ServeAtMostOnce(const RequestContext& context, const Service& service,
                                       const std::string& path, HttpExchange* exchange) {
    const HttpRequest& request = exchange->request();
    const std::string key(request.header("Idempotency-Key"));
    if (key.empty()) co_return co_await RejectMissingKey(context, exchange);
    const std::uint64_t fingerprint =
        Hash64(request.body, Hash64(request.method + " " + path, Hash64(context.caller->name)));
    const Reservation reservation = co_await ledger_->Reserve(
        service, key, fingerprint, context.timeout() + kFinishAllowance, WallNow());
    if (reservation.status == ReserveStatus::kReplay) {
      metrics_->record_replays_total->Increment();
      const RequestRecord& record = reservation.record;
      co_return co_await SendResponse(context, exchange, record.status, record.content_type,
                                      record.body, true);
    }
    if (reservation.status != ReserveStatus::kReserved) {
      co_return co_await RejectRequest(context, exchange, ReservationError(reservation.status));
    }
    co_return co_await SendOnce(context, service, path, reservation, exchange);
  }

  // Sends a reserved request and stores its result. Only a failure that proves that the host did
  // not receive the request lets the next host be tried.
  // Precondition: the reservation is known to be stored.
  Task<RequestOutcome> SendOnce(const RequestContext& context, const Service& service,
                                const std::string& path, const Reservation& reservation,
                                HttpExchange* exchange) {
    for (const Host& host : hosts_(service.name)) {
      HttpCall call = MakeCall(context, host, path, exchange->request());
      call.reuse_connection = false;
      auto reply = co_await client_->Call(std::move(call));
      if (!reply && reply.error() == HttpError::kNotSent) continue;
      if (!reply) {
        co_await ledger_->Finish(reservation, RecordState::kUnknown, 0, "", "");
        ApiError error =
            MakeError(502, "outcome_unknown", "the service may or may not have run the request",
                      Disposition::kOutcomeUnknown);
        co_await ReplyError(exchange, std::move(error), context.request_id);
        co_return RequestOutcome::kFailed;
      }
      std::string content_type(FindHeader(reply.value().headers, "Content-Type"));
      co_await ledger_->Finish(reservation, RecordState::kDone, reply.value().status, content_type,
                               reply.value().body);
      co_return co_await SendResponse(context, exchange, reply.value().status,
                                      std::move(content_type), std::move(reply.value().body),
                                      false);
    }
    co_await ledger_->Finish(reservation, RecordState::kReleased, 0, "", "");
    ApiError error = MakeError(503, "service_unavailable", "no host of the service can be reached",
                               Disposition::kNotRun);
    co_return co_await RejectRequest(context, exchange, std::move(error));
  }

  // Rejects a request without a key, since a retry of it could not be recognized, and suggests a
  // new key.
  Task<RequestOutcome> RejectMissingKey(const RequestContext& context, HttpExchange* exchange) {
    const ApiError error = MakeError(
        428, "idempotency_key_required",
        "this service must not repeat requests; send the request again with the Idempotency-Key "
        "of this answer, and use the same key for every repeat",
        Disposition::kNotRun);
    HttpHeaders headers;
    headers.emplace_back("Content-Type", "application/json");
    headers.emplace_back("X-Request-Id", context.request_id);
    headers.emplace_back("Idempotency-Key", MakeUuid7(WallNow()));
    co_await exchange->Reply(error.status, std::move(headers), ErrorBody(error));
    co_return RequestOutcome::kRefused;
  }

  static ApiError ReservationError(ReserveStatus status) {
    const std::string code(kReserveStatusNames[status]);
    switch (status) {
      case ReserveStatus::kInProgress:
        return MakeError(409, code, "a request with this key is being run",
                         Disposition::kInProgress);
      case ReserveStatus::kOutcomeUnknown:
        return MakeError(409, code, "a request with this key may or may not have been run",
                         Disposition::kOutcomeUnknown);
      case ReserveStatus::kKeyReused:
        return MakeError(422, code, "the key was used for another request; this one was not run",
                         Disposition::kNotRun);
      case ReserveStatus::kKeyMalformed:
        return MakeError(400, code, "Idempotency-Key is not a UUID of version 7 in lower case",
                         Disposition::kNotRun);
      case ReserveStatus::kKeyExpired:
        return MakeError(410, code,
                         "the key's time lies outside the window in which repeats are "
                         "recognised; check whether the order exists before a new one",
                         Disposition::kNotRun);
      case ReserveStatus::kSlotFull:
        return MakeError(503, code,
                         "too many requests of the key's time are recorded; this one was not run",
                         Disposition::kNotRun);
      default:
        return MakeError(503, "records_unavailable",
                         "request records can't be written, so this request was not run; whether "
                         "an earlier one with the same key was run can't be told now",
                         Disposition::kNotRun);
    }
  }

  // A reservation counts as in progress for this long after the deadline of its request.
  static constexpr milliseconds kFinishAllowance{5000};

  HttpClient* client_;
  RequestLedger<Kv>* ledger_;
  std::function<std::vector<Host>(const std::string&)> hosts_;
  RetryBudget* retries_;
  Metrics* metrics_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_SERVICE_HANDLER_H_
