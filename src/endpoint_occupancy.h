#ifndef MIMOSABEND_ENDPOINT_OCCUPANCY_H_
#define MIMOSABEND_ENDPOINT_OCCUPANCY_H_

#include <boost/asio/any_io_executor.hpp>
#include <cassert>
#include <cstdint>
#include <map>
#include <string>

#include "notifier.h"

namespace mimosabend {

// Which endpoints run requests of this daemon, and the one that is kept for a suspect. Not
// thread-safe.
class EndpointOccupancy {
 public:
  explicit EndpointOccupancy(boost::asio::any_io_executor executor)
      : changed_(std::move(executor)) {}

  void Start(const std::string& endpoint) { ++running_[endpoint]; }

  // Precondition: Start was called for the request.
  void End(const std::string& endpoint) {
    const auto it = running_.find(endpoint);
    assert(it != running_.end());
    if (--it->second == 0) running_.erase(it);
    changed_.NotifyAll();
  }

  bool IsIdle(const std::string& endpoint) const { return !running_.contains(endpoint); }

  // The endpoint that takes no other request; empty if there is none.
  const std::string& isolated() const { return isolated_; }

  // Wakes at every end of a request and of a suspect.
  Notifier& changed() { return changed_; }

 private:
  friend class SuspectLane;

  std::map<std::string, std::uint32_t> running_;
  std::string isolated_;
  bool suspect_active_ = false;
  Notifier changed_;
};

// Held by the one suspect that this daemon runs at a time. Not thread-safe.
class SuspectLane {
 public:
  static bool IsFree(const EndpointOccupancy& occupancy) { return !occupancy.suspect_active_; }

  // Precondition: the lane is free.
  explicit SuspectLane(EndpointOccupancy* occupancy) : occupancy_(occupancy) {
    assert(IsFree(*occupancy));
    occupancy_->suspect_active_ = true;
  }
  SuspectLane(const SuspectLane&) = delete;
  SuspectLane& operator=(const SuspectLane&) = delete;
  ~SuspectLane() {
    occupancy_->suspect_active_ = false;
    occupancy_->isolated_.clear();
    occupancy_->changed_.NotifyAll();
  }

  // Keeps other requests of this daemon away from an endpoint while the lane is held.
  void Isolate(const std::string& endpoint) { occupancy_->isolated_ = endpoint; }

 private:
  EndpointOccupancy* occupancy_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENDPOINT_OCCUPANCY_H_
