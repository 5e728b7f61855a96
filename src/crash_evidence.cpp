#include "crash_evidence.h"

#include <algorithm>
#include <cassert>

#include "digest.h"
#include "log.h"

namespace mimosabend {

namespace {

// Number of crashes from which a request is kLone.
constexpr std::size_t kLoneCrashes = 2;
// Number of crashes stored per request; further ones are ignored.
constexpr std::size_t kMaxCrashesKept = 8;

}  // namespace

// Whether kMaxCrashesAtStart endpoints crashed before they started to respond to the request.
bool CrashEvidence::CrashedTooOftenAtStart(const Suspect& suspect) {
  const auto at_start =
      std::count_if(suspect.crashes.begin(), suspect.crashes.end(),
                    [](const auto& crash) { return !crash.second.response_started; });
  return at_start >= static_cast<std::ptrdiff_t>(kMaxCrashesAtStart);
}

// Precondition: the suspect has crashes.
MonotonicTime CrashEvidence::LastCrash(const Suspect& suspect) {
  MonotonicTime last;
  for (const auto& [crash, observation] : suspect.crashes) last = std::max(last, observation.at);
  return last;
}

void CrashEvidence::RecordCrash(std::uint32_t crash, const std::vector<CrashedRun>& runs,
                                MonotonicTime now) {
  const auto is_lone = [&](const CrashedRun& run) {
    return CrashCount(run.fingerprint, now) >= kLoneCrashes;
  };
  const bool has_lone = std::any_of(runs.begin(), runs.end(), is_lone);
  bool added_any = false;
  for (const CrashedRun& run : runs) {
    if (has_lone && !is_lone(run)) continue;
    if (!AddCrash(run, crash, now)) continue;
    added_any = true;
    LogIfContained(run.fingerprint, now);
  }
  if (added_any) on_records_added_();
}

void CrashEvidence::RecordServed(std::uint64_t fingerprint, MonotonicTime now) {
  RememberServed(fingerprint, now);
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end() || it->second.crashes.empty()) return;
  if (AddServed(fingerprint, now)) on_records_added_();
}

CrashVerdict CrashEvidence::Classify(std::uint64_t fingerprint, MonotonicTime now) const {
  const std::size_t crashes = CrashCount(fingerprint, now);
  if (crashes == 0) return CrashVerdict::kClean;
  if (crashes < kLoneCrashes) return CrashVerdict::kSuspect;
  if (crashes < kMaxCrashes) return CrashVerdict::kLone;
  const Suspect& suspect = suspects_.at(fingerprint);
  const bool contained = CrashedTooOftenAtStart(suspect) || !IsAmbiguous(fingerprint, suspect);
  return contained ? CrashVerdict::kContained : CrashVerdict::kLone;
}

std::optional<MonotonicTime> CrashEvidence::HeldUntil(std::uint64_t fingerprint,
                                                      MonotonicTime now) const {
  if (CrashCount(fingerprint, now) < kMaxCrashes) return std::nullopt;
  const Suspect& suspect = suspects_.at(fingerprint);
  if (CrashedTooOftenAtStart(suspect)) return std::nullopt;
  const MonotonicTime until = LastCrash(suspect) + kPropagationTime +
                              PositionInOrder(fingerprint, suspect) * kTrialInterval;
  return now < until ? std::optional(until) : std::nullopt;
}

// Position of a request among the requests that share kMaxCrashes crashes with it and may still
// run, ordered by fingerprint.
int CrashEvidence::PositionInOrder(std::uint64_t fingerprint, const Suspect& suspect) const {
  const auto precedes = [&](const auto& other) {
    if (CrashedTooOftenAtStart(other.second)) return false;
    const auto shared = std::count_if(
        suspect.crashes.begin(), suspect.crashes.end(),
        [&](const auto& crash) { return other.second.crashes.contains(crash.first); });
    return shared >= static_cast<std::ptrdiff_t>(kMaxCrashes);
  };
  return static_cast<int>(
      std::count_if(suspects_.begin(), suspects_.lower_bound(fingerprint), precedes));
}

void CrashEvidence::LogIfContained(std::uint64_t fingerprint, MonotonicTime now) const {
  if (Classify(fingerprint, now) != CrashVerdict::kContained) return;
  LOG4CPLUS_WARN(Log(), "request is contained content=" << Hex64(fingerprint) << " endpoints_ended="
                                                        << CrashCount(fingerprint, now));
}

// Whether another request was involved in every crash of this one, so that either may be the cause.
bool CrashEvidence::IsAmbiguous(std::uint64_t fingerprint, const Suspect& suspect) const {
  return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& other) {
    if (other.first == fingerprint) return false;
    return std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto& crash) {
      return other.second.crashes.contains(crash.first);
    });
  });
}

std::size_t CrashEvidence::CrashCount(std::uint64_t fingerprint, MonotonicTime now) const {
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) return 0;
  const auto& crashes = it->second.crashes;
  return std::count_if(crashes.begin(), crashes.end(),
                       [&](const auto& crash) { return now - crash.second.at < kRetention; });
}

MonotonicTime CrashEvidence::ExpiresAt(std::uint64_t fingerprint) const {
  return LastCrash(suspects_.at(fingerprint)) + kRetention;
}

bool CrashEvidence::WasServed(std::uint64_t fingerprint, MonotonicTime at) const {
  const auto served = served_.find(fingerprint);
  if (served != served_.end() && at - served->second < kServedGracePeriod) return true;
  const auto suspect = suspects_.find(fingerprint);
  return suspect != suspects_.end() && suspect->second.served &&
         at - suspect->second.served->at < kServedGracePeriod;
}

