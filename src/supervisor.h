#ifndef MIMOSABEND_SUPERVISOR_H_
#define MIMOSABEND_SUPERVISOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>

#include "clock.h"
#include "metrics.h"
#include "result.h"

namespace mimosabend {

// Runs named tasks and restarts those that fail. Calls the failure handler when a task fails too
// often; the handler decides what happens next, for example that the process ends. Not thread-safe.
class Supervisor {
 public:
  using TaskFactory = std::function<Task<void>()>;
  using FailureHandler = std::function<void(const std::string& task)>;

  // Precondition: `metrics` outlives this object, and this object outlives its tasks.
  Supervisor(boost::asio::any_io_executor executor, Metrics* metrics, std::string name,
             FailureHandler on_give_up);

  // Starts a task. A task that returns has ended. A task that throws is restarted after an
  // exponential backoff; if it fails more than 10 times within 60 seconds, the failure handler is
  // called instead.
  void Start(const std::string& task_name, TaskFactory factory);

  // Disables further restarts. Running tasks are not cancelled.
  void Stop() { stopping_ = true; }

 private:
  Task<void> Run(std::string task_name, TaskFactory factory);

  boost::asio::any_io_executor executor_;
  Metrics* metrics_;
  std::string name_;
  FailureHandler on_give_up_;
  bool stopping_ = false;
};

// Suspends the calling coroutine for a duration. Thread-safe.
Task<void> Sleep(std::chrono::steady_clock::duration duration);

}  // namespace mimosabend

#endif  // MIMOSABEND_SUPERVISOR_H_
