#ifndef MIMOSABEND_LEADER_LINK_H_
#define MIMOSABEND_LEADER_LINK_H_

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "brittle_endpoints.h"
#include "endpoint_limits.h"
#include "endpoint_stats.h"
#include "fleet_directory.h"
#include "fleet_state.h"
#include "fleet_store.h"
#include "fleet_usage.h"
#include "helper_notices.h"
#include "leader_finder.h"
#include "log.h"
#include "peer_transport.h"
#include "permit_issuer.h"
#include "placement_leader.h"
#include "quota_allocator.h"
#include "quota_meter.h"
#include "report_aggregator.h"
#include "slot_share_allocator.h"
#include "state_sync.h"
#include "stream_versions.h"
#include "uplink.h"
#include "usage_collector.h"
#include "view_age.h"
#include "wait_policy.h"

namespace mimosabend {

// How a daemon takes part in the exchange of the fleet's state.
struct LinkSettings {
  std::string name;
  // Where other daemons reach this one, and what they know of its host.
  DaemonInfo self;
  // Daemons to ask when no relay is known.
  std::vector<Address> seeds;
  // How long beyond kStoreFreshness another daemon's view of the store is used instead of reading
  // the store; zero if never.
  milliseconds relayed_view_lifetime{0};
  // Units beyond a customer's quota that the operator tolerates.
  double quota_tolerance = 0;
  // Called with the time until which this daemon need not read the store.
  std::function<void(MonotonicTime)> suspend_reading;
  // How quotas are divided while this daemon leads.
  QuotaOrder quota_order = QuotaOrder::kEqual;
  // What DaemonInfo::cut_off is now. May be empty.
  std::function<std::uint8_t()> cut_off = nullptr;
  // Takes the daemons to which requests may be passed on, see HelperList::SetNamed. May be empty.
  std::function<void(const std::vector<Address>& helpers, bool complete, MonotonicTime now)>
      set_helpers = nullptr;
};

// A daemon's link to the placement leader. Finds the leader, or claims leadership if there is none;
// reports the usage of this daemon and of those that report through it; applies the fleet's state
// from the answers and passes it on. Not thread-safe.
template <FleetStore Store, FleetEngines Engines>
class LeaderLink {
 public:
  using Leader = PlacementLeader<Store, Engines>;
  using Finder = LeaderFinder<Store, Engines>;

  // Dependencies of the link. Precondition: all pointers outlive it.
  struct Parts {
    PeerClient* peers;
    Leader* leader;
    Finder* finder;
    FleetState* state;
    StateSync* sync;
    FleetDirectory* directory;
    EndpointStats* stats;
    UsageCollector* usage;
    EvidenceExchange* evidence;
    QuotaMeter* quota;
    EndpointLimits* limits;
    // May be null.
    StreamVersions* streams = nullptr;
    BrittleEndpoints* brittle = nullptr;
  };

  LeaderLink(LinkSettings settings, Parts parts, std::uint64_t seed)
      : settings_(std::move(settings)),
        parts_(parts),
        uplink_(settings_.self.address, settings_.self.failure_domain),
        random_(seed),
        process_(seed) {
    quota_allocator_.set_order(settings_.quota_order);
  }

  // Reports until Stop is called.
  Task<void> Run() {
    while (!stopping_) {
      uplink_.Update(parts_.state->plan(), KnownLeader());
      const bool answered = co_await ReportOnce();
      if (stopping_) break;
      if (SearchIsDue(MonotonicNow())) {
        last_search_at_ = MonotonicNow();
        co_await parts_.finder->Search();
        continue;
      }
      co_await WaitForNextReport(answered);
    }
  }

  // While this daemon's view of the store is old, asks other daemons for theirs. Runs until Stop is
  // called.
  Task<void> RunViewRequests() {
    std::size_t next = 0;
    while (!stopping_) {
      co_await Sleep(kViewRequestPeriod);
      if (!ViewIsOld(MonotonicNow())) continue;
      const std::vector<Address> relays = uplink_.Relays();
      const std::vector<Address>& sources = relays.empty() ? settings_.seeds : relays;
      if (!sources.empty()) co_await parts_.sync->RequestView(sources[next++ % sources.size()]);
    }
  }

  void Stop() { stopping_ = true; }

  // Sets how quotas are divided while this daemon leads.
  void set_quota_order(QuotaOrder order) { quota_allocator_.set_order(order); }

