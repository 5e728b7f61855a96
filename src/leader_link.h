#ifndef MIMOSABEND_LEADER_LINK_H_
#define MIMOSABEND_LEADER_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "endpoint_stats.h"
#include "fleet_directory.h"
#include "fleet_store.h"
#include "fleet_usage.h"
#include "log.h"
#include "peer_transport.h"
#include "placement_leader.h"
#include "usage_board.h"

namespace mimosabend {

// What a daemon does with the leader's view of the store.
struct RelayedView {
  // How long an answer of the leader stands in for reading the store; zero for never.
  milliseconds lifetime{0};
  std::function<void(FleetEndpoint)> put;
  // The store need not be read until then.
  std::function<void(MonotonicTime)> suspend_reading;
  // The leader has a newer configuration.
  std::function<void()> read_config;
};

// A daemon's link to the placement leader: finds it in the store, or takes the lead if there is
// none, reports what this daemon does, and takes in the leader's news. Not thread-safe.
template <FleetStore Store, FleetEngines Engines>
class LeaderLink {
 public:
  using Leader = PlacementLeader<Store, Engines>;

  // Precondition: all pointers outlive this object.
  LeaderLink(std::string name, Store* store, LeaseKeeper<Store>* lease, PeerClient* peers,
             Leader* leader, FleetDirectory* directory, EndpointStats* stats, UsageBoard* board,
             RelayedView view, std::uint64_t seed)
      : name_(std::move(name)),
        store_(store),
        lease_(lease),
        peers_(peers),
        leader_(leader),
        directory_(directory),
        stats_(stats),
        board_(board),
        view_(std::move(view)),
        random_(seed) {}

  // Reports until Stop is called.
  Task<void> Run() {
    while (!stopping_) {
      const bool reported = co_await ReportOnce();
      const MonotonicTime now = MonotonicNow();
      if (!reported && now - last_search_ >= kSearchPeriod) {
        last_search_ = now;
        co_await FindLeader();
        continue;
      }
      co_await Pause(reported);
    }
  }

  void Stop() { stopping_ = true; }

  // Takes the lead no more.
  void StandBack() { may_lead_ = false; }

  // Asks the leader to place an adapter at an engine.
  Task<bool> PlaceAdapter(AdapterRequest request) {
    if (leader_->IsLeader(MonotonicNow())) {
      const AdapterAnswer answer = co_await leader_->PlaceAdapter(std::move(request));
      co_return answer.placed;
    }
    if (!leader_address_) co_return false;
    const Address address = *leader_address_;
    auto answer =
        co_await peers_->template Call<AdapterAnswer>(address, std::move(request), kAdapterTimeout);
    co_return answer&& answer.value().placed;
  }

  // Daemons that report to the leader, as far as this one knows.
  std::uint32_t daemons() const { return daemons_; }

  // Whether a load of the model has been ordered, and when it should end.
  std::optional<MonotonicTime> LoadEnd(const std::string& model) const {
    const auto it = loads_.find(model);
    return it == loads_.end() ? std::nullopt : std::optional(it->second);
  }

  // Whether a leader has answered lately.
  bool has_leader(MonotonicTime now) const { return now < answered_at_ + AnswerLifetime(); }

 private:
  // Long enough for the first answer of a term, which holds the whole directory, on a slow link.
  static constexpr milliseconds kReportTimeout{800};
  static constexpr milliseconds kAdapterTimeout{600};
  static constexpr milliseconds kSearchPeriod{250};
  // Spreads the daemons that find no leader, so that few of them write to the store.
  static constexpr milliseconds kLargestClaimDelay{400};
  static constexpr milliseconds kLeaseWait{300};
  static constexpr milliseconds kLeasePoll{20};
  // While the leader's view of the store is old, all daemons together look this often whether
  // another one leads.
  static constexpr milliseconds kLookPeriodPerDaemon{25};
  static constexpr milliseconds kLeastLookPeriod{500};
  // Pause between reports while requests wait for a model.
  static constexpr milliseconds kUrgentPeriod{60};
  static constexpr milliseconds kFirstPeriod{250};
  // An answer counts for this long at least, and until two more reports should have been answered.
  static constexpr milliseconds kLeastAnswerLifetime{2000};
  static constexpr int kReportsPerAnswerLifetime = 2;

  milliseconds AnswerLifetime() const {
    return std::max(kLeastAnswerLifetime, period_ * kReportsPerAnswerLifetime);
  }

  Task<void> Pause(bool reported) {
    const MonotonicTime now = MonotonicNow();
    if (board_->HasWaiting()) {
      co_await Sleep(kUrgentPeriod);
      co_return;
    }
    co_await board_->waiting_began().WaitUntil(now + (reported ? period_ : kFirstPeriod));
  }

