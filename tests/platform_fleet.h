#ifndef MIMOSABEND_TESTS_PLATFORM_FLEET_H_
#define MIMOSABEND_TESTS_PLATFORM_FLEET_H_

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "clock.h"
#include "fleet.h"
#include "http_client.h"

namespace mimosabend::testing {

struct PlatformFleetOptions {
  int gateways = 3;
  int engines = 5;
  int plain_endpoints = 4;
  // Requests that an endpoint ends under leave its address empty for this long.
  milliseconds restart_time{300};
  // Added to the command line of each engine.
  std::vector<std::string> engine_flags;
};

// Gateways as processes, with stand-ins of the users' platform: its store, engines that hold the
// model "m", and plain endpoints. Endpoints that end are started again under another id. All
// processes end with the object.
class PlatformFleet {
 public:
  explicit PlatformFleet(PlatformFleetOptions options = {});
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  // Starts or restarts a gateway, and waits until it is ready. Its number begins at 0.
  void StartGateway(int index);
  Process& gateway(int index) { return *gateways_.at(index); }
  Address caller_address(int index) const;

  // The gateway that leads placement; -1 if none says so.
  int Leader();
  // Value of a metric of a gateway; 0 if it is absent.
  double Metric(int index, const std::string& name);

  // Has the store turn all calls away.
  void RefuseStoreCalls(bool refuse);

  // When endpoints ended, in order.
  std::vector<MonotonicTime> Ends() const;

  // A request of a caller to a gateway. The routes are /chat/ (streams that may be resumed), /read/
  // (may be repeated) and /order/ (may not).
  HttpCall MakeCall(int gateway, const std::string& target, const std::string& body);

 private:
  struct Endpoint {
    std::string service;
    std::uint16_t port = 0;
    int starts = 0;
    std::unique_ptr<Process> process;
    MonotonicTime ended_at;
  };

  void WriteConfig();
  void WriteSettings(int index);
  void StartEndpoint(Endpoint* endpoint);
  void KeepEndpoints();
  std::string Log(const std::string& name) const { return (directory_ / (name + ".log")).string(); }

  PlatformFleetOptions options_;
  std::filesystem::path directory_;
  // Caller, readiness, peers and metrics: the same at each gateway's own address.
  std::vector<std::uint16_t> ports_;
  std::unique_ptr<Process> store_;
  std::vector<std::unique_ptr<Process>> gateways_;
  int next_request_ = 0;

  // Guards the members below.
  mutable std::mutex mutex_;
  std::vector<Endpoint> endpoints_;
  std::vector<MonotonicTime> ends_;
  bool stopping_ = false;
  std::thread keeper_;
};

// Sends requests at the same time and returns their answers in the same order.
std::vector<Result<HttpReply, HttpError>> CallAll(std::vector<HttpCall> calls);

// Sends one request.
Result<HttpReply, HttpError> CallOne(HttpCall call);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_PLATFORM_FLEET_H_
