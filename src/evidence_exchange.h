#ifndef MIMOSABEND_EVIDENCE_EXCHANGE_H_
#define MIMOSABEND_EVIDENCE_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "crash_evidence.h"
#include "settings.h"

namespace mimosabend {

// Position in the log of one process. A restarted process has a new log.
struct LogPosition {
  std::uint64_t process = 0;
  std::uint64_t position = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(process, position);
  }
};

// Crash records that are attached to requests and responses between daemons.
struct EvidenceMessage {
  // The receiver has the sender's log up to here once it has these records.
  LogPosition sent;
  // How much of the receiver's log the sender has received.
  LogPosition received;
  std::vector<CrashRecord> records;

  template <class Archive>
  void serialize(Archive& archive) {
    sent.serialize(archive);
    received.serialize(archive);
    SerializeList(archive, records);
  }
};

// Exchanges crash records with other daemons. Acknowledged positions make each record cross a link
// once, unless a message is lost. Each daemon forwards the records that it receives, so daemons
// need not be connected directly. Not thread-safe.
class EvidenceExchange {
 public:
  // `process` is a random id of this process, not 0. Precondition: `evidence` outlives this object.
  EvidenceExchange(CrashEvidence* evidence, std::uint64_t process)
      : evidence_(evidence), process_(process) {}

  // The message to attach to a request to a daemon.
  EvidenceMessage MakeRequest(const Address& daemon, MonotonicTime now) const;

  // Merges the message of a request and returns the message to attach to the response.
  EvidenceMessage HandleRequest(const EvidenceMessage& request, MonotonicTime now);

  // Merges the message of a daemon's response.
  void HandleAnswer(const Address& daemon, const EvidenceMessage& answer, MonotonicTime now);

 private:
  struct Peer {
    // How much of the daemon's log this process has received.
    LogPosition received;
    // How much of this process's log the daemon has acknowledged.
    std::uint64_t acknowledged = 0;
  };

  EvidenceMessage MessageAfter(std::uint64_t position, const LogPosition& received,
                               MonotonicTime now) const;

  CrashEvidence* evidence_;
  std::uint64_t process_;
  std::map<Address, Peer> peers_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_EVIDENCE_EXCHANGE_H_
