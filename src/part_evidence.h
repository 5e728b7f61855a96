#ifndef MIMOSABEND_PART_EVIDENCE_H_
#define MIMOSABEND_PART_EVIDENCE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "crash_evidence.h"

namespace mimosabend {

// Sent between daemons: a part of a prompt was in a request that was running when an endpoint
// crashed, or in a request that was served.
struct PartRecord {
  std::uint64_t part = 0;
  // EndpointNumber of the incarnation that crashed; kServed if a request with the part was served.
  std::uint32_t crash = 0;
  // RequestFingerprint of the request that was running; 0 if it was served.
  std::uint64_t request = 0;
  // Whether the endpoint had started to respond to the request.
  bool response_started = false;
  std::uint32_t age_ms = 0;
  // Time from sending the request until the crash was recorded.
  std::uint32_t run_ms = 0;

  static constexpr std::uint32_t kServed = 0;

  // Whether the records differ in their part only.
  bool IsOfSameRun(const PartRecord& other) const {
    return crash == other.crash && request == other.request &&
           response_started == other.response_started && age_ms == other.age_ms &&
           run_ms == other.run_ms;
  }

  // The fields that records of the same run share.
  template <class Archive>
  void SerializeRun(Archive& archive) {
    archive(crash, request, age_ms, run_ms);
    SerializeFlag(archive, response_started);
  }
};

// Serializes records so that successive records of the same run take 8 bytes each. Throws
// cereal::Exception.
template <class Archive>
void SerializePartRecords(Archive& archive, std::vector<PartRecord>& records) {
  auto count = static_cast<std::uint32_t>(records.size());
  archive(count);
  codec_internal::CheckLength(count, kMaxEncodedItems);
  if constexpr (Archive::is_loading::value) records.clear();
  for (std::uint32_t done = 0; done < count;) {
    PartRecord run;
    std::uint32_t size = 0;
    if constexpr (!Archive::is_loading::value) {
      run = records[done];
      while (done + size < count && records[done + size].IsOfSameRun(run)) ++size;
    }
    run.SerializeRun(archive);
    archive(size);
    if (size == 0 || size > count - done) throw cereal::Exception("wrong number of parts of a run");
    for (std::uint32_t i = 0; i < size; ++i) {
      if constexpr (Archive::is_loading::value) records.push_back(run);
      archive(records[done + i].part);
    }
    done += size;
  }
}

// Finds the parts of prompts that crash each endpoint that runs a request with them, whatever else
// the request contains. A part is blamed by the crashes since a request with it was last served.
// Like CrashEvidence, it merges the records of all daemons without coordination, and its memory is
// bounded, whatever the number of parts of a request. Not thread-safe. Precondition of all methods:
// the parts of one request are distinct.
class PartEvidence {
 public:
  // What it takes to contain a part. Crashes are in sequence if the request of each one was sent
  // after the crash before: endpoints that crash at the same time for another reason count once.
  // Repeats of a single request are contained by CrashEvidence.
  struct Threshold {
    int crashes = 0;
    int crashes_in_sequence = 0;
    std::size_t requests = 0;
  };
  // For a part that was never served.
  static constexpr Threshold kUnknownPart{3, 2, 2};
  // For a part that was served before its crashes. A part that all requests of a route share is in
  // nearly every crash, and is served again between them.
  static constexpr Threshold kKnownPart{4, 4, 2};
  // This many crashes after the start of a response count as one before it, since the endpoint had
  // run the request without a crash until then.
  static constexpr int kStartedCrashesPerCrash = 2;
  // Time within which the records of a crash reach all daemons. A part is not contained before the
  // records of another part in the same crashes can have arrived.
  static constexpr milliseconds kPropagationTime = CrashEvidence::kPropagationTime;
  static constexpr seconds kRetention{3600};
  // Time until a contained part is tried again. It is multiplied by kTrialDelayFactor with each
  // further crash in sequence.
  static constexpr seconds kMinTrialDelay{8};
  static constexpr int kTrialDelayFactor = 4;
  // A part that was never served is tried again only after kMaxTrialDelay if it has crashed more
  // endpoints than this.
  static constexpr std::size_t kMaxEarlyTrialCrashes = 4;
  static constexpr seconds kMaxTrialDelay{1800};
  static constexpr std::size_t kMaxSuspects = 4096;
  static constexpr std::size_t kMaxServed = 16384;
  // Parts that one daemon records for one crash, over all requests that were running: those that
  // were never served, and those that were served before. A part that crashes endpoints is not
  // served any more, so the latter are recorded in the order of when they were last served.
  static constexpr std::size_t kMaxUnknownPartsPerCrash = 1024;
  static constexpr std::size_t kMaxKnownPartsPerCrash = 64;
  // Maximum number of records in one message, about 8 kilobytes if they are of the same run.
  static constexpr std::size_t kMaxRecords = 1024;

