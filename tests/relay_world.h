#ifndef MIMOSABEND_TESTS_RELAY_WORLD_H_
#define MIMOSABEND_TESTS_RELAY_WORLD_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "http_client.h"
#include "http_server.h"
#include "relay_handler.h"
#include "supervisor.h"

namespace mimosabend::testing {

// What an endpoint of the test does with its next requests.
using Behaviour = std::function<Task<void>(HttpExchange&)>;

// The headers with which endpoints mark their answers.
HttpHeaders Stamped(const HttpExchange& exchange);

std::string Event(int id);

// An endpoint on loopback.
struct TestEndpoint {
  TestEndpoint(boost::asio::io_context* io, std::string endpoint_id)
      : id(std::move(endpoint_id)),
        server(io->get_executor(), HttpLimits(), [this](HttpExchange& exchange) -> Task<void> {
          ++arrivals;
          last = exchange.request();
          co_await behaviour(exchange);
        }) {
    port = server.Listen({"127.0.0.1", 0}).value();
  }

  std::string id;
  HttpServer server;
  std::uint16_t port = 0;
  int arrivals = 0;
  HttpRequest last;
  Behaviour behaviour = [](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = Stamped(exchange);
    co_await exchange.Reply(200, std::move(headers), "whole body");
  };
};

// Answers with a status, and with the statement that the request has not run if `not_run`.
Behaviour Answer(int status, bool not_run = false);

// Sends events from `first` to `last`, and ends the stream only if `whole`.
Behaviour Stream(int first, int last, bool whole);

// Breaks the connection without an answer.
Task<void> Break(HttpExchange& exchange);

FleetConfig Config();

// A configuration with the customers "cook" (key "k1", priority 0) and "shop" (key "k2").
FleetConfig ConfigWithCustomers();

// A relay with two plain endpoints and two engines on loopback.
struct Relay {
  // `configured`: a configuration is in force.
  explicit Relay(bool configured = true);

  PlacementHooks Hooks();

  void Add(const TestEndpoint& endpoint, const std::string& service);

  HttpCall MakeCall(const std::string& path, const std::string& model = "m") const;

  // Sends a request and returns its answer; an error if the answer is not whole.
  Result<HttpReply, HttpError> Send(const std::string& path, const std::string& model = "m") {
    return Send(MakeCall(path, model));
  }
  Result<HttpReply, HttpError> Send(HttpCall made);

  int plain_arrivals() const { return p1.arrivals + p2.arrivals; }
  int engine_arrivals() const { return e1.arrivals + e2.arrivals; }

  // The first request that reaches any endpoint meets one behaviour, all others the other one.
  void Behave(const Behaviour& first, const Behaviour& then);

  boost::asio::io_context io{1};
  TestEndpoint p1, p2, e1, e2;
  HttpClient client;
  HttpClient caller;
  FleetDirectory directory;
  EndpointStats stats;
  PrefixIndex prefixes;
  EndpointSelector selector;
  UsageBoard board;
  RelayMetrics metrics;
  CrashEvidence evidence;
  CrashWatch crash_watch{&evidence};
  BreakExaminer breaks;
  QuotaMeter quota{[] {}};
  bool adapters_placed = true;
  milliseconds placing_time{0};
  bool has_leader = true;
  bool old_config = false;
  std::optional<MonotonicTime> load_end;
  RelayHandler handler;
  HttpServer server;
  std::uint16_t port = 0;
};

HttpCall CallWithKey(const Relay& relay, const std::string& path, const std::string& key);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_RELAY_WORLD_H_
