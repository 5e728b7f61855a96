#include "uplink.h"

#include <algorithm>

#include "digest.h"

namespace mimosabend {

namespace {

// Reports that may fail in a row before the next choice is tried.
constexpr int kFailuresToMove = 2;
// After this time the first choice is tried again.
constexpr seconds kReturnTime{5};

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
  // Daemons whose own relays fail spread over the others.
  const auto score = [&](const Address& relay) {
    return Hash64(ToString(relay), Hash64(ToString(self_)));
  };
  std::sort(relays_.begin(), relays_.end(),
            [&](const Address& a, const Address& b) { return score(a) < score(b); });
  choices_.clear();
  const std::vector<Address>* near = plan.Find(failure_domain_);
  if (plan.relaying && near != nullptr && !is_relay_) choices_ = *near;
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
  if (choice_ > 0 && now - moved_ >= kReturnTime) {
    choice_ = 0;
    moved_ = now;
  }
  if (choice_ >= choices_.size()) return std::nullopt;
  return choices_[choice_];
}

void Uplink::NoteFailed(MonotonicTime now) {
  if (++failures_ < kFailuresToMove) return;
  failures_ = 0;
  ++choice_;
  moved_ = now;
}

std::vector<Address> Uplink::Relays() const { return relays_; }

}  // namespace mimosabend