  // Sends the next report without delay, marked as urgent for the quota.
  void ReportAtOnce() {
    report_is_urgent_ = true;
    parts_.usage->waiting_began().NotifyAll();
  }

  // Answers the report of another daemon, as the leader or as a relay.
  UsageAnswer HandleReport(const std::string& sender, const UsageReport& report,
                           MonotonicTime now) {
    MarkLeaving(report.leaving);
    parts_.sync->ApplyLeft(report, sender);
    AdoptLimits(report.limits, sender, now);
    AdoptBrittle(report.brittle, sender, now);
    UsageAnswer answer = parts_.leader->IsLeader(now) ? AnswerAsLeader(sender, report, now)
                                                      : AnswerAsRelay(sender, report, now);
    answer.leaving = LeavingEndpoints();
    answer.limits = parts_.limits->Notices(now);
    if (parts_.brittle != nullptr) answer.brittle = parts_.brittle->Notices(now);
    answer.evidence = parts_.evidence->HandleRequest(report.evidence, now);
    return answer;
  }

  // Asks the leader to place an adapter on an engine. Returns false if it was not placed or the
  // leader did not answer.
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

  // Asks the leader for a permit to send a request to an endpoint with a rate limit. Without an
  // answer, no permit is granted.
  Task<PermitAnswer> RequestPermit(PermitRequest request) {
    const MonotonicTime now = MonotonicNow();
    if (parts_.leader->IsLeader(now)) co_return DecidePermit(request, now);
    const PermitAnswer denied{false, static_cast<std::uint32_t>(kPermitRetryDelay.count())};
    const std::optional<Address> leader = KnownLeader();
    if (!leader) co_return denied;
    auto answer =
        co_await parts_.peers->template Call<PermitAnswer>(*leader, request, kPermitTimeout);
    co_return answer ? answer.value() : denied;
  }

  // Decides on another daemon's request for a permit. Grants none unless this daemon leads.
  PermitAnswer DecidePermit(const PermitRequest& request, MonotonicTime now) {
    PermitAnswer answer{false, static_cast<std::uint32_t>(kPermitRetryDelay.count())};
    if (!parts_.leader->IsLeader(now)) return answer;
    BeginTermIfNew(now);
    parts_.limits->Adopt(request.limit, now);
    // A daemon that knows of a limit is held to it even if this one believes that it has ended.
    const double asked = request.limit.rate > 0 ? request.limit.rate : EndpointLimits::kMinRate;
    const double rate = parts_.limits->Rate(request.limit.number).value_or(asked);
    const PermitDemand demand{request.limit.number, rate, request.priority};
    const PermitDecision decision =
        permit_issuer_.Decide(demand, parts_.leader->LeadsAlone(now), now);
    return {decision.granted, static_cast<std::uint32_t>(decision.retry_after.count())};
  }

  // Daemons that this one knows to report to or through, for requests while no helper is named.
  std::vector<Address> Contacts() const {
    std::vector<Address> contacts = uplink_.Relays();
    const std::optional<Address> leader = KnownLeader();
    if (leader) contacts.push_back(*leader);
    contacts.insert(contacts.end(), settings_.seeds.begin(), settings_.seeds.end());
    return contacts;
  }

  // Finds out which software version began a stream, from this daemon's records or from the leader.
  Task<StreamOrigin> FindStreamOrigin(StreamOriginRequest request) {
    const MonotonicTime now = MonotonicNow();
    const StreamOrigin own =
        parts_.streams->Find(request.service, request.key, ViewIsCurrent(now), now);
    const bool leads = parts_.leader->IsLeader(now);
    if (leads || own.state == OriginState::kKnown) co_return own;
    // Only the leader says that a stream is unknown.
    StreamOrigin origin;
    const std::optional<Address> leader = KnownLeader();
    if (!leader) co_return origin;
    auto answer =
        co_await parts_.peers->template Call<StreamOriginAnswer>(*leader, request, kOriginTimeout);
    if (answer) origin = answer.value().origin;
    co_return origin;
  }

  // Answers another daemon's question for a stream. Has no answer unless this daemon leads.
  StreamOriginAnswer AnswerStreamOrigin(const StreamOriginRequest& request,
                                        MonotonicTime now) const {
    if (!parts_.leader->IsLeader(now)) return {};
    return {parts_.streams->Find(request.service, request.key, ViewIsCurrent(now), now)};
  }

