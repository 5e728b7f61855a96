#include "metrics.h"

#include <prometheus/text_serializer.h>

#include "clock.h"

namespace mimosabend {

namespace {

constexpr char kPrefix[] = "mimosabend_";

const prometheus::Histogram::BucketBoundaries kFirstTokenBounds{
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.95, 2, 4, 8, 15, 30, 60};
const prometheus::Histogram::BucketBoundaries kTokenGapBounds{0.001, 0.005, 0.01, 0.02, 0.03, 0.05,
                                                              0.071, 0.1,   0.2,  0.5,  1};

const prometheus::Histogram::BucketBoundaries kQueueTimeBounds{0.001, 0.01, 0.05, 0.1, 0.2, 0.5,
                                                               0.95,  2,    4,    8,   15,  30};

}  // namespace

Metrics::Metrics() : registry_(std::make_shared<prometheus::Registry>()) {
  accepted_ = AddCounter("requests_accepted_total", "Requests that were authenticated and parsed.");
  auto& outcomes = prometheus::BuildCounter()
                       .Name(std::string(kPrefix) + "requests_ended_total")
                       .Help("Accepted requests by final outcome and rank.")
                       .Register(*registry_);
  for (std::size_t i = 0; i < kRequestOutcomeCount; ++i) {
    for (Rank rank : kAllRanks) {
      outcomes_[i][Index(rank)] =
          &outcomes.Add({{"outcome", std::string(kRequestOutcomeNames.names[i])},
                         {"rank", std::string(kRankNames[rank])}});
    }
  }
  auto& peer_errors = prometheus::BuildCounter()
                          .Name(std::string(kPrefix) + "peer_errors_total")
                          .Help("Messages between daemons that were dropped or failed, by reason.")
                          .Register(*registry_);
  for (std::size_t i = 0; i < kPeerErrorCount; ++i) {
    peer_errors_[i] = &peer_errors.Add({{"reason", std::string(kPeerErrorNames.names[i])}});
  }
  auto& first_token = prometheus::BuildHistogram()
                          .Name(std::string(kPrefix) + "first_token_seconds")
                          .Help("Time from the arrival of a request to its first token.")
                          .Register(*registry_);
  auto& token_gap = prometheus::BuildHistogram()
                        .Name(std::string(kPrefix) + "token_gap_seconds")
                        .Help("Time between two tokens of an answer.")
                        .Register(*registry_);
  auto& queue_time = prometheus::BuildHistogram()
                         .Name(std::string(kPrefix) + "queue_seconds")
                         .Help("Time that a request waited for admission, refused ones included.")
                         .Register(*registry_);
  auto& refusals = prometheus::BuildCounter()
                       .Name(std::string(kPrefix) + "admission_refusals_total")
                       .Help("Requests that admission refused, by reason.")
                       .Register(*registry_);
  for (std::size_t i = 0; i < kAdmissionRefusalCount; ++i) {
    admission_refusals_[i] =
        &refusals.Add({{"reason", std::string(kAdmissionRefusalNames.names[i])}});
  }
  for (Rank rank : kAllRanks) {
    const std::string name(kRankNames[rank]);
    queue_time_[Index(rank)] = &queue_time.Add({{"rank", name}}, kQueueTimeBounds);
    for (int cold = 0; cold < 2; ++cold) {
      first_token_[Index(rank)][cold] = &first_token.Add(
          {{"rank", name}, {"start", cold == 1 ? "cold" : "warm"}}, kFirstTokenBounds);
    }
    token_gap_[Index(rank)] = &token_gap.Add({{"rank", name}}, kTokenGapBounds);
  }
  tokens_total = AddCounter("tokens_total", "Tokens passed on to callers.");
  http_rejected_total =
      AddCounter("http_rejected_total", "HTTP requests refused before they were accepted.");
  peer_messages_sent_total = AddCounter("peer_messages_sent_total", "Messages sent to daemons.");
  peer_bytes_sent_total = AddCounter("peer_bytes_sent_total", "Bytes sent to daemons.");
  peer_messages_received_total =
      AddCounter("peer_messages_received_total", "Messages received from daemons.");
  peer_bytes_received_total = AddCounter("peer_bytes_received_total", "Bytes from daemons.");
  kv_calls_total =
      AddCounter("kv_calls_total", "Calls to the key-value service, watches included.");
  kv_errors_total = AddCounter("kv_errors_total", "Calls to the key-value service that failed.");
  engine_errors_total = AddCounter("engine_errors_total", "Calls to engines that failed.");
  stream_resumes_total = AddCounter("stream_resumes_total", "Streams resumed after a break.");
  load_decisions_total = AddCounter("load_decisions_total", "Loads decided and recorded.");
  retries_total = AddCounter("retries_total", "Retries that the retry budget allowed.");
  retries_denied_total =
      AddCounter("retries_denied_total", "Retries refused by the retry budget or the deadline.");
  poison_crashes_total =
      AddCounter("poison_crashes_total", "Requests that were running when an endpoint crashed.");
  poison_trials_total = AddCounter("poison_trials_total", "Suspect requests that were run alone.");
  poison_refusals_total =
      AddCounter("poison_refusals_total", "Requests refused because they crashed two endpoints.");
  poison_unverified_total =
      AddCounter("poison_unverified_total",
                 "Suspect requests not run because their record could not be read or written.");
  load_orders_total = AddCounter("load_orders_total", "Load orders sent, repeats included.");
  unload_orders_total = AddCounter("unload_orders_total", "Unload orders sent, repeats included.");
  undecided_replicas_total =
      AddCounter("undecided_replicas_total", "Replicas found at engines that nobody had decided.");
  placement_writes_total = AddCounter("placement_writes_total", "Placement records written.");
  placement_conflicts_total =
      AddCounter("placement_conflicts_total", "Placement writes lost to another daemon.");
  ownership_changes_total =
      AddCounter("ownership_changes_total", "Placement groups taken over or given up.");
  record_writes_total = AddCounter("record_writes_total", "Request record values written.");
  record_replays_total =
      AddCounter("record_replays_total", "Repeated requests that were answered from their record.");
  record_slots_deleted_total = AddCounter("record_slots_deleted_total",
                                          "Slots of request records deleted after their window.");
  stale_documents_total =
      AddCounter("stale_documents_total", "Environment heads ignored because they were older.");
  task_restarts_total = AddCounter("task_restarts_total", "Tasks restarted by the supervisor.");
  environment_version = AddGauge("environment_version", "Version of the document in force.");
  document_watchers =
      AddGauge("document_watchers", "1 if this daemon watches the document head, else 0.");
  live_members = AddGauge("live_members", "Daemons seen alive, this one included.");
  owned_groups = AddGauge("owned_groups", "Placement groups that this daemon owns.");
  requests_in_flight = AddGauge("requests_in_flight", "Accepted requests that have not ended.");
}

prometheus::Counter* Metrics::AddCounter(const std::string& name, const std::string& help) {
  return &prometheus::BuildCounter().Name(kPrefix + name).Help(help).Register(*registry_).Add({});
}

prometheus::Gauge* Metrics::AddGauge(const std::string& name, const std::string& help) {
  return &prometheus::BuildGauge().Name(kPrefix + name).Help(help).Register(*registry_).Add({});
}

std::string Metrics::Expose() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

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
