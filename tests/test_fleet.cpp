#include <catch2/catch.hpp>
#include <random>

#include "directory_log.h"
#include "endpoint_selector.h"
#include "event_stream.h"
#include "fleet_directory.h"
#include "load_limiter.h"
#include "prefix_index.h"
#include "view_age.h"

namespace mimosabend::testing {

namespace {

constexpr MonotonicTime kStart{seconds(1000)};

FleetEndpoint Endpoint(const std::string& id, std::int64_t started_ms = 1) {
  FleetEndpoint endpoint;
  endpoint.id = id;
  endpoint.service = "models";
  endpoint.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + id.back())};
  endpoint.failure_domain = "north-a";
  endpoint.slots = 64;
  endpoint.started_ms = started_ms;
  endpoint.holdings.models.push_back({"m", {"a1"}});
  return endpoint;
}

FleetConfig Config(std::uint64_t version) {
  FleetConfig config;
  config.version = version;
  return config;
}

// Feeds a text to a splitter in pieces of `size` bytes and returns what the splitter passes on.
std::string SplitInPieces(const std::string& text, std::size_t size, EventSplitter* splitter) {
  std::string whole;
  for (std::size_t i = 0; i < text.size(); i += size) whole += splitter->Add(text.substr(i, size));
  return whole;
}

}  // namespace

// Guards against a daemon that reverts to a configuration that has been replaced.
TEST_CASE("an older configuration never replaces the one in force", "[directory]") {
  FleetDirectory directory;
  CHECK(directory.Adopt(Config(4)));
  CHECK(directory.Adopt(Config(7)));
  CHECK_FALSE(directory.Adopt(Config(6)));
  CHECK(directory.config()->version == 7);
}

// Guards against the loss of all endpoints when their entries expire while the store is
// unavailable, and against requests to endpoints that are gone permanently.
TEST_CASE("an endpoint whose entry was deleted is a last resort for two seconds", "[directory]") {
  FleetDirectory directory;
  directory.Put(Endpoint("e1"));
  directory.Remove("e1", kStart);
  const DirectoryEntry* entry = directory.Find("e1");
  REQUIRE(entry != nullptr);
  CHECK(directory.UsabilityOf(*entry, kStart + seconds(1)) == Usability::kLastResort);
  directory.Put(Endpoint("e1"));
  directory.PruneExpired(kStart + seconds(5));
  CHECK(directory.UsabilityOf(*directory.Find("e1"), kStart + seconds(5)) == Usability::kUsable);
  directory.Remove("e1", kStart + seconds(5));
  directory.PruneExpired(kStart + seconds(7));
  CHECK(directory.Find("e1") == nullptr);
}

// Guards against requests to a removed endpoint after the operator's bound.
TEST_CASE("the time as a last resort is derived from the bounds", "[directory]") {
  GatewayBounds bounds;
  bounds.endpoint_drain = milliseconds(1500);
  bounds.config_apply = milliseconds(1500);
  FleetDirectory directory(ReappearTime(bounds));
  directory.Put(Endpoint("e1"));
  directory.Remove("e1", kStart);
  const DirectoryEntry* entry = directory.Find("e1");
  REQUIRE(entry != nullptr);
  CHECK(directory.UsabilityOf(*entry, kStart + milliseconds(999)) == Usability::kLastResort);
  CHECK(directory.UsabilityOf(*entry, kStart + milliseconds(1000)) == Usability::kUnusable);
  for (const milliseconds drain : {milliseconds(100), milliseconds(1500), milliseconds(2500),
                                   milliseconds(4000), milliseconds(9000)}) {
    CAPTURE(drain.count());
    bounds.endpoint_drain = drain;
    bounds.config_apply = drain;
    CHECK(RelayedViewLifetime(bounds) + ReappearTime(bounds) < drain);
    CHECK(ReappearTime(bounds) <= seconds(2));
  }
}

// Guards against requests to an endpoint that leaves.
TEST_CASE("a draining endpoint is not used, and is removed with its entry", "[directory]") {
  FleetDirectory directory;
  FleetEndpoint endpoint = Endpoint("e1");
  endpoint.state = EndpointState::kDraining;
  directory.Put(endpoint);
  CHECK(directory.OfService("models", kStart).empty());
  directory.Remove("e1", kStart);
  CHECK(directory.Find("e1") == nullptr);
}

