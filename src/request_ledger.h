#ifndef MIMOSABEND_REQUEST_LEDGER_H_
#define MIMOSABEND_REQUEST_LEDGER_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "digest.h"
#include "environment.h"
#include "kv_store.h"
#include "metrics.h"
#include "notifier.h"
#include "request_record.h"
#include "supervisor.h"

namespace mimosabend {

// Records of requests that must not run twice, in values of the key-value service that many
// requests share. Compare-and-swap alone keeps them right: any daemon may write any slot. What
// waits while a write is under way goes along with the next one. Not thread-safe.
template <KvStore Kv>
class RequestLedger {
 public:
  // `clock` tells the time after a write. Precondition: `kv` and `metrics` outlive this object and
  // all of its calls.
  RequestLedger(boost::asio::any_io_executor executor, std::string key_prefix, Kv* kv,
                Metrics* metrics, std::function<WallTime()> clock = WallNow)
      : executor_(std::move(executor)),
        key_prefix_(std::move(key_prefix)),
        kv_(kv),
        metrics_(metrics),
        clock_(std::move(clock)) {}

  // Enters a request unless its key is known. Only kReserved allows the request to be sent, and
  // only to this caller of Reserve.
  Task<Reservation> Reserve(Service service, std::string key, std::uint64_t fingerprint,
                            milliseconds timeout, WallTime now) {
    Reservation reservation;
    reservation.status = CheckKeyAge(service, key, now);
    if (reservation.status != ReserveStatus::kReserved) co_return reservation;
    reservation.slot = key_prefix_ + "req/" + SlotName(service, key);
    reservation.nonce = RandomId();
    auto pending = std::make_shared<Pending>();
    RequestRecord record;
    record.key = key;
    record.fingerprint = fingerprint;
    record.nonce = reservation.nonce;
    record.deadline_ms = ToUnixMillis(now + timeout);
    pending->apply = [record, now](RecordSlot* slot) { return ReserveInSlot(record, now, slot); };
    co_await Submit(reservation.slot, pending);
    reservation.status =
        pending->written ? pending->outcome.status : ReserveStatus::kServiceUnavailable;
    reservation.record = pending->outcome.record;
    // A writer that was paused beyond the window may have created the slot again after it was
    // deleted, together with the record of an earlier run. A key that is still within its window
    // after the write proves that the slot had not been deleted before it.
    if (reservation.status == ReserveStatus::kReserved) {
      reservation.status = CheckKeyAge(service, key, clock_());
    }
    if (!pending->written && pending->maybe_stored) {
      boost::asio::co_spawn(executor_, Release(reservation), boost::asio::detached);
    }
    co_return reservation;
  }

  // Enters how a reserved request ended. False if that could not be written; the record then
  // stays reserved and its outcome is unknown to repeats.
  Task<bool> Finish(Reservation reservation, RecordState state, std::int32_t status,
                    std::string content_type, std::string body) {
    assert(reservation.status == ReserveStatus::kReserved);
    auto pending = std::make_shared<Pending>();
    RequestRecord result;
    result.nonce = reservation.nonce;
    result.state = state;
    result.status = status;
    result.content_type = std::move(content_type);
    if (body.size() <= kMaxRecordedBody) result.body = std::move(body);
    pending->apply = [result](RecordSlot* slot) { return FinishInSlot(result, slot); };
    co_await Submit(reservation.slot, pending);
    co_return pending->written;
  }

 private:
  static constexpr int kMaxAttempts = 8;
  static constexpr milliseconds kRetryDelay{20};
  // No attempt starts later than this, so that a slow service leads to a refusal, not to a wait.
  static constexpr milliseconds kAttemptsTime{2000};
  static constexpr int kMaxReleaseAttempts = 3;
  static constexpr milliseconds kReleaseDelay{250};
  // Slots that are kept in memory, up to 1 MB each. The longest unused one is dropped and read
  // again when needed.
  static constexpr std::size_t kMaxCachedSlots = 32;

  // A change that waits to be written. `apply` may run several times.
  struct Pending {
    std::function<SlotChange(RecordSlot*)> apply;
    SlotChange outcome;
    bool written = false;
    // A write whose answer was lost may have stored it.
    bool maybe_stored = false;
    bool done = false;
  };

  struct SlotWriter {
    explicit SlotWriter(const boost::asio::any_io_executor& executor) : finished(executor) {}
    std::vector<std::shared_ptr<Pending>> waiting;
    Notifier finished;
    bool running = false;
    bool known = false;
    std::uint64_t last_use = 0;
    std::uint64_t version = 0;
    RecordSlot slot;
  };

  // Frees the key of a request that was refused while its reservation may be stored. Otherwise the
  // caller could never run it, and would be told that its outcome is unknown.
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

  Task<void> Submit(std::string slot_key, std::shared_ptr<Pending> pending) {
    std::shared_ptr<SlotWriter>& found = writers_[slot_key];
    if (found == nullptr) found = std::make_shared<SlotWriter>(executor_);
    const std::shared_ptr<SlotWriter> writer = found;
    writer->waiting.push_back(pending);
    writer->last_use = ++uses_;
    if (!writer->running) {
      writer->running = true;
      boost::asio::co_spawn(executor_, Write(slot_key, writer), boost::asio::detached);
    }
    while (!pending->done) co_await writer->finished.WaitUntil(MonotonicTime::max());
  }

  // Writes batches until nothing waits.
  Task<void> Write(std::string slot_key, std::shared_ptr<SlotWriter> writer) {
    while (!writer->waiting.empty()) {
      std::vector<std::shared_ptr<Pending>> batch;
      batch.swap(writer->waiting);
      co_await WriteBatch(slot_key, writer.get(), batch);
      for (const auto& pending : batch) pending->done = true;
      writer->finished.NotifyAll();
    }
    writer->running = false;
    if (writers_.size() > kMaxCachedSlots) DropLongestUnused();
  }

  void DropLongestUnused() {
    auto oldest = writers_.end();
    for (auto it = writers_.begin(); it != writers_.end(); ++it) {
      if (it->second->running) continue;
      if (oldest == writers_.end() || it->second->last_use < oldest->second->last_use) oldest = it;
    }
    if (oldest != writers_.end()) writers_.erase(oldest);
  }

  Task<void> WriteBatch(std::string slot_key, SlotWriter* writer,
                        const std::vector<std::shared_ptr<Pending>>& batch) {
    const MonotonicTime start = MonotonicNow();
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (MonotonicNow() - start > kAttemptsTime) co_return;
      const bool cached = writer->known;
      if (!cached) {
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
      if (!changed && cached) {
        // The cached value may be old, and no write would reveal it.
        writer->known = false;
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
      // Lost to another writer, or the answer was lost: the next attempt reads the value back.
      writer->known = false;
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
    writer->known = true;
    co_return outcome::success();
  }

  boost::asio::any_io_executor executor_;
  std::string key_prefix_;
  Kv* kv_;
  Metrics* metrics_;
  std::function<WallTime()> clock_;
  std::map<std::string, std::shared_ptr<SlotWriter>> writers_;
  std::uint64_t uses_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_LEDGER_H_
