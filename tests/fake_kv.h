#ifndef MIMOSABEND_TESTS_FAKE_KV_H_
#define MIMOSABEND_TESTS_FAKE_KV_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "kv_store.h"
#include "supervisor.h"

namespace mimosabend::testing {

// In-memory key-value service, shared by the FakeKv clients of a test. Not thread-safe.
class FakeKvService {
 public:
  explicit FakeKvService(std::uint64_t seed) : random_(seed) {}

  std::mt19937_64& random() { return random_; }

  KvEntry Get(const std::string& key) {
    ExpireLeases();
    const auto it = entries_.find(key);
    return it == entries_.end() ? KvEntry{} : it->second.entry;
  }

  std::vector<KvItem> List(const std::string& prefix) {
    ExpireLeases();
    std::vector<KvItem> items;
    for (auto it = entries_.lower_bound(prefix); it != entries_.end(); ++it) {
      if (!it->first.starts_with(prefix)) break;
      items.push_back({it->first, it->second.entry});
    }
    return items;
  }

  KvSwap Swap(const std::string& key, const std::string& value, std::uint64_t expected) {
    if (Get(key).version != expected) return {};
    Put(key, value, "");
    return {true, last_version_};
  }

  bool Erase(const std::string& key, std::uint64_t expected) {
    if (Get(key).version != expected) return false;
    entries_.erase(key);
    return true;
  }

  LeaseId Grant(milliseconds time_to_live) {
    const LeaseId id = "lease-" + std::to_string(++last_lease_);
    leases_[id] = {time_to_live, MonotonicNow() + time_to_live};
    return id;
  }

  bool Renew(const LeaseId& lease) {
    ExpireLeases();
    const auto it = leases_.find(lease);
    if (it == leases_.end()) return false;
    it->second.expires = MonotonicNow() + it->second.time_to_live;
    return true;
  }

  void Revoke(const LeaseId& lease) {
    std::erase_if(entries_, [&](const auto& item) { return item.second.lease == lease; });
    leases_.erase(lease);
  }

  bool Acquire(const std::string& key, const std::string& value, const LeaseId& lease) {
    ExpireLeases();
    const auto it = entries_.find(key);
    const bool held = it != entries_.end() && it->second.lease != lease;
    if (held || !leases_.contains(lease)) return false;
    Put(key, value, lease);
    return true;
  }

 private:
  struct StoredEntry {
    KvEntry entry;
    LeaseId lease;
  };
  struct Lease {
    milliseconds time_to_live{0};
    MonotonicTime expires;
  };

  void Put(const std::string& key, const std::string& value, const LeaseId& lease) {
    entries_[key] = {{value, ++last_version_}, lease};
  }

  void ExpireLeases() {
    const MonotonicTime now = MonotonicNow();
    std::vector<LeaseId> expired;
    for (const auto& [id, lease] : leases_) {
      if (lease.expires <= now) expired.push_back(id);
    }
    for (const LeaseId& id : expired) Revoke(id);
  }

  std::mt19937_64 random_;
  std::map<std::string, StoredEntry> entries_;
  std::map<LeaseId, Lease> leases_;
  std::uint64_t last_version_ = 0;
  std::uint64_t last_lease_ = 0;
};

// Faults injected between one client and the service. Rates are probabilities per call.
struct KvFaults {
  // All calls fail with kUnavailable.
  bool down = false;
  // Rate of calls that are not executed, but fail with kOutcomeUnknown.
  double lost_calls = 0;
  // Rate of calls that are executed, but fail with kOutcomeUnknown.
  double lost_answers = 0;
  // Calls are delayed by a random time up to this.
  milliseconds max_delay{0};
  // Rate of calls that fail with kOutcomeUnknown at once and are executed kLateCallDelay later.
  double late_calls = 0;
  // Additional rate of compare-and-swap calls that are executed, but fail with kOutcomeUnknown.
  double lost_answers_of_writes = 0;
};

// A client of FakeKvService with fault injection. Models KvStore. Not thread-safe.
class FakeKv {
 public:
  // Precondition: `service` outlives this object.
  explicit FakeKv(FakeKvService* service) : service_(service) {}

  KvFaults& faults() { return faults_; }
  std::uint64_t calls() const { return calls_; }

