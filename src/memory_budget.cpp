#include "memory_budget.h"

#include <algorithm>
#include <cassert>
#include <numeric>

#include "log.h"

namespace mimosabend {

namespace {

// Part of the limit up to which new requests are admitted. The rest is for what the admitted ones
// turn out to need.
constexpr double kAdmittedShare = 0.75;
// Part of the room that the others leave which one request may take.
constexpr double kRequestShare = 0.5;
// Part of the limit that one connection and one customer may hold.
constexpr std::uint64_t kConnectionDivisor = 4;
constexpr std::uint64_t kCustomerDivisor = 2;
// Size that is expected of a response before any has been read, and weight of each one in the mean.
constexpr double kFirstExpectedResponse = 64 * 1024;
constexpr double kResponseWeight = 1.0 / 64;
// Refusing has ended when no request has been refused for this long.
constexpr milliseconds kRefusingPause{1000};

}  // namespace

struct MemoryHold::Totals {
  std::uint64_t limit = 0;
  std::array<std::uint64_t, kMemoryKindCount> held{};
  // Those that hold more than nothing.
  std::map<std::string, std::uint64_t> customers;
  // Requests that were admitted and have not ended.
  std::uint64_t admitted = 0;

  std::uint64_t sum() const { return std::accumulate(held.begin(), held.end(), std::uint64_t{0}); }

  void AddToCustomer(const std::string& customer, std::uint64_t bytes) {
    if (!customer.empty() && bytes > 0) customers[customer] += bytes;
  }
  void TakeFromCustomer(const std::string& customer, std::uint64_t bytes) {
    const auto it = customers.find(customer);
    if (it == customers.end()) return;
    it->second -= bytes;
    if (it->second == 0) customers.erase(it);
  }
};

MemoryHold& MemoryHold::operator=(MemoryHold&& other) noexcept {
  if (this == &other) return *this;
  Release();
  totals_ = std::move(other.totals_);
  kind_ = other.kind_;
  customer_ = std::move(other.customer_);
  bytes_ = std::exchange(other.bytes_, 0);
  admitted_ = std::exchange(other.admitted_, false);
  return *this;
}

MemoryResult MemoryHold::TryGrow(std::uint64_t bytes, HoldShare share) {
  if (totals_ == nullptr) return MemoryResult::kHeld;
  if (totals_->limit > 0) {
    const std::uint64_t most =
        totals_->limit / (share == HoldShare::kConnection ? kConnectionDivisor : 1);
    if (bytes_ + bytes > most) return MemoryResult::kTooLarge;
    if (totals_->sum() + bytes > totals_->limit) return MemoryResult::kNoRoom;
  }
  bytes_ += bytes;
  totals_->held[static_cast<std::size_t>(kind_)] += bytes;
  totals_->AddToCustomer(customer_, bytes);
  return MemoryResult::kHeld;
}

void MemoryHold::Shrink(std::uint64_t bytes) {
  if (totals_ == nullptr) return;
  assert(bytes <= bytes_);
  bytes_ -= bytes;
  totals_->held[static_cast<std::size_t>(kind_)] -= bytes;
  totals_->TakeFromCustomer(customer_, bytes);
}

void MemoryHold::SetCustomer(const std::string& customer) {
  assert(customer_.empty());
  if (totals_ == nullptr) return;
  customer_ = customer;
  totals_->AddToCustomer(customer_, bytes_);
}

void MemoryHold::Release() {
  if (totals_ == nullptr) return;
  Shrink(bytes_);
  if (std::exchange(admitted_, false)) --totals_->admitted;
}

MemoryBudget::MemoryBudget(std::uint64_t limit)
    : totals_(std::make_shared<MemoryHold::Totals>()), expected_response_(kFirstExpectedResponse) {
  totals_->limit = limit;
}

void MemoryBudget::set_limit(std::uint64_t limit) { totals_->limit = limit; }

std::uint64_t MemoryBudget::limit() const { return totals_->limit; }

bool MemoryBudget::WouldFit(std::uint64_t bytes, const MemoryHold* own, std::uint64_t freed) const {
  if (totals_->limit == 0) return true;
  const std::uint64_t copies = bytes * kBodyCopies;
  if (copies > totals_->limit / kConnectionDivisor) return false;
  const std::uint64_t admitted = totals_->admitted + (own == nullptr ? 1 : 0);
  const std::uint64_t own_bytes = own == nullptr ? 0 : own->bytes();
  const auto responses = static_cast<double>(held(MemoryKind::kResponses));
  const double expected = static_cast<double>(admitted) * expected_response_;
  const auto others =
      static_cast<double>(held() - held(MemoryKind::kResponses) - own_bytes - freed);
  const double allowed = static_cast<double>(totals_->limit) * kAdmittedShare;
  const double room = allowed - others - std::max(responses, expected);
  return room >= 0 && static_cast<double>(copies) <= room * kRequestShare;
}

std::optional<MemoryHold> MemoryBudget::Admit(std::uint64_t bytes, MonotonicTime now) {
  if (!WouldFit(bytes, nullptr, 0)) {
    RecordRefusal(now);
    return std::nullopt;
  }
  if (refused_at_ && now - *refused_at_ >= kRefusingPause) {
    refused_at_.reset();
    LOG4CPLUS_INFO(Log(), "memory: no longer refusing requests, held_bytes=" << held());
  }
  MemoryHold hold(totals_, MemoryKind::kRequests);
  if (hold.TryGrow(bytes * kBodyCopies) != MemoryResult::kHeld) {
    RecordRefusal(now);
    return std::nullopt;
  }
  hold.admitted_ = true;
  ++totals_->admitted;
  return hold;
}

bool MemoryBudget::GrowRequest(MemoryHold* hold, std::uint64_t bytes) const {
  const std::uint64_t copies = bytes * kBodyCopies;
  if (copies <= hold->bytes()) return true;
  if (!WouldFit(bytes, hold, 0)) return false;
  return hold->TryGrow(copies - hold->bytes()) == MemoryResult::kHeld;
}

bool MemoryBudget::HasRoom(const std::string& customer) const {
  if (totals_->limit == 0) return true;
  const auto it = totals_->customers.find(customer);
  return it == totals_->customers.end() || it->second < totals_->limit / kCustomerDivisor;
}

void MemoryBudget::RecordRefusal(MonotonicTime now) {
  ++refusals_;
  if (!refused_at_) {
    LOG4CPLUS_WARN(Log(), "memory: refusing requests, held_bytes="
                              << held() << " limit_bytes=" << totals_->limit
                              << " requests=" << totals_->admitted << " expected_response_bytes="
                              << static_cast<std::uint64_t>(expected_response_));
  }
  refused_at_ = now;
}

MemoryHold MemoryBudget::Open(MemoryKind kind, const std::string& customer) const {
  MemoryHold hold(totals_, kind);
  hold.SetCustomer(customer);
  return hold;
}

void MemoryBudget::RecordResponse(std::uint64_t bytes) {
  expected_response_ += (static_cast<double>(bytes) - expected_response_) * kResponseWeight;
}

std::uint64_t MemoryBudget::held(MemoryKind kind) const {
  return totals_->held[static_cast<std::size_t>(kind)];
}

std::uint64_t MemoryBudget::held() const { return totals_->sum(); }

}  // namespace mimosabend
