#ifndef MIMOSABEND_KV_STORE_H_
#define MIMOSABEND_KV_STORE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "clock.h"
#include "name_table.h"
#include "result.h"
#include "store_era.h"

namespace mimosabend {

// A write that failed with kUnavailable did not take effect. After kOutcomeUnknown it may have: the
// caller reads the key back.
enum class KvError : std::uint8_t { kUnavailable, kOutcomeUnknown, kTooLarge, kBadAnswer };
inline constexpr NameTable<KvError, 4> kKvErrorNames{
    {"service unavailable", "outcome unknown", "value too large", "malformed answer"}};

// Largest value that the platform's key-value service accepts.
inline constexpr std::size_t kMaxKvValueBytes = 1024 * 1024;

// The value of a key; version 0 if the key does not exist.
struct KvEntry {
  std::string value;
  std::uint64_t version = 0;
  // Era of the response that the entry was read from; 0 for stores that have no eras.
  std::uint32_t era = 0;

  bool exists() const { return version != 0; }
  StoreRevision revision() const { return {era, version}; }
};

struct KvItem {
  std::string key;
  KvEntry entry;
};

// Result of a compare-and-swap; `version` is the new version if `swapped`.
struct KvSwap {
  bool swapped = false;
  std::uint64_t version = 0;
  // Era of the response. If the expected version was read in another era, a swap may have replaced
  // a value that was never read.
  std::uint32_t era = 0;

  StoreRevision revision() const { return {era, version}; }
};

// Identifies a lease; empty for none.
using LeaseId = std::string;

// A client of the platform's key-value service. Each write of a key increases its version.
template <class T>
concept KvStore = requires(T& kv, const std::string& text, std::uint64_t version,
                           milliseconds wait) {
  // The entry of a key; version 0 if the key is absent.
  { kv.Read(text) } -> std::same_as<Task<Result<KvEntry, KvError>>>;
  // Writes the key if its version is the expected one; 0 expects the key to be absent.
  { kv.CompareAndSwap(text, text, version) } -> std::same_as<Task<Result<KvSwap, KvError>>>;
  // Deletes the key if its version is the expected one; false if it is not.
  { kv.Delete(text, version) } -> std::same_as<Task<Result<bool, KvError>>>;
  // All entries whose key has the given prefix.
  { kv.List(text) } -> std::same_as<Task<Result<std::vector<KvItem>, KvError>>>;
  // Waits until the version of the key differs from the given one, for at most the given time, and
  // returns the entry.
  { kv.Watch(text, version, wait) } -> std::same_as<Task<Result<KvEntry, KvError>>>;
  // Grants a lease that expires unless it is renewed within the given time to live.
  { kv.GrantLease(wait) } -> std::same_as<Task<Result<LeaseId, KvError>>>;
  // False if the lease has expired.
  { kv.RenewLease(text) } -> std::same_as<Task<Result<bool, KvError>>>;
  { kv.RevokeLease(text) } -> std::same_as<Task<Result<void, KvError>>>;
  // Writes a key under a lease: key, value, lease. The key is deleted when the lease expires. False
  // if another lease holds the key.
  { kv.Acquire(text, text, text) } -> std::same_as<Task<Result<bool, KvError>>>;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_KV_STORE_H_
