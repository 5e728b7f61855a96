#ifndef MIMOSABEND_SUSPECT_TRIALS_H_
#define MIMOSABEND_SUSPECT_TRIALS_H_

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace mimosabend {

// Endpoints at which a request with the verdict kLone has been sent and has not begun to answer.
// Not thread-safe.
class SuspectTrials {
 public:
  // Holds an endpoint until it is destroyed. Movable.
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

  // `on_end` is called whenever an endpoint is free again.
  explicit SuspectTrials(std::function<void()> on_end) : on_end_(std::move(on_end)) {}

  // An endpoint may become busy between its choice and this call; it then stays so for both.
  Trial Begin(const std::string& endpoint) { return Trial(this, endpoint); }

  const std::multiset<std::string>& busy() const { return busy_; }

 private:
  std::multiset<std::string> busy_;
  std::function<void()> on_end_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_SUSPECT_TRIALS_H_
