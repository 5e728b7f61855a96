#ifndef MIMOSABEND_TESTS_FAKE_FLEET_STORE_H_
#define MIMOSABEND_TESTS_FAKE_FLEET_STORE_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet_store.h"
#include "supervisor.h"

namespace mimosabend::testing {

// In-memory store of the platform, with a history that can be compacted and faults that can be
// injected. Not thread-safe. Models FleetStore.
class FakeFleetStore {
 public:
  // All calls fail with kUnavailable or, for watches, kOutcomeUnknown.
  void set_down(bool down) { down_ = down; }
  // The open or next watch fails at once, as if its connection had been broken.
  void BreakNextWatch() { break_watch_ = true; }
  // Watches report nothing until their wait is over, whatever is written.
  void set_mute_watches(bool deaf) { mute_watches_ = deaf; }
  // Drops the history: watches from earlier revisions get `compacted`.
  void Compact() { compacted_ = revision_; }
  // The next claim succeeds, but its answer is lost.
  void LoseNextClaimAnswer() { lose_claim_answer_ = true; }

  // The contents at some time, leases included.
  class Copy;
  Copy MakeCopy() const;
  // Replaces the contents by an older copy and begins an era. Open watches end. The store is up
  // then.
  void Restore(const Copy& copy);
  std::uint32_t era() const { return era_; }
  const std::map<LeaseId, bool>& leases() const { return leases_; }

