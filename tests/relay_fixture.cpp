#include "relay_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <memory>

namespace mimosabend::testing {

HttpHeaders StampedHeaders(const HttpExchange& exchange) {
  return {{"Request-Id", std::string(exchange.request().header("Request-Id"))},
          {"Response-Stamp", "stamp"}};
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

EndpointBehavior Respond(int status, bool not_run) {
  return [status, not_run](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    if (not_run) headers.back() = {"Not-Executed", "1"};
    std::string body = "status " + std::to_string(status);
    co_await exchange.Reply(status, std::move(headers), std::move(body));
  };
}

EndpointBehavior SendEvents(int first, int last, bool whole) {
  return [first, last, whole](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.StartStream(200, std::move(headers));
    for (int id = first; id <= last; ++id) co_await exchange.Write(Event(id));
    if (whole) {
      co_await exchange.FinishStream();
    } else {
      co_await exchange.Write("id: 99\nda");
    }
  };
}

Task<void> BreakConnection(HttpExchange& exchange) {
  co_await exchange.StartStream(200, HttpHeaders{});
}

FleetConfig Config() {
  FleetConfig config;
  config.version = 1;
  const auto route = [&](const std::string& prefix, RouteKind kind, std::uint32_t attempts,
                         bool resumable, const std::string& service) {
    Route added;
    added.name = prefix;
    added.host = "a.example";
    added.prefix = prefix;
    added.kind = kind;
    added.timeout = milliseconds(2000);
    added.target_latency = milliseconds(300);
    added.target_event_gap = milliseconds(100);
    added.max_attempts = attempts;
    added.resumable = resumable;
    added.targets = {{service, 1}};
    config.routes.push_back(added);
  };
  route("/read/", RouteKind::kIdempotent, 2, false, "plain");
  route("/order/", RouteKind::kNonIdempotent, 1, false, "plain");
  route("/resumable/", RouteKind::kStreaming, 2, true, "models");
  route("/once/", RouteKind::kStreaming, 1, false, "models");
  config.services["plain"] = RoutedService{};
  RoutedService models;
  models.engine = EngineProfile{64, 100000, 1000, 8, 1, {}};
  models.engine->models["m"] = {100, 5, {}, seconds(6), milliseconds(800), milliseconds(400)};
  config.services["models"] = models;
  return config;
}

FleetConfig ConfigWithCustomers() {
  FleetConfig config = Config();
  config.version = 2;
  config.customers.emplace();
  config.customers->Add({"cook", 0, {}});
  config.customers->Add({"shop", std::nullopt, {}});
  config.customers->AddKey("cook", KeyDigest("k1"));
  config.customers->AddKey("shop", KeyDigest("k2"));
  config.routes.push_back(config.routes.front());
  config.routes.back().prefix = "/open/";
  config.routes.back().is_public = true;
  return config;
}

RelayFixture::RelayFixture(bool configured)
    : p1(&io, "p1"),
      p2(&io, "p2"),
      e1(&io, "e1"),
      e2(&io, "e2"),
      client(io.get_executor()),
      test_client(io.get_executor()),
      selector({"north", {{"a", "north"}}}, &directory, &stats, &prefixes, 3),
      usage(io.get_executor()),
      prober(&client, &directory, &crash_correlator),
      handler({&client, &directory, &stats, &prefixes, &selector, &usage, &metrics, &evidence,
               &part_evidence, &prober, &quota, &limits, Hooks(), &memory, nullptr, &streams},
              5),
      server(io.get_executor(), HttpLimits(),
             [this](HttpExchange& exchange) { return handler.Handle(exchange); }) {
  server.set_memory_budget(&memory);
  if (configured) directory.Adopt(Config());
  Add(p1, "plain");
  Add(p2, "plain");
  Add(e1, "models");
  Add(e2, "models");
  RetryLimits limits;
  limits.extra = 100;
  limits.extra_is_minimum = false;
  handler.SetRetryLimits(limits);
  port = server.Listen({"127.0.0.1", 0}).value();
}

PlacementHooks RelayFixture::Hooks() {
  PlacementHooks hooks;
  hooks.fetch_report = [this](Address address,
                              milliseconds timeout) -> Task<Result<EngineReport, HttpError>> {
    if (!engines_report) co_return outcome::failure(HttpError::kNotSent);
    auto report = co_await orders.Report(std::move(address), timeout, false);
    co_return report;
  };
  hooks.place_adapter = [this](AdapterRequest) -> Task<bool> {
    co_await Sleep(adapter_placement_time);
    co_return adapter_placement_succeeds;
  };
  hooks.request_permit = [this](PermitRequest) -> Task<PermitAnswer> {
    ++permit_requests;
    const PermitAnswer answer = permit_answer;
    co_await Sleep(permit_time);
    co_return answer;
  };
  hooks.find_stream_origin = [this](StreamOriginRequest) -> Task<StreamOrigin> {
    const StreamOrigin origin = stream_origin;
    co_return origin;
  };
  hooks.load_end = [this](const std::string&) {
    if (std::exchange(load_end_throws, false)) throw std::runtime_error("load_end_throws");
    return load_end;
  };
  hooks.queued_load_end = [this](const std::string&, std::uint32_t) { return queued_load_end; };
  hooks.has_leader = [this](MonotonicTime) { return has_leader; };
  hooks.config_may_be_stale = [this](MonotonicTime) { return config_may_be_stale; };
  return hooks;
}

void RelayFixture::Add(const TestEndpoint& endpoint, const std::string& service,
                       const std::string& software) {
  FleetEndpoint entry;
  entry.id = endpoint.id;
  entry.service = service;
  entry.address = {"127.0.0.1", endpoint.port};
  entry.failure_domain = "a";
  entry.slots = 64;
  entry.software = software;
  entry.holdings.models.push_back({"m", {}});
  directory.Put(entry);
  streams.RecordServing(service, software, MonotonicNow());
}

HttpCall RelayFixture::MakeCall(const std::string& path, const std::string& model) const {
  HttpCall call;
  call.address = {"127.0.0.1", port};
  call.method = "POST";
  call.target = path;
  call.headers = {{"Host", "a.example"},
                  {"Request-Id", "9c41"},
                  {"Deadline-Ms", "1500"},
                  {"Model", model},
                  {"Token-Count", "100,10"}};
  call.deadline = MonotonicNow() + seconds(5);
  return call;
}

Result<HttpReply, HttpError> RelayFixture::Send(HttpCall made) {
  std::optional<Result<HttpReply, HttpError>> result;
  const auto call = [this, &result](HttpCall request) -> Task<void> {
    auto reply = co_await test_client.Call(std::move(request));
    result = std::move(reply);
  };
  boost::asio::co_spawn(io, call(std::move(made)), boost::asio::detached);
  const MonotonicTime end = MonotonicNow() + seconds(5);
  while (!result && MonotonicNow() < end) io.run_for(milliseconds(5));
  REQUIRE(result);
  return std::move(*result);
}

void RelayFixture::SetBehavior(const EndpointBehavior& first, const EndpointBehavior& then) {
  const auto turns = std::make_shared<int>(0);
  for (TestEndpoint* endpoint : {&p1, &p2, &e1, &e2}) {
    endpoint->behavior = [turns, first, then](HttpExchange& exchange) -> Task<void> {
      const EndpointBehavior& now = (*turns)++ == 0 ? first : then;
      co_await now(exchange);
    };
  }
}

HttpCall MakeCallWithKey(const RelayFixture& relay, const std::string& path,
                         const std::string& key) {
  HttpCall call = relay.MakeCall(path);
  if (!key.empty()) call.headers.emplace_back("X-Api-Key", key);
  return call;
}

}  // namespace mimosabend::testing
