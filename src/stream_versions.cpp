#include "stream_versions.h"

#include <algorithm>

#include "digest.h"

namespace mimosabend {

namespace {

// Keeps a report within 32 KB. What is left follows in the next one.
constexpr std::size_t kMaxReportedStreams = 4000;

}  // namespace

std::uint64_t StreamKey(const std::string& service, std::string_view request_id) {
  return Hash64(request_id, Hash64(service));
}

bool VersionHistory::Record(const std::string& service, const std::string& version,
                            MonotonicTime now) {
  const auto [it, added] = last_served_[service].try_emplace(version, now);
  it->second = std::max(it->second, now);
  return added;
}

void VersionHistory::RecordView(bool is_current, MonotonicTime now) {
  if (now - viewed_at_ >= kMaxViewGap) {
    begun_ = now;
    complete_ = false;
  }
  if (is_current) viewed_at_ = now;
}

std::optional<std::string> VersionHistory::OnlyVersion(const std::string& service,
                                                       MonotonicTime now) const {
  const auto it = last_served_.find(service);
  if (!IsComplete(now) || it == last_served_.end()) return std::nullopt;
  const std::string* only = nullptr;
  for (const auto& [version, served_at] : it->second) {
    if (now - served_at >= kStreamLifetime) continue;
    if (only != nullptr) return std::nullopt;
    only = &version;
  }
  return only == nullptr ? std::nullopt : std::optional(*only);
}

bool VersionHistory::HasOther(const std::string& service, const std::string& version) const {
  const auto it = last_served_.find(service);
  if (it == last_served_.end()) return false;
  return it->second.size() > 1 || !it->second.contains(version);
}

std::vector<ServiceVersions> VersionHistory::All() const {
  std::vector<ServiceVersions> all;
  for (const auto& [service, versions] : last_served_) {
    ServiceVersions entry{service, {}};
    for (const auto& [version, served_at] : versions) entry.versions.push_back(version);
    all.push_back(std::move(entry));
  }
  return all;
}

void VersionHistory::PruneExpired(MonotonicTime now) {
  for (auto& [service, versions] : last_served_) {
    std::erase_if(versions, [&](const auto& item) { return now - item.second >= kStreamLifetime; });
  }
  std::erase_if(last_served_, [](const auto& item) { return item.second.empty(); });
}

void StreamLog::Add(const std::string& service, const std::string& version, std::uint64_t key,
                    MonotonicTime now) {
  Streams& streams = streams_[{service, version}];
  streams.entries.push_back({key, now});
  if (++size_ > kMaxStreams) PopFront(&streams);
}

void StreamLog::PopFront(Streams* streams) {
  streams->entries.pop_front();
  if (streams->taken > 0) --streams->taken;
  --size_;
}

void StreamLog::Rewind() {
  for (auto& [origin, streams] : streams_) streams.taken = 0;
}

void StreamLog::PruneExpired(MonotonicTime now) {
  for (auto& [origin, streams] : streams_) {
    while (!streams.entries.empty() && now - streams.entries.front().added_at >= kStreamLifetime) {
      PopFront(&streams);
    }
  }
  std::erase_if(streams_, [](const auto& item) { return item.second.entries.empty(); });
}

void StreamLog::Clear() {
  streams_.clear();
  size_ = 0;
}

std::uint32_t StreamOriginTable::NumberOf(const std::string& version) {
  const auto it = std::find(versions_.begin(), versions_.end(), version);
  const auto number = static_cast<std::uint32_t>(it - versions_.begin());
  if (it == versions_.end()) versions_.push_back(version);
  return number;
}

void StreamOriginTable::Add(std::uint64_t key, const std::string& version, MonotonicTime now) {
  // Another version cannot have begun the stream that the first one began.
  const auto [it, added] = origins_.try_emplace(key, Origin{});
  if (added) it->second.version = NumberOf(version);
  it->second.added_at = now;
  additions_.push_back({key, now});
  if (additions_.size() > kMaxStreams) ForgetOldest();
}

std::optional<std::string> StreamOriginTable::Find(std::uint64_t key) const {
  const auto it = origins_.find(key);
  return it == origins_.end() ? std::nullopt : std::optional(versions_[it->second.version]);
}

// Forgets the stream of the oldest addition, unless it was added again.
void StreamOriginTable::ForgetOldest() {
  const Addition oldest = additions_.front();
  additions_.pop_front();
  const auto it = origins_.find(oldest.key);
  if (it != origins_.end() && it->second.added_at <= oldest.at) origins_.erase(it);
}

void StreamOriginTable::PruneExpired(MonotonicTime now) {
  while (!additions_.empty() && now - additions_.front().at >= kStreamLifetime) ForgetOldest();
  if (origins_.empty()) versions_.clear();
}

void StreamVersions::RecordStream(const std::string& service, const std::string& version,
                                  const std::vector<std::string>& request_ids, MonotonicTime now) {
  history_.Record(service, version, now);
  for (const std::string& id : request_ids) {
    if (id.empty()) continue;
    const std::uint64_t key = StreamKey(service, id);
    table_.Add(key, version, now);
    own_.Add(service, version, key, now);
  }
}

StreamOrigin StreamVersions::Find(const std::string& service, std::uint64_t key,
                                  bool view_is_current, MonotonicTime now) const {
  if (const auto version = table_.Find(key)) return {OriginState::kKnown, *version};
  const auto only = view_is_current ? history_.OnlyVersion(service, now) : std::nullopt;
  if (only) return {OriginState::kKnown, *only};
  const bool answers = view_is_current && history_.IsComplete(now);
  return {answers ? OriginState::kUnknown : OriginState::kNoAnswer, ""};
}

std::vector<StreamOrigins> StreamVersions::TakeReport(MonotonicTime now) {
  const auto is_settled = [&](const std::string& service) {
    return history_.OnlyVersion(service, now).has_value();
  };
  return own_.Take(is_settled, kMaxReportedStreams);
}

void StreamVersions::AddToTable(const StreamOrigins& streams, MonotonicTime now) {
  for (const std::uint64_t key : streams.keys) table_.Add(key, streams.version, now);
}

void StreamVersions::AddReport(const std::vector<StreamOrigins>& report, MonotonicTime now) {
  for (const StreamOrigins& streams : report) {
    history_.Record(streams.service, streams.version, now);
    AddToTable(streams, now);
    for (const std::uint64_t key : streams.keys) {
      unstored_.Add(streams.service, streams.version, key, now);
    }
  }
}

void StreamVersions::AddStored(const std::vector<StreamOrigins>& streams, bool may_serve,
                               MonotonicTime now) {
  for (const StreamOrigins& part : streams) {
    if (may_serve) history_.Record(part.service, part.version, now);
    AddToTable(part, now);
  }
}

void StreamVersions::AddStored(const std::vector<ServiceVersions>& versions, MonotonicTime now) {
  for (const ServiceVersions& service : versions) {
    for (const std::string& version : service.versions) {
      history_.Record(service.service, version, now);
    }
  }
}

std::vector<StreamOrigins> StreamVersions::TakeUnstored(std::size_t max_keys, MonotonicTime now) {
  const auto is_settled = [&](const std::string& service) {
    return history_.OnlyVersion(service, now).has_value();
  };
  return unstored_.Take(is_settled, max_keys);
}

void StreamVersions::PruneExpired(MonotonicTime now) {
  history_.PruneExpired(now);
  table_.PruneExpired(now);
  own_.PruneExpired(now);
  unstored_.PruneExpired(now);
}

}  // namespace mimosabend
