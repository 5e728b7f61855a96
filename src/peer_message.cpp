#include "peer_message.h"

#include "digest.h"

namespace mimosabend {

namespace {

constexpr std::string_view kMagic = "MB";
// The magic bytes, the version and the type.
constexpr std::size_t kPreambleBytes = 4;
// Messages whose sending time differs more from the local clock are rejected as possible replays.
constexpr std::int64_t kReplayWindowMs = 30000;

// The part of an envelope that cereal encodes, between the preamble and the HMAC.
struct EnvelopeFields {
  Envelope* envelope;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeText(archive, envelope->sender);
    archive(envelope->correlation_id, envelope->sent_at_ms);
    SerializeText(archive, envelope->body);
  }
};

std::string_view AsText(const Mac& mac) {
  return {reinterpret_cast<const char*>(mac.data()), mac.size()};
}

}  // namespace

std::string EncodeEnvelope(const Envelope& envelope, std::string_view shared_key) {
  Envelope copy = envelope;
  std::string bytes(kMagic);
  bytes += static_cast<char>(kWireVersion);
  bytes += static_cast<char>(envelope.type);
  bytes += Encode(EnvelopeFields{&copy});
  const Mac mac = ComputeMac(shared_key, bytes);
  bytes += AsText(mac);
  return bytes;
}

Result<Envelope, PeerError> DecodeEnvelope(std::string_view bytes, std::string_view shared_key,
                                           WallTime now) {
  if (bytes.size() < kPreambleBytes + kMacBytes) return outcome::failure(PeerError::kTruncated);
  if (!bytes.starts_with(kMagic)) return outcome::failure(PeerError::kBadMagic);
  if (static_cast<std::uint8_t>(bytes[2]) != kWireVersion) {
    return outcome::failure(PeerError::kBadVersion);
  }
  const std::string_view signed_bytes = bytes.substr(0, bytes.size() - kMacBytes);
  const Mac mac = ComputeMac(shared_key, signed_bytes);
  if (!ConstantTimeEqual(AsText(mac), bytes.substr(signed_bytes.size()))) {
    return outcome::failure(PeerError::kBadMac);
  }
  const auto type = static_cast<std::uint8_t>(bytes[3]);
  if (type >= kPeerMessageTypeCount) return outcome::failure(PeerError::kUnknownType);
  Envelope envelope;
  envelope.type = static_cast<PeerMessageType>(type);
  std::istringstream stream(std::string(signed_bytes.substr(kPreambleBytes)), std::ios::binary);
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    EnvelopeFields{&envelope}.serialize(archive);
  } catch (const std::exception&) {
    return outcome::failure(PeerError::kMalformed);
  }
  const std::int64_t now_ms = ToUnixMillis(now);
  if (envelope.sent_at_ms < now_ms - kReplayWindowMs ||
      envelope.sent_at_ms > now_ms + kReplayWindowMs) {
    return outcome::failure(PeerError::kOutsideReplayWindow);
  }
  return envelope;
}

}  // namespace mimosabend