CrashEvidence::Observation CrashEvidence::Append(std::uint64_t fingerprint, std::uint32_t crash,
                                                 MonotonicTime at) {
  log_[++last_position_] = {fingerprint, crash};
  return {at, last_position_, false};
}

// True if the crash was added. It is ignored if it is known already, if the request was served
// recently or if the request has kMaxCrashesKept crashes.
bool CrashEvidence::AddCrash(const CrashedRun& run, std::uint32_t crash, MonotonicTime at) {
  const std::uint64_t fingerprint = run.fingerprint;
  if (WasServed(fingerprint, at)) return false;
  if (!suspects_.contains(fingerprint)) EvictIfFull();
  Suspect& suspect = suspects_[fingerprint];
  if (suspect.crashes.contains(crash)) return false;
  if (suspect.crashes.size() >= kMaxCrashesKept) return false;
  Observation observation = Append(fingerprint, crash, at);
  observation.response_started = run.response_started;
  suspect.crashes[crash] = observation;
  return true;
}

// Records that a request was served and drops its crashes until then. True if other daemons should
// be told. A record that changes nothing is not passed on, since it would circulate for ever.
bool CrashEvidence::AddServed(std::uint64_t fingerprint, MonotonicTime at) {
  if (!suspects_.contains(fingerprint)) EvictIfFull();
  Suspect& suspect = suspects_[fingerprint];
  const std::size_t cleared = std::erase_if(suspect.crashes, [&](const auto& crash) {
    if (crash.second.at > at) return false;
    EraseLogEntry(crash.second);
    return true;
  });
  if (suspect.served && cleared == 0) {
    suspect.served->at = std::max(suspect.served->at, at);
    return false;
  }
  if (suspect.served) EraseLogEntry(*suspect.served);
  suspect.served = Append(fingerprint, CrashRecord::kServed, at);
  return true;
}

void CrashEvidence::RememberServed(std::uint64_t fingerprint, MonotonicTime now) {
  const auto [it, first] = served_.try_emplace(fingerprint, now);
  it->second = now;
  if (!first) return;
  served_order_.push_back(fingerprint);
  if (served_order_.size() <= kMaxServed) return;
  served_.erase(served_order_.front());
  served_order_.pop_front();
}

std::vector<CrashRecord> CrashEvidence::RecordsSince(std::uint64_t position, MonotonicTime now,
                                                     std::uint64_t* next) const {
  std::vector<CrashRecord> records;
  *next = last_position_;
  for (auto it = log_.upper_bound(position); it != log_.end(); ++it) {
    if (records.size() == kMaxRecords) {
      *next = std::prev(it)->first;
      break;
    }
    const Suspect& suspect = suspects_.at(it->second.fingerprint);
    const bool served = it->second.crash == CrashRecord::kServed;
    const Observation& observation =
        served ? *suspect.served : suspect.crashes.at(it->second.crash);
    const auto age = std::max<std::int64_t>(0, ToMillis(now - observation.at).count());
    records.push_back({it->second.fingerprint, it->second.crash, observation.response_started,
                       static_cast<std::uint32_t>(age)});
  }
  return records;
}

void CrashEvidence::Merge(const std::vector<CrashRecord>& records, MonotonicTime now) {
  bool added_any = false;
  for (const CrashRecord& record : records) {
    const milliseconds age(record.age_ms);
    if (age >= kRetention) continue;
    const MonotonicTime at = now - age;
    const bool added =
        record.crash == CrashRecord::kServed
            ? AddServed(record.fingerprint, at)
            : AddCrash({record.fingerprint, record.response_started}, record.crash, at);
    if (!added) continue;
    added_any = true;
    LogIfContained(record.fingerprint, now);
  }
  if (added_any) on_records_added_();
}

void CrashEvidence::Erase(std::map<std::uint64_t, Suspect>::iterator it) {
  for (const auto& [crash, observation] : it->second.crashes) EraseLogEntry(observation);
  if (it->second.served) EraseLogEntry(*it->second.served);
  suspects_.erase(it);
}

// Evicts a suspect if the table is full: the one with the fewest crashes and, of these, with the
// oldest observation.
void CrashEvidence::EvictIfFull() {
  if (suspects_.size() < kMaxSuspects) return;
  const auto rank = [](const Suspect& suspect) {
    MonotonicTime last = suspect.served ? suspect.served->at : MonotonicTime();
    for (const auto& [crash, observation] : suspect.crashes) last = std::max(last, observation.at);
    return std::pair(suspect.crashes.size(), last);
  };
  Erase(std::min_element(suspects_.begin(), suspects_.end(), [&](const auto& a, const auto& b) {
    return rank(a.second) < rank(b.second);
  }));
}

void CrashEvidence::PruneExpired(MonotonicTime now) {
  const auto is_expired = [&](const Observation& observation) {
    return now - observation.at >= kRetention;
  };
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    std::erase_if(suspect.crashes, [&](const auto& crash) {
      if (!is_expired(crash.second)) return false;
      EraseLogEntry(crash.second);
      return true;
    });
    if (suspect.served && is_expired(*suspect.served)) {
      EraseLogEntry(*suspect.served);
      suspect.served.reset();
    }
    const bool empty = suspect.crashes.empty() && !suspect.served;
    it = empty ? suspects_.erase(it) : std::next(it);
  }
}

}  // namespace mimosabend
