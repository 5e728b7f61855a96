#include <catch2/catch.hpp>

#include "engine_text.h"
#include "fleet.h"
#include "json.h"
#include "uuid7.h"

namespace mimosabend::testing {

namespace {

HttpCall Complete(Fleet* fleet, int daemon, const std::string& key, const std::string& model,
                  const std::string& prompt, int tokens, bool stream) {
  return PostAs(key, fleet->caller_address(daemon), "/v1/completions",
                CompletionBody(model, prompt, tokens, stream));
}

std::string ErrorCode(const HttpReply& reply) {
  const auto body = ParseJson(reply.body);
  const auto* error = body ? JsonMember(*body, "error") : nullptr;
  return error == nullptr ? "" : StringMember(*error, "code");
}

}  // namespace

// Guards against failures anywhere on the path from a caller to an engine or a service.
TEST_CASE("requests are served end to end", "[path]") {
  Fleet fleet;
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(fleet.options()));

  SECTION("an idle model, streamed and buffered, by both APIs") {
    auto streamed = fleet.Call(Complete(&fleet, 0, "urgent-key", "recipes", "beans", 9, true));
    REQUIRE(streamed);
    bool complete = false;
    CHECK(StreamedText(streamed.value().body, &complete) ==
          standin::CompletionText("recipes", "beans", 9));
    CHECK(complete);

    auto whole = fleet.Call(PostAs("urgent-key", fleet.caller_address(0), "/v1/chat/completions",
                                   R"({"model":"recipes","max_tokens":5,
                                       "messages":[{"role":"user","content":"rice"}]})"));
    REQUIRE(whole);
    CHECK(whole.value().status == 200);
    CHECK(whole.value().body.find(standin::CompletionText("recipes", "rice", 5)) !=
          std::string::npos);
  }

  SECTION("an adapter loads its model first") {
    auto reply = fleet.Call(Complete(&fleet, 1, "urgent-key", "recipes-sun", "stew", 4, false));
    REQUIRE(reply);
    CHECK(reply.value().status == 200);
    CHECK(reply.value().body.find(standin::CompletionText("recipes-sun", "stew", 4)) !=
          std::string::npos);
  }

  SECTION("a broken stream is resumed without duplicate or missing tokens") {
    REQUIRE(fleet.Call(Complete(&fleet, 0, "urgent-key", "recipes", "warm up", 1, false)));
    for (auto& [id, process] : fleet.endpoints()) {
      if (id.starts_with("engine-")) fleet.SetFault(*process, R"({"break_after_tokens":4})");
    }
    auto reply = fleet.Call(Complete(&fleet, 0, "urgent-key", "recipes", "soup", 10, true));
    REQUIRE(reply);
    bool complete = false;
    CHECK(StreamedText(reply.value().body, &complete) ==
          standin::CompletionText("recipes", "soup", 10));
    CHECK(complete);
  }

  SECTION("bad requests get a clear error") {
    struct Case {
      HttpCall call;
      int status;
      std::string code;
    };
    HttpCall bad_rank = Complete(&fleet, 0, "standard-key", "recipes", "x", 1, false);
    bad_rank.headers.emplace_back("X-Mimosabend-Rank", "first");
    HttpCall too_urgent = Complete(&fleet, 0, "standard-key", "recipes", "x", 1, false);
    too_urgent.headers.emplace_back("X-Mimosabend-Rank", "urgent");
    HttpCall bad_deadline = Complete(&fleet, 0, "standard-key", "recipes", "x", 1, false);
    bad_deadline.headers.emplace_back("X-Mimosabend-Timeout-Ms", "-1");
    HttpCall oversize =
        Complete(&fleet, 0, "standard-key", "recipes", std::string(2 * 1024 * 1024, 'x'), 1, false);
    const std::vector<Case> cases{
        {Complete(&fleet, 0, "wrong", "recipes", "x", 1, false), 401, "invalid_api_key"},
        {Complete(&fleet, 0, "urgent-key", "nothing", "x", 1, false), 404, "model_not_found"},
        {Complete(&fleet, 0, "limited-key", "heraldry", "x", 1, false), 404, "model_not_found"},
        {PostAs("urgent-key", fleet.caller_address(0), "/v1/completions", "{"), 400,
         "invalid_request"},
        {PostAs("urgent-key", fleet.caller_address(0), "/v1/nothing", "{}"), 404, "unknown_path"},
        {bad_rank, 400, "invalid_header"},
        {too_urgent, 400, "invalid_header"},
        {bad_deadline, 400, "invalid_header"},
        {oversize, 413, "bad_request"},
        {PostAs("limited-key", fleet.caller_address(0), "/services/orders/x", "{}"), 404,
         "service_not_found"},
        {PostAs("urgent-key", fleet.caller_address(0), "/services/orders/x", "{}"), 428,
         "idempotency_key_required"},
    };
    for (const Case& item : cases) {
      CAPTURE(item.code);
      auto reply = fleet.Call(item.call);
      REQUIRE(reply);
      CHECK(reply.value().status == item.status);
      CHECK(ErrorCode(reply.value()) == item.code);
    }
  }

  SECTION("an order sent twice through two daemons runs once") {
    const std::string key = MakeUuid7(WallNow());
    std::vector<std::string> bodies;
    for (int daemon : {0, 4}) {
      HttpCall call =
          PostAs("standard-key", fleet.caller_address(daemon), "/services/orders/pots", "{}");
      call.headers.emplace_back("Idempotency-Key", key);
      auto reply = fleet.Call(std::move(call));
      REQUIRE(reply);
      CHECK(reply.value().status == 201);
      bodies.push_back(reply.value().body);
    }
    CHECK(bodies[0] == bodies[1]);
    CHECK(fleet.Metric(4, "mimosabend_record_replays_total") == 1);
  }

  SECTION("a daemon shuts down cleanly on SIGTERM") {
    for (int i = 0; i < fleet.options().daemons; ++i) fleet.daemon(i).Signal(SIGTERM);
    for (int i = 0; i < fleet.options().daemons; ++i) {
      CHECK(fleet.daemon(i).WaitForExit(seconds(15)) == 0);
    }
  }

  SECTION("a promotion with a stale digest is refused") {
    const CommandResult stale =
        fleet.RunOperatorCommand({"promote", "--digest=" + std::string(64, '0')});
    CHECK(stale.exit_code == 3);
    const CommandResult history = fleet.RunOperatorCommand({"history", "--json"});
    CHECK(history.exit_code == 0);
    CHECK(history.output.find("\"version\":1") != std::string::npos);
  }
}

// Guards against requests that fail because one daemon can't reach the owner of a placement group
// although other daemons can.
TEST_CASE("a demand reaches the owner through another daemon", "[path]") {
  FleetOptions options;
  options.daemons = 3;
  options.regions = {"nordeste"};
  // Each daemon, and so the owner, is unreachable from one other daemon.
  for (int from = 0; from < 3; ++from) options.cut_links.emplace_back(from, (from + 1) % 3);
  Fleet fleet(options);
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(fleet.options()));
  for (int daemon = 0; daemon < options.daemons; ++daemon) {
    CAPTURE(daemon);
    auto reply = fleet.Call(Complete(&fleet, daemon, "urgent-key", "recipes", "beans", 4, false));
    REQUIRE(reply);
    CHECK(reply.value().status == 200);
  }
}

}  // namespace mimosabend::testing
