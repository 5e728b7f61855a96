#include "part_evidence.h"

#include <algorithm>
#include <unordered_set>

#include "digest.h"
#include "log.h"

namespace mimosabend {

namespace {

// Number of crashes stored per part; the oldest ones are dropped.
constexpr std::size_t kMaxCrashesKept = 16;
// A part that was served before is run in isolation from this many crashes on, any other part from
// the first one on.
constexpr std::size_t kLoneCrashesIfServed = 3;
constexpr std::ptrdiff_t kVictimsFoundAtOnce = PartEvidence::kMaxSuspects / 16;

std::uint32_t MillisBetween(MonotonicTime from, MonotonicTime to) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, ToMillis(to - from).count()));
}

bool IsStrictSubset(const std::set<std::uint32_t>& a, const std::set<std::uint32_t>& b) {
  return a.size() < b.size() && std::includes(b.begin(), b.end(), a.begin(), a.end());
}

}  // namespace

// The crashes of a part without those in `explained`.
PartEvidence::Crashes PartEvidence::UnexplainedCrashes(const Suspect& suspect,
                                                       const std::set<std::uint32_t>& explained) {
  Crashes crashes;
  for (const auto& [number, crash] : suspect.crashes) {
    if (!explained.contains(number)) crashes.push_back(&crash);
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash* a, const Crash* b) { return a->at < b->at; });
  return crashes;
}

// Number of crashes of which each involved a request that was sent after the crash before.
int PartEvidence::CrashesInSequence(const Crashes& crashes) {
  int count = 0;
  MonotonicTime last = MonotonicTime::min();
  for (const Crash* crash : crashes) {
    if (crash->sent_at <= last) continue;
    ++count;
    last = crash->at;
  }
  return count;
}

// Whether the crashes reach `factor` times the threshold.
bool PartEvidence::Exceeds(const Crashes& crashes, const Threshold& threshold, int factor) {
  std::set<std::uint64_t> requests;
  for (const Crash* crash : crashes) requests.insert(crash->request);
  return static_cast<int>(crashes.size()) >= factor * threshold.crashes &&
         requests.size() >= threshold.requests &&
         CrashesInSequence(crashes) >= factor * threshold.crashes_in_sequence;
}

bool PartEvidence::IsBlamed(const Crashes& crashes, const Threshold& threshold) {
  Crashes at_start = crashes;
  std::erase_if(at_start, [](const Crash* crash) { return crash->response_started; });
  return Exceeds(at_start, threshold, 1) || Exceeds(crashes, threshold, kStartedCrashesPerCrash);
}

// The parts that are blamed for crashes without `explained` ones: those that were served before
// their crashes, or those that were not.
PartEvidence::Candidates PartEvidence::FindCandidates(
    bool served, const std::set<std::uint32_t>& explained) const {
  Candidates candidates;
  const Threshold& threshold = served ? kKnownPart : kUnknownPart;
  for (const auto& [part, suspect] : suspects_) {
    if (suspect.served.has_value() != served) continue;
    if (static_cast<int>(suspect.crashes.size()) < threshold.crashes) continue;
    if (!IsBlamed(UnexplainedCrashes(suspect, explained), threshold)) continue;
    std::set<std::uint32_t> crashes;
    for (const auto& [number, crash] : suspect.crashes) {
      if (!explained.contains(number)) crashes.insert(number);
    }
    candidates[std::move(crashes)].push_back(part);
  }
  return candidates;
}

// Decides which parts are contained. Parts that were never served are blamed first. A part that was
// in only some of the crashes of another one ran beside it or with it by chance.
PartEvidence::Culprits PartEvidence::FindCulprits(MonotonicTime now) const {
  Culprits culprits;
  std::set<std::uint32_t> explained;
  for (const bool served : {false, true}) {
    const Candidates candidates = FindCandidates(served, explained);
    for (const auto& candidate : candidates) {
      const std::set<std::uint32_t>& crashes = candidate.first;
      const std::vector<std::uint64_t>& parts = candidate.second;
      const bool is_explained =
          std::any_of(candidates.begin(), candidates.end(),
                      [&](const auto& other) { return IsStrictSubset(crashes, other.first); });
      if (is_explained) continue;
      const auto group = std::make_shared<const Group>(Group{parts.size()});
      for (std::uint64_t part : parts) {
        const auto known = culprits_.find(part);
        Culprit& culprit = culprits[part];
        culprit.group = group;
        culprit.found_at = known == culprits_.end() ? now : known->second.found_at;
        culprit.trial_at = TrialTime(part, suspects_.at(part));
      }
      explained.insert(crashes.begin(), crashes.end());
    }
  }
  return culprits;
}

