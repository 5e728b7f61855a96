#ifndef MIMOSABEND_HOST_CACHE_H_
#define MIMOSABEND_HOST_CACHE_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "host_list.h"
#include "supervisor.h"

namespace mimosabend {

// Caches the last host list that was read successfully. Not thread-safe.
template <HostList List>
class HostCache {
 public:
  // Precondition: `list` outlives this object.
  HostCache(List* list, std::string region) : list_(list), region_(std::move(region)) {}

  // Reads the list periodically. Never returns. After a failed read the previous list is kept.
  Task<void> Run() {
    for (;;) {
      auto hosts = co_await list_->Hosts();
      if (hosts) {
        hosts_ = std::move(hosts).value();
        known_ = true;
        states_.clear();
        for (const Host& host : hosts_) states_[host.id] = host.state;
      }
      co_await Sleep(kReadPeriod);
    }
  }

  // True once the list has been read.
  bool known() const { return known_; }

  const std::vector<Host>& hosts() const { return hosts_; }

  // False if the list has the host in a state other than live. Hosts that are not listed may serve.
  bool MayServe(const std::string& id) const {
    const auto it = states_.find(id);
    return it == states_.end() || it->second == HostState::kLive;
  }

  // Live hosts of a service, those of this region first. Each call rotates the order to spread
  // load.
  std::vector<Host> ServiceHosts(const std::string& service) {
    std::vector<Host> found;
    for (const Host& host : hosts_) {
      const bool serves = host.role == HostRole::kService && host.serves == service;
      if (serves && host.state == HostState::kLive) found.push_back(host);
    }
    if (!found.empty()) {
      std::rotate(found.begin(), found.begin() + (rotation_++ % found.size()), found.end());
    }
    std::stable_partition(found.begin(), found.end(),
                          [&](const Host& host) { return host.region == region_; });
    return found;
  }

 private:
  static constexpr milliseconds kReadPeriod{1000};

  List* list_;
  std::string region_;
  std::vector<Host> hosts_;
  std::map<std::string, HostState> states_;
  std::size_t rotation_ = 0;
  bool known_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HOST_CACHE_H_