  // `seed` must differ between daemons: it spreads their trials of a part over time.
  explicit PartEvidence(std::uint64_t seed) : seed_(seed) {}

  // `on_records_added` is called when records were added that other daemons should receive.
  void set_on_records_added(std::function<void()> on_records_added) {
    on_records_added_ = std::move(on_records_added);
  }

  // Records the requests that were running at an incarnation when it crashed.
  void RecordCrash(std::uint32_t crash, const std::vector<CrashedRun>& runs, MonotonicTime now);

  // Records that a request with these parts was served. It clears them of the crashes before the
  // endpoint started to respond to it.
  void RecordServed(std::span<const std::uint64_t> parts, MonotonicTime response_started,
                    MonotonicTime now);

  // How a request with these parts is treated, unless HeldUntil is set. kLone for a part that may
  // be tried again: BeginTrial must be called when it is sent.
  CrashVerdict Classify(std::span<const std::uint64_t> parts, MonotonicTime now) const;

  // When this daemon may try the parts again for which a request is contained; std::nullopt if it
  // is not contained, or held for now.
  std::optional<MonotonicTime> ContainedUntil(std::span<const std::uint64_t> parts,
                                              MonotonicTime now) const;

  // Until when a request with a part that has just been found to be contained is neither run nor
  // refused, since records of other daemons may show that another part caused the crashes.
  std::optional<MonotonicTime> HeldUntil(std::span<const std::uint64_t> parts,
                                         MonotonicTime now) const;

  // A request with these parts is about to be sent. If that is a trial of a contained part, this
  // daemon sends no other request with the part until the next trial is due.
  void BeginTrial(std::span<const std::uint64_t> parts, MonotonicTime now);

  // Returns at most kMaxRecords records that were added after a position of the log, and sets
  // `next` to the position from which to continue.
  std::vector<PartRecord> RecordsSince(std::uint64_t position, MonotonicTime now,
                                       std::uint64_t* next) const;

  // Adds records of another daemon.
  void Merge(const std::vector<PartRecord>& records, MonotonicTime now);

  // Removes records older than kRetention.
  void PruneExpired(MonotonicTime now);

  // Number of crashes since a request with the part was last served.
  std::size_t CrashCount(std::uint64_t part) const;

  // Number of parts with records, and of those that are contained.
  std::size_t suspects() const { return suspects_.size(); }
  std::size_t contained() const { return culprits_.size(); }

