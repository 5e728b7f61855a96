#ifndef MIMOSABEND_GATEWAY_H_
#define MIMOSABEND_GATEWAY_H_

#include <functional>
#include <optional>

#include "gateway_settings.h"

namespace mimosabend {

// Reads the settings from their source again. Reports why and returns std::nullopt if they are not
// valid.
using SettingsReader = std::function<std::optional<GatewaySettings>()>;

// Runs a gateway, which relays requests on the routes of the platform. One gateway of the fleet is
// elected to lead the placement of models. SIGTERM drains the gateway, a second signal ends it
// immediately, SIGHUP reloads the settings. Doesn't return: ends the process.
int RunGateway(const GatewaySettings& settings, SettingsReader read_settings);

}  // namespace mimosabend

#endif  // MIMOSABEND_GATEWAY_H_
