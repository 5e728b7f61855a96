#ifndef MIMOSABEND_TESTS_PLATFORM_FLEET_H_
#define MIMOSABEND_TESTS_PLATFORM_FLEET_H_

#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "clock.h"
#include "fault_proxy.h"
#include "fleet.h"
#include "http_client.h"
#include "json.h"

namespace mimosabend::testing {

// What the platform says of a host in the settings that it fills in.
struct DeployedHost {
  int memory_mb = 0;
  int max_fds = 0;
};

// Size and timing of a PlatformFleet.
struct PlatformFleetOptions {
  int gateways = 3;
  int engines = 5;
  int plain_endpoints = 4;
  // Time between the exit of an endpoint and its restart. Nothing listens at its address meanwhile.
  milliseconds restart_time{300};
  // Added to the command line of each engine, and of each endpoint.
  std::vector<std::string> engine_flags;
  std::vector<std::string> endpoint_flags;
  // Whether gateways refuse requests by forecast.
  bool forecast = false;
  // Whether endpoints add the requests that they run to a file.
  bool log_runs = false;
  // Added to the settings of each gateway.
  std::string gateway_settings;
  // Rate limits that endpoints state from their start, by endpoint index.
  std::map<int, std::string> rate_limits;
  // Software versions that endpoints register, by endpoint index; others register none.
  std::map<int, std::string> versions;
  // Whether endpoints add the arrivals of callers' requests to a file.
  bool log_arrivals = false;
  // If set, gateways reach the endpoints through a proxy that injects these faults.
  std::optional<FaultProxyOptions> link_faults;
  // If set, callers reach the gateways through such a proxy.
  std::optional<FaultProxyOptions> caller_faults;
  // Number of further models, "n0" and up, of which an engine holds two at a time. Engines then
  // execute orders and add them to a file.
  int extra_models = 0;
  // Most items of one page of a listing of the store.
  int store_page_items = 500;
  // Whether the store keeps copies of its contents, and gateways can be cut off from it.
  bool restore_store = false;
  // Whether gateways can be cut off from the endpoints.
  bool cut_endpoints = false;
  // If set, gateways run with the settings file of deploy/, filled in for such a host.
  std::optional<DeployedHost> host;
  // If set, the operator's configuration names these limits.
  std::optional<HttpLimits> limits;
};

// What becomes of a gateway's connections to all endpoints. kHang: no byte passes, and new ones are
// not answered. kReset: they are reset, new ones after they were accepted. kRefuse: they are reset,
// new ones are refused. kRefuseNew: they live on, new ones are refused.
enum class EndpointCut : std::uint8_t { kNone, kHang, kReset, kRefuse, kRefuseNew };
inline constexpr NameTable<EndpointCut, 5> kEndpointCutNames{
    {"none", "hang", "reset", "refuse", "refuse new"}};

// An order that an engine accepted.
struct AcceptedOrder {
  MonotonicTime at;
  // Counts from 0.
  int engine = 0;
  std::uint64_t fence = 0;
  std::string holder;
};

// An arrival of a caller's request at an endpoint, or the answer to one.
struct EndpointEvent {
  bool is_answer = false;
  MonotonicTime at;
  // Counts from 0, engines first.
  int endpoint = 0;
  // The gateway that the caller sent the request to.
  int gateway = 0;
  // The rate limit that the endpoint states at that time; empty for none.
  std::string rate_limit;
};

// A run of a request at an endpoint, as the endpoint recorded it.
struct EndpointRun {
  std::string request_id;
  std::string endpoint;
  std::string path;
  std::string body;
  WallTime start;
  // Unset if the endpoint did not come to the end of the run.
  std::optional<WallTime> end;
};

// A port of the loopback address at which connections are neither accepted nor refused.
class SilentPort {
 public:
  SilentPort();
  ~SilentPort();
  SilentPort(const SilentPort&) = delete;
  SilentPort& operator=(const SilentPort&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  std::uint16_t port_ = 0;
  // The listener, and the connections that fill its queue.
  std::vector<int> sockets_;
};

// Runs gateways as processes, with stand-ins for the platform: its store, engines that hold the
// model "m", and plain endpoints. Endpoints that exit are restarted under another id. The
// destructor ends all processes. The environment variable MIMOSABEND_TEST_GATEWAY names another
// program for the gateways, so that a test can be run with an older version of them.
class PlatformFleet {
 public:
  explicit PlatformFleet(PlatformFleetOptions options = {});
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  // Starts or restarts a gateway, and waits until it is ready. `index` counts from 0.
  void StartGateway(int index);
  Process& gateway(int index) { return *gateways_.at(index); }
  int gateways() const { return options_.gateways; }
  Address caller_address(int index) const;
  // Where other daemons reach a gateway.
  Address peer_address(int index) const { return {caller_address(index).ip, ports_[2]}; }

  // The index of the gateway that reports to be the placement leader; -1 if none does.
  int Leader();
  // Value of a metric of a gateway; 0 if it is absent.
  double Metric(int index, const std::string& name);

  // Makes the store refuse all calls, or accept them again.
  void RefuseStoreCalls(bool refuse);

