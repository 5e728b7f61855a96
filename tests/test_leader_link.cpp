#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fake_fleet_engines.h"
#include "fake_fleet_store.h"
#include "leader_link.h"

namespace mimosabend::testing {

namespace {

PlacementTimings ShortLease() {
  PlacementTimings timings;
  timings.lease_time_to_live = milliseconds(3000);
  timings.lease_renew_period = milliseconds(60);
  timings.lease_safe_time = milliseconds(2000);
  timings.lease_retry_delay = milliseconds(20);
  return timings;
}

// A daemon that finds or becomes the leader. Its peers listen on loopback.
struct Daemon {
  Daemon(boost::asio::io_context* io, FakeFleetStore* store, FakeFleetEngines* engines,
         std::uint16_t port)
      : host("host-" + std::to_string(port)),
        lease(store, ShortLease()),
        board(io->get_executor()),
        leader(io->get_executor(), store, engines, &lease, &directory,
               PlacementLeaderSettings{host,
                                       {"127.0.0.1", port},
                                       "0123456789abcdef",
                                       milliseconds(3000),
                                       true,
                                       seconds(1),
                                       1.1,
                                       [this](MonotonicTime) { return fresh; }}),
        client(io->get_executor(), {host, "", {}}, &metrics),
        server(io->get_executor(), {host, "0123456789abcdef", {}}, &metrics,
               [this](Envelope request) { return Answer(std::move(request)); }),
        link(host, store, &lease, &client, &leader, &directory, &stats, &board, View(), port) {
    FleetConfig config;
    config.version = 1;
    directory.Adopt(config);
    lease.SetWanted(false);
    REQUIRE(server.Listen({"127.0.0.1", port}));
    boost::asio::co_spawn(*io, lease.Run(), boost::asio::detached);
    boost::asio::co_spawn(*io, leader.Run(), boost::asio::detached);
    boost::asio::co_spawn(*io, link.Run(), boost::asio::detached);
  }

  Task<Result<Envelope, PeerError>> Answer(Envelope request) {
    auto report = Unwrap<UsageReport>(request);
    if (!report) co_return outcome::failure(report.error());
    const UsageAnswer answer = leader.HandleReport(request.sender, report.value(), MonotonicNow());
    co_return Wrap(answer, host, 0, WallNow());
  }

  RelayedView View() {
    RelayedView view;
    view.lifetime = milliseconds(1000);
    view.put = [this](FleetEndpoint endpoint) { directory.Put(std::move(endpoint)); };
    view.suspend_reading = [this](MonotonicTime until) { suspended_until = until; };
    view.read_config = [this] { ++config_reads; };
    return view;
  }

  bool leads() const { return leader.IsLeader(MonotonicNow()); }

  std::string host;
  Metrics metrics;
  FleetDirectory directory;
  EndpointStats stats;
  LeaseKeeper<FakeFleetStore> lease;
  UsageBoard board;
  PlacementLeader<FakeFleetStore, FakeFleetEngines> leader;
  PeerClient client;
  PeerServer server;
  LeaderLink<FakeFleetStore, FakeFleetEngines> link;
  MonotonicTime suspended_until;
  int config_reads = 0;
  bool fresh = true;
};

FleetEndpoint Endpoint(const std::string& id) {
  FleetEndpoint endpoint;
  endpoint.id = id;
  endpoint.service = "plain";
  endpoint.address = {"127.0.0.1", 9000};
  return endpoint;
}

}  // namespace

// Guards against daemons without a leader, or with two, and against daemons that do not know what
// the leader has read in the store.
TEST_CASE("daemons agree on a leader and take over its view of the store", "[link]") {
  boost::asio::io_context io(1);
  FakeFleetStore store;
  FakeFleetEngines engines;
  Daemon a(&io, &store, &engines, 17101);
  Daemon b(&io, &store, &engines, 17102);
  io.run_for(milliseconds(1500));
  REQUIRE(a.leads() != b.leads());
  Daemon& leader = a.leads() ? a : b;
  Daemon& other = a.leads() ? b : a;
  leader.directory.Put(Endpoint("e1"));
  FleetConfig newer;
  newer.version = 2;
  leader.directory.Adopt(newer);
  io.run_for(milliseconds(700));
  CHECK(other.directory.Find("e1") != nullptr);
  CHECK(other.config_reads > 0);
  CHECK(other.suspended_until > MonotonicNow());
  CHECK(other.link.has_leader(MonotonicNow()));
  leader.directory.Remove("e1", MonotonicNow());
  io.run_for(milliseconds(700));
  REQUIRE(other.directory.Find("e1") != nullptr);
  CHECK(other.directory.Find("e1")->missing_since);
  // What the leader has not read lately is not taken for the store's.
  leader.fresh = false;
  leader.directory.Put(Endpoint("e2"));
  io.run_for(milliseconds(1500));
  CHECK(other.directory.Find("e2") == nullptr);
  CHECK(other.suspended_until < MonotonicNow());
}

// Guards against seconds without a leader when its process was killed and has started again.
TEST_CASE("a restarted leader does not wait for its former lease", "[link]") {
  boost::asio::io_context io(1);
  FakeFleetStore store;
  FakeFleetEngines engines;
  auto granted = [&]() -> Task<void> {
    auto lease = co_await store.GrantLease(seconds(3));
    const LeaderRecord former{{"127.0.0.1", 17103}, lease.value(), "fedcba9876543210"};
    store.Put(kLeaderKey, ToString(former), lease.value());
    store.Put(kLastHolderKey, "host-17103");
  };
  boost::asio::co_spawn(io, granted(), boost::asio::detached);
  io.run_for(milliseconds(20));
  io.restart();
  Daemon again(&io, &store, &engines, 17103);
  io.run_for(milliseconds(900));
  CHECK(again.leads());
}

}  // namespace mimosabend::testing
