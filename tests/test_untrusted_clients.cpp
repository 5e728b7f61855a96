#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/ip/address_v4.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include "client_crowd.h"
#include "fleet.h"
#include "platform_fleet.h"

namespace mimosabend::testing {

namespace {

constexpr std::uint64_t kMb = 1 << 20;
constexpr std::uint64_t kBodyLimit = 4 * kMb;
constexpr std::uint64_t kEndless = std::uint64_t{1} << 40;
// The smallest host of the users' deployments.
constexpr DeployedHost kHost{120, 3075};
// Names the only crowd to run, if it is set.
constexpr const char* kOnlyCrowd = "MIMOSABEND_TEST_CROWD";
// Names a crowd that a test of its own runs.
constexpr const char* kExceptCrowd = "MIMOSABEND_TEST_CROWD_EXCEPT";
// Ends a wait that would not end otherwise; no test passes or fails by it.
constexpr milliseconds kSendTimeout{120000};
// A crowd whose clients come back is observed for this long.
constexpr milliseconds kReturnTime{10000};
constexpr milliseconds kCallTimeout{20000};
constexpr milliseconds kQuietTime{1000};
constexpr milliseconds kSampleInterval{20};
constexpr int kMaxCalls = 12;

// Bytes in the sockets of connections to a listener.
struct SocketQueues {
  // Received there and not yet read.
  std::uint64_t unread = 0;
  // On the way there.
  std::uint64_t sent = 0;

  bool operator==(const SocketQueues&) const = default;
};

SocketQueues QueuesOf(const Address& listener) {
  const auto bytes = boost::asio::ip::make_address_v4(listener.ip).to_bytes();
  std::array<char, 14> address;
  std::snprintf(address.data(), address.size(), "%02X%02X%02X%02X:%04X", bytes[3], bytes[2],
                bytes[1], bytes[0], listener.port);
  SocketQueues found;
  std::ifstream sockets("/proc/net/tcp");
  std::string number, local, remote, state, queues;
  std::getline(sockets, number);
  for (std::string line; std::getline(sockets, line);) {
    std::istringstream(line) >> number >> local >> remote >> state >> queues;
    const bool listens = state == "0A";
    if (!listens && local.starts_with(address.data())) {
      found.unread += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    if (remote.starts_with(address.data())) found.sent += std::stoull(queues, nullptr, 16);
  }
  return found;
}

// Waits until what has been sent to a listener has been read, or is not read any more.
void WaitUntilRead(const Address& listener, milliseconds timeout) {
  SocketQueues last;
  MonotonicTime changed = MonotonicNow();
  WaitFor(timeout, [&] {
    const SocketQueues now = QueuesOf(listener);
    if (now != std::exchange(last, now)) changed = MonotonicNow();
    return MonotonicNow() - changed > kQuietTime;
  });
}

// Memory that the platform counts for a process: what is resident, and what its sockets have
// received and the process has not read yet. In bytes; 0 if the process has ended.
std::uint64_t CountedMemory(int pid, const Address& listener) {
  std::uint64_t kilobytes = 0;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) kilobytes = std::stoull(line.substr(6));
  }
  return kilobytes == 0 ? 0 : kilobytes * 1024 + QueuesOf(listener).unread;
}

int OpenDescriptors(int pid) {
  std::error_code error;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid) + "/fd", error);
  return error ? 0 : static_cast<int>(std::distance(begin(all), end(all)));
}

// Samples what a process uses, in a thread of its own.
class UsageSampler {
 public:
  UsageSampler(int pid, const Address& listener)
      : thread_([this, pid, listener] {
          while (!stop_) {
            memory_ = std::max(memory_.load(), CountedMemory(pid, listener));
            descriptors_ = std::max(descriptors_.load(), OpenDescriptors(pid));
            std::this_thread::sleep_for(kSampleInterval);
          }
        }) {}
  ~UsageSampler() {
    stop_ = true;
    thread_.join();
  }
  double peak_mb() const { return static_cast<double>(memory_) / kMb; }
  int peak_descriptors() const { return descriptors_; }

 private:
  std::atomic<bool> stop_ = false;
  std::atomic<std::uint64_t> memory_ = 0;
  std::atomic<int> descriptors_ = 0;
  std::thread thread_;
};