// Guards against holdings of a former incarnation that are used for the present one.
TEST_CASE("a restarted endpoint counts as a new one", "[directory]") {
  FleetDirectory directory;
  CHECK(directory.Put(Endpoint("e1", 1)));
  EngineHoldings holdings;
  holdings.models.push_back({"n", {}});
  directory.SetLeaderHoldings("e1", 1, holdings, kStart);
  CHECK(directory.Find("e1")->Holds("n"));
  CHECK_FALSE(directory.Put(Endpoint("e1", 1)));
  CHECK(directory.Find("e1")->Holds("n"));
  CHECK(directory.Put(Endpoint("e1", 2)));
  CHECK_FALSE(directory.Find("e1")->Holds("n"));
  directory.SetLeaderHoldings("e1", 1, holdings, kStart);
  CHECK_FALSE(directory.Find("e1")->Holds("n"));
}

// Guards against repeated requests to an engine that has unloaded their model.
TEST_CASE("a refused model counts as not loaded until the engine's holdings are updated",
          "[directory]") {
  FleetDirectory directory;
  directory.Put(Endpoint("e1"));
  CHECK(directory.Find("e1")->HoldsAdapter("m", "a1"));
  directory.RecordRefusal("e1", "m/a1", kStart);
  CHECK_FALSE(directory.Find("e1")->HoldsAdapter("m", "a1"));
  CHECK(directory.Find("e1")->Holds("m"));
  directory.RecordRefusal("e1", "m", kStart);
  CHECK_FALSE(directory.Find("e1")->Holds("m"));
  directory.SetLeaderHoldings("e1", 1, Endpoint("e1").holdings, kStart);
  CHECK(directory.Find("e1")->Holds("m"));
}

// Guards against an engine that gets no more requests for a model because it refused one while it
// was loading the model or adapter: the end of the load does not change the reported holdings.
TEST_CASE("an engine that refused a model is tried again after a while", "[directory]") {
  FleetDirectory directory;
  directory.Put(Endpoint("e1"));
  directory.RecordRefusal("e1", "m", kStart);
  directory.RecordRefusal("e1", "m/a1", kStart);
  directory.PruneExpired(kStart + FleetDirectory::kRefusedLifetime / 2);
  CHECK_FALSE(directory.Find("e1")->Holds("m"));
  directory.PruneExpired(kStart + FleetDirectory::kRefusedLifetime);
  CHECK(directory.Find("e1")->Holds("m"));
  CHECK(directory.Find("e1")->HoldsAdapter("m", "a1"));
}

// Guards against holdings from a leader that stay in use long after the leader has gone.
TEST_CASE("holdings from a silent leader are replaced by the registered ones", "[directory]") {
  FleetDirectory directory;
  directory.Put(Endpoint("e1"));
  directory.SetLeaderHoldings("e1", 1, EngineHoldings{}, kStart);
  CHECK_FALSE(directory.Find("e1")->Holds("m"));
  const MonotonicTime later = kStart + FleetDirectory::kLeaderHoldingsLifetime + milliseconds(1);
  // A registration that was read before the leader's holdings does not replace them.
  directory.PruneExpired(later);
  CHECK_FALSE(directory.Find("e1")->Holds("m"));
  directory.Put(Endpoint("e1"), later);
  directory.PruneExpired(later);
  CHECK(directory.Find("e1")->Holds("m"));
}

// Guards against a partial event that is passed on before a stream is resumed on another engine.
TEST_CASE("only complete events are passed on, however the bytes are split", "[events]") {
  const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\nid: 4\nda";
  for (std::size_t size = 1; size <= text.size(); ++size) {
    EventSplitter splitter;
    CHECK(SplitInPieces(text, size, &splitter) ==
          "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\n");
    CHECK(splitter.events() == 3);
    CHECK(splitter.last_id() == 2);
    CHECK(splitter.has_partial());
  }
}

