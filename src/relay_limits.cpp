#include <algorithm>

#include "directory_log.h"
#include "log.h"
#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"

namespace mimosabend {

namespace {

// A permit expires this long after it was requested, so that a process that was paused meanwhile
// does not use it.
constexpr milliseconds kPermitLifetime{400};
// An endpoint is not chosen for at least this long after a permit for it was denied.
constexpr milliseconds kMinPermitBackoff{50};

}  // namespace

// Obtains a permit if the endpoint limits the rate of its requests. Returns false if there is none;
// the endpoint is not chosen again until it is worth asking.
Task<bool> RelayHandler::AcquirePermit(ContextPtr context, FleetEndpoint endpoint) {
  context->permit_until = MonotonicTime::max();
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  const auto rate = deps_.limits->Rate(number);
  if (!rate) co_return true;
  const MonotonicTime asked_at = MonotonicNow();
  PermitRequest request{*deps_.limits->Notice(number, asked_at), context->priority()};
  context->step = RelayStep::kPermit;
  const PermitAnswer answer = co_await deps_.placement.request_permit(request);
  context->step = RelayStep::kChoice;
  const MonotonicTime now = MonotonicNow();
  context->waited += ToMillis(now - asked_at);
  (answer.granted ? deps_.metrics->permits_total : deps_.metrics->permits_denied_total)
      ->Increment();
  if (answer.granted && now < asked_at + kPermitLifetime) {
    context->permit_until = asked_at + kPermitLifetime;
    co_return true;
  }
  ++context->denied_permits;
  context->reason = "endpoint accepts " + std::to_string(*rate) + " requests per second";
  const milliseconds backoff =
      std::max(kMinPermitBackoff, milliseconds(answer.granted ? 0 : answer.retry_after_ms));
  deps_.stats->SetBackoff(endpoint.id, now + backoff);
  co_return false;
}

// Whether all endpoints that could serve the request, for a model those that hold it, state rate
// limits or are brittle. Permits are issued one by one at these rates, so most of the requests that
// wait for one would wait in vain.
bool RelayHandler::AreAllEndpointsLimited(const Context& context, MonotonicTime now) const {
  bool any = false;
  for (const DirectoryEntry* entry : deps_.directory->OfService(context.service_name, now)) {
    if (context.service->engine && !entry->Holds(context.params.model)) continue;
    const FleetEndpoint& endpoint = entry->endpoint;
    const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
    if (!deps_.limits->Rate(number) && !IsBrittle(endpoint, now)) return false;
    any = true;
  }
  return any;
}

// Records what the response to the current attempt states on the endpoint's rate limit.
// Precondition: the response belongs to the request.
void RelayHandler::RecordRateLimit(const Context& context, const FleetEndpoint& endpoint,
                                   const HttpHeaders& headers) {
  const platform::StatedRateLimit stated = platform::RateLimit(headers);
  if (stated.present && !stated.rate) {
    LOG4CPLUS_WARN(Log(), "endpoint " << endpoint.id << " states an invalid rate limit, ignored");
    return;
  }
  const std::uint32_t number = EndpointNumber(endpoint.id, endpoint.started_ms);
  const bool changed =
      deps_.limits->RecordResponse(number, stated.rate, context.sent_at, MonotonicNow());
  if (!changed) return;
  LOG4CPLUS_INFO(Log(), "endpoint " << endpoint.id << " has a rate limit, per_second="
                                    << stated.rate.value_or(LimitNotice::kNoLimit)
                                    << " source=response id=" << context.params.id);
}

}  // namespace mimosabend
