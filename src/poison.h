#ifndef MIMOSABEND_POISON_H_
#define MIMOSABEND_POISON_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "codec.h"
#include "name_table.h"

namespace mimosabend {

// Crashes after which a request is refused.
inline constexpr std::size_t kMaxCrashes = 2;
// How long a crash counts against a request.
inline constexpr seconds kPoisonRetention{3600};

// Identifies a request by its content, whoever sends it. Thread-safe.
std::string PoisonFingerprint(std::string_view model, std::string_view prompt);

// Names one crash, so that all daemons that see it count it once. Thread-safe.
std::string CrashId(std::string_view endpoint, std::string_view incarnation);

// What the key-value service holds of a request that was running when an endpoint crashed.
struct PoisonRecord {
  std::vector<std::string> crashes;
  std::int64_t expires_ms = 0;
  // The daemon that runs the request alone now; zero for none. A trial that has lapsed without a
  // result counts as a crash.
  std::uint64_t trial = 0;
  std::int64_t trial_until_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeList(archive, crashes);
    archive(expires_ms, trial, trial_until_ms);
  }
};

// A suspect that runs at an endpoint. No other suspect of any daemon may run beside it: if the
// endpoint crashed, both would be counted, and one is innocent.
struct EndpointClaim {
  std::uint64_t nonce = 0;
  std::int64_t until_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce, until_ms);
  }
};

// kClean: may run. kSuspect: may run alone. kOnTrial: runs alone elsewhere. kUnverified: the
// record can't be read or written.
enum class PoisonVerdict : std::uint8_t { kClean, kSuspect, kOnTrial, kPoisoned, kUnverified };
inline constexpr NameTable<PoisonVerdict, 5> kPoisonVerdictNames{
    {"clean", "suspect", "on_trial", "poisoned", "unverified"}};

// Thread-safe.
PoisonVerdict Judge(const PoisonRecord& record, WallTime now);

// Counts crashes; a record that has expired starts anew. False if nothing changed. Thread-safe.
bool AddCrashes(const std::set<std::string>& crashes, WallTime now, PoisonRecord* record);

// Suspects that this daemon knows of. A hint never allows a request; it says whose record has to
// be read. Not thread-safe.
class PoisonHints {
 public:
  bool Contains(const std::string& fingerprint) const { return hints_.contains(fingerprint); }
  bool IsPoisoned(const std::string& fingerprint, WallTime now) const;

  // Notes a crash. `recorded` says whether it is in the key-value service.
  void Add(const std::string& fingerprint, const std::string& crash, bool recorded, WallTime now);
  // Notes a record that was read or written.
  void Note(const std::string& fingerprint, const PoisonRecord& record);
  void Remove(const std::string& fingerprint) { hints_.erase(fingerprint); }

  // Crashes that could not be recorded yet.
  std::set<std::string> Unrecorded(const std::string& fingerprint) const;

  // Takes over the records of the service: hints that it lacks are dropped unless they hold
  // unrecorded crashes or are newer than `listed_at`.
  void Replace(const std::map<std::string, PoisonRecord>& records, WallTime listed_at);

  std::size_t size() const { return hints_.size(); }

 private:
  struct Hint {
    std::set<std::string> unrecorded;
    std::int64_t noted_ms = 0;
    std::int64_t expires_ms = 0;
    bool poisoned = false;
  };

  std::map<std::string, Hint> hints_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_POISON_H_
