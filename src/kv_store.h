#ifndef MIMOSABEND_KV_STORE_H_
#define MIMOSABEND_KV_STORE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "clock.h"
#include "name_table.h"
#include "result.h"

namespace mimosabend {

// Only kUnavailable proves that a write did not take effect; after kOutcomeUnknown the caller
// reads back.
enum class KvError : std::uint8_t { kUnavailable, kOutcomeUnknown, kTooLarge, kBadAnswer };
inline constexpr NameTable<KvError, 4> kKvErrorNames{
    {"service unavailable", "outcome unknown", "value too large", "malformed answer"}};

// Largest value of the platform's service.
inline constexpr std::size_t kMaxKvValueBytes = 1024 * 1024;

// Version 0 means that the key does not exist.
struct KvEntry {
  std::string value;
  std::uint64_t version = 0;

  bool exists() const { return version != 0; }
};

struct KvItem {
  std::string key;
  KvEntry entry;
};

// `version` is the new one if the value was swapped.
struct KvSwap {
  bool swapped = false;
  std::uint64_t version = 0;
};

// Identifies a lease; empty means none.
using LeaseId = std::string;

// The platform's key-value service. Version numbers of a key grow with each write.
template <class T>
concept KvStore = requires(T& kv, const std::string& text, std::uint64_t version,
                           milliseconds wait) {
  // The entry of a key, absent ones included.
  { kv.Read(text) } -> std::same_as<Task<Result<KvEntry, KvError>>>;
  // Writes if the version is still the expected one; 0 expects the key to be absent.
  { kv.CompareAndSwap(text, text, version) } -> std::same_as<Task<Result<KvSwap, KvError>>>;
  // Deletes if the version is still the expected one.
  { kv.Delete(text, version) } -> std::same_as<Task<Result<bool, KvError>>>;
  // All entries whose key starts with the prefix.
  { kv.List(text) } -> std::same_as<Task<Result<std::vector<KvItem>, KvError>>>;
  // Waits until the version of a key differs from the one given, or until the wait is over.
  { kv.Watch(text, version, wait) } -> std::same_as<Task<Result<KvEntry, KvError>>>;
  // A lease that lapses unless it is renewed within its time to live.
  { kv.GrantLease(wait) } -> std::same_as<Task<Result<LeaseId, KvError>>>;
  // False if the lease has lapsed.
  { kv.RenewLease(text) } -> std::same_as<Task<Result<bool, KvError>>>;
  { kv.RevokeLease(text) } -> std::same_as<Task<Result<void, KvError>>>;
  // Writes a key that no other lease holds; it is deleted when the lease lapses. False if held.
  { kv.Acquire(text, text, text) } -> std::same_as<Task<Result<bool, KvError>>>;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_KV_STORE_H_
