#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "fake_fleet_store.h"
#include "simulated_time.h"
#include "stream_record.h"

namespace mimosabend::testing {

namespace {

constexpr const char* kService = "models";

// A daemon that leads while its term is not 0.
struct RecordingDaemon {
  RecordingDaemon(boost::asio::io_context* io, FakeFleetStore* store)
      : record(store, &versions, [this](MonotonicTime) { return term; }) {
    boost::asio::co_spawn(*io, record.Run(), boost::asio::detached);
  }

  StreamVersions versions{MonotonicNow()};
  std::uint64_t term = 0;
  StreamRecord<FakeFleetStore> record;
};

}  // namespace

// Guards against streams of an earlier release that are still stored: a version that left long ago
// counted as one that serves, so that take-ups were refused although a single version serves.
TEST_CASE("stored streams of a version that has left do not bring it back", "[stream_record]") {
  SimulatedTime time;
  boost::asio::io_context io(1);
  FakeFleetStore store;
  const std::uint64_t old_key = StreamKey(kService, "1");
  RecordingDaemon former(&io, &store);
  former.term = 1;
  former.versions.RecordServing(kService, "v1", MonotonicNow());
  former.versions.RecordServing(kService, "v2", MonotonicNow());
  former.versions.AddReport({{kService, "v1", {old_key}}}, MonotonicNow());
  for (milliseconds passed{0}; passed <= kStreamLifetime + seconds(2); passed += seconds(1)) {
    time.RunFor(&io, seconds(1));
    former.versions.RecordServing(kService, "v2", MonotonicNow());
    former.versions.PruneExpired(MonotonicNow());
  }
  time.RunFor(&io, seconds(1));
  former.term = 0;
  RecordingDaemon next(&io, &store);
  next.term = 2;
  next.versions.RecordServing(kService, "v2", MonotonicNow());
  time.RunFor(&io, seconds(1));
  const auto find = [&](const char* id) {
    return next.versions.Find(kService, StreamKey(kService, id), true, MonotonicNow());
  };
  CHECK(find("2").version == "v2");
  CHECK(find("1").version == "v1");
  // A leader that had no view of the endpoints for a while reads the versions again.
  next.versions.history().RecordView(false, MonotonicNow() + kStreamLifetime);
  CHECK(find("2").state == OriginState::kNoAnswer);
  time.RunFor(&io, seconds(2));
  CHECK(find("2").version == "v2");
}

}  // namespace mimosabend::testing
