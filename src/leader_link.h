#ifndef MIMOSABEND_LEADER_LINK_H_
#define MIMOSABEND_LEADER_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "endpoint_stats.h"
#include "fleet_directory.h"
#include "fleet_state.h"
#include "fleet_store.h"
#include "fleet_usage.h"
#include "leader_finder.h"
#include "log.h"
#include "peer_transport.h"
#include "placement_leader.h"
#include "quota_ledger.h"
#include "quota_meter.h"
#include "report_desk.h"
#include "state_sync.h"
#include "uplink.h"
#include "usage_board.h"
#include "view_age.h"

namespace mimosabend {

// How a daemon takes part in spreading the fleet's state.
struct LinkSettings {
  std::string name;
  // Where other daemons reach this one, and what they know of its host.
  DaemonInfo self;
  // Daemons to ask when no relay is known.
  std::vector<Address> seeds;
  // How long what other daemons tell of the store stands in for reading it, beyond kStoreFreshness;
  // zero for never.
  milliseconds relayed_lifetime{0};
  // Units beyond a customer's quota that the operator lets pass.
  double quota_tolerance = 0;
  // The store need not be read until then.
  std::function<void(MonotonicTime)> suspend_reading;
};

// A daemon's link to the placement leader: finds it, or takes the lead if there is none, reports
// what this daemon and those that report to it do, and takes in and passes on the fleet's state.
// Not thread-safe.
template <FleetStore Store, FleetEngines Engines>
class LeaderLink {
 public:
  using Leader = PlacementLeader<Store, Engines>;
  using Finder = LeaderFinder<Store, Engines>;

  // What the link works with. Precondition: all pointers outlive the link.
  struct Parts {
    PeerClient* peers;
    Leader* leader;
    Finder* finder;
    FleetState* state;
    StateSync* sync;
    FleetDirectory* directory;
    EndpointStats* stats;
    UsageBoard* board;
    EvidenceExchange* evidence;
    QuotaMeter* quota;
  };

  LeaderLink(LinkSettings settings, Parts parts, std::uint64_t seed)
      : settings_(std::move(settings)),
        parts_(parts),
        uplink_(settings_.self.address, settings_.self.failure_domain),
        random_(seed) {}

  // Reports until Stop is called.
  Task<void> Run() {
    while (!stopping_) {
      uplink_.Update(parts_.state->plan(), KnownLeader());
      const bool answered = co_await ReportOnce();
      if (stopping_) break;
      if (ShouldSearch(MonotonicNow())) {
        last_search_ = MonotonicNow();
        co_await parts_.finder->Search();
        continue;
      }
      co_await Pause(answered);
    }
  }

  // Asks other daemons for what they know of the store while this one's view of it is old, until
  // Stop is called.
  Task<void> RunViewRequests() {
    std::size_t next = 0;
    while (!stopping_) {
      co_await Sleep(kViewPeriod);
      if (!LooksForViews(MonotonicNow())) continue;
      const std::vector<Address> relays = uplink_.Relays();
      const std::vector<Address>& sources = relays.empty() ? settings_.seeds : relays;
      if (!sources.empty()) co_await parts_.sync->Ask(sources[next++ % sources.size()]);
    }
  }

  void Stop() { stopping_ = true; }

  // The quota use of this daemon should reach the leader at once.
  void ReportAtOnce() {
    urgent_ = true;
    parts_.board->waiting_began().NotifyAll();
  }

  // Answers the report of another daemon.
  UsageAnswer HandleReport(const std::string& sender, const UsageReport& report,
                           MonotonicTime now) {
    NoteLeaving(report.leaving);
    UsageAnswer answer = parts_.leader->IsLeader(now) ? LeadReport(sender, report, now)
                                                      : RelayReport(sender, report, now);
    answer.leaving = LeavingNumbers();
    answer.evidence = parts_.evidence->Answer(report.evidence, now);
    return answer;
  }

  // Asks the leader to place an adapter at an engine.
  Task<bool> PlaceAdapter(AdapterRequest request) {
    if (parts_.leader->IsLeader(MonotonicNow())) {
      const AdapterAnswer answer = co_await parts_.leader->PlaceAdapter(std::move(request));
      co_return answer.placed;
    }
    const std::optional<Address> leader = KnownLeader();
    if (!leader) co_return false;
    auto answer = co_await parts_.peers->template Call<AdapterAnswer>(*leader, std::move(request),
                                                                      kAdapterTimeout);
    co_return answer&& answer.value().placed;
  }

  // Daemons that report to the leader, as far as this one knows.
  std::uint32_t daemons() const { return daemons_; }

  // Whether a load of the model has been ordered, and when it should end.
  std::optional<MonotonicTime> LoadEnd(const std::string& model) const {
    const auto it = loads_.find(model);
    return it == loads_.end() ? std::nullopt : std::optional(it->second);
  }

