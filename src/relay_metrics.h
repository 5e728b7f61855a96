#ifndef MIMOSABEND_RELAY_METRICS_H_
#define MIMOSABEND_RELAY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <string>

#include "connection_table.h"
#include "fleet_config.h"
#include "hedge_policy.h"
#include "memory_budget.h"
#include "metrics_registry.h"
#include "name_table.h"
#include "quota_order.h"
#include "run_check.h"

namespace mimosabend {

// How a relayed request ended. Each request ends exactly once. kContained: refused because the
// request crashed endpoints. kBrokenOff: the caller got no complete response. kInternalError: an
// exception ended the request.
enum class RelayOutcome : std::uint8_t {
  kAnswered,
  kRefused,
  kContained,
  kUnknownRoute,
  kUnknownKey,
  kOverQuota,
  kEndpointFailed,
  kTimedOut,
  kBrokenOff,
  kCallerGone,
  kInternalError
};
inline constexpr std::size_t kRelayOutcomeCount = 11;
inline constexpr NameTable<RelayOutcome, kRelayOutcomeCount> kRelayOutcomeNames{
    {"answered", "refused", "contained", "unknown_route", "unknown_key", "over_quota",
     "endpoint_failed", "timed_out", "broken_off", "caller_gone", "internal_error"}};

// Prometheus metrics of a gateway. The number of label sets is bounded. Thread-safe.
class RelayMetrics {
 public:
  RelayMetrics();

  // The text exposition format of Prometheus.
  std::string Expose() const;

  // Counts a request that has ended.
  void CountOutcome(RelayOutcome outcome, RouteKind kind) {
    ends_[static_cast<std::size_t>(outcome)][static_cast<std::size_t>(kind)]->Increment();
  }
  // Counts a request that was refused because it exceeds its customer's quota. `level` is that of
  // PriorityLevel.
  void CountQuotaRefusal(std::uint8_t level) { quota_refusals_[level]->Increment(); }
  // Counts a question to an engine for the run of a stream that stalled or broke.
  void CountRunCheck(RunState state) { run_checks_[static_cast<std::size_t>(state)]->Increment(); }
  // Counts a late request that got no second attempt, by the last reason.
  void CountDeniedHedge(HedgeReason reason) {
    hedges_denied_[static_cast<std::size_t>(reason)]->Increment();
  }
  // Observes the time from the arrival of a request to the first byte of its response.
  void ObserveFirstByte(RouteKind kind, std::chrono::steady_clock::duration time);
  // Observes the longest pause between two events of a stream, as far as endpoints caused it.
  void ObserveLongestPause(const Route& route, std::chrono::steady_clock::duration pause);

  MetricsRegistry* registry() { return &registry_; }

  prometheus::Counter* requests_total;
  prometheus::Counter* tries_total;
  prometheus::Counter* repeats_total;
  prometheus::Counter* repeats_denied_total;
  prometheus::Counter* stream_resumes_total;
  prometheus::Counter* stream_take_ups_total;
  prometheus::Counter* stream_versions_unknown_total;
  prometheus::Counter* stream_versions_gone_total;
  prometheus::Counter* endpoint_breaks_total;
  prometheus::Counter* invalid_responses_total;
  prometheus::Counter* invalid_requests_total;
  prometheus::Counter* model_waits_total;
  prometheus::Counter* forecast_refusals_total;
  prometheus::Counter* adapter_waits_total;
  prometheus::Counter* permits_total;
  prometheus::Counter* permits_denied_total;
  prometheus::Counter* brittle_rejections_total;
  prometheus::Counter* brittle_waits_total;
  prometheus::Counter* brittle_refusals_total;
  prometheus::Counter* hedges_sent_total;
  prometheus::Counter* hedges_won_total;
  prometheus::Counter* hedges_lost_total;
  prometheus::Counter* forwarded_requests_total;
  prometheus::Counter* forward_failures_total;
  prometheus::Counter* helped_requests_total;
  prometheus::Counter* connections_opened_total;
  prometheus::Counter* store_calls_total;
  prometheus::Counter* store_errors_total;
  prometheus::Counter* store_listing_pages_total;
  prometheus::Counter* store_restores_total;
  prometheus::Counter* store_dropped_responses_total;
  prometheus::Counter* store_invalid_eras_total;
  prometheus::Counter* log_lines_dropped_total;
  prometheus::Counter* library_assertions_total;
  prometheus::Counter* exceptions_total;
  prometheus::Gauge* crash_suspects;
  prometheus::Gauge* contained_parts;
  prometheus::Gauge* prefix_parts;
  prometheus::Counter* prefix_evictions_total;
  prometheus::Gauge* limited_endpoints;
  prometheus::Gauge* cut_off_services;
  prometheus::Gauge* stream_origins;
  prometheus::Gauge* brittle_endpoints;
  prometheus::Gauge* config_version;
  prometheus::Gauge* endpoints;
  prometheus::Gauge* requests_in_flight;
  prometheus::Gauge* leads_placement;
  prometheus::Gauge* ready;
  prometheus::Gauge* invalid_entries;

 private:
  static constexpr std::size_t kKinds = 3;

  // The longest pauses of a route's streams.
  struct RoutePauses {
    prometheus::Histogram* longest;
    // Streams whose longest pause exceeded the route's target.
    prometheus::Counter* above_target;
  };

  RoutePauses AddRoutePauses(const std::string& route);
  const RoutePauses& PausesOf(const std::string& route);

  MetricsRegistry registry_;
  prometheus::Family<prometheus::Histogram>* longest_pauses_;
  prometheus::Family<prometheus::Counter>* paused_streams_;
  // Guards `pauses_by_route_`.
  std::mutex pauses_mutex_;
  std::map<std::string, RoutePauses> pauses_by_route_;
  // Of all routes beyond the limit.
  RoutePauses other_pauses_;
  std::array<std::array<prometheus::Counter*, kKinds>, kRelayOutcomeCount> ends_;
  std::array<prometheus::Counter*, kRunStateCount> run_checks_;
  std::array<prometheus::Counter*, kPriorityLevels> quota_refusals_;
  std::array<prometheus::Counter*, kHedgeReasonCount> hedges_denied_;
  std::array<prometheus::Histogram*, kKinds> first_byte_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RELAY_METRICS_H_
