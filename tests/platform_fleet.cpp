#include "platform_fleet.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "base64.h"
#include "digest.h"
#include "json.h"

namespace mimosabend::testing {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr milliseconds kStartTimeout{10000};
constexpr milliseconds kRestartPollInterval{10};
constexpr milliseconds kCallTimeout{15000};
// Each gateway has its own loopback address, 127.0.0.21 and up, so that all use the same ports as
// if they were on different hosts.
constexpr int kFirstHostNumber = 21;
// If this environment variable is set, the logs of all processes are kept in the temporary
// directory.
constexpr const char* kKeepLogs = "MIMOSABEND_KEEP_LOGS";
// Names the program of the gateways in place of the one that was built with the tests.
constexpr const char* kGatewayProgram = "MIMOSABEND_TEST_GATEWAY";
constexpr const char* kCopyPeriod = "--copy_period_ms=100";

std::string HostOf(int index) { return "127.0.0." + std::to_string(kFirstHostNumber + index); }

std::string Program(const std::string& name) {
  return std::string(MIMOSABEND_BUILD_DIRECTORY) + "/" + name;
}

std::string GatewayProgram() {
  const char* program = std::getenv(kGatewayProgram);
  return program == nullptr ? Program("mimosabend") : program;
}

// Parses a line of the file of runs: "start" or "end", the time, the endpoint, the id of the
// request, its path and its body.
std::pair<std::string, EndpointRun> ParseRunLine(const std::string& line) {
  std::istringstream words(line);
  std::string event;
  std::int64_t time = 0;
  EndpointRun run;
  words >> event >> time >> run.endpoint >> run.request_id >> run.path >> run.body;
  run.start = WallTime(milliseconds(time));
  return {event, run};
}

json::object RouteObject(const std::string& prefix, const std::string& kind, int attempts,
                         const std::string& service) {
  const bool resumable = kind == "streaming" && attempts > 1;
  return {{"name", prefix},        {"host", "a.example"},      {"prefix", prefix},
          {"route-type", kind},    {"timeout-ms", 10000},      {"target-latency-ms", 1000},
          {"gap-aim-ms", 400},     {"max-attempts", attempts}, {"service", service},
          {"resumable", resumable}};
}

json::object ConfigObject(int version, int extra_models, const std::optional<HttpLimits>& limits) {
  json::object model{{"name", "m"},        {"weights-mb", 100}, {"adapters", 0}, {"adapter-mb", 1},
                     {"load-time-s", 6.0}, {"disk-s", 0.8},     {"warm-s", 0.4}};
  json::array models{model};
  for (int i = 0; i < extra_models; ++i) {
    model["name"] = "n" + std::to_string(i);
    model["weights-mb"] = 400;
    models.push_back(model);
  }
  json::object engine{{"slots", 64},        {"kv-capacity", 200000}, {"weights-mb", 1000},
                      {"adapter-slots", 8}, {"loads-per-s", 2},      {"models", std::move(models)}};
  json::object config{{"version", version},
                      {"routes", json::array{RouteObject("/chat/", "streaming", 2, "models"),
                                             RouteObject("/once/", "streaming", 1, "models"),
                                             RouteObject("/read/", "idempotent", 2, "plain"),
                                             RouteObject("/order/", "non_idempotent", 1, "plain")}},
                      {"services", json::array{json::object{{"name", "models"}, {"engine", engine}},
                                               json::object{{"name", "plain"}}}}};
  if (limits) {
    config["limits"] = json::object{{"max-header-bytes", limits->header_bytes},
                                    {"max-body-bytes", limits->body_bytes},
                                    {"header-timeout-ms", 3000},
                                    {"idle-timeout-ms", limits->idle_timeout.count()}};
  }
  return config;
}

HttpCall StoreCall(const Address& store, const std::string& method, const std::string& target,
                   const json::value& body) {
  HttpCall call;
  call.address = store;
  call.method = method;
  call.target = target;
  call.body = json::serialize(body);
  call.deadline = MonotonicNow() + kCallTimeout;
  return call;
}

}  // namespace

