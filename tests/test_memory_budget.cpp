#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "caller_limits.h"
#include "caller_queue.h"
#include "connection_table.h"
#include "gateway_settings.h"
#include "held_json.h"
#include "host_resources.h"
#include "memory_budget.h"
#include "openai.h"
#include "relay_fixture.h"

namespace mimosabend::testing {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint64_t kMb = 1 << 20;

// A caller whose system buffers little for it, so that what it does not read stays at the relay.
class SlowCaller {
 public:
  SlowCaller(RelayFixture* relay, const std::string& head) : relay_(relay), socket_(relay->io) {
    socket_.open(tcp::v4());
    socket_.set_option(asio::socket_base::receive_buffer_size(4096));
    socket_.connect({asio::ip::address_v4::loopback(), relay->port});
    asio::write(socket_, asio::buffer(head + "\r\n"));
  }

  // Reads for this long, or until `end` arrives, and returns all that has been read.
  const std::string& Read(milliseconds time, const std::string& end) {
    asio::co_spawn(relay_->io, ReadUntil(end), asio::detached);
    const MonotonicTime limit = MonotonicNow() + time;
    while (!received_.ends_with(end) && MonotonicNow() < limit) {
      relay_->io.run_for(milliseconds(2));
    }
    return received_;
  }

 private:
  Task<void> ReadUntil(std::string end) {
    std::array<char, 64 * 1024> block;
    boost::system::error_code error;
    while (!error && !received_.ends_with(end)) {
      const std::size_t size = co_await socket_.async_read_some(
          asio::buffer(block), asio::redirect_error(asio::use_awaitable, error));
      received_.append(block.data(), size);
    }
  }

  RelayFixture* relay_;
  tcp::socket socket_;
  std::string received_;
};

std::string Head(const std::string& path, const std::string& more) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 9c41\r\nDeadline-Ms: 20000\r\n"
         "Model: m\r\nToken-Count: 100,10\r\n" +
         more;
}

EndpointBehavior RespondWith(const std::string* body) {
  return [body](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    std::string copy = *body;
    co_await Sleep(milliseconds(30));
    co_await exchange.Reply(200, std::move(headers), std::move(copy));
  };
}

}  // namespace

// Guards against a limit that is exceeded, bytes that are never released, and a customer or a
// connection that takes the share of the others.
TEST_CASE("a memory budget limits what is held", "[memory]") {
  const MonotonicTime now{};
  MemoryBudget budget(8 * kMb);
  {
    auto admitted = budget.Admit(kMb / 2, now);
    REQUIRE(admitted);
    CHECK(budget.held(MemoryKind::kRequests) == kMb);
    MemoryHold response = budget.Open(MemoryKind::kResponses, "cook");
    CHECK(response.TryGrow(3 * kMb) == MemoryResult::kTooLarge);
    CHECK(response.TryGrow(2 * kMb) == MemoryResult::kHeld);
    CHECK(budget.HasRoom("cook"));
    MemoryHold events = budget.Open(MemoryKind::kEvents, "cook");
    CHECK(events.TryGrow(2 * kMb) == MemoryResult::kHeld);
    CHECK(!budget.HasRoom("cook"));
    CHECK(budget.HasRoom("shop"));
    // Over three quarters nothing new is admitted, but what has been may still grow.
    CHECK(!budget.Admit(kMb, now));
    MemoryHold last = budget.Open(MemoryKind::kResponses, "");
    CHECK(last.TryGrow(2 * kMb) == MemoryResult::kHeld);
    CHECK(last.TryGrow(0) == MemoryResult::kHeld);
    MemoryHold none = budget.Open(MemoryKind::kResponses, "");
    CHECK(none.TryGrow(kMb + 1) == MemoryResult::kNoRoom);
    events.Shrink(kMb);
    CHECK(budget.HasRoom("cook"));
    last = std::move(events);
    CHECK(budget.held() == 4 * kMb);
    CHECK(budget.refusals() == 1);
  }
  CHECK(budget.held() == 0);
  // Responses that were large lately are expected of admitted requests.
  for (int i = 0; i < 1000; ++i) budget.RecordResponse(kMb);
  std::vector<MemoryHold> holds;
  while (auto hold = budget.Admit(0, now)) holds.push_back(std::move(*hold));
  CHECK(holds.size() == 6);
  holds.clear();
  CHECK(budget.Admit(0, now));
  budget.set_limit(0);
  CHECK(budget.Admit(100 * kMb, now));
}

