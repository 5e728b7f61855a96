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

// The unit in which a quota is measured.
enum class QuotaUnit : std::uint8_t { kRequests, kTokens };
inline constexpr NameTable<QuotaUnit, 2> kQuotaUnitNames{{"requests", "tokens"}};

// The quota of a customer, for all daemons together.
struct QuotaLimit {
  // Units per second; 0 for no limit.
  double rate = 0;
  // Units that may be used at once beyond the rate.
  double burst = 0;
  QuotaUnit unit = QuotaUnit::kRequests;
  // Tokens charged for a request that doesn't state its number of tokens.
  std::uint32_t default_tokens = 0;

  bool is_limited() const { return rate > 0; }
  // Units that a request costs. `tokens` is 0 if the request doesn't state it.
  double CostOf(std::uint64_t tokens) const {
    if (unit == QuotaUnit::kRequests) return 1;
    return static_cast<double>(tokens > 0 ? tokens : default_tokens);
  }
  bool operator==(const QuotaLimit&) const = default;
};

struct Customer {
  std::string name;
  // Overrides the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> priority;
  QuotaLimit quota;
};

// The customers of a configuration, by name and by the digests of their API keys; the keys
// themselves are never stored. Finding a key takes about as long for any key, whatever their
// number. Not thread-safe while it is being filled.
class CustomerDirectory {
 public:
  // Adds a customer. False if the name exists already.
  bool Add(Customer customer);
  // Adds the digest of an API key (see KeyDigest). False if it belongs to another customer.
  // Precondition: the customer was added.
  bool AddKey(const std::string& customer, std::string digest);

  // The customer that an API key belongs to; nullptr if the key is unknown.
  const Customer* FindByKey(std::string_view key) const;
  // nullptr if no customer has the name.
  const Customer* Find(const std::string& name) const;

  const std::map<std::string, Customer>& customers() const { return customers_; }

 private:
  std::map<std::string, Customer> customers_;
  // Key digest to customer name.
  std::unordered_map<std::string, std::string> customers_by_key_digest_;
};

// SHA-256 of an API key in hexadecimal; represents the key in memory and between daemons.
// Thread-safe.
std::string KeyDigest(std::string_view key);

}  // namespace mimosabend

#endif  // MIMOSABEND_CUSTOMER_H_
