#ifndef MIMOSABEND_GATEWAY_H_
#define MIMOSABEND_GATEWAY_H_

#include <functional>
#include <optional>

#include "gateway_settings.h"

namespace mimosabend {

// Reads the settings again; std::nullopt, after saying why, if they can't be used.
using SettingsReader = std::function<std::optional<GatewaySettings>()>;

// Runs a gateway: it relays requests on the platform's routes, and one of all gateways leads the
// placement of models. SIGTERM drains it, a second one ends it at once; SIGHUP reads the settings
// again. Returns the exit code of the process.
int RunGateway(const GatewaySettings& settings, SettingsReader reread);

}  // namespace mimosabend

#endif  // MIMOSABEND_GATEWAY_H_
