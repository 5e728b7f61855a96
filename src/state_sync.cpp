#include "state_sync.h"

#include "event_loop.h"
#include "log.h"

namespace mimosabend {

namespace {

constexpr milliseconds kViewTimeout{500};
// A configuration has a few tens of kilobytes, and small hosts have slow links.
constexpr milliseconds kConfigTimeout{1500};

}  // namespace

EngineHoldings ToHoldings(const HoldingsUpdate& update) {
  EngineHoldings holdings;
  for (const ModelHoldings& model : update.models) {
    holdings.models.push_back({model.name, model.adapters});
  }
  return holdings;
}

// Uses changed entries that were known from another daemon.
void StateSync::ApplyChanges(const std::vector<EndpointRecord>& changes, MissingCause cause,
                             const std::string& daemon) {
  const MonotonicTime now = MonotonicNow();
  for (const EndpointRecord& change : changes) {
    if (change.gone) {
      LOG4CPLUS_INFO(Log(), "endpoint " << change.id << " was deleted, known from " << daemon);
      directory_->Remove(change.id, now, cause);
      continue;
    }
    FleetEndpoint endpoint = ToEndpoint(change);
    const DirectoryEntry* known = directory_->Find(change.id);
    if (known != nullptr) endpoint.holdings = known->endpoint.holdings;
    hooks_.put(std::move(endpoint));
  }
  if (!changes.empty()) usage_->endpoints_changed().NotifyAll();
}

void StateSync::ApplyLeft(const UsageReport& report, const std::string& daemon) {
  ApplyChanges(state_->directory().MergeLeft(report.left, report.known.directory_revision.era),
               MissingCause::kDeleted, daemon);
}

void StateSync::Apply(const StoreView& view, const Address& daemon, MonotonicTime asked_at) {
  const MonotonicTime confirmed_at = asked_at - milliseconds(view.age_ms);
  hooks_.learn_era(view.directory.revision.era, daemon);
  const bool new_era = view.directory.revision.era > state_->directory().revision().era;
  ApplyChanges(state_->directory().Merge(view.directory),
               new_era ? MissingCause::kRestored : MissingCause::kDeleted, ToString(daemon));
  if (view.config_version > state_->config().version()) {
    if (!fetching_config_) {
      SpawnDetached(executor_, "configuration request", FetchConfig(daemon, confirmed_at));
    }
    return;
  }
  // Only a daemon with the same configuration and an equally recent directory confirms this view.
  const bool is_current = view.config_version == state_->config().version() &&
                          view.directory.revision >= state_->directory().revision();
  if (is_current && view.config_version > 0) state_->Confirm(confirmed_at);
}

Task<void> StateSync::RequestView(Address daemon) {
  ViewRequest request;
  request.directory_revision = state_->directory().revision();
  const MonotonicTime asked_at = MonotonicNow();
  request.evidence = evidence_->MakeRequest(daemon, asked_at);
  auto answer = co_await peers_->Call<ViewAnswer>(daemon, request, kViewTimeout);
  if (!answer) co_return;
  evidence_->HandleAnswer(daemon, answer.value().evidence, MonotonicNow());
  state_->UpdateLeader(answer.value().leader, asked_at);
  Apply(answer.value().view, daemon, asked_at);
}

Task<void> StateSync::FetchConfig(Address daemon, MonotonicTime confirmed_at) {
  fetching_config_ = true;
  auto answer =
      co_await peers_->Call<DocumentAnswer>(daemon, state_->config().MakeRequest(), kConfigTimeout);
  fetching_config_ = false;
  if (answer) {
    const auto document = state_->config().ApplyAnswer(answer.value());
    const bool adopted = document && hooks_.adopt_config(*document);
    if (adopted) {
      state_->Confirm(confirmed_at);
      co_return;
    }
  }
  LOG4CPLUS_WARN(Log(), "could not fetch the configuration from " << ToString(daemon)
                                                                  << ", reading it from the store");
  hooks_.read_config();
}

}  // namespace mimosabend
