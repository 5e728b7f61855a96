#include "gateway.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "brittle_endpoints.h"
#include "caller_limits.h"
#include "crash_correlator.h"
#include "crash_evidence.h"
#include "digest.h"
#include "endpoint_prober.h"
#include "event_loop.h"
#include "evidence_exchange.h"
#include "fleet_intake.h"
#include "fleet_state.h"
#include "gateway_metrics.h"
#include "leader_finder.h"
#include "leader_link.h"
#include "log.h"
#include "memory_budget.h"
#include "metrics.h"
#include "peer_dispatcher.h"
#include "placement_leader.h"
#include "platform/engine_orders.h"
#include "platform/platform_store.h"
#include "platform/request_headers.h"
#include "prefix_watcher.h"
#include "quota_meter.h"
#include "reach_monitor.h"
#include "readiness_monitor.h"
#include "relay_handler.h"
#include "startup.h"
#include "state_sync.h"
#include "stream_record.h"
#include "stream_versions.h"
#include "supervisor.h"
#include "suspension.h"
#include "view_age.h"

namespace mimosabend {

namespace asio = boost::asio;

namespace {

using platform::EngineOrders;
using platform::PlatformStore;

constexpr milliseconds kConfigBatchDelay{20};
// The configuration counts as possibly stale this long before the bound for applying a new one has
// passed: an unknown route may have been added since.
constexpr milliseconds kStaleConfigMargin{1000};
// Endpoint entries are read at most this many times per `endpoint_drain`, the bound for noticing
// that an endpoint leaves.
constexpr int kEndpointBatchesPerDrain = 8;
constexpr milliseconds kHousekeepingPeriod{250};
constexpr milliseconds kMetricsPeriod{1000};
constexpr milliseconds kSettingsPollPeriod{3000};
constexpr milliseconds kSuspensionPollPeriod{100};
// Smaller differences can come from reading the two clocks one after the other.
constexpr milliseconds kMinSuspension{200};
constexpr milliseconds kDrainPollPeriod{20};
// The load balancer still opens connections during two of its checks after the daemon has become
// unready.
constexpr milliseconds kBalancerDelay{2300};
// Part of the grace period that is kept for closing what is still open.
constexpr milliseconds kExitMargin{300};
// Time to tell all daemons that this one resigns, and to release the lease.
constexpr milliseconds kResignTime{1600};
constexpr milliseconds kReleaseTime{300};
// Requests on kept-alive connections are still served for this long after SIGTERM.
constexpr milliseconds kAcceptTime{2800};
// Requests that still wait are refused this long before the end.
constexpr milliseconds kRefusalMargin{500};
// A leader that has been cut off from all endpoints for this long hands over to another gateway.
constexpr milliseconds kLeaderCutTime{1500};
constexpr HttpLimits kInternalLimits{64, 8192, 8192, milliseconds(15000)};
// Bounds the time until the loss of the store's host or of the link is detected.
constexpr HttpClientOptions kStoreOptions{milliseconds(1500), seconds(1)};
// Part of the fleet's retry limits that the daemons use: each learns late how many others there
// are.
constexpr double kRetryLimitShare = 0.7;

// A renewal costs a tenth of a read, so a short lease that is renewed often is cheap. After the
// loss of a leader no orders are sent for a time that grows with the time to live and the safe time
// of its lease.
PlacementTimings LeaseTimings() {
  PlacementTimings timings;
  timings.lease_time_to_live = milliseconds(1500);
  timings.lease_renew_period = milliseconds(250);
  timings.lease_safe_time = milliseconds(800);
  timings.lease_retry_delay = milliseconds(100);
  return timings;
}

// Key that signs the messages between the daemons of a fleet. Messages of another fleet's daemon at
// a reused address are rejected. The key is not a secret: whoever can reach the store can change
// more than these messages do.
std::string FleetKey(const GatewaySettings& settings) {
  return Sha256Hex("mimosabend fleet " + ToString(settings.store));
}

DaemonInfo MakeDaemonInfo(const GatewaySettings& settings) {
  return {settings.peer_address, settings.failure_domain,
          HostCapacity(settings.cores, settings.link_mbps)};
}

// The components of a gateway, in the order of their dependencies.
class Gateway {
 public:
  Gateway(asio::io_context* io, const GatewaySettings& settings, SettingsReader read_settings);

