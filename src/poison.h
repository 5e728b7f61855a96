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

// Records of poison requests, that is, of requests that crash the endpoints that run them.

// Number of endpoint crashes after which a request is refused.
inline constexpr std::size_t kMaxCrashes = 2;
// The crashes of a request are forgotten this long after the last one was recorded.
inline constexpr seconds kPoisonRetention{3600};

// Hash of the content of a request. It does not depend on the caller, so that retries by any
// caller match. Thread-safe.
std::string PoisonFingerprint(std::string_view model, std::string_view prompt);

// Unique ID of a crash of one endpoint process. All daemons derive the same ID, so a crash that
// several of them observe is counted once. Thread-safe.
std::string CrashId(std::string_view endpoint, std::string_view incarnation);

// Stored in the key-value service for each request that was in flight at an endpoint when it
// crashed.
struct PoisonRecord {
  // IDs of at most kMaxCrashes crashes, see CrashId.
  std::vector<std::string> crashes;
  std::int64_t expires_ms = 0;
  // Nonce of the trial in progress; zero for none. During a trial the request runs without other
  // requests at its endpoint. A trial that expires without a result counts as a crash.
  std::uint64_t trial_nonce = 0;
  std::int64_t trial_until_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeList(archive, crashes);
    archive(expires_ms, trial_nonce, trial_until_ms);
  }
};

// Exclusive claim on an endpoint by one suspect request. If two suspects ran there and the endpoint
// crashed, the crash would count against both although only one caused it.
struct EndpointClaim {
  std::uint64_t nonce = 0;
  std::int64_t until_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce, until_ms);
  }
};

// kClean: may run. kSuspect: may run as a trial only. kOnTrial: a trial is in progress, possibly in
// another daemon. kPoisoned: must not run. kUnverified: the record can't be read or written.
enum class PoisonVerdict : std::uint8_t { kClean, kSuspect, kOnTrial, kPoisoned, kUnverified };
inline constexpr NameTable<PoisonVerdict, 5> kPoisonVerdictNames{
    {"clean", "suspect", "on_trial", "poisoned", "unverified"}};

// Verdict on a stored record at `now`; never kUnverified. Thread-safe.
PoisonVerdict PoisonVerdictAt(const PoisonRecord& record, WallTime now);

// Adds the IDs of `crashes` to `record` and extends its lifetime. An expired record is cleared
// first. Returns false if `record` needs no write. Thread-safe.
bool AddCrashes(const std::set<std::string>& crashes, WallTime now, PoisonRecord* record);

// Local cache of the fingerprints that may have a poison record. A hint never permits a request to
// run; it only tells that the stored record has to be read. Not thread-safe.
class PoisonHints {
 public:
  bool Contains(const std::string& fingerprint) const { return hints_.contains(fingerprint); }
  // True if the record that was read last refuses the request and has not expired.
  bool IsPoisoned(const std::string& fingerprint, WallTime now) const;

  // Adds a crash. `recorded` tells whether it is already stored in the key-value service.
  void Add(const std::string& fingerprint, const std::string& crash, bool recorded, WallTime now);
  // Updates the hint from a record that was read or written.
  void Update(const std::string& fingerprint, const PoisonRecord& record);
  void Remove(const std::string& fingerprint) { hints_.erase(fingerprint); }

  // IDs of the crashes that are not known to be stored yet.
  std::set<std::string> Unrecorded(const std::string& fingerprint) const;

  // Synchronizes the hints with all stored records, as listed at `listed_at`. Hints without a
  // record are dropped unless they hold unrecorded crashes or are newer than `listed_at`.
  void Replace(const std::map<std::string, PoisonRecord>& records, WallTime listed_at);

  std::size_t size() const { return hints_.size(); }

 private:
  struct Hint {
    std::set<std::string> unrecorded;
    std::int64_t updated_ms = 0;
    std::int64_t expires_ms = 0;
    bool poisoned = false;
  };

  std::map<std::string, Hint> hints_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_POISON_H_
