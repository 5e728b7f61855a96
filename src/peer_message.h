#ifndef MIMOSABEND_PEER_MESSAGE_H_
#define MIMOSABEND_PEER_MESSAGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "codec.h"
#include "engine.h"
#include "membership.h"
#include "rank.h"
#include "result.h"

namespace mimosabend {

// Version of the protocol between daemons. Messages of other versions are rejected.
inline constexpr std::uint8_t kWireVersion = 1;

enum class PeerError : std::uint8_t {
  kTruncated,
  kBadMagic,
  kBadVersion,
  kUnknownType,
  kBadMac,
  kOutsideReplayWindow,
  kMalformed,
  kNotSent,
  kTimedOut,
  kBroken,
  // Its memory or its connection is needed for others.
  kNoRoom,
  // A name in it is too long to be sent.
  kUnencodable
};
inline constexpr std::uint8_t kPeerErrorCount = 12;
inline constexpr NameTable<PeerError, kPeerErrorCount> kPeerErrorNames{
    {"truncated", "bad_magic", "bad_version", "unknown_type", "bad_mac", "outside_replay_window",
     "malformed", "not_sent", "timed_out", "broken", "no_room", "unencodable"}};

enum class PeerMessageType : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kMembersRequest,
  kMembersAnswer,
  kDemandRequest,
  kDemandAnswer,
  kDocumentRequest,
  kDocumentAnswer,
  kPoisonNotice,
  kPoisonAck,
  kUsageReport,
  kUsageAnswer,
  kAdapterRequest,
  kAdapterAnswer,
  kViewRequest,
  kViewAnswer,
  kStandDownRequest,
  kStandDownAnswer,
  kPermitRequest,
  kPermitAnswer,
  kStreamOriginRequest,
  kStreamOriginAnswer,
  kSlotShareRequest,
  kSlotShareAnswer
};
inline constexpr std::uint8_t kPeerMessageTypeCount = 25;

// Liveness probe of SWIM, sent over UDP.
struct Ping {
  static constexpr PeerMessageType kType = PeerMessageType::kPing;
  std::uint64_t sequence = 0;
  std::uint64_t environment_version = 0;
  // Piggybacked membership updates.
  std::vector<MemberUpdate> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, environment_version);
    SerializeList(archive, updates);
  }
};

// Acknowledges the Ping with the same sequence number, over UDP.
struct Ack {
  static constexpr PeerMessageType kType = PeerMessageType::kAck;
  std::uint64_t sequence = 0;
  std::uint64_t environment_version = 0;
  std::vector<MemberUpdate> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, environment_version);
    SerializeList(archive, updates);
  }
};

// Asks a third daemon to ping a target that did not answer, over UDP. The receiver sends an Ack
// with the same sequence number if the target answers.
struct PingRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kPingRequest;
  std::uint64_t sequence = 0;
  Address target;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence);
    SerializeText(archive, target.ip);
    archive(target.port);
  }
};

// Exchanges the whole membership, over TCP: both messages carry all updates of their sender.
struct MembersRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kMembersRequest;
  std::vector<MemberUpdate> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeList(archive, updates);
  }
};

struct MembersAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kMembersAnswer;
  std::vector<MemberUpdate> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeList(archive, updates);
  }
};

// A replica of a model, with the state and load of its endpoint.
struct ReplicaLocation {
  std::string endpoint;
  Address address;
  std::string region;
  ReplicaState state = ReplicaState::kLoading;
  // From the last load report of the endpoint.
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, endpoint);
    SerializeText(archive, address.ip);
    archive(address.port);
    SerializeText(archive, region);
    SerializeEnum(archive, state, 3);
    archive(slots, running, queued);
  }
};

// Reports to the owner of a placement group that a model is in use and how many requests wait for
// it, and asks for its replicas. Sent over TCP.
struct DemandRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kDemandRequest;
  std::string group;
  std::string model;
  // Number of waiting requests by rank.
  std::array<std::uint32_t, kRankCount> waiting{};
  // How long the owner may delay the answer while a replica is being loaded.
  std::uint32_t wait_ms = 0;
  // The sender can't reach the owner; the receiver is to forward the request to it.
  bool forward_to_owner = false;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, group);
    SerializeText(archive, model);
    for (std::uint32_t& count : waiting) archive(count);
    archive(wait_ms);
    SerializeFlag(archive, forward_to_owner);
  }
};

