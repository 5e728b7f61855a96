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

// What may be repeated. A stream may be repeated only where its route is resumable.
enum class RouteKind : std::uint8_t { kIdempotent, kNonIdempotent, kStreaming };
inline constexpr NameTable<RouteKind, 3> kRouteKindNames{
    {"idempotent", "non_idempotent", "streaming"}};

// A service that takes a share of a route's requests.
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
  // Longest time that a request may take.
  milliseconds timeout{0};
  // Time to the answer, or to the first event of a stream.
  milliseconds target_latency{0};
  // Longest pause between two events of a stream that is still on time.
  milliseconds target_event_gap{0};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Endpoints to which one request may be sent.
  std::uint32_t max_attempts = 1;
  bool resumable = false;
  // Requests need no key.
  bool is_public = false;
  std::vector<RouteTarget> targets;

  // Whether a request of the route may run more than once.
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

// The model engines of a service.
struct EngineProfile {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;
  // Memory for weights and adapters together.
  double weights_mb = 0;
  std::uint32_t adapter_slots = 0;
  // Loads from the weight store over all endpoints.
  double loads_per_second = 0;
  std::map<std::string, ModelProfile> models;
};

struct RoutedService {
  std::string health_path;
  // Connections that one endpoint accepts from all daemons together.
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
  // Set if requests need the key of a customer.
  std::optional<CustomerDirectory> customers;

  // The route of that host with the longest prefix of the path; nullptr if there is none. The
  // query of `target` is not looked at. Thread-safe.
  const Route* FindRoute(std::string_view host, std::string_view target) const;

  // nullptr if there is none. Thread-safe.
  const RoutedService* FindService(const std::string& name) const;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_CONFIG_H_