// Calls as a client of the users does: again after a refusal, when it asks to. Returns the last
// status, 0 if the connection was lost.
int CallWithRetries(const std::function<HttpCall()>& make_call) {
  int status = 0;
  for (int i = 0; i < kMaxCalls && status != 200; ++i) {
    const auto reply = CallOne(make_call());
    status = reply ? reply.value().status : 0;
    if (status == 200) break;
    const std::string after(reply ? FindHeader(reply.value().headers, "Retry-After") : "");
    std::this_thread::sleep_for(
        milliseconds(after.empty() ? 100 : static_cast<int>(std::stod(after) * 1000)));
  }
  return status;
}

bool IsSelected(const CrowdBehavior& behavior) {
  const char* only = std::getenv(kOnlyCrowd);
  const char* except = std::getenv(kExceptCrowd);
  return (only == nullptr || behavior.name == only) &&
         (except == nullptr || behavior.name != except);
}

// A process of the system, where callers reach it, and an ordinary request to it.
struct Target {
  Process* process;
  Address address;
  std::function<HttpCall()> call;
};

Target GatewayOf(PlatformFleet* fleet) {
  return {&fleet->gateway(0), fleet->caller_address(0),
          [fleet] { return fleet->MakeCall(0, "/read/1", "x"); }};
}

// Checks that a process on a host survives crowds at once within its memory and descriptors, and
// serves an ordinary request beside them and after them.
void CheckCrowds(const Target& target, const DeployedHost& host, const std::string& name,
                 const std::vector<CrowdBehavior>& behaviors) {
  INFO("crowd: " << name);
  const UsageSampler usage(target.process->pid(), target.address);
  CHECK(CallWithRetries(target.call) == 200);
  {
    std::list<ClientCrowd> crowds;
    bool returns = false;
    for (const CrowdBehavior& behavior : behaviors) {
      crowds.emplace_back(target.address, behavior);
      returns = returns || behavior.returns;
    }
    for (const ClientCrowd& crowd : crowds) crowd.WaitUntilSent(kSendTimeout);
    WaitUntilRead(target.address, returns ? kReturnTime : kSendTimeout);
    CHECK(CallWithRetries(target.call) == 200);
  }
  CHECK(CallWithRetries(target.call) == 200);
  CHECK(target.process->running());
  CHECK(usage.peak_mb() < host.memory_mb);
  CHECK(usage.peak_descriptors() < host.max_fds);
  WARN(name << ": peak of " << usage.peak_mb() << " MB, " << usage.peak_descriptors()
            << " descriptors");
}

PlatformFleetOptions Deployed(const DeployedHost& host) {
  PlatformFleetOptions options;
  options.gateways = 1;
  options.engines = 1;
  options.plain_endpoints = 2;
  options.host = host;
  options.limits = HttpLimits{};
  options.limits->header_bytes = 16 * 1024;
  options.limits->body_bytes = kBodyLimit;
  // Longer than a test, so that the time-out does not end the crowd.
  options.limits->idle_timeout = seconds(120);
  // Engines keep a request waiting, so that a handler waits as well.
  options.engine_flags = {"--start_ms=5000"};
  return options;
}

