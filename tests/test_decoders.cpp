#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

#include "environment.h"
#include "event_stream.h"
#include "fleet_usage.h"
#include "gateway_settings.h"
#include "leader_record.h"
#include "openai.h"
#include "peer_message.h"
#include "platform/decode.h"
#include "platform/request_headers.h"
#include "request_record.h"

// Fuzz tests: decoders of external input get valid messages with random changes. The seed and the
// number of messages come from MIMOSABEND_FUZZ_SEED and MIMOSABEND_FUZZ_ROUNDS. Memory errors and
// undefined behavior are found best under scripts/sanitize.
namespace mimosabend::testing {

namespace {

constexpr int kDefaultRounds = 3000;

std::int64_t FromEnvironment(const char* name, std::int64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoll(text);
}

// Mutates messages at random, with few changes each, so that most of a message stays valid.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::string Change(std::string text, const std::vector<std::string>& corpus) {
    const int changes = 1 + Number(4);
    for (int i = 0; i < changes; ++i) Apply(&text, corpus);
    return text;
  }

  // Splits the text into pieces of random sizes.
  std::vector<std::string> Cut(const std::string& text) {
    std::vector<std::string> pieces;
    std::size_t start = 0;
    while (start < text.size()) {
      const std::size_t length = 1 + Number(20);
      pieces.push_back(text.substr(start, length));
      start += length;
    }
    return pieces;
  }

 private:
  std::size_t Number(std::size_t below) {
    return below == 0 ? 0 : std::uniform_int_distribution<std::size_t>(0, below - 1)(random_);
  }

  void Apply(std::string* text, const std::vector<std::string>& corpus) {
    static const std::vector<std::string> kTokens{"0",
                                                  "-1",
                                                  "18446744073709551616",
                                                  "1e400",
                                                  "null",
                                                  "\"",
                                                  "{",
                                                  "}",
                                                  "[",
                                                  "]",
                                                  "\n\n",
                                                  "id: ",
                                                  "\r",
                                                  "\xff",
                                                  ",",
                                                  ":",
                                                  "=\n",
                                                  "[]",
                                                  std::string(1, '\0'),
                                                  "\\u0000"};
    const std::size_t at = Number(text->size() + 1);
    switch (Number(6)) {
      case 0:
        if (at < text->size()) (*text)[at] = static_cast<char>(Number(256));
        break;
      case 1:
        text->insert(at, kTokens[Number(kTokens.size())]);
        break;
      case 2:
        text->erase(at, 1 + Number(8));
        break;
      case 3:
        text->resize(at);
        break;
      case 4:
        text->insert(at, text->substr(Number(text->size() + 1), Number(40)));
        break;
      default: {
        const std::string& other = corpus[Number(corpus.size())];
        text->replace(at, Number(40), other.substr(Number(other.size() + 1), Number(40)));
      }
    }
  }

  std::mt19937_64 random_;
};

// Calls `check` with each message of the corpus, then with mutated ones.
void Fuzz(const std::string& name, const std::vector<std::string>& corpus,
          const std::function<void(const std::string&)>& check) {
  const auto seed = static_cast<std::uint64_t>(FromEnvironment("MIMOSABEND_FUZZ_SEED", 1));
  const std::int64_t rounds = FromEnvironment("MIMOSABEND_FUZZ_ROUNDS", kDefaultRounds);
  std::cout << name << ": seed " << seed << ", " << rounds << " mutated messages\n";
  Mutator mutator(seed);
  for (const std::string& text : corpus) check(text);
  for (std::int64_t i = 0; i < rounds; ++i)
    check(mutator.Change(corpus[i % corpus.size()], corpus));
}

