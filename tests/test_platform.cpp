#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "platform/decode.h"
#include "platform/request_headers.h"

namespace mimosabend::testing {

namespace {

constexpr char kConfig[] = R"({"version":7,"routes":[
  {"name":"plain","host":"a.example","prefix":"/x/","route-type":"non_idempotent","timeout-ms":800,
   "service":"orders","max-attempts":1},
  {"name":"deeper","host":"a.example","prefix":"/x/y/","route-type":"streaming","timeout-ms":5000,
   "target-latency-ms":800,"priority":2,"max-attempts":2,"resumable":true,"gap-aim-ms":400,
   "traffic-split":[{"service":"models","weight":90},{"service":"orders","weight":10}]}],
 "services":[{"name":"orders","health-path":"/health","max-conns":96},
  {"name":"models","max-conns":360,"engine":{"slots":64,"kv-capacity":1000,"weights-mb":160000.0,
   "adapter-slots":8,"loads-per-s":4.2,"models":[{"name":"m","weights-mb":65100.5,"load-time-s":6.0,
   "warm-s":0.38,"disk-s":0.76,"adapters":36,"adapter-mb":12.0}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"idle-timeout-ms":15000}})";

HttpRequest RequestWith(HttpHeaders headers) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/x/1";
  request.headers = std::move(headers);
  return request;
}

std::string Joined(const HttpHeaders& headers) {
  std::string text;
  for (const auto& [name, value] : headers) text += name + "=" + value + ";";
  return text;
}

}  // namespace

TEST_CASE("a configuration is decoded into typed values", "[platform]") {
  const auto config = platform::DecodeConfig(kConfig);
  REQUIRE(config);
  CHECK(config.value().version == 7);
  const Route* route = config.value().FindRoute("a.example:8080", "/x/y/z?q=/x/");
  REQUIRE(route != nullptr);
  CHECK(route->name == "deeper");
  CHECK(route->repeatable());
  CHECK(route->targets.size() == 2);
  CHECK(config.value().FindRoute("a.example", "/x/z")->kind == RouteKind::kNonIdempotent);
  CHECK(config.value().FindRoute("b.example", "/x/z") == nullptr);
  CHECK(config.value().FindRoute("a.example", "/z/x/") == nullptr);
  const RoutedService* models = config.value().FindService("models");
  REQUIRE((models != nullptr && models->engine));
  CHECK(models->engine->models.at("m").load_from_disk == milliseconds(760));
  CHECK(models->engine->loads_per_second == Approx(4.2));
  CHECK(config.value().limits.body_bytes == 4194304);
}

// Guards against an invalid configuration that is decoded in part and then used.
TEST_CASE("an invalid configuration is rejected with a reason", "[platform]") {
  for (const char* text :
       {"", "[]", "{}", R"({"version":"7","routes":[],"services":[]})",
        R"({"version":1,"routes":[{"host":"a","prefix":"/","route-type":"odd"}],"services":[]})",
        R"({"version":1,"routes":[{"prefix":"/","route-type":"streaming"}],"services":[]})"}) {
    const auto config = platform::DecodeConfig(text);
    CHECK_FALSE(config);
    if (!config) CHECK_FALSE(config.error().empty());
  }
}

// Guards against API keys that stay in memory or are sent between daemons, and against customers
// that are decoded wrongly.
TEST_CASE("customers are found by the digests of their API keys", "[platform]") {
  const std::string text = R"({"version":1,"routes":[],"services":[],"tenants":[
      {"name":"cook","api-keys":["secret-1","secret-2"],"priority":1,"unit":"token_rate",
       "plain-tokens":200,"rate-per-s":900,"burst":50.5},{"name":"shop","api-keys":["secret-3"]}]})";
  const std::string hidden = platform::HashApiKeys(text);
  CHECK(hidden.find("secret") == std::string::npos);
  CHECK(platform::HashApiKeys(hidden) == hidden);
  for (const std::string& source : {text, hidden}) {
    const auto config = platform::DecodeConfig(source);
    REQUIRE((config && config.value().customers));
    const CustomerDirectory& customers = *config.value().customers;
    const Customer* cook = customers.FindByKey("secret-2");
    REQUIRE(cook != nullptr);
    CHECK(cook->name == "cook");
    CHECK(cook->priority == 1);
    CHECK(cook->quota == QuotaLimit{900, 50.5, QuotaUnit::kTokens, 200});
    CHECK(cook->quota.CostOf(1540) == 1540);
    CHECK(cook->quota.CostOf(0) == 200);
    REQUIRE(customers.FindByKey("secret-3") != nullptr);
    CHECK(customers.FindByKey("secret-3")->quota.CostOf(1540) == 1);
    CHECK_FALSE(customers.FindByKey("secret-3")->quota.is_limited());
    for (const char* key : {"", "secret", "secret-1 ", "SECRET-1"}) {
      CHECK(customers.FindByKey(key) == nullptr);
    }
  }
  // A configuration without customers stays unchanged, and its requests need no API keys.
  CHECK(platform::HashApiKeys(kConfig) == kConfig);
  CHECK_FALSE(platform::DecodeConfig(kConfig).value().customers);
}

