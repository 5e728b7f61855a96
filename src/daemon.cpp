#include "daemon.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <cassert>
#include <cstdlib>
#include <iostream>

#include "admission_gate.h"
#include "caller_limits.h"
#include "completion_handler.h"
#include "document_sync.h"
#include "event_loop.h"
#include "gossip.h"
#include "host_cache.h"
#include "http_client.h"
#include "http_engine.h"
#include "http_host_list.h"
#include "http_kv_store.h"
#include "http_server.h"
#include "http_weight_store.h"
#include "log.h"
#include "ownership.h"
#include "peer_dispatcher.h"
#include "poison_guard.h"
#include "request_sweeper.h"
#include "service_handler.h"
#include "weight_store_monitor.h"

namespace mimosabend {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kDrainPoll{20};
// Allowance for the round trip, in addition to the time that the owner may delay its response.
constexpr milliseconds kDemandRoundTripAllowance{500};
constexpr milliseconds kMetricsPeriod{1000};
// Longest time that the suspects of a crash wait until the other daemons have acknowledged the
// crash.
constexpr milliseconds kAnnounceTimeout{500};
constexpr std::string_view kDocumentWatchKey = "document head";
// Number of daemons per region that watch the document head; two of them may fail at the same time.
constexpr std::size_t kWatchersPerRegion = 3;
constexpr HttpLimits kAdminLimits{64, 8192, 8192, milliseconds(10000)};

MemberUpdate MakeSelfUpdate(const DaemonSettings& settings) {
  MemberUpdate self;
  self.name = settings.name;
  self.region = settings.region;
  self.failure_domain = settings.failure_domain;
  self.address = settings.peer_address;
  self.incarnation = static_cast<std::uint64_t>(ToUnixMillis(WallNow()));
  return self;
}

// Owns and connects the components of a daemon. Members are declared, and so constructed, in the
// order of their dependencies. Not thread-safe: everything runs on the thread of `io`.
class Daemon {
 public:
  Daemon(asio::io_context* io, const DaemonSettings& settings);

  // Opens all listeners and starts all background tasks. Returns an error message on failure.
  Result<void, std::string> Start();

  int exit_code() const { return exit_code_; }

 private:
  using Kv = HttpKvStore;
  using Engine = HttpEngine;

  Task<void> HandleClient(HttpExchange& exchange);
  Task<void> RouteRequest(HttpExchange& exchange);
  Task<void> HandleAdmin(HttpExchange& exchange);
  void AddPeerHandlers();
  Task<DemandAnswer> AnswerDemand(std::string sender, DemandRequest request);
  Task<DemandAnswer> SendDemandToOwner(DemandRequest request);
  Task<DemandAnswer> SendDemandThroughRelay(DemandRequest request, std::string owner);
  StoreLoad WeightStoreLoad(bool in_use);
  Task<void> AnnounceCrash(std::string fingerprint, std::string crash, bool recorded);
  double SlotShare(const ReplicaLocation& replica) const;
  Task<void> UpdateMetrics();
  bool IsPreferredSweeper() const;
  Task<void> WaitForSignals();
  Task<void> Drain();
  bool IsReady() const {
    return !stopping_ && document_.caught_up(MonotonicNow()) && hosts_.known();
  }
  std::string StatusJson() const;
  void StopOnTaskFailure(const std::string& task);

