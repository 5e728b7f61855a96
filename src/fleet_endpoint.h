#ifndef MIMOSABEND_FLEET_ENDPOINT_H_
#define MIMOSABEND_FLEET_ENDPOINT_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "settings.h"

namespace mimosabend {

enum class EndpointState : std::uint8_t { kReady, kDraining };

// A model loaded on an engine, with its loaded adapters.
struct HeldModel {
  std::string name;
  std::vector<std::string> adapters;
};

// What an engine holds, as reported or registered by it.
struct EngineHoldings {
  std::vector<HeldModel> models;
  // Models whose weights can be loaded without the weight store.
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  // Number of orders that the engine has accepted since its start.
  std::uint64_t sequence = 0;

  // Returns nullptr if the engine does not hold the model.
  const HeldModel* Find(const std::string& model) const {
    const auto it = std::find_if(models.begin(), models.end(),
                                 [&](const HeldModel& held) { return held.name == model; });
    return it == models.end() ? nullptr : &*it;
  }
};

// One incarnation of an endpoint, as it registered itself.
struct FleetEndpoint {
  std::string id;
  std::string service;
  Address address;
  std::string failure_domain;
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kReady;
  // Time until the removal of the endpoint, if it is removed at short notice.
  std::optional<milliseconds> leaves_in;
  EngineHoldings holdings;
  // Unix time of the start. An endpoint may restart under the same id and then holds nothing.
  std::int64_t started_ms = 0;
  // Version of the endpoint's software, not of the weights that it serves.
  std::string software;
};

// An engine's report of its state. It may be a few hundred milliseconds old.
struct EngineReport {
  EngineHoldings holdings;
  // Whether an order is in progress.
  bool busy = false;
  // Adapters that are being loaded, as "MODEL/ADAPTER".
  std::vector<std::string> loading_adapters;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Ids of the requests that run; std::nullopt if the report has no readable list.
  std::optional<std::vector<std::string>> runs;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_ENDPOINT_H_
