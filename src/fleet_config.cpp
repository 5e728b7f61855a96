#include "fleet_config.h"

#include <boost/beast/core/string.hpp>

namespace mimosabend {

namespace {

// Strips the port.
std::string_view HostName(std::string_view host) { return host.substr(0, host.rfind(':')); }

}  // namespace

const Route* FleetConfig::FindRoute(std::string_view host, std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (!path.starts_with(route.prefix)) continue;
    if (!boost::beast::iequals(route.host, HostName(host))) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size()) best = &route;
  }
  return best;
}

const RoutedService* FleetConfig::FindService(const std::string& name) const {
  const auto it = services.find(name);
  return it == services.end() ? nullptr : &it->second;
}

}  // namespace mimosabend
