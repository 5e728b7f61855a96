#include "evidence_exchange.h"

namespace mimosabend {

EvidenceMessage EvidenceExchange::MessageAfter(std::uint64_t position, const LogPosition& received,
                                               MonotonicTime now) const {
  EvidenceMessage message;
  message.records = evidence_->RecordsSince(position, now, &message.sent.position);
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
      MessageAfter(has_position ? request.received.position : 0, request.sent, now);
  evidence_->Merge(request.records, now);
  return answer;
}

void EvidenceExchange::HandleAnswer(const Address& daemon, const EvidenceMessage& answer,
                                    MonotonicTime now) {
  evidence_->Merge(answer.records, now);
  Peer& peer = peers_[daemon];
  // A restarted daemon has lost the records that its previous process acknowledged.
  const bool restarted = peer.received.process != 0 && peer.received.process != answer.sent.process;
  const bool acknowledges = answer.received.process == process_ && !restarted;
  peer.received = answer.sent;
  peer.acknowledged = acknowledges ? answer.received.position : 0;
}

}  // namespace mimosabend