  // Decides on a daemon's request for shares of brittle endpoints. Accepts none unless this daemon
  // leads.
  SlotShareAnswer DecideShares(const std::string& sender, const SlotShareRequest& request,
                               MonotonicTime now) {
    SlotShareAnswer answer;
    if (!parts_.leader->IsLeader(now)) return answer;
    BeginTermIfNew(now);
    answer.accepted = true;
    const bool confirmed = parts_.leader->LeadsAlone(now);
    const std::string process = sender + " " + std::to_string(request.process);
    for (const SlotShareDemand& demand : request.demands) {
      answer.shares.push_back(share_allocator_.Decide(process, demand, confirmed, now));
    }
    return answer;
  }

  // Asks for shares of brittle endpoints while there are any. Runs until Stop is called.
  Task<void> RunShareRequests() {
    const Notifier& wanted = parts_.usage->shares_wanted();
    while (!stopping_) {
      const std::uint64_t notifications = wanted.notifications();
      SlotShareRequest request = MakeShareRequest(MonotonicNow());
      bool shrunk = false;
      if (!request.demands.empty()) {
        const bool smaller = co_await RequestShares(std::move(request));
        shrunk = smaller;
        // Requests that come together are asked for together.
        co_await Sleep(SharePeriod() / kShareRequestsPerPeriod);
      }
      if (shrunk || wanted.notifications() != notifications) continue;
      co_await parts_.usage->shares_wanted().WaitUntil(MonotonicNow() + SharePeriod());
    }
  }

  // Number of daemons that report to the leader, as last reported by it; at least 1.
  std::uint32_t daemons() const { return daemons_; }

  // When the load of a model should end; std::nullopt if none is ordered.
  std::optional<MonotonicTime> LoadEnd(const std::string& model) const {
    const auto it = loads_.find(model);
    return it == loads_.end() ? std::nullopt : std::optional(it->second);
  }

  // When a load of a model should end that the leader has not ordered yet, for a request of this
  // priority; std::nullopt if the leader has told of no queue recently.
  std::optional<MonotonicTime> QueuedEnd(const std::string& service, std::uint32_t priority,
                                         MonotonicTime now) const {
    const auto it = std::find_if(backlogs_.begin(), backlogs_.end(),
                                 [&](const auto& backlog) { return backlog.service == service; });
    if (it == backlogs_.end()) return std::nullopt;
    const QueuedLoads loads{it->queued, milliseconds(it->load_ms), milliseconds(it->interval_ms)};
    return QueuedLoadEnd(loads, priority, backlogs_at_, now);
  }

  // Whether this daemon has heard of the leader recently.
  bool has_leader(MonotonicTime now) const {
    return now < parts_.state->leader_heard() + AnswerLifetime();
  }

  // Whether no other daemon knows of endpoints that this one does not know of. While nobody can
  // read the store, the leader's view is that of all daemons that report to it.
  bool ViewIsCurrent(MonotonicTime now) const {
    if (now - parts_.state->confirmed() < kCurrentViewAge) return true;
    return parts_.leader->IsLeader(now) ? daemons_ > 1 : has_leader(now);
  }

