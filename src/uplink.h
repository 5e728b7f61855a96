#ifndef MIMOSABEND_UPLINK_H_
#define MIMOSABEND_UPLINK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "relay_plan.h"

namespace mimosabend {

// Chooses the daemon that receives this one's reports: the relays of its failure domain in their
// order, then the leader, then the relays of other domains. Not thread-safe.
class Uplink {
 public:
  Uplink(Address self, std::string failure_domain)
      : self_(std::move(self)), failure_domain_(std::move(failure_domain)) {}

  // Sets the relay plan and the leader. If either has changed, the first choice is tried again.
  void Update(const RelayPlan& plan, const std::optional<Address>& leader);

  // Receiver of the next report; std::nullopt if all choices have failed or there is none.
  std::optional<Address> Next(MonotonicTime now);

  // The last report was answered.
  void RecordSuccess() { failures_ = 0; }
  // The last report was not answered, or its receiver has not heard of the leader for too long.
  void RecordFailure(MonotonicTime now);

  // All relays except this daemon, in an order that differs from daemon to daemon.
  std::vector<Address> Relays() const;

  bool is_relay() const { return is_relay_; }

 private:
  Address self_;
  std::string failure_domain_;
  std::uint64_t plan_version_ = 0;
  std::optional<Address> leader_;
  std::vector<Address> choices_;
  std::vector<Address> relays_;
  std::size_t choice_ = 0;
  MonotonicTime switched_at_;
  int failures_ = 0;
  bool is_relay_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_UPLINK_H_
