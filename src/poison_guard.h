#ifndef MIMOSABEND_POISON_GUARD_H_
#define MIMOSABEND_POISON_GUARD_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "digest.h"
#include "kv_store.h"
#include "metrics.h"
#include "poison.h"
#include "supervisor.h"

namespace mimosabend {

// The right to run a suspect alone, if the verdict is kSuspect.
struct PoisonTrial {
  PoisonVerdict verdict = PoisonVerdict::kUnverified;
  std::uint64_t nonce = 0;
};

// Keeps the poison records of an environment in the key-value service. A crash is announced to
// the other daemons before its requests run again, so that a request that its caller sends again
// through another daemon is a suspect there. Not thread-safe.
template <KvStore Kv>
class PoisonGuard {
 public:
  // Tells the other daemons of a crash and waits a bounded time for them.
  using Announce =
      std::function<Task<void>(std::string fingerprint, std::string crash, bool recorded)>;

  // Precondition: `kv` and `metrics` outlive this object and all of its calls.
  PoisonGuard(const std::string& key_prefix, Kv* kv, Announce announce, Metrics* metrics)
      : prefix_(key_prefix + "poison/"),
        claim_prefix_(key_prefix + "poison-endpoint/"),
        kv_(kv),
        announce_(std::move(announce)),
        metrics_(metrics) {}

  // False while this daemon knows of no suspect at all.
  bool HasHints() const { return hints_.size() > 0; }
  bool IsHinted(const std::string& fingerprint) const { return hints_.Contains(fingerprint); }

  // Takes in what another daemon announces.
  void NoteAnnouncement(const std::string& fingerprint, const std::string& crash, bool recorded,
                        WallTime now) {
    hints_.Add(fingerprint, crash, recorded, now);
  }

  // Records that a request was running when an endpoint crashed, and announces it. kSuspect and
  // kOnTrial allow a trial later; after kUnverified the request must not run.
  // `trial` is the nonce of the trial that the crash ended; zero for none.
  Task<PoisonVerdict> RecordCrash(std::string fingerprint, std::string crash, std::uint64_t trial) {
    metrics_->poison_crashes_total->Increment();
    hints_.Add(fingerprint, crash, false, WallNow());
    std::function<bool(PoisonRecord*)> change = [this, fingerprint, trial](PoisonRecord* record) {
      bool changed = AddCrashes(hints_.Unrecorded(fingerprint), WallNow(), record);
      if (trial != 0 && record->trial == trial) {
        record->trial = 0;
        changed = true;
      }
      return changed;
    };
    const PoisonVerdict verdict = co_await Update(fingerprint, std::move(change));
    co_await announce_(fingerprint, crash, verdict != PoisonVerdict::kUnverified);
    co_return verdict;
  }

  // What is known of a request without claiming anything.
  Task<PoisonVerdict> Check(std::string fingerprint) {
    if (!hints_.Contains(fingerprint)) co_return PoisonVerdict::kClean;
    if (hints_.IsPoisoned(fingerprint, WallNow())) co_return PoisonVerdict::kPoisoned;
    std::function<bool(PoisonRecord*)> change = [this, fingerprint](PoisonRecord* record) {
      return AddCrashes(hints_.Unrecorded(fingerprint), WallNow(), record);
    };
    co_return co_await Update(fingerprint, std::move(change));
  }

  // Claims an endpoint for one suspect against those of all daemons. Zero if it is claimed already
  // or the service does not answer.
  Task<std::uint64_t> ClaimEndpoint(std::string endpoint, WallTime until) {
    EndpointClaim claim;
    claim.nonce = RandomId() | 1;
    claim.until_ms = ToUnixMillis(until);
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (attempt > 0) co_await Sleep(kRetryDelay * attempt);
      auto entry = co_await kv_->Read(ClaimKey(endpoint));
      if (!entry && entry.error() == KvError::kOutcomeUnknown) continue;
      if (!entry) co_return 0;
      const auto held = Decode<EndpointClaim>(entry.value().value);
      // A claim whose answer was lost is recognised by its nonce.
      if (held && held->nonce == claim.nonce) co_return claim.nonce;
      if (held && ToUnixMillis(WallNow()) < held->until_ms) co_return 0;
      auto swap =
          co_await kv_->CompareAndSwap(ClaimKey(endpoint), Encode(claim), entry.value().version);
      if (swap && swap.value().swapped) co_return claim.nonce;
      if (!swap && swap.error() != KvError::kOutcomeUnknown) co_return 0;
    }
    co_return 0;
  }

  // Gives a claim back. One that can't be given back lapses.
  Task<void> ReleaseEndpoint(std::string endpoint, std::uint64_t nonce) {
    auto entry = co_await kv_->Read(ClaimKey(endpoint));
    if (!entry) co_return;
    const auto held = Decode<EndpointClaim>(entry.value().value);
    if (!held || held->nonce != nonce) co_return;
    auto ignored = co_await kv_->Delete(ClaimKey(endpoint), entry.value().version);
    static_cast<void>(ignored);
  }