 private:
  // Covers the full state of a large fleet over a slow link.
  static constexpr milliseconds kReportTimeout{800};
  static constexpr milliseconds kAdapterTimeout{600};
  // Within the lifetime of a permit, so that one that is granted late can still be used.
  static constexpr milliseconds kPermitTimeout{300};
  static constexpr milliseconds kOriginTimeout{300};
  // While the store can't be read, the directory counts as current if it was read within this time.
  static constexpr milliseconds kCurrentViewAge{2000};
  // How long an endpoint with a rate limit is left alone if the leader does not answer.
  static constexpr milliseconds kPermitRetryDelay{300};
  // Each daemon with requests for brittle endpoints asks for shares this often, and at most
  // kShareRequestsPerPeriod times as often while requests find no room.
  static constexpr milliseconds kMinSharePeriod{100};
  static constexpr milliseconds kSharePeriodPerDaemon{2};
  static constexpr int kShareRequestsPerPeriod = 5;
  static constexpr milliseconds kSearchPeriod{250};
  // The leader is looked up in the store when it has not been heard of for this long. Daemons
  // behind a relay wait much longer, since the relay does the lookup.
  static constexpr milliseconds kLeaderSilence{900};
  static constexpr milliseconds kRelayedLeaderSilence{6000};
  static constexpr milliseconds kRelayedSearchPeriod{1500};
  // While the view of the store is old, the leader is looked up this often by all daemons together.
  static constexpr milliseconds kLookupPeriodPerDaemon{25};
  static constexpr milliseconds kMinLookupPeriod{500};
  static constexpr std::uint32_t kMaxSearchers = 16;
  // Report period while requests wait for a model.
  static constexpr milliseconds kUrgentPeriod{60};
  static constexpr milliseconds kDefaultPeriod{250};
  // Minimum report period for daemons behind a relay. It grows with the number of these daemons.
  static constexpr milliseconds kMinRelayedPeriod{400};
  static constexpr int kRelayedPeriodMillisPerDaemon = 8;
  // A relay that has not heard of the leader for this long rejects reports, so that the daemons
  // move on.
  static constexpr milliseconds kLeaderLostTime{2500};
  // An answer is valid for two report periods, but at least for this long.
  static constexpr milliseconds kMinAnswerLifetime{2000};
  static constexpr int kReportsPerAnswerLifetime = 2;
  // A relay passes the queue of loads on if it is older than the leader's last message by less than
  // this.
  static constexpr milliseconds kMaxBacklogLag{100};
  static constexpr milliseconds kViewRequestPeriod{300};
  // A daemon behind a relay doesn't read the store while its view is younger than this. The relays
  // read it when the leader can't.
  static constexpr milliseconds kMaxRelayedViewAge{8000};
  static constexpr milliseconds kRelayedReadDelay{2500};

  milliseconds AnswerLifetime() const {
    return std::max(kMinAnswerLifetime, report_period_ * kReportsPerAnswerLifetime);
  }

  // The leader, unless that is this daemon.
  std::optional<Address> KnownLeader() const {
    const auto leader = parts_.state->leader();
    return leader && *leader != settings_.self.address ? leader : std::nullopt;
  }

  // Whether this daemon reports through a relay.
  bool IsRelayed() const {
    return parts_.state->plan().relaying && !uplink_.is_relay() &&
           parts_.state->plan().Find(settings_.self.failure_domain) != nullptr;
  }

  bool SearchIsDue(MonotonicTime now) const {
    if (parts_.leader->IsLeader(now)) return StoreLookupIsDue(now);
    const bool relayed = IsRelayed();
    const milliseconds period = relayed ? kRelayedSearchPeriod : kSearchPeriod;
    const milliseconds silence = relayed ? kRelayedLeaderSilence : kLeaderSilence;
    if (now - last_search_at_ < period) return false;
    return now - parts_.state->leader_heard() >= silence || StoreLookupIsDue(now);
  }

  // Whether to look for another leader because the present one seems unable to reach the store.
  bool StoreLookupIsDue(MonotonicTime now) const {
    if (IsRelayed()) return false;
    const std::uint32_t searchers = std::min(daemons_, kMaxSearchers);
    const milliseconds period = std::max(kMinLookupPeriod, kLookupPeriodPerDaemon * searchers);
    return now - parts_.state->confirmed() >= kStoreFreshness && now - last_search_at_ >= period;
  }

  bool ViewIsOld(MonotonicTime now) const {
    return now - parts_.state->confirmed() >= kStoreFreshness;
  }

  Task<void> WaitForNextReport(bool answered) {
    const MonotonicTime now = MonotonicNow();
    if (parts_.usage->HasWaiting() || aggregator_.HasWaiting(now)) {
      co_await Sleep(kUrgentPeriod);
      co_return;
    }
    co_await parts_.usage->waiting_began().WaitUntil(now +
                                                     (answered ? report_period_ : kDefaultPeriod));
  }

  // Numbers of the endpoints that have announced that they leave.
  std::vector<std::uint32_t> LeavingEndpoints() const {
    std::vector<std::uint32_t> numbers;
    for (const std::string& id : parts_.directory->Leaving()) {
      const auto number = parts_.state->directory().NumberOf(id);
      if (number) numbers.push_back(*number);
    }
    return numbers;
  }

  void MarkLeaving(const std::vector<std::uint32_t>& numbers) {
    for (std::uint32_t number : numbers) {
      const EndpointRecord* endpoint = parts_.state->directory().FindNumber(number);
      if (endpoint != nullptr) parts_.directory->MarkLeaving(endpoint->id, endpoint->started_ms);
    }
  }

