#ifndef MIMOSABEND_TESTS_FLEET_H_
#define MIMOSABEND_TESTS_FLEET_H_

#include <boost/process/child.hpp>
#include <boost/process/pipe.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http_client.h"
#include "settings.h"

namespace mimosabend::testing {

// Ports that are free now on 127.0.0.1.
std::vector<std::uint16_t> FreePorts(std::size_t count);

// A program that runs beside the test. It is killed by its process id when the object dies.
class Process {
 public:
  // Starts a program. With `wait_for_port` it returns once the program has printed its port;
  // without, its standard output goes to the log file, too.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log_file, bool wait_for_port);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  Address address() const { return {"127.0.0.1", port_}; }
  int pid() const { return child_.id(); }
  void Signal(int signal_number);
  bool running();
  // Waits for the end and returns the exit code; -1 if it still runs after the time.
  int WaitForExit(std::chrono::milliseconds timeout);

 private:
  boost::process::ipstream output_;
  boost::process::child child_;
  std::uint16_t port_ = 0;
};

struct CommandResult {
  int exit_code = -1;
  std::string output;
};

// Runs a program to its end. Standard output and error are joined.
CommandResult RunCommand(const std::string& program, const std::vector<std::string>& arguments);

struct FleetOptions {
  int daemons = 6;
  std::vector<std::string> regions{"nordeste", "sudeste", "sul"};
  int engines_per_region = 2;
  int services_per_region = 1;
  bool honour_fence = true;
  int host_list_lag_ms = 200;
  // Links that are cut in one direction: the first daemon sends nothing to the second.
  std::vector<std::pair<int, int>> cut_links;
  // Key-value service of single daemons by their index; the others use the stand-in.
  std::map<int, Address> kv_of_daemon;
  // Daemons that have only themselves as seed.
  std::set<int> without_seeds;
  // Added to the command line of each stand-in.
  std::vector<std::string> engine_flags;
  std::vector<std::string> weight_store_flags{"--loads_per_s=4"};
  // Further sections of each daemon's settings.
  std::string daemon_settings;
};

// The stand-ins of the platform and a number of daemons, as processes on free ports of the
// loopback address. Everything ends with the object.
class Fleet {
 public:
  explicit Fleet(FleetOptions options = {});
  ~Fleet();

  const FleetOptions& options() const { return options_; }
  const std::filesystem::path& directory() const { return directory_; }
  std::string operator_config() const { return (directory_ / "operator.ini").string(); }

  // Starts the daemons and the balancer, and waits until the daemons answer /healthz.
  void StartDaemons();
  // Starts or restarts one daemon.
  void StartDaemon(int index);

  // Puts a document on trial and promotes it with the command line; throws if that fails.
  void PutInForce(const std::string& document);
  // Runs an operator command with the fleet's settings.
  CommandResult Operate(std::vector<std::string> arguments);

  Process& kv() { return *kv_; }
  Process& weight_store() { return *weight_store_; }
  Process& host_list() { return *host_list_; }
  Process& balancer() { return *balancer_; }
  // Endpoint processes by host id, "engine-REGION-N" and "service-REGION-N".
  std::map<std::string, std::unique_ptr<Process>>& endpoints() { return endpoints_; }
  Process& daemon(int index) { return *daemons_.at(index); }
  Address caller_address(int index) const { return daemon_addresses_.at(index).caller; }
  Address admin_address(int index) const { return daemon_addresses_.at(index).admin; }

  // States of hosts other than "live"; call PublishHosts to send the list.
  std::map<std::string, std::string>& host_states() { return host_states_; }
  void PublishHosts();
  // Starts a new engine process under a new host id, and publishes it.
  void AddEngine(const std::string& region, const std::string& id);

  // Sends one request and waits for the whole answer.
  Result<HttpReply, HttpError> Call(HttpCall call, std::chrono::milliseconds timeout = seconds(20));
  // Sets faults of a stand-in.
  void SetFault(const Process& standin, const std::string& json_body);
  // The text of /metrics of a daemon; empty if it does not answer.
  std::string MetricsText(int daemon);
  // Value of a metric line of a daemon, by its name and labels as exposed; 0 if absent.
  double Metric(int daemon, const std::string& name);

 private:
  struct DaemonAddresses {
    Address caller;
    Address admin;
    Address peer;
  };

  void WriteSettings(int index);
  void WriteOperatorSettings();
  std::unique_ptr<Process> StartStandin(const std::string& name, std::vector<std::string> arguments,
                                        const std::string& log_name);

  FleetOptions options_;
  std::filesystem::path directory_;
  std::unique_ptr<Process> kv_;
  std::unique_ptr<Process> weight_store_;
  std::unique_ptr<Process> host_list_;
  std::unique_ptr<Process> balancer_;
  std::map<std::string, std::unique_ptr<Process>> endpoints_;
  std::map<std::string, std::string> host_states_;
  std::vector<std::unique_ptr<Process>> daemons_;
  std::vector<DaemonAddresses> daemon_addresses_;
};

// A document with a few models, an adapter, callers with the keys "urgent-key", "standard-key"
// and "background-key", and the service "orders" that must not repeat.
std::string TestDocument(const FleetOptions& options);

// A body for /v1/completions.
std::string CompletionBody(const std::string& model, const std::string& prompt, int max_tokens,
                           bool stream);

// A POST with a bearer key.
HttpCall PostAs(const std::string& key, Address address, std::string target, std::string body);

// The text of all chunks of a server-sent event stream; `complete` tells whether it ended with
// the mark of a complete answer.
std::string StreamedText(const std::string& body, bool* complete);

// Waits until a condition holds; false after the time.
bool WaitFor(std::chrono::milliseconds timeout, const std::function<bool()>& condition);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_FLEET_H_
