// End-to-end demo: starts the stand-ins and six daemons, puts an environment in force, and sends a
// request to a model that is not loaded, one to the loaded model, and the same order through two
// daemons. Exits with 0 only if all responses are correct.
#include <iostream>

#include "engine_text.h"
#include "fleet.h"
#include "json.h"
#include "uuid7.h"

namespace mimosabend::testing {

namespace {

bool Report(const std::string& what, bool correct, const std::string& details) {
  std::cout << (correct ? "ok    " : "WRONG ") << what << ": " << details << std::endl;
  return correct;
}

// Requests a streamed completion through one daemon and checks its tokens.
bool CheckStreamedCompletion(Fleet* fleet, int daemon, const std::string& what) {
  const std::string prompt = "What can a village kitchen cook with four hours of sun?";
  const auto start = MonotonicNow();
  auto reply = fleet->Call(PostAs("urgent-key", fleet->caller_address(daemon), "/v1/completions",
                                  CompletionBody("recipes", prompt, 12, true)));
  const auto duration = std::chrono::duration_cast<milliseconds>(MonotonicNow() - start);
  if (!reply) return Report(what, false, std::string(kHttpErrorNames[reply.error()]));
  bool complete = false;
  const std::string text = StreamedText(reply.value().body, &complete);
  const bool correct = complete && text == standin::CompletionText("recipes", prompt, 12);
  return Report(what, correct,
                "status " + std::to_string(reply.value().status) + ", 12 tokens in " +
                    std::to_string(duration.count()) + " ms");
}

// Sends an order with the same idempotency key through two daemons. It must run once, and the
// second response must be the recorded first one.
bool CheckRepeatedOrder(Fleet* fleet) {
  const std::string key = MakeUuid7(WallNow());
  std::string first_body;
  bool correct = true;
  for (int daemon : {0, 1}) {
    HttpCall call = PostAs("standard-key", fleet->caller_address(daemon),
                           "/services/orders/reflectors", R"({"item":"reflector","count":2})");
    call.headers.emplace_back("Idempotency-Key", key);
    auto reply = fleet->Call(std::move(call));
    if (!reply) return Report("order", false, std::string(kHttpErrorNames[reply.error()]));
    const bool replayed = FindHeader(reply.value().headers, "Idempotent-Replayed") == "true";
    if (daemon == 0) first_body = reply.value().body;
    correct &= Report("order through daemon " + std::to_string(daemon),
                      reply.value().status == 201 && replayed == (daemon == 1) &&
                          reply.value().body == first_body,
                      reply.value().body + (replayed ? " (replayed response)" : ""));
  }
  int runs = 0;
  for (auto& [id, process] : fleet->endpoints()) {
    if (!id.starts_with("service-")) continue;
    HttpCall call;
    call.address = process->address();
    call.target = "/runs";
    auto reply = fleet->Call(std::move(call));
    const auto body = reply ? ParseJson(reply.value().body) : std::nullopt;
    if (body) runs += static_cast<int>(IntegerMember(*body, key).value_or(0));
  }
  return Report("runs at the service", runs == 1, std::to_string(runs)) && correct;
}

int RunDemo() {
  Fleet fleet;
  std::cout << "stand-ins are running; starting " << fleet.options().daemons << " daemons"
            << std::endl;
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(fleet.options()));
  std::cout << fleet.RunOperatorCommand({"history"}).output;
  // Daemons 0 and 3 are in the same region, so the second request finds the model loaded.
  bool correct = CheckStreamedCompletion(&fleet, 0, "cold request through daemon 0");
  correct &= CheckStreamedCompletion(&fleet, 3, "warm request through daemon 3");
  correct &= CheckRepeatedOrder(&fleet);
  std::cout << fleet.RunOperatorCommand({"status"}).output;
  std::cout << (correct ? "all responses are correct" : "some responses are wrong") << std::endl;
  return correct ? 0 : 1;
}

}  // namespace

}  // namespace mimosabend::testing

int main() {
  try {
    return mimosabend::testing::RunDemo();
  } catch (const std::exception& error) {
    std::cerr << "demo: " << error.what() << "\n";
    return 1;
  }
}