  // Binds the listeners and starts all tasks. Fails with a message if an address can't be bound.
  Result<void, std::string> Start();

  int exit_code() const { return exit_code_; }

 private:
  using Leader = PlacementLeader<PlatformStore, EngineOrders>;
  using Finder = LeaderFinder<PlatformStore, EngineOrders>;
  using Link = LeaderLink<PlatformStore, EngineOrders>;

  Task<void> HandleReadiness(HttpExchange& exchange);
  Task<void> HandleMetrics(HttpExchange& exchange);
  void AddPeerHandlers();
  PlacementHooks MakePlacementHooks();
  void ApplyConfig(std::uint64_t version, const HttpLimits& limits);
  void ConfirmReading();
  void BeginEra(std::uint32_t era);
  StateHooks MakeStateHooks();
  LinkSettings MakeLinkSettings();
  std::uint8_t CutOffServices() const;
  bool MayLead(MonotonicTime now) const;
  void HandOverIfCutOff(MonotonicTime now);
  Task<void> RunHousekeeping();
  void ApplyRetryLimits();
  void ApplyQuotaOrder(QuotaOrder order, const char* cause);
  Task<void> UpdateMetrics();
  void SetForecast(ForecastSetting forecast);
  void ReloadSettings(const char* cause);
  void ApplyHedging(const HedgingSettings& hedging, const char* cause);
  Task<void> WaitForTermination();
  Task<void> WaitForReload();
  Task<void> WatchSettings();
  Task<void> WatchSuspension();
  Task<void> Drain();
  Task<void> ResignAndReleaseLease();

