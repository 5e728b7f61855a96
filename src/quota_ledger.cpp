#include "quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace mimosabend {

namespace {

// The level is led back to this part of the burst within the time below, so that noise meets
// neither the full nor the empty account.
constexpr double kTargetLevel = 0.5;
constexpr double kLevelSeconds = 0.8;
// The rest of the tolerance is left for what is used before daemons hear of it.
constexpr double kUsedTolerance = 0.5;
// Demand is averaged over this time, which covers the reports of all daemons once.
constexpr double kDemandSeconds = 0.6;

}  // namespace

void QuotaLedger::Note(const std::vector<QuotaUse>& uses, MonotonicTime now) {
  for (const QuotaUse& use : uses) {
    Account& account = accounts_.try_emplace(use.customer, Account{0, true, now}).first->second;
    account.asked += use.asked;
    account.spent += use.spent;
  }
}

void QuotaLedger::Reset(MonotonicTime now) {
  accounts_.clear();
  reset_at_ = now;
}

void QuotaLedger::Update(double rate, double burst, Account* account, MonotonicTime now) {
  const double elapsed = ToSeconds(now - account->updated);
  if (elapsed <= 0) return;
  account->updated = now;
  const double fade = std::exp(-elapsed / kDemandSeconds);
  account->demand = account->demand * fade + account->asked / elapsed * (1 - fade);
  account->level = std::min(account->level + rate * elapsed - account->spent, burst);
  if (account->level >= kTargetLevel * burst) account->filling = false;
  account->asked = 0;
  account->spent = 0;
}

std::vector<QuotaShare> QuotaLedger::Shares(const CustomerDirectory& customers, double tolerance,
                                            MonotonicTime now) {
  std::vector<QuotaShare> shares;
  for (const auto& [name, customer] : customers.customers()) {
    const QuotaLimit& limit = customer.quota;
    const std::uint32_t number = CustomerNumber(name);
    const auto it = accounts_.find(number);
    if (it == accounts_.end() || !limit.is_limited()) continue;
    Account& account = it->second;
    const double burst = limit.burst + kUsedTolerance * tolerance;
    Update(limit.rate, burst, &account, now);
    const double surplus =
        account.filling ? std::min(0.0, account.level) : account.level - kTargetLevel * burst;
    const double allowed = std::max(0.0, limit.rate + surplus / kLevelSeconds);
    // The average has begun at zero with the last reset.
    const auto measured = std::max<MonotonicTime::duration>(now - reset_at_, kMeasureTime);
    const double demand = account.demand / (1 - std::exp(-ToSeconds(measured) / kDemandSeconds));
    if (demand <= allowed) continue;
    const double share = allowed / demand;
    shares.push_back({number, static_cast<std::uint16_t>(share * QuotaShare::kWhole)});
  }
  return shares;
}

}  // namespace mimosabend