void PartEvidence::UpdateCulprits(MonotonicTime now) {
  Culprits culprits = FindCulprits(now);
  for (const auto& [part, culprit] : culprits) {
    if (culprits_.contains(part)) continue;
    LOG4CPLUS_WARN(Log(), "prompt part is contained part="
                              << Hex64(part) << " endpoints_ended=" << CrashCount(part)
                              << " served_before=" << suspects_.at(part).served.has_value()
                              << " parts_in_the_same_crashes=" << culprit.group->parts - 1);
  }
  for (const auto& [part, culprit] : culprits_) {
    if (culprits.contains(part)) continue;
    LOG4CPLUS_WARN(Log(), "prompt part is no longer contained part="
                              << Hex64(part) << " endpoints_ended=" << CrashCount(part));
  }
  culprits_ = std::move(culprits);
}

// When this daemon may try a contained part again. Daemons try it at different times, so that all
// know the outcome of the first trial before the next one is due.
MonotonicTime PartEvidence::TrialTime(std::uint64_t part, const Suspect& suspect) const {
  MonotonicTime last = suspect.tried_at;
  std::uint32_t last_crash = 0;
  for (const auto& [number, crash] : suspect.crashes) {
    if (crash.at >= last) last_crash = number;
    last = std::max(last, crash.at);
  }
  milliseconds delay = kMinTrialDelay;
  const int in_sequence = CrashesInSequence(UnexplainedCrashes(suspect, {}));
  for (int i = kUnknownPart.crashes; i < in_sequence; ++i) delay *= kTrialDelayFactor;
  const bool rarely = !suspect.served && suspect.crashes.size() > kMaxEarlyTrialCrashes;
  delay = rarely ? milliseconds(kMaxTrialDelay) : std::min<milliseconds>(delay, kMaxTrialDelay);
  const std::string_view key(reinterpret_cast<const char*>(&part), sizeof part);
  const auto offset = Hash64(key, seed_ + last_crash) % static_cast<std::uint64_t>(delay.count());
  return last + delay + milliseconds(offset);
}

CrashVerdict PartEvidence::Classify(std::span<const std::uint64_t> parts, MonotonicTime now) const {
  CrashVerdict verdict = CrashVerdict::kClean;
  if (suspects_.empty()) return verdict;
  for (std::uint64_t part : parts) {
    const auto it = suspects_.find(part);
    if (it == suspects_.end() || it->second.crashes.empty()) continue;
    const Suspect& suspect = it->second;
    const bool lone = culprits_.contains(part) || !suspect.served ||
                      suspect.crashes.size() >= kLoneCrashesIfServed;
    verdict = std::max(verdict, lone ? CrashVerdict::kLone : CrashVerdict::kSuspect);
  }
  if (verdict != CrashVerdict::kLone) return verdict;
  return CulpritsOf(parts, now).empty() ? verdict : CrashVerdict::kContained;
}

// The parts for which a request with these parts is contained: it has all parts of their group, and
// they are not due for a trial.
std::vector<const PartEvidence::Culprit*> PartEvidence::CulpritsOf(
    std::span<const std::uint64_t> parts, MonotonicTime now) const {
  std::vector<const Culprit*> found;
  if (culprits_.empty()) return found;
  std::map<const Group*, std::size_t> present;
  for (std::uint64_t part : parts) {
    const auto culprit = culprits_.find(part);
    if (culprit == culprits_.end()) continue;
    found.push_back(&culprit->second);
    ++present[culprit->second.group.get()];
  }
  std::erase_if(found, [&](const Culprit* culprit) {
    return present[culprit->group.get()] < culprit->group->parts || now >= culprit->trial_at;
  });
  return found;
}