// Guards against a configuration in which a key identifies the wrong customer, or a quota is not
// valid.
TEST_CASE("invalid customers are rejected with a reason", "[platform]") {
  for (const char* customers :
       {R"([{"name":"a","api-keys":["k"]},{"name":"b","api-keys":["k"]}])",
        R"([{"name":"a","api-keys":[""]}])", R"([{"name":"a"},{"name":"a"}])", R"([{}])",
        R"([{"name":"a","rate-per-s":-1}])", R"([{"name":"a","rate-per-s":"9"}])",
        R"([{"name":"a","rate-per-s":1e300}])", R"([{"name":"a","burst":-0.5}])"}) {
    CAPTURE(customers);
    const std::string text =
        R"({"version":1,"routes":[],"services":[],"tenants":)" + std::string(customers) + "}";
    for (const std::string& source : {text, platform::HashApiKeys(text)}) {
      const auto config = platform::DecodeConfig(source);
      CHECK_FALSE(config);
      if (!config) CHECK_FALSE(config.error().empty());
    }
  }
}

// Guards against names that can't be sent to other daemons or in a header.
TEST_CASE("an endpoint with a name that can't be passed on is rejected", "[platform]") {
  const auto entry = [](const std::string& service, const std::string& ip,
                        const std::string& zone) {
    return R"({"state":"ready","slots":1,"cold-left-ms":0,"seq-no":0,"version":"","service":")" +
           service + R"(","address":")" + ip + R"(:80","zone":")" + zone + R"("})";
  };
  const std::string longest(255, 'n');
  const std::string good = entry(longest, "10.0.0.1", longest);
  CHECK(platform::DecodeEndpoint("i-1", good));
  for (const char* id : {"", "a\r\nb", "a b", "a\xc3\xa9", "\x7f"}) {
    CHECK_FALSE(platform::DecodeEndpoint(id, good));
  }
  CHECK_FALSE(platform::DecodeEndpoint("i-1", entry(longest + "n", "10.0.0.1", "z")));
  CHECK_FALSE(platform::DecodeEndpoint("i-1", entry("s", "10.0.0.1", longest + "n")));
  const std::string version = R"(","version":")" + longest;
  CHECK(platform::DecodeEndpoint("i-1", entry("s", "10.0.0.1", "z" + version)));
  CHECK_FALSE(platform::DecodeEndpoint("i-1", entry("s", "10.0.0.1", "z" + version + "n")));
  CHECK_FALSE(platform::DecodeEndpoint("i-1", entry("s", "[fe80::1%" + longest + "]", "z")));
  const std::string config = R"({"version":1,"routes":[],"services":[{"name":")" + longest +
                             R"(n"},{"name":"s","engine":{"models":[{"name":")" + longest +
                             R"(n"},{"name":"m"}]}}]})";
  const auto decoded_config = platform::DecodeConfig(config);
  REQUIRE(decoded_config);
  CHECK(decoded_config.value().services.size() == 1);
  CHECK(decoded_config.value().services.at("s").engine->models.size() == 1);
  const std::string report = R"({"models":[{"name":"m","adapters":["a",")" + longest +
                             R"(n"]},{"name":")" + longest + R"(n"}]})";
  const auto decoded = platform::DecodeReport(report);
  REQUIRE((decoded && decoded->holdings.models.size() == 1));
  CHECK(decoded->holdings.models.front().adapters == std::vector<std::string>{"a"});
}