  Task<Result<KvEntry, KvError>> Read(std::string key) {
    std::function<KvEntry()> call = [=, this] { return service_->Get(key); };
    co_return co_await Run<KvEntry>(std::move(call));
  }
  Task<Result<KvSwap, KvError>> CompareAndSwap(std::string key, std::string value,
                                               std::uint64_t expected) {
    if (value.size() > kMaxKvValueBytes) co_return outcome::failure(KvError::kTooLarge);
    std::function<KvSwap()> call = [=, this] { return service_->Swap(key, value, expected); };
    auto swap = co_await Run<KvSwap>(std::move(call));
    // Draws a random number only if the fault is enabled, so that other tests keep their random
    // sequence for a given seed.
    if (faults_.lost_answers_of_writes > 0 && RandomBool(faults_.lost_answers_of_writes)) {
      co_return outcome::failure(KvError::kOutcomeUnknown);
    }
    co_return swap;
  }
  Task<Result<bool, KvError>> Delete(std::string key, std::uint64_t expected) {
    std::function<bool()> call = [=, this] { return service_->Erase(key, expected); };
    co_return co_await Run<bool>(std::move(call));
  }
  Task<Result<std::vector<KvItem>, KvError>> List(std::string prefix) {
    std::function<std::vector<KvItem>()> call = [=, this] { return service_->List(prefix); };
    co_return co_await Run<std::vector<KvItem>>(std::move(call));
  }
  Task<Result<KvEntry, KvError>> Watch(std::string key, std::uint64_t known, milliseconds wait) {
    constexpr milliseconds kPoll{5};
    const MonotonicTime deadline = MonotonicNow() + wait;
    while (service_->Get(key).version == known && MonotonicNow() < deadline) {
      co_await Sleep(kPoll);
    }
    co_return co_await Read(key);
  }
  Task<Result<LeaseId, KvError>> GrantLease(milliseconds time_to_live) {
    std::function<LeaseId()> call = [=, this] { return service_->Grant(time_to_live); };
    co_return co_await Run<LeaseId>(std::move(call));
  }
  Task<Result<bool, KvError>> RenewLease(LeaseId lease) {
    std::function<bool()> call = [=, this] { return service_->Renew(lease); };
    co_return co_await Run<bool>(std::move(call));
  }
  Task<Result<void, KvError>> RevokeLease(LeaseId lease) {
    std::function<bool()> call = [=, this] {
      service_->Revoke(lease);
      return true;
    };
    auto done = co_await Run<bool>(std::move(call));
    if (!done) co_return outcome::failure(done.error());
    co_return outcome::success();
  }
  Task<Result<bool, KvError>> Acquire(std::string key, std::string value, LeaseId lease) {
    std::function<bool()> call = [=, this] { return service_->Acquire(key, value, lease); };
    co_return co_await Run<bool>(std::move(call));
  }

 private:
  static constexpr milliseconds kLateCallDelay{50};

  bool RandomBool(double probability) {
    return std::bernoulli_distribution(probability)(service_->random());
  }

  // Executes a call with the configured faults.
  template <class T>
  Task<Result<T, KvError>> Run(std::function<T()> call) {
    ++calls_;
    if (faults_.max_delay.count() > 0) {
      std::uniform_int_distribution<int> delay(0, static_cast<int>(faults_.max_delay.count()));
      const milliseconds time(delay(service_->random()));
      co_await Sleep(time);
    }
    if (faults_.down) co_return outcome::failure(KvError::kUnavailable);
    if (RandomBool(faults_.lost_calls)) co_return outcome::failure(KvError::kOutcomeUnknown);
    if (RandomBool(faults_.late_calls)) {
      boost::asio::co_spawn(co_await boost::asio::this_coro::executor, RunLater(call),
                            boost::asio::detached);
      co_return outcome::failure(KvError::kOutcomeUnknown);
    }
    T result = call();
    if (RandomBool(faults_.lost_answers)) co_return outcome::failure(KvError::kOutcomeUnknown);
    co_return result;
  }

  template <class T>
  static Task<void> RunLater(std::function<T()> call) {
    co_await Sleep(kLateCallDelay);
    call();
  }

  FakeKvService* service_;
  KvFaults faults_;
  std::uint64_t calls_ = 0;
};

static_assert(KvStore<FakeKv>);

}  // namespace mimosabend::testing

#endif  // MIMOSABEND_TESTS_FAKE_KV_H_