  // Whether a leader has been heard of lately.
  bool has_leader(MonotonicTime now) const {
    return now < parts_.state->leader_heard() + AnswerLifetime();
  }

 private:
  // Long enough for the whole state of a large fleet on a slow link.
  static constexpr milliseconds kReportTimeout{800};
  static constexpr milliseconds kAdapterTimeout{600};
  static constexpr milliseconds kSearchPeriod{250};
  // A leader that was not heard of for this long is looked up in the store, by daemons that a relay
  // serves much later since the relay does so.
  static constexpr milliseconds kLeaderSilence{900};
  static constexpr milliseconds kLeaderSilenceOfRelayed{6000};
  static constexpr milliseconds kRelayedSearchPeriod{1500};
  // While the view of the store is old, all daemons together look this often whether another one
  // leads.
  static constexpr milliseconds kLookPeriodPerDaemon{25};
  static constexpr milliseconds kLeastLookPeriod{500};
  static constexpr std::uint32_t kMostSearchers = 16;
  // Pause between reports while requests wait for a model.
  static constexpr milliseconds kUrgentPeriod{60};
  static constexpr milliseconds kFirstPeriod{250};
  // Pause between reports to a relay, and what each daemon that reports there adds to it.
  static constexpr milliseconds kRelayedPeriod{400};
  static constexpr int kRelayedMillisPerDaemon = 8;
  // A relay that has not heard of the leader for this long sends its daemons elsewhere.
  static constexpr milliseconds kLostLeaderTime{2500};
  // An answer counts for this long at least, and until two more reports should have been answered.
  static constexpr milliseconds kLeastAnswerLifetime{2000};
  static constexpr int kReportsPerAnswerLifetime = 2;
  static constexpr milliseconds kViewPeriod{300};
  // A daemon behind a relay leaves reading the store to the relays, which have a view of their own
  // when the leader has not, unless the view becomes older than this.
  static constexpr milliseconds kOldestRelayedView{8000};
  static constexpr milliseconds kRelayedPatience{2500};

  milliseconds AnswerLifetime() const {
    return std::max(kLeastAnswerLifetime, period_ * kReportsPerAnswerLifetime);
  }

  // The leader, unless that is this daemon.
  std::optional<Address> KnownLeader() const {
    const auto leader = parts_.state->leader();
    return leader && *leader != settings_.self.address ? leader : std::nullopt;
  }

  // Whether a relay passes this daemon's reports on.
  bool IsRelayed() const {
    return parts_.state->plan().relaying && !uplink_.is_relay() &&
           parts_.state->plan().Find(settings_.self.failure_domain) != nullptr;
  }

  bool ShouldSearch(MonotonicTime now) const {
    if (parts_.leader->IsLeader(now)) return ShouldLook(now);
    const bool relayed = IsRelayed();
    const milliseconds period = relayed ? kRelayedSearchPeriod : kSearchPeriod;
    const milliseconds silence = relayed ? kLeaderSilenceOfRelayed : kLeaderSilence;
    if (now - last_search_ < period) return false;
    return now - parts_.state->leader_heard() >= silence || ShouldLook(now);
  }

  // Whether to look for another leader, since the present one can't reach the store.
  bool ShouldLook(MonotonicTime now) const {
    if (IsRelayed()) return false;
    const std::uint32_t searchers = std::min(daemons_, kMostSearchers);
    const milliseconds period = std::max(kLeastLookPeriod, kLookPeriodPerDaemon * searchers);
    return now - parts_.state->confirmed() >= kStoreFreshness && now - last_search_ >= period;
  }

  bool LooksForViews(MonotonicTime now) const {
    return now - parts_.state->confirmed() >= kStoreFreshness;
  }

  Task<void> Pause(bool answered) {
    const MonotonicTime now = MonotonicNow();
    if (parts_.board->HasWaiting() || desk_.HasWaiting(now)) {
      co_await Sleep(kUrgentPeriod);
      co_return;
    }
    co_await parts_.board->waiting_began().WaitUntil(now + (answered ? period_ : kFirstPeriod));
  }

  // Endpoints that have said to some daemon that they leave.
  std::vector<std::uint32_t> LeavingNumbers() const {
    std::vector<std::uint32_t> numbers;
    for (const std::string& id : parts_.directory->Leaving()) {
      const auto number = parts_.state->directory().NumberOf(id);
      if (number) numbers.push_back(*number);
    }
    return numbers;
  }

  void NoteLeaving(const std::vector<std::uint32_t>& numbers) {
    for (std::uint32_t number : numbers) {
      const EndpointChange* endpoint = parts_.state->directory().FindNumber(number);
      if (endpoint != nullptr) parts_.directory->NoteLeaving(endpoint->id, endpoint->started_ms);
    }
  }

