#ifndef MIMOSABEND_STREAM_VERSIONS_H_
#define MIMOSABEND_STREAM_VERSIONS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "codec.h"
#include "name_table.h"

namespace mimosabend {

// A stream can be taken up for this long after its first event: no caller waits longer.
inline constexpr milliseconds kStreamLifetime{60000};

// Identifies a stream by the id of an attempt that brought events of it. Thread-safe.
std::uint64_t StreamKey(const std::string& service, std::string_view request_id);

// Streams that endpoints of one software version began.
struct StreamOrigins {
  std::string service;
  std::string version;
  // See StreamKey.
  std::vector<std::uint64_t> keys;

  bool operator==(const StreamOrigins&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, service);
    SerializeName(archive, version);
    auto count = static_cast<std::uint32_t>(keys.size());
    archive(count);
    codec_internal::CheckLength(count, kMaxEncodedItems);
    if constexpr (Archive::is_loading::value) keys.clear();
    for (std::uint32_t i = 0; i < count; ++i) {
      std::uint64_t key = Archive::is_loading::value ? 0 : keys[i];
      archive(key);
      if constexpr (Archive::is_loading::value) keys.push_back(key);
    }
  }
};

// The software versions of a service that may have begun a stream which can still be taken up.
struct ServiceVersions {
  std::string service;
  std::vector<std::string> versions;

  bool operator==(const ServiceVersions&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, service);
    SerializeNames(archive, versions);
  }
};

// Which software versions of each service have served within kStreamLifetime, as far as one daemon
// knows. Not thread-safe.
class VersionHistory {
 public:
  // `begun`: since when the daemon has recorded the versions.
  explicit VersionHistory(MonotonicTime begun) : begun_(begun), viewed_at_(begun) {}

  // Records that endpoints of a version serve, or have served until now. Returns true if the
  // version is not in the history.
  bool Record(const std::string& service, const std::string& version, MonotonicTime now);

  // Records whether the daemon's view of the endpoints is current. A version may have come and gone
  // during a long time without one, also while the process was paused, so the history begins anew.
  // To be called several times within kMaxViewGap.
  void RecordView(bool is_current, MonotonicTime now);

  // All versions that served before this daemon recorded them have been recorded since.
  void MarkComplete() { complete_ = true; }

  // Whether no version is missing that has served within kStreamLifetime.
  bool IsComplete(MonotonicTime now) const { return complete_ || now - begun_ >= kStreamLifetime; }

  // The only version of a service that can have begun a stream; std::nullopt if there are several,
  // or if some may be missing.
  std::optional<std::string> OnlyVersion(const std::string& service, MonotonicTime now) const;

  // Whether another version of a service may have served.
  bool HasOther(const std::string& service, const std::string& version) const;

  // The versions of all services, sorted.
  std::vector<ServiceVersions> All() const;

  // Forgets versions that have not served within kStreamLifetime.
  void PruneExpired(MonotonicTime now);

 private:
  static constexpr milliseconds kMaxViewGap{3000};

  MonotonicTime begun_;
  // When the view of the endpoints was last current.
  MonotonicTime viewed_at_;
  bool complete_ = false;
  // By service and version: when it last served.
  std::map<std::string, std::map<std::string, MonotonicTime>> last_served_;
};

// Streams in the order in which they were added, of which those of some services are passed on.
// Holds the latest kMaxStreams. Not thread-safe.
class StreamLog {
 public:
  static constexpr std::size_t kMaxStreams = 200000;

  void Add(const std::string& service, const std::string& version, std::uint64_t key,
           MonotonicTime now);

  // Returns the streams that have not been returned yet, without those of services that
  // `is_settled` names: it is known of all their streams which version began them. At most
  // `max_keys`.
  template <class Predicate>
  std::vector<StreamOrigins> Take(const Predicate& is_settled, std::size_t max_keys) {
    std::vector<StreamOrigins> taken;
    std::size_t count = 0;
    for (auto& [origin, streams] : streams_) {
      if (is_settled(origin.first)) continue;
      StreamOrigins part{origin.first, origin.second, {}};
      while (streams.taken < streams.entries.size() && count < max_keys) {
        part.keys.push_back(streams.entries[streams.taken++].key);
        ++count;
      }
      if (!part.keys.empty()) taken.push_back(std::move(part));
    }
    return taken;
  }

  // All streams are to be returned again.
  void Rewind();

  // Forgets streams that were added kStreamLifetime ago.
  void PruneExpired(MonotonicTime now);

  void Clear();

  std::size_t size() const { return size_; }

