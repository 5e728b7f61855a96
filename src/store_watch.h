#ifndef MIMOSABEND_STORE_WATCH_H_
#define MIMOSABEND_STORE_WATCH_H_

#include "clock.h"
#include "placement.h"
#include "supervisor.h"
#include "weight_store.h"

namespace mimosabend {

// Reads the weight store's status while an owner has use for it. Not thread-safe.
template <WeightStore Store>
class StoreWatch {
 public:
  // Precondition: `store` outlives this object.
  explicit StoreWatch(Store* store) : store_(store) {}

  // The last reading, if it is recent. With `in_use` the status is read again soon.
  StoreLoad Load(bool in_use, MonotonicTime now) {
    if (in_use) used_until_ = now + kUseTime;
    StoreLoad load;
    load.known = known_ && now - read_at_ < kMaxAge;
    if (!load.known) return load;
    load.model_loads = status_.model_loads + status_.queued;
    load.adapter_loads = status_.adapter_loads;
    return load;
  }

  // Reads the status again and again.
  Task<void> Run() {
    for (;;) {
      if (MonotonicNow() < used_until_) {
        const MonotonicTime start = MonotonicNow();
        auto status = co_await store_->Status();
        known_ = static_cast<bool>(status);
        if (known_) {
          status_ = status.value();
          read_at_ = start;
        }
      }
      co_await Sleep(kPeriod);
    }
  }

 private:
  static constexpr milliseconds kPeriod{100};
  // An older reading says nothing about the loads under way.
  static constexpr milliseconds kMaxAge{1000};
  static constexpr milliseconds kUseTime{2000};

  Store* store_;
  WeightStoreStatus status_;
  MonotonicTime read_at_;
  MonotonicTime used_until_;
  bool known_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_STORE_WATCH_H_