// Guards against malformed or unrelated store entries that are taken for endpoints.
TEST_CASE("a store entry that does not describe an endpoint is rejected", "[platform]") {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":64,"state":"ready","born":12,
          "version":"v1.2","cold-left-ms":0,"models":[{"name":"m","version":1,"adapters":["a1"]}],"seq-no":4,"remaining-ms":1500})";
  const auto endpoint = platform::DecodeEndpoint("i-1", good);
  REQUIRE(endpoint);
  CHECK(endpoint->address == Address{"10.0.0.1", 80});
  CHECK(endpoint->started_ms == 12);
  CHECK(endpoint->software == "v1.2");
  CHECK(endpoint->leaves_in == milliseconds(1500));
  REQUIRE(endpoint->holdings.Find("m") != nullptr);
  CHECK(endpoint->holdings.Find("m")->adapters == std::vector<std::string>{"a1"});
  for (const char* text :
       {"", "\xff\xfe", "7", R"({"service":"s","address":"10.0.0.1:80","state":"odd"})",
        R"({"service":1,"address":"10.0.0.1:80","state":"ready"})",
        R"({"service":"s","address":"host:80","state":"ready"})",
        R"({"service":"s","state":"ready"})"}) {
    CHECK_FALSE(platform::DecodeEndpoint("i-2", text));
  }
  for (const char* name : {"service", "address", "zone", "version", "slots", "state",
                           "cold-left-ms", "seq-no", "born"}) {
    CAPTURE(name);
    boost::json::object entry = boost::json::parse(good).as_object();
    entry[name] = boost::json::array();
    CHECK_FALSE(platform::DecodeEndpoint("i-2", boost::json::serialize(entry)));
    entry.erase(name);
    const bool optional = std::string_view(name) == "born";
    CHECK(platform::DecodeEndpoint("i-2", boost::json::serialize(entry)).has_value() == optional);
  }
}

TEST_CASE("a status report lists what an engine holds and loads", "[platform]") {
  const auto report = platform::DecodeReport(
      R"({"models":[{"name":"m","version":1,"adapters":[]}],"busy":true,"seq-no":9,"running":3,
          "coming":["m/a2@1"],"at-hand":{"in-memory":["m"],"on-disk":["m","n"]}})");
  REQUIRE(report);
  CHECK(report->busy);
  CHECK(report->holdings.sequence == 9);
  CHECK(report->loading_adapters == std::vector<std::string>{"m/a2"});
  CHECK(report->holdings.on_disk.size() == 2);
  CHECK_FALSE(platform::DecodeReport("{}"));
}