 private:
  struct Entry {
    std::uint64_t key = 0;
    MonotonicTime added_at;
  };
  struct Streams {
    std::deque<Entry> entries;
    // Number of entries at the front that have been returned.
    std::size_t taken = 0;
  };

  void PopFront(Streams* streams);

  // By service and version.
  std::map<std::pair<std::string, std::string>, Streams> streams_;
  std::size_t size_ = 0;
};

// The software versions that began streams. Holds the latest kMaxStreams. Not thread-safe.
class StreamOriginTable {
 public:
  static constexpr std::size_t kMaxStreams = 200000;

  void Add(std::uint64_t key, const std::string& version, MonotonicTime now);
  // std::nullopt if the stream is unknown.
  std::optional<std::string> Find(std::uint64_t key) const;
  // Forgets streams that were last added kStreamLifetime ago.
  void PruneExpired(MonotonicTime now);
  std::size_t size() const { return origins_.size(); }

 private:
  struct Origin {
    std::uint32_t version = 0;
    MonotonicTime added_at;
  };
  struct Addition {
    std::uint64_t key = 0;
    MonotonicTime at;
  };

  void ForgetOldest();
  std::uint32_t NumberOf(const std::string& version);

  std::unordered_map<std::uint64_t, Origin> origins_;
  std::deque<Addition> additions_;
  std::vector<std::string> versions_;
};

// What is known of the software version that began a stream.
enum class OriginState : std::uint8_t {
  kKnown,
  // Several versions may have begun it.
  kUnknown,
  // The answering daemon is not the leader, or does not know the versions yet.
  kNoAnswer
};
inline constexpr NameTable<OriginState, 3> kOriginStateNames{{"known", "unknown", "no answer"}};

struct StreamOrigin {
  OriginState state = OriginState::kNoAnswer;
  // Empty unless it is known.
  std::string version;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeEnum(archive, state, 3);
    SerializeName(archive, version);
  }
};

// What one daemon knows of the software versions that began streams. What two versions write does
// not fit together, so a stream goes on only at the version that began it. Each daemon reports the
// streams that begin there to the placement leader, unless it knows that a single version of their
// service has served; the leader answers questions for streams, and keeps the versions and, while a
// service has several, its streams in the store. Not thread-safe.
class StreamVersions {
 public:
  explicit StreamVersions(MonotonicTime started) : history_(started) {}

  // Records that an endpoint of a version is registered. Returns true if the version is new.
  bool RecordServing(const std::string& service, const std::string& version, MonotonicTime now) {
    return history_.Record(service, version, now);
  }

  // The first event of an attempt has arrived from an endpoint of a version. `request_ids` are the
  // ids by which callers may name the stream.
  void RecordStream(const std::string& service, const std::string& version,
                    const std::vector<std::string>& request_ids, MonotonicTime now);

  // Which version began a stream, as far as this daemon knows. `view_is_current`: whether the
  // directory of endpoints is up to date; if not, other versions may serve.
  StreamOrigin Find(const std::string& service, std::uint64_t key, bool view_is_current,
                    MonotonicTime now) const;

  // The streams that began at this daemon and are to be reported to the leader.
  std::vector<StreamOrigins> TakeReport(MonotonicTime now);
  // Another daemon leads: all streams are to be reported again.
  void ReportAgain() { own_.Rewind(); }

  // Adds streams that daemons reported to this one. Precondition: this daemon leads.
  void AddReport(const std::vector<StreamOrigins>& report, MonotonicTime now);
  // Adds what an earlier leader has stored. `may_serve`: whether the versions of the streams may
  // still serve.
  void AddStored(const std::vector<StreamOrigins>& streams, bool may_serve, MonotonicTime now);
  void AddStored(const std::vector<ServiceVersions>& versions, MonotonicTime now);

  // The reported streams that are to be stored, since their services have several versions.
  std::vector<StreamOrigins> TakeUnstored(std::size_t max_keys, MonotonicTime now);
  // This daemon leads no longer.
  void ForgetUnstored() { unstored_.Clear(); }

  VersionHistory& history() { return history_; }
  const VersionHistory& history() const { return history_; }
  // Number of streams whose version is known.
  std::size_t streams() const { return table_.size(); }

  void PruneExpired(MonotonicTime now);

 private:
  void AddToTable(const StreamOrigins& streams, MonotonicTime now);

  VersionHistory history_;
  StreamOriginTable table_;
  // The streams that began at this daemon.
  StreamLog own_;
  // Streams that were reported to this daemon while it led.
  StreamLog unstored_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_STREAM_VERSIONS_H_
