#ifndef MIMOSABEND_ADMISSION_GATE_H_
#define MIMOSABEND_ADMISSION_GATE_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission.h"
#include "metrics.h"
#include "result.h"
#include "timer.h"

namespace mimosabend {

class AdmissionGate;

// Permission to run one request; the destructor releases its slot. Not thread-safe.
class AdmissionPermit {
 public:
  AdmissionPermit(AdmissionGate* gate, AdmissionTicket ticket) : gate_(gate), ticket_(ticket) {}
  AdmissionPermit(AdmissionPermit&& other) noexcept : gate_(other.gate_), ticket_(other.ticket_) {
    other.gate_ = nullptr;
  }
  AdmissionPermit& operator=(AdmissionPermit&&) = delete;
  ~AdmissionPermit();

  void RecordFirstToken(MonotonicTime now);

 private:
  AdmissionGate* gate_;
  AdmissionTicket ticket_;
};

// Why a request may not run. After kCallerGone nobody waits for a response.
enum class AdmissionFailureKind : std::uint8_t { kRefused, kCallerGone };

struct AdmissionFailure {
  AdmissionFailureKind kind = AdmissionFailureKind::kRefused;
  AdmissionRefusal reason = AdmissionRefusal::kQueueFull;
};

// Lets coroutines wait for the decisions of admission control. Not thread-safe.
class AdmissionGate {
 public:
  // Precondition: `metrics` outlives this object, and this object outlives its permits.
  AdmissionGate(boost::asio::any_io_executor executor, Metrics* metrics,
                AdmissionLimits limits = {})
      : executor_(std::move(executor)), metrics_(metrics), admission_(limits) {}

  // Waits until the request may run or is rejected. `caller_gone` is polled while it waits; once it
  // returns true, the request is withdrawn.
  Task<Result<AdmissionPermit, AdmissionFailure>> Enter(AdmissionRequest request,
                                                        std::vector<EndpointShare> endpoints,
                                                        std::function<bool()> caller_gone);

  void SetFloors(const std::array<double, kRankCount>& floors) { admission_.SetFloors(floors); }
  const AdmissionController& admission() const { return admission_; }

 private:
  friend class AdmissionPermit;

  struct Waiter {
    Timer timer;
    std::optional<AdmissionDecision> decision;
  };

  void Apply(const AdmissionDecisions& decisions);
  void End(AdmissionTicket ticket);

  boost::asio::any_io_executor executor_;
  Metrics* metrics_;
  AdmissionController admission_;
  std::map<AdmissionTicket, Waiter*> waiters_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ADMISSION_GATE_H_
