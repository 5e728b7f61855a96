#ifndef MIMOSABEND_QUOTA_USAGE_H_
#define MIMOSABEND_QUOTA_USAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "codec.h"

namespace mimosabend {

// Identifies a customer in messages between daemons: a hash of its name. Thread-safe.
std::uint32_t CustomerNumber(const std::string& name);

// Units of a customer's quota that one or more daemons used for requests of one priority since
// their last report.
struct QuotaUsage {
  std::uint32_t customer = 0;
  // See PriorityLevel.
  std::uint8_t level = 0;
  // Units of all requests, admitted or not.
  std::uint32_t requested = 0;
  // Units of admitted requests, minus refunds; negative if refunds predominate.
  std::int32_t admitted = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(customer, level, requested, admitted);
  }
};

// Adds another report for the same customer and level, with saturation. Thread-safe.
void AddQuotaUsage(QuotaUsage* sum, const QuotaUsage& more);

// Sums of usage by customer and level.
class QuotaUsageSums {
 public:
  void Add(const QuotaUsage& use);
  void Add(const std::vector<QuotaUsage>& uses);
  // Units that a customer has requested at all levels.
  std::uint64_t Requested(std::uint32_t customer) const;
  // Returns all sums and resets them.
  std::vector<QuotaUsage> Take();

 private:
  std::map<std::pair<std::uint32_t, std::uint8_t>, QuotaUsage> sums_;
};

// The share of a customer's requests that each daemon may admit, for a customer whose demand
// exceeds its quota. Applies to requests of its level and of less urgent ones, up to the level of
// the customer's next QuotaShare. All other requests may be admitted.
struct QuotaShare {
  static constexpr double kWhole = UINT16_MAX;

  std::uint32_t customer = 0;
  // See PriorityLevel.
  std::uint8_t level = 0;
  // In units of 1 / kWhole.
  std::uint16_t share = 0;

  double fraction() const { return share / kWhole; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(customer, level, share);
  }
};

}  // namespace mimosabend

#endif  // MIMOSABEND_QUOTA_USAGE_H_
