#include "fleet.h"

#include <signal.h>
#include <stdlib.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/process/args.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/io.hpp>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "digest.h"
#include "json.h"

namespace mimosabend::testing {

namespace asio = boost::asio;
namespace bp = boost::process;

namespace {

constexpr char kSharedKey[] = "test-shared-key-0123456789";
constexpr std::chrono::seconds kStartTimeout{20};
// The settings parser rejects a line with the addresses of 12 daemons as too long.
constexpr std::size_t kMaxListedDaemons = 8;

std::string ProgramPath(const std::string& name) {
  return std::string(MIMOSABEND_BUILD_DIRECTORY) + "/" + name;
}

std::filesystem::path MakeTemporaryDirectory() {
  std::string pattern = (std::filesystem::temp_directory_path() / "mimosabend-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("mkdtemp failed");
  return pattern;
}

}  // namespace

std::vector<std::uint16_t> FreePorts(std::size_t count) {
  constexpr std::uint16_t kFirstPort = 10000;
  constexpr std::uint16_t kLastPort = 32000;
  asio::io_context io;
  // Kept open until all ports are chosen, so that no port is chosen twice.
  std::vector<asio::ip::tcp::acceptor> sockets;
  std::vector<std::uint16_t> ports;
  std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<std::uint16_t> random_port(kFirstPort, kLastPort);
  while (ports.size() < count) {
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), random_port(random));
    asio::ip::tcp::acceptor socket(io, endpoint.protocol());
    boost::system::error_code error;
    socket.bind(endpoint, error);
    if (error) continue;
    ports.push_back(endpoint.port());
    sockets.push_back(std::move(socket));
  }
  return ports;
}

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log_file, bool wait_for_port)
    : child_(wait_for_port ? bp::child(bp::exe = program, bp::args = arguments,
                                       bp::std_out > output_, bp::std_err > log_file)
                           : bp::child(bp::exe = program, bp::args = arguments,
                                       (bp::std_out & bp::std_err) > log_file)) {
  if (!wait_for_port) return;
  std::string word;
  if (!(output_ >> word >> port_) || word != "listening") {
    throw std::runtime_error(program + " printed no port, see " + log_file);
  }
}

Process::~Process() {
  if (child_.running()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
  }
  std::error_code ignored;
  child_.wait(ignored);
}

void Process::Signal(int signal_number) { ::kill(child_.id(), signal_number); }

bool Process::running() { return child_.running(); }

int Process::WaitForExit(std::chrono::milliseconds timeout) {
  const bool exited = WaitFor(timeout, [this] { return !child_.running(); });
  return exited ? child_.exit_code() : -1;
}

CommandResult RunCommand(const std::string& program, const std::vector<std::string>& arguments) {
  CommandResult result;
  bp::ipstream output;
  bp::child child(bp::exe = program, bp::args = arguments, (bp::std_out & bp::std_err) > output);
  std::ostringstream text;
  text << output.rdbuf();
  child.wait();
  result.output = text.str();
  result.exit_code = child.exit_code();
  return result;
}

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options)), directory_(MakeTemporaryDirectory()) {
  kv_ = StartStandin("kv_standin", {}, "kv");
  weight_store_ = StartStandin("weight_store_standin", options_.weight_store_flags, "weights");
  host_list_ = StartStandin("host_list_standin",
                            {"--lag_ms=" + std::to_string(options_.host_list_lag_ms)}, "hosts");
  for (const std::string& region : options_.regions) {
    for (int i = 0; i < options_.engines_per_region; ++i) {
      const std::string id = "engine-" + region + "-" + std::to_string(i);
      std::vector<std::string> flags = options_.engine_flags;
      flags.push_back("--weight_store=" + ToString(weight_store_->address()));
      flags.push_back(options_.honour_fence ? "--honour_fence=true" : "--honour_fence=false");
      endpoints_[id] = StartStandin("engine_standin", flags, id);
    }
    for (int i = 0; i < options_.services_per_region; ++i) {
      const std::string id = "service-" + region + "-" + std::to_string(i);
      endpoints_[id] = StartStandin("service_standin", {}, id);
    }
  }
  PublishHosts();
  const std::vector<std::uint16_t> ports = FreePorts(3 * options_.daemons);
  for (int i = 0; i < options_.daemons; ++i) {
    DaemonAddresses addresses;
    addresses.caller = {"127.0.0.1", ports[3 * i]};
    addresses.admin = {"127.0.0.1", ports[3 * i + 1]};
    addresses.peer = {"127.0.0.1", ports[3 * i + 2]};
    daemon_addresses_.push_back(addresses);
  }
  daemons_.resize(options_.daemons);
  WriteOperatorSettings();
}

