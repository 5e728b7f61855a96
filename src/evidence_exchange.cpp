#include "evidence_exchange.h"

namespace mimosabend {

EvidenceMessage EvidenceExchange::MessageAfter(const LogPosition& position,
                                               const LogPosition& received,
                                               MonotonicTime now) const {
  EvidenceMessage message;
  message.records = evidence_->RecordsSince(position.position, now, &message.sent.position);
  message.part_records =
      part_evidence_->RecordsSince(position.part_position, now, &message.sent.part_position);
  message.sent.process = process_;
  message.received = received;
  return message;
}

EvidenceMessage EvidenceExchange::MakeRequest(const Address& daemon, MonotonicTime now) const {
  const auto it = peers_.find(daemon);
  const Peer peer = it == peers_.end() ? Peer() : it->second;
  return MessageAfter(peer.acknowledged, peer.received, now);
}

EvidenceMessage EvidenceExchange::HandleRequest(const EvidenceMessage& request, MonotonicTime now) {
  const bool has_position = request.received.process == process_;
  EvidenceMessage answer =
      MessageAfter(has_position ? request.received : LogPosition(), request.sent, now);
  Merge(request, now);
  return answer;
}

void EvidenceExchange::HandleAnswer(const Address& daemon, const EvidenceMessage& answer,
                                    MonotonicTime now) {
  Merge(answer, now);
  Peer& peer = peers_[daemon];
  // A restarted daemon has lost the records that its previous process acknowledged.
  const bool restarted = peer.received.process != 0 && peer.received.process != answer.sent.process;
  const bool acknowledges = answer.received.process == process_ && !restarted;
  peer.received = answer.sent;
  peer.acknowledged = acknowledges ? answer.received : LogPosition();
}

void EvidenceExchange::Merge(const EvidenceMessage& message, MonotonicTime now) {
  evidence_->Merge(message.records, now);
  part_evidence_->Merge(message.part_records, now);
}

}  // namespace mimosabend
