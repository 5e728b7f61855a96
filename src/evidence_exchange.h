#ifndef MIMOSABEND_EVIDENCE_EXCHANGE_H_
#define MIMOSABEND_EVIDENCE_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "crash_evidence.h"
#include "settings.h"

namespace mimosabend {

// Position in the log of one process. A process that starts anew has another log.
struct LogPosition {
  std::uint64_t process = 0;
  std::uint64_t position = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(process, position);
  }
};

// Evidence of crashes that travels with other messages, in both directions.
struct EvidenceMessage {
  // The sender's log up to here has been sent.
  LogPosition sent;
  // What the sender has of the receiver's log.
  LogPosition known;
  std::vector<CrashRecord> records;

  template <class Archive>
  void serialize(Archive& archive) {
    sent.serialize(archive);
    known.serialize(archive);
    SerializeList(archive, records);
  }
};

// Exchanges evidence with other daemons, so that each record crosses a link once. Whoever takes
// part passes on what it hears, so no daemon has to know all others. Not thread-safe.
class EvidenceExchange {
 public:
  // `process` identifies this process. Precondition: `evidence` outlives this object.
  EvidenceExchange(CrashEvidence* evidence, std::uint64_t process)
      : evidence_(evidence), process_(process) {}

  // What to send to a daemon with a request.
  EvidenceMessage Request(const Address& daemon, MonotonicTime now) const;

  // Takes in what came with a request, and returns what to answer.
  EvidenceMessage Answer(const EvidenceMessage& request, MonotonicTime now);

  // Takes in what came with the answer of a daemon.
  void NoteAnswer(const Address& daemon, const EvidenceMessage& answer, MonotonicTime now);

 private:
  struct Peer {
    // What this process has of the daemon's log.
    LogPosition known;
    // What the daemon has of this process's log.
    std::uint64_t acknowledged = 0;
  };

  EvidenceMessage MessageAfter(std::uint64_t position, const LogPosition& known,
                               MonotonicTime now) const;

  CrashEvidence* evidence_;
  std::uint64_t process_;
  std::map<Address, Peer> peers_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_EVIDENCE_EXCHANGE_H_
