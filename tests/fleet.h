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

// Ports on 127.0.0.1 that are free at the time of the call, without duplicates. They are chosen at
// random below the range from which the system assigns ports of outgoing connections: a port of
// that range may be taken before the daemon binds it.
std::vector<std::uint16_t> FreePorts(std::size_t count);

// A child process. The destructor kills it if it is still running.
class Process {
 public:
  // Starts a program whose standard error goes to a log file. With `wait_for_port`, returns once
  // the program has printed "listening PORT" and throws if it doesn't; without, its standard output
  // goes to the log file, too.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::string& log_file, bool wait_for_port);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  // Precondition: started with `wait_for_port`.
  Address address() const { return {"127.0.0.1", port_}; }
  int pid() const { return child_.id(); }
  void Signal(int signal_number);
  bool running();
  // Waits for the process to exit and returns the exit code; -1 after the timeout.
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

// Runs a program until it exits. The output holds its standard output and standard error.
CommandResult RunCommand(const std::string& program, const std::vector<std::string>& arguments);

struct FleetOptions {
  int daemons = 6;
  std::vector<std::string> regions{"nordeste", "sudeste", "sul"};
  int engines_per_region = 2;
  int services_per_region = 1;
  // Whether the engines check fencing tokens.
  bool honour_fence = true;
  int host_list_lag_ms = 200;
  // Links that are cut in one direction: the first daemon sends nothing to the second.
  std::vector<std::pair<int, int>> cut_links;
  // Key-value service addresses of individual daemons by index; other daemons use the stand-in.
  std::map<int, Address> kv_of_daemon;
  // Indices of daemons whose only seed is their own address.
  std::set<int> without_seeds;
  // Added to the command line of each engine stand-in or of the weight store stand-in.
  std::vector<std::string> engine_flags;
  std::vector<std::string> weight_store_flags{"--loads_per_s=4"};
  // Appended to the settings file of each daemon.
  std::string daemon_settings;
};

// Stand-ins for the services of the platform and a number of daemons, as processes on free ports of
// the loopback address. The destructor ends all processes and removes their directory, unless the
// environment variable MIMOSABEND_KEEP_LOGS is set. Not thread-safe.
class Fleet {
 public:
  // Starts the stand-ins, except for the load balancer, and publishes the host list.
  explicit Fleet(FleetOptions options = {});
  ~Fleet();

  const FleetOptions& options() const { return options_; }
  // Directory of the logs and settings.
  const std::filesystem::path& directory() const { return directory_; }
  std::string operator_config() const { return (directory_ / "operator.ini").string(); }

  // Starts the daemons, waits until each answers /healthz, and starts the load balancer. Throws if
  // a daemon doesn't answer within 20 s.
  void StartDaemons();
  // Starts one daemon, or kills it and starts it again. Doesn't wait for it.
  void StartDaemon(int index);

  // Deploys an environment document with the operator commands `trial` and `promote`. Throws if one
  // of them fails.
  void DeployDocument(const std::string& document);
  // Runs an operator command with the operator settings of this fleet.
  CommandResult RunOperatorCommand(std::vector<std::string> arguments);

  Process& kv() { return *kv_; }
  Process& weight_store() { return *weight_store_; }
  Process& host_list() { return *host_list_; }
  Process& balancer() { return *balancer_; }
  // Endpoint processes by host id, "engine-REGION-N" and "service-REGION-N".
  std::map<std::string, std::unique_ptr<Process>>& endpoints() { return endpoints_; }
  Process& daemon(int index) { return *daemons_.at(index); }
  Address caller_address(int index) const { return daemon_addresses_.at(index).caller; }
  Address admin_address(int index) const { return daemon_addresses_.at(index).admin; }

  // States by host id of hosts that are not "live"; "gone" leaves a host out of the list. Takes
  // effect with the next PublishHosts.
  std::map<std::string, std::string>& host_states() { return host_states_; }
  // Sends the host list to its stand-in.
  void PublishHosts();
  // Starts another engine with the given host id and publishes the host list. The listed region is
  // taken from the id; `region` is ignored.
  void AddEngine(const std::string& region, const std::string& id);

  // Sends one request and waits for the complete response.
  Result<HttpReply, HttpError> Call(HttpCall call, std::chrono::milliseconds timeout = seconds(20));
  // Configures fault injection in a stand-in by PUT /fault.
  void SetFault(const Process& standin, const std::string& json_body);
  // The text of /metrics of a daemon; empty if it doesn't answer.
  std::string MetricsText(int daemon);
  // Value of a metric of a daemon; 0 if absent. `name` includes the labels as in /metrics.
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

// An environment document with three models, an adapter, one caller per rank with the API keys
// "urgent-key", "standard-key" and "background-key", a caller "limited-key" that may use only the
// model "recipes", and the service "orders", which is not repeatable.
std::string TestDocument(const FleetOptions& options);

// A request body for /v1/completions.
std::string CompletionBody(const std::string& model, const std::string& prompt, int max_tokens,
                           bool stream);

// A POST request with a JSON body and `key` as bearer token.
HttpCall PostAs(const std::string& key, Address address, std::string target, std::string body);

// The concatenated text of all chunks of a server-sent event stream. Sets `complete` to whether the
// stream holds the final "[DONE]" event.
std::string StreamedText(const std::string& body, bool* complete);

// Polls a condition until it holds; false after the timeout.
bool WaitFor(std::chrono::milliseconds timeout, const std::function<bool()>& condition);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_FLEET_H_
