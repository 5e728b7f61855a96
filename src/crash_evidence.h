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

// What the crashes say of a request. kClean and kSuspect: it may run. kLone: it may run, but beside
// no other such request that has not begun, so that a crash tells which of them caused it.
// kContained: it is not sent to endpoints any more.
enum class CrashVerdict : std::uint8_t { kClean, kSuspect, kLone, kContained };
inline constexpr NameTable<CrashVerdict, 4> kCrashVerdictNames{
    {"clean", "suspect", "lone", "contained"}};

// A request that was running at an endpoint when that crashed.
struct CrashedRun {
  std::uint64_t fingerprint = 0;
  // The endpoint had begun to answer it.
  bool begun = false;
};

// A request that was running when an endpoint crashed, or that has been served since.
struct CrashRecord {
  // See RequestFingerprint.
  std::uint64_t fingerprint = 0;
  // The incarnation that crashed, by its EndpointNumber; kServed if the request was served.
  std::uint32_t crash = 0;
  // The endpoint had begun to answer the request.
  bool begun = false;
  std::uint32_t age_ms = 0;

  static constexpr std::uint32_t kServed = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, crash, age_ms);
    SerializeFlag(archive, begun);
  }
};

// Which requests were running when endpoints crashed. An incarnation crashes once, so its number
// names the crash, and records of different daemons add up without any agreement. All memory is
// bounded. Not thread-safe.
class CrashEvidence {
 public:
  // Endpoints that a request may end before it is contained, if no other request was there each
  // time.
  static constexpr std::size_t kMaxCrashes = 3;
  // Endpoints that may end before they begin to answer it, whoever else was there.
  static constexpr std::size_t kMaxAtStart = 4;
  // How long a crash counts against a request.
  static constexpr seconds kRetention{3600};
  // Records of a crash have reached all daemons after this time.
  static constexpr milliseconds kNewsTime{1000};
  // By then, a request has begun to be answered or has ended its endpoint, as a rule.
  static constexpr milliseconds kTurn{150};
  // A request that was served is not blamed for crashes for this long.
  static constexpr seconds kInnocence{60};
  static constexpr std::size_t kMaxSuspects = 1024;
  static constexpr std::size_t kMaxServed = 1024;
  // Records of one message, about 4 kilobytes.
  static constexpr std::size_t kMaxRecords = 256;

  // Called when records were added that other daemons should get.
  void set_on_news(std::function<void()> on_news) { on_news_ = std::move(on_news); }

  // Notes requests that were running at an incarnation when it crashed. If some of them were there
  // at two earlier crashes, the others are not blamed.
  void NoteCrash(std::uint32_t crash, const std::vector<CrashedRun>& runs, MonotonicTime now);

  // Notes that a request was served, which clears it of earlier crashes.
  void NoteServed(std::uint64_t fingerprint, MonotonicTime now);

  CrashVerdict Judge(std::uint64_t fingerprint, MonotonicTime now) const;

  // Until when a request that was at kMaxCrashes crashes is neither run nor refused: other daemons
  // may report that another request was there, too, and of such requests one runs after the other,
  // in the same order at all daemons. std::nullopt if it is not held back at `now`.
  std::optional<MonotonicTime> HeldUntil(std::uint64_t fingerprint, MonotonicTime now) const;

  // Crashes that count against a request.
  std::size_t Crashes(std::uint64_t fingerprint, MonotonicTime now) const;

  // When the last crash that counts against a request is forgotten. Precondition: there is one.
  MonotonicTime ForgottenAt(std::uint64_t fingerprint) const;

  // Records that were added after a position of the log, at most kMaxRecords, and the position
  // after them.
  std::vector<CrashRecord> Since(std::uint64_t position, MonotonicTime now,
                                 std::uint64_t* next) const;

  // Takes in records of another daemon.
  void Merge(const std::vector<CrashRecord>& records, MonotonicTime now);

  // Forgets what is too old.
  void Tick(MonotonicTime now);

  std::size_t suspects() const { return suspects_.size(); }

 private:
  // What is known of one request. Values are when and at which position of the log it was noted.
  struct Note {
    MonotonicTime at;
    std::uint64_t position = 0;
    bool begun = false;
  };
  struct Suspect {
    std::map<std::uint32_t, Note> crashes;
    std::optional<Note> served;
  };
  struct Logged {
    std::uint64_t fingerprint = 0;
    std::uint32_t crash = 0;
  };

  static bool HasEndedAtStart(const Suspect& suspect);
  static MonotonicTime LastCrash(const Suspect& suspect);
  bool AddCrash(const CrashedRun& run, std::uint32_t crash, MonotonicTime at);
  bool AddServed(std::uint64_t fingerprint, MonotonicTime at);
  bool WasServed(std::uint64_t fingerprint, MonotonicTime at) const;
  void LogIfContained(std::uint64_t fingerprint, MonotonicTime now) const;
  bool IsAmbiguous(std::uint64_t fingerprint, const Suspect& suspect) const;
  int TurnOf(std::uint64_t fingerprint, const Suspect& suspect) const;
  Note Append(std::uint64_t fingerprint, std::uint32_t crash, MonotonicTime at);
  void Unlog(const Note& note) { log_.erase(note.position); }
  void Erase(std::map<std::uint64_t, Suspect>::iterator it);
  void MakeRoom();
  void RememberServed(std::uint64_t fingerprint, MonotonicTime now);

  std::map<std::uint64_t, Suspect> suspects_;
  // What other daemons have to know, by position.
  std::map<std::uint64_t, Logged> log_;
  std::uint64_t last_position_ = 0;
  // Requests that were served lately, the oldest first in the queue.
  std::unordered_map<std::uint64_t, MonotonicTime> served_;
  std::deque<std::uint64_t> served_order_;
  std::function<void()> on_news_ = [] {};
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CRASH_EVIDENCE_H_
