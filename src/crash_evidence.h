#ifndef MIMOSABEND_CRASH_EVIDENCE_H_
#define MIMOSABEND_CRASH_EVIDENCE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "codec.h"
#include "name_table.h"

namespace mimosabend {

// How a request is treated because of the crashes that it was involved in. kClean, kSuspect: it
// runs normally. kLone: it runs, but not at an endpoint where another kLone request has not
// produced output yet, so that a crash can be attributed to one of them. kContained: it is no
// longer sent to endpoints.
enum class CrashVerdict : std::uint8_t { kClean, kSuspect, kLone, kContained };
inline constexpr NameTable<CrashVerdict, 4> kCrashVerdictNames{
    {"clean", "suspect", "lone", "contained"}};

// A request that was running at an endpoint when the endpoint crashed.
struct CrashedRun {
  std::uint64_t fingerprint = 0;
  // Whether the endpoint had started to respond to it.
  bool response_started = false;
  MonotonicTime sent_at{};
  // Ids of the parts of its prompt that other requests may share.
  std::vector<std::uint64_t> parts{};
};

// Sent between daemons: a request was running when an endpoint crashed, or was served later.
struct CrashRecord {
  // See RequestFingerprint.
  std::uint64_t fingerprint = 0;
  // EndpointNumber of the incarnation that crashed; kServed if the request was served.
  std::uint32_t crash = 0;
  // Whether the endpoint had started to respond to the request.
  bool response_started = false;
  std::uint32_t age_ms = 0;

  static constexpr std::uint32_t kServed = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, crash, age_ms);
    SerializeFlag(archive, response_started);
  }
};

// Records which requests were running when endpoints crashed, to find the requests that cause
// crashes. An incarnation (one process lifetime) of an endpoint crashes at most once, so its number
// identifies the crash, and records of several daemons can be merged without coordination. Memory
// is bounded. Not thread-safe.
class CrashEvidence {
 public:
  // Crashes after which a request is contained, unless another request was involved in all of
  // them.
  static constexpr std::size_t kMaxCrashes = 3;
  // Crashes before the first output of a request after which it is contained in any case.
  static constexpr std::size_t kMaxCrashesAtStart = 4;
  // How long a crash is attributed to a request.
  static constexpr seconds kRetention{3600};
  // Time within which the records of a crash reach all daemons.
  static constexpr milliseconds kPropagationTime{1000};
  // Interval between ambiguous requests that run one after another. Within it, a request normally
  // either gets its first output or crashes its endpoint.
  static constexpr milliseconds kTrialInterval{150};
  // A request that was served is not blamed for a crash within this time.
  static constexpr seconds kServedGracePeriod{60};
  static constexpr std::size_t kMaxSuspects = 1024;
  static constexpr std::size_t kMaxServed = 1024;
  // Maximum number of records in one message, about 4 kilobytes.
  static constexpr std::size_t kMaxRecords = 256;

  // `on_records_added` is called when records were added that other daemons should receive.
  void set_on_records_added(std::function<void()> on_records_added) {
    on_records_added_ = std::move(on_records_added);
  }

  // Records the requests that were running at an incarnation when it crashed. If some of them have
  // already been involved in two crashes, only those are blamed.
  void RecordCrash(std::uint32_t crash, const std::vector<CrashedRun>& runs, MonotonicTime now);

  // Records that a request was served, which clears it of earlier crashes.
  void RecordServed(std::uint64_t fingerprint, MonotonicTime now);

  CrashVerdict Classify(std::uint64_t fingerprint, MonotonicTime now) const;

  // Until when a request with kMaxCrashes crashes is neither run nor refused. Other daemons may
  // still report a second request that was involved in the same crashes. Such requests run one
  // after another, in the same order at all daemons. std::nullopt if the request is not held at
  // `now`.
  std::optional<MonotonicTime> HeldUntil(std::uint64_t fingerprint, MonotonicTime now) const;

  // Number of crashes within kRetention that are attributed to a request.
  std::size_t CrashCount(std::uint64_t fingerprint, MonotonicTime now) const;

  // When the last crash attributed to a request expires. Precondition: the request is known and has
  // a crash.
  MonotonicTime ExpiresAt(std::uint64_t fingerprint) const;

  // Returns at most kMaxRecords records that were added after a position of the log, and sets
  // `next` to the position from which to continue.
  std::vector<CrashRecord> RecordsSince(std::uint64_t position, MonotonicTime now,
                                        std::uint64_t* next) const;

  // Adds records of another daemon.
  void Merge(const std::vector<CrashRecord>& records, MonotonicTime now);

  // Removes records older than kRetention.
  void PruneExpired(MonotonicTime now);

  // Number of requests with records.
  std::size_t suspects() const { return suspects_.size(); }

 private:
  // When something was observed, and the position of its log entry.
  struct Observation {
    MonotonicTime at;
    std::uint64_t position = 0;
    bool response_started = false;
  };
  struct Suspect {
    std::map<std::uint32_t, Observation> crashes;
    std::optional<Observation> served;
  };
  struct LogEntry {
    std::uint64_t fingerprint = 0;
    std::uint32_t crash = 0;
  };

  static bool CrashedTooOftenAtStart(const Suspect& suspect);
  static MonotonicTime LastCrash(const Suspect& suspect);
  bool AddCrash(const CrashedRun& run, std::uint32_t crash, MonotonicTime at);
  bool AddServed(std::uint64_t fingerprint, MonotonicTime at);
  bool WasServed(std::uint64_t fingerprint, MonotonicTime at) const;
  void LogIfContained(std::uint64_t fingerprint, MonotonicTime now) const;
  bool IsAmbiguous(std::uint64_t fingerprint, const Suspect& suspect) const;
  int PositionInOrder(std::uint64_t fingerprint, const Suspect& suspect) const;
  Observation Append(std::uint64_t fingerprint, std::uint32_t crash, MonotonicTime at);
  void EraseLogEntry(const Observation& observation) { log_.erase(observation.position); }
  void Erase(std::map<std::uint64_t, Suspect>::iterator it);
  void EvictIfFull();
  void RememberServed(std::uint64_t fingerprint, MonotonicTime now);

  std::map<std::uint64_t, Suspect> suspects_;
  // Records for other daemons, by position.
  std::map<std::uint64_t, LogEntry> log_;
  std::uint64_t last_position_ = 0;
  // Requests that were served recently, and their order of insertion, oldest first.
  std::unordered_map<std::uint64_t, MonotonicTime> served_;
  std::deque<std::uint64_t> served_order_;
  std::function<void()> on_records_added_ = [] {};
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CRASH_EVIDENCE_H_
