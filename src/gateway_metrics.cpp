#include "gateway_metrics.h"

#include "bounded_appender.h"
#include "event_loop.h"
#include "library_assertions.h"
#include "store_era.h"

namespace mimosabend {

GatewayMetrics::GatewayMetrics(RelayMetrics* metrics, Parts parts)
    : metrics_(metrics),
      parts_(parts),
      caller_metrics_(metrics->registry()),
      store_calls_(metrics->store_calls_total),
      store_errors_(metrics->store_errors_total),
      listing_pages_(metrics->store_listing_pages_total),
      restores_(metrics->store_restores_total),
      dropped_responses_(metrics->store_dropped_responses_total),
      invalid_eras_(metrics->store_invalid_eras_total),
      connections_(metrics->connections_opened_total),
      dropped_lines_(metrics->log_lines_dropped_total),
      rejected_(metrics->invalid_requests_total),
      failed_assertions_(metrics->library_assertions_total),
      exceptions_(metrics->exceptions_total),
      prefix_evictions_(metrics->prefix_evictions_total) {}

void GatewayMetrics::Update(std::size_t invalid_entries, bool leads_placement) {
  caller_metrics_.Update(*parts_.caller_server, *parts_.memory);
  UpdateCounters();
  metrics_->prefix_parts->Set(static_cast<double>(parts_.prefixes->parts()));
  metrics_->crash_suspects->Set(static_cast<double>(parts_.evidence->suspects()));
  metrics_->contained_parts->Set(static_cast<double>(parts_.part_evidence->contained()));
  metrics_->cut_off_services->Set(static_cast<double>(parts_.reach->cut_off()));
  metrics_->limited_endpoints->Set(static_cast<double>(parts_.limits->size()));
  metrics_->invalid_entries->Set(static_cast<double>(invalid_entries));
  metrics_->stream_origins->Set(static_cast<double>(parts_.streams->streams()));
  metrics_->brittle_endpoints->Set(static_cast<double>(parts_.brittle->size()));
  metrics_->endpoints->Set(static_cast<double>(parts_.directory->entries().size()));
  metrics_->requests_in_flight->Set(static_cast<double>(parts_.relay->in_flight()));
  metrics_->leads_placement->Set(leads_placement ? 1 : 0);
}

void GatewayMetrics::UpdateCounters() {
  const platform::PlatformStore& store = *parts_.store;
  const StoreEra& era = store.era();
  store_calls_.Update(store.calls());
  store_errors_.Update(store.errors());
  listing_pages_.Update(store.listing_pages());
  restores_.Update(era.begun());
  dropped_responses_.Update(era.dropped());
  invalid_eras_.Update(era.invalid());
  connections_.Update(parts_.endpoint_client->connections_opened());
  dropped_lines_.Update(BoundedAppender::dropped_lines_total());
  rejected_.Update(parts_.caller_server->rejected_requests());
  failed_assertions_.Update(FailedLibraryAssertions());
  exceptions_.Update(ReportedExceptions());
  prefix_evictions_.Update(parts_.prefixes->evictions());
}

}  // namespace mimosabend
