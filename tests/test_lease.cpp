#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fake_kv.h"
#include "lease_keeper.h"
#include "simulated_time.h"

namespace mimosabend::testing {

// Guards against lease renewals (one write every 2 s) by daemons that own nothing, and against use
// of a revoked lease.
TEST_CASE("a lease is held only while it is needed") {
  SimulatedTime time;
  boost::asio::io_context io(1);
  FakeKvService service(1);
  FakeKv kv(&service);
  LeaseKeeper<FakeKv> keeper(&kv);
  keeper.SetWanted(false);
  boost::asio::co_spawn(io, keeper.Run(), boost::asio::detached);
  time.RunFor(&io, milliseconds(300));
  CHECK(kv.calls() == 0);

  keeper.SetWanted(true);
  time.RunFor(&io, milliseconds(300));
  REQUIRE(keeper.SafeLease(MonotonicNow()) != nullptr);
  const LeaseId lease = *keeper.SafeLease(MonotonicNow());
  CHECK(service.Renew(lease));

  keeper.SetWanted(false);
  time.RunFor(&io, milliseconds(2300));
  CHECK(keeper.SafeLease(MonotonicNow()) == nullptr);
  CHECK_FALSE(keeper.Holds(lease));
  CHECK_FALSE(service.Renew(lease));
  const std::uint64_t calls = kv.calls();
  time.RunFor(&io, milliseconds(300));
  CHECK(kv.calls() == calls);
}

}  // namespace mimosabend::testing
