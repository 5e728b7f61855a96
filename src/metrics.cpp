#include "metrics.h"

#include "clock.h"

namespace mimosabend {

namespace {

constexpr char kPrefix[] = "mimosabend_";

const prometheus::Histogram::BucketBoundaries kFirstTokenSecondsBounds{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.95, 2, 4, 8, 15, 30, 60};
const prometheus::Histogram::BucketBoundaries kTokenGapSecondsBounds{
    0.001, 0.005, 0.01, 0.02, 0.03, 0.05, 0.071, 0.1, 0.2, 0.5, 1};

const prometheus::Histogram::BucketBoundaries kQueueSecondsBounds{0.001, 0.01, 0.05, 0.1, 0.2, 0.5,
                                                                  0.95,  2,    4,    8,   15,  30};

}  // namespace

Metrics::Metrics() : registry_(kPrefix) {
  accepted_ = registry_.AddCounter("requests_accepted_total",
                                   "Requests that were authenticated and parsed.");
  auto& outcomes = registry_.CounterFamily("requests_ended_total",
                                           "Accepted requests by final outcome and rank.");
  for (std::size_t i = 0; i < kRequestOutcomeCount; ++i) {
    for (Rank rank : kAllRanks) {
      outcomes_[i][Index(rank)] =
          &outcomes.Add({{"outcome", std::string(kRequestOutcomeNames.names[i])},
                         {"rank", std::string(kRankNames[rank])}});
    }
  }
  auto& peer_errors = registry_.CounterFamily(
      "peer_errors_total", "Messages between daemons that were dropped or failed, by reason.");
  for (std::size_t i = 0; i < kPeerErrorCount; ++i) {
    peer_errors_[i] = &peer_errors.Add({{"reason", std::string(kPeerErrorNames.names[i])}});
  }
  auto& first_token = registry_.HistogramFamily(
      "first_token_seconds", "Time from the arrival of a request to its first token.");
  auto& token_gap =
      registry_.HistogramFamily("token_gap_seconds", "Time between two tokens of an answer.");
  auto& queue_time = registry_.HistogramFamily(
      "queue_seconds", "Time that a request waited for admission, refused ones included.");
  auto& refusals = registry_.CounterFamily("admission_refusals_total",
                                           "Requests that admission refused, by reason.");
  for (std::size_t i = 0; i < kAdmissionRefusalCount; ++i) {
    admission_refusals_[i] =
        &refusals.Add({{"reason", std::string(kAdmissionRefusalNames.names[i])}});
  }
  for (Rank rank : kAllRanks) {
    const std::string name(kRankNames[rank]);
    queue_time_[Index(rank)] = &queue_time.Add({{"rank", name}}, kQueueSecondsBounds);
    for (int cold = 0; cold < 2; ++cold) {
      first_token_[Index(rank)][cold] = &first_token.Add(
          {{"rank", name}, {"start", cold == 1 ? "cold" : "warm"}}, kFirstTokenSecondsBounds);
    }
    token_gap_[Index(rank)] = &token_gap.Add({{"rank", name}}, kTokenGapSecondsBounds);
  }
  tokens_total = registry_.AddCounter("tokens_total", "Tokens passed on to callers.");
  http_rejected_total = registry_.AddCounter("http_rejected_total",
                                             "HTTP requests refused before they were accepted.");
  peer_messages_sent_total =
      registry_.AddCounter("peer_messages_sent_total", "Messages sent to daemons.");
  peer_bytes_sent_total = registry_.AddCounter("peer_bytes_sent_total", "Bytes sent to daemons.");
  peer_messages_received_total =
      registry_.AddCounter("peer_messages_received_total", "Messages received from daemons.");
  peer_bytes_received_total =
      registry_.AddCounter("peer_bytes_received_total", "Bytes from daemons.");
  kv_calls_total =
      registry_.AddCounter("kv_calls_total", "Calls to the key-value service, watches included.");
  kv_errors_total =
      registry_.AddCounter("kv_errors_total", "Calls to the key-value service that failed.");
  engine_errors_total =
      registry_.AddCounter("engine_errors_total", "Calls to engines that failed.");
  stream_resumes_total =
      registry_.AddCounter("stream_resumes_total", "Streams resumed after a break.");
  load_decisions_total =
      registry_.AddCounter("load_decisions_total", "Loads decided and recorded.");
  retries_total = registry_.AddCounter("retries_total", "Retries that the retry budget allowed.");
  retries_denied_total = registry_.AddCounter(
      "retries_denied_total", "Retries refused by the retry budget or the deadline.");
  poison_crashes_total = registry_.AddCounter(
      "poison_crashes_total", "Requests that were running when an endpoint crashed.");
  poison_trials_total =
      registry_.AddCounter("poison_trials_total", "Suspect requests that were run alone.");
  poison_refusals_total = registry_.AddCounter(
      "poison_refusals_total", "Requests refused because they crashed two endpoints.");
  poison_unverified_total = registry_.AddCounter(
      "poison_unverified_total",
      "Suspect requests not run because their record could not be read or written.");
  load_orders_total =
      registry_.AddCounter("load_orders_total", "Load orders sent, repeats included.");
  unload_orders_total =
      registry_.AddCounter("unload_orders_total", "Unload orders sent, repeats included.");
  undecided_replicas_total = registry_.AddCounter(
      "undecided_replicas_total", "Replicas found at engines that nobody had decided.");
  placement_writes_total =
      registry_.AddCounter("placement_writes_total", "Placement records written.");
  placement_conflicts_total =
      registry_.AddCounter("placement_conflicts_total", "Placement writes lost to another daemon.");
  ownership_changes_total =
      registry_.AddCounter("ownership_changes_total", "Placement groups taken over or given up.");
  record_writes_total =
      registry_.AddCounter("record_writes_total", "Request record values written.");
  record_replays_total = registry_.AddCounter(
      "record_replays_total", "Repeated requests that were answered from their record.");
  record_slots_deleted_total = registry_.AddCounter(
      "record_slots_deleted_total", "Slots of request records deleted after their window.");
  stale_documents_total = registry_.AddCounter(
      "stale_documents_total", "Environment heads ignored because they were older.");
  task_restarts_total =
      registry_.AddCounter("task_restarts_total", "Tasks restarted by the supervisor.");
  environment_version =
      registry_.AddGauge("environment_version", "Version of the document in force.");
  document_watchers = registry_.AddGauge("document_watchers",
                                         "1 if this daemon watches the document head, else 0.");
  live_members = registry_.AddGauge("live_members", "Daemons seen alive, this one included.");
  owned_groups = registry_.AddGauge("owned_groups", "Placement groups that this daemon owns.");
  requests_in_flight =
      registry_.AddGauge("requests_in_flight", "Accepted requests that have not ended.");
}

std::string Metrics::Expose() const { return registry_.Expose(); }

void Metrics::ObserveQueueTime(Rank rank, std::chrono::steady_clock::duration time) {
  queue_time_[Index(rank)]->Observe(ToSeconds(time));
}

void Metrics::ObserveFirstToken(Rank rank, bool cold, std::chrono::steady_clock::duration time) {
  first_token_[Index(rank)][cold ? 1 : 0]->Observe(ToSeconds(time));
}

void Metrics::ObserveTokenGap(Rank rank, std::chrono::steady_clock::duration time) {
  token_gap_[Index(rank)]->Observe(ToSeconds(time));
}

double Metrics::ended() const {
  double sum = 0;
  for (const auto& by_rank : outcomes_) {
    for (const prometheus::Counter* counter : by_rank) sum += counter->Value();
  }
  return sum;
}

}  // namespace mimosabend
