// A part of prompts crashes replicas; all gateways are killed at once and forget that.
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <thread>

#include "../common-2/harness.h"

namespace review {
namespace {

constexpr int kGateways = 3;
constexpr int kReplicas = 12;
constexpr char kRecord[] = "review/9/record.txt";
// A part that no sound request has; the last part of a prompt is never deadly.
constexpr char kDeadlyPart[] = "dead0001:100";
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kHeartbeatMs = 1200;
// A replica that has crashed is back after some seconds.
constexpr std::int64_t kBackMs = 3000;
constexpr std::int64_t kWorkMs = 20;
constexpr std::int64_t kDeadlyGapMs = 6000;
constexpr std::int64_t kSoundGapMs = 150;
// DEPLOY.md, Losses: "many or all machines may be killed [...] at the same time".
constexpr std::int64_t kKillAtMs = 36300;
constexpr std::int64_t kDownMs = 1000;
constexpr std::int64_t kEndMs = 72000;
constexpr int kExcused = 3;
constexpr int kCrashes = 5;

std::int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// A replica, as a process of its own. It adds its runs with the deadly part to `runs` with the time
// of the steady clock, and ends when it begins to write an answer on that part.
[[noreturn]] void ServeReplica(const std::string& id, std::uint16_t port, const std::string& runs) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  Serve("127.0.0.1", port, [id, runs](Connection& connection, const Request& request) {
    const std::string json = "Content-Type: application/json\r\n";
    if (request.Path() == "/mimosabend/report") {
      connection.Reply(200, json,
                       R"({"stage":"unified","models":[{"name":"m0","version":1,"adapters":[]}],)"
                       R"("busy":false,"seq-no":0,"waiting":0,"running":0,"kv-used":0,)"
                       R"("kv-total":240000,"handles":0,"runs":[]})");
      return;
    }
    if (request.Path() == "/mimosabend/order") {
      connection.Reply(200, json, "{}");
      return;
    }
    const std::string echo = "Request-Id: " + request.headers.Find("Request-Id") + "\r\n";
    if (request.headers.Find("Expect-Instance") != id) {
      connection.Reply(421, echo + "Instance-Id: " + id + "\r\n", "");
      return;
    }
    const bool deadly =
        request.headers.Find("Prompt-Prefix").find(kDeadlyPart) != std::string::npos;
    if (deadly) {
      const std::string line =
          std::to_string(SteadyMs()) + " " + id + " " + request.headers.Find("Request-Id") + "\n";
      const int file = open(runs.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
      const bool written = write(file, line.data(), line.size()) > 0;
      close(file);
      if (!written) _exit(2);
    }
    SleepMs(kWorkMs);
    if (deadly) _exit(1);
    const std::string body = "id: 1\ndata: e\n\nid: 2\ndata: e\n\n";
    connection.Reply(
        200, echo + "Response-Stamp: " + id + "\r\nContent-Type: text/event-stream\r\n", body);
  });
  for (;;) pause();
}

// The replicas and their entries in the store. Each start has a new id.
class Replicas {
 public:
  Replicas(const char* program, Store* store, Record* record, std::string runs)
      : program_(program), store_(store), record_(record), runs_(std::move(runs)) {
    for (const std::uint16_t port : FreePorts(kReplicas)) slots_.push_back({port, 0, -1, "", 0});
    for (Slot& slot : slots_) Start(&slot);
  }

  // Notices crashes, removes entries after three heartbeat intervals, and starts replicas again.
  void Update() {
    for (Slot& slot : slots_) {
      if (slot.pid > 0 && waitpid(slot.pid, nullptr, WNOHANG) == slot.pid) {
        slot.pid = -1;
        slot.crashed_at = SteadyMs();
        crashes_.push_back(slot.crashed_at);
        record_->Line("crash of " + slot.id);
        std::thread([this, id = slot.id] {
          SleepMs(3 * kHeartbeatMs);
          store_->Remove("servers/" + id);
        }).detach();
      }
      if (slot.pid < 0 && SteadyMs() >= slot.crashed_at + kBackMs) Start(&slot);
    }
  }

  void Stop() {
    for (Slot& slot : slots_) {
      if (slot.pid <= 0) continue;
      kill(slot.pid, SIGKILL);
      waitpid(slot.pid, nullptr, 0);
    }
  }

  const std::vector<std::int64_t>& crashes() const { return crashes_; }

 private:
  struct Slot {
    std::uint16_t port = 0;
    int starts = 0;
    pid_t pid = -1;
    std::string id;
    std::int64_t crashed_at = 0;
  };

  void Start(Slot* slot) {
    slot->id = "i-" + std::to_string(slot->port) + "-" + std::to_string(++slot->starts);
    const std::string port = std::to_string(slot->port);
    slot->pid = fork();
    if (slot->pid == 0) {
      execl(program_, program_, "replica", slot->id.c_str(), port.c_str(), runs_.c_str(), nullptr);
      _exit(127);
    }
    boost::json::object entry = MakeEntry("models", slot->port, UnixMs());
    entry["models"] = boost::json::array{
        boost::json::object{{"name", "m0"}, {"version", 1}, {"adapters", boost::json::array()}}};
    store_->Put("servers/" + slot->id, boost::json::serialize(entry));
  }

