#ifndef MIMOSABEND_GATEWAY_SETTINGS_H_
#define MIMOSABEND_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hedge_policy.h"
#include "host_resources.h"
#include "ini_file.h"
#include "name_table.h"
#include "prefix_index.h"
#include "quota_order.h"
#include "result.h"
#include "settings.h"

namespace mimosabend {

// Bounds set by the operator of the platform.
struct GatewayBounds {
  // Time until an endpoint that leaves gets no more requests.
  milliseconds endpoint_drain{2500};
  // Time until a new configuration has to be in force.
  milliseconds config_apply{2500};
  // Time from SIGTERM to SIGKILL.
  milliseconds shutdown_grace{8000};
  // Retries of all daemons in a window: a share of the requests, and a number beyond that share.
  double retry_ratio = 0.2;
  double retry_extra = 50;
  seconds retry_window{10};
  // Units that a customer may use beyond its quota in a window of a few seconds.
  double quota_tolerance = 0;
  // Minimum time between the orders that two successive leaders send to an engine.
  milliseconds holder_gap{3000};
  bool fencing_required = true;
  // Limit on loads from the weight store: its window, and the factor by which the configured rate
  // may be exceeded.
  seconds ceiling_window{5};
  double ceiling_over = 1.1;

  bool operator==(const GatewayBounds&) const = default;
};

// Whether requests for models are refused as soon as they are predicted to be served too late.
enum class ForecastSetting : std::uint8_t { kOff, kOn };
inline constexpr NameTable<ForecastSetting, 2> kForecastSettingNames{{"off", "on"}};

struct GatewaySettings {
  std::string name;
  std::string region;
  std::string failure_domain;
  // Region of each failure domain.
  std::map<std::string, std::string> domain_regions;
  Address caller_address;
  Address readiness_address;
  Address peer_address;
  Address metrics_address;
  // Where this gateway takes requests that other gateways pass on. All gateways listen on the same
  // port for that.
  Address forward_address;
  Address store;
  // Daemons to ask for the fleet's state when the store can't be read. They may no longer exist.
  std::vector<Address> seeds;
  // Processor cores and bandwidth that this process may use.
  double cores = 0.25;
  double link_mbps = 1000;
  // What this process may use of the host, for callers in particular.
  HostResources resources;
  // Parts of prompts that are remembered as processed by engines.
  std::uint64_t prefix_parts = PrefixIndex::kDefaultMaxParts;
  GatewayBounds bounds;
  // How a customer's quota is divided among its requests while they exceed it.
  QuotaOrder quota_order = QuotaOrder::kEqual;
  HedgingSettings hedging;
  ForecastSetting forecast = ForecastSetting::kOff;
  LogSettings log;
};

// Parses the settings of a gateway. `file` is the name for messages, `overrides` are of the form
// "section.key=value". Returns all issues found if there are any. Thread-safe.
Result<GatewaySettings, IniIssues> ParseGatewaySettings(const std::string& file,
                                                        std::string_view text,
                                                        const std::vector<std::string>& overrides);

}  // namespace mimosabend

#endif  // MIMOSABEND_GATEWAY_SETTINGS_H_
