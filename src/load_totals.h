#ifndef MIMOSABEND_LOAD_TOTALS_H_
#define MIMOSABEND_LOAD_TOTALS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"
#include "fleet_usage.h"

namespace mimosabend {

// Running totals of all daemons' load at the endpoints, updated with each report. Not thread-safe.
class LoadTotals {
 public:
  // Replaces a daemon's loads and requests in flight by those of its latest report.
  void SetLoads(const std::string& daemon, std::vector<EndpointLoad> loads,
                std::vector<EngineRuns> runs, MonotonicTime now);

  // Removes daemons that no longer report.
  void PruneExpired(MonotonicTime now);

  // Loads of all daemons except one. Precondition: that one has reported.
  std::vector<EndpointLoad> LoadsExcept(const std::string& daemon) const;

  // Loads and requests in flight of all daemons.
  std::vector<EndpointLoad> Totals() const;
  std::vector<EngineRuns> TotalRuns() const;

  // Requests of all daemons at an endpoint.
  std::uint32_t RequestsAt(std::uint32_t number) const;

  // Requests of all daemons in flight for a model at an engine.
  std::uint32_t RunsAt(std::uint32_t number, const std::string& model) const;

  std::size_t daemons() const { return daemons_.size(); }

 private:
  struct DaemonLoads {
    std::vector<EndpointLoad> loads;
    std::vector<EngineRuns> runs;
    MonotonicTime reported_at;
  };

  // In the units of EndpointLoad.
  struct Sum {
    std::int64_t requests = 0;
    std::int64_t prefill_units = 0;
    std::int64_t memory_units = 0;
  };

  void Add(const DaemonLoads& loads, int sign);

  std::map<std::string, DaemonLoads> daemons_;
  std::map<std::uint32_t, Sum> sums_;
  // Requests in flight by endpoint number and model.
  std::map<std::pair<std::uint32_t, std::string>, std::int64_t> runs_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_LOAD_TOTALS_H_