using enum CrowdFraming;
constexpr std::uint64_t kShort = kBodyLimit - 1;
constexpr std::uint64_t kFields = 15 * 1024;
const std::vector<CrowdBehavior> kCrowds{
    {"bodies at once", 60, kLength, "/order/1", kBodyLimit, kShort, kBodyLimit, false, 10},
    {"bodies in pieces", 60, kLength, "/order/1", kBodyLimit, kShort, 64 * 1024, false, 10},
    {"bodies to slow endpoints", 60, kLength, "/once/1", kBodyLimit, kShort, kBodyLimit, false, 2},
    {"announced bodies", 60, kLength, "/order/1", kBodyLimit, 1, 1},
    {"large chunks", 60, kChunks, "/order/1", kBodyLimit, kShort, 64 * 1024, false, 10},
    {"one-byte chunks", 40, kChunks, "/order/1", kBodyLimit, kShort, 1, false, 10},
    {"endless chunks", 60, kChunks, "/order/1", kEndless, kEndless},
    {"endless announced", 60, kLength, "/order/1", 1024 * kMb, 1024 * kMb},
    {"chunks, coming back", 60, kChunks, "/order/1", kBodyLimit, kShort, 64 * 1024, true, 10},
    {"many small chunked", 1900, kChunks, "/order/1", 64 * 1024, 60 * 1024, 4096, false, 10},
    {"many small announced", 2300, kLength, "/order/1", 9 * 1024, 9 * 1024 - 1, 9 * 1024, false, 0},
    {"endless headers", 1900, kHeader, "/order/1", 15 * 1024, 15 * 1024},
    {"nothing sent", 2300, kNothing},
    {"bytes behind a request", 1000, kPipelined, "/once/1", kMb, kMb},
    {"nothing sent, coming back", 2300, kNothing, "", 0, 0, 1, true},
    {"small chunked, coming back", 1900, kChunks, "/order/1", 64 * 1024, 60 * 1024, 4096, true, 10},
    {"small fields without end", 1900, kHeader, "/order/1", 0, 0, 1, false, 0, kFields},
    {"small fields, short body", 1900, kLength, "/order/1", 9 * 1024, 1, 1, false, 0, kFields},
    {"small fields, slow endpoints", 1900, kLength, "/once/1", 1, 1, 1, false, 1, kFields},
};

// A legal body that takes many times its size when it is parsed.
std::string DenseBody(std::uint64_t bytes) {
  std::string body = R"({"model":"recipes","prompt":"tea","max_tokens":2,"dense":[0)";
  while (body.size() + 4 < bytes) body += ",0";
  return body + "]}";
}

constexpr char kCompletions[] = "/v1/completions";
const std::vector<CrowdBehavior> kDaemonCrowds{
    {"daemon: bodies at once", 200, kLength, kCompletions, kMb, kMb - 1, kMb, false, 10},
    {"daemon: large chunks", 200, kChunks, kCompletions, kMb, kMb - 1, 64 * 1024, false, 10},
    {"daemon: one-byte chunks", 200, kChunks, kCompletions, kMb, kMb - 1, 1, false, 10},
    {"daemon: endless chunks", 200, kChunks, kCompletions, kEndless, kEndless},
    {"daemon: small fields", 1900, kLength, kCompletions, 9 * 1024, 1, 1, false, 0, kFields},
    {"daemon: nothing sent", 2300, kNothing},
    {"daemon: dense bodies", 30, kLength, kCompletions, DenseBody(kMb).size(), 0, 1, false, 0, 0,
     DenseBody(kMb)},
};

FleetOptions OneDaemon(const DeployedHost& host) {
  FleetOptions options;
  options.daemons = 1;
  options.regions = {"nordeste"};
  options.engines_per_region = 1;
  // An engine sends nothing of its response before, so that requests wait for it.
  options.engine_flags = {"--prefill_ms=1000"};
  options.daemon_settings =
      "idle_timeout_ms = 120000\n[host]\nmemory_mb = " + std::to_string(host.memory_mb) +
      "\ndescriptors = " + std::to_string(host.max_fds) + "\n";
  return options;
}

}  // namespace

// Guards against clients that make the process exceed the memory or the descriptors of its host, or
// that hold all room so that others are refused.
TEST_CASE("a crowd of clients neither ends the process nor shuts others out", "[crowd]") {
  const CrowdBehavior behavior = GENERATE(from_range(kCrowds));
  if (!IsSelected(behavior)) return;
  PlatformFleet fleet(Deployed(kHost));
  CheckCrowds(GatewayOf(&fleet), kHost, behavior.name, {behavior});
}

// Guards against limits that hold for each way of sending, but not for all of them together.
TEST_CASE("crowds of all kinds at once neither end the process nor shut others out", "[crowd]") {
  std::vector<CrowdBehavior> behaviors = kCrowds;
  for (CrowdBehavior& behavior : behaviors) behavior.clients /= 4;
  const std::string name = "all kinds";
  if (!IsSelected({name})) return;
  PlatformFleet fleet(Deployed(kHost));
  CheckCrowds(GatewayOf(&fleet), kHost, name, behaviors);
}

