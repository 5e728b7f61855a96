#include "state_sync.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "log.h"

namespace mimosabend {

namespace {

constexpr milliseconds kAskTimeout{500};
// A configuration has some ten kilobytes, and small hosts have slow links.
constexpr milliseconds kConfigTimeout{1500};

}  // namespace

EngineHoldings ToHoldings(const EndpointNews& news) {
  EngineHoldings holdings;
  for (const ModelNews& model : news.models) {
    holdings.models.push_back({model.name, model.adapters});
  }
  return holdings;
}

void StateSync::Apply(const StoreView& view, const Address& daemon, MonotonicTime asked) {
  const MonotonicTime now = MonotonicNow();
  const MonotonicTime confirmed = asked - milliseconds(view.age_ms);
  const std::vector<EndpointChange> merged = state_->directory().Merge(view.directory);
  for (const EndpointChange& change : merged) {
    if (change.gone) {
      directory_->Remove(change.id, now);
      continue;
    }
    FleetEndpoint endpoint = ToEndpoint(change);
    const DirectoryEntry* known = directory_->Find(change.id);
    if (known != nullptr) endpoint.holdings = known->endpoint.holdings;
    hooks_.put(std::move(endpoint));
  }
  if (!merged.empty()) board_->changed().NotifyAll();
  if (view.config_version > state_->config().version()) {
    if (!fetching_) {
      boost::asio::co_spawn(executor_, FetchConfig(daemon, confirmed), boost::asio::detached);
    }
    return;
  }
  // What a daemon does not know everything of is not confirmed by it.
  const bool knows = view.config_version == state_->config().version() &&
                     view.directory.revision >= state_->directory().revision();
  if (knows && view.config_version > 0) state_->Confirm(confirmed);
}

Task<void> StateSync::Ask(Address daemon) {
  ViewRequest request;
  request.directory_revision = state_->directory().revision();
  const MonotonicTime asked = MonotonicNow();
  request.evidence = evidence_->Request(daemon, asked);
  auto answer = co_await peers_->Call<ViewAnswer>(daemon, request, kAskTimeout);
  if (!answer) co_return;
  evidence_->NoteAnswer(daemon, answer.value().evidence, MonotonicNow());
  state_->NoteLeader(answer.value().leader, asked);
  Apply(answer.value().view, daemon, asked);
}

Task<void> StateSync::FetchConfig(Address daemon, MonotonicTime confirmed) {
  fetching_ = true;
  auto answer =
      co_await peers_->Call<DocumentAnswer>(daemon, state_->config().Request(), kConfigTimeout);
  fetching_ = false;
  if (answer) {
    const auto document = state_->config().Join(answer.value());
    const bool adopted = document && hooks_.adopt_config(*document);
    if (adopted) {
      state_->Confirm(confirmed);
      co_return;
    }
  }
  LOG4CPLUS_WARN(
      Log(), "configuration could not be fetched from " << ToString(daemon) << ", reads the store");
  hooks_.read_config();
}

}  // namespace mimosabend
