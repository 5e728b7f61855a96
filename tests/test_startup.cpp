#include <fcntl.h>
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/process.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

#include "fleet.h"
#include "platform_fleet.h"
#include "tcp_listener.h"

namespace mimosabend::testing {

namespace {

namespace bp = boost::process;

// Time in which a gateway has started, and in which a task would have written to the log.
constexpr milliseconds kStartTime{1500};
// The time for a start on a busy machine, once nothing is in its way.
constexpr milliseconds kServeTime{10000};
// Less than the time for which a start waits.
constexpr milliseconds kChangeTime{800};
constexpr char kProgram[] = MIMOSABEND_BUILD_DIRECTORY "/mimosabend";
constexpr char kHost[] = "127.0.0.61";

// A gateway with settings of its own and no store.
class LoneGateway {
 public:
  LoneGateway() : ports_(FreePorts(5)) {
    std::string pattern = (std::filesystem::temp_directory_path() / "mimosabend-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("mkdtemp failed");
    directory_ = pattern;
  }
  ~LoneGateway() {
    if (child_.running()) child_.terminate();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }

  Address caller_address() const { return {kHost, ports_[0]}; }

  std::string Settings() const {
    const auto at = [&](int port) {
      return std::string(kHost) + ":" + std::to_string(ports_[port]);
    };
    return "[gateway]\nname = g\nregion = north\nfailure_domain = a\nseeds = " + at(2) +
           "\ndomains = a:north\n[listen]\ncaller = " + at(0) + "\nreadiness = " + at(1) +
           "\npeer = " + at(2) + "\nmetrics = " + at(3) + "\n[platform]\nstore = " + at(4) +
           "\n[log]\nlevel = info\nformat = logfmt\n";
  }

  void WriteSettings(const std::string& text) const {
    std::ofstream(directory_ / "gateway.ini") << text;
  }

  // Starts it. Nobody reads the other end of `output`.
  template <class Output>
  void Start(Output&& output) {
    const std::string config = (directory_ / "gateway.ini").string();
    child_ = bp::child(kProgram, "gateway", "--config=" + config,
                       bp::std_out > std::forward<Output>(output), bp::std_err > bp::null);
  }

  // Whether SIGHUP no longer ends the process.
  bool HandlesHangup() const {
    std::ifstream status("/proc/" + std::to_string(child_.id()) + "/status");
    std::uint64_t handled = 0;
    for (std::string line; std::getline(status, line);) {
      const bool names_signals = line.starts_with("SigIgn:") || line.starts_with("SigCgt:");
      if (names_signals) handled |= std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
    }
    return (handled >> (SIGHUP - 1) & 1) != 0;
  }

  // Whether it serves requests for its metrics.
  bool Serves() const {
    HttpCall call;
    call.address = {kHost, ports_[3]};
    call.target = "/metrics";
    call.deadline = MonotonicNow() + seconds(1);
    const auto reply = CallOne(std::move(call));
    return reply && reply.value().status == 200;
  }

  void Signal(int signal_number) { ::kill(child_.id(), signal_number); }
  bool RunsAfter(milliseconds time) {
    std::this_thread::sleep_for(time);
    return child_.running();
  }

 private:
  std::vector<std::uint16_t> ports_;
  std::filesystem::path directory_;
  bp::child child_;
};

}  // namespace

// Guards against a process that ends because its settings change before it has a handler for the
// signal.
TEST_CASE("SIGHUP while a gateway starts does not end it", "[startup]") {
  LoneGateway gateway;
  gateway.WriteSettings("");
  gateway.Start(bp::null);
  // Before that, the system still loads the program.
  CHECK(WaitFor(kStartTime, [&] { return gateway.HandlesHangup(); }));
  gateway.Signal(SIGHUP);
  gateway.WriteSettings(gateway.Settings());
  CHECK(WaitFor(kServeTime, [&] { return gateway.Serves(); }));
}

// Guards against a process that ends because whoever read its log has gone.
TEST_CASE("a gateway goes on when nobody reads its output", "[startup]") {
  LoneGateway gateway;
  gateway.WriteSettings(gateway.Settings());
  {
    bp::pipe pipe;
    gateway.Start(pipe);
  }
  CHECK(gateway.RunsAfter(kStartTime));
  gateway.Signal(SIGHUP);
  CHECK(gateway.RunsAfter(kStartTime));
}

// Guards against a start that fails because the settings are just being written.
TEST_CASE("a gateway waits for settings that are incomplete when it starts", "[startup]") {
  LoneGateway gateway;
  const std::string settings = gateway.Settings();
  gateway.WriteSettings(settings.substr(0, settings.size() / 2));
  gateway.Start(bp::null);
  CHECK(gateway.RunsAfter(kChangeTime));
  CHECK_FALSE(gateway.Serves());
  gateway.WriteSettings(settings);
  CHECK(WaitFor(kServeTime, [&] { return gateway.Serves(); }));
}

// Guards against a start that fails because the address is released a moment later.
TEST_CASE("a gateway waits for an address that is in use when it starts", "[startup]") {
  LoneGateway gateway;
  gateway.WriteSettings(gateway.Settings());
  boost::asio::io_context io(1);
  std::optional<boost::asio::ip::tcp::acceptor> holder(io);
  REQUIRE(OpenListener(gateway.caller_address(), std::nullopt, &*holder));
  // Else the gateway would inherit the socket.
  ::fcntl(holder->native_handle(), F_SETFD, FD_CLOEXEC);
  gateway.Start(bp::null);
  CHECK(gateway.RunsAfter(kChangeTime));
  CHECK_FALSE(gateway.Serves());
  holder.reset();
  CHECK(WaitFor(kServeTime, [&] { return gateway.Serves(); }));
}

}  // namespace mimosabend::testing