// Guards against more loads within a sliding window than the weight store allows.
TEST_CASE("loads stay within the rate in each sliding window", "[loads]") {
  constexpr double kRate = 2.1;
  constexpr seconds kWindow{5};
  constexpr double kOver = 1.1;
  constexpr double kExtra = 3;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    LoadLimiter limiter(kRate, kWindow, kOver, kExtra, seed % 2 == 0, kStart);
    std::vector<MonotonicTime> started_at;
    MonotonicTime now = kStart;
    while (now < kStart + seconds(60)) {
      now += milliseconds(random() % 400);
      if (limiter.MayStart(now)) {
        limiter.Start(now);
        limiter.End(milliseconds(10), milliseconds(10));
        started_at.push_back(now);
      }
    }
    for (std::size_t first = 0; first < started_at.size(); ++first) {
      std::size_t count = 0;
      for (std::size_t i = first;
           i < started_at.size() && started_at[i] - started_at[first] < kWindow; ++i) {
        ++count;
      }
      CHECK(count <= kRate * kWindow.count() * kOver + kExtra);
    }
    CHECK(started_at.size() > 100);
  }
}

// Guards against too many concurrent loads, which slow each other down in the weight store.
TEST_CASE("the limit on concurrent loads falls when loads are slower than expected", "[loads]") {
  LoadLimiter limiter(100, seconds(5), 1.1, 50, false, kStart);
  const std::uint32_t before = limiter.limit();
  while (limiter.MayStart(kStart)) limiter.Start(kStart);
  CHECK(limiter.in_progress() == before);
  limiter.End(milliseconds(9000), milliseconds(6000));
  CHECK(limiter.limit() < before);
  CHECK_FALSE(limiter.MayStart(kStart));
}

TEST_CASE("a prefix is cached only together with all parts before it", "[prefixes]") {
  const std::vector<PromptPart> prompt{{1, 100}, {2, 200}, {3, 50}};
  const auto hashes = PrefixHashes("m", "", prompt);
  PrefixIndex index;
  CHECK(index.CachedTokens("e1", hashes, prompt) == 0);
  index.Insert("e1", hashes, prompt, 1000);
  CHECK(index.CachedTokens("e1", hashes, prompt) == 350);
  CHECK(index.CachedTokens("e2", hashes, prompt) == 0);
  const std::vector<PromptPart> other{{1, 100}, {2, 200}, {4, 60}};
  CHECK(index.CachedTokens("e1", PrefixHashes("m", "", other), other) == 300);
  const std::vector<PromptPart> later{{2, 200}, {3, 50}};
  CHECK(index.CachedTokens("e1", PrefixHashes("m", "", later), later) == 0);
  // Cached prefixes are not shared between a model and its adapters.
  CHECK(index.CachedTokens("e1", PrefixHashes("m", "a1", prompt), prompt) == 0);
  // A full cache evicts the least recently used parts.
  index.Insert("e1", PrefixHashes("m", "", other), other, 380);
  CHECK(index.CachedTokens("e1", hashes, prompt) == 300);
}

// Guards against memory that grows with each request, by parts of a prompt that have no tokens.
TEST_CASE("the prefixes that are remembered have a limit", "[fleet]") {
  constexpr std::uint64_t kCapacity = 1000;
  constexpr std::uint64_t kPartsPerPrompt = 1000;
  constexpr std::size_t kMaxParts = 10000;
  PrefixIndex index(kMaxParts);
  std::vector<PromptPart> prompt(kPartsPerPrompt);
  for (std::uint64_t id = 0; id < 2 * kMaxParts; ++id) {
    prompt[id % kPartsPerPrompt] = {id, 0};
    if (id % kPartsPerPrompt < kPartsPerPrompt - 1) continue;
    index.Insert("flood", PrefixHashes("m", "", prompt), prompt, kCapacity);
    CHECK(index.parts() <= kMaxParts);
    const std::vector<PromptPart> other{{1, 600}, {2, 300}};
    if (id < kPartsPerPrompt) index.Insert("other", PrefixHashes("m", "", other), other, kCapacity);
    CHECK(index.CachedTokens("other", PrefixHashes("m", "", other), other) == 900);
  }
  index.Forget("flood");
  CHECK(index.parts() == 2);
}

