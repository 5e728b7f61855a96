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
  // Expected milliseconds until the first event of a stream, or until the response.
  double expected_ms = 0;
  // Prompt tokens that the engine is expected to process because its prefix cache lacks them.
  std::uint32_t prefill_tokens = 0;
  bool has_adapter = true;
  // Requests that all daemons have in flight at the endpoint.
  std::uint32_t requests = 0;
};

// Location of the daemon. Endpoints in its own region are preferred.
struct Locality {
  std::string region;
  // Failure domain to region.
  std::map<std::string, std::string> regions;
};

// Chooses the endpoint with the lowest expected time to the first event, estimated from the work
// queued there, the part of the prompt in its prefix cache, and the network latency. Not
// thread-safe.
class EndpointSelector {
 public:
  // `seed` is for the random jitter. Precondition: all pointers outlive this object.
  EndpointSelector(Locality locality, const FleetDirectory* directory, const EndpointStats* stats,
                   const PrefixIndex* prefixes, std::uint64_t seed)
      : locality_(std::move(locality)),
        directory_(directory),
        stats_(stats),
        prefixes_(prefixes),
        random_(seed) {}

  // An endpoint of a service without models; std::nullopt if no endpoint is left. With a nonzero
  // spread key, it is chosen by rendezvous hashing instead of by load: all daemons choose the same
  // endpoint for the same key, and keys are spread over the endpoints.
  std::optional<EndpointChoice> ChoosePlain(const std::string& service,
                                            const std::set<std::string>& excluded,
                                            MonotonicTime now, std::uint64_t spread_key = 0);

  // Whether ChooseEngine can return an engine for the model or, if `model` is empty, whether
  // ChoosePlain can return an endpoint. Called for each event of a stream, so it stops at the first
  // candidate.
  bool HasEngine(const std::string& service, const std::string& model,
                 const std::set<std::string>& excluded, MonotonicTime now) const;

  // The earliest end of a backoff among the endpoints of a service or, with a model, among the
  // engines that hold it; std::nullopt if none is in backoff.
  std::optional<MonotonicTime> BackoffUntil(const std::string& service, const std::string& model,
                                            MonotonicTime now) const;

  // An engine that holds the model; std::nullopt if no engine is left. `hashes` are the
  // PrefixHashes of the prompt. For `spread_key` see ChoosePlain.
  std::optional<EndpointChoice> ChooseEngine(const std::string& service,
                                             const EngineProfile& profile,
                                             const RelayRequest& request,
                                             const std::vector<std::uint64_t>& hashes,
                                             const std::set<std::string>& excluded,
                                             MonotonicTime now, std::uint64_t spread_key = 0);

 private:
  // Whether an endpoint may be chosen, provided that the directory lists it as usable.
  bool IsCandidate(const DirectoryEntry& entry, const std::set<std::string>& excluded,
                   const std::string& model, MonotonicTime now) const;
  // The healthy endpoints or, if there are none, all that may be used. With a model: only engines
  // that hold it and are not ejected. With a spread key: at most one endpoint.
  std::vector<const DirectoryEntry*> Candidates(const std::string& service,
                                                const std::set<std::string>& excluded,
                                                const std::string& model, MonotonicTime now,
                                                std::uint64_t spread_key) const;
  double NetworkMillis(const FleetEndpoint& endpoint) const;
  double Jitter(double millis);

  Locality locality_;
  const FleetDirectory* directory_;
  const EndpointStats* stats_;
  const PrefixIndex* prefixes_;
  std::mt19937_64 random_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_ENDPOINT_SELECTOR_H_
