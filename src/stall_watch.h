#ifndef MIMOSABEND_STALL_WATCH_H_
#define MIMOSABEND_STALL_WATCH_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "clock.h"
#include "http_client.h"
#include "timer.h"

namespace mimosabend {

// Cancels a call whose response makes no progress for some time. The deadline of a read closes the
// connection when it passes; this asks first whether the call is to be given up, since that can
// change while the read waits, for example because a shutdown begins. Not thread-safe.
class StallWatch {
 public:
  // `may_give_up` is asked once for each stall. Precondition: what it refers to outlives this
  // object.
  StallWatch(const boost::asio::any_io_executor& executor, std::shared_ptr<HttpCanceller> canceller,
             std::function<bool()> may_give_up)
      : state_(std::make_shared<State>(executor, std::move(canceller), std::move(may_give_up))) {}

  // The call has made progress at `now`, and stalls after `timeout` without any.
  void RecordProgress(MonotonicTime now, milliseconds timeout) {
    state_->stalled_at = now + timeout;
    state_->timeout = timeout;
    if (state_->waiting && state_->stalled_at >= state_->timer.expiry()) return;
    state_->waiting = true;
    Wait(state_);
  }

  // The call is not waited for until the next progress is recorded.
  void Pause() { state_->stalled_at = MonotonicTime::max(); }

  // Whether the call has stalled at `now` and is still waited for.
  bool IsStalled(MonotonicTime now) const { return now >= state_->stalled_at; }

  // Cancels the call because of a stall, if that was decided later than `may_give_up` was asked.
  void GiveUp() { GiveUp(state_.get()); }

  // The time without progress after which the call stalls.
  milliseconds timeout() const { return state_->timeout; }

  // Whether the call was cancelled because of a stall.
  bool expired() const { return state_->expired; }

 private:
  struct State {
    State(const boost::asio::any_io_executor& executor, std::shared_ptr<HttpCanceller> call,
          std::function<bool()> ask)
        : timer(executor), canceller(std::move(call)), may_give_up(std::move(ask)) {}

    Timer timer;
    std::shared_ptr<HttpCanceller> canceller;
    std::function<bool()> may_give_up;
    MonotonicTime stalled_at = MonotonicTime::max();
    milliseconds timeout{0};
    bool waiting = false;
    bool expired = false;
  };

  static void Wait(const std::shared_ptr<State>& state) {
    state->timer.expires_at(state->stalled_at);
    state->timer.async_wait(
        [weak = std::weak_ptr<State>(state)](const boost::system::error_code& error) {
          const auto locked = weak.lock();
          if (locked != nullptr && !error) Check(locked, MonotonicNow());
        });
  }

  static void Check(const std::shared_ptr<State>& state, MonotonicTime now) {
    const bool paused = state->stalled_at == MonotonicTime::max();
    // There was progress meanwhile.
    if (!paused && now < state->stalled_at) return Wait(state);
    state->waiting = false;
    if (paused || !state->may_give_up()) return;
    GiveUp(state.get());
  }

  static void GiveUp(State* state) {
    state->expired = true;
    state->canceller->Cancel();
  }

  // Expires with this object.
  std::shared_ptr<State> state_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_STALL_WATCH_H_
