#ifndef MIMOSABEND_SETTINGS_H_
#define MIMOSABEND_SETTINGS_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "host_resources.h"
#include "ini_file.h"
#include "name_table.h"

namespace mimosabend {

// IP address and port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

// Formats as "127.0.0.1:80" or "[::1]:80". Thread-safe.
std::string ToString(const Address& address);

// Parses the format of ToString. Returns std::nullopt for anything else, also for host names.
// Thread-safe.
std::optional<Address> ParseAddress(std::string_view text);

enum class LogFormat : std::uint8_t { kText, kJson, kLogfmt };
inline constexpr NameTable<LogFormat, 3> kLogFormatNames{{"text", "json", "logfmt"}};

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };
inline constexpr NameTable<LogLevel, 4> kLogLevelNames{{"debug", "info", "warn", "error"}};

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kText;
  // Logs to standard output instead of standard error.
  bool to_standard_output = false;
};

// Limits of one HTTP listener.
struct HttpLimits {
  std::size_t connections = 2000;
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 1024 * 1024;
  milliseconds idle_timeout{30000};
  // Longest time without write progress to a slow peer.
  milliseconds write_timeout{30000};
  // Longest time from the first byte of a header to its end.
  milliseconds header_timeout{30000};
};

// Addresses of the platform's services, for daemons and operator commands.
struct PlatformSettings {
  Address kv;
  Address host_list;
  Address weight_store;
};

struct DaemonSettings {
  std::string name;
  std::string environment;
  std::string region;
  std::string failure_domain;
  Address caller_address;
  Address admin_address;
  Address peer_address;
  PlatformSettings platform;
  std::vector<Address> seeds;
  std::string shared_key;
  // Peers that this daemon sends nothing to. Simulates a network partition.
  std::set<Address> blocked_peers;
  HttpLimits limits;
  HostResources resources;
  milliseconds drain_delay{2000};
  // Regions serve each other's cold requests, and the daemons start no more loads than the weight
  // store serves at full speed. With false, each region loads on its own: a baseline for
  // measurements.
  bool coordinate_cold_starts = true;
  LogSettings log;
};

struct OperatorSettings {
  PlatformSettings platform;
  // Admin addresses of the daemons, which `status` and `promote` query.
  std::vector<Address> daemons;
};

// Parses the settings of a daemon. `overrides` are "section.key=value" and take precedence over the
// file. Fails with all issues found. Thread-safe.
Result<DaemonSettings, IniIssues> ParseDaemonSettings(const std::string& file,
                                                      std::string_view text,
                                                      const std::vector<std::string>& overrides);

// Parses the settings of the operator commands; otherwise like ParseDaemonSettings. Thread-safe.
Result<OperatorSettings, IniIssues> ParseOperatorSettings(
    const std::string& file, std::string_view text, const std::vector<std::string>& overrides);

}  // namespace mimosabend

#endif  // MIMOSABEND_SETTINGS_H_
