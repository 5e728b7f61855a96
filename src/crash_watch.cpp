#include "crash_watch.h"

namespace mimosabend {

void CrashWatch::NoteBreak(std::uint32_t endpoint, const CrashedRun& run, MonotonicTime sent_at,
                           MonotonicTime now) {
  Watched& watched = endpoints_[endpoint];
  if (!watched.ended) {
    watched.breaks.push_back({run, now});
  } else if (sent_at < *watched.ended) {
    evidence_->NoteCrash(endpoint, {run}, now);
  }
}

void CrashWatch::NoteEnd(std::uint32_t endpoint, MonotonicTime now) {
  Watched& watched = endpoints_[endpoint];
  if (watched.ended) return;
  watched.ended = now;
  std::vector<CrashedRun> runs;
  for (const Break& broken : watched.breaks) {
    if (now - broken.noted < kLateNews) runs.push_back(broken.run);
  }
  watched.breaks.clear();
  if (!runs.empty()) evidence_->NoteCrash(endpoint, runs, now);
}

bool CrashWatch::HasEnded(std::uint32_t endpoint) const {
  const auto it = endpoints_.find(endpoint);
  return it != endpoints_.end() && it->second.ended.has_value();
}

void CrashWatch::Tick(MonotonicTime now) {
  const auto is_old = [&](MonotonicTime noted) { return now - noted >= kLateNews; };
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    Watched& watched = it->second;
    std::erase_if(watched.breaks, [&](const Break& broken) { return is_old(broken.noted); });
    const bool done = watched.breaks.empty() && (!watched.ended || is_old(*watched.ended));
    it = done ? endpoints_.erase(it) : std::next(it);
  }
}

}  // namespace mimosabend
