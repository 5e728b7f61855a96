#ifndef MIMOSABEND_CUSTOMER_H_
#define MIMOSABEND_CUSTOMER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "name_table.h"

namespace mimosabend {

// What a quota counts.
enum class QuotaUnit : std::uint8_t { kRequests, kTokens };
inline constexpr NameTable<QuotaUnit, 2> kQuotaUnitNames{{"requests", "tokens"}};

// What all daemons together may serve of one customer.
struct QuotaLimit {
  // Units a second; 0 for no limit.
  double rate = 0;
  // Units beyond the rate that may be used at once.
  double burst = 0;
  QuotaUnit unit = QuotaUnit::kRequests;
  // Counted for a request that does not say how many tokens it has.
  std::uint32_t tokens_without_count = 0;

  bool is_limited() const { return rate > 0; }
  // Units of a request; `tokens` is 0 if it does not say.
  double CostOf(std::uint64_t tokens) const {
    if (unit == QuotaUnit::kRequests) return 1;
    return static_cast<double>(tokens > 0 ? tokens : tokens_without_count);
  }
  bool operator==(const QuotaLimit&) const = default;
};

struct Customer {
  std::string name;
  // Goes before the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
  QuotaLimit quota;
};

// The customers of a configuration and the digests of their keys, never the keys themselves. A
// lookup takes as long for any key, however many there are. Not thread-safe while it is filled.
class CustomerDirectory {
 public:
  // Adds a customer. False if there is one of that name.
  bool Add(Customer customer);
  // Adds the digest of a key (see KeyDigest). False if it is another customer's.
  // Precondition: the customer was added.
  bool AddKey(const std::string& customer, std::string digest);

  // The customer that holds a key; nullptr if nobody does.
  const Customer* FindByKey(std::string_view key) const;
  // nullptr if there is none.
  const Customer* Find(const std::string& name) const;

  const std::map<std::string, Customer>& customers() const { return customers_; }

 private:
  std::map<std::string, Customer> customers_;
  // Names of customers by digest.
  std::unordered_map<std::string, std::string> keys_;
};

// What stands for a key in memory and between daemons. Thread-safe.
std::string KeyDigest(std::string_view key);

}  // namespace mimosabend

#endif  // MIMOSABEND_CUSTOMER_H_
