#ifndef MIMOSABEND_HOST_LIST_H_
#define MIMOSABEND_HOST_LIST_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "name_table.h"
#include "result.h"
#include "settings.h"

namespace mimosabend {

enum class HostRole : std::uint8_t { kEngine, kService };
inline constexpr NameTable<HostRole, 2> kHostRoleNames{{"engine", "service"}};

enum class HostState : std::uint8_t { kLive, kLeaving };
inline constexpr NameTable<HostState, 2> kHostStateNames{{"live", "leaving"}};

// An endpoint on the platform's host list. A host that replaces another one has a new id.
struct Host {
  std::string id;
  HostRole role = HostRole::kEngine;
  // Name of the pool of an engine, or name of a service.
  std::string serves;
  std::string region;
  std::string failure_domain;
  Address address;
  HostState state = HostState::kLive;
};

enum class HostListError : std::uint8_t { kUnavailable, kBadAnswer };
inline constexpr NameTable<HostListError, 2> kHostListErrorNames{
    {"service unavailable", "malformed answer"}};

// Reads the platform's list of hosts. The list lags behind the actual state of the hosts.
template <class T>
concept HostList = requires(T& list) {
  { list.Hosts() } -> std::same_as<Task<Result<std::vector<Host>, HostListError>>>;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HOST_LIST_H_
