#ifndef MIMOSABEND_REPORT_AGGREGATOR_H_
#define MIMOSABEND_REPORT_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"
#include "fleet_usage.h"
#include "load_totals.h"

namespace mimosabend {

// Used by relays: merges the usage reports of the daemons that report through this one with its own
// report to the placement leader, and computes for each daemon the load of the others. Not
// thread-safe.
class ReportAggregator {
 public:
  // Adds a report of a daemon, to be merged into the next own report.
  void AddReport(const std::string& daemon, const UsageReport& report, MonotonicTime now);

  // Merges the reports since the last call into this daemon's own report. `own_name` identifies
  // this daemon. Precondition: `report` has only the usage of this daemon itself.
  void MergeInto(const std::string& own_name, UsageReport* report, MonotonicTime now);

  // To be called if a merged report could not be sent: its requests, quota use and streams are
  // merged into the next one.
  void Restore(const UsageReport& report);

  // Sets the loads of daemons that do not report through this one.
  void SetExternalLoads(const std::vector<EndpointLoad>& loads);

  // Loads of all daemons except one. Precondition: that one has reported.
  std::vector<EndpointLoad> LoadsExcept(const std::string& daemon) const;

  // Whether requests of daemons that report through this one wait for models.
  bool HasWaiting(MonotonicTime now) const;

  // The daemons that have reported recently, not counting this one.
  std::vector<DaemonInfo> Daemons() const;

  // Number of daemons that have reported recently, not counting this one.
  std::size_t daemons() const { return daemons_.size(); }

 private:
  // Service and model.
  using Key = std::pair<std::string, std::string>;

  struct Waiting {
    std::uint32_t count = 0;
    std::uint32_t priority = 0;
  };
  struct DaemonReport {
    MonotonicTime reported_at;
    std::vector<DaemonInfo> infos;
    std::map<Key, Waiting> waiting;
  };

  void AddUsage(const ModelUsage& usage);
  void AddStreams(const std::vector<StreamOrigins>& streams);
  void PruneExpired(MonotonicTime now);

  LoadTotals loads_;
  std::map<std::uint32_t, EndpointLoad> external_loads_;
  std::map<std::string, DaemonReport> daemons_;
  std::map<Key, ModelUsage> usage_;
  std::set<std::uint32_t> unreachable_;
  QuotaUsageSums quota_;
  // Streams to be reported, and the number of their keys.
  std::vector<StreamOrigins> streams_;
  std::size_t stream_keys_ = 0;
};

// Adds `load` to the sum for the same endpoint, with saturation. Thread-safe.
void AddLoad(EndpointLoad* sum, const EndpointLoad& load);

}  // namespace mimosabend

#endif  // MIMOSABEND_REPORT_AGGREGATOR_H_