  void Put(const std::string& key, const std::string& value, const LeaseId& lease = {}) {
    ++revision_;
    PutAtRevision(key, value, lease);
  }
  void Erase(const std::string& key) {
    if (items_.erase(key) == 0) return;
    ++revision_;
    history_.push_back({key, {{}, 0, era_}});
    erased_at_[history_.size() - 1] = revision_;
  }
  KvEntry Get(const std::string& key) const {
    const auto it = items_.find(key);
    KvEntry entry = it == items_.end() ? KvEntry{} : it->second.entry;
    entry.era = era_;
    return entry;
  }
  // Ends a lease and deletes the keys that are bound to it.
  void EndLease(const LeaseId& lease) {
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) keys.push_back(key);
    }
    for (const std::string& key : keys) Erase(key);
  }

  // Deletes a key that is bound to a lease, but keeps the lease.
  void DeleteKey(const std::string& key) { Erase(key); }

  std::uint64_t snapshots() const { return snapshots_; }

  Task<Result<KvEntry, KvError>> Read(std::string key) {
    co_await Sleep(kCallTime);
    if (down_) co_return outcome::failure(KvError::kUnavailable);
    co_return Get(key);
  }
  Task<Result<KvSwap, KvError>> CompareAndSwap(std::string key, std::string value,
                                               std::uint64_t expected) {
    std::vector<KvItem> expected_items{{key, {"", expected}}};
    std::vector<KvPut> puts{{key, value, {}}};
    co_return co_await Claim(expected_items, puts);
  }
  Task<Result<bool, KvError>> Delete(std::string key, std::uint64_t expected) {
    co_await Sleep(kCallTime);
    if (down_) co_return outcome::failure(KvError::kUnavailable);
    if (Get(key).version != expected) co_return false;
    Erase(key);
    co_return true;
  }
  Task<Result<std::vector<KvItem>, KvError>> List(std::string prefix) {
    auto snapshot = co_await Snapshot(prefix);
    if (!snapshot) co_return outcome::failure(snapshot.error());
    co_return snapshot.value().items;
  }
  Task<Result<KvEntry, KvError>> Watch(std::string key, std::uint64_t, milliseconds) {
    co_return co_await Read(key);
  }
  Task<Result<LeaseId, KvError>> GrantLease(milliseconds) {
    co_await Sleep(kCallTime);
    if (down_) co_return outcome::failure(KvError::kUnavailable);
    const LeaseId lease = std::to_string(++last_lease_);
    leases_[lease] = true;
    co_return lease;
  }
  Task<Result<bool, KvError>> RenewLease(LeaseId lease) {
    co_await Sleep(kCallTime);
    if (down_) co_return outcome::failure(KvError::kUnavailable);
    co_return leases_.contains(lease);
  }
  Task<Result<void, KvError>> RevokeLease(LeaseId lease) {
    co_await Sleep(kCallTime);
    if (down_) co_return outcome::failure(KvError::kUnavailable);
    EndLease(lease);
    co_return outcome::success();
  }
  Task<Result<bool, KvError>> Acquire(std::string key, std::string value, LeaseId lease) {
    std::vector<KvItem> expected{{key, {"", 0}}};
    std::vector<KvPut> puts{{key, value, lease}};
    auto claimed = co_await Claim(expected, puts);
    if (!claimed) co_return outcome::failure(claimed.error());
    co_return claimed.value().swapped;
  }

  Task<Result<KvSnapshot, KvError>> Snapshot(std::string prefix) {
    co_await Sleep(kCallTime);
    if (down_) co_return outcome::failure(KvError::kUnavailable);
    ++snapshots_;
    KvSnapshot snapshot;
    snapshot.revision = {era_, revision_};
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix)) snapshot.items.push_back({key, Get(key)});
    }
    co_return snapshot;
  }

  Task<Result<KvChanges, KvError>> WatchPrefix(std::string prefix, StoreRevision after,
                                               milliseconds wait) {
    co_await Sleep(kCallTime);
    if (down_ || break_watch_) {
      break_watch_ = false;
      co_return outcome::failure(KvError::kOutcomeUnknown);
    }
    const MonotonicTime end = MonotonicNow() + wait;
    KvChanges changes;
    while (MonotonicNow() < end) {
      if (break_watch_) {
        break_watch_ = false;
        co_return outcome::failure(KvError::kOutcomeUnknown);
      }
      changes = After(prefix, after);
      if (!mute_watches_ && (changes.compacted || !changes.items.empty())) co_return changes;
      co_await Sleep(kCallTime);
    }
    co_return After(prefix, after);
  }

  Task<Result<KvSwap, KvError>> Claim(std::vector<KvItem> expected, std::vector<KvPut> puts) {
    co_await Sleep(kCallTime);
    if (down_) co_return outcome::failure(KvError::kUnavailable);
    for (const KvItem& item : expected) {
      if (Get(item.key).version != item.entry.version) co_return KvSwap{false, 0, era_};
    }
    for (const KvPut& put : puts) {
      if (!put.lease.empty() && !leases_.contains(put.lease)) co_return KvSwap{false, 0, era_};
    }
    ++revision_;
    for (const KvPut& put : puts) PutAtRevision(put.key, put.value, put.lease);
    if (lose_claim_answer_) {
      lose_claim_answer_ = false;
      co_return outcome::failure(KvError::kOutcomeUnknown);
    }
    co_return KvSwap{true, revision_, era_};
  }

 private:
  static constexpr milliseconds kCallTime{2};

  struct Stored {
    KvEntry entry;
    LeaseId lease;
  };

  void PutAtRevision(const std::string& key, const std::string& value, const LeaseId& lease) {
    items_[key] = {{value, revision_}, lease};
    history_.push_back({key, {value, revision_, era_}});
  }

  KvChanges After(const std::string& prefix, StoreRevision after) const {
    KvChanges changes;
    changes.revision = {era_, revision_};
    if (after.era != era_ || after.revision < compacted_ || after.revision > revision_) {
      changes.compacted = true;
      return changes;
    }
    for (std::size_t i = 0; i < history_.size(); ++i) {
      const KvItem& item = history_[i];
      const auto erased = erased_at_.find(i);
      const std::uint64_t at = erased == erased_at_.end() ? item.entry.version : erased->second;
      if (at > after.revision && item.key.starts_with(prefix)) changes.items.push_back(item);
    }
    return changes;
  }

  std::map<std::string, Stored> items_;
  std::vector<KvItem> history_;
  std::map<std::size_t, std::uint64_t> erased_at_;
  std::map<LeaseId, bool> leases_;
  std::uint32_t era_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t compacted_ = 0;
  std::uint64_t last_lease_ = 0;
  std::uint64_t snapshots_ = 0;
  bool down_ = false;
  bool break_watch_ = false;
  bool mute_watches_ = false;
  bool lose_claim_answer_ = false;
};

class FakeFleetStore::Copy {
 private:
  friend class FakeFleetStore;
  explicit Copy(const FakeFleetStore& store) : store_(std::make_shared<FakeFleetStore>(store)) {}

  std::shared_ptr<const FakeFleetStore> store_;
};

inline FakeFleetStore::Copy FakeFleetStore::MakeCopy() const { return Copy(*this); }

inline void FakeFleetStore::Restore(const Copy& copy) {
  const std::uint32_t era = era_ + 1;
  *this = *copy.store_;
  era_ = era;
  down_ = false;
  mute_watches_ = false;
}

static_assert(FleetStore<FakeFleetStore>);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_FAKE_FLEET_STORE_H_