std::optional<MonotonicTime> PartEvidence::ContainedUntil(std::span<const std::uint64_t> parts,
                                                          MonotonicTime now) const {
  std::optional<MonotonicTime> until;
  for (const Culprit* culprit : CulpritsOf(parts, now)) {
    if (now < culprit->found_at + kPropagationTime) continue;
    until = std::max(until.value_or(now), culprit->trial_at);
  }
  return until;
}

std::optional<MonotonicTime> PartEvidence::HeldUntil(std::span<const std::uint64_t> parts,
                                                     MonotonicTime now) const {
  std::optional<MonotonicTime> until;
  for (const Culprit* culprit : CulpritsOf(parts, now)) {
    const MonotonicTime end = culprit->found_at + kPropagationTime;
    if (now < end) until = std::max(until.value_or(now), end);
  }
  return until;
}

void PartEvidence::BeginTrial(std::span<const std::uint64_t> parts, MonotonicTime now) {
  bool changed = false;
  for (std::uint64_t part : parts) {
    const auto culprit = culprits_.find(part);
    if (culprit == culprits_.end() || now < culprit->second.trial_at) continue;
    LOG4CPLUS_WARN(Log(), "prompt part is tried again part=" << Hex64(part));
    suspects_.at(part).tried_at = now;
    changed = true;
  }
  if (changed) UpdateCulprits(now);
}

PartEvidence::CrashedPart PartEvidence::MakeCrashedPart(std::uint64_t part,
                                                        const CrashedRun& run) const {
  CrashedPart crashed{part, &run, 0, LastServed(part)};
  const auto known = suspects_.find(part);
  if (known == suspects_.end()) return crashed;
  crashed.crashes = known->second.crashes.size();
  if (known->second.served) {
    crashed.served_at =
        std::max(crashed.served_at.value_or(MonotonicTime::min()), known->second.served->at);
  }
  return crashed;
}

