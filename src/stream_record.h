#ifndef MIMOSABEND_STREAM_RECORD_H_
#define MIMOSABEND_STREAM_RECORD_H_

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "codec.h"
#include "fleet_store.h"
#include "log.h"
#include "stream_versions.h"
#include "supervisor.h"

namespace mimosabend {

// The stored versions of all services.
struct StoredVersions {
  std::vector<ServiceVersions> services;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeList(archive, services);
  }
};

// Streams that were stored in one write.
struct StoredStreams {
  std::vector<StreamOrigins> streams;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeList(archive, streams);
  }
};

// Keeps in the store which software versions may have begun streams, so that this survives the loss
// of all daemons: one value for the versions of all services, written when they change, and, while
// a service has several, its streams in a ring of values, one for each write. The placement leader
// reads them at the begin of its term and writes them during it; other daemons read them if no
// leader answers. Not thread-safe.
template <FleetStore Store>
class StreamRecord {
 public:
  // Fencing token of this daemon's present term; 0 unless it leads.
  using Term = std::function<std::uint64_t(MonotonicTime)>;

  // Precondition: the pointers outlive this object.
  StreamRecord(Store* store, StreamVersions* versions, Term term)
      : store_(store), versions_(versions), term_of_(std::move(term)) {}

  // Runs until the process ends.
  Task<void> Run() {
    for (;;) {
      const MonotonicTime now = MonotonicNow();
      const std::uint64_t term = term_of_(now);
      if (term != term_) {
        loaded_ = false;
        pending_.clear();
      }
      term_ = term;
      if (term == 0) {
        versions_->ForgetUnstored();
        const bool reads = read_requested_ && now - read_at_ >= kMinReadPeriod;
        if (reads) co_await Read();
      } else if (ReadIsDue(now)) {
        const bool read = co_await Read();
        loaded_ = read;
      } else if (loaded_ && WriteIsDue(now)) {
        co_await Write(now);
      }
      co_await Sleep(kPollPeriod);
    }
  }

  // Has the record read although this daemon does not lead, since no leader answers.
  void RequestRead() { read_requested_ = true; }

 private:
  static constexpr milliseconds kPollPeriod{100};
  static constexpr milliseconds kMinReadPeriod{1000};
  static constexpr milliseconds kRetryDelay{500};
  // Streams are written together.
  static constexpr milliseconds kWritePeriod{500};
  static constexpr const char* kPrefix = "stream-versions/";
  static constexpr const char* kServicesKey = "stream-versions/services";
  static constexpr const char* kStreamsPrefix = "stream-versions/streams-";
  // The ring holds the streams of at least half a minute.
  static constexpr std::size_t kRingSize = 64;
  // Keeps a value within 32 KB.
  static constexpr std::size_t kMaxStreamsPerWrite = 4000;

  static std::string RingKey(std::size_t index) { return kStreamsPrefix + std::to_string(index); }

  // Returns false if the store could not be read.
  Task<bool> Read() {
    read_requested_ = false;
    read_at_ = MonotonicNow();
    auto snapshot = co_await store_->Snapshot(kPrefix);
    RecordOutcome(snapshot ? std::nullopt : std::optional(snapshot.error()));
    if (!snapshot) {
      retry_at_ = MonotonicNow() + kRetryDelay;
      co_return false;
    }
    const MonotonicTime now = MonotonicNow();
    const std::vector<KvItem>& items = snapshot.value().items;
    AddVersions(items, now);
    const std::size_t streams = AddStreams(items, now);
    versions_->history().MarkComplete();
    stored_versions_.reset();
    LOG4CPLUS_INFO(Log(), "read the software versions of streams from the store, fence="
                              << term_ << " streams=" << streams);
    co_return true;
  }

  void AddVersions(const std::vector<KvItem>& items, MonotonicTime now) {
    services_version_ = 0;
    for (const KvItem& item : items) {
      if (item.key != kServicesKey) continue;
      services_version_ = item.entry.version;
      const auto stored = Decode<StoredVersions>(item.entry.value);
      if (stored) versions_->AddStored(stored->services, now);
    }
  }

