#include "evidence_exchange.h"

namespace mimosabend {

EvidenceMessage EvidenceExchange::MessageAfter(std::uint64_t position, const LogPosition& known,
                                               MonotonicTime now) const {
  EvidenceMessage message;
  message.records = evidence_->Since(position, now, &message.sent.position);
  message.sent.process = process_;
  message.known = known;
  return message;
}

EvidenceMessage EvidenceExchange::Request(const Address& daemon, MonotonicTime now) const {
  const auto it = peers_.find(daemon);
  const Peer peer = it == peers_.end() ? Peer() : it->second;
  return MessageAfter(peer.acknowledged, peer.known, now);
}

EvidenceMessage EvidenceExchange::Answer(const EvidenceMessage& request, MonotonicTime now) {
  const bool knows_log = request.known.process == process_;
  EvidenceMessage answer = MessageAfter(knows_log ? request.known.position : 0, request.sent, now);
  evidence_->Merge(request.records, now);
  return answer;
}

void EvidenceExchange::NoteAnswer(const Address& daemon, const EvidenceMessage& answer,
                                  MonotonicTime now) {
  evidence_->Merge(answer.records, now);
  Peer& peer = peers_[daemon];
  // A daemon that has started anew has nothing of what its former process acknowledged.
  const bool restarted = peer.known.process != 0 && peer.known.process != answer.sent.process;
  const bool acknowledges = answer.known.process == process_ && !restarted;
  peer.known = answer.sent;
  peer.acknowledged = acknowledges ? answer.known.position : 0;
}

}  // namespace mimosabend
