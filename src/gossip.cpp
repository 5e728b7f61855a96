#include "gossip.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "event_loop.h"
#include "supervisor.h"

namespace mimosabend {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr milliseconds kProbePeriod{500};
constexpr milliseconds kDirectPingTimeout{200};
constexpr milliseconds kIndirectPingTimeout{300};
constexpr std::size_t kIndirectPingPeers = 3;
constexpr std::size_t kMaxDatagramBytes = 8192;
constexpr milliseconds kExchangeTimeout{1000};
constexpr milliseconds kJoinRetryPeriod{500};
constexpr milliseconds kBaseExchangePeriod{30000};
// Up to this many members, the period is kBaseExchangePeriod. An update takes 67 bytes in the test
// fleets and an exchange sends all updates in both directions, so the exchanges use up to 0.4 KB/s
// per daemon of its limit of 3 KB/s for control traffic.
constexpr std::size_t kMaxMembersAtBasePeriod = 40;
// How often a daemon that has joined looks for seeds that are not live members.
constexpr milliseconds kMissingSeedPeriod{10000};

udp::endpoint ToEndpoint(const Address& address) {
  boost::system::error_code ignored;
  return {asio::ip::make_address(address.ip, ignored), address.port};
}

}  // namespace

milliseconds MembersExchangePeriod(std::size_t members) {
  return kBaseExchangePeriod * std::max(members, kMaxMembersAtBasePeriod) / kMaxMembersAtBasePeriod;
}

Gossip::Gossip(asio::any_io_executor executor, Membership* membership, PeerIdentity identity,
               std::vector<Address> seeds, Metrics* metrics, Hooks hooks)
    : executor_(std::move(executor)),
      membership_(membership),
      identity_(std::move(identity)),
      seeds_(std::move(seeds)),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      socket_(executor_) {}

Result<void, std::string> Gossip::Bind(const Address& address) {
  boost::system::error_code error;
  const udp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
  if (!error) socket_.open(endpoint.protocol(), error);
  if (!error) socket_.bind(endpoint, error);
  if (error) return outcome::failure(ToString(address) + ": " + error.message());
  return outcome::success();
}

void Gossip::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void Gossip::ApplyUpdates(const std::vector<MemberUpdate>& updates) {
  for (const MemberUpdate& update : updates) membership_->Apply(update, MonotonicNow());
}

