#ifndef MIMOSABEND_LOAD_BACKLOG_H_
#define MIMOSABEND_LOAD_BACKLOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "fleet_usage.h"

namespace mimosabend {

// A model that waits for a load from the weight store.
struct QueuedModel {
  // The most urgent priority among the requests that wait for it.
  std::uint32_t priority = 0;
  // Duration of the load at full speed.
  milliseconds load_time{0};
};

// Summarizes the queue of a service; std::nullopt if it is empty. `loads_per_second` bounds the
// starts of loads, `concurrent` the loads in progress; concurrent > 0. Thread-safe.
std::optional<LoadBacklog> MakeLoadBacklog(const std::string& service,
                                           const std::vector<QueuedModel>& models,
                                           double loads_per_second, std::uint32_t concurrent);

}  // namespace mimosabend

#endif  // MIMOSABEND_LOAD_BACKLOG_H_
