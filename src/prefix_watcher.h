#ifndef MIMOSABEND_PREFIX_WATCHER_H_
#define MIMOSABEND_PREFIX_WATCHER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "event_loop.h"
#include "fleet_directory.h"
#include "fleet_store.h"
#include "log.h"
#include "notifier.h"
#include "supervisor.h"

namespace mimosabend {

// Called by a watcher with the items under its prefix.
struct ItemHandlers {
  // An item was written.
  std::function<void(const KvItem&, MonotonicTime)> put;
  // An item was deleted, at `revision` or before.
  std::function<void(const std::string& key, StoreRevision revision, MonotonicTime)> remove;
  // Exactly these keys exist at a revision.
  std::function<void(const std::set<std::string>&, StoreRevision revision, MonotonicTime)>
      keep_only;
  // A batch of changes is complete: everything up to a revision is known.
  std::function<void(StoreRevision revision, MonotonicTime)> done;
};

// Follows all items under a prefix of the store: reads a snapshot, then watches for changes. Reads
// a new snapshot after a failed call, when the store has compacted the history, and when it was
// restored from an older copy. While the store can't be read, the known items stay. Not
// thread-safe.
template <FleetStore Store>
class PrefixWatcher {
 public:
  // Precondition: `store` outlives this object.
  // Waits for `batch_delay` after each batch, so that several changes share one call to the store:
  // each call is charged.
  PrefixWatcher(boost::asio::any_io_executor executor, Store* store, std::string prefix,
                milliseconds batch_delay, ItemHandlers handlers)
      : executor_(executor),
        store_(store),
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
        co_await ReadSnapshot();
      } else {
        co_await ReadChanges();
      }
    }
  }

  void Stop() { stopping_ = true; }

  // Does not read the store until then; another daemon passes on what it reads. An earlier time
  // than before shortens the suspension.
  void Suspend(MonotonicTime until) {
    const bool earlier = until < suspended_until_;
    suspended_until_ = until;
    if (earlier) wake_.NotifyAll();
  }

  // Maximum backoff between retries of failed calls.
  void set_max_retry_delay(milliseconds delay) { max_retry_delay_ = delay; }

  // Reads a snapshot at once, even while suspended.
  void ReadNow() {
    read_now_ = true;
    synced_ = false;
    wake_.NotifyAll();
  }

  // The store was restored: abandons an open watch, which may hang on a connection to the former
  // contents, and reads a snapshot next. While reading is suspended, it stays so.
  void Restart() {
    synced_ = false;
    restart_ = true;
    wake_.NotifyAll();
  }

  // Whether a snapshot was read at least once.
  bool has_snapshot() const { return has_read_; }
  // Whether a snapshot has been read and the last call to the store succeeded.
  bool in_sync() const { return synced_ && failures_ == 0; }
  // The latest time at which the store is known to have held exactly the known items.
  MonotonicTime confirmed() const { return confirmed_; }

 private:
  // A watch is renewed after this time, so that a dead connection is detected.
  static constexpr milliseconds kWatchWait{4000};
  static constexpr milliseconds kFirstRetryDelay{50};
  static constexpr milliseconds kMaxRetryDelay{400};
  // Maximum age of the answer to a watch when it arrives.
  static constexpr milliseconds kMaxAnswerAge{250};
  // Above the time-out of a call to the store, so that it ends only a watch that got lost.
  static constexpr milliseconds kWatchTimeoutMargin{3000};

  using WatchAnswer = std::optional<Result<KvChanges, KvError>>;

  // Watches and stores the answer, which nobody reads if the watch was abandoned meanwhile.
  Task<void> Watch(std::shared_ptr<WatchAnswer> answer) {
    auto changes = co_await store_->WatchPrefix(prefix_, revision_, kWatchWait);
    *answer = std::move(changes);
    wake_.NotifyAll();
  }

  // Watches until there are changes, the wait is over or the watch is abandoned, in which case it
  // returns std::nullopt.
  Task<WatchAnswer> WatchOrRestart() {
    restart_ = false;
    const auto answer = std::make_shared<WatchAnswer>();
    SpawnDetached(executor_, "watch", Watch(answer));
    const MonotonicTime deadline = MonotonicNow() + kWatchWait + kWatchTimeoutMargin;
    while (!*answer && !restart_ && MonotonicNow() < deadline) co_await wake_.WaitUntil(deadline);
    if (restart_) co_return std::nullopt;
    if (!*answer) co_return WatchAnswer(outcome::failure(KvError::kOutcomeUnknown));
    co_return std::move(*answer);
  }

  Task<void> ReadSnapshot() {
    const MonotonicTime sent_at = MonotonicNow();
    auto snapshot = co_await store_->Snapshot(prefix_);
    if (!snapshot) co_return co_await BackOff(snapshot.error());
    RecordSuccess();
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

  Task<void> ReadChanges() {
    const auto answer = co_await WatchOrRestart();
    if (!answer) co_return;
    const auto& changes = *answer;
    if (!changes) co_return co_await BackOff(changes.error());
    RecordSuccess();
    if (changes.value().compacted) {
      const bool restored = changes.value().revision.era != revision_.era;
      LOG4CPLUS_WARN(Log(), "history of " << prefix_ << " after revision " << ToString(revision_)
                                          << (restored ? " was lost" : " was compacted")
                                          << ", reading a snapshot");
      synced_ = false;
      co_return;
    }
    const MonotonicTime now = MonotonicNow();
    confirmed_ = std::max(confirmed_, now - kMaxAnswerAge);
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

  Task<void> BackOff(KvError error) {
    if (failures_++ == 0) {
      LOG4CPLUS_WARN(Log(),
                     "cannot read the store for " << prefix_ << ": " << kKvErrorNames[error]);
    }
    // A watch that is renewed while the history that it needs is being compacted reports nothing
    // until its wait is over. Only a snapshot shows the present items.
    synced_ = false;
    const int doublings = std::min(failures_ - 1, 8);
    co_await Sleep(std::min(kFirstRetryDelay * (1 << doublings), max_retry_delay_));
  }

  void RecordSuccess() {
    if (failures_ > 0) LOG4CPLUS_INFO(Log(), "reading the store again for " << prefix_);
    failures_ = 0;
  }

  boost::asio::any_io_executor executor_;
  Store* store_;
  std::string prefix_;
  milliseconds batch_delay_;
  ItemHandlers handlers_;
  StoreRevision revision_;
  int failures_ = 0;
  Notifier wake_;
  MonotonicTime suspended_until_;
  milliseconds max_retry_delay_ = kMaxRetryDelay;
  MonotonicTime confirmed_;
  bool read_now_ = false;
  bool restart_ = false;
  bool synced_ = false;
  bool has_read_ = false;
  bool stopping_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PREFIX_WATCHER_H_
