#include "gateway_settings.h"

#include <algorithm>
#include <cmath>

#include "settings_reader.h"

namespace mimosabend {

namespace {

constexpr double kMaxMillis = 600000;
constexpr double kMaxWindowSeconds = 3600;
constexpr double kMaxQuotaTolerance = 1e15;
constexpr double kMaxCores = 1e6;
constexpr double kMaxLinkMbps = 1e9;
constexpr double kMaxMinDelayMillis = 10000;
constexpr double kMaxMaxDelayMillis = 60000;
constexpr double kMillisPerSecond = 1000;
constexpr std::int64_t kMinPrefixParts = 1024;
constexpr std::int64_t kMaxPrefixParts = 10000000;
constexpr std::int64_t kMinConnections = 16;
constexpr std::int64_t kMaxConnections = 100000;

// Accepts fractions, since the platform may write a bound as one.
milliseconds ReadMillis(IniSection* section, const std::string& key, milliseconds fallback) {
  const auto number = static_cast<double>(fallback.count());
  return milliseconds(std::llround(section->Number(key, 0, kMaxMillis, number)));
}

// A delay within [low, high] milliseconds.
milliseconds ReadDelay(IniSection* section, const std::string& key, double low, double high,
                       milliseconds fallback) {
  const auto number = static_cast<double>(fallback.count());
  return milliseconds(std::llround(section->Number(key, low, high, number)));
}

// Rounds up to whole seconds.
seconds ReadWindow(IniSection* section, const std::string& key, seconds fallback) {
  const auto number = static_cast<double>(fallback.count());
  return seconds(std::llround(std::ceil(section->Number(key, 1, kMaxWindowSeconds, number))));
}

void ReadBounds(IniSection* section, GatewayBounds* bounds) {
  bounds->endpoint_drain = ReadMillis(section, "endpoint_drain_ms", bounds->endpoint_drain);
  bounds->config_apply = ReadMillis(section, "config_apply_ms", bounds->config_apply);
  const double grace = section->Number("shutdown_grace_s", 0, 3600, 8.0);
  bounds->shutdown_grace = milliseconds(static_cast<std::int64_t>(grace * kMillisPerSecond));
  bounds->retry_ratio = section->Number("retry_ratio", 0, 100, bounds->retry_ratio);
  bounds->retry_extra = section->Number("retry_extra", 0, 1e6, bounds->retry_extra);
  bounds->retry_window = ReadWindow(section, "retry_window_s", bounds->retry_window);
  bounds->quota_tolerance =
      section->Number("quota_tolerance", 0, kMaxQuotaTolerance, bounds->quota_tolerance);
  bounds->holder_gap = ReadMillis(section, "holder_gap_ms", bounds->holder_gap);
  bounds->fencing_required = section->Flag("fencing_required", bounds->fencing_required);
  bounds->ceiling_window = ReadWindow(section, "ceiling_window_s", bounds->ceiling_window);
  bounds->ceiling_over = section->Number("ceiling_over", 1, 100, bounds->ceiling_over);
}

void ReadHedging(IniSection* section, HedgingSettings* hedging) {
  hedging->extra_work =
      section->Number("extra_work", 0, HedgingSettings::kMaxExtraWork, hedging->extra_work);
  hedging->min_delay =
      ReadDelay(section, "min_delay_ms", 1, kMaxMinDelayMillis, hedging->min_delay);
  const auto least = static_cast<double>(hedging->min_delay.count());
  const milliseconds fallback = std::max(hedging->max_delay, hedging->min_delay);
  hedging->max_delay = ReadDelay(section, "max_delay_ms", least, kMaxMaxDelayMillis, fallback);
}

// Format: "DOMAIN:REGION, DOMAIN:REGION".
std::map<std::string, std::string> ReadDomains(IniSection* section, const std::string& key) {
  std::map<std::string, std::string> regions;
  for (const std::string& item : section->List(key)) {
    const std::size_t colon = item.find(':');
    if (colon == std::string::npos) {
      section->Report(key, "'" + item + "' has no region", "use DOMAIN:REGION");
      continue;
    }
    regions[item.substr(0, colon)] = item.substr(colon + 1);
  }
  return regions;
}

// By default, the port after that for peers.
Address ReadForwardAddress(IniSection* section, const Address& peer) {
  const std::string text =
      section->Text("forward", ToString({peer.ip, static_cast<std::uint16_t>(peer.port + 1)}));
  const auto address = ParseAddress(text);
  if (!address) section->Report("forward", "'" + text + "' is not an address", "use IP:PORT");
  return address.value_or(Address());
}

// Peer addresses of the seeds, without this host. Daemons listen for peers on the same port on all
// hosts.
std::vector<Address> SeedPeers(const std::vector<std::string>& seeds, const Address& own) {
  std::vector<Address> peers;
  for (const std::string& seed : seeds) {
    const auto address = ParseAddress(seed);
    if (address && address->ip != own.ip) peers.push_back({address->ip, own.port});
  }
  return peers;
}

}  // namespace

Result<GatewaySettings, IniIssues> ParseGatewaySettings(const std::string& file,
                                                        std::string_view text,
                                                        const std::vector<std::string>& overrides) {
  GatewaySettings settings;
  settings.log.to_standard_output = true;
  std::vector<std::string> seeds;
  IniIssues issues = ReadSections(
      file, text, overrides,
      {{"gateway",
        [&](IniSection* section) {
          settings.name = section->Text("name");
          settings.region = section->Text("region");
          settings.failure_domain = section->Text("failure_domain");
          settings.domain_regions = ReadDomains(section, "domains");
          seeds = section->List("seeds");
        }},
       {"listen",
        [&](IniSection* section) {
          settings.caller_address = ReadAddress(section, "caller");
          settings.readiness_address = ReadAddress(section, "readiness");
          settings.peer_address = ReadAddress(section, "peer");
          settings.metrics_address = ReadAddress(section, "metrics");
          settings.forward_address = ReadForwardAddress(section, settings.peer_address);
        }},
       {"platform", [&](IniSection* section) { settings.store = ReadAddress(section, "store"); }},
       {"host",
        [&](IniSection* section) {
          settings.cores = section->Number("cores", 0, kMaxCores, settings.cores);
          settings.link_mbps = section->Number("link_mbps", 0, kMaxLinkMbps, settings.link_mbps);
          ReadHostResources(section, &settings.resources);
        }},
       {"callers",
        [&](IniSection* section) {
          settings.resources.caller_connections =
              section->Integer("connections", kMinConnections, kMaxConnections,
                               static_cast<std::int64_t>(settings.resources.caller_connections));
          ReadReceiveBuffer(section, &settings.resources);
        }},
       {"memory",
        [&](IniSection* section) {
          ReadMemoryShares(section, &settings.resources);
          settings.prefix_parts =
              section->Integer("prefix_parts", kMinPrefixParts, kMaxPrefixParts,
                               static_cast<std::int64_t>(settings.prefix_parts));
        }},
       {"bounds", [&](IniSection* section) { ReadBounds(section, &settings.bounds); }},
       {"quotas",
        [&](IniSection* section) {
          settings.quota_order = section->Choice("order", kQuotaOrderNames, settings.quota_order);
        }},
       {"hedging", [&](IniSection* section) { ReadHedging(section, &settings.hedging); }},
       {"admission",
        [&](IniSection* section) {
          settings.forecast = section->Choice("forecast", kForecastSettingNames, settings.forecast);
        }},
       {"log", [&](IniSection* section) {
          settings.log = ReadLogSettings(section);
          settings.log.to_standard_output = true;
        }}});
  if (!issues.empty()) return outcome::failure(std::move(issues));
  settings.seeds = SeedPeers(seeds, settings.peer_address);
  return settings;
}

}  // namespace mimosabend