// The parts to record for a crash, the most suspicious ones first: those that were never served,
// beginning with those of earlier crashes and of responses that had not started, and then those
// that were served longest ago. Parts that all requests of a route share are served all the time
// and say the least.
std::vector<PartEvidence::CrashedPart> PartEvidence::SelectParts(
    std::uint32_t crash, const std::vector<CrashedRun>& runs) const {
  std::vector<CrashedPart> unknown;
  std::vector<CrashedPart> known;
  std::unordered_set<std::uint64_t> seen;
  for (const CrashedRun& run : runs) {
    for (std::uint64_t part : run.parts) {
      if (!seen.insert(part).second) continue;
      const CrashedPart crashed = MakeCrashedPart(part, run);
      (crashed.served_at ? known : unknown).push_back(crashed);
    }
  }
  const auto rank = [](const CrashedPart& crashed) {
    return std::pair(-static_cast<std::int64_t>(crashed.crashes), crashed.run->response_started);
  };
  std::stable_sort(unknown.begin(), unknown.end(),
                   [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::stable_sort(known.begin(), known.end(),
                   [](const auto& a, const auto& b) { return *a.served_at < *b.served_at; });
  unknown.resize(std::min(unknown.size(), kMaxUnknownPartsPerCrash));
  known.resize(std::min(known.size(), kMaxKnownPartsPerCrash));
  unknown.insert(unknown.end(), known.begin(), known.end());
  if (unknown.size() < seen.size()) {
    LOG4CPLUS_WARN(Log(), "only some parts of prompts are recorded for a crash, crash="
                              << crash << " requests=" << runs.size() << " parts=" << seen.size()
                              << " recorded=" << unknown.size()
                              << " served_before=" << known.size());
  }
  return unknown;
}

void PartEvidence::RecordCrash(std::uint32_t crash, const std::vector<CrashedRun>& runs,
                               MonotonicTime now) {
  bool added_any = false;
  for (const auto& [part, run, crashes, served_at] : SelectParts(crash, runs)) {
    const Crash observed{run->fingerprint, run->response_started, run->sent_at, now, 0};
    added_any = AddCrash(part, crash, observed) || added_any;
  }
  if (!added_any) return;
  UpdateCulprits(now);
  on_records_added_();
}

void PartEvidence::RecordServed(std::span<const std::uint64_t> parts,
                                MonotonicTime response_started, MonotonicTime now) {
  bool cleared_any = false;
  for (std::uint64_t part : parts) {
    RememberServed(part, response_started);
    const auto it = suspects_.find(part);
    if (it == suspects_.end() || !HasCrashUntil(it->second, response_started)) continue;
    SetServed(part, &it->second, response_started);
    cleared_any = true;
  }
  if (!cleared_any) return;
  UpdateCulprits(now);
  on_records_added_();
}

// Whether the part has a crash that being served at a time clears.
bool PartEvidence::HasCrashUntil(const Suspect& suspect, MonotonicTime at) {
  return std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                     [&](const auto& crash) { return crash.second.at <= at; });
}

// Adds a crash. If the part was served since, other daemons are told that instead. Returns true if
// there are new records.
bool PartEvidence::AddCrash(std::uint64_t part, std::uint32_t crash, const Crash& observed) {
  const auto known = suspects_.find(part);
  if (known != suspects_.end() && known->second.crashes.contains(crash)) return false;
  const std::optional<MonotonicTime> served_at = LastServed(part);
  Suspect& suspect = SuspectOf(part);
  const bool was_served_since = served_at && *served_at >= observed.at;
  const bool is_news = served_at && (!suspect.served || suspect.served->at < observed.at);
  if (was_served_since && !is_news) return false;
  if (is_news && (was_served_since || !suspect.served)) SetServed(part, &suspect, *served_at);
  if (was_served_since) return true;
  if (suspect.crashes.size() >= kMaxCrashesKept) {
    const auto oldest =
        std::min_element(suspect.crashes.begin(), suspect.crashes.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    // Otherwise records of dropped crashes would circulate.
    if (oldest->second.at >= observed.at) return false;
    log_.erase(oldest->second.position);
    suspect.crashes.erase(oldest);
  }
  Crash added = observed;
  added.position = Append(part, crash);
  suspect.crashes[crash] = added;
  return true;
}

// Adds another daemon's record that a part was served. Returns true if it is news for others: a
// record that changes nothing is not passed on, since it would circulate for ever.
bool PartEvidence::AddServed(std::uint64_t part, MonotonicTime at) {
  RememberServed(part, at);
  Suspect& suspect = SuspectOf(part);
  if (suspect.served && !HasCrashUntil(suspect, at)) return false;
  SetServed(part, &suspect, at);
  return true;
}

void PartEvidence::SetServed(std::uint64_t part, Suspect* suspect, MonotonicTime at) {
  ClearCrashesUntil(suspect, at);
  if (suspect->served) log_.erase(suspect->served->position);
  suspect->served = Served{at, Append(part, PartRecord::kServed)};
}

void PartEvidence::ClearCrashesUntil(Suspect* suspect, MonotonicTime at) {
  std::erase_if(suspect->crashes, [&](const auto& crash) {
    if (crash.second.at > at) return false;
    log_.erase(crash.second.position);
    return true;
  });
}

std::optional<MonotonicTime> PartEvidence::LastServed(std::uint64_t part) const {
  const auto it = served_index_.find(part);
  return it == served_index_.end() ? std::nullopt : std::optional(it->second->second);
}

void PartEvidence::RememberServed(std::uint64_t part, MonotonicTime at) {
  const auto known = served_index_.find(part);
  if (known != served_index_.end()) {
    known->second->second = std::max(known->second->second, at);
    served_.splice(served_.begin(), served_, known->second);
    return;
  }
  served_.emplace_front(part, at);
  served_index_[part] = served_.begin();
  if (served_.size() <= kMaxServed) return;
  served_index_.erase(served_.back().first);
  served_.pop_back();
}

std::uint64_t PartEvidence::Append(std::uint64_t part, std::uint32_t crash) {
  log_[++last_position_] = {part, crash};
  return last_position_;
}

// The records of a part, which are created if needed. If the table is full, the part with the
// fewest crashes and, of these, with the oldest record makes room.
PartEvidence::Suspect& PartEvidence::SuspectOf(std::uint64_t part) {
  const auto known = suspects_.find(part);
  if (known != suspects_.end()) return known->second;
  if (suspects_.size() >= kMaxSuspects) EvictOne();
  return suspects_[part];
}

PartEvidence::Rank PartEvidence::RankOf(std::uint64_t part, const Suspect& suspect) {
  MonotonicTime last = suspect.served ? suspect.served->at : MonotonicTime();
  for (const auto& [number, crash] : suspect.crashes) last = std::max(last, crash.at);
  return {suspect.crashes.size(), last, part};
}

void PartEvidence::FindVictims() {
  victims_.clear();
  for (const auto& [part, suspect] : suspects_) victims_.push_back(RankOf(part, suspect));
  const auto end = victims_.begin() + kVictimsFoundAtOnce;
  std::partial_sort(victims_.begin(), end, victims_.end());
  victims_.erase(end, victims_.end());
  std::reverse(victims_.begin(), victims_.end());
}

// Precondition: the table is full.
void PartEvidence::EvictOne() {
  for (;;) {
    if (victims_.empty()) FindVictims();
    const Rank victim = victims_.back();
    victims_.pop_back();
    const auto it = suspects_.find(victim.part);
    // Its records may have changed since it was found.
    if (it == suspects_.end() || RankOf(victim.part, it->second) != victim) continue;
    Erase(it);
    return;
  }
}

void PartEvidence::Erase(std::unordered_map<std::uint64_t, Suspect>::iterator it) {
  for (const auto& [number, crash] : it->second.crashes) log_.erase(crash.position);
  if (it->second.served) log_.erase(it->second.served->position);
  suspects_.erase(it);
}

std::vector<PartRecord> PartEvidence::RecordsSince(std::uint64_t position, MonotonicTime now,
                                                   std::uint64_t* next) const {
  std::vector<PartRecord> records;
  *next = last_position_;
  for (auto it = log_.upper_bound(position); it != log_.end(); ++it) {
    if (records.size() == kMaxRecords) {
      *next = std::prev(it)->first;
      break;
    }
    const auto& [part, number] = it->second;
    const Suspect& suspect = suspects_.at(part);
    if (number == PartRecord::kServed) {
      records.push_back({part, number, 0, false, MillisBetween(suspect.served->at, now), 0});
      continue;
    }
    const Crash& crash = suspect.crashes.at(number);
    records.push_back({part, number, crash.request, crash.response_started,
                       MillisBetween(crash.at, now), MillisBetween(crash.sent_at, crash.at)});
  }
  return records;
}

void PartEvidence::Merge(const std::vector<PartRecord>& records, MonotonicTime now) {
  bool added_any = false;
  for (const PartRecord& record : records) {
    const milliseconds age(record.age_ms);
    if (age >= kRetention) continue;
    const MonotonicTime at = now - age;
    const bool added = record.crash == PartRecord::kServed
                           ? AddServed(record.part, at)
                           : AddCrash(record.part, record.crash,
                                      {record.request, record.response_started,
                                       at - milliseconds(record.run_ms), at, 0});
    added_any = added_any || added;
  }
  if (!added_any) return;
  UpdateCulprits(now);
  on_records_added_();
}

void PartEvidence::PruneExpired(MonotonicTime now) {
  const auto is_expired = [&](MonotonicTime at) { return now - at >= kRetention; };
  bool changed = false;
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& suspect = it->second;
    changed = std::erase_if(suspect.crashes,
                            [&](const auto& crash) {
                              if (!is_expired(crash.second.at)) return false;
                              log_.erase(crash.second.position);
                              return true;
                            }) > 0 ||
              changed;
    if (suspect.served && is_expired(suspect.served->at)) {
      log_.erase(suspect.served->position);
      suspect.served.reset();
      changed = true;
    }
    const auto current = it++;
    if (current->second.crashes.empty() && !current->second.served) suspects_.erase(current);
  }
  while (!served_.empty() && is_expired(served_.back().second)) {
    served_index_.erase(served_.back().first);
    served_.pop_back();
  }
  if (changed) UpdateCulprits(now);
}

std::size_t PartEvidence::CrashCount(std::uint64_t part) const {
  const auto it = suspects_.find(part);
  return it == suspects_.end() ? 0 : it->second.crashes.size();
}

}  // namespace mimosabend
