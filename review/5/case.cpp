// Prompts with a deadly part behind many others. See claim.txt.
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../common/harness.h"

namespace mimosabend::review {

namespace {

constexpr int kReplicas = 12;
constexpr int kGateways = 3;
constexpr int kSharedParts = 68;
// The deadly part stands behind so many others.
constexpr int kPartsBeforeDeadly = 66;
constexpr double kContact = 3;
constexpr double kDownTime = 3;
constexpr double kCalmTime = 6;
constexpr double kPlayTime = 60;
constexpr double kDeadlyPeriod = 2;
constexpr double kSoundPeriod = 0.15;
constexpr int kEvents = 10;

std::mutex totals_mutex;
std::vector<double> crashes;
std::vector<double> deadly_arrivals;
int sound_whole = 0;

// A sound request, and whether a replica began to answer it.
struct Sound {
  double sent_at = 0;
  bool begun = false;
};

std::map<std::string, Sound> sound;

// Sound requests sent in a time, and how many of them were begun.
struct Share {
  int sent = 0;
  int begun = 0;

  double value() const { return sent == 0 ? 0 : static_cast<double>(begun) / sent; }
  std::string text() const { return std::to_string(begun) + " of " + std::to_string(sent); }
};

Share BegunBetween(double from, double to) {
  Share share;
  for (const auto& [id, request] : sound) {
    if (request.sent_at < from || request.sent_at >= to) continue;
    ++share.sent;
    if (request.begun) ++share.begun;
  }
  return share;
}

std::string Prompt(bool deadly, const std::string& id) {
  std::string prompt;
  for (int i = 0; i < kSharedParts; ++i) {
    if (deadly && i == kPartsBeforeDeadly) prompt += "dead01:40,";
    char part[32];
    std::snprintf(part, sizeof part, "c%02x:90,", i);
    prompt += part;
  }
  return prompt + "b" + id.substr(id.size() - 7) + ":400";
}

void RunStream(Replica* replica, const std::string& name, Connection* connection,
               const Message& request) {
  const std::string id = request.Header("Request-Id");
  const std::string last = request.Header("Last-Event-Id");
  const bool deadly = request.Header("Prompt-Prefix").find("dead01") != std::string::npos;
  if (deadly) {
    Log("replica " + name + " gets the deadly request " + id);
    {
      const std::lock_guard lock(totals_mutex);
      deadly_arrivals.push_back(Now());
      crashes.push_back(Now());
    }
    replica->Crash(kDownTime);
    return;
  }
  {
    const std::lock_guard lock(totals_mutex);
    sound[id].begun = true;
  }
  Log("replica " + name + " runs the sound request " + id);
  connection->Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: " + name +
                   "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= kEvents; ++event) {
    SleepFor(0.03);
    const std::string data = "id: " + std::to_string(event) + "\ndata: e\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    if (connection->PeerHasClosed() || !connection->Send(size + data + "\r\n")) return;
  }
  connection->Send("0\r\n\r\n");
}

void Ask(const std::string& front, bool deadly) {
  const std::string id = NewId();
  auto connection = Connection::Open(front, Now() + 1);
  if (connection == nullptr) return;
  const double limit = Now() + 5;
  if (!deadly) {
    const std::lock_guard lock(totals_mutex);
    sound[id].sent_at = Now();
  }
  connection->Send(Request(id, "POST", "/chat/x",
                           {{"Deadline-Ms", "5000"},
                            {"Model", "m1"},
                            {"Token-Count", "6500,50"},
                            {"Prompt-Prefix", Prompt(deadly, id)}},
                           "prompt of " + id));
  Message answer;
  const bool whole = connection->ReadResponseHead(&answer, limit) &&
                     connection->ReadResponseBody(&answer, limit) && answer.status == 200;
  Log("client: " + std::string(deadly ? "deadly" : "sound") + " request " + id + " got " +
      std::to_string(answer.status) + (whole ? ", whole" : ", not whole"));
  const std::lock_guard lock(totals_mutex);
  if (deadly) return;
  if (whole) ++sound_whole;
}

[[noreturn]] void Play(const std::string& root) {
  Store store;
  store.Put(
      "op/config",
      Configuration({Route("/chat/", "streaming", "models", 2, 5000, 800, 400, true)}, {"m1"}));
  std::vector<std::unique_ptr<Replica>> replicas(kReplicas);
  for (int i = 0; i < kReplicas; ++i) {
    const std::string name = "i" + std::to_string(i);
    std::unique_ptr<Replica>& slot = replicas[i];
    slot = std::make_unique<Replica>(
        &store, Replica::Options{name, "models", "nordeste-a", {"m1"}, {}, 0.76},
        [&slot, name](Connection* connection, const Message& request) {
          RunStream(slot.get(), name, connection, request);
        });
  }
  Fleet fleet(root, store.address(), kGateways);
  if (!fleet.WaitUntilReady(15)) GiveUp(&fleet, "gateways are not ready");
  SleepFor(4);
  const double deadly_from = Now() + kCalmTime;
  const double end = deadly_from + kPlayTime;
  double next_deadly = deadly_from;
  for (int turn = 0; Now() < end; ++turn) {
    const std::string front = fleet.front(turn % kGateways);
    const bool deadly = TroubleIsOn() && Now() >= next_deadly;
    if (deadly) next_deadly += kDeadlyPeriod;
    std::thread([front, deadly] { Ask(front, deadly); }).detach();
    SleepFor(kSoundPeriod);
  }
  SleepFor(6);
  const std::lock_guard lock(totals_mutex);
  const bool crashed = crashes.size() >= 5;
  const double fifth = crashed ? crashes[4] : deadly_from;
  int late = 0;
  for (const double arrival : deadly_arrivals) {
    if (crashed && arrival > fifth + kContact) ++late;
  }
  const Share calm = BegunBetween(0, deadly_from);
  const Share after = BegunBetween(fifth + 2 * kContact, end);
  const bool lost = calm.sent >= 20 && after.sent >= 20 && after.value() < calm.value() / 2;
  Log("LOST is " + std::string(lost ? "broken" : "kept") + ": sound requests were begun in " +
      calm.text() + " cases before, and in " + after.text() +
      " later than 2 x contact-ms after the fifth crash; " + std::to_string(sound_whole) + " of " +
      std::to_string(sound.size()) + " were answered whole in all");
  Finish(&fleet, late > 3,
         std::to_string(crashes.size()) + " replicas crashed, " + std::to_string(late) +
             " requests with the part reached replicas later than contact-ms after the fifth "
             "crash (BUDGET allows 3)");
}

}  // namespace

}  // namespace mimosabend::review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  mimosabend::review::BeginRecord(argv[2]);
  mimosabend::review::Play(argv[1]);
}
