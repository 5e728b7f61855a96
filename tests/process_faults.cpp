#include "process_faults.h"

#include <signal.h>

#include <thread>

namespace mimosabend::testing {

void ProcessFaults::Run(milliseconds time) {
  const MonotonicTime end = MonotonicNow() + time;
  while (MonotonicNow() < end) {
    InjectOne();
    std::this_thread::sleep_for(milliseconds(Below(400)));
    ResumePaused(false);
  }
  ResumePaused(true);
  fleet_->RefuseStoreCalls(false);
}

void ProcessFaults::Signal(const Paused& paused, int signal_number) {
  if (paused.is_gateway) {
    fleet_->gateway(paused.index).Signal(signal_number);
  } else {
    fleet_->SignalEndpoint(paused.index, signal_number);
  }
}

void ProcessFaults::Pause(int index, bool is_gateway) {
  const Paused paused{index, is_gateway, MonotonicNow() + milliseconds(100 + Below(2000))};
  Signal(paused, SIGSTOP);
  paused_.push_back(paused);
}

void ProcessFaults::ResumePaused(bool all) {
  std::erase_if(paused_, [&](const Paused& paused) {
    if (!all && MonotonicNow() < paused.until) return false;
    Signal(paused, SIGCONT);
    return true;
  });
}

// Replaces a gateway, which is told to stop or killed.
void ProcessFaults::ReplaceGateway(int index, int signal_number) {
  fleet_->gateway(index).Signal(SIGCONT);
  fleet_->gateway(index).Signal(signal_number);
  if (signal_number == SIGTERM && Below(2) == 0) {
    std::this_thread::sleep_for(milliseconds(Below(1500)));
    fleet_->gateway(index).Signal(SIGTERM);
  }
  fleet_->gateway(index).WaitForExit(seconds(10));
  // A gateway is ready once the store or another gateway has answered it.
  fleet_->RefuseStoreCalls(false);
  ResumePaused(true);
  fleet_->StartGateway(index);
}

void ProcessFaults::InjectOne() {
  switch (Below(8)) {
    case 0:
    case 1:
    case 2:
      Pause(Below(fleet_->endpoints()), false);
      break;
    case 3:
      Pause(Below(fleet_->gateways()), true);
      break;
    case 4:
      fleet_->SignalEndpoint(Below(fleet_->endpoints()), SIGKILL);
      break;
    case 5:
      ReplaceGateway(Below(fleet_->gateways()), SIGTERM);
      break;
    case 6:
      ReplaceGateway(Below(fleet_->gateways()), SIGKILL);
      break;
    default:
      fleet_->RefuseStoreCalls(Below(2) == 0);
  }
}

}  // namespace mimosabend::testing