  // Answers as the leader.
  UsageAnswer LeadReport(const std::string& sender, const UsageReport& report, MonotonicTime now) {
    UsageAnswer answer = parts_.leader->HandleReport(sender, report, now);
    if (quota_fence_ != parts_.leader->fence()) {
      quota_fence_ = parts_.leader->fence();
      quota_ledger_.Reset(now);
    }
    quota_ledger_.Note(report.quota, now);
    const auto config = parts_.directory->config();
    if (config == nullptr || !config->customers) return answer;
    answer.quota = quota_ledger_.Shares(*config->customers, settings_.quota_tolerance, now);
    answer.quota_known = quota_ledger_.IsKnown(now);
    return answer;
  }

  // What this daemon does itself.
  UsageReport MakeReport() {
    UsageReport report;
    report.sender = settings_.self;
    report.known = {parts_.state->config().version(), parts_.state->directory().revision(),
                    parts_.state->holdings().version(), parts_.state->plan().version};
    report.models = parts_.board->Take();
    for (const auto& [id, work] : parts_.stats->own()) {
      const auto number = parts_.state->directory().NumberOf(id);
      if (work.requests == 0 || !number) continue;
      report.loads.emplace_back(*number, work);
      std::vector<ModelRuns> runs = parts_.board->RunsAt(id);
      if (!runs.empty()) report.runs.push_back({*number, std::move(runs)});
    }
    for (const std::string& id : parts_.stats->Unreachable(MonotonicNow())) {
      const auto number = parts_.state->directory().NumberOf(id);
      if (number) report.unreachable.push_back(*number);
    }
    report.leaving = LeavingNumbers();
    report.quota = parts_.quota->Take();
    report.urgent = urgent_;
    urgent_ = false;
    return report;
  }

  // Sends a report. Returns true if it was taken in.
  Task<bool> ReportOnce() {
    const MonotonicTime sent_at = MonotonicNow();
    UsageReport report = MakeReport();
    if (parts_.leader->IsLeader(sent_at)) {
      const UsageAnswer answer = LeadReport(settings_.name, report, MonotonicNow());
      Apply(answer, sent_at);
      settings_.suspend_reading(MonotonicTime());
      co_return true;
    }
    desk_.Merge(settings_.name, &report, sent_at);
    const std::optional<Address> uplink = uplink_.Next(sent_at);
    if (!uplink) {
      desk_.Return(report);
      co_return false;
    }
    report.evidence = parts_.evidence->Request(*uplink, sent_at);
    auto answer =
        co_await parts_.peers->template Call<UsageAnswer>(*uplink, report, kReportTimeout);
    const MonotonicTime now = MonotonicNow();
    if (answer) parts_.evidence->NoteAnswer(*uplink, answer.value().evidence, now);
    const bool accepted = answer && answer.value().accepted &&
                          answer.value().leader.fence >= parts_.state->leader_fence();
    if (!accepted) {
      desk_.Return(report);
      // Who was known to lead says that it does not, so another one is looked for at once.
      const bool leads_no_more = answer && !answer.value().accepted && uplink == KnownLeader();
      if (leads_no_more) parts_.state->ForgetLeader();
      uplink_.NoteFailed(now);
      co_return false;
    }
    uplink_.NoteAnswered();
    parts_.sync->Apply(answer.value().view, *uplink, sent_at);
    Apply(answer.value(), sent_at);
    SuspendReading(now);
    if (answer.value().resigning) NoteHandover(answer.value());
    co_return true;
  }

  // Leaves reading the store to others as long as what they tell is recent enough.
  void SuspendReading(MonotonicTime now) {
    if (settings_.relayed_lifetime.count() == 0) return;
    const MonotonicTime confirmed = parts_.state->confirmed();
    MonotonicTime until = confirmed + kStoreFreshness + settings_.relayed_lifetime;
    if (IsRelayed() && now - confirmed < kOldestRelayedView) {
      const std::int64_t spread = kRelayedPatience.count();
      until = std::max(
          until, now + kRelayedPatience +
                     milliseconds(std::uniform_int_distribution<std::int64_t>(0, spread)(random_)));
    }
    settings_.suspend_reading(until);
  }

