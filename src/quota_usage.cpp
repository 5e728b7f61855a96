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
  sum->requested = SaturatedSum(sum->requested, more.requested);
  sum->admitted = SaturatedSum(sum->admitted, more.admitted);
}

}  // namespace mimosabend
