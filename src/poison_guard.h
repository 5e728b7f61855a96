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

// Result of BeginTrial. kSuspect permits one run without other requests at the endpoint.
struct PoisonTrial {
  PoisonVerdict verdict = PoisonVerdict::kUnverified;
  // Identifies the trial to RecordCrash and EndTrial.
  std::uint64_t nonce = 0;
};

// Limits how many endpoints one request can crash. A request that was in flight when an endpoint
// crashed becomes a suspect: it is retried as a trial only, and refused after kMaxCrashes crashes.
// The records are shared by all daemons of an environment through the key-value service. A crash
// is announced to the other daemons before its requests are retried, so that a caller's retry
// through another daemon is treated as a suspect there, too. Not thread-safe.
template <KvStore Kv>
class PoisonGuard {
 public:
  // Announces a crash to the other daemons and waits for a bounded time for their acknowledgements.
  using Announce =
      std::function<Task<void>(std::string fingerprint, std::string crash, bool recorded)>;

  // Precondition: `kv` and `metrics` outlive this object and all of its calls.
  PoisonGuard(const std::string& key_prefix, Kv* kv, Announce announce, Metrics* metrics)
      : prefix_(key_prefix + "poison/"),
        endpoint_claim_prefix_(key_prefix + "poison-endpoint/"),
        kv_(kv),
        announce_(std::move(announce)),
        metrics_(metrics) {}

  // False if this daemon knows of no suspect, so that no fingerprint has to be computed.
  bool HasHints() const { return hints_.size() > 0; }
  // True if the request may be a suspect; Check or BeginTrial decides.
  bool HasHint(const std::string& fingerprint) const { return hints_.Contains(fingerprint); }

  // Handles a crash that another daemon announced.
  void AddAnnouncedCrash(const std::string& fingerprint, const std::string& crash, bool recorded,
                         WallTime now) {
    hints_.Add(fingerprint, crash, recorded, now);
  }

  // Records that a request was in flight when an endpoint crashed, and announces it. kSuspect and
  // kOnTrial permit a later trial; after kPoisoned and kUnverified the request must not run.
  // `trial_nonce` is that of the trial that the crash ended; zero for none.
  Task<PoisonVerdict> RecordCrash(std::string fingerprint, std::string crash,
                                  std::uint64_t trial_nonce) {
    metrics_->poison_crashes_total->Increment();
    hints_.Add(fingerprint, crash, false, WallNow());
    std::function<bool(PoisonRecord*)> change = [this, fingerprint,
                                                 trial_nonce](PoisonRecord* record) {
      bool changed = AddCrashes(hints_.Unrecorded(fingerprint), WallNow(), record);
      if (trial_nonce != 0 && record->trial_nonce == trial_nonce) {
        record->trial_nonce = 0;
        changed = true;
      }
      return changed;
    };
    const PoisonVerdict verdict = co_await Update(fingerprint, std::move(change));
    co_await announce_(fingerprint, crash, verdict != PoisonVerdict::kUnverified);
    co_return verdict;
  }

  // Verdict on a request without starting a trial. Stores crashes that could not be recorded so
  // far.
  Task<PoisonVerdict> Check(std::string fingerprint) {
    if (!hints_.Contains(fingerprint)) co_return PoisonVerdict::kClean;
    if (hints_.IsPoisoned(fingerprint, WallNow())) co_return PoisonVerdict::kPoisoned;
    std::function<bool(PoisonRecord*)> change = [this, fingerprint](PoisonRecord* record) {
      return AddCrashes(hints_.Unrecorded(fingerprint), WallNow(), record);
    };
    co_return co_await Update(fingerprint, std::move(change));
  }

