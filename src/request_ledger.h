#ifndef MIMOSABEND_REQUEST_LEDGER_H_
#define MIMOSABEND_REQUEST_LEDGER_H_

#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "digest.h"
#include "environment.h"
#include "event_loop.h"
#include "kv_store.h"
#include "metrics.h"
#include "notifier.h"
#include "request_record.h"
#include "supervisor.h"

namespace mimosabend {

// Deduplicates non-idempotent requests by their idempotency keys, across all daemons. The records
// are stored in the key-value service, many records per value (slot). Any daemon may write any
// slot; compare-and-swap alone ensures consistency. Changes that arrive while a write of the same
// slot is in flight are batched into the next one. Not thread-safe.
template <KvStore Kv>
class RequestLedger {
 public:
  // `clock` is read after each write of a reservation.
  // Precondition: `kv` and `metrics` outlive this object and all of its calls.
  RequestLedger(boost::asio::any_io_executor executor, std::string key_prefix, Kv* kv,
                Metrics* metrics, std::function<WallTime()> clock = WallNow)
      : executor_(std::move(executor)),
        key_prefix_(std::move(key_prefix)),
        kv_(kv),
        metrics_(metrics),
        clock_(std::move(clock)) {}

  // Reserves the key of a request. The request may be sent only if the status is kReserved, and at
  // most one caller across all daemons gets kReserved until the key is released. A reservation
  // older than `timeout` that was not finished has an unknown outcome.
  Task<Reservation> Reserve(Service service, std::string key, std::uint64_t fingerprint,
                            milliseconds timeout, WallTime now) {
    Reservation reservation;
    reservation.status = CheckKeyAge(service, key, now);
    if (reservation.status != ReserveStatus::kReserved) co_return reservation;
    reservation.slot_key = key_prefix_ + "req/" + SlotName(service, key);
    reservation.nonce = RandomId();
    auto pending = std::make_shared<PendingChange>();
    RequestRecord record;
    record.key = key;
    record.fingerprint = fingerprint;
    record.nonce = reservation.nonce;
    record.deadline_ms = ToUnixMillis(now + timeout);
    pending->apply = [record, now](RecordSlot* slot) { return ReserveInSlot(record, now, slot); };
    co_await Submit(reservation.slot_key, pending);
    reservation.status =
        pending->written ? pending->outcome.status : ReserveStatus::kServiceUnavailable;
    reservation.record = pending->outcome.record;
    // If this daemon was paused beyond the record window, the slot may have been deleted, together
    // with the record of an earlier run, and created again by this write. If the key is still
    // within the window after the write, the slot can't have been deleted before it.
    if (reservation.status == ReserveStatus::kReserved) {
      reservation.status = CheckKeyAge(service, key, clock_());
    }
    if (!pending->written && pending->maybe_stored) {
      SpawnDetached(executor_, "release of a reservation", Release(reservation));
    }
    co_return reservation;
  }

  // Stores the result of a reserved request; kReleased frees the key. Bodies above
  // kMaxRecordedBodyBytes are not stored. Returns false if the result could not be written; the
  // record then remains reserved, and retries get kOutcomeUnknown after its deadline.
  // Precondition: the status of `reservation` is kReserved.
  Task<bool> Finish(Reservation reservation, RecordState state, std::int32_t status,
                    std::string content_type, std::string body) {
    assert(reservation.status == ReserveStatus::kReserved);
    auto pending = std::make_shared<PendingChange>();
    RequestRecord result;
    result.nonce = reservation.nonce;
    result.state = state;
    result.status = status;
    result.content_type = std::move(content_type);
    if (body.size() <= kMaxRecordedBodyBytes) result.body = std::move(body);
    pending->apply = [result](RecordSlot* slot) { return FinishInSlot(result, slot); };
    co_await Submit(reservation.slot_key, pending);
    co_return pending->written;
  }

 private:
  static constexpr int kMaxAttempts = 8;
  static constexpr milliseconds kRetryDelay{20};
  // No write attempt starts later than this, so that requests are refused instead of delayed when
  // the key-value service is slow.
  static constexpr milliseconds kMaxWriteTime{2000};
  static constexpr int kMaxReleaseAttempts = 3;
  static constexpr milliseconds kReleaseDelay{250};
  // Limit of the slot cache; a slot takes up to 1 MB. The least recently used slot is evicted.
  static constexpr std::size_t kMaxCachedSlots = 32;

  // A queued change of a slot. `apply` may be called several times.
  struct PendingChange {
    std::function<SlotChange(RecordSlot*)> apply;
    SlotChange outcome;
    bool written = false;
    // True if the response to a write was lost, so that the change may be stored.
    bool maybe_stored = false;
    bool done = false;
  };

  // A cached slot and the queue of its changes. One coroutine writes a slot at a time.
  struct SlotWriter {
    explicit SlotWriter(const boost::asio::any_io_executor& executor) : finished(executor) {}
    std::vector<std::shared_ptr<PendingChange>> queue;
    Notifier finished;
    bool running = false;
    // True if `slot` and `version` hold the stored value as this daemon saw it last.
    bool cached = false;
    // Value of the usage counter when the slot was used last.
    std::uint64_t last_use = 0;
    std::uint64_t version = 0;
    RecordSlot slot;
  };

