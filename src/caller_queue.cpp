#include "caller_queue.h"

#include <utility>

#include "event_loop.h"

namespace mimosabend {

namespace {

// Pause between two checks whether the memory budget has room. A write that ends is noticed at
// once.
constexpr milliseconds kRoomPollPeriod{20};

}  // namespace

bool CallerQueue::TryHold(std::uint64_t bytes) {
  if (memory_.bytes() + bytes > kMaxBytes) return false;
  return memory_.TryGrow(bytes) == MemoryResult::kHeld;
}

Task<bool> CallerQueue::Add(std::string events) {
  while (!failed_) {
    if (TryHold(events.size())) {
      queued_ += events;
      if (!std::exchange(writing_, true)) {
        SpawnDetached(executor_, "events to a caller", WriteQueued());
      }
      co_return true;
    }
    if (!writing_) {
      // Without room, events pass one by one.
      const bool sent = co_await exchange_->Write(std::move(events));
      failed_ = !sent;
      co_return sent;
    }
    co_await changed_.WaitUntil(MonotonicNow() + kRoomPollPeriod);
  }
  co_return false;
}

Task<bool> CallerQueue::Drain() {
  while (writing_) co_await changed_.WaitUntil(MonotonicTime::max());
  co_return !failed_;
}

void CallerQueue::Discard() {
  memory_.Shrink(queued_.size());
  queued_.clear();
}

Task<void> CallerQueue::WriteQueued() {
  const auto self = shared_from_this();
  while (!queued_.empty() && !failed_) {
    std::string events = std::exchange(queued_, {});
    const std::uint64_t size = events.size();
    const bool sent = co_await exchange_->Write(std::move(events));
    memory_.Shrink(size);
    if (!sent) failed_ = true;
    changed_.NotifyAll();
  }
  Discard();
  writing_ = false;
  changed_.NotifyAll();
}

}  // namespace mimosabend