std::vector<Result<HttpReply, HttpError>> CallAll(std::vector<HttpCall> calls) {
  asio::io_context io(1);
  HttpClient client(io.get_executor());
  std::vector<std::optional<Result<HttpReply, HttpError>>> found(calls.size());
  const auto send = [&](HttpCall call, std::size_t index) -> Task<void> {
    auto reply = co_await client.Call(std::move(call));
    found[index] = std::move(reply);
  };
  for (std::size_t i = 0; i < calls.size(); ++i) {
    asio::co_spawn(io, send(std::move(calls[i]), i), asio::detached);
  }
  io.run();
  std::vector<Result<HttpReply, HttpError>> replies;
  for (auto& reply : found) replies.push_back(std::move(*reply));
  return replies;
}

Result<HttpReply, HttpError> CallOne(HttpCall call) {
  std::vector<HttpCall> calls;
  calls.push_back(std::move(call));
  return std::move(CallAll(std::move(calls)).front());
}

int StatusOf(PlatformFleet* fleet, int gateway) {
  HttpCall call = fleet->MakeCall(gateway, "/read/1", "");
  const auto reply = CallOne(std::move(call));
  return reply ? reply.value().status : 0;
}

SilentPort::SilentPort() {
  constexpr int kFillers = 3;
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  sockets_.push_back(listener);
  const bool listens = ::bind(listener, reinterpret_cast<const sockaddr*>(&address), size) == 0 &&
                       ::listen(listener, 0) == 0 &&
                       ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!listens) throw std::runtime_error("no port without an answer");
  port_ = ntohs(address.sin_port);
  // The system drops what arrives while the queue of the listener is full.
  for (int i = 0; i < kFillers; ++i) {
    sockets_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    static_cast<void>(
        ::connect(sockets_.back(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  }
}

SilentPort::~SilentPort() {
  for (const int socket : sockets_) ::close(socket);
}

PlatformFleet::PlatformFleet(PlatformFleetOptions options)
    : options_(std::move(options)), ports_(FreePorts(4)) {
  // Gateways listen for each other's requests on the port after that for peers.
  while (std::find(ports_.begin(), ports_.end(), ports_[2] + 1) != ports_.end()) {
    ports_ = FreePorts(4);
  }
  std::string pattern = (std::filesystem::temp_directory_path() / "mimosabend-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("mkdtemp failed");
  directory_ = pattern;
  std::vector<std::string> store_flags;
  store_flags.push_back("--page_items=" + std::to_string(options_.store_page_items));
  if (options_.restore_store) store_flags.emplace_back(kCopyPeriod);
  store_ = std::make_unique<Process>(Program("tests/platform_store_standin"), store_flags,
                                     Log("store"), true);
  for (int i = 0; options_.restore_store && i < options_.gateways; ++i) {
    FaultProxyOptions sound;
    sound.reset_connection_rate = 0;
    store_proxies_.push_back(std::make_unique<FaultProxy>(sound));
    store_proxy_ports_.push_back(store_proxies_.back()->Forward(store_->address()));
  }
  WriteConfig(1);
  if (options_.link_faults) endpoint_proxy_ = std::make_unique<FaultProxy>(*options_.link_faults);
  const int count = options_.engines + options_.plain_endpoints;
  const std::vector<std::uint16_t> ports = FreePorts(count);
  for (int i = 0; i < count; ++i) {
    Endpoint endpoint;
    endpoint.index = i;
    endpoint.service = i < options_.engines ? "models" : "plain";
    endpoint.port = ports[i];
    endpoint.registered_port = endpoint_proxy_ == nullptr
                                   ? endpoint.port
                                   : endpoint_proxy_->Forward({"127.0.0.1", endpoint.port});
    StartEndpoint(&endpoint);
    endpoints_.push_back(std::move(endpoint));
  }
  for (int i = 0; options_.cut_endpoints && i < options_.gateways; ++i) {
    FaultProxyOptions sound;
    sound.reset_connection_rate = 0;
    cut_proxies_.push_back(std::make_unique<FaultProxy>(sound));
    cut_proxy_ports_.emplace_back();
    for (const Endpoint& endpoint : endpoints_) {
      cut_proxy_ports_.back().push_back(
          cut_proxies_.back()->Forward({"127.0.0.1", endpoint.registered_port}));
    }
  }
  if (options_.cut_endpoints) silent_port_ = std::make_unique<SilentPort>();
  restart_thread_ = std::thread([this] { RestartEndpoints(); });
  if (options_.caller_faults) {
    caller_proxy_ = std::make_unique<FaultProxy>(*options_.caller_faults);
    for (int i = 0; i < options_.gateways; ++i) {
      caller_proxy_ports_.push_back(caller_proxy_->Forward({HostOf(i), ports_[0]}));
    }
  }
  gateways_.resize(options_.gateways);
  gateway_starts_.resize(options_.gateways);
  try {
    for (int i = 0; i < options_.gateways; ++i) StartGateway(i);
  } catch (...) {
    StopRestarts();
    throw;
  }
  WaitFor(kStartTimeout, [this] { return Leader() >= 0; });
}

void PlatformFleet::StopRestarts() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  restart_thread_.join();
}

PlatformFleet::~PlatformFleet() {
  StopRestarts();
  gateways_.clear();
  endpoints_.clear();
  store_.reset();
  if (std::getenv(kKeepLogs) != nullptr) return;
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void PlatformFleet::WriteToStore(const json::object& item) {
  const auto reply = CallOne(StoreCall(store_->address(), "PUT", "/item", item));
  if (!reply || reply.value().status != 200) throw std::runtime_error("the store refused a write");
}

void PlatformFleet::PutStoreItem(const std::string& key, const std::string& value) {
  WriteToStore({{"key", EncodeBase64(key)}, {"value", EncodeBase64(value)}});
}

void PlatformFleet::RemoveStoreItem(const std::string& key) {
  WriteToStore({{"key", EncodeBase64(key)}});
}

void PlatformFleet::WriteConfig(int version) {
  PutStoreItem("op/config",
               json::serialize(ConfigObject(version, options_.extra_models, options_.limits)));
}

void PlatformFleet::StartEndpoint(Endpoint* endpoint) {
  ++endpoint->starts;
  const std::string id = endpoint->service + "-" + std::to_string(endpoint->port) + "-" +
                         std::to_string(endpoint->starts);
  std::vector<std::string> flags{"--port=" + std::to_string(endpoint->port), "--id=" + id,
                                 "--service=" + endpoint->service,
                                 "--registered_port=" + std::to_string(endpoint->registered_port),
                                 "--store=" + ToString(store_->address())};
  if (endpoint->service == "models") {
    flags.emplace_back("--model=m");
    if (options_.extra_models > 0) flags.push_back("--order_log=" + OrderLog());
    flags.insert(flags.end(), options_.engine_flags.begin(), options_.engine_flags.end());
  }
  flags.insert(flags.end(), options_.endpoint_flags.begin(), options_.endpoint_flags.end());
  if (options_.log_runs) flags.push_back("--run_log=" + RunLog());
  if (options_.log_arrivals) flags.push_back("--arrival_log=" + ArrivalLog());
  const auto limit = options_.rate_limits.find(endpoint->index);
  if (limit != options_.rate_limits.end()) flags.push_back("--rate_limit=" + limit->second);
  const auto version = options_.versions.find(endpoint->index);
  if (version != options_.versions.end()) flags.push_back("--software=" + version->second);
  endpoint->process =
      std::make_unique<Process>(Program("tests/platform_endpoint_standin"), flags, Log(id), true);
}

// Restarts endpoints that have exited, until the fleet is destroyed.
void PlatformFleet::RestartEndpoints() {
  for (;;) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      const MonotonicTime now = MonotonicNow();
      for (Endpoint& endpoint : endpoints_) {
        if (endpoint.process != nullptr && !endpoint.process->running()) {
          endpoint.process.reset();
          endpoint.exited_at = now;
          exit_times_.push_back(now);
        }
        const bool due = now - endpoint.exited_at >= options_.restart_time;
        if (endpoint.process == nullptr && due) StartEndpoint(&endpoint);
      }
    }
    std::this_thread::sleep_for(kRestartPollInterval);
  }
}

void PlatformFleet::SignalEndpoint(int index, int signal_number) {
  const std::lock_guard lock(mutex_);
  Endpoint& endpoint = endpoints_.at(index);
  if (endpoint.process != nullptr) endpoint.process->Signal(signal_number);
}

std::vector<EndpointRun> PlatformFleet::Runs() const {
  std::vector<EndpointRun> runs;
  std::ifstream file(RunLog());
  for (std::string line; std::getline(file, line);) {
    auto [event, run] = ParseRunLine(line);
    if (event == "start") {
      runs.push_back(std::move(run));
      continue;
    }
    const auto is_open = [&run = run](const EndpointRun& other) {
      return !other.end && other.request_id == run.request_id && other.endpoint == run.endpoint;
    };
    const auto ended = std::find_if(runs.begin(), runs.end(), is_open);
    if (ended != runs.end()) ended->end = run.start;
  }
  return runs;
}

void PlatformFleet::ChangeEndpoint(int index, const json::object& change) {
  std::uint16_t port = 0;
  {
    const std::lock_guard lock(mutex_);
    port = endpoints_.at(index).port;
  }
  const auto reply = CallOne(StoreCall({"127.0.0.1", port}, "PUT", "/fault", change));
  if (!reply) throw std::runtime_error("the endpoint did not respond");
}

void PlatformFleet::SetRateLimit(int index, const std::string& rate_limit) {
  ChangeEndpoint(index, {{"rate_limit", rate_limit}});
}

std::vector<EndpointEvent> PlatformFleet::EndpointEvents() const {
  std::vector<EndpointEvent> events;
  std::ifstream file(ArrivalLog());
  std::string kind;
  std::int64_t micros = 0;
  std::uint16_t port = 0;
  EndpointEvent event;
  while (file >> kind >> micros >> port >> event.gateway >> event.rate_limit) {
    event.is_answer = kind == "answer";
    event.at = MonotonicTime(std::chrono::microseconds(micros));
    event.endpoint = IndexOfPort(port);
    if (event.rate_limit == "-") event.rate_limit.clear();
    events.push_back(event);
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return events;
}

int PlatformFleet::IndexOfPort(std::uint16_t port) const {
  const std::lock_guard lock(mutex_);
  const auto it = std::find_if(endpoints_.begin(), endpoints_.end(),
                               [&](const Endpoint& endpoint) { return endpoint.port == port; });
  return static_cast<int>(it - endpoints_.begin());
}

std::vector<std::string> PlatformFleet::GatewayLogLines(const std::string& text) const {
  std::vector<std::string> found;
  for (const auto& entry : std::filesystem::directory_iterator(directory_)) {
    const std::string name = entry.path().filename().string();
    if (!name.starts_with("gateway-") || !name.ends_with(".log")) continue;
    std::ifstream file(entry.path());
    for (std::string line; std::getline(file, line);) {
      if (line.find(text) != std::string::npos) found.push_back(name + ": " + line);
    }
  }
  return found;
}

std::vector<MonotonicTime> PlatformFleet::ExitTimes() const {
  const std::lock_guard lock(mutex_);
  return exit_times_;
}

Address PlatformFleet::caller_address(int index) const {
  if (caller_proxy_ != nullptr) return {"127.0.0.1", caller_proxy_ports_.at(index)};
  return {HostOf(index), ports_[0]};
}

void PlatformFleet::InjectLinkFaults(bool inject) {
  if (endpoint_proxy_ != nullptr) endpoint_proxy_->InjectFaults(inject);
  if (caller_proxy_ != nullptr) caller_proxy_->InjectFaults(inject);
}

std::map<LinkFault, int> PlatformFleet::InjectedLinkFaults() const {
  std::map<LinkFault, int> sum;
  for (const FaultProxy* proxy : {endpoint_proxy_.get(), caller_proxy_.get()}) {
    if (proxy == nullptr) continue;
    for (const auto& [fault, count] : proxy->injected()) sum[fault] += count;
  }
  return sum;
}

// Fills in the settings file of deploy/ as the platform does, as far as that file uses it.
std::string PlatformFleet::DeployedSettings(int index) const {
  const std::string host = HostOf(index);
  const auto at = [&](int port) { return host + ":" + std::to_string(ports_[port]); };
  const std::map<std::string, std::string> values{
      {"#zones}}{{@}}:{{.}}{{,}}{{/zones", "a:north"},
      {"#bounds.quota-slack}}\nquota_tolerance = {{.}}\n{{/bounds.quota-slack", ""},
      {"node-name", "g" + std::to_string(index)},
      {"region", "north"},
      {"zone", "a"},
      {"seeds", HostOf(0) + ":1," + HostOf(1) + ":1"},
      {"listen.front", at(0)},
      {"listen.readiness", at(1)},
      {"ip", host},
      {"internal-ports.0", std::to_string(ports_[2])},
      {"internal-ports.1", std::to_string(ports_[3])},
      {"platform.address", ToString(store_->address())},
      {"limits.cpu-share", "0.25"},
      {"limits.link-mbps", "1000.0"},
      {"limits.memory-mb", std::to_string(options_.host->memory_mb)},
      {"limits.max-fds", std::to_string(options_.host->max_fds)},
      {"bounds.drain-ms", "2500"},
      {"bounds.config-apply-ms", "2500"},
      {"bounds.grace-s", "8"},
      {"bounds.retry-budget-ratio", "0.2"},
      {"bounds.budget-slack", "52"},
      {"bounds.budget-window-s", "10"},
      {"bounds.lease-ms", "3000"},
      {"bounds.require-fencing", "true"},
      {"bounds.ceiling-window-s", "5"},
      {"bounds.ceiling-over", "1.1"}};
  std::ifstream file(MIMOSABEND_SOURCE_DIRECTORY "/deploy/gateway.ini.tmpl");
  std::string text(std::istreambuf_iterator<char>(file), {});
  for (const auto& [name, value] : values) {
    boost::replace_all(text, "{{" + name + "}}", value);
  }
  if (text.find("{{") != std::string::npos) throw std::runtime_error("not filled in: " + text);
  return text;
}

void PlatformFleet::WriteSettings(int index) {
  std::ofstream file(directory_ / ("gateway-" + std::to_string(index) + ".ini"));
  if (options_.host) {
    file << DeployedSettings(index) << options_.gateway_settings;
    return;
  }
  const std::string host = HostOf(index);
  file << "[gateway]\nname = g" << index << "\nregion = north\nfailure_domain = a\n"
       << "seeds = " << HostOf(0) << ":1, " << HostOf(1) << ":1\ndomains = a:north\n"
       << "[listen]\ncaller = " << host << ":" << ports_[0] << "\nreadiness = " << host << ":"
       << ports_[1] << "\npeer = " << host << ":" << ports_[2] << "\nmetrics = " << host << ":"
       << ports_[3] << "\n[platform]\nstore = " << ToString(store_->address())
       << (options_.forecast ? "\n[admission]\nforecast = on" : "")
       << "\n[bounds]\nretry_extra = 2000\n[log]\nlevel = info\nformat = logfmt\n"
       << options_.gateway_settings;
}

void PlatformFleet::StartGateway(int index) {
  WriteSettings(index);
  const std::string name = "gateway-" + std::to_string(index);
  gateways_.at(index).reset();
  const std::string config = (directory_ / (name + ".ini")).string();
  const std::string log = Log(name + "-" + std::to_string(++gateway_starts_.at(index)));
  std::vector<std::string> command{GatewayProgram(), "gateway", "--config=" + config};
  const std::string redirections = Redirections(index);
  if (!redirections.empty()) {
    command.insert(command.begin(),
                   {"/usr/bin/env", "LD_PRELOAD=" + Program("tests/libredirect_connect.so"),
                    "MIMOSABEND_REDIRECT_CONNECT=" + redirections,
                    "MIMOSABEND_REDIRECT_ALL=" + CutFile(index)});
  }
  gateways_.at(index) = std::make_unique<Process>(
      command.front(), std::vector<std::string>(command.begin() + 1, command.end()), log, false);
  HttpCall ready;
  ready.address = {HostOf(index), ports_[1]};
  ready.target = "/mimosabend/ready";
  const bool started = WaitFor(kStartTimeout, [&] {
    ready.deadline = MonotonicNow() + kCallTimeout;
    const auto reply = CallOne(ready);
    return reply && reply.value().status == 200;
  });
  if (!started) throw std::runtime_error(name + " is not ready");
}

// The proxies through which a gateway connects: to the store, since all gateways name the same one
// (their messages are signed with a key that follows from its address), and to the endpoints.
std::string PlatformFleet::Redirections(int gateway) const {
  std::string redirections;
  const auto add = [&](std::uint16_t from, std::uint16_t to) {
    if (!redirections.empty()) redirections += ",";
    redirections += std::to_string(from) + ":" + std::to_string(to);
  };
  if (options_.restore_store) add(store_->address().port, store_proxy_ports_.at(gateway));
  if (!options_.cut_endpoints) return redirections;
  const std::lock_guard lock(mutex_);
  for (const Endpoint& endpoint : endpoints_) {
    add(endpoint.registered_port, cut_proxy_ports_.at(gateway).at(endpoint.index));
  }
  return redirections;
}

void PlatformFleet::CutFromEndpoints(int gateway, EndpointCut cut) {
  cut_proxies_.at(gateway)->Hold(cut == EndpointCut::kHang);
  cut_proxies_.at(gateway)->Cut(cut == EndpointCut::kReset || cut == EndpointCut::kRefuse);
  std::uint16_t port = 0;
  if (cut == EndpointCut::kHang) port = silent_port_->port();
  if (cut == EndpointCut::kRefuse || cut == EndpointCut::kRefuseNew) port = FreePorts(1).front();
  std::ofstream(CutFile(gateway)) << port;
}

double PlatformFleet::Metric(int index, const std::string& name) {
  HttpCall call;
  call.address = {HostOf(index), ports_[3]};
  call.target = "/metrics";
  call.deadline = MonotonicNow() + kCallTimeout;
  const auto reply = CallOne(std::move(call));
  if (!reply) return 0;
  std::istringstream lines(reply.value().body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " ")) return std::stod(line.substr(name.size() + 1));
  }
  return 0;
}

