#ifndef MIMOSABEND_FLEET_STORE_H_
#define MIMOSABEND_FLEET_STORE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "kv_store.h"

namespace mimosabend {

// All items under a prefix, and the revision from which a watch goes on.
struct KvSnapshot {
  std::vector<KvItem> items;
  std::uint64_t revision = 0;
};

// What changed under a prefix, in order. An entry with version 0 was deleted.
struct KvChanges {
  std::vector<KvItem> items;
  std::uint64_t revision = 0;
  // The store no longer has the history asked for: a new snapshot is needed.
  bool compacted = false;
};

// A value to be written; with a lease, it is deleted when the lease ends.
struct KvPut {
  std::string key;
  std::string value;
  LeaseId lease;
};

// A KvStore whose changes can be watched under a prefix, and that writes several keys at once.
template <class T>
concept FleetStore = KvStore<T> &&
    requires(T& store, std::string text, std::uint64_t revision, milliseconds wait,
             std::vector<KvItem> expected, std::vector<KvPut> puts) {
  { store.Snapshot(text) } -> std::same_as<Task<Result<KvSnapshot, KvError>>>;
  // Waits for changes after a revision.
  { store.WatchPrefix(text, revision, wait) } -> std::same_as<Task<Result<KvChanges, KvError>>>;
  // Writes all of `puts` if each key of `expected` still has its version; 0 expects none. The
  // version of the result is the one revision of all written keys.
  { store.Claim(expected, puts) } -> std::same_as<Task<Result<KvSwap, KvError>>>;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_STORE_H_