  // Adopts limits that another daemon knows at `at`.
  void AdoptLimits(const std::vector<LimitNotice>& notices, const std::string& source,
                   MonotonicTime at) {
    for (const LimitNotice& notice : notices) {
      const EndpointRecord* endpoint = parts_.state->directory().FindNumber(notice.number);
      if (endpoint == nullptr || !parts_.limits->Adopt(notice, at)) continue;
      LOG4CPLUS_INFO(Log(), "endpoint " << endpoint->id
                                        << " has a rate limit, per_second=" << notice.rate
                                        << " age_ms=" << notice.age_ms << " source=" << source);
    }
  }

  // The daemons that a relay can name: itself, those that report through it, and those that the
  // leader has named.
  std::vector<DaemonInfo> KnownDaemons(MonotonicTime now) const {
    std::vector<DaemonInfo> daemons = aggregator_.Daemons();
    daemons.push_back(SelfInfo());
    return helpers_.AddNamed(std::move(daemons), now);
  }

  DaemonInfo SelfInfo() const {
    DaemonInfo self = settings_.self;
    if (settings_.cut_off) self.cut_off = settings_.cut_off();
    return self;
  }

  // Adopts the daemons to which requests may be passed on.
  void AdoptHelpers(const UsageAnswer& answer, MonotonicTime now) {
    if (!helpers_.Adopt(answer, now) || !settings_.set_helpers) return;
    settings_.set_helpers(helpers_.helpers(), helpers_.complete(), now);
  }

  // Adopts limits on rejections that another daemon knows at `at`.
  void AdoptBrittle(const std::vector<LimitNotice>& notices, const std::string& source,
                    MonotonicTime at) {
    if (parts_.brittle == nullptr) return;
    for (const LimitNotice& notice : notices) {
      const EndpointRecord* endpoint = parts_.state->directory().FindNumber(notice.number);
      if (endpoint == nullptr || !parts_.brittle->Adopt(endpoint->service, notice, at)) continue;
      LOG4CPLUS_INFO(Log(), "endpoint " << endpoint->id
                                        << " is brittle, rejections_per_second=" << notice.rate
                                        << " age_ms=" << notice.age_ms << " source=" << source);
    }
  }

  // Lets requests go on that waited for the first notices of another daemon.
  void MarkInformed() {
    if (parts_.brittle == nullptr || parts_.brittle->informed()) return;
    parts_.brittle->set_informed();
    parts_.usage->endpoints_changed().NotifyAll();
  }

  // Time between two requests for shares of brittle endpoints.
  milliseconds SharePeriod() const {
    return std::max(kMinSharePeriod, kSharePeriodPerDaemon * daemons_);
  }

  // What this daemon would like to have at brittle endpoints.
  SlotShareRequest MakeShareRequest(MonotonicTime now) {
    SlotShareRequest request;
    request.process = process_;
    if (parts_.brittle == nullptr || parts_.brittle->empty()) return request;
    for (const auto& [id, entry] : parts_.directory->entries()) {
      const FleetEndpoint& endpoint = entry.endpoint;
      const auto demand =
          parts_.brittle->TakeDemand(endpoint.service, EndpointNumber(id, endpoint.started_ms),
                                     endpoint.slots, parts_.stats->OwnRequests(id), now);
      if (demand) request.demands.push_back(*demand);
    }
    return request;
  }

  // Asks the leader for shares and adopts them. Without an answer, this daemon keeps its shares
  // until they expire.
  // Returns whether the leader is to be told soon that a share is smaller.
  Task<bool> RequestShares(SlotShareRequest request) {
    const MonotonicTime asked_at = MonotonicNow();
    std::optional<SlotShareAnswer> answer;
    if (parts_.leader->IsLeader(asked_at)) {
      answer = DecideShares(settings_.name, request, asked_at);
    } else if (const std::optional<Address> leader = KnownLeader()) {
      auto reply =
          co_await parts_.peers->template Call<SlotShareAnswer>(*leader, request, kPermitTimeout);
      if (reply) answer = std::move(reply).value();
    }
    const auto& demands = request.demands;
    const bool valid = answer && answer->accepted && answer->shares.size() == demands.size();
    bool grown = false;
    bool shrunk = false;
    for (std::size_t i = 0; i < demands.size(); ++i) {
      shrunk = shrunk || (valid && answer->shares[i] < demands[i].held);
      if (valid && parts_.brittle->SetShare(demands[i].number, answer->shares[i], asked_at)) {
        grown = true;
      }
      if (!valid) parts_.brittle->RestoreDemand(demands[i]);
    }
    if (grown) parts_.usage->endpoints_changed().NotifyAll();
    co_return shrunk;
  }

