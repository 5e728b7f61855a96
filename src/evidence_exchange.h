#ifndef MIMOSABEND_EVIDENCE_EXCHANGE_H_
#define MIMOSABEND_EVIDENCE_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "crash_evidence.h"
#include "part_evidence.h"
#include "settings.h"

namespace mimosabend {

// Positions in the logs of one process. A restarted process has new logs.
struct LogPosition {
  std::uint64_t process = 0;
  // In the log of CrashEvidence.
  std::uint64_t position = 0;
  // In the log of PartEvidence.
  std::uint64_t part_position = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(process, position, part_position);
  }
};

// Crash records that are attached to requests and responses between daemons.
struct EvidenceMessage {
  // The receiver has the sender's logs up to here once it has these records.
  LogPosition sent;
  // How much of the receiver's logs the sender has received.
  LogPosition received;
  std::vector<CrashRecord> records;
  std::vector<PartRecord> part_records;

  template <class Archive>
  void serialize(Archive& archive) {
    sent.serialize(archive);
    received.serialize(archive);
    SerializeList(archive, records);
    SerializePartRecords(archive, part_records);
  }
};

// Exchanges crash records with other daemons. Acknowledged positions make each record cross a link
// once, unless a message is lost. Each daemon forwards the records that it receives, so daemons
// need not be connected directly. Not thread-safe.
class EvidenceExchange {
 public:
  // `process` is a random id of this process, not 0. Precondition: both pointers outlive this
  // object.
  EvidenceExchange(CrashEvidence* evidence, PartEvidence* part_evidence, std::uint64_t process)
      : evidence_(evidence), part_evidence_(part_evidence), process_(process) {}

  // The message to attach to a request to a daemon.
  EvidenceMessage MakeRequest(const Address& daemon, MonotonicTime now) const;

  // Merges the message of a request and returns the message to attach to the response.
  EvidenceMessage HandleRequest(const EvidenceMessage& request, MonotonicTime now);

  // Merges the message of a daemon's response.
  void HandleAnswer(const Address& daemon, const EvidenceMessage& answer, MonotonicTime now);

 private:
  struct Peer {
    // How much of the daemon's logs this process has received.
    LogPosition received;
    // How much of this process's logs the daemon has acknowledged.
    LogPosition acknowledged;
  };

  EvidenceMessage MessageAfter(const LogPosition& position, const LogPosition& received,
                               MonotonicTime now) const;
  void Merge(const EvidenceMessage& message, MonotonicTime now);

  CrashEvidence* evidence_;
  PartEvidence* part_evidence_;
  std::uint64_t process_;
  std::map<Address, Peer> peers_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_EVIDENCE_EXCHANGE_H_
