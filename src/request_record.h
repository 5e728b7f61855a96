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

// Response bodies up to this size are stored for replay.
inline constexpr std::size_t kMaxRecordedBodyBytes = 4096;
// Content types up to this size are stored for replay.
inline constexpr std::size_t kMaxRecordedContentTypeBytes = 128;

// kReserved: not finished; the request may have run already, since no state is stored between the
// reservation and the end. kDone: a response was received. kReleased: the request was not run,
// and the key may be reserved again. kUnknown: it is not known whether the request ran.
enum class RecordState : std::uint8_t { kReserved, kDone, kReleased, kUnknown };
inline constexpr std::uint8_t kRecordStateCount = 4;
inline constexpr NameTable<RecordState, kRecordStateCount> kRecordStateNames{
    {"reserved", "done", "released", "unknown"}};

// Stored state of one non-idempotent request.
struct RequestRecord {
  // Value of the Idempotency-Key header.
  std::string key;
  // Hash of the caller and the request, to detect a key that is reused for another request.
  std::uint64_t fingerprint = 0;
  // Identifies the attempt that wrote the reservation, so that a writer whose response was lost
  // recognizes its own record.
  std::uint64_t nonce = 0;
  RecordState state = RecordState::kReserved;
  // After this time, a record that is still kReserved has an unknown outcome.
  std::int64_t deadline_ms = 0;
  // HTTP status, content type and body of the response, for replay.
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

// The records in one value of the key-value service: one hash range of the keys whose creation time
// lies in one time slot.
struct RecordSlot {
  std::vector<RequestRecord> records;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeList(archive, records);
  }
};

// Result of a reservation. Only kReserved permits the request to be sent. kReplay: it was executed
// already, and its stored response is to be sent. kInProgress, kOutcomeUnknown: it was sent before
// and is not finished, or it is not known whether it was executed. kKeyReused: the key belongs to
// another request. kServiceUnavailable: the reservation could not be stored.
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

// Result of a change to a RecordSlot in memory.
struct SlotChange {
  // False if the slot needs no write.
  bool changed = false;
  ReserveStatus status = ReserveStatus::kReserved;
  // The record of the request; holds the response to send if the status is kReplay.
  RequestRecord record;
};

// Result of RequestLedger::Reserve. Identifies the reservation to RequestLedger::Finish.
struct Reservation {
  ReserveStatus status = ReserveStatus::kServiceUnavailable;
  // Key of the slot in the key-value service.
  std::string slot_key;
  std::uint64_t nonce = 0;
  RequestRecord record;
};

// Returns why `after` must not replace `before`, or an empty string if it may. A changed layout
// would look up the records of known keys in other slots, and a longer window would accept keys
// whose slots are already deleted. Both would let a retried request run twice. Thread-safe.
std::string RecordLayoutConflict(const Environment& before, const Environment& after);

// Returns kReserved if `key` is a UUIDv7 created within the record window before `now`, or up to 5
// minutes later for clocks that are ahead; otherwise kKeyMalformed or kKeyExpired. Thread-safe.
ReserveStatus CheckKeyAge(const Service& service, const std::string& key, WallTime now);

// Slots are kept for this long beyond the record window. Covers clock skew between hosts, requests
// that are still in flight, and paused writers.
inline constexpr seconds kSlotGrace{3600};

// Returns "service/range/slot". Thread-safe.
std::string SlotName(const Service& service, std::uint64_t range, std::int64_t slot);

// Number of the oldest slot that must still be kept at `now`. Thread-safe.
std::int64_t FirstKeptSlot(const Service& service, WallTime now);

// Returns "service/range/slot" for a key. Precondition: CheckKeyAge accepted the key. Thread-safe.
std::string SlotName(const Service& service, const std::string& key);

// Upper bound of the encoded size of a slot in bytes after all unfinished requests in it finish
// without a body. Thread-safe.
std::size_t CommittedBytes(const RecordSlot& slot);

// Adds a reservation unless the key is already known or the finished record might exceed the size
// limit of the slot. Idempotent: if the slot already holds the reservation with this nonce, it
// returns kReserved without a change. Thread-safe.
SlotChange ReserveInSlot(const RequestRecord& record, WallTime now, RecordSlot* slot);

// Stores the result of the reservation with the nonce of `result`. The body is omitted if it does
// not fit into the slot. Returns kOutcomeUnknown if there is no such reservation. Thread-safe.
SlotChange FinishInSlot(const RequestRecord& result, RecordSlot* slot);

}  // namespace mimosabend

#endif  // MIMOSABEND_REQUEST_RECORD_H_
