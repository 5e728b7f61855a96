#ifndef MIMOSABEND_REQUEST_FORWARDER_H_
#define MIMOSABEND_REQUEST_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "endpoint_reach.h"
#include "forward_helpers.h"
#include "http_client.h"
#include "http_server.h"
#include "name_table.h"

namespace mimosabend {

// Header of a request that a daemon passes on to another one: "NAME MILLIS MAC" with the name of
// the sender and the time. In a response to it, kNotRunMark says that the helper is not able to
// serve requests of the service now and that this one has not run.
inline constexpr char kForwardHeader[] = "Mimosabend-Forward";
inline constexpr char kNotRunMark[] = "not-run";

// How the attempt to pass a request on to a helper ended. kNotSent: the helper has received no part
// of it. kNotRun: the helper refused it with kNotRunMark. kAnswered: any other response. kUnknown:
// it was sent and there is no response, so it may have run.
enum class ForwardEnd : std::uint8_t { kNotSent, kNotRun, kAnswered, kUnknown };

// What follows. kRefuse: refuse the request as not run. kFail: end it with an error that promises
// nothing.
enum class ForwardAction : std::uint8_t { kTryNext, kReturnResponse, kRefuse, kFail };

// Helpers to which one request is sent, one after the other.
inline constexpr int kMaxForwards = 2;

// Decides what follows an attempt to pass a request on. `forwards`: attempts so far, including this
// one. Only a request that has not run goes to another helper. Thread-safe.
ForwardAction DecideForward(ForwardEnd end, int forwards);

// Removes the header of forwarded requests, for example as a caller has sent it. Thread-safe.
void RemoveForwardHeader(HttpHeaders* headers);

struct ForwarderSettings {
  std::string name;
  // Key of the HMAC; the same for all daemons of a fleet.
  std::string shared_key;
  // Where all daemons listen for forwarded requests.
  std::uint16_t port = 0;
};

// Where and how requests that this daemon can't send to endpoints are passed on to other daemons.
// Not thread-safe.
class RequestForwarder {
 public:
  // `fallback`: peer addresses of daemons to ask while no helper is named. Precondition: all
  // pointers outlive this object.
  RequestForwarder(HttpClient* client, const EndpointReach* reach, ForwarderSettings settings,
                   std::function<std::vector<Address>()> fallback)
      : client_(client),
        reach_(reach),
        settings_(std::move(settings)),
        fallback_(std::move(fallback)) {}

  // Whether this daemon is cut off from the endpoints of a service that other daemons may reach.
  bool IsPartitioned(const std::string& service, MonotonicTime now) const {
    return reach_->IsCutOff(service) && !helpers_.NobodyReaches(now);
  }
  // Whether it is, or it is not known yet.
  bool MayBePartitioned(const std::string& service, MonotonicTime now) const {
    return reach_->MayBeCutOff(service) && !helpers_.NobodyReaches(now);
  }
  // Whether this daemon is cut off from the endpoints of the service.
  bool IsCutOff(const std::string& service) const { return reach_->IsCutOff(service); }

  // Whether another daemon is known to reach endpoints that this one is cut off from.
  bool AnotherReaches(MonotonicTime now) const { return helpers_.AnotherReaches(now); }

  // The daemon to pass a request on to, where it listens for that.
  std::optional<Address> NextHelper(const std::set<Address>& tried, MonotonicTime now);
  // A request could not be passed on to a helper.
  void RecordFailure(const Address& helper, MonotonicTime now);
  // See HelperList::SetNamed.
  void SetHelpers(const std::vector<Address>& peers, bool complete, MonotonicTime now);

  // The header that authenticates a request to a helper.
  std::pair<std::string, std::string> Sign(const HttpRequest& request, WallTime now) const;
  // The name of the daemon that has passed the request on; std::nullopt if it is not authentic.
  std::optional<std::string> Verify(const HttpRequest& request, WallTime now) const;

  HttpClient* client() { return client_; }

 private:
  std::string MacOf(const std::string& sender_and_time, const HttpRequest& request) const;
  Address ForwardAddress(const Address& peer) const { return {peer.ip, settings_.port}; }

  HttpClient* client_;
  const EndpointReach* reach_;
  ForwarderSettings settings_;
  std::function<std::vector<Address>()> fallback_;
  HelperList helpers_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_FORWARDER_H_
