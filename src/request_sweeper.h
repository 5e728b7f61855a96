#ifndef MIMOSABEND_REQUEST_SWEEPER_H_
#define MIMOSABEND_REQUEST_SWEEPER_H_

#include <functional>
#include <memory>
#include <string>

#include "codec.h"
#include "environment.h"
#include "kv_store.h"
#include "metrics.h"
#include "request_record.h"
#include "supervisor.h"

namespace mimosabend {

// The next slot of a service to delete, and the slot layout that the position refers to. Stored in
// the key-value service.
struct SweepCursor {
  std::int64_t slot_length_ms = 0;
  std::uint32_t ranges = 0;
  std::int64_t slot = 0;
  std::uint32_t range = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(slot_length_ms, ranges, slot, range);
  }
};

// Deletes the slots of request records that are past the record window and kSlotGrace. Any number
// of daemons may sweep concurrently: a slot is deleted only if it still has the version that was
// read, and the cursor is shared through the key-value service. A pause of the sweeper does no
// harm, since an expired slot stays expired. Not thread-safe.
template <KvStore Kv>
class RequestSweeper {
 public:
  // Limit of calls to the key-value service per pass and service. With one pass per minute this is
  // at most 6000 calls per hour, enough for 50 slots that expire per minute; the default layout has
  // 4.
  static constexpr int kMaxCallsPerPass = 100;

  // `is_preferred` tells whether this daemon should sweep. It only saves calls; correctness does
  // not depend on it.
  // Precondition: `kv` and `metrics` outlive this object.
  RequestSweeper(std::string key_prefix, Kv* kv,
                 std::function<std::shared_ptr<const Environment>()> environment,
                 std::function<bool()> is_preferred, Metrics* metrics)
      : key_prefix_(std::move(key_prefix)),
        kv_(kv),
        environment_(std::move(environment)),
        is_preferred_(std::move(is_preferred)),
        metrics_(metrics) {}

  // Runs forever: sweeps all non-idempotent services periodically.
  Task<void> Run() {
    for (;;) {
      co_await Sleep(kPeriod);
      if (!is_preferred_()) continue;
      const std::shared_ptr<const Environment> environment = environment_();
      for (const auto& [name, service] : environment->services) {
        if (!service.repeatable) co_await Sweep(service, WallNow());
      }
    }
  }

  // Makes one pass over the slots of a service that have expired at `now`.
  Task<void> Sweep(Service service, WallTime now) {
    const std::string cursor_key = key_prefix_ + "sweep/" + service.name;
    const std::int64_t first_kept = FirstKeptSlot(service, now);
    auto stored = co_await kv_->Read(cursor_key);
    if (!stored) co_return;
    SweepCursor cursor = InitialCursor(service, stored.value(), first_kept);
    int calls = 2;  // Reading and writing the cursor.
    int failures = 0;
    bool advanced = false;
    while (cursor.slot < first_kept && calls + 2 <= kMaxCallsPerPass &&
           failures < kMaxFailuresPerPass) {
      const std::string slot = SlotName(service, cursor.range, cursor.slot);
      const bool deleted = co_await DeleteSlot(key_prefix_ + "req/" + slot, &calls);
      if (!deleted) {
        ++failures;
        continue;
      }
      Advance(&cursor);
      advanced = true;
    }
    if (!advanced) co_return;
    // A failed or lost write needs no retry: the next pass reads the cursor again.
    auto ignored = co_await kv_->CompareAndSwap(cursor_key, Encode(cursor), stored.value().version);
    static_cast<void>(ignored);
  }

 private:
  static constexpr seconds kPeriod{60};
  // A pass ends after this many failed deletions.
  static constexpr int kMaxFailuresPerPass = 20;
  // Without a stored cursor, the first pass starts this long before the oldest slot to keep; older
  // slots are assumed not to exist.
  static constexpr milliseconds kFirstBacklog{24 * 3600 * 1000};

  static SweepCursor InitialCursor(const Service& service, const KvEntry& stored,
                                   std::int64_t first_kept) {
    SweepCursor start;
    start.slot_length_ms = milliseconds(service.slot_length).count();
    start.ranges = service.ranges;
    start.slot = first_kept - kFirstBacklog.count() / start.slot_length_ms;
    if (!stored.exists()) return start;
    const std::optional<SweepCursor> cursor = Decode<SweepCursor>(stored.value);
    const bool same_layout =
        cursor && cursor->slot_length_ms == start.slot_length_ms && cursor->ranges == start.ranges;
    return same_layout ? *cursor : start;
  }

  static void Advance(SweepCursor* cursor) {
    if (++cursor->range < cursor->ranges) return;
    cursor->range = 0;
    ++cursor->slot;
  }

  // Returns true if the slot is known to be absent afterwards. Adds the calls made to `calls`.
  Task<bool> DeleteSlot(std::string key, int* calls) {
    ++*calls;
    auto entry = co_await kv_->Read(key);
    if (!entry) co_return false;
    if (!entry.value().exists()) co_return true;
    ++*calls;
    auto deleted = co_await kv_->Delete(key, entry.value().version);
    if (!deleted || !deleted.value()) co_return false;
    metrics_->record_slots_deleted_total->Increment();
    co_return true;
  }

  std::string key_prefix_;
  Kv* kv_;
  std::function<std::shared_ptr<const Environment>()> environment_;
  std::function<bool()> is_preferred_;
  Metrics* metrics_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_SWEEPER_H_
