#ifndef MIMOSABEND_FLEET_STORE_H_
#define MIMOSABEND_FLEET_STORE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "kv_store.h"

namespace mimosabend {

// All items under a prefix, and the revision at which a watch continues.
struct KvSnapshot {
  std::vector<KvItem> items;
  StoreRevision revision;
};

// Changes under a prefix, in order. An entry with version 0 was deleted.
struct KvChanges {
  std::vector<KvItem> items;
  StoreRevision revision;
  // The store does not have the requested history, because it was compacted or the store was
  // restored; a new snapshot is needed.
  bool compacted = false;
};

// A write. With a lease, the key is deleted when the lease ends.
struct KvPut {
  std::string key;
  std::string value;
  LeaseId lease;
};

// A KvStore with snapshots and watches of a prefix, and atomic writes of several keys.
template <class T>
concept FleetStore = KvStore<T> &&
    requires(T& store, std::string text, StoreRevision revision, milliseconds wait,
             std::vector<KvItem> expected, std::vector<KvPut> puts) {
  // All items are of the era of the snapshot's revision.
  { store.Snapshot(text) } -> std::same_as<Task<Result<KvSnapshot, KvError>>>;
  // Waits for changes after `revision`, up to `wait`.
  { store.WatchPrefix(text, revision, wait) } -> std::same_as<Task<Result<KvChanges, KvError>>>;
  // Writes all of `puts` atomically if each key of `expected` still has its version; version 0
  // expects no entry. The version of the result is the revision of all written keys.
  { store.Claim(expected, puts) } -> std::same_as<Task<Result<KvSwap, KvError>>>;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_STORE_H_
