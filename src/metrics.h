#ifndef MIMOSABEND_METRICS_H_
#define MIMOSABEND_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <array>
#include <chrono>
#include <string>

#include "admission.h"
#include "metrics_registry.h"
#include "name_table.h"
#include "peer_message.h"
#include "rank.h"

namespace mimosabend {

// How an accepted request ended. Each request is counted with exactly one outcome.
enum class RequestOutcome : std::uint8_t { kAnswered, kRefused, kFailed, kCancelled };
inline constexpr std::size_t kRequestOutcomeCount = 4;
inline constexpr NameTable<RequestOutcome, kRequestOutcomeCount> kRequestOutcomeNames{
    {"answered", "refused", "failed", "cancelled"}};

// All metrics of a daemon. The number of label values is bounded: models and adapters are not
// labels. Thread-safe.
class Metrics {
 public:
  Metrics();

  MetricsRegistry* registry() { return &registry_; }

  // Returns all metrics in the Prometheus text exposition format.
  std::string Expose() const;

  void CountAccepted() { accepted_->Increment(); }
  void CountOutcome(RequestOutcome outcome, Rank rank) {
    outcomes_[static_cast<std::size_t>(outcome)][Index(rank)]->Increment();
  }
  void CountPeerError(PeerError error) {
    peer_errors_[static_cast<std::size_t>(error)]->Increment();
  }
  void CountAdmissionRefusal(AdmissionRefusal reason) {
    admission_refusals_[static_cast<std::size_t>(reason)]->Increment();
  }
  void ObserveQueueTime(Rank rank, std::chrono::steady_clock::duration time);
  void ObserveFirstToken(Rank rank, bool cold, std::chrono::steady_clock::duration time);
  void ObserveTokenGap(Rank rank, std::chrono::steady_clock::duration time);

  double outcome_count(RequestOutcome outcome, Rank rank) const {
    return outcomes_[static_cast<std::size_t>(outcome)][Index(rank)]->Value();
  }

  // Number of accepted requests and sum of all outcomes; the two must be equal at exit.
  double accepted() const { return accepted_->Value(); }
  double ended() const;

  // Counters and gauges without labels. Each is named like its metric, without the prefix.
  prometheus::Counter* tokens_total;
  prometheus::Counter* http_rejected_total;
  prometheus::Counter* peer_messages_sent_total;
  prometheus::Counter* peer_bytes_sent_total;
  prometheus::Counter* peer_messages_received_total;
  prometheus::Counter* peer_bytes_received_total;
  prometheus::Counter* kv_calls_total;
  prometheus::Counter* kv_errors_total;
  prometheus::Counter* engine_errors_total;
  prometheus::Counter* stream_resumes_total;
  prometheus::Counter* load_decisions_total;
  prometheus::Counter* retries_total;
  prometheus::Counter* retries_denied_total;
  prometheus::Counter* poison_crashes_total;
  prometheus::Counter* poison_trials_total;
  prometheus::Counter* poison_refusals_total;
  prometheus::Counter* poison_unverified_total;
  prometheus::Counter* load_orders_total;
  prometheus::Counter* unload_orders_total;
  prometheus::Counter* undecided_replicas_total;
  prometheus::Counter* placement_writes_total;
  prometheus::Counter* placement_conflicts_total;
  prometheus::Counter* ownership_changes_total;
  prometheus::Counter* record_writes_total;
  prometheus::Counter* record_replays_total;
  prometheus::Counter* record_slots_deleted_total;
  prometheus::Counter* stale_documents_total;
  prometheus::Counter* task_restarts_total;
  prometheus::Gauge* environment_version;
  prometheus::Gauge* document_watchers;
  prometheus::Gauge* live_members;
  prometheus::Gauge* owned_groups;
  prometheus::Gauge* requests_in_flight;

 private:
  MetricsRegistry registry_;
  prometheus::Counter* accepted_;
  std::array<std::array<prometheus::Counter*, kRankCount>, kRequestOutcomeCount> outcomes_;
  std::array<prometheus::Counter*, kPeerErrorCount> peer_errors_;
  std::array<std::array<prometheus::Histogram*, 2>, kRankCount> first_token_;
  std::array<prometheus::Histogram*, kRankCount> token_gap_;
  std::array<prometheus::Counter*, kAdmissionRefusalCount> admission_refusals_;
  std::array<prometheus::Histogram*, kRankCount> queue_time_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_METRICS_H_
