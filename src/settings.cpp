#include "settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "settings_reader.h"

namespace mimosabend {

namespace {

constexpr std::size_t kMinSharedKeyLength = 16;

}  // namespace

Address ReadAddress(IniSection* section, const std::string& key) {
  const std::string text = section->Text(key);
  if (text.empty()) return {};
  const std::optional<Address> address = ParseAddress(text);
  if (!address) {
    section->Report(key, "'" + text + "' is not an address",
                    "use IP:PORT, for example 10.0.0.1:80");
  }
  return address.value_or(Address{});
}

LogSettings ReadLogSettings(IniSection* section) {
  LogSettings log;
  log.level = section->Choice("level", kLogLevelNames, LogLevel::kInfo);
  log.format = section->Choice("format", kLogFormatNames, LogFormat::kText);
  return log;
}

namespace {

std::vector<Address> ReadAddresses(IniSection* section, const std::string& key) {
  std::vector<Address> addresses;
  for (const std::string& text : section->List(key)) {
    if (const std::optional<Address> address = ParseAddress(text)) {
      addresses.push_back(*address);
    } else {
      section->Report(key, "'" + text + "' is not an address", "use IP:PORT, separated by commas");
    }
  }
  return addresses;
}

void ReadPlatform(IniSection* section, PlatformSettings* platform) {
  platform->kv = ReadAddress(section, "kv");
  platform->host_list = ReadAddress(section, "host_list");
  platform->weight_store = ReadAddress(section, "weight_store");
}

void ReadLimits(IniSection* section, DaemonSettings* settings) {
  HttpLimits& limits = settings->limits;
  limits.connections = section->Integer("connections", 1, 100000, limits.connections);
  limits.header_bytes = section->Integer("header_bytes", 1024, 1 << 20, limits.header_bytes);
  limits.body_bytes = section->Integer("body_bytes", 1024, 1 << 26, limits.body_bytes);
  limits.idle_timeout =
      milliseconds(section->Integer("idle_timeout_ms", 100, 600000, limits.idle_timeout.count()));
  limits.header_timeout = milliseconds(
      section->Integer("header_timeout_ms", 100, 600000, limits.header_timeout.count()));
  settings->drain_delay =
      milliseconds(section->Integer("drain_delay_ms", 0, 60000, settings->drain_delay.count()));
}

// Applies "section.key=value" overrides. Adds sections that the file lacks.
void ApplyOverrides(const std::string& file, const std::vector<std::string>& overrides,
                    std::vector<IniSection>* sections, IniIssues* issues) {
  for (const std::string& text : overrides) {
    const std::size_t dot = text.find('.');
    const std::size_t equals = text.find('=');
    if (dot == std::string::npos || equals == std::string::npos || equals < dot) {
      issues->push_back(
          {"--set", 0, "", text, "not a valid override", "use --set section.key=value"});
      continue;
    }
    const std::string name = text.substr(0, dot);
    auto it = std::find_if(sections->begin(), sections->end(),
                           [&](const IniSection& section) { return section.name() == name; });
    if (it == sections->end()) it = sections->emplace(sections->end(), file, name, issues);
    it->Override(text.substr(dot + 1, equals - dot - 1), text.substr(equals + 1));
  }
}

}  // namespace

IniIssues ReadSections(const std::string& file, std::string_view text,
                       const std::vector<std::string>& overrides,
                       const std::vector<std::pair<std::string, SectionReader>>& readers) {
  auto entries = ParseIni(file, text);
  if (!entries) return std::move(entries).error();
  IniIssues issues;
  std::vector<IniSection> sections = GroupSections(file, entries.value(), &issues);
  ApplyOverrides(file, overrides, &sections, &issues);
  for (const auto& entry : readers) {
    auto it = std::find_if(sections.begin(), sections.end(), [&](const IniSection& section) {
      return section.name() == entry.first;
    });
    if (it == sections.end()) it = sections.emplace(sections.end(), file, entry.first, &issues);
    entry.second(&*it);
  }
  for (IniSection& section : sections) {
    const bool known = std::any_of(readers.begin(), readers.end(), [&](const auto& reader) {
      return reader.first == section.name();
    });
    if (known) {
      section.ReportUnknownKeys();
    } else {
      section.Report("", "unknown section", "remove it or correct its name");
    }
  }
  return issues;
}

std::string ToString(const Address& address) {
  const bool v6 = address.ip.find(':') != std::string::npos;
  return (v6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view ip = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  Address address{std::string(ip), 0};
  boost::system::error_code error;
  boost::asio::ip::make_address(address.ip, error);
  const auto [end, parse_error] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error || parse_error != std::errc() || end != port.data() + port.size()) return std::nullopt;
  return address;
}

Result<DaemonSettings, IniIssues> ParseDaemonSettings(const std::string& file,
                                                      std::string_view text,
                                                      const std::vector<std::string>& overrides) {
  DaemonSettings settings;
  IniIssues issues = ReadSections(
      file, text, overrides,
      {{"daemon",
        [&](IniSection* section) {
          settings.name = section->Text("name");
          settings.environment = section->Text("environment");
          settings.region = section->Text("region");
          settings.failure_domain = section->Text("failure_domain");
        }},
       {"listen",
        [&](IniSection* section) {
          settings.caller_address = ReadAddress(section, "caller");
          settings.admin_address = ReadAddress(section, "admin");
          settings.peer_address = ReadAddress(section, "peer");
        }},
       {"platform", [&](IniSection* section) { ReadPlatform(section, &settings.platform); }},
       {"peers",
        [&](IniSection* section) {
          settings.seeds = ReadAddresses(section, "seeds");
          for (const Address& peer : ReadAddresses(section, "blocked")) {
            settings.blocked_peers.insert(peer);
          }
          settings.shared_key = section->Text("shared_key");
          if (settings.shared_key.size() < kMinSharedKeyLength) {
            section->Report("shared_key", "the key is too short",
                            "use at least " + std::to_string(kMinSharedKeyLength) +
                                " random characters, the same for all daemons");
          }
        }},
       {"limits", [&](IniSection* section) { ReadLimits(section, &settings); }},
       {"host", [&](IniSection* section) { ReadHostResources(section, &settings.resources); }},
       {"memory", [&](IniSection* section) { ReadMemoryShares(section, &settings.resources); }},
       {"callers", [&](IniSection* section) { ReadReceiveBuffer(section, &settings.resources); }},
       {"policy",
        [&](IniSection* section) {
          settings.coordinate_cold_starts = section->Flag("coordinate_cold_starts", true);
        }},
       {"log", [&](IniSection* section) { settings.log = ReadLogSettings(section); }}});
  if (!issues.empty()) return outcome::failure(std::move(issues));
  settings.resources.caller_connections = settings.limits.connections;
  return settings;
}

Result<OperatorSettings, IniIssues> ParseOperatorSettings(
    const std::string& file, std::string_view text, const std::vector<std::string>& overrides) {
  OperatorSettings settings;
  IniIssues issues = ReadSections(
      file, text, overrides,
      {{"platform", [&](IniSection* section) { ReadPlatform(section, &settings.platform); }},
       {"daemons",
        [&](IniSection* section) { settings.daemons = ReadAddresses(section, "admin"); }}});
  if (!issues.empty()) return outcome::failure(std::move(issues));
  return settings;
}

}  // namespace mimosabend