  // Releases a reservation that may be stored although the request was refused. Otherwise retries
  // would be told that the outcome is unknown, and the request could never run.
  Task<void> Release(Reservation reservation) {
    reservation.status = ReserveStatus::kReserved;
    milliseconds delay = kReleaseDelay;
    for (int attempt = 0; attempt < kMaxReleaseAttempts; ++attempt) {
      co_await Sleep(delay);
      const bool written = co_await Finish(reservation, RecordState::kReleased, 0, "", "");
      if (written) co_return;
      delay *= 2;
    }
  }

  Task<void> Submit(std::string slot_key, std::shared_ptr<PendingChange> pending) {
    std::shared_ptr<SlotWriter>& slot_writer = writers_[slot_key];
    if (slot_writer == nullptr) slot_writer = std::make_shared<SlotWriter>(executor_);
    const std::shared_ptr<SlotWriter> writer = slot_writer;
    writer->queue.push_back(pending);
    writer->last_use = ++usage_counter_;
    if (!writer->running) {
      writer->running = true;
      SpawnDetached(executor_, "write of the ledger", Write(slot_key, writer));
    }
    while (!pending->done) co_await writer->finished.WaitUntil(MonotonicTime::max());
  }

  // Writes the queued changes of a slot in batches until the queue is empty.
  Task<void> Write(std::string slot_key, std::shared_ptr<SlotWriter> writer) {
    while (!writer->queue.empty()) {
      std::vector<std::shared_ptr<PendingChange>> batch;
      batch.swap(writer->queue);
      co_await WriteBatch(slot_key, writer.get(), batch);
      for (const auto& pending : batch) pending->done = true;
      writer->finished.NotifyAll();
    }
    writer->running = false;
    if (writers_.size() > kMaxCachedSlots) EvictLeastRecentlyUsed();
  }

  void EvictLeastRecentlyUsed() {
    auto oldest = writers_.end();
    for (auto it = writers_.begin(); it != writers_.end(); ++it) {
      if (it->second->running) continue;
      if (oldest == writers_.end() || it->second->last_use < oldest->second->last_use) oldest = it;
    }
    if (oldest != writers_.end()) writers_.erase(oldest);
  }

  Task<void> WriteBatch(std::string slot_key, SlotWriter* writer,
                        const std::vector<std::shared_ptr<PendingChange>>& batch) {
    const MonotonicTime start = MonotonicNow();
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (MonotonicNow() - start > kMaxWriteTime) co_return;
      const bool was_cached = writer->cached;
      if (!was_cached) {
        const auto read = co_await ReadSlot(slot_key, writer);
        if (!read && read.error() != KvError::kOutcomeUnknown) co_return;
        if (!read) {
          co_await Sleep(kRetryDelay * attempt);
          continue;
        }
      }
      RecordSlot next = writer->slot;
      bool changed = false;
      for (const auto& pending : batch) {
        pending->outcome = pending->apply(&next);
        changed |= pending->outcome.changed;
      }
      if (!changed && was_cached) {
        // The cached value may be stale, and without a write that would go unnoticed.
        writer->cached = false;
        continue;
      }
      if (!changed) {
        for (const auto& pending : batch) pending->written = true;
        co_return;
      }
      auto swap = co_await kv_->CompareAndSwap(slot_key, Encode(next), writer->version);
      metrics_->record_writes_total->Increment();
      if (swap && swap.value().swapped) {
        writer->slot = std::move(next);
        writer->version = swap.value().version;
        for (const auto& pending : batch) pending->written = true;
        co_return;
      }
      // Another daemon wrote the slot, or the response was lost: the next attempt reads it again.
      writer->cached = false;
      if (!swap && swap.error() != KvError::kOutcomeUnknown) co_return;
      for (const auto& pending : batch) pending->maybe_stored |= !swap;
      co_await Sleep(kRetryDelay * attempt);
    }
  }

  Task<Result<void, KvError>> ReadSlot(std::string slot_key, SlotWriter* writer) {
    auto entry = co_await kv_->Read(slot_key);
    if (!entry) co_return outcome::failure(entry.error());
    RecordSlot slot;
    if (entry.value().exists()) {
      std::optional<RecordSlot> stored = Decode<RecordSlot>(entry.value().value);
      if (!stored) co_return outcome::failure(KvError::kBadAnswer);
      slot = std::move(*stored);
    }
    writer->slot = std::move(slot);
    writer->version = entry.value().version;
    writer->cached = true;
    co_return outcome::success();
  }

  boost::asio::any_io_executor executor_;
  std::string key_prefix_;
  Kv* kv_;
  Metrics* metrics_;
  std::function<WallTime()> clock_;
  std::map<std::string, std::shared_ptr<SlotWriter>> writers_;
  std::uint64_t usage_counter_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_LEDGER_H_
