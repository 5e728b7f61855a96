#include "load_backlog.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace mimosabend {

namespace {

// Higher priorities count as the last level, which bounds the size of answers.
constexpr std::size_t kPriorityLevels = 4;
constexpr double kMillisPerSecond = 1000;
// Without a configured rate, loads are limited by their concurrency only.
constexpr double kMaxIntervalMillis = 60000;

}  // namespace

std::optional<LoadBacklog> MakeLoadBacklog(const std::string& service,
                                           const std::vector<QueuedModel>& models,
                                           double loads_per_second, std::uint32_t concurrent) {
  assert(concurrent > 0);
  if (models.empty()) return std::nullopt;
  LoadBacklog backlog;
  backlog.service = service;
  backlog.queued.resize(kPriorityLevels, 0);
  double sum_ms = 0;
  for (const QueuedModel& model : models) {
    ++backlog.queued[std::min<std::size_t>(model.priority, kPriorityLevels - 1)];
    sum_ms += static_cast<double>(model.load_time.count());
  }
  const double load_ms = sum_ms / static_cast<double>(models.size());
  const double rate_ms = loads_per_second > 0 ? kMillisPerSecond / loads_per_second : 0;
  const double interval_ms = std::max(rate_ms, load_ms / concurrent);
  backlog.load_ms = static_cast<std::uint32_t>(std::lround(load_ms));
  backlog.interval_ms =
      static_cast<std::uint32_t>(std::lround(std::min(interval_ms, kMaxIntervalMillis)));
  return backlog;
}

}  // namespace mimosabend
