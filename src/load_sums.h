#ifndef MIMOSABEND_LOAD_SUMS_H_
#define MIMOSABEND_LOAD_SUMS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"
#include "fleet_usage.h"

namespace mimosabend {

// What all daemons have at the endpoints, summed up as their reports come. Not thread-safe.
class LoadSums {
 public:
  // Replaces what a daemon has.
  void Note(const std::string& daemon, std::vector<EndpointLoad> loads,
            std::vector<EngineRuns> runs, MonotonicTime now);

  // Forgets daemons that no longer report.
  void DropSilent(MonotonicTime now);

  // What all daemons but one have. Precondition: that one has been noted.
  std::vector<EndpointLoad> OthersOf(const std::string& daemon) const;

  // What all daemons have.
  std::vector<EndpointLoad> Totals() const;
  std::vector<EngineRuns> TotalRuns() const;

  // Requests of all daemons at an endpoint.
  std::uint32_t RequestsAt(std::uint32_t number) const;

  // Requests of all daemons that run with a model at an engine.
  std::uint32_t RunsAt(std::uint32_t number, const std::string& model) const;

  std::size_t daemons() const { return daemons_.size(); }

 private:
  struct DaemonLoads {
    std::vector<EndpointLoad> loads;
    std::vector<EngineRuns> runs;
    MonotonicTime noted;
  };

  // In the units of EndpointLoad.
  struct Sum {
    std::int64_t requests = 0;
    std::int64_t unread_units = 0;
    std::int64_t memory_units = 0;
  };

  void Add(const DaemonLoads& loads, int sign);

  std::map<std::string, DaemonLoads> daemons_;
  std::map<std::uint32_t, Sum> sums_;
  std::map<std::pair<std::uint32_t, std::string>, std::int64_t> runs_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LOAD_SUMS_H_