 private:
  struct Crash {
    std::uint64_t request = 0;
    bool response_started = false;
    MonotonicTime sent_at;
    MonotonicTime at;
    std::uint64_t position = 0;
  };
  struct Served {
    MonotonicTime at;
    std::uint64_t position = 0;
  };
  struct Suspect {
    // The crashes since the part was last served, by EndpointNumber.
    std::map<std::uint32_t, Crash> crashes;
    std::optional<Served> served;
    // When this daemon last tried the part while it was contained.
    MonotonicTime tried_at;
  };
  struct LogEntry {
    std::uint64_t part = 0;
    std::uint32_t crash = 0;
  };
  // Parts that are contained and were in the same crashes. A request is contained only if it has
  // all of them.
  struct Group {
    std::size_t parts = 0;
  };
  // A part that is contained.
  struct Culprit {
    std::shared_ptr<const Group> group;
    // When this daemon found it.
    MonotonicTime found_at;
    MonotonicTime trial_at;
  };
  // The order of eviction, lowest first.
  struct Rank {
    std::size_t crashes = 0;
    MonotonicTime last_record;
    std::uint64_t part = 0;
    auto operator<=>(const Rank&) const = default;
  };
  // A part of a request that was running at a crash.
  struct CrashedPart {
    std::uint64_t part = 0;
    const CrashedRun* run = nullptr;
    // Crashes since it was last served.
    std::size_t crashes = 0;
    std::optional<MonotonicTime> served_at;
  };
  using Culprits = std::unordered_map<std::uint64_t, Culprit>;
  // Parts that may be contained, by the crashes that no part found before explains.
  using Candidates = std::map<std::set<std::uint32_t>, std::vector<std::uint64_t>>;

  // Crashes of one part, in order of time.
  using Crashes = std::vector<const Crash*>;

  static Crashes UnexplainedCrashes(const Suspect& suspect,
                                    const std::set<std::uint32_t>& explained);
  static int CrashesInSequence(const Crashes& crashes);
  static bool Exceeds(const Crashes& crashes, const Threshold& threshold, int factor);
  static bool IsBlamed(const Crashes& crashes, const Threshold& threshold);
  Candidates FindCandidates(bool served, const std::set<std::uint32_t>& explained) const;
  Culprits FindCulprits(MonotonicTime now) const;
  void UpdateCulprits(MonotonicTime now);
  MonotonicTime TrialTime(std::uint64_t part, const Suspect& suspect) const;
  std::vector<const Culprit*> CulpritsOf(std::span<const std::uint64_t> parts,
                                         MonotonicTime now) const;
  CrashedPart MakeCrashedPart(std::uint64_t part, const CrashedRun& run) const;
  std::vector<CrashedPart> SelectParts(std::uint32_t crash,
                                       const std::vector<CrashedRun>& runs) const;
  static bool HasCrashUntil(const Suspect& suspect, MonotonicTime at);
  bool AddCrash(std::uint64_t part, std::uint32_t crash, const Crash& observed);
  bool AddServed(std::uint64_t part, MonotonicTime at);
  std::optional<MonotonicTime> LastServed(std::uint64_t part) const;
  void RememberServed(std::uint64_t part, MonotonicTime at);
  void ClearCrashesUntil(Suspect* suspect, MonotonicTime at);
  void SetServed(std::uint64_t part, Suspect* suspect, MonotonicTime at);
  Suspect& SuspectOf(std::uint64_t part);
  std::uint64_t Append(std::uint64_t part, std::uint32_t crash);
  static Rank RankOf(std::uint64_t part, const Suspect& suspect);
  void FindVictims();
  void EvictOne();
  void Erase(std::unordered_map<std::uint64_t, Suspect>::iterator it);

  std::uint64_t seed_;
  std::unordered_map<std::uint64_t, Suspect> suspects_;
  Culprits culprits_;
  // The next parts to evict, the last one first. Finding them takes a pass over the table.
  std::vector<Rank> victims_;
  // Records for other daemons, by position.
  std::map<std::uint64_t, LogEntry> log_;
  std::uint64_t last_position_ = 0;
  // When parts were last served: the most recent first, and an index.
  std::list<std::pair<std::uint64_t, MonotonicTime>> served_;
  std::unordered_map<std::uint64_t, decltype(served_)::iterator> served_index_;
  std::function<void()> on_records_added_ = [] {};
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PART_EVIDENCE_H_
