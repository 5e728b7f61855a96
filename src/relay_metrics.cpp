#include "relay_metrics.h"

#include "clock.h"

namespace mimosabend {

namespace {

constexpr char kPrefix[] = "mimosabend_gateway_";

const prometheus::Histogram::BucketBoundaries kFirstByteBounds{0.01, 0.02, 0.05, 0.12, 0.2, 0.4,
                                                               0.8,  1.5,  3,    5,    10,  20};

}  // namespace

RelayMetrics::RelayMetrics() : registry_(kPrefix) {
  auto& ends = registry_.CounterFamily("requests_ended_total",
                                       "Requests by final outcome and kind of route.");
  auto& first_byte = registry_.HistogramFamily(
      "first_byte_seconds", "Time from the arrival of a request to the first byte of its answer.");
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const std::string name(kRouteKindNames.names[kind]);
    for (std::size_t i = 0; i < kRelayOutcomeCount; ++i) {
      ends_[i][kind] =
          &ends.Add({{"outcome", std::string(kRelayOutcomeNames.names[i])}, {"kind", name}});
    }
    first_byte_[kind] = &first_byte.Add({{"kind", name}}, kFirstByteBounds);
  }
  auto& run_checks = registry_.CounterFamily(
      "run_checks_total", "Questions to engines for the runs of stalled or broken streams.");
  for (std::size_t i = 0; i < kRunStateCount; ++i) {
    run_checks_[i] = &run_checks.Add({{"state", std::string(kRunStateNames.names[i])}});
  }
  requests_total = registry_.AddCounter("requests_total", "Requests that were read whole.");
  tries_total =
      registry_.AddCounter("tries_total", "Requests sent to endpoints, repeats included.");
  repeats_total = registry_.AddCounter("repeats_total", "Repeats that the retry budget allowed.");
  repeats_denied_total =
      registry_.AddCounter("repeats_denied_total", "Repeats that the budget refused.");
  stream_resumes_total =
      registry_.AddCounter("stream_resumes_total", "Streams resumed after a break.");
  endpoint_breaks_total = registry_.AddCounter(
      "endpoint_breaks_total", "Requests whose endpoint broke off without a whole answer.");
  invalid_responses_total = registry_.AddCounter(
      "invalid_responses_total", "Responses of endpoints that are malformed or exceed a limit.");
  invalid_requests_total = registry_.AddCounter(
      "invalid_requests_total",
      "Requests that are malformed or exceed a limit, and connections above their limit.");
  model_waits_total =
      registry_.AddCounter("model_waits_total", "Requests that waited for a model.");
  adapter_waits_total =
      registry_.AddCounter("adapter_waits_total", "Requests that waited for an adapter.");
  permits_total = registry_.AddCounter(
      "permits_total", "Permits granted for requests to endpoints with a rate limit.");
  permits_denied_total = registry_.AddCounter(
      "permits_denied_total", "Permits denied for requests to endpoints with a rate limit.");
  connections_opened_total =
      registry_.AddCounter("connections_opened_total", "Connections opened to endpoints.");
  store_calls_total =
      registry_.AddCounter("store_calls_total", "Calls to the store, watches included.");
  store_errors_total =
      registry_.AddCounter("store_errors_total", "Calls to the store that failed.");
  store_restores_total = registry_.AddCounter(
      "store_restores_total", "Times that the store was found to be restored from an older copy.");
  store_dropped_responses_total =
      registry_.AddCounter("store_dropped_responses_total",
                           "Responses of the store that were dropped because their era had ended.");
  store_invalid_eras_total = registry_.AddCounter(
      "store_invalid_eras_total", "Responses of the store whose era was not valid.");
  log_lines_dropped_total =
      registry_.AddCounter("log_lines_dropped_total", "Log lines that were left out.");
  library_assertions_total =
      registry_.AddCounter("library_assertions_total", "Failed assertions of the Boost libraries.");
  exceptions_total = registry_.AddCounter(
      "exceptions_total", "Exceptions that ended a request, a connection or another task.");
  crash_suspects = registry_.AddGauge(
      "crash_suspects", "Requests that were running when an endpoint crashed, and since served.");
  contained_parts = registry_.AddGauge(
      "contained_parts", "Parts of prompts that are contained because endpoints crashed.");
  limited_endpoints = registry_.AddGauge("limited_endpoints", "Endpoints that state a rate limit.");
  config_version = registry_.AddGauge("config_version", "Version of the configuration in force.");
  endpoints = registry_.AddGauge("endpoints", "Endpoints in the directory.");
  requests_in_flight = registry_.AddGauge("requests_in_flight", "Requests that have not ended.");
  leads_placement =
      registry_.AddGauge("leads_placement", "1 if this daemon leads placement, else 0.");
}

std::string RelayMetrics::Expose() const { return registry_.Expose(); }

void RelayMetrics::ObserveFirstByte(RouteKind kind, std::chrono::steady_clock::duration time) {
  first_byte_[static_cast<std::size_t>(kind)]->Observe(ToSeconds(time));
}

}  // namespace mimosabend
