#include "uplink.h"

#include <algorithm>

#include "digest.h"

namespace mimosabend {

namespace {

// Consecutive failures after which the next choice is tried.
constexpr int kFailuresToSwitch = 2;
// Time after which the first choice is tried again.
constexpr seconds kFirstChoiceRetryDelay{5};

}  // namespace

void Uplink::Update(const RelayPlan& plan, const std::optional<Address>& leader) {
  if (plan.version == plan_version_ && leader == leader_) return;
  plan_version_ = plan.version;
  leader_ = leader;
  is_relay_ = plan.relaying && plan.Contains(self_);
  relays_.clear();
  for (const DomainRelays& domain : plan.domains) {
    for (const Address& relay : domain.relays) {
      if (relay != self_) relays_.push_back(relay);
    }
  }
  // Rendezvous hashing spreads the daemons whose own relays fail over the other relays.
  const auto score = [&](const Address& relay) {
    return Hash64(ToString(relay), Hash64(ToString(self_)));
  };
  std::sort(relays_.begin(), relays_.end(),
            [&](const Address& a, const Address& b) { return score(a) < score(b); });
  choices_.clear();
  const std::vector<Address>* domain_relays = plan.Find(failure_domain_);
  if (plan.relaying && domain_relays != nullptr && !is_relay_) choices_ = *domain_relays;
  if (leader_) choices_.push_back(*leader_);
  for (const Address& relay : relays_) {
    if (std::find(choices_.begin(), choices_.end(), relay) == choices_.end()) {
      choices_.push_back(relay);
    }
  }
  std::erase(choices_, self_);
  choice_ = 0;
  failures_ = 0;
}

std::optional<Address> Uplink::Next(MonotonicTime now) {
  if (choice_ > 0 && now - switched_at_ >= kFirstChoiceRetryDelay) {
    choice_ = 0;
    switched_at_ = now;
  }
  if (choice_ >= choices_.size()) return std::nullopt;
  return choices_[choice_];
}

void Uplink::RecordFailure(MonotonicTime now) {
  if (++failures_ < kFailuresToSwitch) return;
  failures_ = 0;
  ++choice_;
  switched_at_ = now;
}

std::vector<Address> Uplink::Relays() const { return relays_; }

}  // namespace mimosabend