int PlatformFleet::Leader() {
  for (int i = 0; i < options_.gateways; ++i) {
    if (Metric(i, "mimosabend_gateway_leads_placement") > 0) return i;
  }
  return -1;
}

void PlatformFleet::RefuseStoreCalls(bool refuse) {
  const json::object body{{"refuse", refuse}};
  const auto reply = CallOne(StoreCall(store_->address(), "PUT", "/fault", body));
  if (!reply) throw std::runtime_error("the store did not respond");
}

MonotonicTime PlatformFleet::RestoreStore(milliseconds age, milliseconds down) {
  const json::object body{{"age-ms", age.count()}, {"down-ms", down.count()}};
  const auto reply = CallOne(StoreCall(store_->address(), "PUT", "/restore", body));
  if (!reply || reply.value().status != 200) throw std::runtime_error("the store has no such copy");
  return MonotonicNow();
}

void PlatformFleet::CutFromStore(int gateway, bool cut) { store_proxies_.at(gateway)->Cut(cut); }

void PlatformFleet::LetLeave(int endpoint) { ChangeEndpoint(endpoint, {{"leave", true}}); }

std::vector<AcceptedOrder> PlatformFleet::Orders() const {
  std::vector<AcceptedOrder> orders;
  std::ifstream file(OrderLog());
  std::int64_t micros = 0;
  std::uint16_t port = 0;
  AcceptedOrder order;
  while (file >> micros >> port >> order.fence && std::getline(file, order.holder)) {
    order.at = MonotonicTime(std::chrono::microseconds(micros));
    order.engine = IndexOfPort(port);
    orders.push_back(order);
  }
  std::stable_sort(orders.begin(), orders.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return orders;
}

HttpCall PlatformFleet::MakeCall(int gateway, const std::string& target, const std::string& body) {
  HttpCall call;
  call.address = caller_address(gateway);
  call.method = "POST";
  call.target = target;
  call.body = body;
  call.headers = {{"Host", "a.example"},    {"Request-Id", Hex64(Hash64(target, ++next_request_))},
                  {"Deadline-Ms", "10000"}, {"Test-Gateway", std::to_string(gateway)},
                  {"Model", "m"},           {"Token-Count", "100,10"}};
  call.deadline = MonotonicNow() + kCallTimeout;
  return call;
}

}  // namespace mimosabend::testing