  // Sends a report. Returns true if a leader has taken it in.
  Task<bool> ReportOnce() {
    UsageReport report;
    report.fence = known_fence_;
    report.news_version = known_news_;
    report.directory_version = known_directory_;
    for (const auto& [id, work] : stats_->own()) {
      const auto number = numbers_.find(id);
      if (work.requests == 0 || number == numbers_.end()) continue;
      report.loads.emplace_back(number->second, work);
      std::vector<ModelRuns> runs = board_->RunsAt(id);
      if (!runs.empty()) report.runs.push_back({number->second, std::move(runs)});
    }
    for (const std::string& id : stats_->Unreachable(MonotonicNow())) {
      const auto number = numbers_.find(id);
      if (number != numbers_.end()) report.unreachable.push_back(number->second);
    }
    if (leader_->IsLeader(MonotonicNow())) {
      report.models = board_->Take();
      Apply(leader_->HandleReport(name_, report, MonotonicNow()));
      co_return true;
    }
    if (!leader_address_) co_return false;
    report.models = board_->Take();
    const Address address = *leader_address_;
    const MonotonicTime sent_at = MonotonicNow();
    auto answer = co_await peers_->template Call<UsageAnswer>(address, report, kReportTimeout);
    const bool former = answer && answer.value().fence < known_fence_;
    if (!answer || !answer.value().is_leader || former) {
      board_->Return(report.models);
      if (!answer && ++failures_ < 2) co_return false;
      leader_address_.reset();
      co_return false;
    }
    failures_ = 0;
    ApplyView(answer.value(), sent_at);
    Apply(answer.value());
    if (answer.value().resigning) NoteHandover(answer.value());
    co_await LookForOtherLeader(answer.value().store_is_fresh);
    co_return true;
  }

  // Takes the leader's view of the store for this daemon's own.
  void ApplyView(const UsageAnswer& answer, MonotonicTime sent_at) {
    if (view_.lifetime.count() == 0 || !answer.store_is_fresh) return;
    const MonotonicTime now = MonotonicNow();
    const bool whole = answer.fence != known_fence_ || known_directory_ == 0;
    std::set<std::string> ids;
    for (const EndpointChange& change : answer.directory) {
      if (change.gone) {
        directory_->Remove(change.id, now);
        continue;
      }
      ids.insert(change.id);
      FleetEndpoint endpoint = ToEndpoint(change);
      const DirectoryEntry* known = directory_->Find(change.id);
      if (known != nullptr) endpoint.holdings = known->endpoint.holdings;
      view_.put(std::move(endpoint));
    }
    if (whole) directory_->KeepOnly(ids, now);
    if (!answer.directory.empty()) board_->changed().NotifyAll();
    const auto config = directory_->config();
    if (config == nullptr || answer.config_version > config->version) view_.read_config();
    view_.suspend_reading(sent_at + view_.lifetime);
  }

  // Learns which numbers stand for which endpoints.
  void LearnNumbers(const UsageAnswer& answer) {
    if (answer.fence != known_fence_) {
      known_directory_ = 0;
      numbers_.clear();
      endpoints_.clear();
    }
    for (const EndpointChange& change : answer.directory) {
      numbers_[change.id] = change.number;
      endpoints_[change.number] = {change.id, change.started_ms};
    }
    known_fence_ = answer.fence;
    // While the leader's view is old, this daemon follows the store itself and then needs the whole
    // directory again.
    known_directory_ = answer.store_is_fresh ? answer.directory_version : 0;
  }

  void Apply(const UsageAnswer& answer) {
    const MonotonicTime now = MonotonicNow();
    LearnNumbers(answer);
    answered_at_ = now;
    bool all_known = true;
    daemons_ = std::max(1U, answer.daemons);
    period_ = milliseconds(std::max(1U, answer.next_report_ms));
    directory_->RefreshKnown(now);
    for (const EndpointNews& news : answer.news) {
      EngineHoldings holdings;
      for (const ModelNews& model : news.models) {
        holdings.models.push_back({model.name, model.adapters});
      }
      const auto endpoint = endpoints_.find(news.number);
      if (endpoint == endpoints_.end()) {
        all_known = false;
        continue;
      }
      directory_->NoteKnown(endpoint->second.id, endpoint->second.started_ms, holdings, now);
    }
    // News of endpoints that are not known yet is asked for again.
    if (all_known) known_news_ = answer.news_version;
    std::map<std::string, EndpointWork> others;
    for (const EndpointLoad& load : answer.others) {
      const auto endpoint = endpoints_.find(load.number);
      if (endpoint != endpoints_.end()) others[endpoint->second.id] = load.Work();
    }
    stats_->SetOthers(std::move(others), now + AnswerLifetime());
    loads_.clear();
    for (const PendingLoad& load : answer.loads) {
      loads_[load.model] = now + milliseconds(load.ready_in_ms);
    }
    if (!answer.news.empty()) board_->changed().NotifyAll();
  }

