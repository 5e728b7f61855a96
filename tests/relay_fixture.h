#ifndef MIMOSABEND_TESTS_RELAY_WORLD_H_
#define MIMOSABEND_TESTS_RELAY_WORLD_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "http_client.h"
#include "http_server.h"
#include "platform/engine_orders.h"
#include "relay_handler.h"
#include "supervisor.h"

namespace mimosabend::testing {

// How a test endpoint responds to a request.
using EndpointBehavior = std::function<Task<void>(HttpExchange&)>;

// The headers that mark a response of an endpoint that ran the request.
HttpHeaders StampedHeaders(const HttpExchange& exchange);

// An event of a text/event-stream with this id.
std::string Event(int id);

// An endpoint on the loopback interface. Counts its requests and keeps the last one.
struct TestEndpoint {
  TestEndpoint(boost::asio::io_context* io, std::string endpoint_id)
      : id(std::move(endpoint_id)),
        server(io->get_executor(), HttpLimits(), [this](HttpExchange& exchange) -> Task<void> {
          ++arrivals;
          last = exchange.request();
          co_await behavior(exchange);
        }) {
    port = server.Listen({"127.0.0.1", 0}).value();
  }

  std::string id;
  HttpServer server;
  std::uint16_t port = 0;
  int arrivals = 0;
  HttpRequest last;
  EndpointBehavior behavior = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    co_await exchange.Reply(200, std::move(headers), "whole body");
  };
};

// Responds with a status, and with the header Not-Executed if `not_run`.
EndpointBehavior Respond(int status, bool not_run = false);

// Sends the events from `first` to `last`. Then ends the stream if `whole`, else breaks off within
// an event.
EndpointBehavior SendEvents(int first, int last, bool whole);

// Closes the connection without a response.
Task<void> BreakConnection(HttpExchange& exchange);

// The routes are /read/ (idempotent), /order/ (not idempotent), /resumable/ and /once/ (streams
// that may and may not be retried). They need no API keys.
FleetConfig Config();

// Config() with the customers "cook" (key "k1", priority 0) and "shop" (key "k2"), and the route
// /open/, which needs no key.
FleetConfig ConfigWithCustomers();

// A relay with two plain endpoints and two engines on the loopback interface.
struct RelayFixture {
  // `configured`: whether the relay has a configuration.
  explicit RelayFixture(bool configured = true);

  PlacementHooks Hooks();

  // Registers an endpoint in the directory.
  void Add(const TestEndpoint& endpoint, const std::string& service,
           const std::string& software = "");

  HttpCall MakeCall(const std::string& path, const std::string& model = "m") const;

  // Sends a request and runs the relay until its response is there; an error if the response is
  // incomplete.
  Result<HttpReply, HttpError> Send(const std::string& path, const std::string& model = "m") {
    return Send(MakeCall(path, model));
  }
  Result<HttpReply, HttpError> Send(HttpCall made);

  int plain_arrivals() const { return p1.arrivals + p2.arrivals; }
  int engine_arrivals() const { return e1.arrivals + e2.arrivals; }

  // Sets the behavior for the first request that reaches any endpoint, and that for all later ones.
  void SetBehavior(const EndpointBehavior& first, const EndpointBehavior& then);

  boost::asio::io_context io{1};
  TestEndpoint p1, p2, e1, e2;
  HttpClient client;
  HttpClient test_client;
  platform::EngineOrders orders{&client};
  FleetDirectory directory;
  EndpointStats stats;
  PrefixIndex prefixes;
  EndpointSelector selector;
  UsageCollector usage;
  RelayMetrics metrics;
  CrashEvidence evidence;
  PartEvidence part_evidence{1};
  CrashCorrelator crash_correlator{&evidence, &part_evidence};
  EndpointProber prober;
  QuotaMeter quota{[] {}};
  EndpointLimits limits;
  PermitAnswer permit_answer{true, 0};
  // Time until a request for a permit is answered.
  milliseconds permit_time{0};
  int permit_requests = 0;
  // Whether engines can be asked for their reports.
  bool engines_report = false;
  bool adapter_placement_succeeds = true;
  milliseconds adapter_placement_time{0};
  bool has_leader = true;
  // Answers questions for the software version that began a stream.
  StreamOrigin stream_origin;
  StreamVersions streams{MonotonicNow()};
  bool config_may_be_stale = false;
  std::optional<MonotonicTime> load_end;
  std::optional<MonotonicTime> queued_load_end;
  // Whether the next question for the end of a load throws.
  bool load_end_throws = false;
  // Has no limit unless a test sets one.
  MemoryBudget memory;
  RelayHandler handler;
  HttpServer server;
  std::uint16_t port = 0;
};

HttpCall MakeCallWithKey(const RelayFixture& relay, const std::string& path,
                         const std::string& key);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_RELAY_WORLD_H_