  asio::io_context* io_;
  DaemonSettings settings_;
  Metrics metrics_;
  CallerMetrics caller_metrics_{metrics_.registry()};
  MemoryBudget memory_;
  Supervisor supervisor_;
  HttpClient client_;
  Kv kv_;
  Engine engine_;
  HttpHostList host_list_;
  HostCache<HttpHostList> hosts_;
  HttpWeightStore weight_store_;
  WeightStoreMonitor<HttpWeightStore> weight_store_monitor_;
  Membership membership_;
  PeerIdentity identity_;
  PeerClient peer_client_;
  DocumentSync<Kv> document_;
  LeaseKeeper<Kv> lease_;
  Ownership<Kv, Engine> ownership_;
  ReplicaDirectory directory_;
  Router router_;
  RequestLedger<Kv> ledger_;
  RequestSweeper<Kv> sweeper_;
  AdmissionGate admission_;
  RetryBudget retries_;
  PoisonGuard<Kv> poison_;
  EndpointOccupancy occupancy_;
  CompletionHandler<Engine, Kv> completions_;
  ServiceHandler<Kv> services_;
  Gossip gossip_;
  PeerDispatcher peers_;
  PeerServer peer_server_;
  HttpServer caller_server_;
  HttpServer admin_server_;
  asio::signal_set signals_;
  bool stopping_ = false;
  int exit_code_ = 0;
};

Daemon::Daemon(asio::io_context* io, const DaemonSettings& settings)
    : io_(io),
      settings_(settings),
      supervisor_(io->get_executor(), &metrics_, settings.name,
                  [this](const std::string& task) { StopOnTaskFailure(task); }),
      client_(io->get_executor()),
      kv_(&client_, settings.platform.kv),
      engine_(&client_),
      host_list_(&client_, settings.platform.host_list),
      hosts_(&host_list_, settings.region),
      weight_store_(&client_, settings.platform.weight_store),
      weight_store_monitor_(&weight_store_),
      membership_(MakeSelfUpdate(settings), MonotonicNow(), RandomId()),
      identity_{settings.name, settings.shared_key, settings.blocked_peers},
      peer_client_(io->get_executor(), identity_, &metrics_),
      document_(io->get_executor(), settings.environment, &kv_, &peer_client_, &metrics_,
                [this] {
                  return membership_.IsPreferredInRegion(kDocumentWatchKey, kWatchersPerRegion);
                }),
      lease_(&kv_),
      ownership_(io->get_executor(),
                 OwnerContext{settings.name, EnvironmentKeyPrefix(settings.environment),
                              [this] { return document_.environment(); },
                              [this] { return hosts_.hosts(); },
                              [this](bool in_use) { return WeightStoreLoad(in_use); }},
                 &membership_, &kv_, &lease_, &engine_, &supervisor_, &metrics_),
      directory_(
          io->get_executor(), settings.region, settings.coordinate_cold_starts,
          [this] { return document_.environment(); },
          [this](DemandRequest request) { return SendDemandToOwner(std::move(request)); }),
      router_(settings.region, RandomId()),
      ledger_(io->get_executor(), EnvironmentKeyPrefix(settings.environment), &kv_, &metrics_),
      sweeper_(
          EnvironmentKeyPrefix(settings.environment), &kv_,
          [this] { return document_.environment(); }, [this] { return IsPreferredSweeper(); },
          &metrics_),
      admission_(io->get_executor(), &metrics_),
      poison_(
          EnvironmentKeyPrefix(settings.environment), &kv_,
          [this](std::string fingerprint, std::string crash, bool recorded) {
            return AnnounceCrash(std::move(fingerprint), std::move(crash), recorded);
          },
          &metrics_),
      occupancy_(io->get_executor()),
      completions_(
          &engine_, &directory_, &router_, &admission_, &retries_, &poison_, &occupancy_,
          [this](const std::string& endpoint) { return hosts_.MayServe(endpoint); },
          [this](const ReplicaLocation& replica) { return SlotShare(replica); }, &metrics_),
      services_(
          &client_, &ledger_,
          [this](const std::string& service) { return hosts_.ServiceHosts(service); }, &retries_,
          &metrics_),
      gossip_(io->get_executor(), &membership_, identity_, settings.seeds, &metrics_,
              Gossip::Hooks{[this] { return document_.version(); },
                            [this](const Address& peer, std::uint64_t version) {
                              document_.OnPeerVersion(peer, version, MonotonicNow());
                            }}),
      peers_(identity_.name),
      peer_server_(io->get_executor(), identity_, &metrics_,
                   [this](Envelope request) { return peers_.Handle(std::move(request)); }),
      caller_server_(io->get_executor(), settings.limits,
                     [this](HttpExchange& exchange) { return HandleClient(exchange); }),
      admin_server_(io->get_executor(), kAdminLimits,
                    [this](HttpExchange& exchange) { return HandleAdmin(exchange); }),
      signals_(*io, SIGTERM, SIGINT) {
  AddPeerHandlers();
  caller_server_.set_memory_budget(&memory_);
  ApplyCallerLimits(settings_.resources, settings_.limits, &caller_server_, &memory_);
  ApplyPeerLimits(settings_.resources, &peer_server_);
}

Result<void, std::string> Daemon::Start() {
  auto peer = peer_server_.Listen(settings_.peer_address);
  if (!peer) return outcome::failure(peer.error());
  auto udp = gossip_.Bind(settings_.peer_address);
  if (!udp) return outcome::failure(udp.error());
  auto admin = admin_server_.Listen(settings_.admin_address);
  if (!admin) return outcome::failure(admin.error());
  auto caller = caller_server_.Listen(settings_.caller_address);
  if (!caller) return outcome::failure(caller.error());
  supervisor_.Start("hosts", [this] { return hosts_.Run(); });
  supervisor_.Start("weight store", [this] { return weight_store_monitor_.Run(); });
  supervisor_.Start("lease", [this] { return lease_.Run(); });
  supervisor_.Start("document watch", [this] { return document_.WatchService(); });
  supervisor_.Start("document peers", [this] { return document_.FollowPeers(); });
  supervisor_.Start("gossip receive", [this] { return gossip_.Receive(); });
  supervisor_.Start("gossip probe", [this] { return gossip_.Probe(); });
  supervisor_.Start("gossip exchange", [this] { return gossip_.ExchangeMembers(&peer_client_); });
  supervisor_.Start("ownership", [this] { return ownership_.Run(); });
  supervisor_.Start("directory", [this] { return directory_.Refresh(); });
  supervisor_.Start("request sweeper", [this] { return sweeper_.Run(); });
  supervisor_.Start("poison", [this] { return poison_.Refresh(); });
  supervisor_.Start("metrics", [this] { return UpdateMetrics(); });
  SpawnDetached(io_->get_executor(), "signals", WaitForSignals());
  LOG4CPLUS_INFO(Log(), "serving client requests at " << ToString(settings_.caller_address));
  return outcome::success();
}

void Daemon::StopOnTaskFailure(const std::string& task) {
  LOG4CPLUS_ERROR(Log(), "task '" << task << "' failed too often; stopping the process");
  exit_code_ = 1;
  io_->stop();
}

// Handles a request, and learns from it what memory responses take.
Task<void> Daemon::HandleClient(HttpExchange& exchange) {
  co_await RouteRequest(exchange);
  memory_.RecordResponse(exchange.whole_response_bytes());
}

Task<void> Daemon::RouteRequest(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  auto context = ParseRequestContext(document_.environment(), request, MonotonicNow());
  if (!context) {
    metrics_.http_rejected_total->Increment();
    co_await ReplyError(&exchange, context.error(), "");
    co_return;
  }
  const std::string& target = request.target;
  if (target == kCompletionsPath || target == kChatCompletionsPath) {
    if (request.method == "POST") {
      co_await completions_.Handle(context.value(), &exchange);
      co_return;
    }
  } else if (target == "/v1/models") {
    if (request.method == "GET") {
      HttpHeaders headers;
      headers.emplace_back("Content-Type", "application/json");
      std::string body = ModelList(*context.value().environment, *context.value().caller);
      co_await exchange.Reply(200, std::move(headers), std::move(body));
      co_return;
    }
  } else if (target.starts_with(kServicesPath)) {
    co_await services_.Handle(context.value(), &exchange);
    co_return;
  } else {
    metrics_.http_rejected_total->Increment();
    ApiError error;
    error.status = 404;
    error.type = "invalid_request_error";
    error.code = "unknown_path";
    error.message = "no such path: " + target;
    co_await ReplyError(&exchange, std::move(error), context.value().request_id);
    co_return;
  }
  metrics_.http_rejected_total->Increment();
  ApiError error;
  error.status = 405;
  error.type = "invalid_request_error";
  error.code = "method_not_allowed";
  error.message = "method " + request.method + " is not allowed for " + target;
  co_await ReplyError(&exchange, std::move(error), context.value().request_id);
}

Task<void> Daemon::HandleAdmin(HttpExchange& exchange) {
  const std::string& target = exchange.request().target;
  HttpHeaders headers;
  headers.emplace_back("Content-Type", "text/plain; charset=utf-8");
  std::string body = "ok\n";
  int status = 200;
  if (target == "/readyz") {
    if (!IsReady()) {
      status = 503;
      body = stopping_ ? "stopping\n" : "no environment document or host list is known yet\n";
    }
  } else if (target == "/metrics") {
    body = metrics_.Expose();
  } else if (target == "/status") {
    headers.front().second = "application/json";
    body = StatusJson();
  } else if (target != "/healthz") {
    status = 404;
    body = "use /healthz, /readyz, /metrics or /status\n";
  }
  co_await exchange.Reply(status, std::move(headers), std::move(body));
}

std::string Daemon::StatusJson() const {
  boost::json::object status;
  status["name"] = settings_.name;
  status["environment"] = settings_.environment;
  status["version"] = document_.version();
  status["digest"] = document_.head().digest;
  status["ready"] = IsReady();
  boost::json::object requests;
  for (Rank rank : kAllRanks) {
    boost::json::object counts;
    for (std::size_t i = 0; i < kRequestOutcomeCount; ++i) {
      const auto request_outcome = static_cast<RequestOutcome>(i);
      counts[kRequestOutcomeNames[request_outcome]] =
          static_cast<std::int64_t>(metrics_.outcome_count(request_outcome, rank));
    }
    requests[kRankNames[rank]] = std::move(counts);
  }
  status["requests"] = std::move(requests);
  boost::json::array members;
  for (const auto& [name, member] : membership_.members()) {
    boost::json::object item;
    item["name"] = name;
    item["region"] = member.update.region;
    item["state"] = std::string(kMemberStateNames[member.update.state]);
    members.push_back(std::move(item));
  }
  status["members"] = std::move(members);
  boost::json::array groups;
  for (const auto& [name, owner] : ownership_.owners()) {
    if (!owner->is_owner()) continue;
    boost::json::object group;
    group["group"] = name;
    group["fence"] = owner->record().fence;
    boost::json::array replicas;
    for (const PlacedReplica& replica : owner->record().replicas) {
      boost::json::object item;
      item["model"] = replica.model;
      item["version"] = replica.version;
      item["endpoint"] = replica.endpoint;
      item["state"] = std::string(kReplicaStateNames[replica.state]);
      item["memory_mib"] = replica.memory_mib;
      replicas.push_back(std::move(item));
    }
    group["replicas"] = std::move(replicas);
    groups.push_back(std::move(group));
  }
  status["owned_groups"] = std::move(groups);
  return boost::json::serialize(status);
}

// Sets how the requests of other daemons are answered.
void Daemon::AddPeerHandlers() {
  peers_.Add<MembersRequest>([this](const std::string&, const MembersRequest& request) {
    for (const MemberUpdate& update : request.updates) membership_.Apply(update, MonotonicNow());
    MembersAnswer answer;
    answer.updates = membership_.AllUpdates();
    return answer;
  });
  peers_.AddTask<DemandRequest>([this](const std::string& sender, DemandRequest request) {
    return AnswerDemand(sender, std::move(request));
  });
  peers_.Add<PoisonNotice>([this](const std::string&, const PoisonNotice& notice) {
    poison_.AddAnnouncedCrash(notice.fingerprint, notice.crash, notice.recorded, WallNow());
    PoisonAck ack;
    ack.noted = true;
    return ack;
  });
  peers_.Add<DocumentRequest>([this](const std::string&, const DocumentRequest& request) {
    return document_.HandleRequest(request);
  });
}

Task<DemandAnswer> Daemon::AnswerDemand(std::string sender, DemandRequest request) {
  DemandAnswer answer;
  answer.status = DemandStatus::kNotOwner;
  const auto owner = ownership_.Find(request.group);
  if (owner != nullptr && owner->is_owner()) {
    answer = co_await owner->Demand(std::move(sender), std::move(request));
  } else if (request.forward_to_owner) {
    answer = co_await SendDemandToOwner(std::move(request));
  }
  co_return answer;
}

// Sends a demand to the preferred owner of the group, or handles it locally if this daemon owns the
// group. If this daemon is the preferred owner but another daemon holds the group's lease, their
// views of the membership differ, and the demand goes to the holder. Tries a relay if the call
// fails.
Task<DemandAnswer> Daemon::SendDemandToOwner(DemandRequest request) {
  const std::size_t region_start = request.group.find('.') + 1;
  const std::string region =
      request.group.substr(region_start, request.group.rfind('.') - region_start);
  std::string target = membership_.PreferredOwner(request.group, region)->update.name;
  const auto owner = ownership_.Find(request.group);
  const bool own = target == settings_.name && owner != nullptr;
  if (own && owner->is_owner()) {
    DemandAnswer owned = co_await owner->Demand(settings_.name, std::move(request));
    co_return owned;
  }
  if (own) target = owner->holder();
  const auto member = membership_.members().find(target);
  DemandAnswer answer;
  answer.status = DemandStatus::kNotOwner;
  if (member == membership_.members().end() || target == settings_.name) co_return answer;
  const Address peer = member->second.update.address;
  const milliseconds timeout = milliseconds(request.wait_ms) + kDemandRoundTripAllowance;
  auto reply = co_await peer_client_.Call<DemandAnswer>(peer, request, timeout);
  if (reply) co_return std::move(reply).value();
  co_return co_await SendDemandThroughRelay(std::move(request), target);
}

// Sends the demand through a random other daemon, which may still reach an owner that this one
// can't.
Task<DemandAnswer> Daemon::SendDemandThroughRelay(DemandRequest request, std::string owner) {
  DemandAnswer answer;
  answer.status = DemandStatus::kNotOwner;
  const std::vector<Address> peers = membership_.RandomPeers(1, owner);
  if (peers.empty() || request.forward_to_owner) co_return answer;
  request.forward_to_owner = true;
  const milliseconds timeout = milliseconds(request.wait_ms) + 2 * kDemandRoundTripAllowance;
  const Address& relay = peers.front();
  auto reply = co_await peer_client_.Call<DemandAnswer>(relay, std::move(request), timeout);
  if (reply) answer = std::move(reply).value();
  co_return answer;
}

// Whether this daemon should sweep request records. The preferred daemon of the environment's first
// region does; daemons whose membership views differ may both consider themselves preferred.
bool Daemon::IsPreferredSweeper() const {
  const auto environment = document_.environment();
  if (stopping_ || environment->regions.empty()) return false;
  const Member* preferred =
      membership_.PreferredOwner("request sweeper", environment->regions.front());
  return preferred->update.name == settings_.name;
}

StoreLoad Daemon::WeightStoreLoad(bool in_use) {
  if (settings_.coordinate_cold_starts) return weight_store_monitor_.Load(in_use, MonotonicNow());
  StoreLoad unlimited;
  unlimited.limited = false;
  return unlimited;
}

// Notifies all daemons that are not known to be dead of a crash. Returns when each call has ended
// or after kAnnounceTimeout.
Task<void> Daemon::AnnounceCrash(std::string fingerprint, std::string crash, bool recorded) {
  PoisonNotice notice;
  notice.fingerprint = std::move(fingerprint);
  notice.crash = std::move(crash);
  notice.recorded = recorded;
  struct Pending {
    explicit Pending(const asio::any_io_executor& executor) : changed(executor) {}
    std::size_t in_flight = 0;
    Notifier changed;
  };
  const auto pending = std::make_shared<Pending>(io_->get_executor());
  const auto send = [](Daemon* daemon, Address peer, PoisonNotice message,
                       std::shared_ptr<Pending> shared) -> Task<void> {
    auto ignored =
        co_await daemon->peer_client_.Call<PoisonAck>(peer, std::move(message), kAnnounceTimeout);
    static_cast<void>(ignored);
    --shared->in_flight;
    shared->changed.NotifyAll();
  };
  for (const auto& [name, member] : membership_.members()) {
    if (name == settings_.name || member.update.state == MemberState::kDead) continue;
    ++pending->in_flight;
    SpawnDetached(io_->get_executor(), "poison notice",
                  send(this, member.update.address, notice, pending));
  }
  const MonotonicTime deadline = MonotonicNow() + kAnnounceTimeout;
  while (pending->in_flight > 0 && MonotonicNow() < deadline) {
    co_await pending->changed.WaitUntil(deadline);
  }
}

// This daemon's share of a replica's slots. The slots of a replica in this region are shared by the
// daemons of the region, those of a replica in another region by all daemons.
double Daemon::SlotShare(const ReplicaLocation& replica) const {
  const bool local = replica.region == settings_.region;
  std::size_t sharing = 0;
  for (const auto& [name, member] : membership_.members()) {
    const bool shares = !local || member.update.region == replica.region;
    sharing += shares && member.can_own_groups() ? 1 : 0;
  }
  return static_cast<double>(replica.slots) /
         static_cast<double>(std::max<std::size_t>(1, sharing));
}

Task<void> Daemon::UpdateMetrics() {
  std::uint64_t kv_calls = 0;
  std::uint64_t kv_errors = 0;
  for (;;) {
    std::size_t live = 0;
    for (const auto& [name, member] : membership_.members())
      live += member.can_own_groups() ? 1 : 0;
    metrics_.live_members->Set(static_cast<double>(live));
    metrics_.kv_calls_total->Increment(static_cast<double>(kv_.calls() - kv_calls));
    kv_calls = kv_.calls();
    metrics_.kv_errors_total->Increment(static_cast<double>(kv_.errors() - kv_errors));
    kv_errors = kv_.errors();
    caller_metrics_.Update(caller_server_, memory_);
    co_await Sleep(kMetricsPeriod);
  }
}

Task<void> Daemon::WaitForSignals() {
  co_await signals_.async_wait(asio::use_awaitable);
  SpawnDetached(io_->get_executor(), "drain", Drain());
  co_await signals_.async_wait(asio::use_awaitable);
  LOG4CPLUS_WARN(Log(), "second signal received; exiting without finishing the drain");
  std::_Exit(2);
}

// Graceful shutdown: reports the daemon as not ready to the load balancer, hands its placement
// groups over to peers, waits for all open connections to finish, and then stops the process.
Task<void> Daemon::Drain() {
  LOG4CPLUS_INFO(Log(), "drain started");
  stopping_ = true;
  membership_.Leave(MonotonicNow());
  co_await ownership_.Stop();
  co_await Sleep(settings_.drain_delay);
  caller_server_.StopAccepting();
  while (caller_server_.open_connections() > 0) co_await Sleep(kDrainPoll);
  co_await lease_.Stop();
  assert(metrics_.accepted() == metrics_.ended());
  supervisor_.Stop();
  peer_server_.Stop();
  gossip_.Close();
  LOG4CPLUS_INFO(Log(), "drain finished after " << metrics_.ended() << " requests");
  io_->stop();
}

}  // namespace

int RunDaemon(const DaemonSettings& settings) {
  SetUpLog(settings.log, settings.name);
  asio::io_context io(1);
  // Never destroyed, because suspended coroutines refer to it until the process ends.
  auto* daemon = new Daemon(&io, settings);
  auto started = daemon->Start();
  if (!started) {
    std::cerr << "mimosabend: cannot listen: " << started.error() << "\n";
    std::_Exit(1);
  }
  const bool stopped = RunEventLoop(&io);
  std::cerr.flush();
  std::_Exit(stopped ? daemon->exit_code() : 1);
}

}  // namespace mimosabend