  // Claims an endpoint for one suspect, across all daemons, until `until`. Returns the nonce of the
  // claim, or zero if another suspect holds the endpoint or the key-value service fails.
  Task<std::uint64_t> ClaimEndpoint(std::string endpoint, WallTime until) {
    EndpointClaim claim;
    claim.nonce = RandomId() | 1;
    claim.until_ms = ToUnixMillis(until);
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (attempt > 0) co_await Sleep(kRetryDelay * attempt);
      auto entry = co_await kv_->Read(ClaimKey(endpoint));
      if (!entry && entry.error() == KvError::kOutcomeUnknown) continue;
      if (!entry) co_return 0;
      const auto current = Decode<EndpointClaim>(entry.value().value);
      // An earlier attempt took effect, but its response was lost.
      if (current && current->nonce == claim.nonce) co_return claim.nonce;
      if (current && ToUnixMillis(WallNow()) < current->until_ms) co_return 0;
      auto swap =
          co_await kv_->CompareAndSwap(ClaimKey(endpoint), Encode(claim), entry.value().version);
      if (swap && swap.value().swapped) co_return claim.nonce;
      if (!swap && swap.error() != KvError::kOutcomeUnknown) co_return 0;
    }
    co_return 0;
  }

  // Releases a claim. If the key-value service fails, the claim expires.
  Task<void> ReleaseEndpoint(std::string endpoint, std::uint64_t nonce) {
    auto entry = co_await kv_->Read(ClaimKey(endpoint));
    if (!entry) co_return;
    const auto current = Decode<EndpointClaim>(entry.value().value);
    if (!current || current->nonce != nonce) co_return;
    auto ignored = co_await kv_->Delete(ClaimKey(endpoint), entry.value().version);
    static_cast<void>(ignored);
  }

  // Starts a trial of a suspect, which expires at `until`. At most one trial of a request is in
  // progress across all daemons. The request may run only if the verdict is kSuspect.
  Task<PoisonTrial> BeginTrial(std::string fingerprint, WallTime until) {
    PoisonTrial trial;
    trial.verdict = co_await Check(fingerprint);
    if (trial.verdict != PoisonVerdict::kSuspect) co_return trial;
    trial.nonce = RandomId() | 1;
    auto claimed = std::make_shared<bool>(false);
    std::function<bool(PoisonRecord*)> change = [=](PoisonRecord* record) {
      // An earlier attempt took effect, but its response was lost.
      *claimed = record->trial_nonce == trial.nonce;
      if (*claimed || PoisonVerdictAt(*record, WallNow()) != PoisonVerdict::kSuspect) return false;
      record->trial_nonce = trial.nonce;
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

  // Ends a trial without a crash. If the request completed, its record is deleted; otherwise the
  // request remains a suspect.
  Task<void> EndTrial(std::string fingerprint, std::uint64_t nonce, bool completed) {
    if (completed) {
      auto entry = co_await kv_->Read(Key(fingerprint));
      if (!entry) co_return;
      const auto record = Decode<PoisonRecord>(entry.value().value);
      if (!record || record->trial_nonce != nonce) co_return;
      auto deleted = co_await kv_->Delete(Key(fingerprint), entry.value().version);
      if (deleted && deleted.value()) hints_.Remove(fingerprint);
      co_return;
    }
    std::function<bool(PoisonRecord*)> change = [nonce](PoisonRecord* record) {
      if (record->trial_nonce != nonce) return false;
      record->trial_nonce = 0;
      return true;
    };
    auto ignored = co_await Update(fingerprint, std::move(change));
    static_cast<void>(ignored);
  }

  // Runs forever: reads all records periodically, in case this daemon missed an announcement, and
  // deletes the expired ones.
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
  // 23 reads per second with 340 daemons.
  static constexpr seconds kRefreshPeriod{15};

  std::string Key(const std::string& fingerprint) const { return prefix_ + fingerprint; }

  std::string ClaimKey(const std::string& endpoint) const {
    return endpoint_claim_prefix_ + endpoint;
  }

  // Applies `change` to a record by compare-and-swap and returns the verdict on the stored result.
  // `change` may be called several times and returns false if no write is needed.
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
        // The record was deleted after the request completed or once it had expired.
        hints_.Remove(fingerprint);
        co_return PoisonVerdict::kClean;
      }
      hints_.Update(fingerprint, record);
      co_return PoisonVerdictAt(record, WallNow());
    }
    co_return PoisonVerdict::kUnverified;
  }

  std::string prefix_;
  std::string endpoint_claim_prefix_;
  Kv* kv_;
  Announce announce_;
  Metrics* metrics_;
  PoisonHints hints_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_POISON_GUARD_H_