const std::vector<std::string>& ConfigTexts() {
  static const std::vector<std::string> kTexts{
      R"({"version":7,"routes":[{"name":"r","host":"a.example","prefix":"/x/","route-type":
      "streaming","timeout-ms":5000,"target-latency-ms":800,"priority":2,"max-attempts":2,
      "resumable":true,"gap-aim-ms":400,"traffic-split":[{"service":"models","weight":90},
      {"service":"orders","weight":10}]}],"services":[{"name":"orders","health-path":"/h",
      "max-conns":96},{"name":"models","max-conns":360,"engine":{"slots":64,"kv-capacity":1000,
      "weights-mb":160000.0,"adapter-slots":8,"loads-per-s":4.2,"models":[{"name":"m","weights-mb":
      65100.5,"load-time-s":6.0,"warm-s":0.38,"disk-s":0.76,"adapters":36,"adapter-mb":12.0}]}}],
      "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"idle-timeout-ms":15000}})",
      R"({"version":1,"routes":[],"services":[]})"};
  return kTexts;
}

EvidenceMessage Evidence() {
  return {{1, 2, 3},
          {4, 5, 6},
          {{7, 8, true, 9}, {10, CrashRecord::kServed, false, 11}},
          {{12, 13, 14, true, 15, 16}, {17, PartRecord::kServed, 0, false, 18, 0}}};
}

UsageReport Report() {
  UsageReport report;
  report.sender = {{"10.0.0.1", 7380}, "north-a", 100};
  report.relayed.push_back({{"10.0.0.2", 7380}, "north-a", 20});
  report.known = {7, {1, 90}, 12, 3};
  report.loads.emplace_back(3, EndpointWork{2, 100, 300});
  report.runs.push_back({3, {{"m", 2, {"a", "b"}}}});
  report.unreachable = {4, 5};
  report.evidence = Evidence();
  report.quota = {{1, 4, 2, -3}};
  report.limits = {{3, 0.5, 1200}, {4, LimitNotice::kNoLimit, 7}};
  report.streams = {{"models", "v1", {7, 8}}};
  return report;
}

UsageAnswer ReportAnswer() {
  UsageAnswer answer;
  answer.accepted = true;
  answer.leader = {9, {"10.0.0.1", 7380}, 40};
  answer.view.directory = {
      {1, 90}, true, {{"e1", {1, 80}, false, "models", {"10.0.0.9", 80}, "north-a"}}, {7}, {5}};
  answer.plan = {4, true, {{"north-a", {{"10.0.0.1", 7380}, {"10.0.0.2", 7380}}}}};
  answer.holdings.push_back({3, 5, {{"m", {"a", "b"}}}});
  answer.loads.push_back({"m", 4000});
  answer.recent_orders.push_back({3, 700});
  answer.evidence = Evidence();
  answer.quota = {{1, 4, 2}};
  answer.limits = {{3, 0.5, 1200}};
  answer.backlogs = {{"models", {1, 0, 12}, 900, 300}};
  return answer;
}

// Checks that a message that was decoded stays the same when it is encoded and decoded again.
template <class Message>
void CheckStable(const std::string& bytes) {
  const auto message = Decode<Message>(bytes);
  if (!message) return;
  const std::string again = Encode(*message);
  const auto second = Decode<Message>(again);
  REQUIRE(second);
  CHECK(Encode(*second) == again);
}

}  // namespace

// Guards against an operator's configuration that crashes the process, or is decoded in part.
TEST_CASE("any configuration is decoded or rejected", "[decoders]") {
  Fuzz("configuration", ConfigTexts(), [](const std::string& text) {
    const auto config = platform::DecodeConfig(text);
    if (!config) {
      CHECK_FALSE(config.error().empty());
      return;
    }
    for (const Route& route : config.value().routes) {
      CHECK_FALSE(route.targets.empty());
      config.value().FindRoute(route.host, route.prefix + "1");
    }
  });
}

