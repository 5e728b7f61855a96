#include "readiness_monitor.h"

#include "log.h"

namespace mimosabend {

namespace {

// A start takes less than this if nothing fails.
constexpr milliseconds kLogDelay{1000};
// A daemon that starts after a restore of the store waits this long to hear from the others which
// of the restored endpoints have left.
constexpr milliseconds kLeftEndpointsWait{3000};

}  // namespace

Readiness ReadinessMonitor::Current(MonotonicTime now) const {
  if (stopping_) return Readiness::kStopping;
  if (directory_->config() == nullptr) return Readiness::kNoConfig;
  if (!state_->directory().revision().exists()) return Readiness::kNoEndpoints;
  if (!KnowsLeftEndpoints(now)) return Readiness::kLeftEndpointsUnknown;
  return Readiness::kReady;
}

void ReadinessMonitor::Update(MonotonicTime now) {
  const Readiness readiness = Current(now);
  metrics_->ready->Set(readiness == Readiness::kReady ? 1 : 0);
  if (readiness == logged_ || now < started_at_ + kLogDelay) return;
  logged_ = readiness;
  LOG4CPLUS_INFO(Log(), "readiness changed, state=\""
                            << kReadinessNames[readiness] << "\" listing_pages="
                            << store_->listing_pages() << " store_errors=" << store_->errors());
}

// Whether this daemon knows which of the restored endpoints have left, as far as others know it.
bool ReadinessMonitor::KnowsLeftEndpoints(MonotonicTime now) const {
  return state_->directory().revision().era == 0 || heard_leader_ ||
         now >= started_at_ + kLeftEndpointsWait;
}

}  // namespace mimosabend
