#ifndef MIMOSABEND_BREAK_EXAMINER_H_
#define MIMOSABEND_BREAK_EXAMINER_H_

#include <cstdint>
#include <map>
#include <memory>

#include "crash_watch.h"
#include "fleet_directory.h"
#include "http_client.h"
#include "notifier.h"

namespace mimosabend {

// Finds out whether an endpoint that broke off a request has ended, by trying to connect: an
// address without a process refuses. What has only lost a connection accepts, but so does a process
// that is about to end, which is therefore asked twice. Not thread-safe.
class BreakExaminer {
 public:
  // Precondition: all pointers outlive this object and its calls.
  BreakExaminer(HttpClient* client, const FleetDirectory* directory, CrashWatch* watch)
      : client_(client), directory_(directory), watch_(watch) {}

  // Notes that a request that was sent at `sent_at` got no whole answer. An endpoint that has said
  // that it leaves is not blamed for its end.
  void NoteBreak(const FleetEndpoint& endpoint, const CrashedRun& run, MonotonicTime sent_at,
                 MonotonicTime now);

  // Examines an endpoint that has closed a connection. False if it has not ended, or if finding out
  // takes longer than a further try should wait.
  Task<bool> HasEnded(FleetEndpoint endpoint);

 private:
  Task<void> Probe(FleetEndpoint endpoint, std::uint32_t number, std::shared_ptr<Notifier> done);

  HttpClient* client_;
  const FleetDirectory* directory_;
  CrashWatch* watch_;
  // Examinations in progress.
  std::map<std::uint32_t, std::shared_ptr<Notifier>> probes_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_BREAK_EXAMINER_H_