Fleet::~Fleet() {
  balancer_.reset();
  daemons_.clear();
  endpoints_.clear();
  kv_.reset();
  weight_store_.reset();
  host_list_.reset();
  std::error_code ignored;
  if (::getenv("MIMOSABEND_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_, ignored);
  }
}

std::unique_ptr<Process> Fleet::StartStandin(const std::string& name,
                                             std::vector<std::string> arguments,
                                             const std::string& log_name) {
  return std::make_unique<Process>(ProgramPath("tests/" + name), arguments,
                                   (directory_ / (log_name + ".log")).string(), true);
}

void Fleet::WriteSettings(int index) {
  const DaemonAddresses& own = daemon_addresses_[index];
  const std::string& region = options_.regions[index % options_.regions.size()];
  const auto kv_override = options_.kv_of_daemon.find(index);
  const Address kv =
      kv_override == options_.kv_of_daemon.end() ? kv_->address() : kv_override->second;
  std::ofstream file(directory_ / ("daemon-" + std::to_string(index) + ".ini"));
  file << "[daemon]\nname = daemon-" << index << "\nenvironment = test\nregion = " << region
       << "\nfailure_domain = " << region << "-a\n"
       << "[listen]\ncaller = " << ToString(own.caller) << "\nadmin = " << ToString(own.admin)
       << "\npeer = " << ToString(own.peer) << "\n"
       << "[platform]\nkv = " << ToString(kv) << "\nhost_list = " << ToString(host_list_->address())
       << "\nweight_store = " << ToString(weight_store_->address()) << "\n"
       << "[peers]\nshared_key = " << kSharedKey << "\nseeds = ";
  const std::size_t seeds = std::min(kMaxListedDaemons, daemon_addresses_.size());
  for (std::size_t i = 0; i < seeds; ++i) {
    if (options_.without_seeds.contains(index)) continue;
    file << (i == 0 ? "" : ", ") << ToString(daemon_addresses_[i].peer);
  }
  if (options_.without_seeds.contains(index)) file << ToString(own.peer);
  std::string blocked;
  for (const auto& [from, to] : options_.cut_links) {
    if (from == index) {
      blocked += (blocked.empty() ? "" : ", ") + ToString(daemon_addresses_[to].peer);
    }
  }
  if (!blocked.empty()) file << "\nblocked = " << blocked;
  file << "\n[limits]\ndrain_delay_ms = 500\n" << options_.daemon_settings;
}

void Fleet::WriteOperatorSettings() {
  std::ofstream file(operator_config());
  file << "[platform]\nkv = " << ToString(kv_->address())
       << "\nhost_list = " << ToString(host_list_->address())
       << "\nweight_store = " << ToString(weight_store_->address()) << "\n[daemons]\nadmin = ";
  for (std::size_t i = 0; i < std::min(kMaxListedDaemons, daemon_addresses_.size()); ++i) {
    file << (i == 0 ? "" : ", ") << ToString(daemon_addresses_[i].admin);
  }
  file << "\n";
}

void Fleet::StartDaemon(int index) {
  daemons_[index].reset();
  WriteSettings(index);
  const std::string name = "daemon-" + std::to_string(index);
  daemons_[index] = std::make_unique<Process>(
      ProgramPath("mimosabend"),
      std::vector<std::string>{"daemon", "--config=" + (directory_ / (name + ".ini")).string()},
      (directory_ / (name + ".log")).string(), false);
}

void Fleet::StartDaemons() {
  for (int i = 0; i < options_.daemons; ++i) StartDaemon(i);
  std::string targets;
  std::string admins;
  for (int i = 0; i < options_.daemons; ++i) {
    const bool ready = WaitFor(kStartTimeout, [&] {
      HttpCall call;
      call.address = admin_address(i);
      call.target = "/healthz";
      auto reply = Call(std::move(call), seconds(1));
      return reply && reply.value().status == 200;
    });
    if (!ready) throw std::runtime_error("daemon-" + std::to_string(i) + " did not start");
    targets += (i == 0 ? "" : ",") + ToString(caller_address(i));
    admins += (i == 0 ? "" : ",") + ToString(admin_address(i));
  }
  balancer_ =
      StartStandin("balancer_standin", {"--targets=" + targets, "--ready=" + admins}, "balancer");
}

CommandResult Fleet::RunOperatorCommand(std::vector<std::string> arguments) {
  arguments.push_back("--config=" + operator_config());
  arguments.push_back("--environment=test");
  arguments.push_back("--author=tester");
  return RunCommand(ProgramPath("mimosabend"), arguments);
}

void Fleet::DeployDocument(const std::string& document) {
  const std::string path = (directory_ / "environment.ini").string();
  std::ofstream(path) << document;
  const CommandResult trial = RunOperatorCommand({"trial", path});
  if (trial.exit_code != 0) throw std::runtime_error("trial failed: " + trial.output);
  const CommandResult promote = RunOperatorCommand({"promote"});
  if (promote.exit_code != 0) throw std::runtime_error("promote failed: " + promote.output);
}

void Fleet::PublishHosts() {
  boost::json::array hosts;
  for (const auto& [id, process] : endpoints_) {
    const bool engine = id.starts_with("engine-");
    const std::size_t start = id.find('-') + 1;
    const std::string region = id.substr(start, id.rfind('-') - start);
    const auto state = host_states_.find(id);
    if (state != host_states_.end() && state->second == "gone") continue;
    boost::json::object host;
    host["id"] = id;
    host["role"] = engine ? "engine" : "service";
    host["serves"] = engine ? "assistant" : "orders";
    host["region"] = region;
    host["failure_domain"] = region + "-a";
    host["address"] = ToString(process->address());
    host["state"] = state == host_states_.end() ? "live" : state->second;
    hosts.push_back(std::move(host));
  }
  boost::json::object body;
  body["hosts"] = std::move(hosts);
  HttpCall call;
  call.address = host_list_->address();
  call.method = "PUT";
  call.target = "/v1/hosts";
  call.body = boost::json::serialize(body);
  if (!Call(std::move(call))) throw std::runtime_error("host list stand-in did not answer");
}

void Fleet::AddEngine(const std::string& region, const std::string& id) {
  std::vector<std::string> flags = options_.engine_flags;
  flags.push_back("--weight_store=" + ToString(weight_store_->address()));
  flags.push_back(options_.honour_fence ? "--honour_fence=true" : "--honour_fence=false");
  static_cast<void>(region);
  endpoints_[id] = StartStandin("engine_standin", flags, id);
  PublishHosts();
}

Result<HttpReply, HttpError> Fleet::Call(HttpCall call, std::chrono::milliseconds timeout) {
  asio::io_context io(1);
  HttpClient client(io.get_executor());
  call.deadline = MonotonicNow() + timeout;
  Result<HttpReply, HttpError> result = outcome::failure(HttpError::kBroken);
  const auto run = [&]() -> Task<void> { result = co_await client.Call(std::move(call)); };
  asio::co_spawn(io, run(), asio::detached);
  io.run();
  return result;
}

void Fleet::SetFault(const Process& standin, const std::string& json_body) {
  HttpCall call;
  call.address = standin.address();
  call.method = "PUT";
  call.target = "/fault";
  call.body = json_body;
  if (!Call(std::move(call))) throw std::runtime_error("stand-in did not answer PUT /fault");
}

std::string Fleet::MetricsText(int daemon) {
  HttpCall call;
  call.address = admin_address(daemon);
  call.target = "/metrics";
  auto reply = Call(std::move(call));
  return reply ? std::move(reply).value().body : "";
}

double Fleet::Metric(int daemon, const std::string& name) {
  std::istringstream lines(MetricsText(daemon));
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " ")) return std::stod(line.substr(name.size() + 1));
  }
  return 0;
}

