#include "poison.h"

#include <algorithm>

#include "digest.h"

namespace mimosabend {

namespace {

// 128 bits, so that a caller can't construct a prompt that collides with another caller's request
// and gets it refused.
constexpr std::size_t kFingerprintDigits = 32;

}  // namespace

std::string PoisonFingerprint(std::string_view model, std::string_view prompt) {
  std::string content = std::to_string(model.size()) + ":";
  content += model;
  content += prompt;
  return Sha256Hex(content).substr(0, kFingerprintDigits);
}

std::string CrashId(std::string_view endpoint, std::string_view incarnation) {
  return std::string(endpoint) + "@" + std::string(incarnation);
}

PoisonVerdict PoisonVerdictAt(const PoisonRecord& record, WallTime now) {
  const std::int64_t now_ms = ToUnixMillis(now);
  if (now_ms >= record.expires_ms) return PoisonVerdict::kClean;
  if (record.crashes.size() >= kMaxCrashes) return PoisonVerdict::kPoisoned;
  const bool has_trial = record.trial_nonce != 0;
  if (has_trial && now_ms < record.trial_until_ms) return PoisonVerdict::kOnTrial;
  const std::size_t crashes = record.crashes.size() + (has_trial ? 1 : 0);
  if (crashes >= kMaxCrashes) return PoisonVerdict::kPoisoned;
  return crashes > 0 ? PoisonVerdict::kSuspect : PoisonVerdict::kClean;
}

bool AddCrashes(const std::set<std::string>& crashes, WallTime now, PoisonRecord* record) {
  if (crashes.empty()) return false;
  if (ToUnixMillis(now) >= record->expires_ms) *record = {};
  bool changed = false;
  for (const std::string& crash : crashes) {
    const auto& recorded = record->crashes;
    if (std::find(recorded.begin(), recorded.end(), crash) != recorded.end()) continue;
    // Further crashes can't change the verdict.
    if (recorded.size() >= kMaxCrashes) break;
    record->crashes.push_back(crash);
    changed = true;
  }
  if (changed) record->expires_ms = ToUnixMillis(now + kPoisonRetention);
  return changed;
}

bool PoisonHints::IsPoisoned(const std::string& fingerprint, WallTime now) const {
  const auto it = hints_.find(fingerprint);
  return it != hints_.end() && it->second.poisoned && ToUnixMillis(now) < it->second.expires_ms;
}

void PoisonHints::Add(const std::string& fingerprint, const std::string& crash, bool recorded,
                      WallTime now) {
  Hint& hint = hints_[fingerprint];
  if (!recorded) hint.unrecorded.insert(crash);
  hint.updated_ms = ToUnixMillis(now);
  hint.expires_ms = ToUnixMillis(now + kPoisonRetention);
}

void PoisonHints::Update(const std::string& fingerprint, const PoisonRecord& record) {
  Hint& hint = hints_[fingerprint];
  for (const std::string& crash : record.crashes) hint.unrecorded.erase(crash);
  hint.poisoned = record.crashes.size() >= kMaxCrashes;
  if (hint.poisoned) hint.unrecorded.clear();
  hint.expires_ms = record.expires_ms;
}

std::set<std::string> PoisonHints::Unrecorded(const std::string& fingerprint) const {
  const auto it = hints_.find(fingerprint);
  return it == hints_.end() ? std::set<std::string>() : it->second.unrecorded;
}

void PoisonHints::Replace(const std::map<std::string, PoisonRecord>& records, WallTime listed_at) {
  const std::int64_t listed_ms = ToUnixMillis(listed_at);
  std::erase_if(hints_, [&](const auto& item) {
    const Hint& hint = item.second;
    if (listed_ms >= hint.expires_ms) return true;
    const bool newer = hint.updated_ms >= listed_ms;
    return !newer && hint.unrecorded.empty() && !records.contains(item.first);
  });
  for (const auto& [fingerprint, record] : records) {
    if (listed_ms < record.expires_ms) Update(fingerprint, record);
  }
}

}  // namespace mimosabend
