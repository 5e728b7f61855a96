#include "directory_log.h"
#include "log.h"
#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"

namespace mimosabend {

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
