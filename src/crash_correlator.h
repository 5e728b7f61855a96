#ifndef MIMOSABEND_CRASH_CORRELATOR_H_
#define MIMOSABEND_CRASH_CORRELATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "clock.h"
#include "crash_evidence.h"
#include "part_evidence.h"

namespace mimosabend {

// Matches requests that lost their endpoint with reports that the endpoint process has ended, in
// either order, and records the matches as crashes. An endpoint is identified by its
// EndpointNumber, which is different for each incarnation. Not thread-safe.
class CrashCorrelator {
 public:
  // Maximum time between the break and the report of the end. The entry of an endpoint in the store
  // expires only after several missed heartbeats, and the store may be slow.
  static constexpr seconds kMaxReportDelay{10};

  // Precondition: both pointers outlive this object.
  CrashCorrelator(CrashEvidence* evidence, PartEvidence* part_evidence)
      : evidence_(evidence), part_evidence_(part_evidence) {}

  // Records that a request got no complete response. It isn't blamed if it was sent after the end
  // was reported. Precondition: the endpoint had not announced that it leaves.
  void RecordBreak(std::uint32_t endpoint, const CrashedRun& run, MonotonicTime now);

  // Records that an endpoint has ended without announcing that it leaves.
  void RecordEnd(std::uint32_t endpoint, MonotonicTime now);

  // Whether an endpoint is known to have ended, within kMaxReportDelay.
  bool HasEnded(std::uint32_t endpoint) const;

  // Removes what is older than kMaxReportDelay.
  void PruneExpired(MonotonicTime now);

 private:
  struct BrokenRequest {
    CrashedRun run;
    MonotonicTime at;
  };
  struct EndpointHistory {
    std::vector<BrokenRequest> broken_requests;
    std::optional<MonotonicTime> ended;
  };

  void RecordCrash(std::uint32_t endpoint, const std::vector<CrashedRun>& runs, MonotonicTime now);

  CrashEvidence* evidence_;
  PartEvidence* part_evidence_;
  std::map<std::uint32_t, EndpointHistory> endpoints_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CRASH_CORRELATOR_H_
