#include "request_record.h"

#include <cassert>

#include "digest.h"
#include "uuid7.h"

namespace mimosabend {

namespace {

// Keys may be created by callers whose clocks are ahead by this much.
constexpr seconds kMaxClockLead{300};
// Encoded sizes: the archive's byte-order flag and the record count, and the fixed part of a record
// with the lengths of its strings.
constexpr std::size_t kSlotHeaderBytes = 5;
constexpr std::size_t kRecordHeaderBytes = 41;

// Upper bound of the encoded size of a record after it finishes without a body.
std::size_t CommittedBytesOf(const RequestRecord& record) {
  const bool unfinished = record.state == RecordState::kReserved;
  const std::size_t type_bytes =
      unfinished ? kMaxRecordedContentTypeBytes : record.content_type.size();
  return kRecordHeaderBytes + record.key.size() + type_bytes + record.body.size();
}

ReserveStatus StatusOfRetry(const RequestRecord& known, const RequestRecord& retry, WallTime now) {
  if (known.fingerprint != retry.fingerprint) return ReserveStatus::kKeyReused;
  switch (known.state) {
    case RecordState::kDone:
      return ReserveStatus::kReplay;
    case RecordState::kUnknown:
      return ReserveStatus::kOutcomeUnknown;
    case RecordState::kReleased:
      return ReserveStatus::kReserved;
    case RecordState::kReserved:
      return ToUnixMillis(now) < known.deadline_ms ? ReserveStatus::kInProgress
                                                   : ReserveStatus::kOutcomeUnknown;
  }
  return ReserveStatus::kOutcomeUnknown;
}

}  // namespace

std::string RecordLayoutConflict(const Environment& before, const Environment& after) {
  for (const auto& [name, service] : after.services) {
    const Service* known = before.FindService(name);
    if (service.repeatable || known == nullptr || known->repeatable) continue;
    const bool same = service.slot_length == known->slot_length && service.ranges == known->ranges;
    if (!same || service.record_window > known->record_window) {
      return "[service " + name +
             "] slot_s and ranges must not change and record_window_s must not grow, since "
             "a recorded request could run again; use a new service name";
    }
  }
  return "";
}

ReserveStatus CheckKeyAge(const Service& service, const std::string& key, WallTime now) {
  const auto created = ParseUuid7Time(key);
  if (!created) return ReserveStatus::kKeyMalformed;
  const bool expired = now - *created > service.record_window;
  const bool from_future = *created - now > kMaxClockLead;
  return expired || from_future ? ReserveStatus::kKeyExpired : ReserveStatus::kReserved;
}

std::string SlotName(const Service& service, std::uint64_t range, std::int64_t slot) {
  return service.name + "/" + std::to_string(range) + "/" + std::to_string(slot);
}

std::int64_t FirstKeptSlot(const Service& service, WallTime now) {
  return ToUnixMillis(now - service.record_window - kSlotGrace) /
         milliseconds(service.slot_length).count();
}

std::string SlotName(const Service& service, const std::string& key) {
  const auto created = ParseUuid7Time(key);
  assert(created);
  const std::int64_t slot = ToUnixMillis(*created) / milliseconds(service.slot_length).count();
  return SlotName(service, Hash64(key) % service.ranges, slot);
}

std::size_t CommittedBytes(const RecordSlot& slot) {
  std::size_t bytes = kSlotHeaderBytes;
  for (const RequestRecord& record : slot.records) bytes += CommittedBytesOf(record);
  return bytes;
}

SlotChange ReserveInSlot(const RequestRecord& record, WallTime now, RecordSlot* slot) {
  const bool full = CommittedBytes(*slot) + CommittedBytesOf(record) > kMaxKvValueBytes;
  for (RequestRecord& known : slot->records) {
    if (known.key != record.key) continue;
    if (known.nonce == record.nonce) return {false, ReserveStatus::kReserved, known};
    const ReserveStatus status = StatusOfRetry(known, record, now);
    if (status != ReserveStatus::kReserved) return {false, status, known};
    if (full) return {false, ReserveStatus::kSlotFull, known};
    known = record;
    return {true, status, known};
  }
  if (full) return {false, ReserveStatus::kSlotFull, record};
  slot->records.push_back(record);
  return {true, ReserveStatus::kReserved, record};
}

SlotChange FinishInSlot(const RequestRecord& result, RecordSlot* slot) {
  for (RequestRecord& known : slot->records) {
    if (known.nonce != result.nonce) continue;
    if (known.state != RecordState::kReserved) return {false, ReserveStatus::kReserved, known};
    known.state = result.state;
    known.status = result.status;
    if (result.content_type.size() <= kMaxRecordedContentTypeBytes) {
      known.content_type = result.content_type;
    }
    if (CommittedBytes(*slot) + result.body.size() <= kMaxKvValueBytes) known.body = result.body;
    return {true, ReserveStatus::kReserved, known};
  }
  return {false, ReserveStatus::kOutcomeUnknown, result};
}

}  // namespace mimosabend