// Guards against bodies that are read although there is no room for them, and against a daemon that
// does not recover.
TEST_CASE("a request without room is refused before its body is read", "[memory]") {
  RelayFixture relay;
  relay.memory.set_limit(2 * kMb);
  const bool chunked = GENERATE(false, true);
  CAPTURE(chunked);
  MemoryHold others = relay.memory.Open(MemoryKind::kEvents, "");
  REQUIRE(others.TryGrow(kMb / 2) == MemoryResult::kHeld);
  // Only the header arrives, or, in chunks, as much as fits.
  const std::string chunk = "40000\r\n" + std::string(0x40000, 'x') + "\r\n";
  const std::string body = chunked ? "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk
                                   : "Content-Length: 900000\r\n";
  SlowCaller caller(&relay, Head("/order/1", body));
  const std::string& received = caller.Read(milliseconds(500), "later\"}");
  CHECK(received.starts_with("HTTP/1.1 503 "));
  CHECK(received.find("Retry-After: ") != std::string::npos);
  CHECK(relay.memory.refusals() == 1);
  CHECK(relay.memory.held(MemoryKind::kRequests) == 0);
  CHECK(relay.plain_arrivals() == 0);
  others.Release();
  HttpCall call = relay.MakeCall("/order/1");
  call.body = std::string(100000, 'x');
  const auto reply = relay.Send(std::move(call));
  REQUIRE(reply);
  CHECK(reply.value().status == 200);
  relay.io.run_for(milliseconds(5));
  CHECK(relay.memory.held() == 0);
}

// Guards against whole responses that together exceed the limit, are cut, or are passed on in part.
TEST_CASE("a whole response waits for room", "[memory]") {
  RelayFixture relay;
  relay.memory.set_limit(16 * kMb);
  const std::string body(kMb, 'b');
  relay.SetBehavior(RespondWith(&body), RespondWith(&body));
  MemoryHold others = relay.memory.Open(MemoryKind::kEvents, "");
  REQUIRE(others.TryGrow(4 * kMb) == MemoryResult::kHeld);
  SlowCaller caller(&relay, Head("/order/1", "Content-Length: 0\r\n"));
  relay.io.run_for(milliseconds(10));
  std::vector<MemoryHold> rest;
  for (int i = 0; i < 3; ++i) {
    rest.push_back(relay.memory.Open(MemoryKind::kEvents, ""));
    REQUIRE(rest.back().TryGrow(4 * kMb - kMb / 4) == MemoryResult::kHeld);
  }
  CHECK(caller.Read(milliseconds(100), body).empty());
  CHECK(relay.memory.held() <= relay.memory.limit());
  others.Release();
  const std::string& received = caller.Read(milliseconds(2000), body);
  CHECK(received.starts_with("HTTP/1.1 200 "));
  CHECK(received.ends_with("\r\n\r\n" + body));
  relay.io.run_for(milliseconds(5));
  CHECK(relay.memory.held(MemoryKind::kResponses) == 0);
}

// Guards against a stream whose endpoint is not read because its caller is slow, against one that
// is read without bounds, and against events that are lost or remain counted.
TEST_CASE("a stream is read ahead of a slow caller up to its share", "[memory]") {
  const std::uint64_t limit = GENERATE(0, 64) * kMb;
  const int events = GENERATE(40, 400);
  CAPTURE(limit, events);
  RelayFixture relay;
  relay.memory.set_limit(limit);
  int sent = 0;
  const std::string event = "data: " + std::string(60000, 'e') + "\n\n";
  const EndpointBehavior stream = [&](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.StartStream(200, std::move(headers));
    for (; sent < events; ++sent) co_await exchange.Write(event);
    co_await exchange.FinishStream();
  };
  relay.SetBehavior(stream, stream);
  SlowCaller caller(&relay, Head("/once/1", "Content-Length: 0\r\n"));
  relay.io.run_for(milliseconds(300));
  // The system's buffers on both sides take some MB.
  if (events == 400) CHECK(sent < events);
  const std::uint64_t queued = relay.memory.held(MemoryKind::kEvents);
  CHECK(queued <= CallerQueue::kMaxBytes);
  if (limit > 0 && events == 400) CHECK(queued > CallerQueue::kMaxBytes / 2);
  if (limit == 0) CHECK(queued == 0);
  const std::string& received = caller.Read(milliseconds(5000), "\r\n0\r\n\r\n");
  CHECK(received.ends_with("\r\n0\r\n\r\n"));
  CHECK(std::count(received.begin(), received.end(), 'e') >= events * 60000);
  CHECK(relay.memory.held() == 0);
}

