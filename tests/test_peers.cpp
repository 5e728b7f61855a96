#include <catch2/catch.hpp>
#include <random>

#include "membership.h"
#include "peer_message.h"

namespace mimosabend {

namespace {

constexpr char kKey[] = "a-shared-key-of-the-daemons";

MemberUpdate MakeMember(const std::string& name, const std::string& region) {
  MemberUpdate update;
  update.name = name;
  update.region = region;
  update.address = {"127.0.0.1", 1};
  update.incarnation = 1;
  return update;
}

std::string EncodedPing(WallTime now) {
  Ping ping;
  ping.sequence = 7;
  ping.updates.push_back(MakeMember("other", "a"));
  return EncodeEnvelope(Wrap(ping, "sender", 3, now), kKey);
}

}  // namespace

// Guards against messages that are taken for another or crash the daemon.
TEST_CASE("damaged messages are refused with a reason") {
  const WallTime now = WallNow();
  const std::string good = EncodedPing(now);
  REQUIRE(DecodeEnvelope(good, kKey, now));
  CHECK(Unwrap<Ping>(DecodeEnvelope(good, kKey, now).value()).value().sequence == 7);
  CHECK(Unwrap<Ack>(DecodeEnvelope(good, kKey, now).value()).error() == PeerError::kUnknownType);

  CHECK(DecodeEnvelope("MB", kKey, now).error() == PeerError::kTruncated);
  CHECK(DecodeEnvelope("XX" + good.substr(2), kKey, now).error() == PeerError::kBadMagic);
  std::string other_version = good;
  other_version[2] = 99;
  CHECK(DecodeEnvelope(other_version, kKey, now).error() == PeerError::kBadVersion);
  CHECK(DecodeEnvelope(good, "another-key", now).error() == PeerError::kBadMac);
  CHECK(DecodeEnvelope(good, kKey, now + seconds(31)).error() == PeerError::kOutsideReplayWindow);
  CHECK(DecodeEnvelope(good, kKey, now - seconds(31)).error() == PeerError::kOutsideReplayWindow);
  for (std::size_t i = 0; i < good.size(); ++i) {
    std::string damaged = good;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x20);
    CHECK_FALSE(DecodeEnvelope(damaged, kKey, now));
    CHECK_FALSE(DecodeEnvelope(good.substr(0, i), kKey, now));
  }
}

// Guards against length fields that reserve all memory and against bytes that are left over.
TEST_CASE("random bodies decode to an error or a message, never worse") {
  std::mt19937_64 random(20260101);
  for (int i = 0; i < 20000; ++i) {
    std::string body(random() % 64, '\0');
    for (char& byte : body) byte = static_cast<char>(random());
    static_cast<void>(Decode<Ping>(body));
    static_cast<void>(Decode<DemandAnswer>(body));
    static_cast<void>(Decode<DocumentAnswer>(body));
  }
  std::string huge = Encode(DocumentRequest{{"part"}});
  huge[1] = '\xff';
  huge[4] = '\x7f';
  CHECK_FALSE(Decode<DocumentRequest>(huge));
  CHECK_FALSE(Decode<DocumentRequest>(Encode(DocumentRequest{{"part"}}) + "x"));
}

// Guards against a dead or leaving daemon that keeps its groups.
TEST_CASE("ownership prefers live members of the region") {
  const MonotonicTime start = MonotonicNow();
  Membership membership(MakeMember("self", "a"), start, 1);
  membership.Apply(MakeMember("near", "a"), start);
  membership.Apply(MakeMember("far", "b"), start);
  for (int i = 0; i < 50; ++i) {
    const std::string key = "group-" + std::to_string(i);
    CHECK(membership.PreferredOwner(key, "b")->update.name == "far");
    CHECK(membership.PreferredOwner(key, "a")->update.region == "a");
  }
  membership.Suspect("far", start);
  CHECK(membership.PreferredOwner("g", "b")->update.name == "far");
  membership.Tick(start + seconds(3));
  CHECK(membership.PreferredOwner("g", "b")->update.region == "a");
  membership.Leave(start);
  CHECK(membership.PreferredOwner("g", "a")->update.name == "near");
}

// Guards against a live daemon that stays suspected.
TEST_CASE("a member refutes a suspicion with a higher incarnation") {
  const MonotonicTime now = MonotonicNow();
  Membership membership(MakeMember("self", "a"), now, 1);
  MemberUpdate suspicion = MakeMember("self", "a");
  suspicion.state = MemberState::kSuspect;
  membership.Apply(suspicion, now);
  CHECK(membership.self().state == MemberState::kAlive);
  CHECK(membership.self().incarnation == 2);

  Membership observer(MakeMember("observer", "a"), now, 2);
  observer.Apply(suspicion, now);
  observer.Apply(membership.self(), now);
  CHECK(observer.members().at("self").update.state == MemberState::kAlive);
}

}  // namespace mimosabend
