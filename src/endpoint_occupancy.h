#ifndef MIMOSABEND_ENDPOINT_OCCUPANCY_H_
#define MIMOSABEND_ENDPOINT_OCCUPANCY_H_

#include <boost/asio/any_io_executor.hpp>
#include <cassert>
#include <cstdint>
#include <map>
#include <string>

#include "notifier.h"

namespace mimosabend {

// Counts the requests that this daemon runs at each endpoint, and names the endpoint that is
// reserved for a suspect request (see SuspectSlot). Not thread-safe.
class EndpointOccupancy {
 public:
  explicit EndpointOccupancy(boost::asio::any_io_executor executor)
      : changed_(std::move(executor)) {}

  void Start(const std::string& endpoint) { ++running_[endpoint]; }

  // Precondition: Start was called for the request at this endpoint.
  void End(const std::string& endpoint) {
    const auto it = running_.find(endpoint);
    assert(it != running_.end());
    if (--it->second == 0) running_.erase(it);
    changed_.NotifyAll();
  }

  bool IsIdle(const std::string& endpoint) const { return !running_.contains(endpoint); }

  // The endpoint that is reserved for a suspect request; empty if there is none.
  const std::string& isolated() const { return isolated_; }

  // Notified when a request ends and when a SuspectSlot is destroyed.
  Notifier& changed() { return changed_; }

 private:
  friend class SuspectSlot;

  std::map<std::string, std::uint32_t> running_;
  std::string isolated_;
  bool suspect_active_ = false;
  Notifier changed_;
};

// Held while this daemon runs a suspect request. Only one can exist at a time, so suspects run one
// after another. Releases the reserved endpoint on destruction. Not thread-safe.
class SuspectSlot {
 public:
  static bool IsFree(const EndpointOccupancy& occupancy) { return !occupancy.suspect_active_; }

  // Preconditions: IsFree(*occupancy); `occupancy` outlives this object.
  explicit SuspectSlot(EndpointOccupancy* occupancy) : occupancy_(occupancy) {
    assert(IsFree(*occupancy));
    occupancy_->suspect_active_ = true;
  }
  SuspectSlot(const SuspectSlot&) = delete;
  SuspectSlot& operator=(const SuspectSlot&) = delete;
  ~SuspectSlot() {
    occupancy_->suspect_active_ = false;
    occupancy_->isolated_.clear();
    occupancy_->changed_.NotifyAll();
  }

  // Reserves an endpoint: no other request of this daemon is sent to it while this object lives.
  void Isolate(const std::string& endpoint) { occupancy_->isolated_ = endpoint; }

 private:
  EndpointOccupancy* occupancy_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENDPOINT_OCCUPANCY_H_
