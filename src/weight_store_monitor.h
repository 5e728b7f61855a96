#ifndef MIMOSABEND_WEIGHT_STORE_MONITOR_H_
#define MIMOSABEND_WEIGHT_STORE_MONITOR_H_

#include "clock.h"
#include "placement.h"
#include "supervisor.h"
#include "weight_store.h"

namespace mimosabend {

// Polls the status of the weight store while it is in use. Not thread-safe.
template <WeightStore Store>
class WeightStoreMonitor {
 public:
  // Precondition: `store` outlives this object.
  explicit WeightStoreMonitor(Store* store) : store_(store) {}

  // Returns the last status; not `known` if it is older than kMaxAge. `in_use` keeps the polling
  // going for the next kPollTime.
  StoreLoad Load(bool in_use, MonotonicTime now) {
    if (in_use) poll_until_ = now + kPollTime;
    StoreLoad load;
    load.known = known_ && now - read_at_ < kMaxAge;
    if (!load.known) return load;
    load.model_loads = status_.model_loads + status_.queued;
    load.adapter_loads = status_.adapter_loads;
    return load;
  }

  // Polls forever.
  Task<void> Run() {
    for (;;) {
      if (MonotonicNow() < poll_until_) {
        const MonotonicTime start = MonotonicNow();
        auto status = co_await store_->Status();
        known_ = static_cast<bool>(status);
        if (known_) {
          status_ = status.value();
          read_at_ = start;
        }
      }
      co_await Sleep(kPollPeriod);
    }
  }

 private:
  static constexpr milliseconds kPollPeriod{100};
  // An older status says nothing about the loads in progress.
  static constexpr milliseconds kMaxAge{1000};
  static constexpr milliseconds kPollTime{2000};

  Store* store_;
  WeightStoreStatus status_;
  MonotonicTime read_at_;
  MonotonicTime poll_until_;
  bool known_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_WEIGHT_STORE_MONITOR_H_
