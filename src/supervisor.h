#ifndef MIMOSABEND_SUPERVISOR_H_
#define MIMOSABEND_SUPERVISOR_H_

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>

#include "clock.h"
#include "metrics.h"
#include "result.h"

namespace mimosabend {

// Runs named tasks, restarts those that fail, and gives up when one fails too often. Supervisors
// form a tree: the failure handler of a child is a task of its parent or the end of the process.
// Not thread-safe.
class Supervisor {
 public:
  using TaskFactory = std::function<Task<void>()>;
  using FailureHandler = std::function<void(const std::string& task)>;

  // Precondition: `metrics` outlives this object, and this object outlives its tasks.
  Supervisor(boost::asio::any_io_executor executor, Metrics* metrics, std::string name,
             FailureHandler on_give_up);

  // Starts a task. One that returns has ended; one that throws is started again after a delay
  // that doubles, until it has failed too often within a minute.
  void Start(const std::string& task_name, TaskFactory factory);

  // Restarts no task any more.
  void Stop() { stopping_ = true; }

 private:
  Task<void> Run(std::string task_name, TaskFactory factory);

  boost::asio::any_io_executor executor_;
  Metrics* metrics_;
  std::string name_;
  FailureHandler on_give_up_;
  bool stopping_ = false;
};

// Suspends the coroutine. Thread-safe.
Task<void> Sleep(std::chrono::steady_clock::duration duration);

}  // namespace mimosabend

#endif  // MIMOSABEND_SUPERVISOR_H_
