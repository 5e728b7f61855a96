#include <algorithm>
#include <utility>

#include "event_loop.h"
#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"

namespace mimosabend {

namespace {

// Time to open a connection to another gateway.
constexpr milliseconds kConnectTimeout{300};
// Idle connections to other gateways are reused within this time, which is shorter than after which
// these close them.
constexpr milliseconds kMaxIdle{5000};
constexpr milliseconds kNoRetryMaxIdle{2000};
// A helper's own response at the deadline still arrives.
constexpr milliseconds kResponseMargin{100};

}  // namespace

Task<void> RelayHandler::HandleForwarded(HttpExchange& exchange) {
  const auto sender = deps_.forwarder->Verify(exchange.request(), WallNow());
  if (!sender || sender->empty()) {
    HttpHeaders headers{{"Content-Type", "application/json"}};
    co_await exchange.Reply(403, std::move(headers), R"({"error":"not from a gateway"})");
    co_return;
  }
  deps_.metrics->helped_requests_total->Increment();
  co_await HandleFrom(exchange, *sender);
}

// Whether the request can't be served at this gateway, which is cut off from the endpoints, and no
// endpoint has run it: it is passed on then, or refused if it has been passed on already.
bool RelayHandler::MustLeave(const Context& context, MonotonicTime now) const {
  if (deps_.forwarder == nullptr || context.runs > 0 || context.stream_open) return false;
  if (context.is_forwarded()) return deps_.forwarder->IsCutOff(context.service_name);
  return deps_.forwarder->IsPartitioned(context.service_name, now);
}

// Whether the gateway that has passed the request on may try another one, since this one can't send
// requests to the endpoints of the service.
bool RelayHandler::IsUnfitHelper(const Context& context, MonotonicTime now) const {
  if (!context.is_forwarded() || context.runs > 0) return false;
  return context.arrival >= refuse_from_ ||
         deps_.forwarder->MayBePartitioned(context.service_name, now) ||
         deps_.forwarder->IsCutOff(context.service_name);
}

// Passes a request on before it is admitted if this gateway is cut off from the endpoints of its
// service. Returns whether it has been responded to.
Task<bool> RelayHandler::ForwardIfPartitioned(ContextPtr context) {
  if (context->arrival >= refuse_from_ || !MustLeave(*context, MonotonicNow())) co_return false;
  if (!context->is_forwarded()) {
    const bool responded = co_await Forward(context);
    if (responded) co_return true;
  }
  co_await Refuse(context, "cut off from the endpoints of the service");
  co_return true;
}

// Passes a request on that no endpoint has received, if that is because this gateway is or may be
// cut off from them. Returns whether it has been responded to.
Task<bool> RelayHandler::ForwardUnsent(ContextPtr context) {
  const MonotonicTime now = MonotonicNow();
  if (deps_.forwarder == nullptr || context->is_forwarded()) co_return false;
  if (context->runs > 0 || !HasTimeLeft(*context, now)) co_return false;
  const bool unsent = context->attempts > 0 && context->unsent_attempts == context->attempts;
  const bool partitioned =
      deps_.forwarder->IsPartitioned(context->service_name, now) ||
      (unsent && deps_.forwarder->MayBePartitioned(context->service_name, now));
  if (!partitioned) co_return false;
  const bool responded = co_await Forward(context);
  co_return responded;
}

// Passes a request on to another gateway. Returns whether it has been responded to or may have run;
// false if no gateway has received it. Precondition: no endpoint has run it.
Task<bool> RelayHandler::Forward(ContextPtr context) {
  // The other gateway charges it.
  if (context->quota_cost > 0) {
    deps_.quota->Refund(*context->customer, context->quota_level, context->quota_cost);
    context->quota_cost = 0;
  }
  std::set<Address> tried;
  for (int forwards = 1; forwards <= kMaxForwards && !context->caller_gone; ++forwards) {
    const auto helper = deps_.forwarder->NextHelper(tried, MonotonicNow());
    if (!helper) break;
    tried.insert(*helper);
    context->helper = ToString(*helper);
    context->step = RelayStep::kEndpoint;
    HttpCall call = MakeForwardCall(context.get(), *helper);
    auto response = co_await deps_.forwarder->client()->Open(std::move(call));
    ForwardEnd end = ForwardEnd::kAnswered;
    if (!response) {
      const bool unsent = response.error() == HttpError::kNotSent;
      end = unsent ? ForwardEnd::kNotSent : ForwardEnd::kUnknown;
    } else if (response.value()->header(kForwardHeader) == kNotRunMark) {
      end = ForwardEnd::kNotRun;
    }
    if (end != ForwardEnd::kAnswered && !context->caller_gone) {
      deps_.metrics->forward_failures_total->Increment();
      deps_.forwarder->RecordFailure(*helper, MonotonicNow());
    }
    const ForwardAction action = DecideForward(end, forwards);
    if (action == ForwardAction::kTryNext) continue;
    if (action == ForwardAction::kRefuse) break;
    if (action == ForwardAction::kReturnResponse) {
      co_await ReturnForwarded(context, std::move(response).value());
      co_return true;
    }
    context->runs = 1;
    context->reason = "passed on: " + std::string(kHttpErrorNames[response.error()]);
    co_await FinishUnserved(context);
    co_return true;
  }
  if (context->caller_gone) context->outcome = RelayOutcome::kCallerGone;
  co_return context->caller_gone;
}

HttpCall RelayHandler::MakeForwardCall(Context* context, const Address& helper) const {
  const HttpRequest& request = context->request();
  context->canceller = std::make_shared<HttpCanceller>();
  HttpCall call;
  call.address = helper;
  call.method = request.method;
  call.target = request.target;
  call.body = request.body;
  call.deadline = context->deadline + kResponseMargin;
  call.connect_timeout = kConnectTimeout;
  call.max_idle = context->route->repeatable() ? kMaxIdle : kNoRetryMaxIdle;
  call.canceller = context->canceller;
  if (deps_.memory != nullptr) {
    call.memory = std::make_shared<MemoryHold>(
        deps_.memory->Open(MemoryKind::kResponses, context->customer_name()));
  }
  const milliseconds left = ToMillis(context->deadline - MonotonicNow());
  call.headers = platform::PassedOnHeaders(request, std::max(milliseconds(1), left));
  RemoveForwardHeader(&call.headers);
  call.headers.push_back(deps_.forwarder->Sign(request, WallNow()));
  return call;
}

// Returns the response of another gateway to the caller, unchanged.
Task<void> RelayHandler::ReturnForwarded(ContextPtr context, std::unique_ptr<HttpStream> response) {
  deps_.metrics->forwarded_requests_total->Increment();
  const std::string_view id = response->header(platform::RequestIdHeader("").first);
  if (!id.empty() && id != context->params.id) {
    context->canceller->Cancel();
    context->runs = 1;
    context->reason = "passed on: response does not belong to this request";
    co_await FinishUnserved(context);
    co_return;
  }
  const bool success = response->status() >= 200 && response->status() < 300;
  if (context->route->kind == RouteKind::kStreaming && success) {
    co_await ReturnForwardedStream(context, std::move(response));
  } else {
    co_await ReturnForwardedReply(context, std::move(response));
  }
}

// A stream that breaks off is not ended, so that the caller sees that it is incomplete.
Task<void> RelayHandler::ReturnForwardedStream(ContextPtr context,
                                               std::unique_ptr<HttpStream> response) {
  context->stream_open = true;
  context->status = response->status();
  context->first_byte = MonotonicNow();
  deps_.metrics->ObserveFirstByte(context->route->kind, *context->first_byte - context->arrival);
  HttpHeaders headers = platform::ReturnedHeaders(response->headers());
  const bool opened =
      co_await context->exchange->StartStream(response->status(), std::move(headers));
  if (!opened) context->caller_gone = true;
  context->outcome = RelayOutcome::kBrokenOff;
  while (!context->caller_gone) {
    context->step = RelayStep::kEvents;
    auto bytes = co_await response->Read(context->deadline + kResponseMargin);
    if (!bytes) {
      context->reason = "passed on: stream: " + std::string(kHttpErrorNames[bytes.error()]);
      break;
    }
    if (bytes.value().empty()) {
      context->outcome = RelayOutcome::kAnswered;
      break;
    }
    context->step = RelayStep::kCaller;
    const bool sent = co_await WriteEvents(context, std::move(bytes).value());
    if (!sent) context->caller_gone = true;
  }
  response.reset();
  co_await DrainCaller(context);
  if (context->caller_gone) {
    context->canceller->Cancel();
    context->outcome = RelayOutcome::kCallerGone;
  } else if (context->outcome == RelayOutcome::kAnswered) {
    co_await context->exchange->FinishStream();
  }
}

Task<void> RelayHandler::ReturnForwardedReply(ContextPtr context,
                                              std::unique_ptr<HttpStream> response) {
  auto body = co_await response->ReadAll(context->deadline + kResponseMargin);
  if (!body) {
    context->runs = 1;
    context->reason = "passed on: " + std::string(kHttpErrorNames[body.error()]);
    co_await FinishUnserved(context);
    co_return;
  }
  HttpHeaders headers = platform::ReturnedHeaders(response->headers());
  RemoveForwardHeader(&headers);
  const int status = response->status();
  context->outcome = status < 500 ? RelayOutcome::kAnswered : RelayOutcome::kEndpointFailed;
  if (platform::PromisesNotRun(status)) context->outcome = RelayOutcome::kRefused;
  co_await SendResponse(context, status, std::move(headers), std::move(body).value());
}

}  // namespace mimosabend
