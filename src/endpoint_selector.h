#ifndef MIMOSABEND_ENDPOINT_SELECTOR_H_
#define MIMOSABEND_ENDPOINT_SELECTOR_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "endpoint_stats.h"
#include "fleet_directory.h"
#include "prefix_index.h"
#include "relay_request.h"

namespace mimosabend {

// An endpoint chosen for a request.
struct EndpointChoice {
  FleetEndpoint endpoint;
  // Expected milliseconds until the first event or the answer.
  double expected_ms = 0;
  // Prompt tokens that the engine is believed not to keep.
  std::uint32_t unread_tokens = 0;
  bool has_adapter = true;
  // Requests of all daemons at the endpoint.
  std::uint32_t requests = 0;
};

// Where a daemon stands, for preferring near endpoints.
struct Locality {
  std::string region;
  // Region of each failure domain.
  std::map<std::string, std::string> regions;
};

// Chooses endpoints by the expected time to the first event: what waits there, what of the prompt
// is kept there, and the way. Not thread-safe.
class EndpointSelector {
 public:
  // Precondition: all pointers outlive this object.
  EndpointSelector(Locality locality, const FleetDirectory* directory, const EndpointStats* stats,
                   const PrefixIndex* prefixes, std::uint64_t seed)
      : locality_(std::move(locality)),
        directory_(directory),
        stats_(stats),
        prefixes_(prefixes),
        random_(seed) {}

  // An endpoint of a plain service; std::nullopt if none is left. With a spread key it is the one
  // that all daemons choose for that key, whatever its load, and different keys get different ones.
  std::optional<EndpointChoice> ChoosePlain(const std::string& service,
                                            const std::set<std::string>& excluded,
                                            MonotonicTime now, std::uint64_t spread_key = 0);

  // Whether there is an engine that ChooseEngine might choose; without a model, an endpoint that
  // ChoosePlain might choose. Asked for each event of a stream, so
  // it stops at the first one.
  bool HasEngine(const std::string& service, const std::string& model,
                 const std::set<std::string>& excluded, MonotonicTime now) const;

  // When the first of the endpoints that want no requests of this daemon now takes them again;
  // std::nullopt if there is none. With a model: of those that hold it.
  std::optional<MonotonicTime> HeldOffUntil(const std::string& service, const std::string& model,
                                            MonotonicTime now) const;

  // An engine that holds the model; std::nullopt if none is left. For the spread key see
  // ChoosePlain.
  std::optional<EndpointChoice> ChooseEngine(const std::string& service,
                                             const EngineProfile& profile,
                                             const RelayRequest& request,
                                             const std::vector<std::uint64_t>& hashes,
                                             const std::set<std::string>& excluded,
                                             MonotonicTime now, std::uint64_t spread_key = 0);

 private:
  // Whether an endpoint may be chosen at all, if the directory lets it be used.
  bool IsCandidate(const DirectoryEntry& entry, const std::set<std::string>& excluded,
                   const std::string& model, MonotonicTime now) const;
  // Endpoints without failures if there are any, else all that may be used. With a model: engines
  // that hold it and have not failed lately. With a spread key: only one of them.
  std::vector<const DirectoryEntry*> Candidates(const std::string& service,
                                                const std::set<std::string>& excluded,
                                                const std::string& model, MonotonicTime now,
                                                std::uint64_t spread_key) const;
  double WayMillis(const FleetEndpoint& endpoint) const;
  double Jitter(double millis);

  Locality locality_;
  const FleetDirectory* directory_;
  const EndpointStats* stats_;
  const PrefixIndex* prefixes_;
  std::mt19937_64 random_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENDPOINT_SELECTOR_H_
