#ifndef MIMOSABEND_CALLER_QUEUE_H_
#define MIMOSABEND_CALLER_QUEUE_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

#include "http_server.h"
#include "memory_budget.h"
#include "notifier.h"
#include "result.h"

namespace mimosabend {

// Events of a stream that its caller has not taken yet. They are written to the caller while
// further ones are read from the endpoint, which aborts a response that stays unread for long. Not
// thread-safe.
class CallerQueue : public std::enable_shared_from_this<CallerQueue> {
 public:
  // Share of one stream, in bytes.
  static constexpr std::uint64_t kMaxBytes = 256 * 1024;

  // `memory` counts the events. Preconditions: `exchange` is valid until Drain has returned, and
  // its stream has been started before the first call of Add.
  CallerQueue(boost::asio::any_io_executor executor, HttpExchange* exchange, MemoryHold memory)
      : executor_(executor),
        changed_(std::move(executor)),
        exchange_(exchange),
        memory_(std::move(memory)) {}

  // Adds events. Waits while the share of the stream or the memory budget has no room and earlier
  // events have not been written. Returns false if a write has failed.
  // Precondition: no other call of Add or Drain is in progress.
  Task<bool> Add(std::string events);

  // Waits until nothing is queued or being written. Returns false if a write has failed.
  Task<bool> Drain();

  // Drops what is not being written yet, since the caller has gone.
  void Discard();

 private:
  bool TryHold(std::uint64_t bytes);
  Task<void> WriteQueued();

  boost::asio::any_io_executor executor_;
  Notifier changed_;
  HttpExchange* exchange_;
  MemoryHold memory_;
  std::string queued_;
  bool writing_ = false;
  bool failed_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CALLER_QUEUE_H_
