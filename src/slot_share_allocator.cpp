#include "slot_share_allocator.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "digest.h"

namespace mimosabend {

namespace {

constexpr milliseconds kRejectWindow{1000};
// More rejections than this within kRejectWindow are not told apart.
constexpr std::size_t kMaxRejections = 1024;

enum class Turn : std::uint8_t { kKeeps, kNext, kHasHad };

// What a daemon gets of a capacity, in the order of division.
struct Part {
  Turn turn;
  MonotonicTime since;
  // Differs among the endpoints, so that the same daemons don't get a share of all of them.
  std::uint64_t rank;
  // Whether it is the daemon whose part is computed.
  bool is_own;
  std::uint32_t needed;
  std::uint32_t spare;
  auto operator<=>(const Part&) const = default;
};

// Gives one request at a time to each part until what it asks for or the capacity is used up.
// Returns what the own part gets.
std::uint32_t Divide(const std::vector<Part>& parts, std::uint32_t Part::*asked,
                     std::uint32_t* capacity) {
  std::uint32_t own = 0;
  bool open = true;
  for (std::uint32_t given = 0; open && *capacity > 0; ++given) {
    open = false;
    for (const Part& part : parts) {
      if (part.*asked <= given || *capacity == 0) continue;
      open = true;
      --*capacity;
      if (part.is_own) ++own;
    }
  }
  return own;
}

}  // namespace

// A daemon may use its former share until it confirms a smaller one.
std::uint32_t SlotShareAllocator::Reserved(const Claim& claim) {
  return std::max({claim.granted, claim.held, claim.in_flight});
}

// Lowers the capacity below what the endpoint has just had. The daemons report the rejections of
// one overload one after the other, so the capacity is lowered once in kHoldTime.
void SlotShareAllocator::RecordRejections(Endpoint* endpoint, const SlotShareDemand& demand,
                                          MonotonicTime now) {
  std::deque<MonotonicTime>& known = endpoint->rejections;
  while (!known.empty() && known.front() + kRejectWindow <= now) known.pop_front();
  if (demand.rejections == 0) return;
  const std::size_t room = kMaxRejections - std::min(kMaxRejections, known.size());
  known.insert(known.end(), std::min<std::size_t>(room, demand.rejections), now);
  if (static_cast<double>(known.size()) >= kPausePart * demand.reject_limit) {
    endpoint->paused_until = now + kPauseTime;
  }
  if (now < endpoint->held_until) return;
  double in_flight = 0;
  for (const auto& [daemon, claim] : endpoint->claims) in_flight += claim.in_flight;
  endpoint->capacity =
      std::max(1.0, std::min(endpoint->capacity, std::max(1.0, in_flight)) * kRejectionFactor);
  endpoint->held_until = now + kHoldTime;
}

void SlotShareAllocator::Grow(Endpoint* endpoint, std::uint32_t slots, MonotonicTime now) {
  const MonotonicTime from = std::max(endpoint->grown_at, endpoint->held_until);
  endpoint->grown_at = now;
  if (now <= from) return;
  const double rate = std::max(1.0, kGrowthPerSecond * slots);
  endpoint->capacity = std::min<double>(slots, endpoint->capacity + rate * ToSeconds(now - from));
}

// The daemon's part of a max-min fair division of the capacity in whole requests: first of what
// daemons need, then of what they want beyond that. If it doesn't come out even, daemons go first
// that have had a share for less than kMinTenure, then those that have had none for the longest
// time.
std::uint32_t SlotShareAllocator::FairShare(const Endpoint& endpoint, std::uint32_t number,
                                            const std::string& daemon, std::uint32_t capacity,
                                            MonotonicTime now) {
  std::vector<Part> parts;
  for (const auto& [name, claim] : endpoint.claims) {
    const bool keeps = claim.granted > 0 && now - claim.since < kMinTenure;
    const Turn turn = keeps ? Turn::kKeeps : claim.granted == 0 ? Turn::kNext : Turn::kHasHad;
    parts.push_back({turn, claim.since, Hash64(name, number), name == daemon, claim.needed,
                     claim.wanted - std::min(claim.needed, claim.wanted)});
  }
  std::sort(parts.begin(), parts.end());
  return Divide(parts, &Part::needed, &capacity) + Divide(parts, &Part::spare, &capacity);
}

std::uint32_t SlotShareAllocator::Decide(const std::string& daemon, const SlotShareDemand& demand,
                                         bool confirmed, MonotonicTime now) {
  const std::uint32_t slots = std::clamp(demand.slots, 1U, kMaxSlots);
  const auto [it, first] = endpoints_.try_emplace(demand.number);
  Endpoint& endpoint = it->second;
  if (first) {
    endpoint.capacity = demand.is_new ? std::max(1.0, kInitialPart * slots) : slots;
    endpoint.grown_at = now;
  }
  std::erase_if(endpoint.claims,
                [&](const auto& item) { return now - item.second.heard_at >= kClaimLifetime; });
  const auto [own, first_claim] = endpoint.claims.try_emplace(daemon);
  Claim& claim = own->second;
  if (first_claim) claim.since = now;
  claim.in_flight = std::min(demand.in_flight, kMaxSlots);
  claim.held = std::min(demand.held, kMaxSlots);
  claim.needed = std::min(demand.needed, slots);
  claim.wanted = std::min(demand.wanted, slots);
  claim.heard_at = now;
  Grow(&endpoint, slots, now);
  RecordRejections(&endpoint, demand, now);
  const auto capacity =
      now < endpoint.paused_until ? 0U : static_cast<std::uint32_t>(endpoint.capacity);
  std::uint32_t reserved = 0;
  for (const auto& [name, other] : endpoint.claims) {
    if (name != daemon) reserved += Reserved(other);
  }
  std::uint32_t share = std::min(FairShare(endpoint, demand.number, daemon, capacity, now),
                                 capacity - std::min(capacity, reserved));
  // Others may hold shares of a former leader, of which this one does not know.
  const bool may_grow = confirmed && now - term_began_ >= kClaimLifetime;
  if (!may_grow) share = std::min(capacity, claim.held);
  if ((share > 0) != (claim.granted > 0)) claim.since = now;
  claim.granted = share;
  return share;
}

void SlotShareAllocator::Reset(MonotonicTime now) {
  endpoints_.clear();
  term_began_ = now;
}

void SlotShareAllocator::PruneExpired(MonotonicTime now) {
  std::erase_if(endpoints_, [&](const auto& item) {
    const auto& claims = item.second.claims;
    return std::all_of(claims.begin(), claims.end(), [&](const auto& claim) {
      return now - claim.second.heard_at >= kClaimLifetime;
    });
  });
}

}  // namespace mimosabend