  // Drops what was decided in an earlier term.
  void BeginTermIfNew(MonotonicTime now) {
    if (term_fence_ == parts_.leader->fence()) return;
    term_fence_ = parts_.leader->fence();
    quota_allocator_.Reset(now);
    permit_issuer_.Reset();
    share_allocator_.Reset(now);
  }

  // Answers as the leader.
  UsageAnswer AnswerAsLeader(const std::string& sender, const UsageReport& report,
                             MonotonicTime now) {
    UsageAnswer answer = parts_.leader->HandleReport(sender, report, now);
    BeginTermIfNew(now);
    if (answer.accepted) AddHelpers(report, parts_.leader->LiveDaemons(now), true, &answer);
    permit_issuer_.PruneExpired(now);
    share_allocator_.PruneExpired(now);
    quota_allocator_.AddUsage(report.quota, now);
    if (parts_.streams != nullptr) parts_.streams->AddReport(report.streams, now);
    const auto config = parts_.directory->config();
    if (config == nullptr || !config->customers) return answer;
    answer.quota = quota_allocator_.Shares(*config->customers, settings_.quota_tolerance, now);
    answer.quota_known = quota_allocator_.HasValidDemand(now);
    return answer;
  }

  // The streams that began here. A new leader is told of all that are remembered.
  std::vector<StreamOrigins> TakeStreams() {
    if (parts_.state->leader_fence() != streams_fence_) parts_.streams->ReportAgain();
    streams_fence_ = parts_.state->leader_fence();
    return parts_.streams->TakeReport(MonotonicNow());
  }

  // Reports the usage of this daemon itself.
  UsageReport MakeReport() {
    UsageReport report;
    report.sender = SelfInfo();
    report.known = {parts_.state->config().version(), parts_.state->directory().revision(),
                    parts_.state->holdings().version(), parts_.state->plan().version};
    report.models = parts_.usage->TakeReport();
    for (const auto& [id, work] : parts_.stats->own()) {
      const auto number = parts_.state->directory().NumberOf(id);
      if (work.requests == 0 || !number) continue;
      report.loads.emplace_back(*number, work);
      std::vector<ModelRuns> runs = parts_.usage->RunsAt(id);
      if (!runs.empty()) report.runs.push_back({*number, std::move(runs)});
    }
    // What this daemon is cut off from may be reached by all others.
    const bool reaches = report.sender.cut_off == 0;
    for (const std::string& id : parts_.stats->Unreachable(MonotonicNow())) {
      if (!reaches) break;
      const auto number = parts_.state->directory().NumberOf(id);
      if (number) report.unreachable.push_back(*number);
    }
    report.leaving = LeavingEndpoints();
    report.left = parts_.state->directory().Left();
    report.limits = parts_.limits->Notices(MonotonicNow());
    if (parts_.brittle != nullptr) report.brittle = parts_.brittle->Notices(MonotonicNow());
    report.quota = parts_.quota->TakeUsage();
    if (parts_.streams != nullptr) report.streams = TakeStreams();
    report.urgent = report_is_urgent_;
    report_is_urgent_ = false;
    return report;
  }

