#ifndef MIMOSABEND_FLEET_CONFIG_H_
#define MIMOSABEND_FLEET_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "customer.h"
#include "name_table.h"
#include "settings.h"

namespace mimosabend {

// Whether requests of a route may be retried. A stream may be retried only if its route is
// resumable.
enum class RouteKind : std::uint8_t { kIdempotent, kNonIdempotent, kStreaming };
inline constexpr NameTable<RouteKind, 3> kRouteKindNames{
    {"idempotent", "non_idempotent", "streaming"}};

// A service that serves a share of a route's requests, in proportion to its weight.
struct RouteTarget {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  // Maximum duration of a request.
  milliseconds timeout{0};
  // Target time to the response, or to the first event of a stream.
  milliseconds target_latency{0};
  // Target for the maximum gap between two events of a stream.
  milliseconds target_event_gap{0};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Maximum number of endpoints that one request may be sent to.
  std::uint32_t max_attempts = 1;
  bool resumable = false;
  // Whether requests need no API key.
  bool is_public = false;
  std::vector<RouteTarget> targets;

  // Whether a request of the route may be executed more than once.
  bool repeatable() const {
    return kind == RouteKind::kIdempotent || (kind == RouteKind::kStreaming && resumable);
  }
};

struct ModelProfile {
  double weights_mb = 0;
  double adapter_mb = 0;
  std::vector<std::string> adapter_names;
  milliseconds load_from_store{0};
  milliseconds load_from_disk{0};
  milliseconds load_from_memory{0};
};

// Properties of the model engines of a service.
struct EngineProfile {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;
  // Memory of an engine for weights and adapters together.
  double weights_mb = 0;
  std::uint32_t adapter_slots = 0;
  // Limit on loads from the weight store, for all endpoints together.
  double loads_per_second = 0;
  std::map<std::string, ModelProfile> models;
};

struct RoutedService {
  std::string health_path;
  // Maximum connections of one endpoint, from all daemons together.
  std::uint32_t max_connections = 0;
  // Set if the endpoints are model engines.
  std::optional<EngineProfile> engine;
};

// The operator's configuration of routes and services.
struct FleetConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, RoutedService> services;
  HttpLimits limits;
  // Set if requests need the API key of a customer.
  std::optional<CustomerDirectory> customers;

  // Returns the route of that host with the longest prefix of the path; nullptr if there is none.
  // Ignores the port of `host` and the query of `target`. Thread-safe.
  const Route* FindRoute(std::string_view host, std::string_view target) const;

  // Returns nullptr if there is no such service. Thread-safe.
  const RoutedService* FindService(const std::string& name) const;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_CONFIG_H_
