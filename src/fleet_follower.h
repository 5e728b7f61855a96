#ifndef MIMOSABEND_FLEET_FOLLOWER_H_
#define MIMOSABEND_FLEET_FOLLOWER_H_

#include <functional>
#include <set>
#include <string>

#include "fleet_directory.h"
#include "fleet_store.h"
#include "log.h"
#include "notifier.h"
#include "supervisor.h"

namespace mimosabend {

// What a follower does with the items under one prefix.
struct ItemHandlers {
  // An item was written.
  std::function<void(const KvItem&, MonotonicTime)> put;
  // An item was deleted, at `revision` or before.
  std::function<void(const std::string& key, std::uint64_t revision, MonotonicTime)> remove;
  // Exactly these keys exist at a revision.
  std::function<void(const std::set<std::string>&, std::uint64_t revision, MonotonicTime)>
      keep_only;
  // A batch of changes has been handled: everything up to a revision is known.
  std::function<void(std::uint64_t revision, MonotonicTime)> done;
};

// Follows all items under a prefix of the store: a snapshot, then watches; a new snapshot when the
// history is gone. Keeps what it knows while the store can't be read. Not thread-safe.
template <FleetStore Store>
class FleetFollower {
 public:
  // Precondition: `store` outlives this object.
  // Changes within `batch_delay` share one call to the store, since each call is charged.
  FleetFollower(boost::asio::any_io_executor executor, Store* store, std::string prefix,
                milliseconds batch_delay, ItemHandlers handlers)
      : store_(store),
        prefix_(std::move(prefix)),
        batch_delay_(batch_delay),
        handlers_(std::move(handlers)),
        wake_(std::move(executor)) {}

  // Runs until Stop is called.
  Task<void> Run() {
    while (!stopping_) {
      if (MonotonicNow() < suspended_until_ && !read_now_) {
        synced_ = false;
        co_await wake_.WaitUntil(suspended_until_);
        continue;
      }
      read_now_ = false;
      if (!synced_) {
        co_await TakeSnapshot();
      } else {
        co_await TakeChanges();
      }
    }
  }

  void Stop() { stopping_ = true; }

  // Does not read the store until then, since another daemon passes on what it reads.
  void Suspend(MonotonicTime until) {
    const bool earlier = until < suspended_until_;
    suspended_until_ = until;
    if (earlier) wake_.NotifyAll();
  }

  // Failed calls are repeated with at most this pause.
  void set_longest_retry_delay(milliseconds delay) { longest_retry_delay_ = delay; }

  // Reads all items once, also while suspended.
  void ReadNow() {
    read_now_ = true;
    synced_ = false;
    wake_.NotifyAll();
  }

  // Whether the items were read at least once.
  bool has_read() const { return has_read_; }
  // Whether the items are followed and the last call to the store succeeded.
  bool in_touch() const { return synced_ && failures_ == 0; }
  // The store held the known items then.
  MonotonicTime confirmed() const { return confirmed_; }

 private:
  // A watch is asked for anew after this time, so that a silent connection is noticed.
  static constexpr milliseconds kWatchWait{4000};
  static constexpr milliseconds kFirstRetryDelay{50};
  static constexpr milliseconds kLongestRetryDelay{400};
  // An answer to a watch may be as old as this when it arrives.
  static constexpr milliseconds kAnswerAge{250};

  Task<void> TakeSnapshot() {
    const MonotonicTime sent_at = MonotonicNow();
    auto snapshot = co_await store_->Snapshot(prefix_);
    if (!snapshot) co_return co_await Fail(snapshot.error());
    NoteSuccess();
    confirmed_ = std::max(confirmed_, sent_at);
    const MonotonicTime now = MonotonicNow();
    std::set<std::string> keys;
    for (const KvItem& item : snapshot.value().items) {
      keys.insert(item.key);
      handlers_.put(item, now);
    }
    revision_ = snapshot.value().revision;
    handlers_.keep_only(keys, revision_, now);
    handlers_.done(revision_, now);
    synced_ = true;
    has_read_ = true;
  }

  Task<void> TakeChanges() {
    auto changes = co_await store_->WatchPrefix(prefix_, revision_, kWatchWait);
    if (!changes) co_return co_await Fail(changes.error());
    NoteSuccess();
    if (changes.value().compacted) {
      LOG4CPLUS_WARN(Log(), "history of " << prefix_ << " after " << revision_ << " is gone");
      synced_ = false;
      co_return;
    }
    const MonotonicTime now = MonotonicNow();
    confirmed_ = std::max(confirmed_, now - kAnswerAge);
    revision_ = std::max(revision_, changes.value().revision);
    for (const KvItem& item : changes.value().items) {
      if (item.entry.exists()) {
        handlers_.put(item, now);
      } else {
        handlers_.remove(item.key, revision_, now);
      }
    }
    handlers_.done(revision_, now);
    if (changes.value().items.empty()) co_return;
    co_await Sleep(batch_delay_);
  }

  Task<void> Fail(KvError error) {
    if (failures_++ == 0) {
      LOG4CPLUS_WARN(Log(), "lost the store for " << prefix_ << ": " << kKvErrorNames[error]);
    }
    // A watch that was cut may be asked for anew while the history that it needs is being dropped,
    // and then hears of nothing until its wait is over: only a snapshot shows what is there.
    synced_ = false;
    const int doublings = std::min(failures_ - 1, 8);
    co_await Sleep(std::min(kFirstRetryDelay * (1 << doublings), longest_retry_delay_));
  }

  void NoteSuccess() {
    if (failures_ > 0) LOG4CPLUS_INFO(Log(), "regained the store for " << prefix_);
    failures_ = 0;
  }

  Store* store_;
  std::string prefix_;
  milliseconds batch_delay_;
  ItemHandlers handlers_;
  std::uint64_t revision_ = 0;
  int failures_ = 0;
  Notifier wake_;
  MonotonicTime suspended_until_;
  milliseconds longest_retry_delay_ = kLongestRetryDelay;
  MonotonicTime confirmed_;
  bool read_now_ = false;
  bool synced_ = false;
  bool has_read_ = false;
  bool stopping_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_FOLLOWER_H_
