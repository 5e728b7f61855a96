#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <iostream>

#include "era_simulation.h"
#include "fleet_directory.h"
#include "fleet_state.h"
#include "store_era.h"

namespace mimosabend::testing {

namespace {

FleetEndpoint Endpoint(const std::string& id, std::int64_t started_ms = 1) {
  FleetEndpoint endpoint;
  endpoint.id = id;
  endpoint.started_ms = started_ms;
  return endpoint;
}

FleetEndpoint Draining(const std::string& id) {
  FleetEndpoint endpoint = Endpoint(id);
  endpoint.state = EndpointState::kDraining;
  return endpoint;
}

// Adds the first snapshot of an era to a log.
void ReadSnapshot(DirectoryLog* log, const std::vector<std::pair<FleetEndpoint, int>>& entries,
                  StoreRevision at) {
  std::set<std::string> ids;
  for (const auto& [endpoint, revision] : entries) {
    log->Put(endpoint, {at.era, static_cast<std::uint64_t>(revision)});
    ids.insert(endpoint.id);
  }
  log->KeepOnly(ids, at);
  log->Advance(at);
}

// The state of an endpoint as a log passes it on; std::nullopt if it is not registered.
std::optional<EndpointState> StateOf(const DirectoryLog& log, const std::string& id) {
  const auto number = log.NumberOf(id);
  return number ? std::optional(log.FindNumber(*number)->state) : std::nullopt;
}

}  // namespace

// Guards against tokens that a restore makes equal or lower, and against malformed headers that
// begin an era or hide one.
TEST_CASE("eras order revisions and tokens", "[era]") {
  const StoreRevision last{0, 5'000'000};
  const StoreRevision first{1, 1};
  CHECK(first > last);
  CHECK(FencingToken(last) == 5'000'000);
  CHECK(FencingToken(first) > FencingToken(last));
  const std::uint64_t highest = FencingToken({kMaxStoreEra, (1ULL << 32) - 1});
  CHECK(highest < 1ULL << 53);
  CHECK(((highest << 20) >> 20) == highest);
  CHECK(ParseStoreEra("0") == 0);
  CHECK(ParseStoreEra("4095") == kMaxStoreEra);
  for (const char* text :
       {"", "4096", "-1", "+1", " 1", "1 ", "1.0", "0x1", "99999999999", "one"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseStoreEra(text));
  }
  // The era is encoded in the first two bytes, after the one that states the byte order.
  std::string encoded = Encode(StoreRevision{1, 7});
  CHECK(Decode<StoreRevision>(encoded) == StoreRevision{1, 7});
  encoded[1] = '\xff';
  encoded[2] = '\xff';
  CHECK_FALSE(Decode<StoreRevision>(encoded));

  StoreEra known;
  std::vector<std::uint32_t> begun;
  known.set_listener([&](std::uint32_t era) { begun.push_back(era); });
  CHECK(known.HandleResponse("", "GET"));
  CHECK(known.HandleResponse("bad", "GET"));
  CHECK(known.HandleResponse("2", "GET"));
  CHECK_FALSE(known.HandleResponse("1", "GET"));
  CHECK_FALSE(known.HandleResponse("", "GET"));
  CHECK_FALSE(known.HandleResponse("3x", "GET"));
  known.Learn(1, "peer");
  known.Learn(3, "peer");
  CHECK(begun == std::vector<std::uint32_t>{2, 3});
  CHECK(known.dropped() == 3);
  CHECK(known.invalid() == 2);
  CHECK(known.begun() == 2);
}

// Guards against endpoints that left before a restore and are used again because the older copy
// lists them as ready.
TEST_CASE("a restored entry does not revive an endpoint that has left", "[era]") {
  DirectoryLog log;
  ReadSnapshot(&log, {{Endpoint("gone"), 1}, {Endpoint("drains"), 2}, {Endpoint("stays"), 3}},
               {0, 4});
  log.Put(Draining("drains"), {0, 5});
  log.Remove("gone", {0, 6});
  log.Put(Endpoint("late"), {0, 7});
  log.Put(Endpoint("stays", 2), {0, 8});
  log.Advance({0, 9});
  DirectoryLog follower;
  follower.Merge(log.Since({}));

  // The copy was made at revision 4; another endpoint has written since.
  ReadSnapshot(&log,
               {{Endpoint("gone"), 1},
                {Endpoint("drains"), 2},
                {Endpoint("stays"), 3},
                {Endpoint("other"), 5}},
               {1, 5});
  CHECK_FALSE(StateOf(log, "gone"));
  CHECK(StateOf(log, "drains") == EndpointState::kDraining);
  CHECK_FALSE(StateOf(log, "stays"));
  CHECK_FALSE(StateOf(log, "late"));
  CHECK(StateOf(log, "other") == EndpointState::kReady);
  // A follower takes the newer era as a whole, although its revision is lower, and keeps what it
  // knows itself. Nobody returns to the older era.
  const DirectoryChanges former = follower.Since({});
  CHECK(follower.Merge(log.Since(follower.revision())).size() == 4);
  for (const char* id : {"gone", "late", "stays"}) CHECK_FALSE(StateOf(follower, id));
  CHECK(StateOf(follower, "drains") == EndpointState::kDraining);
  CHECK(follower.Merge(former).empty());
  CHECK(follower.revision() == StoreRevision{1, 5});

  // A write in the new era shows that an endpoint is there.
  for (DirectoryLog* reader : {&log, &follower}) {
    CHECK(reader->Put(Endpoint("gone"), {1, 6}) == EndpointState::kReady);
    reader->Put(Endpoint("stays", 2), {1, 7});
    reader->Put(Endpoint("drains"), {1, 8});
    for (const char* id : {"gone", "stays", "drains"}) {
      CHECK(StateOf(*reader, id) == EndpointState::kReady);
    }
    reader->Advance({1, 8});
  }
  // A delta of an era whose snapshot is not known is of no use.
  DirectoryLog behind;
  ReadSnapshot(&behind, {{Endpoint("old"), 1}}, {0, 2});
  const DirectoryChanges delta = log.Since({1, 7});
  CHECK_FALSE(delta.is_snapshot);
  CHECK(behind.Merge(delta).empty());
  CHECK(behind.revision() == StoreRevision{0, 2});
}

// Guards against requests that count as the cause of a crash because the entry of an endpoint that
// goes on running was lost with the store's last writes.
TEST_CASE("an entry that a restore lost is no end of its endpoint", "[era]") {
  const bool restored = GENERATE(false, true);
  FleetDirectory directory(milliseconds(2000));
  std::vector<std::string> ended;
  directory.set_end_listener([&](const FleetEndpoint& endpoint) { ended.push_back(endpoint.id); });
  const MonotonicTime start{seconds(1000)};
  directory.Put(Endpoint("e1"));
  directory.KeepOnly({}, start, restored ? MissingCause::kRestored : MissingCause::kDeleted);
  CHECK(directory.UsabilityOf(*directory.Find("e1"), start) == Usability::kLastResort);
  directory.PruneExpired(start + seconds(3));
  CHECK(directory.Find("e1") == nullptr);
  CHECK(ended.size() == (restored ? 0 : 1));
}

// Guards against a leader that goes on with a lost key, or claims again with a token that was used,
// and against daemons that use endpoints that have left. With the era ignored, the same rounds must
// show such violations, so that the simulation is known to find them.
TEST_CASE("rounds with restores keep one leader and what has left", "[era]") {
  constexpr int kRounds = 200;
  EraTotals totals;
  for (int seed = 1; seed <= kRounds; ++seed) {
    const std::vector<std::string> violations = RunEraRound(seed, true, &totals);
    CAPTURE(seed);
    for (const std::string& violation : violations) FAIL_CHECK(violation);
  }
  int rounds_with_violations = 0;
  EraTotals ignored;
  constexpr int kIgnoringRounds = 30;
  for (int seed = 1; seed <= kIgnoringRounds; ++seed) {
    if (!RunEraRound(seed, false, &ignored).empty()) ++rounds_with_violations;
  }
  std::cout << kRounds << " rounds, " << totals.restores << " restores, " << totals.terms
            << " terms, " << totals.orders << " orders; slowest leader "
            << totals.slowest_leader.count() << " ms, slowest order "
            << totals.slowest_order.count()
            << " ms after a restore; era ignored: " << rounds_with_violations << " of "
            << kIgnoringRounds << " rounds with violations\n";
  CHECK(totals.restores >= kRounds);
  CHECK(rounds_with_violations >= kIgnoringRounds / 2);
}

}  // namespace mimosabend::testing
