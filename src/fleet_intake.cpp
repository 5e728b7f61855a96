#include "fleet_intake.h"

#include <optional>
#include <utility>

#include "document_parts.h"
#include "log.h"
#include "platform/decode.h"
#include "platform/platform_store.h"
#include "state_sync.h"

namespace mimosabend {

using platform::PlatformStore;

FleetIntake::FleetIntake(Parts parts, ConfigListener on_config)
    : parts_(parts), on_config_(std::move(on_config)) {}

ItemHandlers FleetIntake::ConfigHandlers() {
  ItemHandlers handlers;
  handlers.put = [this](const KvItem& item, MonotonicTime) {
    if (item.key != PlatformStore::config_key()) return;
    AdoptConfig(item.entry.value, "the store, revision " + ToString(item.entry.revision()));
  };
  handlers.remove = [](const std::string&, StoreRevision, MonotonicTime) {};
  handlers.keep_only = [](const std::set<std::string>&, StoreRevision, MonotonicTime) {};
  handlers.done = [](StoreRevision, MonotonicTime) {};
  return handlers;
}

ItemHandlers FleetIntake::EndpointHandlers() {
  const std::size_t prefix = PlatformStore::endpoint_prefix().size();
  ItemHandlers handlers;
  handlers.put = [this](const KvItem& item, MonotonicTime now) { PutItem(item, now); };
  handlers.remove = [this, prefix](const std::string& key, StoreRevision revision,
                                   MonotonicTime now) {
    const std::string id = key.substr(prefix);
    const bool was_invalid = invalid_entries_.erase(id) > 0;
    if (!was_invalid) LOG4CPLUS_INFO(Log(), "endpoint " << id << " was deleted from the store");
    parts_.directory->Remove(id, now);
    parts_.state->directory().Remove(id, revision);
  };
  handlers.keep_only = [this, prefix](const std::set<std::string>& keys, StoreRevision revision,
                                      MonotonicTime now) {
    std::set<std::string> ids;
    for (const std::string& key : keys) ids.insert(key.substr(prefix));
    std::erase_if(invalid_entries_, [&](const std::string& id) { return !ids.contains(id); });
    const bool new_era = revision.era > parts_.state->directory().revision().era;
    parts_.directory->KeepOnly(ids, now,
                               new_era ? MissingCause::kRestored : MissingCause::kDeleted);
    parts_.state->directory().KeepOnly(ids, revision);
  };
  handlers.done = [this](StoreRevision revision, MonotonicTime) {
    parts_.state->directory().Advance(revision);
    parts_.usage->endpoints_changed().NotifyAll();
  };
  return handlers;
}

bool FleetIntake::AdoptConfig(const std::string& raw_text, const std::string& source) {
  const std::string text = platform::HashApiKeys(raw_text);
  auto config = platform::DecodeConfig(text);
  if (!config) {
    LOG4CPLUS_ERROR(Log(), "rejected the configuration from " << source << ": " << config.error());
    return false;
  }
  const std::uint64_t version = config.value().version;
  const bool known = version == parts_.state->config().version();
  const HttpLimits limits = config.value().limits;
  if (!parts_.directory->Adopt(std::move(config).value())) {
    LOG4CPLUS_WARN(Log(),
                   "configuration " << version << " is older than the one in force, ignored");
    return false;
  }
  RecordVersions(MonotonicNow());
  if (known) return true;
  if (version > 0) parts_.state->SetConfig(MultipartDocument(version, SplitJsonDocument(text)));
  on_config_(version, limits);
  LOG4CPLUS_INFO(Log(), "configuration " << version << " is in force, from " << source);
  return true;
}

void FleetIntake::PutItem(const KvItem& item, MonotonicTime now) {
  const std::string id = item.key.substr(PlatformStore::endpoint_prefix().size());
  auto endpoint = platform::DecodeEndpoint(id, item.entry.value);
  if (!endpoint) {
    if (invalid_entries_.insert(id).second) {
      LOG4CPLUS_WARN(Log(), "entry " << item.key << " is not a valid endpoint, ignored");
    }
    parts_.directory->Remove(id, now);
    parts_.state->directory().Remove(id, item.entry.revision());
    return;
  }
  invalid_entries_.erase(id);
  const auto state = parts_.state->directory().Put(*endpoint, item.entry.revision());
  if (!state) {
    LOG4CPLUS_WARN(Log(), "endpoint " << id << " was gone before the store was restored, ignored");
    parts_.directory->Remove(id, now, MissingCause::kRestored);
    return;
  }
  endpoint->state = *state;
  PutEndpoint(std::move(*endpoint), now);
}

void FleetIntake::PutEndpoint(FleetEndpoint endpoint, MonotonicTime read_at) {
  const std::string id = endpoint.id;
  const std::int64_t started_ms = endpoint.started_ms;
  const DirectoryEntry* known = parts_.directory->Find(id);
  const bool draining = endpoint.state == EndpointState::kDraining;
  const bool drains_now =
      draining && (known == nullptr || known->endpoint.state != EndpointState::kDraining);
  RecordVersion(endpoint, MonotonicNow());
  const bool created = parts_.directory->Put(std::move(endpoint), read_at);
  if (created) {
    parts_.stats->Forget(id);
    parts_.prefixes->Forget(id);
    const HoldingsUpdate* update = parts_.state->holdings().Find(EndpointNumber(id, started_ms));
    if (update != nullptr) {
      parts_.directory->SetLeaderHoldings(id, started_ms, ToHoldings(*update),
                                          parts_.state->leader_heard());
    }
  }
  if (created || drains_now) {
    LOG4CPLUS_INFO(Log(), "endpoint " << id << (draining ? " is draining" : " is registered"));
  }
}

// Records that the software version of an endpoint serves. Services that are not configured have no
// streams.
void FleetIntake::RecordVersion(const FleetEndpoint& endpoint, MonotonicTime now) {
  const auto config = parts_.directory->config();
  if (config == nullptr || config->FindService(endpoint.service) == nullptr) return;
  if (!parts_.streams->RecordServing(endpoint.service, endpoint.software, now)) return;
  LOG4CPLUS_INFO(Log(), "service " << endpoint.service << " has the software version \""
                                   << endpoint.software << "\"");
}

void FleetIntake::RecordVersions(MonotonicTime now) {
  for (const auto& [id, entry] : parts_.directory->entries()) RecordVersion(entry.endpoint, now);
}

}  // namespace mimosabend
