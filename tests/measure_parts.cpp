// Measures what evidence on the parts of prompts costs: time for each request, and time, bytes
// between daemons and memory for each crash. Not a test; prints one line for each number of parts.
#include <malloc.h>

#include <cstdio>
#include <numeric>

#include "evidence_exchange.h"

namespace mimosabend {

namespace {

constexpr int kRequests = 2000;
constexpr int kRunsPerCrash = 12;
constexpr int kCrashes = 5;
const MonotonicTime kStart = MonotonicTime() + seconds(100000);

std::vector<std::uint64_t> Parts(std::uint64_t first, int count) {
  std::vector<std::uint64_t> parts(count);
  std::iota(parts.begin(), parts.end(), first);
  return parts;
}

// Microseconds for one request: the decisions before it is sent, and the record that it was served.
double MicrosPerRequest(PartEvidence* evidence, const std::vector<std::uint64_t>& parts) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    const MonotonicTime now = kStart + seconds(100) + milliseconds(i);
    evidence->ContainedUntil(parts, now);
    evidence->HeldUntil(parts, now);
    for (int j = 0; j < 3; ++j) evidence->Classify(parts, now);
    evidence->BeginTrial(parts, now);
    evidence->RecordServed(parts, now, now);
  }
  const auto time = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::micro>(time).count() / kRequests;
}

// Crashes under requests whose first one has a deadly part. `shared`: their other parts are shared
// with requests that were served before, else no other request has them.
void Measure(int count, bool shared) {
  const std::size_t memory_before = mallinfo2().uordblks;
  PartEvidence evidence(1);
  const std::vector<std::uint64_t> sound = Parts(1000, count);
  if (shared) evidence.RecordServed(sound, kStart, kStart);
  const double calm = MicrosPerRequest(&evidence, sound);
  std::uint64_t last = 1000000;
  double crash_micros = 0;
  std::size_t bytes = 0;
  std::uint64_t position = 0;
  MonotonicTime at = kStart + seconds(10);
  for (std::uint32_t crash = 1; crash <= kCrashes; ++crash) {
    at += seconds(2);
    std::vector<CrashedRun> runs;
    for (int i = 0; i < kRunsPerCrash; ++i) {
      CrashedRun run{100 * crash + i, i > 0, at - milliseconds(200), sound};
      if (!shared) run.parts = Parts(last, count);
      if (!shared) last += count;
      if (i == 0) run.parts.push_back(7);
      runs.push_back(std::move(run));
    }
    const auto start = std::chrono::steady_clock::now();
    evidence.RecordCrash(crash, runs, at);
    crash_micros +=
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    for (;;) {
      EvidenceMessage message;
      message.part_records = evidence.RecordsSince(position, at, &position);
      if (message.part_records.empty()) break;
      bytes += Encode(message).size();
    }
  }
  const std::size_t memory = mallinfo2().uordblks - memory_before;
  const std::vector<std::uint64_t> deadly{7};
  const bool contained = evidence.ContainedUntil(deadly, at + seconds(2)).has_value();
  const double suspected = MicrosPerRequest(&evidence, sound);
  std::printf(
      "parts=%d others=%s us_per_request=%.1f us_per_request_with_suspects=%.1f us_per_crash=%.0f "
      "bytes_per_crash=%zu suspects=%zu memory_kib=%zu contained=%d\n",
      count, shared ? "shared" : "unknown", calm, suspected, crash_micros / kCrashes,
      bytes / kCrashes, evidence.suspects(), memory / 1024, contained ? 1 : 0);
}

}  // namespace

}  // namespace mimosabend

int main() {
  for (const bool shared : {true, false}) {
    for (const int count : {3, 64, 1000}) mimosabend::Measure(count, shared);
  }
}
