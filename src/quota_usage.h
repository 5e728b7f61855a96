#ifndef MIMOSABEND_QUOTA_USAGE_H_
#define MIMOSABEND_QUOTA_USAGE_H_

#include <cstdint>
#include <string>

#include "codec.h"

namespace mimosabend {

// Identifies a customer in messages between daemons: a hash of its name. Thread-safe.
std::uint32_t CustomerNumber(const std::string& name);

// Units of a customer's quota that one or more daemons used since their last report.
struct QuotaUsage {
  std::uint32_t customer = 0;
  // Units of all requests, admitted or not.
  std::uint32_t requested = 0;
  // Units of admitted requests, minus refunds; negative if refunds predominate.
  std::int32_t admitted = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(customer, requested, admitted);
  }
};

// Adds another report for the same customer, with saturation. Thread-safe.
void AddQuotaUsage(QuotaUsage* sum, const QuotaUsage& more);

// The share of a customer's requests that each daemon may admit, for a customer whose demand
// exceeds its quota. All requests of customers without a QuotaShare may be admitted.
struct QuotaShare {
  static constexpr double kWhole = UINT16_MAX;

  std::uint32_t customer = 0;
  // In units of 1 / kWhole.
  std::uint16_t share = 0;

  double fraction() const { return share / kWhole; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(customer, share);
  }
};

}  // namespace mimosabend

#endif  // MIMOSABEND_QUOTA_USAGE_H_