  // Claims the one trial of a suspect in the fleet until `until`. kSuspect allows the run.
  Task<PoisonTrial> BeginTrial(std::string fingerprint, WallTime until) {
    PoisonTrial trial;
    trial.verdict = co_await Check(fingerprint);
    if (trial.verdict != PoisonVerdict::kSuspect) co_return trial;
    trial.nonce = RandomId() | 1;
    auto claimed = std::make_shared<bool>(false);
    std::function<bool(PoisonRecord*)> change = [=](PoisonRecord* record) {
      // A claim whose answer was lost is recognised by its nonce.
      *claimed = record->trial == trial.nonce;
      if (*claimed || Judge(*record, WallNow()) != PoisonVerdict::kSuspect) return false;
      record->trial = trial.nonce;
      record->trial_until_ms = ToUnixMillis(until);
      *claimed = true;
      return true;
    };
    const PoisonVerdict verdict = co_await Update(fingerprint, std::move(change));
    if (verdict == PoisonVerdict::kOnTrial && *claimed) {
      metrics_->poison_trials_total->Increment();
      co_return trial;
    }
    trial.verdict = verdict;
    co_return trial;
  }

  // Ends a trial without a crash. `innocent` says that the request ran to its end, which deletes
  // the record; otherwise it stays a suspect.
  Task<void> EndTrial(std::string fingerprint, std::uint64_t nonce, bool innocent) {
    if (innocent) {
      auto entry = co_await kv_->Read(Key(fingerprint));
      if (!entry) co_return;
      const auto record = Decode<PoisonRecord>(entry.value().value);
      if (!record || record->trial != nonce) co_return;
      auto deleted = co_await kv_->Delete(Key(fingerprint), entry.value().version);
      if (deleted && deleted.value()) hints_.Remove(fingerprint);
      co_return;
    }
    std::function<bool(PoisonRecord*)> change = [nonce](PoisonRecord* record) {
      if (record->trial != nonce) return false;
      record->trial = 0;
      return true;
    };
    auto ignored = co_await Update(fingerprint, std::move(change));
    static_cast<void>(ignored);
  }

  // Reads all records again and again, for daemons that missed an announcement, and deletes those
  // that have expired.
  Task<void> Refresh() {
    for (;;) {
      const WallTime start = WallNow();
      auto items = co_await kv_->List(prefix_);
      if (items) {
        std::map<std::string, PoisonRecord> records;
        for (const KvItem& item : items.value()) {
          const auto record = Decode<PoisonRecord>(item.entry.value);
          const bool expired = !record || ToUnixMillis(start) >= record->expires_ms;
          if (expired) {
            auto ignored = co_await kv_->Delete(item.key, item.entry.version);
            static_cast<void>(ignored);
            continue;
          }
          records[item.key.substr(prefix_.size())] = *record;
        }
        hints_.Replace(records, start);
      }
      co_await Sleep(kRefreshPeriod);
    }
  }

 private:
  static constexpr int kMaxAttempts = 6;
  static constexpr milliseconds kRetryDelay{20};
  // 23 reads a second with 340 daemons.
  static constexpr seconds kRefreshPeriod{15};

  std::string Key(const std::string& fingerprint) const { return prefix_ + fingerprint; }

  std::string ClaimKey(const std::string& endpoint) const { return claim_prefix_ + endpoint; }

  // Changes a record by compare-and-swap and returns the verdict on what is stored then.
  Task<PoisonVerdict> Update(std::string fingerprint, std::function<bool(PoisonRecord*)> change) {
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (attempt > 0) co_await Sleep(kRetryDelay * attempt);
      auto entry = co_await kv_->Read(Key(fingerprint));
      if (!entry && entry.error() == KvError::kOutcomeUnknown) continue;
      if (!entry) co_return PoisonVerdict::kUnverified;
      PoisonRecord record;
      if (entry.value().exists()) {
        const auto stored = Decode<PoisonRecord>(entry.value().value);
        if (!stored) co_return PoisonVerdict::kUnverified;
        record = *stored;
      }
      if (change(&record)) {
        auto swap =
            co_await kv_->CompareAndSwap(Key(fingerprint), Encode(record), entry.value().version);
        if (!swap && swap.error() != KvError::kOutcomeUnknown) co_return PoisonVerdict::kUnverified;
        if (!swap || !swap.value().swapped) continue;
      } else if (!entry.value().exists()) {
        // The record was deleted after the request ran to its end.
        hints_.Remove(fingerprint);
        co_return PoisonVerdict::kClean;
      }
      hints_.Note(fingerprint, record);
      co_return Judge(record, WallNow());
    }
    co_return PoisonVerdict::kUnverified;
  }

  std::string prefix_;
  std::string claim_prefix_;
  Kv* kv_;
  Announce announce_;
  Metrics* metrics_;
  PoisonHints hints_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_POISON_GUARD_H_