// Guards against store entries and status reports of endpoints that crash the process.
TEST_CASE("any entry and report is decoded or rejected", "[decoders]") {
  const std::vector<std::string> entries{
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":64,"state":"ready","born":12,"version":"v1",
      "cold-left-ms":0,"seq-no":1,"models":[{"name":"m","version":1,"adapters":["a","b"]}],"stage":{"m":"disk"}})",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,"state":"draining","born":1,
      "version":"","cold-left-ms":9,"seq-no":0})"};
  Fuzz("entry", entries, [](const std::string& text) {
    const auto endpoint = platform::DecodeEndpoint("e1", text);
    if (endpoint) CHECK(endpoint->id == "e1");
  });
  const std::vector<std::string> reports{
      R"({"models":[{"name":"m","version":1,"adapters":["a"]}],"busy":true,"seq-no":9,"running":3,
      "waiting":1,"kv-used":5,"kv-total":10,"handles":[],"stage":{"m":"host"},
      "runs":[["9c41",100,2,5],["77",8,0,5]]})"};
  Fuzz("report", reports, [](const std::string& text) { platform::DecodeReport(text); });
}

// Guards against a message of a peer that crashes the process, uses unbounded memory, or changes
// its meaning when it is forwarded.
TEST_CASE("any message of a peer is decoded or rejected", "[decoders]") {
  const WallTime now(seconds(1'700'000'000));
  const Envelope envelope = Wrap(Report(), "daemon-1", 1, now);
  Fuzz("envelope", {EncodeEnvelope(envelope, "")}, [now](const std::string& bytes) {
    const auto decoded = DecodeEnvelope(bytes, "", now);
    if (!decoded) return;
    const auto report = Unwrap<UsageReport>(decoded.value());
    if (!report) CHECK(report.error() != PeerError::kNotSent);
  });
  Fuzz("usage report", {Encode(Report())}, CheckStable<UsageReport>);
  Fuzz("usage answer", {Encode(ReportAnswer())}, CheckStable<UsageAnswer>);
  Fuzz("permit request", {Encode(PermitRequest{{3, 0.5, 1200}, 2})}, CheckStable<PermitRequest>);
  Fuzz("stream origin request", {Encode(StreamOriginRequest{"models", 7})},
       CheckStable<StreamOriginRequest>);
  Fuzz("stream origin answer", {Encode(StreamOriginAnswer{{OriginState::kKnown, "v1"}})},
       CheckStable<StreamOriginAnswer>);
  Fuzz("permit answer", {Encode(PermitAnswer{false, 350})}, CheckStable<PermitAnswer>);
  const ViewAnswer view{ReportAnswer().view, ReportAnswer().leader, Evidence()};
  Fuzz("evidence", {Encode(Evidence())}, CheckStable<EvidenceMessage>);
  Fuzz("view request", {Encode(ViewRequest{{1, 7}, Evidence()})}, CheckStable<ViewRequest>);
  Fuzz("view answer", {Encode(view)}, CheckStable<ViewAnswer>);
  Fuzz("adapter request", {Encode(AdapterRequest{"e1", "m", "a"})}, CheckStable<AdapterRequest>);
  RequestRecord record;
  record.key = "key";
  record.body = "body";
  Fuzz("request record", {Encode(RecordSlot{{record, record}})}, CheckStable<RecordSlot>);
  const LeaderRecord leader{{"10.0.0.1", 7380}, "12"};
  Fuzz("leader record", {ToString(leader)}, [](const std::string& text) {
    const auto parsed = ParseLeaderRecord(text);
    if (parsed) CHECK(ParseLeaderRecord(ToString(*parsed)));
  });
}

// Guards against a byte other than 0 or 1 that is stored in a bool. Reading such a bool is
// undefined behavior: it may be true in one place and false in another.
TEST_CASE("a flag of a message is 0 or 1", "[decoders]") {
  AdapterAnswer answer;
  answer.placed = true;
  std::string bytes = Encode(answer);
  REQUIRE(Decode<AdapterAnswer>(bytes));
  CHECK(Decode<AdapterAnswer>(bytes)->placed);
  bytes.back() = 2;
  CHECK_FALSE(Decode<AdapterAnswer>(bytes));
}

// Guards against events that are split, merged or lost, for any bytes and any boundaries between
// reads.
TEST_CASE("an event stream is relayed unchanged", "[decoders]") {
  const std::vector<std::string> streams{"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n",
                                         ": note\r\n\r\nid:3\r\ndata: d\r\n\r\n",
                                         "weight-versions: 4\nid: 18446744073709551615\n\n"};
  Mutator cutter(FromEnvironment("MIMOSABEND_FUZZ_SEED", 1));
  Fuzz("event stream", streams, [&cutter](const std::string& text) {
    EventSplitter whole;
    const std::string expected = whole.Add(text);
    CHECK(text.starts_with(expected));
    CHECK(whole.has_partial() == (expected.size() < text.size()));
    EventSplitter pieces;
    std::string passed_on;
    for (const std::string& piece : cutter.Cut(text)) passed_on += pieces.Add(piece);
    CHECK(passed_on == expected);
    CHECK(pieces.last_id() == whole.last_id());
    CHECK(pieces.events() == whole.events());
  });
}

// Guards against a stream with CR LF line ends whose events are buffered until the stream ends.
TEST_CASE("events whose lines end with CR LF are relayed at once", "[decoders]") {
  EventSplitter splitter;
  CHECK(splitter.Add("id: 7\r\ndata: a\r\n\r").empty());
  CHECK(splitter.Add("\nid: 8\r\n") == "id: 7\r\ndata: a\r\n\r\n");
  CHECK(splitter.last_id() == 7);
  CHECK(splitter.events() == 1);
  CHECK(splitter.has_partial());
  CHECK(splitter.Add("\r\n\r\n") == "id: 8\r\n\r\n\r\n");
  CHECK(splitter.last_id() == 8);
  CHECK(splitter.events() == 2);
  CHECK_FALSE(splitter.has_partial());
}

// Guards against headers that crash the process, or that let a caller set headers reserved for the
// gateway.
TEST_CASE("any header of a request is decoded or ignored", "[decoders]") {
  const std::vector<std::string> values{"m/a", "100,10", "a1:100,ff:20,0:3", "1500",
                                        "18446744073709551616"};
  Fuzz("request headers", values, [](const std::string& value) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/x/1";
    for (const char* name : {"Request-Id", "Deadline-Ms", "Model", "Token-Count", "Prompt-Prefix",
                             "Last-Event-Id", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From"}) {
      request.headers.emplace_back(name, value);
    }
    platform::ReadRelayRequest(request);
    platform::ForwardOptions options;
    options.endpoint_id = "e1";
    options.time_left = milliseconds(500);
    const HttpHeaders forwarded = platform::ForwardedHeaders(request, options);
    for (const auto& [name, unused] : forwarded) {
      CHECK(name != "Hold");
      CHECK(name != "Pin-Ms");
      CHECK(name != "Kv-Backup");
      CHECK(name != "Kv-From");
    }
    platform::ClassifyResponse(200, request.headers, value);
  });
}

// Guards against settings files, environment files and request bodies that crash the process.
TEST_CASE("any settings file, environment and body is parsed or rejected", "[decoders]") {
  const std::vector<std::string> files{
      "[gateway]\nname = g\ncaller_address = 127.0.0.1:80\n[bounds]\ndrain_ms = 2500\n",
      "[environment]\nname = test\n[model.m]\nweights_mb = 100\n# note\n[model.n]\nkey=a,b\n"};
  Fuzz("settings", files, [](const std::string& text) {
    const auto settings = ParseGatewaySettings("fuzz.ini", text, {});
    if (!settings) CHECK_FALSE(settings.error().empty());
    const auto environment = ParseEnvironment("fuzz.ini", text);
    if (!environment) CHECK_FALSE(environment.error().empty());
  });
  const std::vector<std::string> bodies{
      R"({"model":"m","prompt":"hello","max_tokens":5,"stream":true})",
      R"({"model":"m","messages":[{"role":"user","content":"hello"}],"temperature":0.5})"};
  Fuzz("completion request", bodies, [](const std::string& text) {
    for (const char* path : {"/v1/completions", "/v1/chat/completions"}) {
      const auto request = ParseCompletionRequest(path, text, nullptr);
      if (!request) CHECK(request.error().status >= 400);
    }
  });
}

}  // namespace mimosabend::testing
