#ifndef MIMOSABEND_CRASH_DETECTOR_H_
#define MIMOSABEND_CRASH_DETECTOR_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <map>
#include <string>

#include "clock.h"
#include "engine.h"
#include "supervisor.h"

namespace mimosabend {

// Tells a crash of an endpoint from a broken connection. Not thread-safe.
template <EngineControl Engine>
class CrashDetector {
 public:
  // Precondition: `engine` outlives this object, and this object outlives its calls.
  explicit CrashDetector(Engine* engine) : engine_(engine) {}

  // The incarnation of an endpoint before a request starts there; asked for if unknown. Empty if
  // the endpoint does not say.
  Task<std::string> Incarnation(std::string endpoint, Address address) {
    const auto it = known_.find(endpoint);
    if (it == known_.end()) {
      co_await Learn(endpoint, address);
      co_return known_[endpoint].incarnation;
    }
    if (MonotonicNow() - it->second.asked > kMaxAge) {
      it->second.asked = MonotonicNow();
      boost::asio::co_spawn(co_await boost::asio::this_coro::executor, Learn(endpoint, address),
                            boost::asio::detached);
    }
    co_return known_[endpoint].incarnation;
  }

  // True if the endpoint does not answer or has another incarnation than `before`, which is
  // empty if unknown.
  Task<bool> HasCrashed(std::string endpoint, Address address, std::string before) {
    bool answers = co_await Learn(endpoint, address);
    if (!answers) {
      co_await Sleep(kSecondProbeDelay);
      answers = co_await Learn(endpoint, address);
    }
    if (!answers) {
      known_.erase(endpoint);
      co_return true;
    }
    co_return !before.empty() && known_[endpoint].incarnation != before;
  }

 private:
  // An endpoint that restarted while idle is noticed within this time, so that a later broken
  // stream is not taken for a crash.
  static constexpr seconds kMaxAge{10};
  static constexpr milliseconds kSecondProbeDelay{100};

  struct Known {
    std::string incarnation;
    MonotonicTime asked;
  };

  // False if the endpoint does not answer. A malformed answer is one.
  Task<bool> Learn(std::string endpoint, Address address) {
    auto state = co_await engine_->State(address);
    if (!state) co_return state.error() == EngineError::kBadAnswer;
    known_[endpoint] = {state.value().incarnation, MonotonicNow()};
    co_return true;
  }

  Engine* engine_;
  std::map<std::string, Known> known_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CRASH_DETECTOR_H_
