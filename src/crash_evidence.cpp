#include "crash_evidence.h"

#include <algorithm>
#include <cassert>

#include "digest.h"
#include "log.h"

namespace mimosabend {

namespace {

// From this number of crashes on, a request runs beside no other such request that has not begun.
constexpr std::size_t kLoneCrashes = 2;
// Further crashes of a request are not kept.
constexpr std::size_t kMaxKept = 8;

}  // namespace

// Whether too many endpoints ended before they began to answer the request.
bool CrashEvidence::HasEndedAtStart(const Suspect& suspect) {
  const auto at_start = std::count_if(suspect.crashes.begin(), suspect.crashes.end(),
                                      [](const auto& crash) { return !crash.second.begun; });
  return at_start >= static_cast<std::ptrdiff_t>(kMaxAtStart);
}

// Precondition: the suspect has crashes.
MonotonicTime CrashEvidence::LastCrash(const Suspect& suspect) {
  MonotonicTime last;
  for (const auto& [crash, note] : suspect.crashes) last = std::max(last, note.at);
  return last;
}

void CrashEvidence::NoteCrash(std::uint32_t crash, const std::vector<CrashedRun>& runs,
                              MonotonicTime now) {
  const auto is_lone = [&](const CrashedRun& run) {
    return Crashes(run.fingerprint, now) >= kLoneCrashes;
  };
  const bool explained = std::any_of(runs.begin(), runs.end(), is_lone);
  bool news = false;
  for (const CrashedRun& run : runs) {
    if (explained && !is_lone(run)) continue;
    if (!AddCrash(run, crash, now)) continue;
    news = true;
    LogIfContained(run.fingerprint, now);
  }
  if (news) on_news_();
}

void CrashEvidence::NoteServed(std::uint64_t fingerprint, MonotonicTime now) {
  RememberServed(fingerprint, now);
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end() || it->second.crashes.empty()) return;
  if (AddServed(fingerprint, now)) on_news_();
}

CrashVerdict CrashEvidence::Judge(std::uint64_t fingerprint, MonotonicTime now) const {
  const std::size_t crashes = Crashes(fingerprint, now);
  if (crashes == 0) return CrashVerdict::kClean;
  if (crashes < kLoneCrashes) return CrashVerdict::kSuspect;
  if (crashes < kMaxCrashes) return CrashVerdict::kLone;
  const Suspect& suspect = suspects_.at(fingerprint);
  const bool contained = HasEndedAtStart(suspect) || !IsAmbiguous(fingerprint, suspect);
  return contained ? CrashVerdict::kContained : CrashVerdict::kLone;
}

std::optional<MonotonicTime> CrashEvidence::HeldUntil(std::uint64_t fingerprint,
                                                      MonotonicTime now) const {
  if (Crashes(fingerprint, now) < kMaxCrashes) return std::nullopt;
  const Suspect& suspect = suspects_.at(fingerprint);
  if (HasEndedAtStart(suspect)) return std::nullopt;
  const MonotonicTime until = LastCrash(suspect) + kNewsTime + TurnOf(fingerprint, suspect) * kTurn;
  return now < until ? std::optional(until) : std::nullopt;
}

// The place of a request among those that were at the same crashes and may still run.
int CrashEvidence::TurnOf(std::uint64_t fingerprint, const Suspect& suspect) const {
  const auto goes_before = [&](const auto& other) {
    if (HasEndedAtStart(other.second)) return false;
    const auto shared = std::count_if(
        suspect.crashes.begin(), suspect.crashes.end(),
        [&](const auto& crash) { return other.second.crashes.contains(crash.first); });
    return shared >= static_cast<std::ptrdiff_t>(kMaxCrashes);
  };
  return static_cast<int>(
      std::count_if(suspects_.begin(), suspects_.lower_bound(fingerprint), goes_before));
}

void CrashEvidence::LogIfContained(std::uint64_t fingerprint, MonotonicTime now) const {
  if (Judge(fingerprint, now) != CrashVerdict::kContained) return;
  LOG4CPLUS_WARN(Log(), "request is contained content=" << Hex64(fingerprint) << " endpoints_ended="
                                                        << Crashes(fingerprint, now));
}

// Whether another request was there at each crash of this one, so that either may be the cause.
bool CrashEvidence::IsAmbiguous(std::uint64_t fingerprint, const Suspect& suspect) const {
  return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& other) {
    if (other.first == fingerprint) return false;
    return std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto& crash) {
      return other.second.crashes.contains(crash.first);
    });
  });
}

std::size_t CrashEvidence::Crashes(std::uint64_t fingerprint, MonotonicTime now) const {
  const auto it = suspects_.find(fingerprint);
  if (it == suspects_.end()) return 0;
  const auto& crashes = it->second.crashes;
  return std::count_if(crashes.begin(), crashes.end(),
                       [&](const auto& crash) { return now - crash.second.at < kRetention; });
}