  // Adds the streams of the ring, and continues it. Returns how many they are.
  std::size_t AddStreams(const std::vector<KvItem>& items, MonotonicTime now) {
    std::size_t streams = 0;
    std::uint64_t last_write = 0;
    for (const KvItem& item : items) {
      if (item.key == kServicesKey) continue;
      const auto stored = Decode<StoredStreams>(item.entry.value);
      if (!stored) continue;
      // The ring keeps streams of versions that have left. Those of a value that was written after
      // the versions are among them, or began to serve while the values were being read.
      const bool may_serve = item.entry.version > services_version_;
      versions_->AddStored(stored->streams, may_serve, now);
      for (const StreamOrigins& part : stored->streams) streams += part.keys.size();
      if (item.entry.version <= last_write) continue;
      last_write = item.entry.version;
      next_index_ = NextIndex(item.key);
    }
    return streams;
  }

  static std::size_t NextIndex(const std::string& key) {
    for (std::size_t i = 0; i < kRingSize; ++i) {
      if (key == RingKey(i)) return (i + 1) % kRingSize;
    }
    return 0;
  }

  // At the begin of a term, and after a time without a view of the endpoints.
  bool ReadIsDue(MonotonicTime now) const {
    const bool incomplete =
        !versions_->history().IsComplete(now) && now - read_at_ >= kMinReadPeriod;
    return now >= retry_at_ && (!loaded_ || incomplete);
  }

  // A change of the versions is written at once.
  bool WriteIsDue(MonotonicTime now) const {
    const bool changed = stored_versions_ != versions_->history().All();
    return now >= retry_at_ && (changed || now - written_at_ >= kWritePeriod);
  }

  Task<void> Write(MonotonicTime now) {
    written_at_ = now;
    std::vector<ServiceVersions> services = versions_->history().All();
    if (pending_.empty()) pending_ = versions_->TakeUnstored(kMaxStreamsPerWrite, now);
    std::vector<KvPut> puts;
    if (stored_versions_ != services) {
      puts.push_back({kServicesKey, Encode(StoredVersions{services}), {}});
    }
    if (!pending_.empty()) {
      puts.push_back({RingKey(next_index_), Encode(StoredStreams{pending_}), {}});
    }
    if (puts.empty()) co_return;
    // A write of an earlier leader may take effect late, and must not replace newer versions.
    std::vector<KvItem> expected{{kServicesKey, {"", services_version_}}};
    const bool has_versions = stored_versions_ != services;
    auto written = co_await store_->Claim(std::move(expected), std::move(puts));
    RecordOutcome(written ? std::nullopt : std::optional(written.error()));
    if (!written || !written.value().swapped) {
      retry_at_ = MonotonicNow() + kRetryDelay;
      loaded_ = false;
      co_return;
    }
    if (has_versions) services_version_ = written.value().version;
    stored_versions_ = std::move(services);
    if (!pending_.empty()) next_index_ = (next_index_ + 1) % kRingSize;
    pending_.clear();
  }

  void RecordOutcome(std::optional<KvError> error) {
    if (error && !failing_) {
      LOG4CPLUS_WARN(Log(), "cannot keep the software versions of streams in the store: "
                                << kKvErrorNames[*error]);
    }
    if (!error && failing_) {
      LOG4CPLUS_INFO(Log(), "keeping the software versions of streams in the store again");
    }
    failing_ = error.has_value();
  }

  Store* store_;
  StreamVersions* versions_;
  Term term_of_;
  std::uint64_t term_ = 0;
  bool loaded_ = false;
  bool read_requested_ = false;
  MonotonicTime read_at_;
  // The versions that were written last; std::nullopt if none in this term.
  std::optional<std::vector<ServiceVersions>> stored_versions_;
  // Version of their key; 0 if there is none.
  std::uint64_t services_version_ = 0;
  // Streams that are being written.
  std::vector<StreamOrigins> pending_;
  std::size_t next_index_ = 0;
  MonotonicTime written_at_;
  MonotonicTime retry_at_;
  bool failing_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_STREAM_RECORD_H_