TEST_CASE("the headers of a request are decoded", "[platform]") {
  const RelayRequest relay =
      platform::ReadRelayRequest(RequestWith({{"Request-Id", "9c41"},
                                              {"Deadline-Ms", "800"},
                                              {"Model", "m/a3"},
                                              {"Token-Count", "1460,80"},
                                              {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
                                              {"Last-Event-Id", "12"},
                                              {"Resumes", "77f0"}}));
  CHECK(relay.id == "9c41");
  CHECK(relay.time_limit == milliseconds(800));
  CHECK(relay.model == "m");
  CHECK(relay.adapter == "a3");
  CHECK(relay.prompt_tokens == 1460);
  CHECK(relay.max_output_tokens == 80);
  REQUIRE(relay.prompt.size() == 2);
  CHECK(relay.prompt[0].id == 0x5c1e07a2);
  CHECK(relay.prompt[1].tokens == 410);
  CHECK(SharedPartsText(relay.prompt) == "000000005c1e07a2");
  CHECK(SharedPartsText({}) == "-");
  CHECK(relay.last_event_id == 12);
  CHECK(StreamId(relay) == "77f0");
  const RelayRequest odd = platform::ReadRelayRequest(
      RequestWith({{"Deadline-Ms", "soon"}, {"Prompt-Prefix", "zz:1"}, {"Token-Count", ""}}));
  CHECK_FALSE(odd.time_limit);
  CHECK(odd.prompt.empty());
}

// Guards against callers that set headers reserved for the gateway, and against hop-by-hop headers
// that are forwarded.
TEST_CASE("reserved and hop-by-hop headers are not forwarded", "[platform]") {
  const HttpRequest request = RequestWith({{"Host", "a.example"},
                                           {"Request-Id", "9c41"},
                                           {"Connection", "close, X-Hop"},
                                           {"X-Hop", "1"},
                                           {"Keep-Alive", "timeout=5"},
                                           {"Transfer-Encoding", "chunked"},
                                           {"Content-Length", "5"},
                                           {"Kv-From", "10.0.0.1:1/2"},
                                           {"Hold", "7"},
                                           {"Pin-Ms", "9"},
                                           {"Kv-Backup", "10.0.0.1:1"},
                                           {"Deadline-Ms", "99999"},
                                           {"Last-Event-Id", "3"},
                                           {"Model", "m"}});
  platform::ForwardOptions options;
  options.endpoint_id = "i-1";
  options.time_left = milliseconds(700);
  CHECK(Joined(platform::ForwardedHeaders(request, options)) ==
        "Host=a.example;Request-Id=9c41;Last-Event-Id=3;Model=m;Deadline-Ms=700;"
        "Expect-Instance=i-1;");
  options.last_event_id = 8;
  options.priority = 2;
  CHECK(Joined(platform::ForwardedHeaders(request, options)) ==
        "Host=a.example;Request-Id=9c41;Model=m;Deadline-Ms=700;Expect-Instance=i-1;"
        "Request-Priority=2;Last-Event-Id=8;");
}

// Guards against a header that keeps the process busy, by many fields and many that it lists.
TEST_CASE("the fields that a header lists are not forwarded, however many", "[platform]") {
  constexpr int kFields = 2000;
  std::string listed;
  for (int i = 0; i < kFields; ++i) listed += "B,";
  HttpRequest request = RequestWith({{"Connection", listed + "a"}, {"Host", "a.example"}});
  for (int i = 0; i < kFields; ++i) request.headers.emplace_back(i % 2 == 0 ? "A" : "b", "");
  platform::ForwardOptions options;
  options.time_left = milliseconds(700);
  CHECK(Joined(platform::ForwardedHeaders(request, options)) ==
        "Host=a.example;Deadline-Ms=700;Expect-Instance=;");
}

// Guards against accepting a response to another request, and against confusing a refusal with an
// execution.
TEST_CASE("a response is classified by its headers", "[platform]") {
  const auto classify = [](int status, HttpHeaders headers) {
    return platform::ClassifyResponse(status, headers, "9c41");
  };
  CHECK(classify(200, {{"Request-Id", "9c41"}, {"Response-Stamp", "s"}}) == ResponseKind::kRan);
  CHECK(classify(200, {{"Request-Id", "77"}, {"Response-Stamp", "s"}}) ==
        ResponseKind::kWrongRequest);
  CHECK(classify(200, {{"Request-Id", "9c41"}}) == ResponseKind::kWrongRequest);
  CHECK(
      classify(200, {{"Request-Id", "9c41"}, {"Response-Stamp", "s"}, {"Content-Encoding", "x"}}) ==
      ResponseKind::kWrongRequest);
  CHECK(classify(404, {{"Request-Id", "9c41"}, {"Response-Stamp", "s"}}) == ResponseKind::kRan);
  CHECK(classify(404, {{"Request-Id", "9c41"}}) == ResponseKind::kWrongRequest);
  CHECK(classify(404, {}) == ResponseKind::kWrongRequest);
  CHECK(classify(500, {{"Request-Id", "9c41"}, {"Response-Stamp", "s"}}) == ResponseKind::kRan);
  CHECK(classify(503, {{"Request-Id", "9c41"}, {"Not-Executed", "1"}}) == ResponseKind::kNotRun);
  CHECK(classify(503, {{"Request-Id", "9c41"}}) == ResponseKind::kRan);
  CHECK(classify(503, {}) == ResponseKind::kRan);
  CHECK(classify(421, {{"Request-Id", "9c41"}}) == ResponseKind::kMisdirected);
  // Without an id it may be a late copy of the refusal of another request.
  CHECK(classify(503, {{"Not-Executed", "1"}}) == ResponseKind::kWrongRequest);
  CHECK(classify(421, {}) == ResponseKind::kWrongRequest);
}

// Guards against a Retry-After of an endpoint that keeps it out of use forever, or is ignored.
TEST_CASE("the Retry-After of an endpoint is validated and bounded", "[platform]") {
  const auto read = [](const std::string& text) {
    return platform::RetryAfter(503, {{"Retry-After", text}});
  };
  CHECK(read("2") == milliseconds(2000));
  CHECK(read("0.25") == milliseconds(250));
  CHECK(read(" 1.5 ") == milliseconds(1500));
  CHECK(read("0") == milliseconds(0));
  // One response can't keep an endpoint out of use for longer than a minute.
  CHECK(read("99999999999999999999") == milliseconds(60000));
  CHECK(read("1e300") == milliseconds(60000));
  for (const char* text : {"-3", "-1e999", "", "soon", "1s", "nan", "inf", "0x10", "1,5",
                           "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    CHECK_FALSE(read(text));
  }
  CHECK_FALSE(platform::RetryAfter(503, {}));
  CHECK_FALSE(platform::RetryAfter(429, {{"Retry-After", "2"}}));
  CHECK(platform::AnnouncesShutdown({{"server-leaving", "1"}}));
  CHECK_FALSE(platform::AnnouncesShutdown({{"Server-Leaving", "0"}}));
  CHECK_FALSE(platform::AnnouncesShutdown({}));
}

}  // namespace mimosabend::testing
