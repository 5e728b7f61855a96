#include "relay_metrics.h"

#include "clock.h"

namespace mimosabend {

namespace {

constexpr char kPrefix[] = "mimosabend_gateway_";

const prometheus::Histogram::BucketBoundaries kFirstByteBounds{0.01, 0.02, 0.05, 0.12, 0.2, 0.4,
                                                               0.8,  1.5,  3,    5,    10,  20};

const prometheus::Histogram::BucketBoundaries kPauseBounds{0.02, 0.05, 0.071, 0.1, 0.15, 0.25,
                                                           0.4,  0.7,  1.2,   2,   4,    10};
// Limits the label sets, since the operator's configuration may name any number of routes, and new
// ones over time.
constexpr std::size_t kMaxPauseRoutes = 64;
constexpr char kOtherRoutes[] = "other";

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
  longest_pauses_ = &registry_.HistogramFamily(
      "longest_pause_seconds",
      "Longest pause between two events of a stream that its endpoints caused.");
  paused_streams_ = &registry_.CounterFamily(
      "paused_streams_total", "Streams whose longest pause exceeded the target of their route.");
  other_pauses_ = AddRoutePauses(kOtherRoutes);
  auto& run_checks = registry_.CounterFamily(
      "run_checks_total", "Questions to engines for the runs of stalled or broken streams.");
  for (std::size_t i = 0; i < kRunStateCount; ++i) {
    run_checks_[i] = &run_checks.Add({{"state", std::string(kRunStateNames.names[i])}});
  }
  auto& quota_refusals = registry_.CounterFamily(
      "quota_refusals_total", "Requests refused over their customer's quota, by priority level.");
  for (std::size_t level = 0; level < kPriorityLevels; ++level) {
    quota_refusals_[level] = &quota_refusals.Add({{"priority", std::to_string(level)}});
  }
  auto& hedges_denied = registry_.CounterFamily(
      "hedges_denied_total", "Late requests that got no second attempt, by the last reason.");
  for (std::size_t i = 0; i < kHedgeReasonCount; ++i) {
    hedges_denied_[i] = &hedges_denied.Add({{"reason", std::string(kHedgeReasonNames.names[i])}});
  }
  requests_total = registry_.AddCounter("requests_total", "Requests that were read whole.");
  tries_total =
      registry_.AddCounter("tries_total", "Requests sent to endpoints, repeats included.");
  repeats_total = registry_.AddCounter("repeats_total", "Repeats that the retry budget allowed.");
  repeats_denied_total =
      registry_.AddCounter("repeats_denied_total", "Repeats that the budget refused.");
  stream_resumes_total =
      registry_.AddCounter("stream_resumes_total", "Streams resumed after a break.");
  stream_take_ups_total = registry_.AddCounter(
      "stream_take_ups_total", "Streams that callers took up after their first event.");
  stream_versions_unknown_total = registry_.AddCounter(
      "stream_versions_unknown_total",
      "Take-ups refused since it is not known which software version began the stream.");
  stream_versions_gone_total = registry_.AddCounter(
      "stream_versions_gone_total",
      "Streams that ended since no endpoint of their software version could go on.");
  endpoint_breaks_total = registry_.AddCounter(
      "endpoint_breaks_total", "Requests whose endpoint broke off without a whole answer.");
  invalid_responses_total = registry_.AddCounter(
      "invalid_responses_total", "Responses of endpoints that are malformed or exceed a limit.");
  invalid_requests_total = registry_.AddCounter(
      "invalid_requests_total",
      "Requests that are malformed or exceed a limit, and connections above their limit.");
  model_waits_total =
      registry_.AddCounter("model_waits_total", "Requests that waited for a model.");
  forecast_refusals_total = registry_.AddCounter(
      "forecast_refusals_total", "Requests refused since they were predicted to be too late.");
  adapter_waits_total =
      registry_.AddCounter("adapter_waits_total", "Requests that waited for an adapter.");
  permits_total = registry_.AddCounter(
      "permits_total", "Permits granted for requests to endpoints with a rate limit.");
  permits_denied_total = registry_.AddCounter(
      "permits_denied_total", "Permits denied for requests to endpoints with a rate limit.");
  brittle_rejections_total =
      registry_.AddCounter("brittle_rejections_total", "Requests that brittle endpoints rejected.");
  brittle_waits_total = registry_.AddCounter("brittle_waits_total",
                                             "Requests that waited for room at brittle endpoints.");
  brittle_refusals_total = registry_.AddCounter(
      "brittle_refusals_total", "Requests refused for want of room at brittle endpoints.");
  hedges_sent_total = registry_.AddCounter(
      "hedges_sent_total", "Second attempts sent while the first of their request was open.");
  hedges_won_total =
      registry_.AddCounter("hedges_won_total", "Second attempts whose response was passed on.");
  hedges_lost_total = registry_.AddCounter(
      "hedges_lost_total", "Second attempts that ended without their response being passed on.");
  forwarded_requests_total = registry_.AddCounter(
      "forwarded_requests_total", "Requests passed on to another gateway that responded.");
  forward_failures_total = registry_.AddCounter(
      "forward_failures_total",
      "Attempts to pass a request on that were not sent, refused by the other gateway as unable, "
      "or not answered.");
  helped_requests_total =
      registry_.AddCounter("helped_requests_total", "Requests that other gateways have passed on.");
  connections_opened_total =
      registry_.AddCounter("connections_opened_total", "Connections opened to endpoints.");
  store_calls_total =
      registry_.AddCounter("store_calls_total", "Calls to the store, watches included.");
  store_errors_total =
      registry_.AddCounter("store_errors_total", "Calls to the store that failed.");
  store_listing_pages_total = registry_.AddCounter("store_listing_pages_total",
                                                   "Pages of listings that the store returned.");
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
  prefix_parts = registry_.AddGauge(
      "prefix_parts", "Parts of prompts that are remembered as processed by engines.");
  prefix_evictions_total = registry_.AddCounter(
      "prefix_evictions_total", "Parts of prompts that were forgotten beyond the limit.");
  contained_parts = registry_.AddGauge(
      "contained_parts", "Parts of prompts that are contained because endpoints crashed.");
  brittle_endpoints = registry_.AddGauge(
      "brittle_endpoints", "Endpoints that state how many rejections they withstand.");
  limited_endpoints = registry_.AddGauge("limited_endpoints", "Endpoints that state a rate limit.");
  cut_off_services = registry_.AddGauge(
      "cut_off_services", "Services of which this gateway reaches no endpoint, though it probes.");
  stream_origins = registry_.AddGauge(
      "stream_origins", "Streams of which the software version that began them is known.");
  config_version = registry_.AddGauge("config_version", "Version of the configuration in force.");
  endpoints = registry_.AddGauge("endpoints", "Endpoints in the directory.");
  requests_in_flight = registry_.AddGauge("requests_in_flight", "Requests that have not ended.");
  leads_placement =
      registry_.AddGauge("leads_placement", "1 if this daemon leads placement, else 0.");
  invalid_entries =
      registry_.AddGauge("invalid_entries", "Entries in the store that describe no endpoint.");
  ready = registry_.AddGauge("ready", "1 if this daemon is ready for callers, else 0.");
}

std::string RelayMetrics::Expose() const { return registry_.Expose(); }

void RelayMetrics::ObserveFirstByte(RouteKind kind, std::chrono::steady_clock::duration time) {
  first_byte_[static_cast<std::size_t>(kind)]->Observe(ToSeconds(time));
}

RelayMetrics::RoutePauses RelayMetrics::AddRoutePauses(const std::string& route) {
  return {&longest_pauses_->Add({{"route", route}}, kPauseBounds),
          &paused_streams_->Add({{"route", route}})};
}

// The first kMaxPauseRoutes routes whose streams end have series of their own.
const RelayMetrics::RoutePauses& RelayMetrics::PausesOf(const std::string& route) {
  const std::lock_guard<std::mutex> lock(pauses_mutex_);
  const auto it = pauses_by_route_.find(route);
  if (it != pauses_by_route_.end()) return it->second;
  if (pauses_by_route_.size() >= kMaxPauseRoutes) return other_pauses_;
  return pauses_by_route_.emplace(route, AddRoutePauses(route)).first->second;
}

void RelayMetrics::ObserveLongestPause(const Route& route,
                                       std::chrono::steady_clock::duration pause) {
  const RoutePauses& pauses = PausesOf(route.name);
  pauses.longest->Observe(ToSeconds(pause));
  const bool has_target = route.target_event_gap.count() > 0;
  if (has_target && pause > route.target_event_gap) pauses.above_target->Increment();
}

}  // namespace mimosabend
