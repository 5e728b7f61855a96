// HEAD requests on kept connections, and a configuration that removes their route. See claim.txt.
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../common/harness.h"

namespace mimosabend::review {

namespace {

constexpr int kClients = 6;
constexpr double kChangeAt = 3;
constexpr double kPlayTime = 10;
constexpr double kPause = 0.2;

struct Totals {
  std::mutex mutex;
  int heads = 0;
  int gets = 0;
  int wrong = 0;
};

// Answers GET and HEAD alike, but HEAD without the body, as HTTP/1.1 asks.
void RunRead(const std::string& name, Connection* connection, const Message& request) {
  const std::string id = request.Header("Request-Id");
  Log("replica " + name + " runs " + request.method + " " + request.target + " " + id);
  std::string answer = Response(200, {{"Request-Id", id}, {"Response-Stamp", name}},
                                "order " + id + " is on its way");
  if (request.method == "HEAD") answer.erase(answer.find("\r\n\r\n") + 4);
  connection->Send(answer);
}

// Sends HEAD and GET in turn on one connection until it ends.
void AskOnConnection(const std::string& front, double end, Totals* totals) {
  auto connection = Connection::Open(front, Now() + 1);
  while (connection != nullptr && Now() < end) {
    const std::string head_id = NewId();
    Message answer;
    connection->Send("HEAD /status/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + head_id +
                     "\r\nDeadline-Ms: 800\r\n\r\n");
    // An answer to HEAD ends with its head, whatever length that names.
    if (!connection->ReadResponseHead(&answer, Now() + 2)) return;
    const int head_status = answer.status;
    SleepFor(kPause);
    const std::string get_id = NewId();
    connection->Send("GET /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + get_id +
                     "\r\nDeadline-Ms: 800\r\n\r\n");
    const bool is_answer = connection->ReadResponseHead(&answer, Now() + 2);
    const bool whole = is_answer && connection->ReadResponseBody(&answer, Now() + 2);
    const bool right =
        whole && answer.status == 200 && answer.body == "order " + get_id + " is on its way";
    Log("client: HEAD " + head_id + " got " + std::to_string(head_status) + ", GET " + get_id +
        (right ? " got its answer"
               : " got bytes that are no answer, beginning \"" +
                     connection->LastStart().substr(0, 60) + "\""));
    const std::lock_guard lock(totals->mutex);
    ++totals->heads;
    ++totals->gets;
    if (!right) ++totals->wrong;
    if (!right) return;
    SleepFor(kPause);
  }
}

[[noreturn]] void Play(const std::string& root) {
  Store store;
  const std::string read = Route("/read/", "idempotent", "plain", 2, 800, 120, 0, false);
  const std::string status = Route("/status/", "idempotent", "plain", 2, 800, 120, 0, false);
  store.Put("op/config", Configuration({read, status}, {}, 3));
  std::vector<std::unique_ptr<Replica>> replicas;
  for (const std::string name : {"i-one", "i-two", "i-three"}) {
    replicas.push_back(
        std::make_unique<Replica>(&store, Replica::Options{name, "plain", "nordeste-a", {}, {}, 0},
                                  [name](Connection* connection, const Message& request) {
                                    RunRead(name, connection, request);
                                  }));
  }
  Fleet fleet(root, store.address(), 3);
  if (!fleet.WaitUntilReady(15)) GiveUp(&fleet, "gateways are not ready");
  SleepFor(4);
  Totals totals;
  const double end = Now() + kPlayTime;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      while (Now() < end) AskOnConnection(fleet.front(i % 3), end, &totals);
    });
  }
  SleepFor(kChangeAt);
  if (TroubleIsOn()) {
    Log("operator writes a configuration without the route /status/");
    store.Put("op/config", Configuration({read}, {}, 9));
  }
  for (std::thread& client : clients) client.join();
  Finish(&fleet, totals.wrong > 0,
         std::to_string(totals.wrong) + " of " + std::to_string(totals.gets) +
             " requests got bytes that are no answer in the protocol");
}

}  // namespace

}  // namespace mimosabend::review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  mimosabend::review::BeginRecord(argv[2]);
  mimosabend::review::Play(argv[1]);
}