  // Sends a report. Returns true if it was accepted.
  Task<bool> ReportOnce() {
    const MonotonicTime sent_at = MonotonicNow();
    UsageReport report = MakeReport();
    if (parts_.leader->IsLeader(sent_at)) {
      const UsageAnswer answer = AnswerAsLeader(settings_.name, report, MonotonicNow());
      Apply(answer, settings_.self.address, sent_at);
      settings_.suspend_reading(MonotonicTime());
      co_return true;
    }
    aggregator_.MergeInto(settings_.name, &report, sent_at);
    const std::optional<Address> uplink = uplink_.Next(sent_at);
    if (!uplink) {
      aggregator_.Restore(report);
      co_return false;
    }
    report.evidence = parts_.evidence->MakeRequest(*uplink, sent_at);
    auto answer =
        co_await parts_.peers->template Call<UsageAnswer>(*uplink, report, kReportTimeout);
    const MonotonicTime now = MonotonicNow();
    if (answer) parts_.evidence->HandleAnswer(*uplink, answer.value().evidence, now);
    if (answer) AdoptLimits(answer.value().limits, ToString(*uplink), sent_at);
    if (answer) AdoptBrittle(answer.value().brittle, ToString(*uplink), sent_at);
    if (answer) MarkInformed();
    const bool accepted = answer && answer.value().accepted &&
                          answer.value().leader.fence >= parts_.state->leader_fence();
    if (!accepted) {
      aggregator_.Restore(report);
      // The known leader denies that it leads: look for another one at once.
      const bool denies_leadership = answer && !answer.value().accepted && uplink == KnownLeader();
      if (denies_leadership) parts_.state->ForgetLeader();
      uplink_.RecordFailure(now);
      co_return false;
    }
    uplink_.RecordSuccess();
    parts_.sync->Apply(answer.value().view, *uplink, sent_at);
    Apply(answer.value(), *uplink, sent_at);
    SuspendStoreReads(now);
    if (answer.value().resigning) PassHandover(answer.value());
    co_return true;
  }

  // Doesn't read the store while the view that other daemons give is recent enough.
  void SuspendStoreReads(MonotonicTime now) {
    if (settings_.relayed_view_lifetime.count() == 0) return;
    const MonotonicTime confirmed = parts_.state->confirmed();
    MonotonicTime until = confirmed + kStoreFreshness + settings_.relayed_view_lifetime;
    if (IsRelayed() && now - confirmed < kMaxRelayedViewAge) {
      const std::int64_t spread = kRelayedReadDelay.count();
      until = std::max(
          until, now + kRelayedReadDelay +
                     milliseconds(std::uniform_int_distribution<std::int64_t>(0, spread)(random_)));
    }
    settings_.suspend_reading(until);
  }

  void Apply(const UsageAnswer& answer, const Address& source, MonotonicTime sent_at) {
    const MonotonicTime now = MonotonicNow();
    parts_.state->UpdateLeader(answer.leader, sent_at);
    if (!answer.plan.domains.empty() || answer.plan.version > parts_.state->plan().version) {
      parts_.state->AdoptPlan(answer.plan);
    }
    daemons_ = std::max(1U, answer.daemons);
    report_period_ = milliseconds(std::max(1U, answer.next_report_ms));
    parts_.directory->ConfirmLeaderHoldings(parts_.state->leader_heard());
    AdoptHelpers(answer, now);
    if (answer.quota_known) {
      const bool first = !parts_.quota->has_shares();
      const bool is_direct = source == answer.leader.address &&
                             report_period_ * 2 <= QuotaMeter::kDirectSharesLifetime;
      parts_.quota->SetShares(answer.quota, daemons_, parts_.state->leader_heard(), is_direct);
      if (first) parts_.usage->endpoints_changed().NotifyAll();
    }
    for (const HoldingsUpdate& update : answer.holdings) parts_.state->holdings().Apply(update);
    ApplyHoldings(now);
    MarkLeaving(answer.leaving);
    aggregator_.SetExternalLoads(answer.others);
    UpdateRemoteWork(answer, now);
    backlogs_ = answer.backlogs;
    backlogs_at_ = sent_at - milliseconds(answer.leader.age_ms);
    loads_.clear();
    for (const PendingLoad& load : answer.loads) {
      const MonotonicTime end = now + milliseconds(load.ready_in_ms);
      const auto [known, first] = loads_.try_emplace(load.model, end);
      if (!first) known->second = std::min(known->second, end);
    }
  }

  // Applies the holdings published since the last call, also those that this daemon published as
  // the leader.
  void ApplyHoldings(MonotonicTime now) {
    const std::vector<HoldingsUpdate> updates = parts_.state->holdings().Since(applied_holdings_);
    applied_holdings_ = parts_.state->holdings().version();
    for (const HoldingsUpdate& update : updates) {
      const EndpointRecord* endpoint = parts_.state->directory().FindNumber(update.number);
      if (endpoint == nullptr) continue;
      parts_.directory->SetLeaderHoldings(endpoint->id, endpoint->started_ms, ToHoldings(update),
                                          now);
    }
    if (!updates.empty()) parts_.usage->endpoints_changed().NotifyAll();
  }

