#include "endpoint_limits.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

double ClampedRate(double rate) {
  return std::clamp(rate, EndpointLimits::kMinRate, EndpointLimits::kMaxRate);
}

}  // namespace

bool EndpointLimits::RecordResponse(std::uint32_t number, std::optional<double> rate,
                                    MonotonicTime sent_at, MonotonicTime now) {
  assert(!rate || (std::isfinite(*rate) && *rate >= 0));
  const auto known = entries_.find(number);
  if (known == entries_.end()) {
    if (!rate || entries_.size() >= kMaxEndpoints) return false;
    entries_[number] = {ClampedRate(*rate), now};
    return true;
  }
  Entry& entry = known->second;
  if (!rate && sent_at <= entry.stated_at) return false;
  const std::optional<double> stated =
      rate ? std::optional<double>(ClampedRate(*rate)) : std::nullopt;
  const bool changed = stated != entry.rate;
  entry = {stated, std::max(now, entry.stated_at)};
  return changed;
}

bool EndpointLimits::Adopt(const LimitNotice& notice, MonotonicTime at) {
  const MonotonicTime stated_at = at - milliseconds(notice.age_ms);
  const std::optional<double> stated =
      notice.rate < 0 ? std::nullopt : std::optional<double>(ClampedRate(notice.rate));
  const bool expired = !stated && milliseconds(notice.age_ms) >= kEndedLifetime;
  if (expired || std::isnan(notice.rate)) return false;
  const auto known = entries_.find(notice.number);
  if (known == entries_.end()) {
    if (entries_.size() >= kMaxEndpoints) return false;
    entries_[notice.number] = {stated, stated_at};
    return stated.has_value();
  }
  Entry& entry = known->second;
  if (stated_at <= entry.stated_at) return false;
  const bool changed = stated != entry.rate;
  entry = {stated, stated_at};
  return changed;
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