// Guards against the same in a daemon of the product, and against what a request takes beside the
// bytes of its body.
TEST_CASE("a crowd of clients neither ends a daemon nor shuts others out", "[crowd]") {
  const CrowdBehavior behavior = GENERATE(from_range(kDaemonCrowds));
  if (!IsSelected(behavior)) return;
  Fleet fleet(OneDaemon(kHost));
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(fleet.options()));
  const Target daemon{&fleet.daemon(0), fleet.caller_address(0), [&fleet] {
                        HttpCall call = PostAs("urgent-key", fleet.caller_address(0), kCompletions,
                                               CompletionBody("recipes", "tea", 5, false));
                        call.deadline = MonotonicNow() + kCallTimeout;
                        return call;
                      }};
  CheckCrowds(daemon, kHost, behavior.name, {behavior});
}

// Guards against frames whose length takes memory before they have been received, and against those
// that stop short of their end.
TEST_CASE("a crowd at the port for daemons does not end the process", "[crowd]") {
  const CrowdBehavior behavior = GENERATE(
      CrowdBehavior{"announced frames", 60, kFrame, "", kBodyLimit, 1, 1},
      CrowdBehavior{"unfinished frames", 60, kFrame, "", kBodyLimit, kShort, 64 * 1024},
      CrowdBehavior{"frames, coming back", 60, kFrame, "", kBodyLimit, kShort, 64 * 1024, true},
      CrowdBehavior{"idle peers", 3000, kNothing});
  if (!IsSelected(behavior)) return;
  PlatformFleet fleet(Deployed(kHost));
  Target target = GatewayOf(&fleet);
  target.address = fleet.peer_address(0);
  CheckCrowds(target, kHost, behavior.name, {behavior});
}

// Guards against connections without requests that take all descriptors of a small host.
TEST_CASE("descriptors stay within the host's limit", "[crowd]") {
  constexpr DeployedHost kFewDescriptors{120, 600};
  PlatformFleet fleet(Deployed(kFewDescriptors));
  const UsageSampler usage(fleet.gateway(0).pid(), fleet.caller_address(0));
  const ClientCrowd crowd(fleet.caller_address(0), {"nothing sent", 700, kNothing});
  crowd.WaitUntilSent(kSendTimeout);
  CHECK(CallWithRetries(GatewayOf(&fleet).call) == 200);
  CHECK(usage.peak_descriptors() < kFewDescriptors.max_fds);
  WARN("peak of " << usage.peak_descriptors() << " descriptors");
}

// Guards against limits that a lawful client meets.
TEST_CASE("a body of the largest size is served in calm", "[crowd]") {
  const CrowdFraming framing = GENERATE(kLength, kChunks);
  PlatformFleet fleet(Deployed(kHost));
  const ClientCrowd client(fleet.caller_address(0),
                           {"single", 1, framing, "/order/1", kBodyLimit, 0, 64 * 1024, false, 1});
  CHECK(WaitFor(kSendTimeout, [&] { return !client.Statuses().empty(); }));
  for (const auto& [id, status] : client.Statuses()) CHECK(status == 200);
}

// Guards against a limit that a legal body meets since it takes much memory while it is parsed.
TEST_CASE("a body of many small values is served by a daemon in calm", "[crowd]") {
  Fleet fleet(OneDaemon(kHost));
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(fleet.options()));
  HttpCall call = PostAs("urgent-key", fleet.caller_address(0), kCompletions, DenseBody(kMb));
  const auto reply = fleet.Call(std::move(call));
  REQUIRE(reply);
  CHECK(reply.value().status == 200);
}

// Guards against refusals that say that a request has not run although it has.
TEST_CASE("what is refused beside a crowd does not run", "[crowd]") {
  PlatformFleetOptions options = Deployed({24, 3075});
  options.log_runs = true;
  PlatformFleet fleet(options);
  const ClientCrowd crowd(fleet.caller_address(0), {"refused", 300, kChunks, "/order/1", 64 * 1024,
                                                    60 * 1024, 4096, false, 2});
  crowd.WaitUntilSent(kSendTimeout);
  CHECK(CallWithRetries(GatewayOf(&fleet).call) == 200);
  std::set<std::string> ran;
  for (const EndpointRun& run : fleet.Runs()) ran.insert(run.request_id);
  int refused = 0;
  for (const auto& [id, status] : crowd.Statuses()) {
    if (status != 503) continue;
    ++refused;
    CHECK(ran.count(id) == 0);
  }
  CHECK(refused > 0);
}

}  // namespace mimosabend::testing
