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
    Record& record = records_[id];
    const bool same = record.version > 0 && record.change.started_ms == endpoint.started_ms &&
                      record.change.address == endpoint.address;
    EndpointChange change{same ? record.change.number : ++last_number_,
                          id,
                          entry.missing_since.has_value(),
                          endpoint.service,
                          endpoint.address,
                          endpoint.failure_domain,
                          endpoint.slots,
                          endpoint.state,
                          endpoint.started_ms};
    if (same && record.change == change) continue;
    if (!same && record.version > 0) slots_.erase(record.change.number);
    slots_[change.number] = change.slots;
    record = {std::move(change), ++version_};
  }
  for (auto& [id, record] : records_) {
    if (record.change.gone || directory.Find(id) != nullptr) continue;
    record.change.gone = true;
    record.version = ++version_;
  }
}

std::optional<std::uint32_t> DirectoryFeed::NumberOf(const std::string& id) const {
  const auto it = records_.find(id);
  if (it == records_.end() || it->second.change.gone) return std::nullopt;
  return it->second.change.number;
}

std::uint32_t DirectoryFeed::SlotsOf(std::uint32_t number) const {
  const auto it = slots_.find(number);
  return it == slots_.end() ? 1 : it->second;
}

std::vector<EndpointChange> DirectoryFeed::Since(std::uint64_t version) const {
  std::vector<EndpointChange> changes;
  for (const auto& [id, record] : records_) {
    if (record.version > version) changes.push_back(record.change);
  }
  return changes;
}

}  // namespace mimosabend
