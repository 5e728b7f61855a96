#ifndef MIMOSABEND_SUSPECT_TRIALS_H_
#define MIMOSABEND_SUSPECT_TRIALS_H_

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace mimosabend {

// The endpoints to which a request with CrashVerdict::kLone was sent and that have not started to
// respond to it. Not thread-safe.
class SuspectTrials {
 public:
  // Marks an endpoint as busy during its lifetime. Movable. Precondition: `trials` outlives it.
  class Trial {
   public:
    Trial(SuspectTrials* trials, std::string endpoint)
        : trials_(trials), endpoint_(std::move(endpoint)) {
      trials_->busy_.insert(endpoint_);
    }
    Trial(Trial&& other) noexcept
        : trials_(std::exchange(other.trials_, nullptr)), endpoint_(std::move(other.endpoint_)) {}
    Trial& operator=(Trial&& other) noexcept {
      std::swap(trials_, other.trials_);
      std::swap(endpoint_, other.endpoint_);
      return *this;
    }
    ~Trial() {
      if (trials_ == nullptr) return;
      trials_->busy_.erase(trials_->busy_.find(endpoint_));
      trials_->on_end_();
    }

   private:
    SuspectTrials* trials_;
    std::string endpoint_;
  };

  // `on_end` is called whenever a trial ends.
  explicit SuspectTrials(std::function<void()> on_end) : on_end_(std::move(on_end)) {}

  // Starts a trial. The endpoint may be busy already, as another trial can start between its choice
  // and this call; it then stays busy until both trials have ended.
  Trial Begin(const std::string& endpoint) { return Trial(this, endpoint); }

  // Endpoints with trials, once per trial.
  const std::multiset<std::string>& busy() const { return busy_; }

 private:
  std::multiset<std::string> busy_;
  std::function<void()> on_end_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_SUSPECT_TRIALS_H_