// Guards against a caller that stops reading for good, or goes, and leaves bytes counted.
TEST_CASE("a caller that goes releases what is held for it", "[memory]") {
  const bool stays = GENERATE(false, true);
  CAPTURE(stays);
  RelayFixture relay;
  HttpLimits limits;
  if (stays) limits.write_timeout = milliseconds(400);
  relay.server.set_limits(limits);
  relay.memory.set_limit(64 * kMb);
  const EndpointBehavior stream = [&](HttpExchange& exchange) -> Task<void> {
    HttpHeaders headers = StampedHeaders(exchange);
    headers.emplace_back("Content-Type", "text/event-stream");
    co_await exchange.StartStream(200, std::move(headers));
    const std::string event = "data: " + std::string(60000, 'e') + "\n\n";
    bool open = true;
    while (open) open = co_await exchange.Write(event);
  };
  relay.SetBehavior(stream, stream);
  auto caller = std::make_unique<SlowCaller>(&relay, Head("/once/1", "Content-Length: 0\r\n"));
  relay.io.run_for(milliseconds(300));
  CHECK(relay.memory.held(MemoryKind::kEvents) > 0);
  if (!stays) caller.reset();
  relay.io.run_for(milliseconds(stays ? 1000 : 300));
  CHECK(relay.handler.in_flight() == 0);
  CHECK(relay.memory.held() == 0);
}

// Guards against bodies that remain counted after an endpoint was too slow to read them, and
// against others that are refused meanwhile.
TEST_CASE("an endpoint that reads a body slowly holds it until the deadline", "[memory]") {
  RelayFixture relay;
  relay.memory.set_limit(16 * kMb);
  tcp::acceptor acceptor(relay.io, {asio::ip::address_v4::loopback(), 0});
  acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
  const auto read_slowly = [&]() -> Task<void> {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 16> block;
    boost::system::error_code error;
    while (!error) {
      co_await Sleep(milliseconds(16));
      co_await socket.async_read_some(asio::buffer(block),
                                      asio::redirect_error(asio::use_awaitable, error));
    }
  };
  asio::co_spawn(relay.io, read_slowly(), asio::detached);
  const auto send = [&] {
    HttpCall call = relay.MakeCall("/order/1");
    call.headers[2].second = "500";
    call.body = std::string(kMb - 1, 'x');
    return relay.Send(std::move(call));
  };
  // Only p1 is slow, and only for its first connection.
  const std::uint16_t port = std::exchange(relay.p1.port, acceptor.local_endpoint().port());
  relay.Add(relay.p1, "plain");
  relay.directory.Remove("p2", MonotonicNow());
  const auto slow = send();
  REQUIRE(slow);
  CHECK(slow.value().status == 504);
  relay.p1.port = port;
  relay.Add(relay.p1, "plain");
  relay.Add(relay.p2, "plain");
  const auto next = send();
  REQUIRE(next);
  CHECK(next.value().status == 200);
  relay.io.run_for(milliseconds(5));
  CHECK(relay.memory.held() == 0);
}

// Guards against room that is kept by unfinished requests, against large requests that displace
// small ones, and against connections that are closed in vain.
TEST_CASE("unfinished requests that cost most make room", "[memory]") {
  struct Client {
    MemoryHold hold;
    int evictions = 0;
    std::uint64_t held_bytes() const { return hold.bytes(); }
    void Evict(bool) {
      ++evictions;
      hold.Release();
    }
  };
  MemoryBudget budget(64 * kMb);
  ConnectionTable<Client> table;
  std::array<Client, 4> clients;
  MonotonicTime now{};
  const std::array<std::uint64_t, 4> sizes{5 * kMb, 5 * kMb, 4 * kMb, 0};
  for (std::size_t i = 0; i < clients.size(); ++i, now += milliseconds(400)) {
    table.Add(&clients[i]);
    table.SetReceiving(&clients[i], now);
    if (sizes[i] > 0) clients[i].hold = budget.Admit(sizes[i], now).value();
  }
  // 28 MB are held and 20 MB left, of which a request gets half.
  Client& last = clients[3];
  CHECK(table.MakeRoomInMemory(budget, &last, nullptr, 4 * kMb, now));
  CHECK(!table.MakeRoomInMemory(budget, &last, nullptr, 32 * kMb, now));
  CHECK(!table.MakeRoomInMemory(budget, &last, nullptr, 8 * kMb, now));
  CHECK(table.log().evictions(EvictionCause::kMemory) == 0);
  CHECK(table.MakeRoomInMemory(budget, &last, nullptr, 6 * kMb, now));
  CHECK(clients[0].evictions == 1);
  CHECK(table.log().evictions(EvictionCause::kMemory) == 1);
  // A place is made by the one that has waited longest, unless its request may be on its way.
  CHECK(table.MakeRoomForConnection(4, now));
  CHECK(table.MakeRoomForConnection(3, now));
  CHECK(clients[1].evictions == 1);
  table.SetBusy(&clients[2]);
  table.SetReceiving(&last, now);
  CHECK(!table.MakeRoomForConnection(2, now));
}

