#include "response_times.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mimosabend {

namespace {

// Evaluating the samples of a service takes some microseconds, so it is not done for each request.
constexpr milliseconds kSummaryPeriod{100};
// Time constant with which the usual median follows the recent one.
constexpr seconds kUsualTime{300};
// With fewer samples, the usual median is not set yet.
constexpr std::size_t kMinUsualSamples = 20;
// A service without samples for this long is forgotten, and its usual median with it.
constexpr seconds kServiceLifetime{600};
// Weight of one first attempt in the share of late ones.
constexpr double kLateSmoothing = 1.0 / 16;

// Precondition: `values` is not empty and 0 <= quantile < 1. Reorders the values.
double Quantile(std::vector<double>* values, double quantile) {
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values->size()));
  const auto position = values->begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values->begin(), position, values->end());
  return *position;
}

// The entry for `key`, which is constructed from `arguments` if the map has less than `limit`
// entries; else nullptr.
template <class Map, class... Arguments>
typename Map::mapped_type* FindOrAdd(Map* map, const std::string& key, std::size_t limit,
                                     const Arguments&... arguments) {
  const auto known = map->find(key);
  if (known != map->end()) return &known->second;
  return map->size() >= limit ? nullptr : &map->try_emplace(key, arguments...).first->second;
}

}  // namespace

void RecentSamples::Add(double value, MonotonicTime now) {
  const Sample sample{static_cast<float>(value), now};
  if (samples_.size() < capacity_) {
    samples_.push_back(sample);
    return;
  }
  samples_[next_] = sample;
  next_ = (next_ + 1) % capacity_;
}

std::vector<double> RecentSamples::Values(MonotonicTime now) const {
  std::vector<double> values;
  values.reserve(samples_.size());
  for (const Sample& sample : samples_) {
    if (now - sample.at < kMaxAge) values.push_back(sample.value);
  }
  return values;
}

bool RecentSamples::IsExpired(MonotonicTime now) const {
  return std::all_of(samples_.begin(), samples_.end(),
                     [&](const Sample& sample) { return now - sample.at >= kMaxAge; });
}

void ResponseTimes::Record(const std::string& service, const std::string& endpoint, double millis,
                           MonotonicTime now) {
  if (ServiceRecord* record = FindOrAdd(&services_, service, kMaxServices)) {
    record->samples.Add(millis, now);
    record->last_at = now;
  }
  if (RecentSamples* samples = FindOrAdd(&endpoints_, endpoint, kMaxEndpoints, kEndpointSamples)) {
    samples->Add(millis, now);
  }
}

void ResponseTimes::RecordLate(const std::string& service, bool late) {
  const auto it = services_.find(service);
  if (it == services_.end()) return;
  double& share = it->second.late_share;
  share += kLateSmoothing * ((late ? 1.0 : 0.0) - share);
}

void ResponseTimes::Summarize(ServiceRecord* record, MonotonicTime now) const {
  std::vector<double> values = record->samples.Values(now);
  ServiceTimes times;
  times.samples = values.size();
  if (!values.empty()) {
    times.mean =
        std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
    times.median = Quantile(&values, 0.5);
    times.tail = Quantile(&values, tail_quantile_);
  }
  if (values.size() >= kMinUsualSamples) {
    const double elapsed = record->summary ? ToSeconds(now - record->summary_at) : 0;
    const double weight = 1 - std::exp(-elapsed / static_cast<double>(kUsualTime.count()));
    double& usual = record->usual_median;
    usual = usual == 0 ? times.median : usual + weight * (times.median - usual);
  }
  record->summary = times;
  record->summary_at = now;
}

ServiceTimes ResponseTimes::Service(const std::string& service, MonotonicTime now) {
  const auto it = services_.find(service);
  if (it == services_.end()) return {};
  ServiceRecord& record = it->second;
  if (!record.summary || now - record.summary_at >= kSummaryPeriod) Summarize(&record, now);
  ServiceTimes times = *record.summary;
  times.usual_median = record.usual_median;
  times.late_share = record.late_share;
  return times;
}

std::optional<double> ResponseTimes::EndpointMedian(const std::string& endpoint,
                                                    MonotonicTime now) const {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return std::nullopt;
  std::vector<double> values = it->second.Values(now);
  if (values.size() < kMinEndpointSamples) return std::nullopt;
  return Quantile(&values, 0.5);
}

void ResponseTimes::PruneExpired(MonotonicTime now) {
  std::erase_if(endpoints_, [&](const auto& item) { return item.second.IsExpired(now); });
  std::erase_if(services_,
                [&](const auto& item) { return now - item.second.last_at >= kServiceLifetime; });
}

}  // namespace mimosabend