  // Looks the leader up in the store, or takes the lead.
  Task<void> FindLeader() {
    auto entry = co_await store_->Read(kLeaderKey);
    if (!entry || stopping_) co_return;
    const auto record = ParseLeaderRecord(entry.value().value);
    if (entry.value().exists() && record) {
      // A claim of this process whose answer was lost.
      if (leader_->AdoptClaim(*record, entry.value().version)) co_return;
      if (record->address == leader_->peer_address()) co_return co_await EndFormerLease(*record);
      claiming_ = false;
      leader_->NoteOtherLeader();
      leader_address_ = record->address;
      peers_->set_shared_key(record->message_key);
      // Only a daemon that leads, or is about to, needs a lease.
      lease_->SetWanted(false);
      co_return;
    }
    co_await Claim();
  }

  // Ends the lease of a former process of this host, which can't lead any more since this one
  // listens at its address, and claims the lead without waiting for others to do so.
  Task<void> EndFormerLease(LeaderRecord record) {
    LOG4CPLUS_INFO(Log(), "ends the lease " << record.lease << " of a former process");
    auto revoked = co_await store_->RevokeLease(record.lease);
    if (!revoked) co_return;
    claiming_ = true;
    last_search_ = MonotonicTime();
  }

  // Takes the lead. Most daemons see another one's claim when they read the key a second time.
  Task<void> Claim() {
    if (!may_lead_) co_return;
    if (!claiming_) {
      claiming_ = true;
      last_search_ = MonotonicTime();
      co_await Sleep(milliseconds(
          std::uniform_int_distribution<std::int64_t>(0, kLargestClaimDelay.count())(random_)));
      co_return;
    }
    claiming_ = false;
    lease_->SetWanted(true);
    const MonotonicTime give_up = MonotonicNow() + kLeaseWait;
    while (lease_->SafeLease(MonotonicNow()) == nullptr && MonotonicNow() < give_up) {
      co_await Sleep(kLeasePoll);
    }
    co_await leader_->TryTakeLead();
  }

  // Ages count from now, so that no order seems older than it is.
  void NoteHandover(const UsageAnswer& answer) {
    Handover handover;
    handover.holder = answer.holder;
    const MonotonicTime now = MonotonicNow();
    for (const RecentOrder& order : answer.recent_orders) {
      const auto endpoint = endpoints_.find(order.number);
      if (endpoint == endpoints_.end()) return;
      handover.last_orders[endpoint->second.id] = now - milliseconds(order.age_ms);
    }
    leader_->NoteHandover(std::move(handover));
  }

  // Looks for another leader if the present one can't reach the store.
  Task<void> LookForOtherLeader(bool store_is_fresh) {
    const MonotonicTime now = MonotonicNow();
    if (store_is_fresh) fresh_at_ = now;
    const milliseconds period = std::max(kLeastLookPeriod, kLookPeriodPerDaemon * daemons_);
    if (now - std::max(fresh_at_, last_search_) < period) co_return;
    last_search_ = now;
    co_await FindLeader();
  }

  std::string name_;
  Store* store_;
  LeaseKeeper<Store>* lease_;
  PeerClient* peers_;
  Leader* leader_;
  FleetDirectory* directory_;
  EndpointStats* stats_;
  UsageBoard* board_;
  RelayedView view_;
  std::mt19937_64 random_;
  struct NumberedEndpoint {
    std::string id;
    std::int64_t started_ms = 0;
  };
  std::map<std::string, std::uint32_t> numbers_;
  std::map<std::uint32_t, NumberedEndpoint> endpoints_;
  std::optional<Address> leader_address_;
  std::uint64_t known_fence_ = 0;
  std::uint64_t known_news_ = 0;
  std::uint64_t known_directory_ = 0;
  std::uint32_t daemons_ = 1;
  milliseconds period_ = kFirstPeriod;
  int failures_ = 0;
  std::map<std::string, MonotonicTime> loads_;
  MonotonicTime answered_at_;
  MonotonicTime last_search_;
  MonotonicTime fresh_at_;
  // The key of the leader was missing when it was last read.
  bool claiming_ = false;
  bool may_lead_ = true;
  bool stopping_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LEADER_LINK_H_
