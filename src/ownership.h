#ifndef MIMOSABEND_OWNERSHIP_H_
#define MIMOSABEND_OWNERSHIP_H_

#include <boost/asio/co_spawn.hpp>
#include <map>
#include <memory>
#include <string>

#include "membership.h"
#include "placement_owner.h"
#include "supervisor.h"

namespace mimosabend {

// Runs a PlacementOwner for each group whose preferred owner is this daemon. Not thread-safe.
template <KvStore Kv, EngineControl Engine>
class Ownership {
 public:
  using Owner = PlacementOwner<Kv, Engine>;

  // Precondition: all pointers outlive this object.
  Ownership(boost::asio::any_io_executor executor, OwnerContext context, Membership* membership,
            Kv* kv, LeaseKeeper<Kv>* lease, Engine* engine, Supervisor* supervisor,
            Metrics* metrics)
      : executor_(std::move(executor)),
        context_(std::move(context)),
        membership_(membership),
        kv_(kv),
        lease_(lease),
        engine_(engine),
        supervisor_(supervisor),
        metrics_(metrics) {}

  // The PlacementOwner of a group; nullptr if this daemon does not run one.
  std::shared_ptr<Owner> Find(const std::string& group) const {
    const auto it = owners_.find(group);
    return it == owners_.end() ? nullptr : it->second;
  }

  const std::map<std::string, std::shared_ptr<Owner>>& owners() const { return owners_; }

  // Starts and stops owners as the membership and the environment change. Never returns.
  Task<void> Run() {
    for (;;) {
      UpdateOwners();
      co_await Sleep(kUpdatePeriod);
    }
  }

  // Releases all groups; returns when all owners have finished.
  Task<void> Stop() {
    stopping_ = true;
    // UpdateOwners removes finished owners from owners_ while this coroutine waits.
    const std::map<std::string, std::shared_ptr<Owner>> owners = owners_;
    for (const auto& [group, owner] : owners) owner->Stop();
    for (const auto& [group, owner] : owners) {
      while (!owner->finished()) co_await Sleep(kStopPollPeriod);
    }
  }

 private:
  static constexpr milliseconds kUpdatePeriod{250};
  static constexpr milliseconds kStopPollPeriod{20};

  void UpdateOwners() {
    std::map<std::string, GroupId> preferred;
    if (!stopping_) {
      for (const GroupId& group : AllGroups(*context_.environment())) {
        const std::string key = group.ToString();
        const Member* owner = membership_->PreferredOwner(key, group.region);
        if (owner->update.name == context_.daemon_name) preferred[key] = group;
      }
    }
    for (auto it = owners_.begin(); it != owners_.end();) {
      if (!preferred.contains(it->first)) it->second->Stop();
      it = it->second->finished() ? owners_.erase(it) : std::next(it);
    }
    for (const auto& [key, group] : preferred) {
      if (owners_.contains(key)) continue;
      auto owner =
          std::make_shared<Owner>(executor_, group, context_, kv_, lease_, engine_, metrics_);
      owners_[key] = owner;
      supervisor_->Start("owner " + key, [owner] { return owner->Run(); });
    }
    std::size_t owned = 0;
    for (const auto& [key, owner] : owners_) owned += owner->is_owner() ? 1 : 0;
    metrics_->owned_groups->Set(static_cast<double>(owned));
    lease_->SetWanted(!owners_.empty());
  }

  boost::asio::any_io_executor executor_;
  OwnerContext context_;
  Membership* membership_;
  Kv* kv_;
  LeaseKeeper<Kv>* lease_;
  Engine* engine_;
  Supervisor* supervisor_;
  Metrics* metrics_;
  std::map<std::string, std::shared_ptr<Owner>> owners_;
  bool stopping_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_OWNERSHIP_H_