namespace {

// Three engines in this region and one in another, all with model "m".
struct Engines {
  Engines() {
    for (const char* id : {"e1", "e2", "e3"}) directory.Put(Endpoint(id));
    FleetEndpoint far = Endpoint("e4");
    far.failure_domain = "south-a";
    directory.Put(far);
    profile.slots = 64;
    profile.cache_tokens = 200000;
    request.model = "m";
    request.prompt = {{1, 2500}, {2, 3700}, {3, 2800}};
    request.prompt_tokens = 9000;
    hashes = PrefixHashes("m", "", request.prompt);
  }

  std::optional<EndpointChoice> Choose() {
    return selector.ChooseEngine("models", profile, request, hashes, {}, kStart);
  }

  FleetDirectory directory;
  EndpointStats stats;
  PrefixIndex prefixes;
  EndpointSelector selector{
      {"north", {{"north-a", "north"}, {"south-a", "south"}}}, &directory, &stats, &prefixes, 7};
  EngineProfile profile;
  RelayRequest request;
  std::vector<std::uint64_t> hashes;
};

}  // namespace

// Guards against a repeated prefill of prompts that an engine has cached.
TEST_CASE("the engine that has cached the prompt is chosen unless it has much queued work",
          "[selector]") {
  Engines engines;
  engines.prefixes.Insert("e2", engines.hashes, engines.request.prompt, 200000);
  CHECK(engines.Choose()->endpoint.id == "e2");
  CHECK(engines.Choose()->prefill_tokens == 0);
  engines.stats.Start("e2", {1, 40000, 40000});
  CHECK(engines.Choose()->endpoint.id != "e2");
}

// Guards against all daemons sending to an engine that each of them takes for idle.
TEST_CASE("the work of other daemons at an engine counts", "[selector]") {
  Engines engines;
  const std::string first = engines.Choose()->endpoint.id;
  engines.stats.SetRemoteWork({{first, {3, 27000, 27000}}}, kStart + milliseconds(1));
  CHECK(engines.Choose()->endpoint.id != first);
  engines.stats.SetRemoteWork({{first, {3, 27000, 27000}}}, kStart);
  CHECK(engines.Choose()->endpoint.id == first);
}

// Guards against a request that makes an engine preempt running requests.
TEST_CASE("an engine without cache memory for the request is avoided", "[selector]") {
  Engines engines;
  const std::string first = engines.Choose()->endpoint.id;
  engines.stats.Start(first, {10, 0, 195000});
  CHECK(engines.Choose()->endpoint.id != first);
}

// Guards against requests to a failing endpoint while others work.
TEST_CASE("a failing endpoint is ejected for a while and then tried again", "[selector]") {
  Engines engines;
  const std::string first = engines.Choose()->endpoint.id;
  const EndpointWork work{1, 0, 0};
  engines.stats.Start(first, work);
  engines.stats.End(first, work, AttemptOutcome::kUnreachable, kStart);
  CHECK(engines.stats.IsEjected(first, kStart));
  CHECK(engines.Choose()->endpoint.id != first);
  CHECK_FALSE(engines.stats.IsEjected(first, kStart + seconds(5)));
}

// Guards against requests that fail at once because all plain endpoints of their service are
// ejected, and against requests to an unreachable engine while their model could be loaded
// elsewhere.
TEST_CASE(
    "ejected plain endpoints are used if there are no others, ejected engines only after a pause",
    "[selector]") {
  Engines engines;
  const EndpointWork work{1, 0, 0};
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    engines.stats.Start(id, work);
    engines.stats.End(id, work, AttemptOutcome::kUnreachable, kStart);
  }
  CHECK_FALSE(engines.Choose());
  CHECK_FALSE(engines.selector.HasEngine("models", "m", {}, kStart));
  CHECK(engines.selector.HasEngine("models", "m", {}, kStart + seconds(5)));
  CHECK(engines.selector.ChoosePlain("models", {}, kStart));
  CHECK_FALSE(engines.selector.ChoosePlain("models", {"e1", "e2", "e3", "e4"}, kStart));
}

}  // namespace mimosabend::testing
