#include "brittle_endpoints.h"

#include <algorithm>

namespace mimosabend {

bool BrittleEndpoints::RecordResponse(const std::string& service, std::uint32_t number,
                                      std::optional<double> limit, MonotonicTime sent_at,
                                      MonotonicTime now) {
  if (!limit && empty()) return false;
  if (limit) services_[number] = service;
  const bool was_brittle = RejectLimit(service, number, now).has_value();
  const bool changed = stated_.RecordResponse(number, limit, sent_at, now);
  if (!limit) not_brittle_[number] = now;
  return changed || was_brittle != RejectLimit(service, number, now).has_value();
}

bool BrittleEndpoints::Adopt(const std::string& service, const LimitNotice& notice,
                             MonotonicTime at) {
  if (notice.rate >= 0) services_[notice.number] = service;
  return stated_.Adopt(notice, at);
}

std::optional<double> BrittleEndpoints::RejectLimit(const std::string& service,
                                                    std::uint32_t number, MonotonicTime now) const {
  if (const auto limit = stated_.Rate(number)) return limit;
  if (not_brittle_.contains(number)) return std::nullopt;
  // Its own notice says that it is no longer brittle.
  if (stated_.Notice(number, now)) return std::nullopt;
  std::optional<double> lowest;
  for (const auto& [other, other_service] : services_) {
    if (other_service != service) continue;
    const auto limit = stated_.Rate(other);
    if (!limit || milliseconds(stated_.Notice(other, now)->age_ms) >= kServiceMemory) continue;
    lowest = std::min(*limit, lowest.value_or(*limit));
  }
  return lowest;
}

std::uint32_t BrittleEndpoints::Room(std::uint32_t number, std::uint32_t in_flight,
                                     MonotonicTime now) const {
  const auto it = shares_.find(number);
  if (it == shares_.end() || now >= it->second.valid_until) return 0;
  return it->second.size - std::min(it->second.size, in_flight);
}

void BrittleEndpoints::Update(Share* share, std::uint32_t in_flight, MonotonicTime now) {
  if (now - share->period_began >= kPeriod) {
    const bool recent = now - share->period_began < 2 * kPeriod;
    share->last = recent ? share->present : Use();
    share->present = {};
    share->period_began = now;
  }
  share->present.peak = std::max(share->present.peak, in_flight);
}

void BrittleEndpoints::RecordMiss(std::uint32_t number, MonotonicTime now) {
  Share& share = shares_[number];
  Update(&share, 0, now);
  ++share.present.misses;
}

void BrittleEndpoints::RecordStart(std::uint32_t number, std::uint32_t in_flight,
                                   MonotonicTime now) {
  Update(&shares_[number], in_flight, now);
}

std::optional<SlotShareDemand> BrittleEndpoints::TakeDemand(const std::string& service,
                                                            std::uint32_t number,
                                                            std::uint32_t slots,
                                                            std::uint32_t in_flight,
                                                            MonotonicTime now) {
  const auto limit = RejectLimit(service, number, now);
  if (!limit) {
    shares_.erase(number);
    return std::nullopt;
  }
  const auto it = shares_.find(number);
  if (it == shares_.end() && in_flight == 0) return std::nullopt;
  Share& share = shares_[number];
  Update(&share, in_flight, now);
  SlotShareDemand demand;
  demand.number = number;
  demand.slots = slots;
  demand.reject_limit = static_cast<float>(*limit);
  demand.is_new = !stated_.Rate(number);
  demand.in_flight = in_flight;
  const std::uint32_t misses = std::max(share.present.misses, share.last.misses);
  demand.needed = in_flight + misses;
  demand.wanted = std::max(share.present.peak, share.last.peak) + misses;
  demand.held = now < share.valid_until ? share.size : 0;
  demand.rejections = share.rejections;
  const bool used = demand.wanted > 0 || demand.rejections > 0;
  // The leader reserves a share until it is told that it has been given up.
  if (!used && demand.held == 0 && share.told_held == 0) {
    shares_.erase(number);
    return std::nullopt;
  }
  share.told_held = demand.held;
  share.rejections = 0;
  return demand;
}

bool BrittleEndpoints::SetShare(std::uint32_t number, std::uint32_t share, MonotonicTime asked_at) {
  const auto it = shares_.find(number);
  if (it == shares_.end()) return false;
  const bool grown = share > it->second.size || it->second.valid_until <= asked_at;
  it->second.size = share;
  it->second.valid_until = asked_at + SlotShareAllocator::kShareLifetime;
  return grown && share > 0;
}

void BrittleEndpoints::RestoreDemand(const SlotShareDemand& demand) {
  const auto it = shares_.find(demand.number);
  if (it == shares_.end()) return;
  it->second.rejections += demand.rejections;
  it->second.told_held = std::max(it->second.told_held, 1U);
}

}  // namespace mimosabend
