#include "endpoint_limits.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// A rate as it is passed on to other daemons, so that all compare the same number.
double ClampedRate(double rate) {
  return static_cast<float>(std::clamp(rate, EndpointLimits::kMinRate, EndpointLimits::kMaxRate));
}

// Whether `rate` admits at least as many requests as `known`. No limit admits the most.
bool IsAsLax(std::optional<double> rate, std::optional<double> known) {
  return !rate || (known && *rate >= *known);
}

}  // namespace

bool EndpointLimits::RecordResponse(std::uint32_t number, std::optional<double> rate,
                                    MonotonicTime sent_at, MonotonicTime now) {
  assert(!rate || (std::isfinite(*rate) && *rate >= 0));
  const std::optional<double> stated =
      rate ? std::optional<double>(ClampedRate(*rate)) : std::nullopt;
  const auto known = entries_.find(number);
  if (known == entries_.end()) return stated && Add(number, {stated, sent_at});
  Entry& entry = known->second;
  if (IsAsLax(stated, entry.rate)) {
    if (sent_at <= entry.stated_at) return false;
    const bool changed = stated != entry.rate;
    entry = {stated, sent_at};
    return changed;
  }
  // A limit that is lowered holds from now on. One that begins may already have been lowered again,
  // which other daemons may know.
  entry = {stated, std::max(entry.rate ? now : sent_at, entry.stated_at)};
  return true;
}

bool EndpointLimits::Adopt(const LimitNotice& notice, MonotonicTime at) {
  if (std::isnan(notice.rate)) return false;
  const MonotonicTime stated_at = at - milliseconds(notice.age_ms);
  const std::optional<double> stated =
      notice.rate < 0 ? std::nullopt : std::optional<double>(ClampedRate(notice.rate));
  if (!stated && milliseconds(notice.age_ms) >= kEndedLifetime) return false;
  const auto known = entries_.find(notice.number);
  if (known == entries_.end()) return Add(notice.number, {stated, stated_at}) && stated;
  Entry& entry = known->second;
  const bool changed = stated != entry.rate;
  const bool laxer = changed && IsAsLax(stated, entry.rate);
  if (stated_at - (laxer ? kMaxNoticeDelay : milliseconds(0)) <= entry.stated_at) return false;
  entry = {stated, stated_at};
  return changed;
}

bool EndpointLimits::Add(std::uint32_t number, const Entry& entry) {
  if (entries_.size() >= kMaxEndpoints) {
    const auto ended = std::find_if(entries_.begin(), entries_.end(),
                                    [](const auto& item) { return !item.second.rate; });
    if (!entry.rate || ended == entries_.end()) return false;
    entries_.erase(ended);
  }
  entries_[number] = entry;
  return true;
}

std::optional<double> EndpointLimits::Rate(std::uint32_t number) const {
  const auto it = entries_.find(number);
  return it == entries_.end() ? std::nullopt : it->second.rate;
}

std::optional<LimitNotice> EndpointLimits::Notice(std::uint32_t number, MonotonicTime now) const {
  const auto it = entries_.find(number);
  if (it == entries_.end()) return std::nullopt;
  const auto age = std::max<std::int64_t>(0, ToMillis(now - it->second.stated_at).count());
  const auto rate = it->second.rate ? static_cast<float>(*it->second.rate) : LimitNotice::kNoLimit;
  return LimitNotice{number, rate, static_cast<std::uint32_t>(age)};
}

std::vector<LimitNotice> EndpointLimits::Notices(MonotonicTime now) const {
  std::vector<LimitNotice> notices;
  for (const auto& [number, entry] : entries_) notices.push_back(*Notice(number, now));
  return notices;
}

void EndpointLimits::PruneExpired(MonotonicTime now) {
  std::erase_if(entries_, [&](const auto& item) {
    return !item.second.rate && now - item.second.stated_at >= kEndedLifetime;
  });
}

std::size_t EndpointLimits::size() const {
  return std::count_if(entries_.begin(), entries_.end(),
                       [](const auto& item) { return item.second.rate.has_value(); });
}

}  // namespace mimosabend
