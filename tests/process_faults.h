#ifndef MIMOSABEND_TESTS_PROCESS_FAULTS_H_
#define MIMOSABEND_TESTS_PROCESS_FAULTS_H_

#include <random>
#include <vector>

#include "clock.h"
#include "platform_fleet.h"

namespace mimosabend::testing {

// Injects faults into the processes of a fleet, in series and overlapping: pauses, kills, stops,
// restarts, and a store that refuses calls. Not thread-safe; it may run beside callers.
class ProcessFaults {
 public:
  // Precondition: `fleet` outlives this object.
  ProcessFaults(PlatformFleet* fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

  // Injects faults for `time`. All processes run again when it returns.
  void Run(milliseconds time);

 private:
  // A paused process: its index, and whether it is a gateway.
  struct Paused {
    int index = 0;
    bool is_gateway = false;
    MonotonicTime until;
  };

  int Below(int limit) { return static_cast<int>(random_() % limit); }
  void Signal(const Paused& paused, int signal_number);
  void Pause(int index, bool is_gateway);
  void ResumePaused(bool all);
  void ReplaceGateway(int index, int signal_number);
  void InjectOne();

  PlatformFleet* fleet_;
  std::mt19937_64 random_;
  std::vector<Paused> paused_;
};

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_PROCESS_FAULTS_H_
