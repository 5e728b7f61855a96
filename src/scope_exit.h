#ifndef MIMOSABEND_SCOPE_EXIT_H_
#define MIMOSABEND_SCOPE_EXIT_H_

#include <concepts>
#include <memory>
#include <utility>

namespace mimosabend {

// Runs an action at the end of a scope, also if an exception ends it or if its coroutine is
// destroyed while it waits. A coroutine may outlive the object that it works for, so the action is
// left out once `owner` has expired. Not thread-safe.
template <std::invocable Action>
class ScopeExit {
 public:
  ScopeExit(std::weak_ptr<const void> owner, Action action)
      : owner_(std::move(owner)), action_(std::move(action)) {}
  ScopeExit(const ScopeExit&) = delete;
  ScopeExit& operator=(const ScopeExit&) = delete;
  ~ScopeExit() { Run(); }

  // Runs the action now and not at the end of the scope.
  void Run() {
    if (!std::exchange(pending_, false) || owner_.expired()) return;
    action_();
  }

 private:
  std::weak_ptr<const void> owner_;
  Action action_;
  bool pending_ = true;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_SCOPE_EXIT_H_
