#ifndef MIMOSABEND_CRASH_WATCH_H_
#define MIMOSABEND_CRASH_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "clock.h"
#include "crash_evidence.h"

namespace mimosabend {

// Joins requests whose endpoint broke off with the news that the endpoint has ended, in whichever
// order they come, and blames the requests for the crash. Endpoints are named by their
// EndpointNumber. Not thread-safe.
class CrashWatch {
 public:
  // The news that an endpoint has ended may come this long after it broke off: its entry in the
  // store lapses after some heartbeats, and the store may be slow.
  static constexpr seconds kLateNews{10};

  // Precondition: `evidence` outlives this object.
  explicit CrashWatch(CrashEvidence* evidence) : evidence_(evidence) {}

  // A request that was sent at `sent_at` got no whole answer. Precondition: the endpoint had not
  // said that it leaves.
  void NoteBreak(std::uint32_t endpoint, const CrashedRun& run, MonotonicTime sent_at,
                 MonotonicTime now);

  // An endpoint has ended without having said that it leaves.
  void NoteEnd(std::uint32_t endpoint, MonotonicTime now);

  // Whether an endpoint is known to have ended.
  bool HasEnded(std::uint32_t endpoint) const;

  // Forgets what is older than late news may be.
  void Tick(MonotonicTime now);

 private:
  struct Break {
    CrashedRun run;
    MonotonicTime noted;
  };
  struct Watched {
    std::vector<Break> breaks;
    std::optional<MonotonicTime> ended;
  };

  CrashEvidence* evidence_;
  std::map<std::uint32_t, Watched> endpoints_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CRASH_WATCH_H_
