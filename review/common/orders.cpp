#include "orders.h"

#include <strings.h>

#include <algorithm>
#include <random>
#include <thread>

namespace mimosabend::review {

namespace {

constexpr int kTimeoutMillis = 800;
constexpr int kDeadlineMillis = 800;
constexpr double kMinWork = 0.015;
constexpr double kMaxWork = 0.11;
constexpr double kRestartDelay = 0.5;
constexpr int kMaxLost = 3;
constexpr int kMaxOwnEnds = 2;

double Draw(double from, double to) {
  thread_local std::mt19937 random(std::random_device{}());
  return std::uniform_real_distribution<double>(from, to)(random);
}

}  // namespace

OrderDay::OrderDay(const std::string& root, int gateways, Answerer answer)
    : answer_(std::move(answer)), ends_(static_cast<std::size_t>(gateways), 0) {
  store_.Put(
      "op/config",
      Configuration({Route("/order/", "non_idempotent", "plain", 1, kTimeoutMillis, 120, 0, false)},
                    {}));
  for (const std::string name : {"i-one", "i-two", "i-three"}) {
    replicas_.push_back(
        std::make_unique<Replica>(&store_, Replica::Options{name, "plain", "nordeste-a", {}, {}, 0},
                                  [this, name](Connection* connection, const Message& request) {
                                    Run(name, connection, request);
                                  }));
  }
  fleet_ = std::make_unique<Fleet>(root, store_.address(), gateways);
  if (!fleet_->WaitUntilReady(15)) GiveUp(fleet_.get(), "gateways are not ready");
  SleepFor(4);
}

void OrderDay::Run(const std::string& replica, Connection* connection, const Message& request) {
  const std::string id = request.Header("Request-Id");
  Log("replica " + replica + " runs " + id);
  SleepFor(Draw(kMinWork, kMaxWork));
  const bool sound = answer_(replica, connection, request);
  const std::lock_guard lock(mutex_);
  orders_[id].run_by_sound = sound;
}

bool OrderDay::Ask(Connection* connection, bool kept) {
  const std::string id = NewId();
  const double limit = Now() + kDeadlineMillis / 1000.0;
  {
    const std::lock_guard lock(mutex_);
    orders_[id].id = id;
    orders_[id].on_kept_connection = kept;
  }
  const bool sent = connection->Send(Request(
      id, "POST", "/order/x", {{"Deadline-Ms", std::to_string(kDeadlineMillis)}}, "one reflector"));
  Message answer;
  const bool answered = sent && connection->ReadResponseHead(&answer, limit) &&
                        connection->ReadResponseBody(&answer, limit);
  if (answered) {
    Log("client: " + id + " answered with " + std::to_string(answer.status));
    return strcasecmp(answer.Header("Connection").c_str(), "close") != 0;
  }
  const bool cut = Now() < limit;
  Log("client: " + id + (cut ? " cut without an answer" : " not answered in time"));
  const std::lock_guard lock(mutex_);
  orders_[id].cut = cut;
  return false;
}

void OrderDay::RunClient(const std::string& front, double pause, double end) {
  while (Now() < end) {
    auto connection = Connection::Open(front, Now() + 1);
    bool open = connection != nullptr;
    for (bool kept = false; open && Now() < end; kept = true) {
      SleepFor(Draw(0.5, 1.5) * pause);
      open = !connection->PeerHasClosed() && Ask(connection.get(), kept);
    }
    SleepFor(pause);
  }
}

// Starts gateways again that have ended by themselves.
void OrderDay::Supervise() {
  while (playing_) {
    for (int i = 0; i < static_cast<int>(ends_.size()); ++i) {
      if (fleet_->IsRunning(i)) continue;
      ++ends_[static_cast<std::size_t>(i)];
      Log("gateway " + std::to_string(i) + " has ended by itself");
      SleepFor(kRestartDelay);
      fleet_->Start(i);
    }
    SleepFor(0.01);
  }
}

void OrderDay::Play(int clients, double pause, double seconds) {
  const double end = Now() + seconds;
  std::thread supervisor([this] { Supervise(); });
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i) {
    const std::string front = fleet_->front(i % static_cast<int>(ends_.size()));
    threads.emplace_back([this, front, pause, end] { RunClient(front, pause, end); });
  }
  for (std::thread& thread : threads) thread.join();
  playing_ = false;
  supervisor.join();
  SleepFor(0.3);
}

void OrderDay::End(const std::string& trouble) {
  int lost = 0;
  std::size_t run = 0;
  const std::lock_guard lock(mutex_);
  for (const auto& [id, order] : orders_) {
    if (order.run_by_sound) ++run;
    if (order.run_by_sound && order.on_kept_connection && order.cut) ++lost;
  }
  std::string ends;
  for (const int count : ends_) ends += " " + std::to_string(count);
  const auto failing =
      std::count_if(ends_.begin(), ends_.end(), [](int count) { return count > kMaxOwnEnds; });
  Finish(fleet_.get(), lost > kMaxLost || failing >= 2,
         std::to_string(orders_.size()) + " orders, " + trouble + "; " + std::to_string(run) +
             " run by sound replicas, " + std::to_string(lost) +
             " of them cut without an answer on kept connections (LOST allows 3); ends of the " +
             "gateways by themselves:" + ends + " (Fault allows 2)");
}

}  // namespace mimosabend::review
