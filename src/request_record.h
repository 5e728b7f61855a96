#ifndef MIMOSABEND_REQUEST_RECORD_H_
#define MIMOSABEND_REQUEST_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "clock.h"
#include "codec.h"
#include "environment.h"
#include "kv_store.h"
#include "name_table.h"

namespace mimosabend {

// Longest answer body that is kept for repeats.
inline constexpr std::size_t kMaxRecordedBody = 4096;
// Longest content type that is kept for repeats.
inline constexpr std::size_t kMaxRecordedContentType = 128;

// A reserved request may have run: there is no state between the reservation and the end.
enum class RecordState : std::uint8_t { kReserved, kDone, kReleased, kUnknown };
inline constexpr std::uint8_t kRecordStateCount = 4;
inline constexpr NameTable<RecordState, kRecordStateCount> kRecordStateNames{
    {"reserved", "done", "released", "unknown"}};

// One non-idempotent request.
struct RequestRecord {
  std::string key;
  std::uint64_t fingerprint = 0;
  // Tells the writer of the reservation, whose answer may have been lost, from all others.
  std::uint64_t nonce = 0;
  RecordState state = RecordState::kReserved;
  std::int64_t deadline_ms = 0;
  std::int32_t status = 0;
  std::string content_type;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, key);
    archive(fingerprint, nonce);
    SerializeEnum(archive, state, kRecordStateCount);
    archive(deadline_ms, status);
    SerializeText(archive, content_type);
    SerializeText(archive, body);
  }
};

// The records that share one value: one range of keys within one slot of time.
struct RecordSlot {
  std::vector<RequestRecord> records;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeList(archive, records);
  }
};

enum class ReserveStatus : std::uint8_t {
  kReserved,
  kReplay,
  kInProgress,
  kOutcomeUnknown,
  kKeyReused,
  kKeyMalformed,
  kKeyExpired,
  kSlotFull,
  kServiceUnavailable
};
inline constexpr NameTable<ReserveStatus, 9> kReserveStatusNames{
    {"reserved", "replay", "in_progress", "outcome_unknown", "key_reused", "key_malformed",
     "key_expired", "slot_full", "service_unavailable"}};

struct SlotChange {
  bool changed = false;
  ReserveStatus status = ReserveStatus::kReserved;
  // The record that was found, for replays.
  RequestRecord record;
};

// A reservation and what is needed to end it.
struct Reservation {
  ReserveStatus status = ReserveStatus::kServiceUnavailable;
  std::string slot;
  std::uint64_t nonce = 0;
  RequestRecord record;
};

// Why `after` must not replace `before`; empty if it may. Another layout would look for the records
// of known keys in other slots, and a longer window would accept keys whose slots were deleted:
// both would let a repeat run a second time. Thread-safe.
std::string RecordLayoutConflict(const Environment& before, const Environment& after);

// kReserved if the key is within its window at `now`, else why not. Thread-safe.
ReserveStatus CheckKeyAge(const Service& service, const std::string& key, WallTime now);

// Time that slots are kept beyond the record window. It covers the clocks of hosts, requests that
// are still running, and writers that were paused.
inline constexpr seconds kSlotGrace{3600};

// "service/range/slot". Thread-safe.
std::string SlotName(const Service& service, std::uint64_t range, std::int64_t slot);

// Number of the oldest slot that must still be kept at `now`. Thread-safe.
std::int64_t FirstKeptSlot(const Service& service, WallTime now);

// "service/range/slot" of a key. Precondition: CheckKeyAge has accepted the key. Thread-safe.
std::string SlotName(const Service& service, const std::string& key);

// Size of a slot in the key-value service once every reservation in it has ended without a body.
// Thread-safe.
std::size_t CommittedBytes(const RecordSlot& slot);

// Adds a reservation unless the key is there or its end might not fit the slot any more. Applied
// again to a slot that already holds the same reservation, by its nonce, it succeeds without a
// change. Thread-safe.
SlotChange ReserveInSlot(const RequestRecord& record, WallTime now, RecordSlot* slot);

// Ends the reservation that has the nonce of `result`. The body is left out if it does not fit.
// Thread-safe.
SlotChange FinishInSlot(const RequestRecord& result, RecordSlot* slot);

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_RECORD_H_
