#ifndef MIMOSABEND_PEER_DISPATCHER_H_
#define MIMOSABEND_PEER_DISPATCHER_H_

#include <cassert>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "clock.h"
#include "peer_message.h"
#include "result.h"

namespace mimosabend {

// Decodes the requests of other daemons, has each answered by the handler for its type, and encodes
// the answers. Not thread-safe.
class PeerDispatcher {
 public:
  // `name`: the sender of the answers.
  explicit PeerDispatcher(std::string name) : name_(std::move(name)) {}
  PeerDispatcher(const PeerDispatcher&) = delete;
  PeerDispatcher& operator=(const PeerDispatcher&) = delete;

  // Answers requests of a type with `handler(sender, request)`, which returns the answer.
  // Preconditions: the type has no handler yet, and no request is being handled.
  template <class Request, class Handler>
  void Add(Handler handler) {
    AddFunction(Request::kType, [this, handler = std::move(handler)](Envelope envelope) {
      return Answer<Request>(&handler, std::move(envelope));
    });
  }

  // Like Add, but the handler returns a Task of the answer.
  template <class Request, class Handler>
  void AddTask(Handler handler) {
    AddFunction(Request::kType, [this, handler = std::move(handler)](Envelope envelope) {
      return AnswerLater<Request>(&handler, std::move(envelope));
    });
  }

  // Handles a request, as a PeerHandler. Fails with kUnknownType if there is no handler for its
  // type, and with kMalformed if it can't be decoded. Precondition: this object outlives the task.
  Task<Result<Envelope, PeerError>> Handle(Envelope request) {
    const auto function = functions_.find(request.type);
    if (function == functions_.end()) co_return outcome::failure(PeerError::kUnknownType);
    auto task = function->second(std::move(request));
    auto answer = co_await std::move(task);
    co_return answer;
  }

 private:
  using Function = std::function<Task<Result<Envelope, PeerError>>(Envelope)>;

  void AddFunction(PeerMessageType type, Function function) {
    [[maybe_unused]] const bool added = functions_.try_emplace(type, std::move(function)).second;
    assert(added);
  }

  template <class Request, class Handler>
  Task<Result<Envelope, PeerError>> Answer(const Handler* handler, Envelope envelope) {
    auto request = Unwrap<Request>(envelope);
    if (!request) co_return outcome::failure(request.error());
    const auto answer = (*handler)(envelope.sender, std::move(request).value());
    co_return Wrap(answer, name_, 0, WallNow());
  }

  template <class Request, class Handler>
  Task<Result<Envelope, PeerError>> AnswerLater(const Handler* handler, Envelope envelope) {
    auto request = Unwrap<Request>(envelope);
    if (!request) co_return outcome::failure(request.error());
    auto task = (*handler)(envelope.sender, std::move(request).value());
    const auto answer = co_await std::move(task);
    co_return Wrap(answer, name_, 0, WallNow());
  }

  std::string name_;
  std::map<PeerMessageType, Function> functions_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PEER_DISPATCHER_H_