  void Apply(const UsageAnswer& answer, MonotonicTime sent_at) {
    const MonotonicTime now = MonotonicNow();
    parts_.state->NoteLeader(answer.leader, sent_at);
    if (!answer.plan.domains.empty() || answer.plan.version > parts_.state->plan().version) {
      parts_.state->AdoptPlan(answer.plan);
    }
    daemons_ = std::max(1U, answer.daemons);
    period_ = milliseconds(std::max(1U, answer.next_report_ms));
    parts_.directory->RefreshKnown(parts_.state->leader_heard());
    if (answer.quota_known) {
      const bool first = !parts_.quota->informed();
      parts_.quota->SetShares(answer.quota, daemons_, parts_.state->leader_heard());
      if (first) parts_.board->changed().NotifyAll();
    }
    for (const EndpointNews& news : answer.news) parts_.state->holdings().Note(news);
    ApplyNews(now);
    NoteLeaving(answer.leaving);
    desk_.SetOutside(answer.others);
    SetOthers(answer, now);
    loads_.clear();
    for (const PendingLoad& load : answer.loads) {
      const MonotonicTime end = now + milliseconds(load.ready_in_ms);
      const auto [known, first] = loads_.try_emplace(load.model, end);
      if (!first) known->second = std::min(known->second, end);
    }
  }

  // Uses what has been published since the last time, by this daemon if it leads.
  void ApplyNews(MonotonicTime now) {
    const std::vector<EndpointNews> fresh = parts_.state->holdings().Since(applied_news_);
    applied_news_ = parts_.state->holdings().version();
    for (const EndpointNews& news : fresh) {
      const EndpointChange* endpoint = parts_.state->directory().FindNumber(news.number);
      if (endpoint == nullptr) continue;
      parts_.directory->NoteKnown(endpoint->id, endpoint->started_ms, ToHoldings(news), now);
    }
    if (!fresh.empty()) parts_.board->changed().NotifyAll();
  }

  // Notes what all other daemons have, whether they report through this one or not.
  void SetOthers(const UsageAnswer& answer, MonotonicTime now) {
    std::map<std::string, EndpointWork> others;
    const bool leads = parts_.leader->IsLeader(now);
    const auto loads = leads ? answer.others : desk_.OthersOf(settings_.name);
    for (const EndpointLoad& load : loads) {
      const EndpointChange* endpoint = parts_.state->directory().FindNumber(load.number);
      if (endpoint != nullptr) others[endpoint->id] = load.Work();
    }
    parts_.stats->SetOthers(std::move(others), now + AnswerLifetime());
  }

  // Answers for the leader from what this daemon knows.
  UsageAnswer RelayReport(const std::string& sender, const UsageReport& report, MonotonicTime now) {
    UsageAnswer answer;
    const FleetState& state = *parts_.state;
    // A leader whose lease is not safe is no leader, and passes nothing on to one.
    if (state.leader() == settings_.self.address) return answer;
    if (now - state.leader_heard() >= kLostLeaderTime) return answer;
    desk_.Note(sender, report, now);
    if (report.urgent) urgent_ = true;
    if (report.urgent || desk_.HasWaiting(now)) parts_.board->waiting_began().NotifyAll();
    answer.accepted = true;
    answer.quota = parts_.quota->Shares();
    answer.quota_known = parts_.quota->IsLed(now);
    answer.leader = state.Notice(now);
    answer.daemons = daemons_;
    answer.next_report_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
        kRelayedPeriod.count(),
        static_cast<std::int64_t>(desk_.daemons()) * kRelayedMillisPerDaemon));
    AddState(state, report.known, now, &answer);
    answer.others = desk_.OthersOf(sender);
    std::erase_if(answer.others,
                  [&](const EndpointLoad& load) { return IsLight(state.directory(), load); });
    for (const auto& [model, end] : loads_) {
      const auto left = ToMillis(end - now).count();
      answer.loads.push_back({model, static_cast<std::uint32_t>(std::max<std::int64_t>(0, left))});
    }
    return answer;
  }

  // Ages count from now, so that no order seems older than it is.
  void NoteHandover(const UsageAnswer& answer) {
    Handover handover;
    handover.holder = answer.holder;
    const MonotonicTime now = MonotonicNow();
    for (const RecentOrder& order : answer.recent_orders) {
      const EndpointChange* endpoint = parts_.state->directory().FindNumber(order.number);
      if (endpoint == nullptr) return;
      handover.last_orders[endpoint->id] = now - milliseconds(order.age_ms);
    }
    parts_.leader->NoteHandover(std::move(handover));
  }

  LinkSettings settings_;
  Parts parts_;
  Uplink uplink_;
  ReportDesk desk_;
  std::mt19937_64 random_;
  std::uint32_t daemons_ = 1;
  milliseconds period_ = kFirstPeriod;
  std::map<std::string, MonotonicTime> loads_;
  // Version of the news that this daemon's directory shows.
  std::uint64_t applied_news_ = 0;
  MonotonicTime last_search_;
  // Used while this daemon leads.
  QuotaLedger quota_ledger_;
  std::uint64_t quota_fence_ = 0;
  bool urgent_ = false;
  bool stopping_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LEADER_LINK_H_