  const char* program_;
  Store* store_;
  Record* record_;
  std::string runs_;
  std::vector<Slot> slots_;
  std::vector<std::int64_t> crashes_;
};

boost::json::object Config() {
  const boost::json::object model{{"name", "m0"},
                                  {"weights-mb", 65100},
                                  {"adapters", 0},
                                  {"adapter-mb", 12},
                                  {"load-time-s", 6.0}};
  const boost::json::object engine{{"slots", 64},          {"kv-capacity", 240000},
                                   {"weights-mb", 160000}, {"adapter-slots", 8},
                                   {"loads-per-s", 4.2},   {"models", boost::json::array{model}}};
  return {{"version", 10},
          {"routes", boost::json::array{MakeRoute("/chat/", "streaming", "models", 2, 5000)}},
          {"services", boost::json::array{boost::json::object{
                           {"name", "models"}, {"max-conns", 360}, {"engine", engine}}}}};
}

struct Counts {
  std::atomic<int> sound = 0;
  std::atomic<int> served = 0;
};

void SendOne(const Fleet* fleet, int gateway, bool deadly, Record* record, Counts* counts) {
  std::thread([=] {
    const std::string id = NewRequestId();
    const Answer answer =
        Send(fleet->Ip(gateway), fleet->front(), "POST", "/chat/x",
             "Request-Id: " + id + "\r\nModel: m0\r\nToken-Count: 200,20\r\nPrompt-Prefix: a1:60," +
                 (deadly ? kDeadlyPart : "c1:100") + ",b" + id.substr(0, 6) +
                 ":40\r\nDeadline-Ms: 5000\r\n",
             "{\"" + id + "\":1}", 5500);
    record->Line("answer " + id + (deadly ? " deadly" : " sound") +
                 " status=" + std::to_string(answer.status) + " " + answer.end);
    if (deadly) return;
    ++counts->sound;
    if (answer.status == 200 && answer.complete) ++counts->served;
  }).detach();
}

int Run(const char* program) {
  // Threads that serve go on until the process ends.
  Record& record = *new Record(kRecord);
  Store& store = *new Store;
  Counts& counts = *new Counts;
  char pattern[] = "/tmp/review-runs-XXXXXX";
  const int file = mkstemp(pattern);
  if (file < 0) return kCouldNotRun;
  close(file);
  store.Put("op/config", boost::json::serialize(Config()));
  Replicas replicas(program, &store, &record, pattern);
  int result = kCouldNotRun;
  {
    Fleet fleet(kGateways, store.port(), FleetSettings(), &record);
    for (int i = 0; i < kGateways; ++i) fleet.Start(i);
    bool ready = true;
    for (int i = 0; i < kGateways; ++i) ready = ready && fleet.WaitReady(i, 8000);
    SleepMs(2000);
    const std::int64_t begin = SteadyMs();
    std::int64_t in_touch_from = 0;
    std::int64_t next_deadly = begin;
    std::int64_t next_sound = begin;
    bool killed = !WithTrouble();
    for (int i = 0; ready && SteadyMs() < begin + kEndMs; ++i) {
      SleepMs(10);
      replicas.Update();
      const std::int64_t now = SteadyMs();
      if (now >= next_sound) {
        SendOne(&fleet, i % kGateways, false, &record, &counts);
        next_sound += kSoundGapMs;
      }
      if (now >= next_deadly) {
        // Requests with that part come at any machine.
        for (int g = 0; g < kGateways; ++g) SendOne(&fleet, g, true, &record, &counts);
        next_deadly += kDeadlyGapMs;
      }
      if (killed || now < begin + kKillAtMs) continue;
      killed = true;
      for (int g = 0; g < kGateways; ++g) fleet.Kill(g);
      SleepMs(kDownMs);
      for (int g = 0; g < kGateways; ++g) fleet.Start(g);
      for (int g = 0; g < kGateways; ++g) ready = ready && fleet.WaitReady(g, 8000);
      in_touch_from = SteadyMs() + kContactMs;
      record.Line("all gateways killed and started");
    }
    const auto& crashes = replicas.crashes();
    if (ready && crashes.size() >= kCrashes) {
      const std::int64_t fifth = crashes[kCrashes - 1];
      std::ifstream runs(pattern);
      int late = 0;
      std::string line;
      while (std::getline(runs, line)) {
        const std::int64_t at = std::stoll(line);
        const bool killed_meanwhile =
            WithTrouble() && at >= begin + kKillAtMs && at < in_touch_from;
        const bool counted = at > fifth + kContactMs && !killed_meanwhile;
        late += counted ? 1 : 0;
        record.Line("run with the part, " + std::to_string(at - begin) + " ms after the begin" +
                    (counted ? ", later than contact-ms after the fifth crash" : ""));
      }
      record.Line(std::to_string(crashes.size()) + " crashes, the fifth " +
                  std::to_string(fifth - begin) + " ms after the begin; " + std::to_string(late) +
                  " requests with the part later; " + std::to_string(counts.served) + " of " +
                  std::to_string(counts.sound) + " sound requests served");
      result = late > kExcused ? kRuleBroken : kRuleHeld;
      if (result == kRuleBroken) record.Line("rule BUDGET is broken");
    } else {
      record.Line(std::to_string(crashes.size()) + " crashes");
    }
  }
  replicas.Stop();
  unlink(pattern);
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc == 5 && std::strcmp(argv[1], "replica") == 0) {
    review::ServeReplica(argv[2], static_cast<std::uint16_t>(std::stoi(argv[3])), argv[4]);
  }
  const int result = review::Run(argv[0]);
  std::_Exit(result);
}