  // Updates the work of all other daemons, including those that report through this one.
  void UpdateRemoteWork(const UsageAnswer& answer, MonotonicTime now) {
    std::map<std::string, EndpointWork> others;
    const bool leads = parts_.leader->IsLeader(now);
    const auto loads = leads ? answer.others : aggregator_.LoadsExcept(settings_.name);
    for (const EndpointLoad& load : loads) {
      const EndpointRecord* endpoint = parts_.state->directory().FindNumber(load.number);
      if (endpoint != nullptr) others[endpoint->id] = load.Work();
    }
    parts_.stats->SetRemoteWork(std::move(others), now + AnswerLifetime());
  }

  // Answers in place of the leader, from this daemon's state.
  UsageAnswer AnswerAsRelay(const std::string& sender, const UsageReport& report,
                            MonotonicTime now) {
    UsageAnswer answer;
    const FleetState& state = *parts_.state;
    // This daemon is known as leader, but its lease is not safe: it neither leads nor relays.
    if (state.leader() == settings_.self.address) return answer;
    if (now - state.leader_heard() >= kLeaderLostTime) return answer;
    aggregator_.AddReport(sender, report, now);
    if (report.urgent) report_is_urgent_ = true;
    if (report.urgent || aggregator_.HasWaiting(now)) parts_.usage->waiting_began().NotifyAll();
    answer.accepted = true;
    AddHelpers(report, KnownDaemons(now), helpers_.NobodyHelps(now), &answer);
    answer.quota = parts_.quota->Shares();
    answer.quota_known = parts_.quota->HasValidShares(now);
    answer.leader = state.MakeLeaderNotice(now);
    answer.daemons = daemons_;
    answer.next_report_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
        kMinRelayedPeriod.count(),
        static_cast<std::int64_t>(aggregator_.daemons()) * kRelayedPeriodMillisPerDaemon));
    AddState(state, report.known, now, &answer);
    answer.others = aggregator_.LoadsExcept(sender);
    std::erase_if(answer.others, [&](const EndpointLoad& load) {
      return IsNegligibleLoad(state.directory(), load);
    });
    // The answer states the age of the leader's last message, which may not have had the queue.
    if (state.leader_heard() - backlogs_at_ < kMaxBacklogLag) answer.backlogs = backlogs_;
    for (const auto& [model, end] : loads_) {
      const auto left = ToMillis(end - now).count();
      answer.loads.push_back({model, static_cast<std::uint32_t>(std::max<std::int64_t>(0, left))});
    }
    return answer;
  }

  // Counts the ages from now, so that no order appears older than it is.
  void PassHandover(const UsageAnswer& answer) {
    Handover handover;
    handover.holder = answer.holder;
    const MonotonicTime now = MonotonicNow();
    for (const RecentOrder& order : answer.recent_orders) {
      const EndpointRecord* endpoint = parts_.state->directory().FindNumber(order.number);
      if (endpoint == nullptr) return;
      handover.last_orders[endpoint->id] = now - milliseconds(order.age_ms);
    }
    parts_.leader->StoreHandover(std::move(handover));
  }

  LinkSettings settings_;
  Parts parts_;
  Uplink uplink_;
  ReportAggregator aggregator_;
  std::mt19937_64 random_;
  // Tells this process from former ones of the same name.
  std::uint64_t process_;
  std::uint32_t daemons_ = 1;
  milliseconds report_period_ = kDefaultPeriod;
  std::map<std::string, MonotonicTime> loads_;
  std::vector<LoadBacklog> backlogs_;
  // When `backlogs_` was true.
  MonotonicTime backlogs_at_;
  // Version of the holdings that have been applied to this daemon's directory.
  std::uint64_t applied_holdings_ = 0;
  MonotonicTime last_search_at_;
  // Daemons to which requests may be passed on.
  HelperNotices helpers_;
  // Used while this daemon leads; reset when the fence changes.
  QuotaAllocator quota_allocator_;
  PermitIssuer permit_issuer_;
  SlotShareAllocator share_allocator_;
  std::uint64_t term_fence_ = 0;
  // Fencing token of the leader to which the streams were reported.
  std::uint64_t streams_fence_ = 0;
  bool report_is_urgent_ = false;
  bool stopping_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LEADER_LINK_H_
