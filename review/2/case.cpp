// Orders with an empty body in chunks, from clients whose link is slow. See claim.txt.
#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "../common/orders.h"

namespace mimosabend::review {

namespace {

constexpr int kGateways = 3;
constexpr int kClients = 12;
constexpr double kPause = 0.2;
constexpr double kPlayTime = 75;
// The clients on the slow link order so often, all together.
constexpr double kSlowPeriod = 2;
constexpr double kBytePeriod = 0.001;
constexpr double kPatience = 0.8;

std::atomic<int> slow_orders{0};
std::atomic<int> slow_answers{0};

bool SendAnswer(const std::string& replica, Connection* connection, const Message& request) {
  const std::string id = request.Header("Request-Id");
  connection->Send(Response(200, {{"Request-Id", id}, {"Response-Stamp", replica}}, id + " done"));
  return true;
}

// Sends an order whose bytes pass the link one at a time, or all at once without the disruption.
void OrderOverSlowLink(const std::string& front) {
  const std::string id = NewId();
  const std::string request = "POST /order/two-reflectors HTTP/1.1\r\nHost: a.example\r\n" +
                              std::string("Request-Id: ") + id +
                              "\r\nDeadline-Ms: 800\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  auto connection = Connection::Open(front, Now() + 1);
  if (connection == nullptr) return;
  ++slow_orders;
  if (!TroubleIsOn()) connection->Send(request);
  for (std::size_t i = 0; TroubleIsOn() && i < request.size(); ++i) {
    if (!connection->Send(request.substr(i, 1))) break;
    SleepFor(kBytePeriod);
  }
  Message answer;
  const bool answered = connection->ReadResponseHead(&answer, Now() + kPatience) &&
                        connection->ReadResponseBody(&answer, Now() + kPatience);
  if (answered) ++slow_answers;
  Log("client on the slow link: " + id +
      (answered ? " answered with " + std::to_string(answer.status) : " not answered"));
}

void RunSlowClients(Fleet* fleet, double end) {
  for (int turn = 0; Now() < end; ++turn) {
    OrderOverSlowLink(fleet->front(turn % kGateways));
    SleepFor(kSlowPeriod);
  }
}

[[noreturn]] void Run(const std::string& root, const std::string& folder) {
  BeginRecord(folder);
  OrderDay day(root, kGateways, SendAnswer);
  const double end = Now() + kPlayTime;
  std::thread slow([&day, end] { RunSlowClients(&day.fleet(), end); });
  day.Play(kClients, kPause, kPlayTime);
  slow.join();
  day.End(std::to_string(slow_answers) + " of " + std::to_string(slow_orders) +
          " orders over the slow link answered");
}

}  // namespace

}  // namespace mimosabend::review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  mimosabend::review::Run(argv[1], argv[2]);
}