// Guards against limits of connections that memory or descriptors do not suffice for, or that a
// host without limits meets.
TEST_CASE("connections follow from memory and descriptors", "[memory]") {
  HostResources resources;
  CHECK(CallerConnections(resources, 16384, 20000) == 2000);
  CHECK(CallerConnections(resources, 16384, 1200) == 400);
  resources.descriptors = 700;
  CHECK(CallerConnections(resources, 16384, 20000) == 200);
  resources.descriptors = 10;
  CHECK(CallerConnections(resources, 16384, 20000) == 16);
  resources.descriptors = 0;
  resources.memory_bytes = 120 * kMb;
  const std::size_t connections = CallerConnections(resources, 16384, 20000);
  CHECK(connections * (16384 + 2 * resources.receive_buffer_bytes) < 30 * kMb);
  CHECK(connections > 400);
}

// Guards against parsed values that are not counted, and against members of a client that replace
// those for the engine.
TEST_CASE("what a body takes while it is parsed is counted", "[memory]") {
  MemoryBudget budget(4 * kMb);
  MemoryHold hold = budget.Open(MemoryKind::kRequests, "");
  const std::string body = R"({"model":"m","prompt":"p","priority":-1,"resume_from":7,"x":[)" +
                           std::string(100000, '[') + std::string(100000, ']') + "]}";
  CHECK(ParseCompletionRequest("/v1/completions", body, &hold).error().status == 400);
  std::string dense = R"({"model":"m","prompt":"p","priority":-1,"resume_from":7,"x":[0)";
  while (dense.size() < 50000) dense += ",0";
  {
    HeldJsonMemory memory(&hold);
    const auto value = memory.Parse(dense + "]}");
    REQUIRE(value);
    CHECK(hold.bytes() > 4 * dense.size());
  }
  CHECK(hold.bytes() == 0);
  auto request = ParseCompletionRequest("/v1/completions", dense + "]}", &hold);
  REQUIRE(request);
  CHECK(hold.bytes() == request.value().body.size() + request.value().prompt.size());
  GenerateCall call;
  call.body = request.value().body;
  CHECK(EngineBody(call).starts_with(R"({"model":"m","prompt":"p","x":[0,)"));
  CHECK(EngineBody(call).ends_with(
      R"(],"stream":true,"request_id":"","priority":1,"resume_from":0})"));
  while (dense.size() < 500000) dense += ",0";
  CHECK(ParseCompletionRequest("/v1/completions", dense + "]}", &hold).error().status == 503);
}

// Guards against a limit that is taken from an invalid setting.
TEST_CASE("settings of the memory limit are checked", "[memory]") {
  const std::string text =
      "[gateway]\nname = g\nregion = north\nfailure_domain = a\ndomains = a:north\n"
      "[listen]\ncaller = 127.0.0.1:1\nreadiness = 127.0.0.1:2\npeer = 127.0.0.1:3\n"
      "metrics = 127.0.0.1:4\n[platform]\nstore = 127.0.0.1:5\n";
  const auto parse = [&](const std::vector<std::string>& overrides) {
    return ParseGatewaySettings("test.ini", text, overrides);
  };
  CHECK(parse({}).value().resources.relay_bytes() == 0);
  CHECK(parse({"host.memory_mb=100"}).value().resources.relay_bytes() == 40 * kMb);
  CHECK(parse({"host.memory_mb=100", "memory.relay_share=0.8"}).value().resources.relay_bytes() ==
        80 * kMb);
  for (const std::string invalid :
       {"host.memory_mb=-1", "host.memory_mb=nan", "host.memory_mb=many", "host.memory_mb=2e6",
        "memory.relay_share=0.81", "memory.relay_share=-0.1", "memory.relay_share=nan",
        "memory.share=0.5", "host.descriptors=-1", "host.descriptors=2e10",
        "callers.connections=15", "callers.connections=100001", "callers.receive_buffer_kb=3",
        "callers.receive_buffer_kb=1025", "memory.prefix_parts=1023", "memory.peer_mb=31"}) {
    CAPTURE(invalid);
    const auto settings = parse({invalid});
    REQUIRE(!settings);
    CHECK(settings.error().size() == 1);
  }
}

}  // namespace mimosabend::testing