std::string TestDocument(const FleetOptions& options) {
  std::string regions;
  for (const std::string& region : options.regions) {
    regions += (regions.empty() ? "" : ", ") + region;
  }
  std::ostringstream text;
  text << "[environment]\nname = test\nregions = " << regions << "\nidle_weight = 0.3\n"
       << "[pool assistant]\nfencing = " << (options.honour_fence ? "honoured" : "ignored")
       << "\nendpoint_memory_mib = 80000\nbudget_mib = " << 80000 * options.engines_per_region
       << "\nslots = 8\n";
  for (const char* model : {"recipes", "assembly", "heraldry"}) {
    text << "[model " << model
         << "]\npool = assistant\nversion = 1\nmemory_mib = 16000\nmax_replicas = 2\n";
  }
  text << "[adapter recipes-sun]\nmodel = recipes\nversion = 1\nmemory_mib = 200\n";
  for (const char* rank : {"urgent", "standard", "background"}) {
    text << "[caller " << rank << "]\nkey_sha256 = " << Sha256Hex(std::string(rank) + "-key")
         << "\nrank = " << rank << "\nmodels = *\nservices = orders\n";
  }
  text << "[caller limited]\nkey_sha256 = " << Sha256Hex("limited-key")
       << "\nrank = standard\nmodels = recipes\n"
       << "[service orders]\nrepeatable = false\nrecord_window_s = 3600\ntimeout_ms = 5000\n";
  return text.str();
}

std::string CompletionBody(const std::string& model, const std::string& prompt, int max_tokens,
                           bool stream) {
  boost::json::object body;
  body["model"] = model;
  body["prompt"] = prompt;
  body["max_tokens"] = max_tokens;
  body["stream"] = stream;
  return boost::json::serialize(body);
}

HttpCall PostAs(const std::string& key, Address address, std::string target, std::string body) {
  HttpCall call;
  call.address = std::move(address);
  call.method = "POST";
  call.target = std::move(target);
  call.headers.emplace_back("Authorization", "Bearer " + key);
  call.headers.emplace_back("Content-Type", "application/json");
  call.body = std::move(body);
  return call;
}

std::string StreamedText(const std::string& body, bool* complete) {
  std::string text;
  *complete = false;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("data: ")) continue;
    const std::string data = line.substr(6);
    if (data == "[DONE]") {
      *complete = true;
      continue;
    }
    const auto chunk = ParseJson(data);
    const auto* choices = chunk ? JsonMember(*chunk, "choices") : nullptr;
    if (choices == nullptr) continue;
    const auto& choice = choices->as_array().front();
    const auto* delta = JsonMember(choice, "delta");
    text += delta != nullptr ? StringMember(*delta, "content") : StringMember(choice, "text");
  }
  return text;
}

bool WaitFor(std::chrono::milliseconds timeout, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

}  // namespace mimosabend::testing