template <class Message>
Task<void> Gossip::Send(Address peer, Message message) {
  if (identity_.blocked_peers.contains(peer)) co_return;
  const std::string bytes =
      EncodeEnvelope(Wrap(message, identity_.name, 0, WallNow()), identity_.shared_key);
  boost::system::error_code error;
  co_await socket_.async_send_to(asio::buffer(bytes), ToEndpoint(peer),
                                 asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  metrics_->peer_messages_sent_total->Increment();
  metrics_->peer_bytes_sent_total->Increment(static_cast<double>(bytes.size()));
}

Task<void> Gossip::SendPing(Address target, std::uint64_t sequence) {
  Ping ping;
  ping.sequence = sequence;
  ping.environment_version = hooks_.environment_version();
  ping.updates = membership_->TakeUpdates();
  co_await Send(std::move(target), std::move(ping));
}

Task<void> Gossip::Receive() {
  std::array<char, kMaxDatagramBytes> buffer;
  while (socket_.is_open()) {
    udp::endpoint sender;
    boost::system::error_code error;
    const std::size_t length = co_await socket_.async_receive_from(
        asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
    if (error) continue;  // ICMP error for an earlier datagram, or the socket was closed.
    metrics_->peer_messages_received_total->Increment();
    metrics_->peer_bytes_received_total->Increment(static_cast<double>(length));
    auto envelope =
        DecodeEnvelope(std::string_view(buffer.data(), length), identity_.shared_key, WallNow());
    if (!envelope) {
      metrics_->CountPeerError(envelope.error());
      continue;
    }
    const Address peer{sender.address().to_string(), sender.port()};
    co_await Handle(peer, std::move(envelope).value());
  }
}

Task<void> Gossip::Handle(Address peer, Envelope envelope) {
  if (envelope.type == PeerMessageType::kPing) {
    if (auto ping = Unwrap<Ping>(envelope)) {
      ApplyUpdates(ping.value().updates);
      hooks_.on_environment_version(peer, ping.value().environment_version);
      Ack ack;
      ack.sequence = ping.value().sequence;
      ack.environment_version = hooks_.environment_version();
      ack.updates = membership_->TakeUpdates();
      co_await Send(peer, std::move(ack));
      co_return;
    }
  } else if (envelope.type == PeerMessageType::kAck) {
    if (auto ack = Unwrap<Ack>(envelope)) {
      ApplyUpdates(ack.value().updates);
      acknowledged_.insert(ack.value().sequence);
      hooks_.on_environment_version(peer, ack.value().environment_version);
      co_return;
    }
  } else if (envelope.type == PeerMessageType::kPingRequest) {
    if (auto request = Unwrap<PingRequest>(envelope)) {
      SpawnDetached(executor_, "indirect ping", RelayPing(peer, std::move(request).value()));
      co_return;
    }
  } else {
    metrics_->CountPeerError(PeerError::kUnknownType);
    co_return;
  }
  metrics_->CountPeerError(PeerError::kMalformed);
}

Task<void> Gossip::RelayPing(Address requester, PingRequest request) {
  const bool answered = co_await PingAndWait(request.target, kDirectPingTimeout);
  if (!answered) co_return;
  Ack ack;
  ack.sequence = request.sequence;
  ack.environment_version = hooks_.environment_version();
  co_await Send(std::move(requester), std::move(ack));
}

Task<bool> Gossip::PingAndWait(Address target, milliseconds timeout) {
  const std::uint64_t sequence = ++last_sequence_;
  co_await SendPing(std::move(target), sequence);
  co_await Sleep(timeout);
  co_return acknowledged_.erase(sequence) > 0;
}

Task<void> Gossip::Probe() {
  while (socket_.is_open()) {
    const MonotonicTime start = MonotonicNow();
    membership_->Tick(start);
    const Member* member = membership_->NextPingTarget();
    if (member != nullptr) {
      const MemberUpdate target = member->update;
      const std::uint64_t sequence = ++last_sequence_;
      co_await SendPing(target.address, sequence);
      co_await Sleep(kDirectPingTimeout);
      if (!acknowledged_.contains(sequence)) {
        for (const Address& peer : membership_->RandomPeers(kIndirectPingPeers, target.name)) {
          PingRequest request;
          request.sequence = sequence;
          request.target = target.address;
          co_await Send(peer, std::move(request));
        }
        co_await Sleep(kIndirectPingTimeout);
      }
      if (acknowledged_.erase(sequence) == 0) membership_->Suspect(target.name, MonotonicNow());
    }
    const auto remaining = kProbePeriod - (MonotonicNow() - start);
    if (remaining.count() > 0) co_await Sleep(remaining);
  }
}

Task<bool> Gossip::ExchangeWith(PeerClient* client, Address peer) {
  MembersRequest request;
  request.updates = membership_->AllUpdates();
  auto answer =
      co_await client->Call<MembersAnswer>(std::move(peer), std::move(request), kExchangeTimeout);
  if (answer) ApplyUpdates(answer.value().updates);
  co_return static_cast<bool>(answer);
}

std::optional<Address> Gossip::NextMissingSeed() {
  const std::vector<Address> live = membership_->LiveAddresses();
  for (std::size_t i = 0; i < seeds_.size(); ++i) {
    const Address& seed = seeds_[next_seed_++ % seeds_.size()];
    if (std::find(live.begin(), live.end(), seed) == live.end()) return seed;
  }
  return std::nullopt;
}

Task<void> Gossip::ExchangeMembers(PeerClient* client) {
  bool joined = false;
  MonotonicTime next_exchange = MonotonicNow();
  while (socket_.is_open()) {
    if (const std::optional<Address> seed = NextMissingSeed()) {
      const bool answered = co_await ExchangeWith(client, *seed);
      joined = joined || answered;
    }
    if (!joined || MonotonicNow() >= next_exchange) {
      next_exchange = MonotonicNow() + MembersExchangePeriod(membership_->members().size());
      for (Address& peer : membership_->RandomPeers(1, "")) {
        const bool answered = co_await ExchangeWith(client, std::move(peer));
        joined = joined || answered;
      }
    }
    co_await Sleep(joined ? kMissingSeedPeriod : kJoinRetryPeriod);
  }
}

}  // namespace mimosabend
