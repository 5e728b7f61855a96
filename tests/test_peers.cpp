#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <random>

#include "fleet_usage.h"
#include "membership.h"
#include "peer_dispatcher.h"
#include "peer_message.h"
#include "peer_transport.h"

namespace mimosabend {

namespace {

constexpr char kSharedKey[] = "a-shared-key-of-the-daemons";

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
  return EncodeEnvelope(Wrap(ping, "sender", 3, now), kSharedKey);
}

}  // namespace

// Guards against messages that are taken for another type or crash the daemon. Each byte of a valid
// message is changed and the message is truncated at each length.
TEST_CASE("invalid messages are rejected with the specific error") {
  const WallTime now = WallNow();
  const std::string valid = EncodedPing(now);
  REQUIRE(DecodeEnvelope(valid, kSharedKey, now));
  CHECK(Unwrap<Ping>(DecodeEnvelope(valid, kSharedKey, now).value()).value().sequence == 7);
  CHECK(Unwrap<Ack>(DecodeEnvelope(valid, kSharedKey, now).value()).error() ==
        PeerError::kUnknownType);

  CHECK(DecodeEnvelope("MB", kSharedKey, now).error() == PeerError::kTruncated);
  CHECK(DecodeEnvelope("XX" + valid.substr(2), kSharedKey, now).error() == PeerError::kBadMagic);
  std::string other_version = valid;
  other_version[2] = 99;
  CHECK(DecodeEnvelope(other_version, kSharedKey, now).error() == PeerError::kBadVersion);
  CHECK(DecodeEnvelope(valid, "another-key", now).error() == PeerError::kBadMac);
  CHECK(DecodeEnvelope(valid, kSharedKey, now + seconds(31)).error() ==
        PeerError::kOutsideReplayWindow);
  CHECK(DecodeEnvelope(valid, kSharedKey, now - seconds(31)).error() ==
        PeerError::kOutsideReplayWindow);
  for (std::size_t i = 0; i < valid.size(); ++i) {
    std::string damaged = valid;
    damaged[i] = static_cast<char>(damaged[i] ^ 0x20);
    CHECK_FALSE(DecodeEnvelope(damaged, kSharedKey, now));
    CHECK_FALSE(DecodeEnvelope(valid.substr(0, i), kSharedKey, now));
  }
}

// Guards against a task that ends each time it sends a name that is too long.
TEST_CASE("a request that can't be encoded fails and is counted") {
  boost::asio::io_context io(1);
  Metrics metrics;
  PeerClient client(io.get_executor(), {"g", kSharedKey, {}}, &metrics);
  std::optional<PeerError> error;
  const auto call = [&]() -> Task<void> {
    UsageReport report;
    report.models.resize(1);
    report.models.front().model = std::string(300, 'm');
    const Address peer{"127.0.0.1", 1};
    auto answer = co_await client.Call<UsageAnswer>(peer, report, seconds(1));
    if (!answer) error = answer.error();
  };
  boost::asio::co_spawn(io, call(), boost::asio::detached);
  io.run();
  CHECK(error == PeerError::kUnencodable);
}

// Guards against length fields that make the decoder allocate too much memory, and against
// accepting trailing bytes.
TEST_CASE("random bodies decode to a message or an error without a crash") {
  std::mt19937_64 random(20260101);
  for (int i = 0; i < 20000; ++i) {
    std::string body(random() % 64, '\0');
    for (char& byte : body) byte = static_cast<char>(random());
    static_cast<void>(Decode<Ping>(body));
    static_cast<void>(Decode<DemandAnswer>(body));
    static_cast<void>(Decode<DocumentAnswer>(body));
  }
  std::string oversized = Encode(DocumentRequest{{"part"}});
  oversized[1] = '\xff';
  oversized[4] = '\x7f';
  CHECK_FALSE(Decode<DocumentRequest>(oversized));
  CHECK_FALSE(Decode<DocumentRequest>(Encode(DocumentRequest{{"part"}}) + "x"));
}

// Guards against a dead or leaving daemon that stays the preferred owner of groups.
TEST_CASE("the preferred owner is a live member, of the given region if possible") {
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

// Guards against a live daemon that stays suspect until it is declared dead.
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

// Guards against a request that reaches the handler of another type, or a handler that is given a
// body that can't be decoded.
TEST_CASE("a request is answered by the handler for its type") {
  PeerDispatcher dispatcher("self");
  int calls = 0;
  dispatcher.Add<Ping>([&](const std::string& sender, const Ping& ping) {
    ++calls;
    CHECK(sender == "sender");
    Ack ack;
    ack.sequence = ping.sequence;
    return ack;
  });
  const auto handle = [&](Envelope request) {
    boost::asio::io_context io;
    Result<Envelope, PeerError> answer = outcome::failure(PeerError::kTruncated);
    const auto run = [&]() -> Task<void> {
      auto task = dispatcher.Handle(std::move(request));
      answer = co_await std::move(task);
    };
    boost::asio::co_spawn(io, run, boost::asio::detached);
    io.run();
    return answer;
  };
  Ping ping;
  ping.sequence = 7;
  const Envelope request = Wrap(ping, "sender", 3, WallNow());
  const auto answer = handle(request);
  REQUIRE(answer);
  CHECK(answer.value().sender == "self");
  CHECK(Unwrap<Ack>(answer.value()).value().sequence == 7);
  Envelope malformed = request;
  malformed.body = "?";
  CHECK(handle(malformed).error() == PeerError::kMalformed);
  CHECK(handle(Wrap(Ack(), "sender", 3, WallNow())).error() == PeerError::kUnknownType);
  CHECK(calls == 1);
}

}  // namespace mimosabend
