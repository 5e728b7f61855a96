#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/ip/address_v4.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include "client_crowd.h"
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
// Ends a wait that would not end otherwise; no test passes or fails by it.
constexpr milliseconds kSendTimeout{120000};
// A crowd whose clients come back is observed for this long.
constexpr milliseconds kReturnTime{10000};
constexpr milliseconds kQuietTime{1000};
constexpr milliseconds kSampleInterval{20};
constexpr int kMaxCalls = 12;

// Bytes in the sockets of connections to an address.
struct SocketQueues {
  // Received there and not yet read.
  std::uint64_t unread = 0;
  // On the way there.
  std::uint64_t sent = 0;

  bool operator==(const SocketQueues&) const = default;
};

SocketQueues QueuesOf(const std::string& ip) {
  const auto bytes = boost::asio::ip::make_address_v4(ip).to_bytes();
  std::array<char, 9> address;
  std::snprintf(address.data(), address.size(), "%02X%02X%02X%02X", bytes[3], bytes[2], bytes[1],
                bytes[0]);
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

// Waits until what has been sent to an address has been read, or is not read any more.
void WaitUntilRead(const std::string& ip, milliseconds timeout) {
  SocketQueues last;
  MonotonicTime changed = MonotonicNow();
  WaitFor(timeout, [&] {
    const SocketQueues now = QueuesOf(ip);
    if (now != std::exchange(last, now)) changed = MonotonicNow();
    return MonotonicNow() - changed > kQuietTime;
  });
}

// Memory that the platform counts for a process: what is resident, and what its sockets have
// received and the process has not read yet. In bytes; 0 if the process has ended.
std::uint64_t CountedMemory(int pid, const std::string& ip) {
  std::uint64_t kilobytes = 0;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) kilobytes = std::stoull(line.substr(6));
  }
  return kilobytes == 0 ? 0 : kilobytes * 1024 + QueuesOf(ip).unread;
}

int OpenDescriptors(int pid) {
  std::error_code error;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid) + "/fd", error);
  return error ? 0 : static_cast<int>(std::distance(begin(all), end(all)));
}

// Samples what a process uses, in a thread of its own.
class UsageSampler {
 public:
  UsageSampler(int pid, const std::string& ip)
      : thread_([this, pid, ip] {
          while (!stop_) {
            memory_ = std::max(memory_.load(), CountedMemory(pid, ip));
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
int CallWithRetries(PlatformFleet* fleet, const std::string& path) {
  int status = 0;
  for (int i = 0; i < kMaxCalls && status != 200; ++i) {
    const auto reply = CallOne(fleet->MakeCall(0, path, "x"));
    status = reply ? reply.value().status : 0;
    if (status == 200) break;
    const std::string after(reply ? FindHeader(reply.value().headers, "Retry-After") : "");
    std::this_thread::sleep_for(
        milliseconds(after.empty() ? 100 : static_cast<int>(std::stod(after) * 1000)));
  }
  return status;
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
    {"small fields without end", 1900, kHeader, "/order/1", 0, 0, 1, false, 0, kFields},
    {"small fields, short body", 1900, kLength, "/order/1", 9 * 1024, 1, 1, false, 0, kFields},
    {"small fields, slow endpoints", 1900, kLength, "/once/1", 1, 1, 1, false, 1, kFields},
};

}  // namespace

// Guards against clients that make the process exceed the memory or the descriptors of its host, or
// that hold all room so that others are refused.
TEST_CASE("a crowd of clients neither ends the process nor shuts others out", "[crowd]") {
  const CrowdBehavior crowd_behavior = GENERATE(from_range(kCrowds));
  const char* only = std::getenv(kOnlyCrowd);
  if (only != nullptr && crowd_behavior.name != only) return;
  INFO("crowd: " << crowd_behavior.name);
  PlatformFleet fleet(Deployed(kHost));
  const UsageSampler usage(fleet.gateway(0).pid(), fleet.caller_address(0).ip);
  CHECK(CallWithRetries(&fleet, "/read/1") == 200);
  {
    const ClientCrowd crowd(fleet.caller_address(0), crowd_behavior);
    crowd.WaitUntilSent(kSendTimeout);
    WaitUntilRead(fleet.caller_address(0).ip, crowd_behavior.returns ? kReturnTime : kSendTimeout);
    CHECK(CallWithRetries(&fleet, "/read/1") == 200);
  }
  CHECK(CallWithRetries(&fleet, "/read/1") == 200);
  CHECK(fleet.gateway(0).running());
  CHECK(usage.peak_mb() < kHost.memory_mb);
  CHECK(usage.peak_descriptors() < kHost.max_fds);
  WARN(crowd_behavior.name << ": peak of " << usage.peak_mb() << " MB, " << usage.peak_descriptors()
                           << " descriptors");
}

// Guards against connections without requests that take all descriptors of a small host.
TEST_CASE("descriptors stay within the host's limit", "[crowd]") {
  constexpr DeployedHost kFewDescriptors{120, 600};
  PlatformFleet fleet(Deployed(kFewDescriptors));
  const UsageSampler usage(fleet.gateway(0).pid(), fleet.caller_address(0).ip);
  const ClientCrowd crowd(fleet.caller_address(0), {"nothing sent", 700, kNothing});
  crowd.WaitUntilSent(kSendTimeout);
  CHECK(CallWithRetries(&fleet, "/read/1") == 200);
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

// Guards against refusals that say that a request has not run although it has.
TEST_CASE("what is refused beside a crowd does not run", "[crowd]") {
  PlatformFleetOptions options = Deployed({24, 3075});
  options.log_runs = true;
  PlatformFleet fleet(options);
  const ClientCrowd crowd(fleet.caller_address(0), {"refused", 300, kChunks, "/order/1", 64 * 1024,
                                                    60 * 1024, 4096, false, 2});
  crowd.WaitUntilSent(kSendTimeout);
  CHECK(CallWithRetries(&fleet, "/read/1") == 200);
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
