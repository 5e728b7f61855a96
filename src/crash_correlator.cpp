#include "crash_correlator.h"

namespace mimosabend {

void CrashCorrelator::RecordCrash(std::uint32_t endpoint, const std::vector<CrashedRun>& runs,
                                  MonotonicTime now) {
  evidence_->RecordCrash(endpoint, runs, now);
  part_evidence_->RecordCrash(endpoint, runs, now);
}

void CrashCorrelator::RecordBreak(std::uint32_t endpoint, const CrashedRun& run,
                                  MonotonicTime now) {
  EndpointHistory& record = endpoints_[endpoint];
  if (!record.ended) {
    record.broken_requests.push_back({run, now});
  } else if (run.sent_at < *record.ended) {
    RecordCrash(endpoint, {run}, now);
  }
}

void CrashCorrelator::RecordEnd(std::uint32_t endpoint, MonotonicTime now) {
  EndpointHistory& record = endpoints_[endpoint];
  if (record.ended) return;
  record.ended = now;
  std::vector<CrashedRun> runs;
  for (const BrokenRequest& broken : record.broken_requests) {
    if (now - broken.at < kMaxReportDelay) runs.push_back(broken.run);
  }
  record.broken_requests.clear();
  if (!runs.empty()) RecordCrash(endpoint, runs, now);
}

bool CrashCorrelator::HasEnded(std::uint32_t endpoint) const {
  const auto it = endpoints_.find(endpoint);
  return it != endpoints_.end() && it->second.ended.has_value();
}

void CrashCorrelator::PruneExpired(MonotonicTime now) {
  const auto is_expired = [&](MonotonicTime at) { return now - at >= kMaxReportDelay; };
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    EndpointHistory& record = it->second;
    std::erase_if(record.broken_requests,
                  [&](const BrokenRequest& broken) { return is_expired(broken.at); });
    const bool done =
        record.broken_requests.empty() && (!record.ended || is_expired(*record.ended));
    it = done ? endpoints_.erase(it) : std::next(it);
  }
}

}  // namespace mimosabend
