// A replica whose answers don't end: what follows the last chunk goes on. See claim.txt.
#include <atomic>
#include <cmath>
#include <cstdio>
#include <string>

#include "../common/orders.h"

namespace mimosabend::review {

namespace {

constexpr int kGateways = 3;
constexpr int kClients = 12;
constexpr double kPause = 0.2;
constexpr double kPlayTime = 75;
// The disruption lasts five seconds and comes again five seconds later. One answer in so many of
// the faulty replica is spoilt meanwhile: 3%.
constexpr double kDisruption = 5;
constexpr double kPeriod = 10;
constexpr int kAnswersPerSpoiltOne = 33;
constexpr std::size_t kLineBytes = 70000;
// The caller should have closed the connection by then.
constexpr double kMaxFlood = 2;

std::atomic<int> answers{0};
std::atomic<int> spoilt{0};

// Sends lines without end behind the last chunk, until the caller closes.
void SendWithoutEnd(Connection* connection) {
  const std::string line = "trace: " + std::string(kLineBytes, 'x') + "\r\n\r\n";
  const double until = Now() + kMaxFlood;
  while (Now() < until && connection->Send(line)) {
  }
  connection->Close();
}

bool SendAnswer(const std::string& replica, Connection* connection, const Message& request) {
  const std::string id = request.Header("Request-Id");
  const std::string body = id + " done";
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                             "\r\nResponse-Stamp: " + replica +
                             "\r\nTransfer-Encoding: chunked\r\n\r\n" + size + body + "\r\n0\r\n";
  const bool faulty = replica == "i-one" && std::fmod(Now(), kPeriod) < kDisruption;
  const bool due = faulty && ++answers % kAnswersPerSpoiltOne == 0;
  const bool spoil = due && TroubleIsOn();
  if (!spoil) {
    connection->Send(answer + "\r\n");
    return true;
  }
  ++spoilt;
  Log("replica " + replica + " sends bytes without end in its answer to " + id);
  connection->Send(answer);
  SendWithoutEnd(connection);
  return false;
}

[[noreturn]] void Run(const std::string& root, const std::string& folder) {
  BeginRecord(folder);
  OrderDay day(root, kGateways, SendAnswer);
  day.Play(kClients, kPause, kPlayTime);
  day.End(std::to_string(spoilt) + " of " + std::to_string(answers) +
          " answers of the faulty replica in that time spoilt");
}

}  // namespace

}  // namespace mimosabend::review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  mimosabend::review::Run(argv[1], argv[2]);
}
