#ifndef MIMOSABEND_HOST_CACHE_H_
#define MIMOSABEND_HOST_CACHE_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "host_list.h"
#include "supervisor.h"

namespace mimosabend {

// The last host list that could be read. Not thread-safe.
template <HostList List>
class HostCache {
 public:
  // Precondition: `list` outlives this object.
  HostCache(List* list, std::string region) : list_(list), region_(std::move(region)) {}

  // Reads the list again and again.
  Task<void> Run() {
    for (;;) {
      auto hosts = co_await list_->Hosts();
      if (hosts) {
        hosts_ = std::move(hosts).value();
        known_ = true;
        states_.clear();
        for (const Host& host : hosts_) states_[host.id] = host.state;
      }
      co_await Sleep(kPeriod);
    }
  }

  // True once the list was read.
  bool known() const { return known_; }

  const std::vector<Host>& hosts() const { return hosts_; }

  // False for hosts that are leaving. Hosts that are not listed yet may serve.
  bool MayServe(const std::string& id) const {
    const auto it = states_.find(id);
    return it == states_.end() || it->second == HostState::kLive;
  }

  // Live hosts of a service, those of this region first, each time in another order.
  std::vector<Host> ServiceHosts(const std::string& service) {
    std::vector<Host> found;
    for (const Host& host : hosts_) {
      const bool serves = host.role == HostRole::kService && host.serves == service;
      if (serves && host.state == HostState::kLive) found.push_back(host);
    }
    if (!found.empty()) {
      std::rotate(found.begin(), found.begin() + (next_++ % found.size()), found.end());
    }
    std::stable_partition(found.begin(), found.end(),
                          [&](const Host& host) { return host.region == region_; });
    return found;
  }

 private:
  static constexpr milliseconds kPeriod{1000};

  List* list_;
  std::string region_;
  std::vector<Host> hosts_;
  std::map<std::string, HostState> states_;
  std::size_t next_ = 0;
  bool known_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HOST_CACHE_H_