enum class DemandStatus : std::uint8_t { kReady, kLoading, kNotOwner, kNoCapacity, kUnavailable };
inline constexpr std::uint8_t kDemandStatusCount = 5;
inline constexpr NameTable<DemandStatus, kDemandStatusCount> kDemandStatusNames{
    {"ready", "loading", "not_owner", "no_capacity", "unavailable"}};

struct DemandAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kDemandAnswer;
  DemandStatus status = DemandStatus::kUnavailable;
  std::vector<ReplicaLocation> replicas;
  // Estimated time until a replica is ready or until the request should be repeated.
  std::uint32_t estimated_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeEnum(archive, status, kDemandStatusCount);
    SerializeList(archive, replicas);
    archive(estimated_ms);
  }
};

// Asks for the environment document in force, without the parts that the sender already has. Sent
// over TCP.
struct DocumentRequest {
  static constexpr PeerMessageType kType = PeerMessageType::kDocumentRequest;
  std::vector<std::string> known_parts;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeList(archive, known_parts);
  }
};

struct DocumentAnswer {
  static constexpr PeerMessageType kType = PeerMessageType::kDocumentAnswer;
  // Encoded DocumentHead; empty if no document is in force.
  std::string head;
  std::vector<std::string> parts;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, head);
    SerializeList(archive, parts);
  }
};

// Reports that a request was running when an endpoint crashed. Sent over TCP to the other daemons
// before the request is sent to an endpoint again.
struct PoisonNotice {
  static constexpr PeerMessageType kType = PeerMessageType::kPoisonNotice;
  std::string fingerprint;
  std::string crash;
  // Whether the crash has been recorded in the key-value service.
  bool recorded = false;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, fingerprint);
    SerializeText(archive, crash);
    SerializeFlag(archive, recorded);
  }
};

struct PoisonAck {
  static constexpr PeerMessageType kType = PeerMessageType::kPoisonAck;
  bool noted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeFlag(archive, noted);
  }
};

// The header and encoded body of a message between daemons.
struct Envelope {
  PeerMessageType type = PeerMessageType::kPing;
  std::string sender;
  // The same in a request and its answer; 0 in UDP messages.
  std::uint64_t correlation_id = 0;
  std::int64_t sent_at_ms = 0;
  std::string body;
};

// Encodes an envelope as "MB", one byte each for version and type, the other fields encoded by
// cereal, and an HMAC with `shared_key` over all preceding bytes. Thread-safe.
std::string EncodeEnvelope(const Envelope& envelope, std::string_view shared_key);

// Decodes an envelope and checks its version, type, HMAC and sending time. Doesn't check the body.
// Thread-safe.
Result<Envelope, PeerError> DecodeEnvelope(std::string_view bytes, std::string_view shared_key,
                                           WallTime now);

// Encodes a message into an envelope. Throws cereal::Exception if a name in it is too long.
// Thread-safe.
template <class Message>
Envelope Wrap(const Message& message, std::string sender, std::uint64_t correlation_id,
              WallTime now) {
  return Envelope{Message::kType, std::move(sender), correlation_id, ToUnixMillis(now),
                  Encode(message)};
}

// Decodes the message in an envelope. Fails with kUnknownType if the envelope holds another type
// and with kMalformed if the body can't be decoded. Thread-safe.
template <class Message>
Result<Message, PeerError> Unwrap(const Envelope& envelope) {
  if (envelope.type != Message::kType) return outcome::failure(PeerError::kUnknownType);
  std::optional<Message> message = Decode<Message>(envelope.body);
  if (!message) return outcome::failure(PeerError::kMalformed);
  return std::move(*message);
}

}  // namespace mimosabend

#endif  // MIMOSABEND_PEER_MESSAGE_H_