MonotonicTime CrashEvidence::ForgottenAt(std::uint64_t fingerprint) const {
  return LastCrash(suspects_.at(fingerprint)) + kRetention;
}

bool CrashEvidence::WasServed(std::uint64_t fingerprint, MonotonicTime at) const {
  const auto served = served_.find(fingerprint);
  if (served != served_.end() && at - served->second < kInnocence) return true;
  const auto suspect = suspects_.find(fingerprint);
  return suspect != suspects_.end() && suspect->second.served &&
         at - suspect->second.served->at < kInnocence;
}

CrashEvidence::Note CrashEvidence::Append(std::uint64_t fingerprint, std::uint32_t crash,
                                          MonotonicTime at) {
  log_[++last_position_] = {fingerprint, crash};
  return {at, last_position_, false};
}

// True if the crash was not known and counts.
bool CrashEvidence::AddCrash(const CrashedRun& run, std::uint32_t crash, MonotonicTime at) {
  const std::uint64_t fingerprint = run.fingerprint;
  if (WasServed(fingerprint, at)) return false;
  if (!suspects_.contains(fingerprint)) MakeRoom();
  Suspect& suspect = suspects_[fingerprint];
  if (suspect.crashes.contains(crash)) return false;
  if (suspect.crashes.size() >= kMaxKept) return false;
  Note note = Append(fingerprint, crash, at);
  note.begun = run.begun;
  suspect.crashes[crash] = note;
  return true;
}

// True if the request was not known to have been served since.
bool CrashEvidence::AddServed(std::uint64_t fingerprint, MonotonicTime at) {
  if (!suspects_.contains(fingerprint)) MakeRoom();
  Suspect& suspect = suspects_[fingerprint];
  if (suspect.served && suspect.served->at >= at) return false;
  const bool known = suspect.served && suspect.crashes.empty();
  for (const auto& [crash, note] : suspect.crashes) Unlog(note);
  suspect.crashes.clear();
  if (suspect.served) Unlog(*suspect.served);
  suspect.served = Append(fingerprint, CrashRecord::kServed, at);
  return !known;
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

std::vector<CrashRecord> CrashEvidence::Since(std::uint64_t position, MonotonicTime now,
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
    const Note& note = served ? *suspect.served : suspect.crashes.at(it->second.crash);
    const auto age = std::max<std::int64_t>(0, ToMillis(now - note.at).count());
    records.push_back(
        {it->second.fingerprint, it->second.crash, note.begun, static_cast<std::uint32_t>(age)});
  }
  return records;
}

void CrashEvidence::Merge(const std::vector<CrashRecord>& records, MonotonicTime now) {
  bool news = false;
  for (const CrashRecord& record : records) {
    const milliseconds age(record.age_ms);
    if (age >= kRetention) continue;
    const MonotonicTime at = now - age;
    const bool added = record.crash == CrashRecord::kServed
                           ? AddServed(record.fingerprint, at)
                           : AddCrash({record.fingerprint, record.begun}, record.crash, at);
    if (!added) continue;
    news = true;
    LogIfContained(record.fingerprint, now);
  }
  if (news) on_news_();
}

void CrashEvidence::Erase(std::map<std::uint64_t, Suspect>::iterator it) {
  for (const auto& [crash, note] : it->second.crashes) Unlog(note);
  if (it->second.served) Unlog(*it->second.served);
  suspects_.erase(it);
}

// Makes room for one more suspect: the one with the fewest crashes goes, of these the oldest.
void CrashEvidence::MakeRoom() {
  if (suspects_.size() < kMaxSuspects) return;
  const auto rank = [](const Suspect& suspect) {
    MonotonicTime last = suspect.served ? suspect.served->at : MonotonicTime();
    for (const auto& [crash, note] : suspect.crashes) last = std::max(last, note.at);
    return std::pair(suspect.crashes.size(), last);
  };
  Erase(std::min_element(suspects_.begin(), suspects_.end(), [&](const auto& a, const auto& b) {
    return rank(a.second) < rank(b.second);
  }));
}

void CrashEvidence::Tick(MonotonicTime now) {
  const auto is_old = [&](const Note& note) { return now - note.at >= kRetention; };
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    std::erase_if(suspect.crashes, [&](const auto& crash) {
      if (!is_old(crash.second)) return false;
      Unlog(crash.second);
      return true;
    });
    if (suspect.served && is_old(*suspect.served)) {
      Unlog(*suspect.served);
      suspect.served.reset();
    }
    const bool empty = suspect.crashes.empty() && !suspect.served;
    it = empty ? suspects_.erase(it) : std::next(it);
  }
}

}  // namespace mimosabend