  // Writes an item to the store, or deletes it, as another writer. The key may be any bytes.
  void PutStoreItem(const std::string& key, const std::string& value);
  void RemoveStoreItem(const std::string& key);
  // Writes the operator's configuration under a version. The first version is 1.
  void WriteConfig(int version);
  // Makes the store unavailable for a time, and then restores it to a copy that is `age` old now.
  // Returns the time of the restore. Precondition: `restore_store`, and the fleet is older.
  MonotonicTime RestoreStore(milliseconds age, milliseconds down);
  // Cuts the connections between a gateway and the store, or allows them again. Precondition:
  // `restore_store`.
  void CutFromStore(int gateway, bool cut);
  // Cuts a gateway off from all endpoints. Precondition: `cut_endpoints`.
  void CutFromEndpoints(int gateway, EndpointCut cut);
  // Makes an endpoint delete its entry. It still answers requests.
  void LetLeave(int endpoint);
  // The orders that engines accepted, by time. Precondition: `extra_models`.
  std::vector<AcceptedOrder> Orders() const;

  // Sends a signal to an endpoint. `index` counts from 0, engines first.
  void SignalEndpoint(int index, int signal_number);
  int endpoints() const { return options_.engines + options_.plain_endpoints; }

  // The runs that endpoints began, in order. Precondition: `log_runs`.
  std::vector<EndpointRun> Runs() const;

  // The lines of the gateways' logs that contain `text`, each after the name of the log.
  std::vector<std::string> GatewayLogLines(const std::string& text) const;

  // Whether the proxies inject faults; at first they do not.
  void InjectLinkFaults(bool inject);
  // How often the proxies injected each fault.
  std::map<LinkFault, int> InjectedLinkFaults() const;

  // Sets the rate limit that an endpoint states in its answers; empty for none.
  void SetRateLimit(int index, const std::string& rate_limit);

  // Arrivals and answers at all endpoints, by time. Precondition: `log_arrivals`.
  std::vector<EndpointEvent> EndpointEvents() const;

  // When endpoints exited, in order.
  std::vector<MonotonicTime> ExitTimes() const;

  // Creates a caller's request to a gateway. The routes are /chat/ and /once/ (streams that may and
  // may not be resumed), /read/ (idempotent) and /order/ (not idempotent).
  HttpCall MakeCall(int gateway, const std::string& target, const std::string& body);

 private:
  struct Endpoint {
    int index = 0;
    std::string service;
    std::uint16_t port = 0;
    // The port that gateways connect to: that of the proxy, if there is one.
    std::uint16_t registered_port = 0;
    int starts = 0;
    std::unique_ptr<Process> process;
    MonotonicTime exited_at;
  };

  void WriteToStore(const boost::json::object& item);
  void WriteSettings(int index);
  std::string DeployedSettings(int index) const;
  void StartEndpoint(Endpoint* endpoint);
  int IndexOfPort(std::uint16_t port) const;
  void ChangeEndpoint(int index, const boost::json::object& change);
  void RestartEndpoints();
  // Ends the thread that restarts endpoints.
  void StopRestarts();
  std::string RunLog() const { return (directory_ / "runs").string(); }
  std::string OrderLog() const { return (directory_ / "orders").string(); }
  std::string ArrivalLog() const { return (directory_ / "arrivals").string(); }
  // Names the port that replaces the endpoints' ones for new connections of a gateway.
  std::string CutFile(int gateway) const {
    return (directory_ / ("cut-" + std::to_string(gateway))).string();
  }
  std::string Redirections(int gateway) const;
  std::string Log(const std::string& name) const { return (directory_ / (name + ".log")).string(); }

  PlatformFleetOptions options_;
  std::filesystem::path directory_;
  // Ports for callers, readiness, peers and metrics. All gateways use the same ports on different
  // addresses.
  std::vector<std::uint16_t> ports_;
  std::unique_ptr<Process> store_;
  // Between each gateway and the store.
  std::vector<std::unique_ptr<FaultProxy>> store_proxies_;
  std::vector<std::uint16_t> store_proxy_ports_;
  std::unique_ptr<FaultProxy> endpoint_proxy_;
  // Between each gateway and the endpoints, with the ports by endpoint.
  std::vector<std::unique_ptr<FaultProxy>> cut_proxies_;
  std::vector<std::vector<std::uint16_t>> cut_proxy_ports_;
  std::unique_ptr<SilentPort> silent_port_;
  std::unique_ptr<FaultProxy> caller_proxy_;
  // Ports of the proxy by gateway.
  std::vector<std::uint16_t> caller_proxy_ports_;
  std::vector<std::unique_ptr<Process>> gateways_;
  std::vector<int> gateway_starts_;
  int next_request_ = 0;

  // Guards the members below.
  mutable std::mutex mutex_;
  std::vector<Endpoint> endpoints_;
  std::vector<MonotonicTime> exit_times_;
  bool stopping_ = false;
  std::thread restart_thread_;
};

// Sends requests concurrently and returns their responses in the same order.
std::vector<Result<HttpReply, HttpError>> CallAll(std::vector<HttpCall> calls);

// Sends one request and returns its response.
Result<HttpReply, HttpError> CallOne(HttpCall call);

// Sends an idempotent request to a gateway and returns the status of its response; 0 if there is
// none.
int StatusOf(PlatformFleet* fleet, int gateway);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_PLATFORM_FLEET_H_
