#include "quota_usage.h"

#include <algorithm>
#include <limits>

#include "digest.h"

namespace mimosabend {

namespace {

template <class Number>
Number SaturatedSum(Number a, Number b) {
  const std::int64_t sum = std::int64_t{a} + b;
  return static_cast<Number>(std::clamp<std::int64_t>(sum, std::numeric_limits<Number>::min(),
                                                      std::numeric_limits<Number>::max()));
}

}  // namespace

std::uint32_t CustomerNumber(const std::string& name) {
  return static_cast<std::uint32_t>(Hash64(name));
}

void AddQuotaUsage(QuotaUsage* sum, const QuotaUsage& more) {
  sum->customer = more.customer;
  sum->level = more.level;
  sum->requested = SaturatedSum(sum->requested, more.requested);
  sum->admitted = SaturatedSum(sum->admitted, more.admitted);
}

void QuotaUsageSums::Add(const QuotaUsage& use) {
  AddQuotaUsage(&sums_[{use.customer, use.level}], use);
}

void QuotaUsageSums::Add(const std::vector<QuotaUsage>& uses) {
  for (const QuotaUsage& use : uses) Add(use);
}

std::uint64_t QuotaUsageSums::Requested(std::uint32_t customer) const {
  std::uint64_t requested = 0;
  for (auto it = sums_.lower_bound({customer, 0}); it != sums_.end(); ++it) {
    if (it->first.first != customer) break;
    requested += it->second.requested;
  }
  return requested;
}

std::vector<QuotaUsage> QuotaUsageSums::Take() {
  std::vector<QuotaUsage> taken;
  for (const auto& [key, use] : sums_) taken.push_back(use);
  sums_.clear();
  return taken;
}

}  // namespace mimosabend
