#include "customer.h"

#include <cassert>

#include "digest.h"

namespace mimosabend {

bool CustomerDirectory::Add(Customer customer) {
  std::string name = customer.name;
  return customers_.try_emplace(std::move(name), std::move(customer)).second;
}

bool CustomerDirectory::AddKey(const std::string& customer, std::string digest) {
  assert(customers_.contains(customer));
  const auto [it, inserted] = customers_by_key_digest_.try_emplace(std::move(digest), customer);
  return inserted || it->second == customer;
}

const Customer* CustomerDirectory::FindByKey(std::string_view key) const {
  const auto it = customers_by_key_digest_.find(KeyDigest(key));
  return it == customers_by_key_digest_.end() ? nullptr : Find(it->second);
}

const Customer* CustomerDirectory::Find(const std::string& name) const {
  const auto it = customers_.find(name);
  return it == customers_.end() ? nullptr : &it->second;
}

std::string KeyDigest(std::string_view key) { return Sha256Hex(key); }

}  // namespace mimosabend
