#include "directory_feed.h"

#include <cassert>

namespace mimosabend {

FleetEndpoint ToEndpoint(const EndpointChange& change) {
  assert(!change.gone);
  FleetEndpoint endpoint;
  endpoint.id = change.id;
  endpoint.service = change.service;
  endpoint.address = change.address;
  endpoint.failure_domain = change.failure_domain;
  endpoint.slots = change.slots;
  endpoint.state = change.state;
  endpoint.started_ms = change.started_ms;
  return endpoint;
}

void DirectoryFeed::Update(const FleetDirectory& directory) {
  for (const auto& [id, entry] : directory.entries()) {
    const FleetEndpoint& endpoint = entry.endpoint;
    EndpointChange change{id,
                          entry.missing_since.has_value(),
                          endpoint.service,
                          endpoint.address,
                          endpoint.failure_domain,
                          endpoint.slots,
                          endpoint.state,
                          endpoint.started_ms};
    Record& record = records_[id];
    if (record.version > 0 && record.change == change) continue;
    record = {std::move(change), ++version_};
  }
  for (auto& [id, record] : records_) {
    if (record.change.gone || directory.Find(id) != nullptr) continue;
    record.change.gone = true;
    record.version = ++version_;
  }
}

std::vector<EndpointChange> DirectoryFeed::Since(std::uint64_t version) const {
  std::vector<EndpointChange> changes;
  for (const auto& [id, record] : records_) {
    if (record.version > version) changes.push_back(record.change);
  }
  return changes;
}

}  // namespace mimosabend
