// Measures what shares of brittle endpoints cost at the designed size: bytes of a daemon's request
// and its answer, and time at the leader. Not a test; prints one line for each number of endpoints
// that a daemon uses at a time.
#include <chrono>
#include <cstdio>
#include <string>

#include "fleet_usage.h"
#include "slot_share_allocator.h"

namespace mimosabend {

namespace {

constexpr int kDaemons = 340;
constexpr int kEndpoints = 1000;
constexpr int kRounds = 2;
// See LeaderLink::SharePeriod.
constexpr milliseconds kPeriod{2 * kDaemons};
const MonotonicTime kStart = MonotonicTime() + seconds(100000);

SlotShareRequest MakeRequest(int daemon, int used) {
  SlotShareRequest request;
  request.process = daemon;
  for (int i = 0; i < used; ++i) {
    SlotShareDemand demand;
    // The daemons' endpoints overlap evenly.
    demand.number = static_cast<std::uint32_t>((daemon * used + i) % kEndpoints);
    demand.slots = 16;
    demand.reject_limit = 2;
    demand.in_flight = demand.needed = demand.wanted = demand.held = 1;
    request.demands.push_back(demand);
  }
  return request;
}

void Measure(int used) {
  SlotShareAllocator allocator;
  allocator.Reset(kStart - seconds(10));
  std::size_t request_bytes = 0;
  std::size_t answer_bytes = 0;
  std::chrono::steady_clock::duration time{};
  for (int round = 0; round <= kRounds; ++round) {
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      const MonotonicTime now = kStart + round * kPeriod + milliseconds(2 * daemon);
      const std::string bytes = Encode(MakeRequest(daemon, used));
      const std::string name = "gateway-" + std::to_string(daemon) + " 1234567890123456789";
      const auto start = std::chrono::steady_clock::now();
      const auto request = Decode<SlotShareRequest>(bytes);
      SlotShareAnswer answer;
      answer.accepted = true;
      for (const SlotShareDemand& demand : request->demands) {
        answer.shares.push_back(allocator.Decide(name, demand, true, now));
      }
      const std::string answered = Encode(answer);
      // The first round fills the tables.
      if (round > 0) time += std::chrono::steady_clock::now() - start;
      request_bytes = bytes.size();
      answer_bytes = answered.size();
    }
  }
  const double seconds_per_round = std::chrono::duration<double>(time).count() / kRounds;
  std::printf(
      "used=%d request_bytes=%zu answer_bytes=%zu bytes_per_second_daemon=%.0f "
      "leader_microseconds_per_demand=%.2f leader_cores=%.4f\n",
      used, request_bytes, answer_bytes,
      static_cast<double>(request_bytes + answer_bytes) / ToSeconds(kPeriod),
      seconds_per_round * 1e6 / (kDaemons * used), seconds_per_round / ToSeconds(kPeriod));
}

}  // namespace

}  // namespace mimosabend

int main() {
  for (const int used : {1, 9, 30, 100, 200}) mimosabend::Measure(used);
}
