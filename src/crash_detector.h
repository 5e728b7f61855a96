#ifndef MIMOSABEND_CRASH_DETECTOR_H_
#define MIMOSABEND_CRASH_DETECTOR_H_

#include <boost/asio/this_coro.hpp>
#include <map>
#include <string>

#include "clock.h"
#include "engine.h"
#include "event_loop.h"
#include "supervisor.h"

namespace mimosabend {

// Distinguishes a crash of an endpoint from a lost connection by the endpoint's incarnation, an id
// that changes with each process start. Not thread-safe.
template <EngineControl Engine>
class CrashDetector {
 public:
  // Precondition: `engine` outlives this object, and this object outlives its calls.
  explicit CrashDetector(Engine* engine) : engine_(engine) {}

  // The incarnation of an endpoint, to be called before a request is sent there. Queries the
  // endpoint if it isn't cached. Empty if the endpoint doesn't return it.
  Task<std::string> Incarnation(std::string endpoint, Address address) {
    const auto it = cache_.find(endpoint);
    if (it == cache_.end()) {
      co_await Query(endpoint, address);
      co_return cache_[endpoint].incarnation;
    }
    if (MonotonicNow() - it->second.queried_at > kMaxAge) {
      it->second.queried_at = MonotonicNow();
      const auto executor = co_await boost::asio::this_coro::executor;
      SpawnDetached(executor, "state of an endpoint", Query(endpoint, address));
    }
    co_return cache_[endpoint].incarnation;
  }

  // True if the endpoint answers neither of two queries, or if its incarnation differs from
  // `before`. `before` is what Incarnation returned, empty if unknown.
  Task<bool> HasCrashed(std::string endpoint, Address address, std::string before) {
    bool alive = co_await Query(endpoint, address);
    if (!alive) {
      co_await Sleep(kSecondProbeDelay);
      alive = co_await Query(endpoint, address);
    }
    if (!alive) {
      cache_.erase(endpoint);
      co_return true;
    }
    co_return !before.empty() && cache_[endpoint].incarnation != before;
  }

 private:
  // Age after which a cached incarnation is refreshed. Otherwise an endpoint that restarted while
  // idle would make a later broken stream look like a crash.
  static constexpr seconds kMaxAge{10};
  static constexpr milliseconds kSecondProbeDelay{100};

  struct CacheEntry {
    std::string incarnation;
    MonotonicTime queried_at;
  };

  // Queries the incarnation and caches it. False if the endpoint doesn't answer; a malformed answer
  // counts as an answer.
  Task<bool> Query(std::string endpoint, Address address) {
    auto state = co_await engine_->State(address);
    if (!state) co_return state.error() == EngineError::kBadAnswer;
    cache_[endpoint] = {state.value().incarnation, MonotonicNow()};
    co_return true;
  }

  Engine* engine_;
  std::map<std::string, CacheEntry> cache_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CRASH_DETECTOR_H_
