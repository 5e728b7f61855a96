#ifndef MIMOSABEND_EVENT_PAUSES_H_
#define MIMOSABEND_EVENT_PAUSES_H_

#include <algorithm>
#include <cassert>
#include <optional>

#include "clock.h"

namespace mimosabend {

// Measures the longest pause between two events of a stream as far as its endpoints cause it: the
// time in which events are written to the caller does not count. A pause that ends at another
// endpoint, since the stream was resumed there, counts as a whole. Not thread-safe.
class EventPauses {
 public:
  // All events so far have been written to the caller, and the next one is waited for.
  // Precondition: `now` is not before the time of an earlier call.
  void BeginWait(MonotonicTime now) { waiting_since_ = now; }

  // An event has arrived from the endpoint at `now`. Several events that arrive together count as
  // one.
  void RecordEvent(MonotonicTime now) {
    if (!waiting_since_) return;
    assert(now >= *waiting_since_);
    longest_ = std::max(longest_.value_or(now - *waiting_since_), now - *waiting_since_);
    waiting_since_.reset();
  }

  // The longest pause so far; std::nullopt before the second event.
  std::optional<MonotonicTime::duration> longest() const { return longest_; }

 private:
  // Unset before the first event, and while an event is written to the caller.
  std::optional<MonotonicTime> waiting_since_;
  std::optional<MonotonicTime::duration> longest_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_EVENT_PAUSES_H_