  asio::io_context* io_;
  GatewaySettings settings_;
  SettingsReader read_settings_;
  std::string fleet_key_;
  Metrics metrics_;
  RelayMetrics relay_metrics_;
  MemoryBudget memory_;
  Supervisor supervisor_;
  HttpClient endpoint_client_;
  HttpClient order_client_;
  HttpClient forward_client_;
  HttpClient store_client_;
  PlatformStore store_;
  EngineOrders orders_;
  FleetDirectory directory_;
  FleetState state_;
  EndpointStats stats_;
  PrefixIndex prefixes_;
  EndpointSelector selector_;
  UsageCollector usage_;
  QuotaMeter quota_;
  EndpointLimits limits_;
  StreamVersions streams_;
  BrittleEndpoints brittle_;
  CrashEvidence evidence_;
  PartEvidence part_evidence_;
  CrashCorrelator crash_correlator_;
  EndpointProber prober_;
  EvidenceExchange exchange_;
  LeaseKeeper<PlatformStore> lease_;
  Leader leader_;
  PeerClient peer_client_;
  PeerDispatcher peers_;
  PeerServer peer_server_;
  StreamRecord<PlatformStore> stream_record_;
  StateSync sync_;
  Finder finder_;
  Link link_;
  ReachMonitor reach_;
  RequestForwarder forwarder_;
  RelayHandler relay_;
  FleetIntake intake_;
  PrefixWatcher<PlatformStore> config_watcher_;
  PrefixWatcher<PlatformStore> endpoint_watcher_;
  HttpServer caller_server_;
  // For requests that other gateways pass on.
  HttpServer forward_server_;
  // The operator's limits of requests.
  HttpLimits caller_limits_;
  ReadinessMonitor readiness_;
  HttpServer readiness_server_;
  HttpServer metrics_server_;
  GatewayMetrics gateway_metrics_;
  asio::signal_set termination_signals_;
  asio::signal_set reload_signals_;
  int exit_code_ = 0;
};

Gateway::Gateway(asio::io_context* io, const GatewaySettings& settings,
                 SettingsReader read_settings)
    : io_(io),
      settings_(settings),
      read_settings_(std::move(read_settings)),
      fleet_key_(FleetKey(settings)),
      memory_(settings.resources.relay_bytes()),
      supervisor_(io->get_executor(), &metrics_, "gateway",
                  [this](const std::string& task) {
                    LOG4CPLUS_ERROR(Log(), "task " << task << " failed permanently, exiting");
                    exit_code_ = 1;
                    io_->stop();
                  }),
      endpoint_client_(io->get_executor(), kEndpointOptions),
      order_client_(io->get_executor(), kEndpointOptions),
      forward_client_(io->get_executor(), kEndpointOptions),
      store_client_(io->get_executor(), kStoreOptions),
      store_(&store_client_, settings.store),
      orders_(&order_client_),
      directory_(ReappearTime(settings.bounds)),
      prefixes_(settings.prefix_parts),
      selector_({settings.region, settings.domain_regions}, &directory_, &stats_, &prefixes_,
                RandomId()),
      usage_(io->get_executor()),
      quota_([this] { link_.ReportAtOnce(); }),
      streams_(MonotonicNow()),
      part_evidence_(RandomId()),
      crash_correlator_(&evidence_, &part_evidence_),
      prober_(&endpoint_client_, &directory_, &crash_correlator_),
      exchange_(&evidence_, &part_evidence_, RandomId()),
      lease_(&store_, LeaseTimings()),
      leader_(io->get_executor(), &store_, &orders_, &lease_, &directory_, &state_,
              PlacementLeaderSettings{
                  settings.name + " " + settings.caller_address.ip, settings.peer_address,
                  settings.bounds.holder_gap, settings.bounds.fencing_required,
                  settings.bounds.ceiling_window, settings.bounds.ceiling_over}),
      peer_client_(io->get_executor(), {settings.name, fleet_key_, {}}, &metrics_),
      peers_(settings.name),
      peer_server_(io->get_executor(), {settings.name, fleet_key_, {}}, &metrics_,
                   [this](Envelope request) { return peers_.Handle(std::move(request)); }),
      stream_record_(&store_, &streams_,
                     [this](MonotonicTime now) {
                       return leader_.IsLeader(now) ? leader_.fence() : std::uint64_t{0};
                     }),
      sync_(io->get_executor(), &peer_client_, &state_, &directory_, &usage_, &exchange_,
            MakeStateHooks()),
      finder_(&store_, &lease_, &peer_client_, &leader_, &state_, MakeDaemonInfo(settings).capacity,
              RandomId()),
      link_(MakeLinkSettings(),
            {&peer_client_, &leader_, &finder_, &state_, &sync_, &directory_, &stats_, &usage_,
             &exchange_, &quota_, &limits_, &streams_, &brittle_},
            RandomId()),
      reach_(
          &endpoint_client_, &directory_,
          [this] {
            link_.ReportAtOnce();
            usage_.endpoints_changed().NotifyAll();
          },
          RandomId()),
      forwarder_(&forward_client_, &reach_.reach(),
                 {settings.name, fleet_key_, settings.forward_address.port},
                 [this] { return link_.Contacts(); }),
      relay_({&endpoint_client_, &directory_, &stats_, &prefixes_, &selector_, &usage_,
              &relay_metrics_, &evidence_, &part_evidence_, &prober_, &quota_, &limits_,
              MakePlacementHooks(), &memory_, &forwarder_, &streams_, &brittle_},
             RandomId()),
      intake_({&directory_, &state_, &stats_, &prefixes_, &streams_, &usage_},
              [this](std::uint64_t version, const HttpLimits& limits) {
                ApplyConfig(version, limits);
              }),
      config_watcher_(io->get_executor(), &store_, PlatformStore::config_key(), kConfigBatchDelay,
                      intake_.ConfigHandlers()),
      endpoint_watcher_(io->get_executor(), &store_, PlatformStore::endpoint_prefix(),
                        settings.bounds.endpoint_drain / kEndpointBatchesPerDrain,
                        intake_.EndpointHandlers()),
      caller_server_(io->get_executor(), HttpLimits(),
                     [this](HttpExchange& exchange) { return relay_.Handle(exchange); }),
      forward_server_(io->get_executor(), HttpLimits(),
                      [this](HttpExchange& exchange) { return relay_.HandleForwarded(exchange); }),
      readiness_(&directory_, &state_, &store_, &relay_metrics_, MonotonicNow()),
      readiness_server_(io->get_executor(), kInternalLimits,
                        [this](HttpExchange& exchange) { return HandleReadiness(exchange); }),
      metrics_server_(io->get_executor(), kInternalLimits,
                      [this](HttpExchange& exchange) { return HandleMetrics(exchange); }),
      gateway_metrics_(&relay_metrics_, {&store_, &endpoint_client_, &caller_server_, &memory_,
                                         &prefixes_, &evidence_, &part_evidence_, &reach_, &limits_,
                                         &streams_, &brittle_, &directory_, &relay_}),
      termination_signals_(*io, SIGTERM, SIGINT),
      reload_signals_(*io, SIGHUP) {
  AddPeerHandlers();
  caller_server_.set_memory_budget(&memory_);
  forward_server_.set_memory_budget(&memory_);
  ApplyCallerLimits(settings_.resources, caller_limits_, &caller_server_, &memory_);
  ApplyForwardLimits(settings_.resources, caller_limits_, &forward_server_);
  ApplyPeerLimits(settings_.resources, &peer_server_);
  quota_.set_order(settings.quota_order);
  relay_.SetHedging(settings_.hedging);
  store_.era().set_listener([this](std::uint32_t era) { BeginEra(era); });
  finder_.set_claim_guard([this] { return MayLead(MonotonicNow()); });
  stats_.set_outcome_listener(
      [this](const std::string& endpoint, AttemptOutcome outcome, MonotonicTime now) {
        reach_.RecordOutcome(endpoint, outcome, now);
      });
  directory_.set_end_listener([this](const FleetEndpoint& endpoint) {
    crash_correlator_.RecordEnd(EndpointNumber(endpoint.id, endpoint.started_ms), MonotonicNow());
  });
  // Wakes the report loop, so that new crash records reach other daemons without delay.
  evidence_.set_on_records_added([this] { usage_.waiting_began().NotifyAll(); });
  part_evidence_.set_on_records_added([this] { usage_.waiting_began().NotifyAll(); });
}

PlacementHooks Gateway::MakePlacementHooks() {
  PlacementHooks hooks;
  hooks.fetch_report = [this](Address address,
                              milliseconds timeout) -> Task<Result<EngineReport, HttpError>> {
    auto report = co_await orders_.Report(std::move(address), timeout, false);
    co_return report;
  };
  hooks.place_adapter = [this](AdapterRequest request) -> Task<bool> {
    const bool placed = co_await link_.PlaceAdapter(std::move(request));
    co_return placed;
  };
  hooks.request_permit = [this](PermitRequest request) -> Task<PermitAnswer> {
    const PermitAnswer answer = co_await link_.RequestPermit(request);
    co_return answer;
  };
  hooks.find_stream_origin = [this](StreamOriginRequest request) -> Task<StreamOrigin> {
    const StreamOrigin origin = co_await link_.FindStreamOrigin(std::move(request));
    if (origin.state == OriginState::kNoAnswer) stream_record_.RequestRead();
    co_return origin;
  };
  hooks.load_end = [this](const std::string& model) -> std::optional<MonotonicTime> {
    return link_.LoadEnd(model);
  };
  hooks.queued_load_end = [this](const std::string& service, std::uint32_t priority) {
    return link_.QueuedEnd(service, priority, MonotonicNow());
  };
  hooks.has_leader = [this](MonotonicTime now) { return link_.has_leader(now); };
  hooks.config_may_be_stale = [this](MonotonicTime now) {
    return now - state_.confirmed() >= settings_.bounds.config_apply - kStaleConfigMargin;
  };
  return hooks;
}

// Applies what a new configuration says of this gateway's listeners.
void Gateway::ApplyConfig(std::uint64_t version, const HttpLimits& limits) {
  caller_limits_ = limits;
  ApplyCallerLimits(settings_.resources, caller_limits_, &caller_server_, &memory_);
  ApplyForwardLimits(settings_.resources, caller_limits_, &forward_server_);
  relay_metrics_.config_version->Set(static_cast<double>(version));
}

// Updates the time at which the store is known to have held the configuration and the endpoints.
void Gateway::ConfirmReading() {
  const auto confirmed = [this](const PrefixWatcher<PlatformStore>& watcher) {
    return watcher.in_sync() ? std::max(watcher.confirmed(), store_.last_answered())
                             : watcher.confirmed();
  };
  state_.Confirm(std::min(confirmed(config_watcher_), confirmed(endpoint_watcher_)));
}

// The store was restored from an older copy: what this daemon wrote may be lost, and its lease may
// belong to another daemon.
void Gateway::BeginEra(std::uint32_t era) {
  lease_.Drop();
  const bool led = leader_.BeginEra(era);
  config_watcher_.Restart();
  endpoint_watcher_.Restart();
  if (!led) return;
  // Claims leadership again without delay.
  state_.ForgetLeader();
  usage_.waiting_began().NotifyAll();
}

StateHooks Gateway::MakeStateHooks() {
  StateHooks hooks;
  hooks.learn_era = [this](std::uint32_t era, const Address& daemon) {
    store_.era().Learn(era, ToString(daemon));
  };
  hooks.put = [this](FleetEndpoint endpoint) {
    intake_.PutEndpoint(std::move(endpoint), MonotonicTime());
  };
  hooks.adopt_config = [this](const MultipartDocument& document) {
    return intake_.AdoptConfig(document.Text(), "another daemon");
  };
  hooks.read_config = [this] { config_watcher_.ReadNow(); };
  return hooks;
}

LinkSettings Gateway::MakeLinkSettings() {
  LinkSettings link;
  link.name = settings_.name;
  link.self = MakeDaemonInfo(settings_);
  link.seeds = settings_.seeds;
  link.relayed_view_lifetime = RelayedViewLifetime(settings_.bounds);
  link.quota_tolerance = settings_.bounds.quota_tolerance;
  link.quota_order = settings_.quota_order;
  link.cut_off = [this] { return CutOffServices(); };
  link.set_helpers = [this](const std::vector<Address>& helpers, bool complete, MonotonicTime now) {
    forwarder_.SetHelpers(helpers, complete, now);
  };
  link.suspend_reading = [this](MonotonicTime until) {
    if (state_.config().version() > 0) config_watcher_.Suspend(until);
    if (state_.directory().revision().exists()) endpoint_watcher_.Suspend(until);
  };
  return link;
}

// What DaemonInfo::cut_off says of this gateway.
std::uint8_t Gateway::CutOffServices() const {
  if (readiness_.stopping()) return kNoHelper;
  return static_cast<std::uint8_t>(std::min<std::size_t>(reach_.cut_off(), kNoHelper - 1));
}

// Whether this gateway reaches engines, or no other one is known to reach more.
bool Gateway::MayLead(MonotonicTime now) const {
  return !reach_.IsCutOffFromAll(kLeaderCutTime, now) || !forwarder_.AnotherReaches(now);
}

// Steps down as the leader while another gateway can lead. The lease must be safe: without the
// store no other one can.
void Gateway::HandOverIfCutOff(MonotonicTime now) {
  if (!leader_.LeadsAlone(now) || MayLead(now)) return;
  leader_.StepDown();
  lease_.SetWanted(false);
  state_.ForgetLeader();
}

Task<void> Gateway::HandleReadiness(HttpExchange& exchange) {
  const bool known = exchange.request().target == platform::ReadyPath();
  int status = readiness_.Current(MonotonicNow()) == Readiness::kReady ? 200 : 503;
  if (!known) status = 404;
  co_await exchange.Reply(status, {}, "");
}

Task<void> Gateway::HandleMetrics(HttpExchange& exchange) {
  HttpHeaders headers{{"Content-Type", "text/plain; version=0.0.4"}};
  std::string body = relay_metrics_.Expose() + metrics_.Expose();
  co_await exchange.Reply(200, std::move(headers), std::move(body));
}

// Sets how the requests of other daemons are answered.
void Gateway::AddPeerHandlers() {
  peers_.Add<UsageReport>([this](const std::string& sender, const UsageReport& report) {
    store_.era().Learn(report.known.directory_revision.era, sender);
    return link_.HandleReport(sender, report, MonotonicNow());
  });
  peers_.Add<StandDownRequest>([this](const std::string&, const StandDownRequest& request) {
    return leader_.StandDown(request, MonotonicNow());
  });
  peers_.Add<ViewRequest>([this](const std::string& sender, const ViewRequest& request) {
    store_.era().Learn(request.directory_revision.era, sender);
    const MonotonicTime now = MonotonicNow();
    return ViewAnswer{state_.ViewSince(request.directory_revision, now),
                      state_.MakeLeaderNotice(now), exchange_.HandleRequest(request.evidence, now)};
  });
  peers_.Add<DocumentRequest>([this](const std::string&, const DocumentRequest& request) {
    return state_.config().HandleRequest(request);
  });
  peers_.AddTask<AdapterRequest>([this](const std::string&, AdapterRequest request) {
    return leader_.PlaceAdapter(std::move(request));
  });
  peers_.Add<PermitRequest>([this](const std::string&, const PermitRequest& request) {
    return link_.DecidePermit(request, MonotonicNow());
  });
  peers_.Add<StreamOriginRequest>([this](const std::string&, const StreamOriginRequest& request) {
    return link_.AnswerStreamOrigin(request, MonotonicNow());
  });
  peers_.Add<SlotShareRequest>([this](const std::string& sender, const SlotShareRequest& request) {
    return link_.DecideShares(sender, request, MonotonicNow());
  });
}

Task<void> Gateway::RunHousekeeping() {
  for (;;) {
    if (link_.has_leader(MonotonicNow())) readiness_.set_heard_leader();
    readiness_.Update(MonotonicNow());
    directory_.PruneExpired(MonotonicNow());
    crash_correlator_.PruneExpired(MonotonicNow());
    evidence_.PruneExpired(MonotonicNow());
    part_evidence_.PruneExpired(MonotonicNow());
    relay_.PruneExpired(MonotonicNow());
    const auto is_known = [this](std::uint32_t number) {
      return state_.directory().KnowsNumber(number);
    };
    state_.holdings().KeepIf(is_known);
    limits_.KeepIf(is_known);
    limits_.PruneExpired(MonotonicNow());
    streams_.history().RecordView(link_.ViewIsCurrent(MonotonicNow()), MonotonicNow());
    intake_.RecordVersions(MonotonicNow());
    streams_.PruneExpired(MonotonicNow());
    brittle_.KeepIf(is_known, MonotonicNow());
    ConfirmReading();
    ApplyRetryLimits();
    HandOverIfCutOff(MonotonicNow());
    co_await Sleep(kHousekeepingPeriod);
  }
}

// Sets this daemon's share of the fleet's retry limits.
void Gateway::ApplyRetryLimits() {
  const double daemons = link_.daemons();
  RetryLimits limits;
  limits.share = settings_.bounds.retry_ratio * kRetryLimitShare;
  limits.extra = settings_.bounds.retry_extra * kRetryLimitShare / std::max(daemons, 2.0);
  limits.extra_is_minimum = false;
  limits.window = settings_.bounds.retry_window;
  relay_.SetRetryLimits(limits);
}

Task<void> Gateway::UpdateMetrics() {
  for (;;) {
    gateway_metrics_.Update(intake_.invalid_entries(), leader_.IsLeader(MonotonicNow()));
    co_await Sleep(kMetricsPeriod);
  }
}

// Adopts the order of quotas and logs it if it has changed.
void Gateway::ApplyQuotaOrder(QuotaOrder order, const char* cause) {
  if (order == settings_.quota_order) return;
  settings_.quota_order = order;
  quota_.set_order(order);
  link_.set_quota_order(order);
  LOG4CPLUS_INFO(Log(),
                 "quota order changed, order=" << kQuotaOrderNames[order] << " cause=" << cause);
}

void Gateway::SetForecast(ForecastSetting forecast) {
  if (forecast == settings_.forecast) return;
  settings_.forecast = forecast;
  relay_.SetWaitRules({forecast == ForecastSetting::kOn});
  LOG4CPLUS_INFO(Log(), "admission changed, forecast=" << kForecastSettingNames[forecast]);
}

// Applies settings that may change at run time. Others, such as the listen addresses, need a
// restart.
void Gateway::ReloadSettings(const char* cause) {
  const auto settings = read_settings_();
  if (!settings) {
    LOG4CPLUS_ERROR(Log(),
                    "could not reload the settings, keeping the current ones, cause=" << cause);
    return;
  }
  ApplyQuotaOrder(settings->quota_order, cause);
  ApplyHedging(settings->hedging, cause);
  SetForecast(settings->forecast);
  if (settings->bounds == settings_.bounds && settings->resources == settings_.resources) return;
  settings_.bounds = settings->bounds;
  settings_.resources = settings->resources;
  ApplyCallerLimits(settings_.resources, caller_limits_, &caller_server_, &memory_);
  ApplyForwardLimits(settings_.resources, caller_limits_, &forward_server_);
  ApplyPeerLimits(settings_.resources, &peer_server_);
  directory_.set_reappear_time(ReappearTime(settings_.bounds));
  ApplyRetryLimits();
  LOG4CPLUS_INFO(Log(), "settings reloaded, cause=" << cause << " memory_limit_bytes="
                                                    << settings_.resources.relay_bytes());
}

// Adopts hedging settings and logs them if they have changed.
void Gateway::ApplyHedging(const HedgingSettings& hedging, const char* cause) {
  if (hedging == settings_.hedging) return;
  settings_.hedging = hedging;
  relay_.SetHedging(hedging);
  LOG4CPLUS_INFO(Log(), "hedging settings changed, extra_work="
                            << hedging.extra_work << " min_delay_ms=" << hedging.min_delay.count()
                            << " max_delay_ms=" << hedging.max_delay.count() << " cause=" << cause);
}

// Detects a suspension of the host, which the monotonic clock does not count, so that the lease is
// not used past its end.
Task<void> Gateway::WatchSuspension() {
  auto suspended = SuspendedTime();
  for (;;) {
    co_await Sleep(kSuspensionPollPeriod);
    const auto now = SuspendedTime();
    if (now - suspended > kMinSuspension) {
      LOG4CPLUS_WARN(Log(), "host was suspended, milliseconds=" << (now - suspended).count());
      lease_.MarkUnsafe();
    }
    suspended = now;
  }
}

// Polls the settings, which may change without a signal.
Task<void> Gateway::WatchSettings() {
  for (;;) {
    co_await Sleep(kSettingsPollPeriod);
    ReloadSettings("poll");
  }
}

Task<void> Gateway::WaitForReload() {
  for (;;) {
    co_await reload_signals_.async_wait(asio::use_awaitable);
    ReloadSettings("SIGHUP");
  }
}

Task<void> Gateway::WaitForTermination() {
  co_await termination_signals_.async_wait(asio::use_awaitable);
  SpawnDetached(io_->get_executor(), "drain", Drain());
  co_await termination_signals_.async_wait(asio::use_awaitable);
  LOG4CPLUS_WARN(Log(), "second signal, exiting immediately");
  std::_Exit(2);
}

// Shuts down without interrupting requests: the load balancer sees the daemon unready, open
// requests finish, then the process ends.
Task<void> Gateway::Drain() {
  const MonotonicTime end = MonotonicNow() + settings_.bounds.shutdown_grace - kExitMargin;
  LOG4CPLUS_INFO(Log(), "draining, in_flight=" << relay_.in_flight());
  readiness_.set_stopping();
  const MonotonicTime refuse_from =
      MonotonicNow() + std::min(kAcceptTime, settings_.bounds.shutdown_grace / 3);
  relay_.SetShutdownTimes(refuse_from, end - kRefusalMargin);
  caller_server_.AnnounceClose();
  forward_server_.AnnounceClose();
  // Names this gateway as a helper no longer.
  link_.ReportAtOnce();
  finder_.StopClaiming();
  co_await Sleep(kBalancerDelay);
  caller_server_.StopAccepting();
  forward_server_.StopAccepting();
  const auto open_connections = [this] {
    return caller_server_.open_connections() + forward_server_.open_connections();
  };
  // Stays leader while requests are open: no other daemon can become leader while the store is
  // unavailable.
  const MonotonicTime resign_at = end - kResignTime;
  while (open_connections() > 0 && MonotonicNow() < resign_at) {
    co_await Sleep(kDrainPollPeriod);
  }
  co_await ResignAndReleaseLease();
  while (open_connections() > 0 && MonotonicNow() < end) {
    if (MonotonicNow() >= end - kRefusalMargin) relay_.FailUnanswered();
    co_await Sleep(kDrainPollPeriod);
  }
  relay_.LogUnfinished();
  LOG4CPLUS_INFO(Log(), "stopped, in_flight=" << relay_.in_flight());
  supervisor_.Stop();
  io_->stop();
}

// Resigns if this daemon leads, gives the others time to learn its last orders, and releases the
// lease.
Task<void> Gateway::ResignAndReleaseLease() {
  if (leader_.IsLeader(MonotonicNow())) {
    leader_.Resign();
    co_await Sleep(kResignTime / 2);
  }
  link_.Stop();
  leader_.Stop();
  // The store may not answer before the process ends; the lease expires then.
  const auto released = std::make_shared<bool>(false);
  const auto release = [](LeaseKeeper<PlatformStore>* lease,
                          std::shared_ptr<bool> done) -> Task<void> {
    co_await lease->Stop();
    *done = true;
  };
  SpawnDetached(io_->get_executor(), "release of the lease", release(&lease_, released));
  const MonotonicTime deadline = MonotonicNow() + kReleaseTime;
  while (!*released && MonotonicNow() < deadline) co_await Sleep(kDrainPollPeriod);
}

Result<void, std::string> Gateway::Start() {
  relay_.SetWaitRules({settings_.forecast == ForecastSetting::kOn});
  const std::pair<HttpServer*, const Address*> listeners[] = {
      {&caller_server_, &settings_.caller_address},
      {&readiness_server_, &settings_.readiness_address},
      {&metrics_server_, &settings_.metrics_address}};
  for (const auto& listener : listeners) {
    const auto port =
        RetryAtStart(kAddressRetryTime, [&] { return listener.first->Listen(*listener.second); });
    if (!port) return outcome::failure(port.error());
  }
  const auto listening =
      RetryAtStart(kAddressRetryTime, [&] { return peer_server_.Listen(settings_.peer_address); });
  if (!listening) return outcome::failure("peers: " + listening.error());
  // Without this listener, the gateway serves its callers all the same.
  const auto helping = forward_server_.Listen(settings_.forward_address);
  if (!helping) {
    LOG4CPLUS_ERROR(Log(), "takes no requests from other gateways: cannot listen on "
                               << ToString(settings_.forward_address) << ": " << helping.error());
  }
  lease_.SetWanted(false);
  supervisor_.Start("termination", [this] { return WaitForTermination(); });
  supervisor_.Start("reload", [this] { return WaitForReload(); });
  supervisor_.Start("suspension", [this] { return WatchSuspension(); });
  supervisor_.Start("settings", [this] { return WatchSettings(); });
  supervisor_.Start("configuration", [this] { return config_watcher_.Run(); });
  supervisor_.Start("endpoints", [this] { return endpoint_watcher_.Run(); });
  supervisor_.Start("lease", [this] { return lease_.Run(); });
  supervisor_.Start("leader link", [this] { return link_.Run(); });
  supervisor_.Start("view requests", [this] { return link_.RunViewRequests(); });
  supervisor_.Start("endpoint reach", [this] { return reach_.Run(); });
  supervisor_.Start("share requests", [this] { return link_.RunShareRequests(); });
  supervisor_.Start("placement leader", [this] { return leader_.Run(); });
  supervisor_.Start("stream versions", [this] { return stream_record_.Run(); });
  supervisor_.Start("tick", [this] { return RunHousekeeping(); });
  supervisor_.Start("metrics", [this] { return UpdateMetrics(); });
  LOG4CPLUS_INFO(Log(), "started, serving requests at " << ToString(settings_.caller_address));
  return outcome::success();
}

}  // namespace

int RunGateway(const GatewaySettings& settings, SettingsReader read_settings) {
  SetUpLog(settings.log, settings.name);
  asio::io_context io(1);
  // Never destroyed: suspended coroutines refer to it until the process ends.
  auto* gateway = new Gateway(&io, settings, std::move(read_settings));
  auto started = gateway->Start();
  if (!started) {
    std::cerr << "mimosabend: cannot listen: " << started.error() << "\n";
    std::_Exit(1);
  }
  const bool stopped = RunEventLoop(&io);
  std::cout.flush();
  std::_Exit(stopped ? gateway->exit_code() : 1);
}

}  // namespace mimosabend
